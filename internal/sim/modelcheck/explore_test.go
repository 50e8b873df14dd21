package modelcheck

import (
	"testing"

	"olivedale/internal/call"
)

// Whatever the order of events and whatever the module says, the core keeps its rules.
func TestEveryOrder(t *testing.T) {
	t.Parallel()
	for _, b := range []Bounds{
		{Calls: 1, Servers: 2, Attempts: 3, Depth: 7, States: 60_000},
		{Calls: 2, Servers: 2, Attempts: 2, Depth: 4, States: 60_000},
	} {
		r := Run(b)
		t.Logf("%d calls, %d exchanges, %d attempts: %d states, %d transitions, up to %d events; all of them: %v", b.Calls, b.Servers, b.Attempts, r.States, r.Steps, r.Depth, r.Whole)
		if r.Failure != nil {
			t.Error(r.Failure)
		}
	}
}

// forgetful does not say on the wire that a set-up is given up.
type forgetful struct{ call.Backends }

func (forgetful) Cancel(string, string, int) bool { return false }

// A breach that is put in is found, by the fewest events that show it.
func TestBreachIsFound(t *testing.T) {
	t.Parallel()
	r := Run(Bounds{Calls: 1, Servers: 2, Attempts: 2, Depth: 6, States: 60_000, Wire: func(x call.Backends) call.Backends { return forgetful{x} }})
	if r.Failure == nil {
		t.Fatalf("not found in %d states", r.States)
	}
	if len(r.Failure.Steps) > 3 {
		t.Errorf("%v", r.Failure)
	}
}

// Deeper: go test -run '^$' -bench EveryOrder -benchtime 1x ./internal/sim/modelcheck
func BenchmarkEveryOrder(b *testing.B) {
	for range b.N {
		r := Run(Bounds{Calls: 2, Servers: 2, Attempts: 2, Depth: 7, States: 1_000_000})
		b.Logf("2 calls, 2 exchanges, 2 attempts: %d states, %d transitions, up to %d events; all of them: %v", r.States, r.Steps, r.Depth, r.Whole)
		if r.Failure != nil {
			b.Error(r.Failure)
		}
	}
}
