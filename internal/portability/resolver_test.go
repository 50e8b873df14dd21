package portability

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"olivedale/internal/numbering"
	"olivedale/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const now = Time(1_790_000_000) * time.Second

func settings() Settings {
	s := Defaults(2)
	s.MaxLookups, s.MaxWaiters, s.MaxCacheEntries, s.MaxCacheBytes, s.BreakerThreshold = 4, 8, 6, 2000, 3
	return s
}

func moved(t testing.TB) Answer {
	t.Helper()
	d, ok := numbering.MakeDigits("56999")
	if !ok {
		t.Fatal("no digits")
	}
	return Answer{Ported: true, Routing: d, TTL: time.Minute}
}

// sent and told take actions apart.
func sent(acts []Action) (all []SendQuery) {
	for _, a := range acts {
		if s, ok := a.(SendQuery); ok {
			all = append(all, s)
		}
	}
	return all
}

func told(acts []Action) map[string]Result {
	all := make(map[string]Result)
	for _, a := range acts {
		if x, ok := a.(DeliverResult); ok {
			all[x.Call] = x.Result
		}
	}
	return all
}

func TestLookup(t *testing.T) {
	r := NewResolver(settings(), rand.New(rand.NewPCG(1, 1)))
	first := sent(r.LookUp(now, "a", "561", now+time.Second))
	if len(first) != 1 || first[0].Server != 0 {
		t.Fatalf("%+v", first)
	}
	if acts := r.LookUp(now, "b", "561", now+time.Second); len(acts) != 0 || r.Coalesced != 1 {
		t.Errorf("an equal question was asked again: %+v", acts)
	}
	// The first server is silent, the second answers, for both; then it is remembered.
	second := sent(r.HandleTimeouts(now + 150*time.Millisecond))
	if len(second) != 1 || second[0].Server != 1 || second[0].ID == first[0].ID {
		t.Fatalf("%+v", second)
	}
	at := now + 200*time.Millisecond
	if acts := r.HandleAnswer(at, 0, first[0].ID, "561", moved(t)); len(acts) != 0 || r.Strays != 1 {
		t.Errorf("an answer that comes too late: %+v", acts)
	}
	got := told(r.HandleAnswer(at, 1, second[0].ID, "561", moved(t)))
	if len(got) != 2 || got["a"].Origin != OriginServer || got["a"].Ported.State != numbering.Moved || got["b"] != got["a"] {
		t.Errorf("%+v", got)
	}
	if got = told(r.LookUp(at+59*time.Second, "c", "561", at+time.Hour)); got["c"].Origin != OriginCache {
		t.Errorf("%+v", got)
	}
	// Past its time it is asked for again; where nobody answers the old answer counts.
	at += 2 * time.Minute
	if len(sent(r.LookUp(at, "d", "561", at+100*time.Millisecond))) != 1 {
		t.Error("not asked again")
	}
	if got = told(r.HandleTimeouts(at + 100*time.Millisecond)); got["d"].Origin != OriginStaleCache || got["d"].Ported.State != numbering.Moved {
		t.Errorf("%+v", got)
	}
	if r.NextDeadline() != math.MaxInt64 || len(r.lookups)+len(r.lookupsByID)+len(r.lookupsByCall) != 0 {
		t.Error("something is left")
	}
}

// A server that fails is left alone, then one question tells whether it is back; with all of them
// left alone calls are told at once.
func TestBreaker(t *testing.T) {
	set := settings()
	set.Servers, set.MaxTries = 1, 1
	r := NewResolver(set, rand.New(rand.NewPCG(1, 1)))
	at := now
	for i := range 3 {
		call := fmt.Sprint(i)
		s := sent(r.LookUp(at, call, "56"+call, at+time.Second))
		if len(s) != 1 {
			t.Fatal("left alone too early")
		}
		if got := told(r.HandleFailure(at, 0, s[0].ID)); got[call].Origin != OriginNone || got[call].Ported.State != numbering.Undecided {
			t.Errorf("%+v", got)
		}
	}
	if acts := r.LookUp(at, "x", "569", at+time.Second); len(sent(acts)) != 0 || told(acts)["x"].Origin != OriginNone || r.Broken != 1 {
		t.Errorf("%+v", acts)
	}
	at += set.BreakerCooldown
	probe := sent(r.LookUp(at, "y", "5691", at+time.Second))
	if acts := r.LookUp(at, "z", "5692", at+time.Second); len(probe) != 1 || len(sent(acts)) != 0 {
		t.Errorf("more than one question tells: %+v", acts)
	}
	r.HandleAnswer(at, 0, probe[0].ID, "5691", Answer{})
	if len(sent(r.LookUp(at, "w", "5693", at+time.Second))) != 1 {
		t.Error("it is back, and left alone")
	}
}

// Lies change nothing for the call, count, and trip the breaker; the true answer still counts.
func TestLies(t *testing.T) {
	r := NewResolver(settings(), rand.New(rand.NewPCG(1, 1)))
	s := sent(r.LookUp(now, "a", "561", now+time.Second))[0]
	for range 3 {
		if acts := r.HandleAnswer(now, 0, s.ID, "562", moved(t)); len(acts) != 0 {
			t.Errorf("another question's answer: %+v", acts)
		}
		if acts := r.HandleAnswer(now, 1, s.ID, "561", moved(t)); len(acts) != 0 {
			t.Errorf("from another server: %+v", acts)
		}
		if acts := r.HandleAnswer(now, 0, s.ID+1, "561", moved(t)); len(acts) != 0 {
			t.Errorf("under another id: %+v", acts)
		}
	}
	if r.Lies != 6 || r.Strays != 3 || r.Broken != 2 {
		t.Errorf("%+v", r.Counters)
	}
	if _, _, ok := r.cache.get(now, "562", 0); ok {
		t.Error("a lie is remembered")
	}
	if got := told(r.HandleAnswer(now, 0, s.ID, "561", Answer{})); got["a"].Ported.State != numbering.NotPorted || got["a"].Origin != OriginServer {
		t.Errorf("%+v", got)
	}
}

func TestBudget(t *testing.T) {
	b := Budget{Attempt: 500 * time.Millisecond, Guard: 300 * time.Millisecond, Answer: 50 * time.Millisecond, Share: 0.25}
	for left, want := range map[time.Duration]time.Duration{3 * time.Second: 750 * time.Millisecond, 1500 * time.Millisecond: 150 * time.Millisecond,
		1350 * time.Millisecond: 0, 0: 0, -time.Second: 0} {
		if got := b.Of(left); got != want {
			t.Errorf("of %v: %v, want %v", left, got, want)
		}
	}
}

// Whatever servers do, each call is told once, no later than it can wait, or never where it was
// cancelled; no question goes to a server that is left alone; all bounds hold; nothing is left.
func TestEveryCallIsToldInTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set := settings()
		set.Servers = rapid.IntRange(1, 3).Draw(rt, "servers")
		r := NewResolver(set, rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)))
		at := now
		until := make(map[string]Time) // of calls that wait
		var questions []SendQuery
		see := func(acts []Action) {
			for _, a := range acts {
				switch a := a.(type) {
				case SendQuery:
					questions = append(questions, a)
					if s := r.breakers[a.Server]; at < s.openUntil {
						rt.Fatal("asked a server that is left alone")
					}
				case DeliverResult:
					u, waits := until[a.Call]
					if !waits {
						rt.Fatalf("%s was told twice, or after it was cancelled", a.Call)
					}
					if at > u {
						rt.Fatalf("%s was told %v too late", a.Call, at-u)
					}
					delete(until, a.Call)
				}
			}
		}
		for n := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			// Time passes from one due moment to the next, as a host would let it.
			to := at + Time(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(rt, "pass"))
			for r.NextDeadline() <= to {
				at = max(at, r.NextDeadline())
				see(r.HandleTimeouts(at))
			}
			at = to
			switch rapid.IntRange(0, 5).Draw(rt, "do") {
			case 0, 1:
				call := fmt.Sprint("c", n)
				until[call] = at + Time(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "wait"))
				see(r.LookUp(at, call, fmt.Sprint("56", rapid.IntRange(0, 9).Draw(rt, "number")), until[call]))
			case 2, 3:
				if len(questions) > 0 {
					q := questions[rapid.IntRange(0, len(questions)-1).Draw(rt, "question")]
					switch rapid.IntRange(0, 4).Draw(rt, "answer") {
					case 0:
						see(r.HandleFailure(at, q.Server, q.ID))
					case 1:
						see(r.HandleAnswer(at, q.Server, q.ID, q.Number+"0", moved(t)))
					case 2:
						see(r.HandleAnswer(at, (q.Server+1)%set.Servers, q.ID, q.Number, moved(t)))
					default:
						see(r.HandleAnswer(at, q.Server, q.ID, q.Number, moved(t)))
					}
				}
			case 4:
				if waiting := slices.Sorted(maps.Keys(until)); len(waiting) > 0 {
					r.Cancel(waiting[0])
					delete(until, waiting[0])
				}
			}
			if len(r.lookups) > set.MaxLookups || len(r.lookupsByCall) > set.MaxWaiters || len(r.lookupsByID) != len(r.lookups) || len(r.cache.entries) > set.MaxCacheEntries || r.cache.size > set.MaxCacheBytes ||
				len(r.cache.entries) != r.cache.order.Len() || len(r.lookupsByCall) != len(until) {
				rt.Fatalf("%d open, %d waiting (%d), %d ids, %d remembered, %d bytes", len(r.lookups), len(r.lookupsByCall), len(until), len(r.lookupsByID), len(r.cache.entries), r.cache.size)
			}
		}
		for r.NextDeadline() < math.MaxInt64 {
			at = max(at, r.NextDeadline())
			see(r.HandleTimeouts(at))
		}
		if len(until) > 0 || len(r.lookups)+len(r.lookupsByID)+len(r.lookupsByCall) > 0 {
			rt.Fatalf("left: %v, %d open", until, len(r.lookups))
		}
	})
}
