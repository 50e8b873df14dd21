package numbering

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"olivedale/internal/numbering/numberingtest"
)

const (
	replayedCalls   = 100_000
	callsPerTable   = 500  // number of calls between two activations
	retryAfterCalls = 1000 // number of calls between the first and the second analysis of a call
)

// replay analyses calls while the active table changes.
type replay struct {
	*testing.T
	random  *rand.Rand
	manager VersionManager
	rules   map[string]*numberingtest.Rules // by digest
	digests []string
	now     Time
}

// replayedCall is a call that has been analysed once.
type replayedCall struct {
	ref    *TableRef
	digest string // of the table that was active at the first analysis
	query  Query
	number string
	first  string // result of the first analysis
}

// 100,000 calls are analysed twice each while the active table changes every 500 calls. Both analyses must use the
// table that was active at the first one, and agree with the reference implementation for the rules of that table.
func TestReplayAcrossTableChanges(t *testing.T) {
	test := &replay{
		T:      t,
		random: rand.New(rand.NewPCG(11, 12)),
		rules:  make(map[string]*numberingtest.Rules),
		now:    now,
	}
	test.loadTables()
	var calls []replayedCall
	differentResults, otherTable := 0, 0
	for n := range replayedCalls {
		test.now += time.Second
		if n%callsPerTable == 0 {
			test.activateRandomTable()
		}
		calls = append(calls, test.newCall(uint64(n)))
		if len(calls) < retryAfterCalls {
			continue
		}
		oldest := &calls[0]
		if test.manager.Active().Digest() != oldest.digest {
			otherTable++
		}
		if test.analyse(oldest) != oldest.first {
			differentResults++
		}
		oldest.ref.Release()
		calls = calls[1:]
	}
	if differentResults > 0 || otherTable < replayedCalls/2 {
		t.Errorf("%d results changed; at %d second analyses another table was active", differentResults, otherTable)
	}
	for i := range calls {
		calls[i].ref.Release()
	}
	for _, s := range test.manager.List() {
		if s.Calls != 0 {
			t.Errorf("%d calls use %s after all have ended", s.Calls, s.Name)
		}
	}
}

func (t *replay) loadTables() {
	t.Helper()
	for n := range 6 {
		rules := numberingtest.RandomRules(t.random, n, 40, "alarm")
		text, err := rules.TOML()
		if err != nil {
			t.Fatal(err)
		}
		table, err := CompileText(text, Deployment{Now: now})
		if err != nil {
			t.Fatal(err)
		}
		if err := t.manager.Load(now, table); err != nil {
			t.Fatal(err)
		}
		t.rules[table.Digest()] = rules
		t.digests = append(t.digests, table.Digest())
	}
}

func (t *replay) activateRandomTable() {
	t.Helper()
	command := Command{
		Op:             OpActivate,
		Digest:         t.digests[t.random.IntN(len(t.digests))],
		ExpectedActive: activeDigest(&t.manager.Registry),
	}
	if _, _, err := t.manager.Begin(t.now, command); err != nil {
		t.Fatal(err)
	}
	if err := t.manager.Finish(t.now, nil); err != nil {
		t.Fatal(err)
	}
}

func (t *replay) newCall(seed uint64) replayedCall {
	t.Helper()
	number := fmt.Sprint(1_000_000 + t.random.IntN(9_000_000))
	class := []string{"voice", "alarm"}[t.random.IntN(2)]
	c := replayedCall{
		ref:    t.manager.Acquire(),
		digest: t.manager.Active().Digest(),
		query:  Query{Number: "+" + number, Class: class, At: t.now, Seed: seed},
		number: number,
	}
	c.first = t.analyse(&c)
	return c
}

// analyse analyses a call with the table that it refers to, compares the decision with the reference implementation and
// returns it as text.
func (t *replay) analyse(c *replayedCall) string {
	t.Helper()
	d := c.ref.Table().Analyse(&c.query)
	rules := t.rules[c.digest]
	want := rules.Decide(c.number, c.query.Class, time.Unix(0, int64(c.query.At)))
	if !matchesReference(&d, want) {
		t.Fatalf("%s by table %s: %v %d %v, the reference gives %v",
			c.number, rules.Version, d.Verdict, d.Cause, d.Pools(), want)
	}
	return fmt.Sprint(d.Verdict, d.Cause, d.Pools())
}

func matchesReference(d *Decision, want numberingtest.Expectation) bool {
	if d.Verdict == Rejected {
		return want.Cause == d.Cause
	}
	isRouted := d.Verdict == Routed && want.Cause == 0
	return isRouted && len(d.Pools()) == want.PoolCount() && want.AllowsOrder(d.Pools())
}
