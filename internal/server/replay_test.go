package server

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"olivedale/internal/config"
	"olivedale/internal/numbering"
	"olivedale/internal/numbering/numberingtest"
	"olivedale/internal/record"
)

// A replayRun is a server with exchanges for a dozen pools, whose table of numbers changes all the time.
type replayRun struct {
	fleet   *fleet
	decider *unlimitedDecider
	node    *testServer
	answers *answerLog
	dir     string
	file    string
	rules   map[string]*numberingtest.Rules // by digest
	texts   [][]byte
	digests []string // digests of texts
	swaps   int
	stop    chan struct{}
	done    chan struct{}
}

const replayPools = 12

func startReplay(t testing.TB, lookup config.Lookup) *replayRun {
	t.Helper()
	r := &replayRun{fleet: startFleet(t, replayPools), answers: newAnswerLog(), dir: t.TempDir(), file: filepath.Join(t.TempDir(), "numbers.toml"),
		rules: make(map[string]*numberingtest.Rules), stop: make(chan struct{}), done: make(chan struct{})}
	r.fleet.recordQueue = 16 << 20
	r.fleet.pools = "[[0,1,2,3,4,5,6,7,8,9,10,11]]"
	for _, s := range r.fleet.exchanges {
		s.behavesByDigit = true
	}
	rng := rand.New(rand.NewPCG(21, 22))
	for n := range 5 {
		rules := numberingtest.RandomRules(rng, n, replayPools, "voice")
		for i := range rules.Prefix {
			rules.Prefix[i].Ported = i%3 == 0 && len(lookup.Servers) > 0
		}
		text, err := rules.TOML()
		if err != nil {
			t.Fatal(err)
		}
		table, err := numbering.CompileText(text, numbering.Deployment{Now: time.Duration(time.Now().UnixNano())})
		if err != nil {
			t.Fatal(err)
		}
		r.rules[table.Digest()], r.texts, r.digests = rules, append(r.texts, text), append(r.digests, table.Digest())
	}
	r.writeTable(t, 0)
	r.fleet.numbers = &config.Numbering{File: r.file, Lookup: lookup}
	if err := r.fleet.numbers.Validate(); err != nil {
		t.Fatal(err)
	}
	r.decider = newUnlimitedDecider()
	r.fleet.decider = r.decider
	r.node = r.fleet.startServer(t, "n0", r.dir, new(atomic.Int64))
	return r
}

func (r *replayRun) writeTable(t testing.TB, n int) {
	t.Helper()
	if err := os.WriteFile(r.file, r.texts[n], 0o600); err != nil {
		t.Fatal(err)
	}
}

func (r *replayRun) activeDigest() string {
	got := make(chan string, 1)
	r.node.server.loop.Execute(func() { got <- r.node.server.numbering.versions.Active().Digest() })
	return <-got
}

// swapTables puts another table in force at an interval until stop is closed.
func (r *replayRun) swapTables(t testing.TB, every time.Duration) {
	defer close(r.done)
	tick := time.NewTicker(every)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-r.stop:
			return
		case <-tick.C:
		}
		k := n % len(r.texts)
		r.writeTable(t, k)
		r.node.server.ReloadNumbering()
		for end := time.Now().Add(5 * time.Second); r.activeDigest() != r.digests[k]; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Error("a table did not come into force")
				return
			}
		}
		r.swaps++
	}
}

// check goes through the records of the replay: each call must have gone by the table that was in force when it came,
// to the pools that a reader of that file finds, in their order, and to its end. Where its number may have been ported
// and was looked up the answer may have come in time or not: the call goes where the number was ported to, or as it
// is. It returns how many calls there are, how many attempts were made when another table was in force already, and
// how many calls can have gone where their number was ported to.
func (r *replayRun) check(t testing.TB) (calls, across, moved int) {
	t.Helper()
	in, err := record.OpenDir(r.dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = in.Close() }()
	type life struct {
		digest, number, class string
		at                    time.Duration
		pools                 []int
	}
	open := make(map[string]*life)
	inForce := ""
	bad := 0
	fail := func(format string, args ...any) {
		if bad++; bad <= 10 {
			t.Errorf(format, args...)
		}
	}
	for rec := new(record.Record); in.Next(rec) == nil; {
		switch rec.Kind {
		case record.KindConfig:
			if rec.By == "numbers" {
				inForce, _, _ = strings.Cut(rec.Text, " ")
			}
		case record.KindCallOffered:
			calls++
			open[rec.Call] = &life{digest: rec.Text, number: rec.Number, class: rec.Class, at: rec.At}
			if rec.Text != "" && rec.Text != inForce {
				fail("%s was pinned to %s, in force was %s", rec.Call, rec.Text, inForce)
			}
			if rec.Text == "" { // it is rejected by its number
				open[rec.Call].digest = inForce
			}
		case record.KindAttemptStarted:
			k := open[rec.Call]
			if k.digest != inForce {
				across++
			}
			pool := slices.IndexFunc(r.fleet.lines, func(l endpointLine) bool { return l.id == rec.Server })
			k.pools = append(k.pools, pool)
		case record.KindAnswer:
			k := open[rec.Call]
			delete(open, rec.Call)
			rules := r.rules[k.digest]
			if rules == nil {
				fail("%s went by a table that there is not: %q", rec.Call, k.digest)
				continue
			}
			want := rules.Decide(k.number, k.class, time.Unix(0, int64(k.at)))
			outcome := record.Outcome(rec.Code).String()
			if to := portedNumber(k.number); to != "" {
				there := rules.DecidePorted(k.number, to, k.class, time.Unix(0, int64(k.at)))
				// Counted only where it cannot have gone as it is.
				if !want.AllowsOrder(k.pools) && there.Cause == 0 {
					want, moved = there, moved+1
				} else if there.Cause != 0 && outcome == "barred" && len(k.pools) == 0 {
					want = there
				}
			}
			switch {
			case want.Cause != 0 && (outcome != "barred" || rec.Cause != want.Cause || len(k.pools) > 0),
				want.Cause == 0 && !want.AllowsOrder(k.pools),
				outcome == "refused" && len(k.pools) != want.PoolCount(),
				want.Cause == 0 && outcome != "stood" && outcome != "refused":
				fail("%s to %s: %s with cause %d after pools %v; its table says %v", rec.Call, k.number, outcome, rec.Cause, k.pools, want)
			}
		}
	}
	if len(open) > 0 || bad > 10 {
		t.Errorf("%d calls without an answer in the records, %d calls that went wrong", len(open), bad)
	}
	return calls, across, moved
}

// replay makes so many calls on both frontends, so many of them open at once, while tables change.
func replay(t testing.TB, n, open int, rate float64, every time.Duration, look config.Lookup) {
	r := startReplay(t, look)
	panel := dialGatewayCaller(t, r.node.gatewayAddress(), r.answers, "<one>")
	panel.acknowledges = true // replies that are not acknowledged are kept for 30 s, within a bound
	l := newLoadGenerator(r.answers, 20*time.Second, open, dialJSONCaller(t, r.node.jsonAddress(), r.answers, "aaaaaaaa"), panel)
	rng := rand.New(rand.NewPCG(31, 32))
	if every > 0 {
		go r.swapTables(t, every)
	} else {
		close(r.done)
	}
	began := time.Now()
	l.run(n, rate, func(int) string { return fmt.Sprint(1_000_000 + rng.IntN(9_000_000)) })
	took := l.awaitEnds(t)
	whole := time.Since(began)
	close(r.stop)
	<-r.done
	r.node.stop(t)
	calls, across, moved := r.check(t)
	if calls != n || (across > 0) != (every > 0) || (r.swaps > 0) != (every > 0) || (moved > 0) != (len(look.Servers) > 0) {
		t.Errorf("%d calls in the records of %d, %d attempts after a swap, %d swaps", calls, n, across, r.swaps)
	}
	if copies, early, changed, after := r.fleet.observations.total(&r.fleet.observations.simultaneousAttempts), r.fleet.observations.total(&r.fleet.observations.earlyRetries), r.fleet.observations.total(&r.fleet.observations.corrupted), r.fleet.observations.total(&r.fleet.observations.abandonedAttempts); copies+early+changed+after != 0 {
		t.Errorf("%d second attempts at once, %d resends too early, %d descriptions changed, %d sent on for nobody", copies, early, changed, after)
	}
	t.Logf("%d calls in %v, %d swaps, %d moved, %d attempts by a table that was no longer in force; answered after p50 %v us, p99 %v us, at most %v us",
		calls, whole.Round(time.Millisecond), r.swaps, moved, across, took.ValueAtQuantile(50), took.ValueAtQuantile(99), took.Max())
}

// Numbers are replayed by both frontends while tables change during set-ups.
func TestReplayByBothFronts(t *testing.T) {
	t.Parallel()
	replay(t, 1500, 32, 0, 50*time.Millisecond, config.Lookup{})
}

// Numbers are replayed while every third is looked up, by a slow ENUM server.
func TestReplayWithLookups(t *testing.T) {
	t.Parallel()
	look := startENUM(t)
	look.portedTo = portedNumber
	look.mode.Store(enumSlow)
	replay(t, 1000, 32, 0, 50*time.Millisecond, config.Lookup{Servers: []string{look.addr}})
}

// The whole replay: go test -run '^$' -bench ReplayByBothFronts -benchtime 1x ./internal/server
func BenchmarkReplayByBothFronts(b *testing.B) {
	for range b.N {
		replay(b, 100_000, 4096, 0, 50*time.Millisecond, config.Lookup{})
	}
}

// BenchmarkSwapUnderLoad changes tables under 2,000 set-ups a second, for ten seconds, and compares with the same load
// without any change.
func BenchmarkSwapUnderLoad(b *testing.B) {
	for range b.N {
		replay(b, 20_000, 4096, 2000, 0, config.Lookup{})
		replay(b, 20_000, 4096, 2000, 250*time.Millisecond, config.Lookup{})
	}
}
