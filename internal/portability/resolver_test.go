package portability

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"olivedale/internal/numbering"
	"olivedale/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const now = Time(1_790_000_000) * time.Second

func testSettings() Settings {
	s := DefaultSettings(2)
	s.MaxLookups = 4
	s.MaxWaiters = 8
	s.MaxCacheEntries = 6
	s.MaxCacheBytes = 2000
	s.BreakerThreshold = 3
	return s
}

func newTestResolver(s Settings) *Resolver { return NewResolver(s, rand.New(rand.NewPCG(1, 1))) }

func portedAnswer(t testing.TB) Answer {
	t.Helper()
	routing, ok := numbering.ParseDigits("56999")
	if !ok {
		t.Fatal("no digits")
	}
	return Answer{Ported: true, Routing: routing, TTL: time.Minute}
}

// queriesIn returns the SendQuery actions.
func queriesIn(actions []Action) (queries []SendQuery) {
	for _, a := range actions {
		if query, ok := a.(SendQuery); ok {
			queries = append(queries, query)
		}
	}
	return queries
}

// resultsIn returns the results of the DeliverResult actions by call.
func resultsIn(actions []Action) map[string]Result {
	results := make(map[string]Result)
	for _, a := range actions {
		if delivery, ok := a.(DeliverResult); ok {
			results[delivery.Call] = delivery.Result
		}
	}
	return results
}

// indexedLookups returns the total number of entries in the indexes of look-ups, 0 if no look-up is open.
func indexedLookups(r *Resolver) int {
	return len(r.lookups.byNumber) + len(r.lookups.byID) + len(r.lookups.byCall)
}

func TestLookup(t *testing.T) {
	r := newTestResolver(testSettings())
	first := queriesIn(r.LookUp(now, "a", "561", now+time.Second))
	if len(first) != 1 || first[0].Server != 0 {
		t.Fatalf("%+v", first)
	}
	if actions := r.LookUp(now, "b", "561", now+time.Second); len(actions) != 0 || r.Coalesced != 1 {
		t.Errorf("a second query for the same number: %+v", actions)
	}
	// The first server does not answer. The second one does, for both calls, and the answer is cached.
	second := queriesIn(r.HandleTimeouts(now + 150*time.Millisecond))
	if len(second) != 1 || second[0].Server != 1 || second[0].ID == first[0].ID {
		t.Fatalf("%+v", second)
	}
	at := now + 200*time.Millisecond
	if actions := r.HandleAnswer(at, 0, first[0].ID, "561", portedAnswer(t)); len(actions) != 0 || r.UnmatchedAnswers != 1 {
		t.Errorf("an answer after the time-out: %+v", actions)
	}
	got := resultsIn(r.HandleAnswer(at, 1, second[0].ID, "561", portedAnswer(t)))
	if len(got) != 2 || got["a"].Origin != OriginServer || got["a"].Ported.State != numbering.Ported || got["b"] != got["a"] {
		t.Errorf("%+v", got)
	}
	got = resultsIn(r.LookUp(at+59*time.Second, "c", "561", at+time.Hour))
	if got["c"].Origin != OriginCache {
		t.Errorf("%+v", got)
	}
	// After the TTL a query is sent again; if no server answers, the cached answer is used.
	at += 2 * time.Minute
	if len(queriesIn(r.LookUp(at, "d", "561", at+100*time.Millisecond))) != 1 {
		t.Error("no query after the TTL")
	}
	got = resultsIn(r.HandleTimeouts(at + 100*time.Millisecond))
	if got["d"].Origin != OriginStaleCache || got["d"].Ported.State != numbering.Ported {
		t.Errorf("%+v", got)
	}
	if r.NextDeadline() != math.MaxInt64 || indexedLookups(r) != 0 {
		t.Error("a look-up remains")
	}
}

// The circuit breaker of a failing server opens, and after the cooldown a single query probes the server. While the
// breakers of all servers are open, calls get their fallback result at once.
func TestBreaker(t *testing.T) {
	settings := testSettings()
	settings.Servers = 1
	settings.MaxTries = 1
	r := newTestResolver(settings)
	at := now
	for i := range 3 {
		call := fmt.Sprint(i)
		queries := queriesIn(r.LookUp(at, call, "56"+call, at+time.Second))
		if len(queries) != 1 {
			t.Fatal("the breaker opened too early")
		}
		got := resultsIn(r.HandleFailure(at, 0, queries[0].ID))
		if got[call].Origin != OriginNone || got[call].Ported.State != numbering.PortingUnknown {
			t.Errorf("%+v", got)
		}
	}
	actions := r.LookUp(at, "x", "569", at+time.Second)
	if len(queriesIn(actions)) != 0 || resultsIn(actions)["x"].Origin != OriginNone || r.BreakerOpenings != 1 {
		t.Errorf("%+v", actions)
	}
	at += settings.BreakerCooldown
	probe := queriesIn(r.LookUp(at, "y", "5691", at+time.Second))
	actions = r.LookUp(at, "z", "5692", at+time.Second)
	if len(probe) != 1 || len(queriesIn(actions)) != 0 {
		t.Errorf("more than one probe: %+v", actions)
	}
	r.HandleAnswer(at, 0, probe[0].ID, "5691", Answer{})
	if len(queriesIn(r.LookUp(at, "w", "5693", at+time.Second))) != 1 {
		t.Error("the breaker stayed open after an answer")
	}
}

// Mismatched answers are counted and open the breaker, but do not end the look-up: the correct answer is still accepted
// afterwards.
func TestMismatchedAnswers(t *testing.T) {
	r := newTestResolver(testSettings())
	query := queriesIn(r.LookUp(now, "a", "561", now+time.Second))[0]
	for range 3 {
		if actions := r.HandleAnswer(now, 0, query.ID, "562", portedAnswer(t)); len(actions) != 0 {
			t.Errorf("actions for the answer to another question: %+v", actions)
		}
		if actions := r.HandleAnswer(now, 1, query.ID, "561", portedAnswer(t)); len(actions) != 0 {
			t.Errorf("actions for an answer from another server: %+v", actions)
		}
		if actions := r.HandleAnswer(now, 0, query.ID+1, "561", portedAnswer(t)); len(actions) != 0 {
			t.Errorf("actions for an answer with another ID: %+v", actions)
		}
	}
	if r.MismatchedAnswers != 6 || r.UnmatchedAnswers != 3 || r.BreakerOpenings != 2 {
		t.Errorf("%+v", r.Counters)
	}
	if r.cache.get(now, "562", 0).exists {
		t.Error("a mismatched answer is cached")
	}
	got := resultsIn(r.HandleAnswer(now, 0, query.ID, "561", Answer{}))
	if got["a"].Ported.State != numbering.NotPorted || got["a"].Origin != OriginServer {
		t.Errorf("%+v", got)
	}
}

func TestBudget(t *testing.T) {
	b := Budget{AttemptDuration: 500 * time.Millisecond, RetryGuard: 300 * time.Millisecond, AnswerDuration: 50 * time.Millisecond, MaxShare: 0.25}
	for remaining, want := range map[time.Duration]time.Duration{
		3 * time.Second:         750 * time.Millisecond,
		1500 * time.Millisecond: 150 * time.Millisecond,
		1350 * time.Millisecond: 0,
		0:                       0,
		-time.Second:            0,
	} {
		if got := b.LookUpTime(remaining); got != want {
			t.Errorf("look-up time of remaining %v: %v, want %v", remaining, got, want)
		}
	}
}
