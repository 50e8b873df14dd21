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
	s.InFlight, s.Waiters, s.Entries, s.Bytes, s.BreakAfter = 4, 8, 6, 2000, 3
	return s
}

func moved(t testing.TB) Answer {
	t.Helper()
	d, ok := numbering.MakeDigits("56999")
	if !ok {
		t.Fatal("no digits")
	}
	return Answer{Moved: true, Routing: d, TTL: time.Minute}
}

// sent and told take actions apart.
func sent(acts []Action) (all []Send) {
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			all = append(all, s)
		}
	}
	return all
}

func told(acts []Action) map[string]Result {
	all := make(map[string]Result)
	for _, a := range acts {
		if x, ok := a.(Tell); ok {
			all[x.Call] = x.Result
		}
	}
	return all
}

func TestLookup(t *testing.T) {
	r := New(settings(), rand.New(rand.NewPCG(1, 1)))
	first := sent(r.Ask(now, "a", "561", now+time.Second))
	if len(first) != 1 || first[0].Server != 0 {
		t.Fatalf("%+v", first)
	}
	if acts := r.Ask(now, "b", "561", now+time.Second); len(acts) != 0 || r.Coalesced != 1 {
		t.Errorf("an equal question was asked again: %+v", acts)
	}
	// The first server is silent, the second answers, for both; then it is remembered.
	second := sent(r.Tick(now + 150*time.Millisecond))
	if len(second) != 1 || second[0].Server != 1 || second[0].ID == first[0].ID {
		t.Fatalf("%+v", second)
	}
	at := now + 200*time.Millisecond
	if acts := r.Reply(at, 0, first[0].ID, "561", moved(t)); len(acts) != 0 || r.Strays != 1 {
		t.Errorf("an answer that comes too late: %+v", acts)
	}
	got := told(r.Reply(at, 1, second[0].ID, "561", moved(t)))
	if len(got) != 2 || got["a"].Origin != Server || got["a"].Ported.State != numbering.Moved || got["b"] != got["a"] {
		t.Errorf("%+v", got)
	}
	if got = told(r.Ask(at+59*time.Second, "c", "561", at+time.Hour)); got["c"].Origin != Cache {
		t.Errorf("%+v", got)
	}
	// Past its time it is asked for again; where nobody answers the old answer counts.
	at += 2 * time.Minute
	if len(sent(r.Ask(at, "d", "561", at+100*time.Millisecond))) != 1 {
		t.Error("not asked again")
	}
	if got = told(r.Tick(at + 100*time.Millisecond)); got["d"].Origin != Stale || got["d"].Ported.State != numbering.Moved {
		t.Errorf("%+v", got)
	}
	if r.Next() != math.MaxInt64 || len(r.open)+len(r.byID)+len(r.calls) != 0 {
		t.Error("something is left")
	}
}

// A server that fails is left alone, then one question tells whether it is back; with all of them
// left alone calls are told at once.
func TestBreaker(t *testing.T) {
	set := settings()
	set.Servers, set.Tries = 1, 1
	r := New(set, rand.New(rand.NewPCG(1, 1)))
	at := now
	for i := range 3 {
		call := fmt.Sprint(i)
		s := sent(r.Ask(at, call, "56"+call, at+time.Second))
		if len(s) != 1 {
			t.Fatal("left alone too early")
		}
		if got := told(r.Fail(at, 0, s[0].ID)); got[call].Origin != Nobody || got[call].Ported.State != numbering.Undecided {
			t.Errorf("%+v", got)
		}
	}
	if acts := r.Ask(at, "x", "569", at+time.Second); len(sent(acts)) != 0 || told(acts)["x"].Origin != Nobody || r.Broken != 1 {
		t.Errorf("%+v", acts)
	}
	at += set.BreakFor
	probe := sent(r.Ask(at, "y", "5691", at+time.Second))
	if acts := r.Ask(at, "z", "5692", at+time.Second); len(probe) != 1 || len(sent(acts)) != 0 {
		t.Errorf("more than one question tells: %+v", acts)
	}
	r.Reply(at, 0, probe[0].ID, "5691", Answer{})
	if len(sent(r.Ask(at, "w", "5693", at+time.Second))) != 1 {
		t.Error("it is back, and left alone")
	}
}

// Lies change nothing for the call, count, and trip the breaker; the true answer still counts.
func TestLies(t *testing.T) {
	r := New(settings(), rand.New(rand.NewPCG(1, 1)))
	s := sent(r.Ask(now, "a", "561", now+time.Second))[0]
	for range 3 {
		if acts := r.Reply(now, 0, s.ID, "562", moved(t)); len(acts) != 0 {
			t.Errorf("another question's answer: %+v", acts)
		}
		if acts := r.Reply(now, 1, s.ID, "561", moved(t)); len(acts) != 0 {
			t.Errorf("from another server: %+v", acts)
		}
		if acts := r.Reply(now, 0, s.ID+1, "561", moved(t)); len(acts) != 0 {
			t.Errorf("under another id: %+v", acts)
		}
	}
	if r.Lies != 6 || r.Strays != 3 || r.Broken != 2 {
		t.Errorf("%+v", r.Counters)
	}
	if _, _, ok := r.cache.get(now, "562", 0); ok {
		t.Error("a lie is remembered")
	}
	if got := told(r.Reply(now, 0, s.ID, "561", Answer{})); got["a"].Ported.State != numbering.Stays || got["a"].Origin != Server {
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
		r := New(set, rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)))
		at := now
		until := make(map[string]Time) // of calls that wait
		var questions []Send
		see := func(acts []Action) {
			for _, a := range acts {
				switch a := a.(type) {
				case Send:
					questions = append(questions, a)
					if s := r.servers[a.Server]; at < s.closed {
						rt.Fatal("asked a server that is left alone")
					}
				case Tell:
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
			for r.Next() <= to {
				at = max(at, r.Next())
				see(r.Tick(at))
			}
			at = to
			switch rapid.IntRange(0, 5).Draw(rt, "do") {
			case 0, 1:
				call := fmt.Sprint("c", n)
				until[call] = at + Time(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "wait"))
				see(r.Ask(at, call, fmt.Sprint("56", rapid.IntRange(0, 9).Draw(rt, "number")), until[call]))
			case 2, 3:
				if len(questions) > 0 {
					q := questions[rapid.IntRange(0, len(questions)-1).Draw(rt, "question")]
					switch rapid.IntRange(0, 4).Draw(rt, "answer") {
					case 0:
						see(r.Fail(at, q.Server, q.ID))
					case 1:
						see(r.Reply(at, q.Server, q.ID, q.Number+"0", moved(t)))
					case 2:
						see(r.Reply(at, (q.Server+1)%set.Servers, q.ID, q.Number, moved(t)))
					default:
						see(r.Reply(at, q.Server, q.ID, q.Number, moved(t)))
					}
				}
			case 4:
				if waiting := slices.Sorted(maps.Keys(until)); len(waiting) > 0 {
					r.Cancel(waiting[0])
					delete(until, waiting[0])
				}
			}
			if len(r.open) > set.InFlight || len(r.calls) > set.Waiters || len(r.byID) != len(r.open) || len(r.cache.by) > set.Entries || r.cache.used > set.Bytes ||
				len(r.cache.by) != r.cache.order.Len() || len(r.calls) != len(until) {
				rt.Fatalf("%d open, %d waiting (%d), %d ids, %d remembered, %d bytes", len(r.open), len(r.calls), len(until), len(r.byID), len(r.cache.by), r.cache.used)
			}
		}
		for r.Next() < math.MaxInt64 {
			at = max(at, r.Next())
			see(r.Tick(at))
		}
		if len(until) > 0 || len(r.open)+len(r.byID)+len(r.calls) > 0 {
			rt.Fatalf("left: %v, %d open", until, len(r.open))
		}
	})
}
