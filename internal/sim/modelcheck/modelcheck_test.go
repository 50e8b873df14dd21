package modelcheck

import (
	"testing"

	"olivedale/internal/call"
)

func logResult(t testing.TB, b Bounds, r Result) {
	t.Helper()
	t.Logf("%d calls, %d servers, %d attempts: %d states, %d transitions, up to %d events; complete: %v",
		b.Calls, b.Servers, b.MaxAttempts, r.States, r.Transitions, r.Depth, r.IsComplete)
}

// The call manager keeps its invariants in all orders of events and with all decisions.
func TestAllOrders(t *testing.T) {
	t.Parallel()
	for _, b := range []Bounds{
		{Calls: 1, Servers: 2, MaxAttempts: 3, MaxDepth: 7, MaxStates: 60_000},
		{Calls: 2, Servers: 2, MaxAttempts: 2, MaxDepth: 4, MaxStates: 60_000},
	} {
		r := Run(b)
		logResult(t, b, r)
		if r.Counterexample != nil {
			t.Error(r.Counterexample)
		}
	}
}

// uncanceling does not send cancels.
type uncanceling struct{ call.Backends }

func (uncanceling) Cancel(string, string, int) bool { return false }

// A seeded violation is found with the fewest events that show it.
func TestSeededViolation(t *testing.T) {
	t.Parallel()
	r := Run(Bounds{
		Calls: 1, Servers: 2, MaxAttempts: 2, MaxDepth: 6, MaxStates: 60_000,
		WrapBackends: func(b call.Backends) call.Backends { return uncanceling{b} },
	})
	if r.Counterexample == nil {
		t.Fatalf("not found in %d states", r.States)
	}
	if len(r.Counterexample.Events) > 3 {
		t.Errorf("%v", r.Counterexample)
	}
}

// BenchmarkAllOrders searches deeper:
// go test -run '^$' -bench AllOrders -benchtime 1x ./internal/sim/modelcheck
func BenchmarkAllOrders(b *testing.B) {
	for range b.N {
		bounds := Bounds{Calls: 2, Servers: 2, MaxAttempts: 2, MaxDepth: 7, MaxStates: 1_000_000}
		r := Run(bounds)
		logResult(b, bounds, r)
		if r.Counterexample != nil {
			b.Error(r.Counterexample)
		}
	}
}
