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

// The call manager violates no invariant in any order of events and with any decisions, within the bounds.
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

// backendsWithoutCancel discards cancels.
type backendsWithoutCancel struct{ call.Backends }

func (backendsWithoutCancel) Cancel(string, string, int) bool { return false }

// A seeded violation is found, with a counterexample of at most three events.
func TestSeededViolation(t *testing.T) {
	t.Parallel()
	r := Run(Bounds{
		Calls: 1, Servers: 2, MaxAttempts: 2, MaxDepth: 6, MaxStates: 60_000,
		WrapBackends: func(b call.Backends) call.Backends { return backendsWithoutCancel{b} },
	})
	if r.Counterexample == nil {
		t.Fatalf("no violation found in %d states", r.States)
	}
	if len(r.Counterexample.Events) > 3 {
		t.Errorf("the counterexample is too long: %v", r.Counterexample)
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
