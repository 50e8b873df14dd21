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

// A replayRun is a server with exchanges for twelve pools whose numbering table changes periodically.
type replayRun struct {
	fleet   *fleet
	decider *unlimitedDecider
	node    *testServer
	answers *answerLog
	dir     string
	file    string
	rules   map[string]*numberingtest.Rules // by table digest
	texts   [][]byte
	digests []string // digests of the tables in texts, in the same order
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

// swapTables activates another table at an interval until stop is closed.
func (r *replayRun) swapTables(t testing.TB, interval time.Duration) {
	defer close(r.done)
	tick := time.NewTicker(interval)
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
				t.Error("a table was not activated")
				return
			}
		}
		r.swaps++
	}
}

// check verifies the records of the replay. Each call must be routed by the table that was active when it arrived, to
// the pools that an independent evaluation of that table returns, in their order, and must be answered. A call to a
// ported number may be routed by either number, depending on whether the look-up was answered in time. It returns the
// number of calls, the number of attempts after another table had become active, and the number of calls that were
// routed by the ported number.
func (r *replayRun) check(t testing.TB) (calls, afterSwap, ported int) {
	t.Helper()
	in, err := record.OpenDir(r.dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = in.Close() }()
	type callState struct {
		digest, number, class string
		at                    time.Duration
		pools                 []int
	}
	open := make(map[string]*callState)
	active := ""
	failures := 0
	fail := func(format string, args ...any) {
		if failures++; failures <= 10 {
			t.Errorf(format, args...)
		}
	}
	for rec := new(record.Record); in.Next(rec) == nil; {
		switch rec.Kind {
		case record.KindConfig:
			if rec.By == "numbers" {
				active, _, _ = strings.Cut(rec.Text, " ")
			}
		case record.KindCallOffered:
			calls++
			open[rec.Call] = &callState{digest: rec.Text, number: rec.Number, class: rec.Class, at: rec.At}
			if rec.Text != "" && rec.Text != active {
				fail("call %s used the table %s, the active one was %s", rec.Call, rec.Text, active)
			}
			if rec.Text == "" { // rejected because of its number
				open[rec.Call].digest = active
			}
		case record.KindAttemptStarted:
			k := open[rec.Call]
			if k.digest != active {
				afterSwap++
			}
			pool := slices.IndexFunc(r.fleet.lines, func(l endpointLine) bool { return l.id == rec.Server })
			k.pools = append(k.pools, pool)
		case record.KindAnswer:
			k := open[rec.Call]
			delete(open, rec.Call)
			rules := r.rules[k.digest]
			if rules == nil {
				fail("call %s was routed by the unknown table %q", rec.Call, k.digest)
				continue
			}
			want := rules.Decide(k.number, k.class, time.Unix(0, int64(k.at)))
			outcome := record.Outcome(rec.Code).String()
			if to := portedNumber(k.number); to != "" {
				byPorted := rules.DecidePorted(k.number, to, k.class, time.Unix(0, int64(k.at)))
				// Counted only if the original number does not explain the pools.
				if !want.AllowsOrder(k.pools) && byPorted.Cause == 0 {
					want, ported = byPorted, ported+1
				} else if byPorted.Cause != 0 && outcome == "barred" && len(k.pools) == 0 {
					want = byPorted
				}
			}
			switch {
			case want.Cause != 0 && (outcome != "barred" || rec.Cause != want.Cause || len(k.pools) > 0),
				want.Cause == 0 && !want.AllowsOrder(k.pools),
				outcome == "refused" && len(k.pools) != want.PoolCount(),
				want.Cause == 0 && outcome != "stood" && outcome != "refused":
				fail("call %s to %s: %s with cause %d after pools %v; its table has %v", rec.Call, k.number, outcome, rec.Cause, k.pools, want)
			}
		}
	}
	if len(open) > 0 || failures > 10 {
		t.Errorf("%d calls have no answer in the records, %d checks failed", len(open), failures)
	}
	return calls, afterSwap, ported
}

// replay makes n calls on both frontends, at most open of them at a time, and activates another table at swapInterval
// unless that is 0.
func replay(t testing.TB, n, open int, rate float64, swapInterval time.Duration, lookup config.Lookup) {
	r := startReplay(t, lookup)
	gateway := dialGatewayCaller(t, r.node.gatewayAddress(), r.answers, "<one>")
	gateway.acknowledges = true // unacknowledged replies are kept for 30 s, up to a bound
	l := newLoadGenerator(r.answers, 20*time.Second, open, dialJSONCaller(t, r.node.jsonAddress(), r.answers, "aaaaaaaa"), gateway)
	rng := rand.New(rand.NewPCG(31, 32))
	if swapInterval > 0 {
		go r.swapTables(t, swapInterval)
	} else {
		close(r.done)
	}
	began := time.Now()
	l.run(n, rate, func(int) string { return fmt.Sprint(1_000_000 + rng.IntN(9_000_000)) })
	took := l.awaitEnds(t)
	elapsed := time.Since(began)
	close(r.stop)
	<-r.done
	r.node.stop(t)
	calls, afterSwap, ported := r.check(t)
	if calls != n || (afterSwap > 0) != (swapInterval > 0) || (r.swaps > 0) != (swapInterval > 0) || (ported > 0) != (len(lookup.Servers) > 0) {
		t.Errorf("the records have %d of %d calls, %d attempts after a swap, %d swaps", calls, n, afterSwap, r.swaps)
	}
	if simultaneous, early, corrupted, abandoned := r.fleet.observations.total(&r.fleet.observations.simultaneousAttempts), r.fleet.observations.total(&r.fleet.observations.earlyRetries), r.fleet.observations.total(&r.fleet.observations.corrupted), r.fleet.observations.total(&r.fleet.observations.abandonedAttempts); simultaneous+early+corrupted+abandoned != 0 {
		t.Errorf("%d simultaneous attempts, %d early retries, %d corrupted descriptions, %d attempts after the caller had left", simultaneous, early, corrupted, abandoned)
	}
	t.Logf("%d calls in %v, %d swaps, %d routed by the ported number, %d attempts by a table that was no longer active; answered after p50 %v us, p99 %v us, at most %v us",
		calls, elapsed.Round(time.Millisecond), r.swaps, ported, afterSwap, took.ValueAtQuantile(50), took.ValueAtQuantile(99), took.Max())
}

// Calls are replayed on both frontends while tables change during set-ups.
func TestReplayByBothFronts(t *testing.T) {
	t.Parallel()
	replay(t, 1500, 32, 0, 50*time.Millisecond, config.Lookup{})
}

// Calls are replayed while every third prefix needs a look-up at a slow ENUM server.
func TestReplayWithLookups(t *testing.T) {
	t.Parallel()
	enum := startENUM(t)
	enum.portedTo = portedNumber
	enum.mode.Store(enumSlow)
	replay(t, 1000, 32, 0, 50*time.Millisecond, config.Lookup{Servers: []string{enum.addr}})
}

// BenchmarkReplayByBothFronts runs the replay with 100,000 calls:
// go test -run '^$' -bench ReplayByBothFronts -benchtime 1x ./internal/server
func BenchmarkReplayByBothFronts(b *testing.B) {
	for range b.N {
		replay(b, 100_000, 4096, 0, 50*time.Millisecond, config.Lookup{})
	}
}

// BenchmarkSwapUnderLoad runs 2,000 set-ups per second for ten seconds without and with table changes, to compare the
// latencies.
func BenchmarkSwapUnderLoad(b *testing.B) {
	for range b.N {
		replay(b, 20_000, 4096, 2000, 0, config.Lookup{})
		replay(b, 20_000, 4096, 2000, 250*time.Millisecond, config.Lookup{})
	}
}
