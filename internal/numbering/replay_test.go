package numbering

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"olivedale/internal/numbering/numberingtest"
)

// differsFromReference tells whether a decision is another than a reader of the file comes to.
func differsFromReference(d *Decision, w numberingtest.Expectation) bool {
	if d.Verdict == Rejected {
		return w.Cause != d.Cause
	}
	return w.Cause != 0 || d.Verdict != Routed || len(d.Pools()) != w.Pools() || !w.Begins(d.Pools())
}

// A replay of 100,000 numbers over tables that change every 500 calls: each call is decided twice,
// at its set-up and at a later attempt, when another table may be in force. Both are by the table
// that it began with, and equal what a reader of that table's rules would say.
func TestReplayAcrossTableChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 12))
	var desk Desk
	rules := make(map[string]*numberingtest.Rules)
	var digests []string
	for n := range 6 {
		r := numberingtest.Any(rng, n, 40, "alarm")
		text, err := r.TOML()
		if err != nil {
			t.Fatal(err)
		}
		table, err := Make(text, Env{Now: now})
		if err != nil {
			t.Fatal(err)
		}
		rules[table.Digest()] = r
		digests = append(digests, table.Digest())
		if err := desk.Load(now, table); err != nil {
			t.Fatal(err)
		}
	}
	type open struct {
		pin    *Pin
		digest string // in force when it began
		q      Query
		number string
		first  string // decided at its set-up
	}
	var calls []open
	check := func(c *open) string {
		d := c.pin.Table().Analyse(&c.q)
		r := rules[c.digest]
		if want := r.Decide(c.number, c.q.Class, time.Unix(0, int64(c.q.At))); differsFromReference(&d, want) {
			t.Fatalf("%s by %s: %v %d %v, a reader says %v", c.number, r.Version, d.Verdict, d.Cause, d.Pools(), want)
		}
		return fmt.Sprint(d.Verdict, d.Cause, d.Pools())
	}
	at, mixed, elsewhere := now, 0, 0
	for n := range 100_000 {
		at += time.Second
		if n%500 == 0 {
			saw := ""
			if desk.Active() != nil {
				saw = desk.Active().Digest()
			}
			if _, _, err := desk.Begin(at, Order{Op: OpActivate, Digest: digests[rng.IntN(len(digests))], Saw: saw}); err != nil {
				t.Fatal(err)
			}
			if err := desk.Finish(at, nil); err != nil {
				t.Fatal(err)
			}
		}
		number := fmt.Sprint(1_000_000 + rng.IntN(9_000_000))
		c := open{pin: desk.Pin(), digest: desk.Active().Digest(), number: number,
			q: Query{Number: "+" + number, Class: []string{"voice", "alarm"}[rng.IntN(2)], At: at, Seed: uint64(n)}}
		c.first = check(&c)
		calls = append(calls, c)
		if len(calls) < 1000 {
			continue
		}
		old := &calls[0] // another attempt, a thousand calls later
		if desk.Active().Digest() != old.digest {
			elsewhere++
		}
		if check(old) != old.first {
			mixed++
		}
		old.pin.Release()
		calls = calls[1:]
	}
	if mixed > 0 || elsewhere < 50_000 {
		t.Errorf("%d mixed; of %d calls another table was in force at a later attempt", mixed, elsewhere)
	}
	for i := range calls {
		calls[i].pin.Release()
	}
	for _, s := range desk.List() {
		if s.Pins != 0 {
			t.Errorf("%d calls hold %s after all have ended", s.Pins, s.Name)
		}
	}
}
