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
)

// resolverTest applies random events to a Resolver and checks its actions.
type resolverTest struct {
	*rapid.T
	settings  Settings
	resolver  *Resolver
	now       Time
	deadlines map[string]Time // by waiting call
	queries   []SendQuery     // all queries that have been sent
}

// With random answers, failures and cancellations: each call gets exactly one result by its deadline, or none if it is
// canceled; no query is sent to a server whose breaker is open; all limits hold; and no look-up remains at the end.
func TestEveryCallGetsOneResultInTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		settings := testSettings()
		settings.Servers = rapid.IntRange(1, 3).Draw(rt, "servers")
		seed := rapid.Uint64().Draw(rt, "seed")
		test := &resolverTest{
			T:         rt,
			settings:  settings,
			resolver:  NewResolver(settings, rand.New(rand.NewPCG(seed, 1))),
			now:       now,
			deadlines: make(map[string]Time),
		}
		test.run(t)
	})
}

func (t *resolverTest) run(tb testing.TB) {
	for n := range rapid.IntRange(1, 60).Draw(t.T, "steps") {
		t.advance(Time(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t.T, "pass")))
		switch rapid.IntRange(0, 5).Draw(t.T, "event") {
		case 0, 1:
			t.lookUp(fmt.Sprint("c", n))
		case 2, 3:
			if len(t.queries) > 0 {
				t.answer(portedAnswer(tb))
			}
		case 4:
			t.cancelFirst()
		}
		t.checkBounds()
	}
	for t.resolver.NextDeadline() < math.MaxInt64 {
		t.now = max(t.now, t.resolver.NextDeadline())
		t.check(t.resolver.HandleTimeouts(t.now))
	}
	if len(t.deadlines) > 0 || indexedLookups(t.resolver) > 0 {
		t.Fatalf("waiting calls %v and %d look-ups remain", t.deadlines, len(t.resolver.lookups.byNumber))
	}
}

// advance moves the time forward and calls HandleTimeouts at each deadline, as a user of the resolver does.
func (t *resolverTest) advance(duration Time) {
	end := t.now + duration
	for t.resolver.NextDeadline() <= end {
		t.now = max(t.now, t.resolver.NextDeadline())
		t.check(t.resolver.HandleTimeouts(t.now))
	}
	t.now = end
}

func (t *resolverTest) lookUp(call string) {
	deadline := t.now + Time(rapid.Int64Range(0, int64(time.Second)).Draw(t.T, "wait"))
	t.deadlines[call] = deadline
	number := fmt.Sprint("56", rapid.IntRange(0, 9).Draw(t.T, "number"))
	t.check(t.resolver.LookUp(t.now, call, number, deadline))
}

// answer handles an answer, a failure or a mismatched answer for one of the queries, which may already be answered.
func (t *resolverTest) answer(a Answer) {
	q := t.queries[rapid.IntRange(0, len(t.queries)-1).Draw(t.T, "query")]
	switch rapid.IntRange(0, 4).Draw(t.T, "answer") {
	case 0:
		t.check(t.resolver.HandleFailure(t.now, q.Server, q.ID))
	case 1:
		t.check(t.resolver.HandleAnswer(t.now, q.Server, q.ID, q.Number+"0", a))
	case 2:
		t.check(t.resolver.HandleAnswer(t.now, (q.Server+1)%t.settings.Servers, q.ID, q.Number, a))
	default:
		t.check(t.resolver.HandleAnswer(t.now, q.Server, q.ID, q.Number, a))
	}
}

func (t *resolverTest) cancelFirst() {
	waiting := slices.Sorted(maps.Keys(t.deadlines))
	if len(waiting) > 0 {
		t.resolver.Cancel(waiting[0])
		delete(t.deadlines, waiting[0])
	}
}

func (t *resolverTest) check(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendQuery:
			t.queries = append(t.queries, a)
			if t.now < t.resolver.breakers[a.Server].openUntil {
				t.Fatal("a query to a server whose breaker is open")
			}
		case DeliverResult:
			deadline, isWaiting := t.deadlines[a.Call]
			if !isWaiting {
				t.Fatalf("%s got a second result or was canceled", a.Call)
			}
			if t.now > deadline {
				t.Fatalf("%s got its result %v after its deadline", a.Call, t.now-deadline)
			}
			delete(t.deadlines, a.Call)
		}
	}
}

func (t *resolverTest) checkBounds() {
	lookups, cache := &t.resolver.lookups, &t.resolver.cache
	isOverBound := len(lookups.byNumber) > t.settings.MaxLookups ||
		len(lookups.byCall) > t.settings.MaxWaiters ||
		len(cache.entries) > t.settings.MaxCacheEntries ||
		cache.size > t.settings.MaxCacheBytes
	isInconsistent := len(lookups.byID) != len(lookups.byNumber) ||
		len(cache.entries) != cache.order.Len() ||
		len(lookups.byCall) != len(t.deadlines)
	if isOverBound || isInconsistent {
		t.Fatalf("%d look-ups, %d waiters (%d expected), %d IDs, %d cache entries of %d bytes",
			len(lookups.byNumber), len(lookups.byCall), len(t.deadlines), len(lookups.byID), len(cache.entries), cache.size)
	}
}
