package agent

import (
	"context"
	"slices"
	"testing"
	"time"
)

// Checks the names of states in the admin protocol, because olivectl and the console compare them.
func TestStateNames(t *testing.T) {
	names := map[State]string{
		Starting: "starting", Running: "running", Restarting: "waiting",
		Draining: "draining", Drained: "drained", Invalid: "faulty", Invalid + 1: "State(6)",
	}
	for state, want := range names {
		if got := state.String(); got != want {
			t.Errorf("name of state %d is %q, want %q", int(state), got, want)
		}
	}
}

func TestInstanceCountsStarts(t *testing.T) {
	i := newInstance("a", nil)
	for _, state := range []State{Running, Restarting, Running, Draining} {
		i.setState(state, 7)
	}
	if got, want := i.currentStatus(), (status{state: Draining, pid: 7, starts: 2}); got != want {
		t.Errorf("status %+v, want %+v", got, want)
	}
}

func TestBackoff(t *testing.T) {
	b := newBackoff(1*time.Millisecond, 5*time.Millisecond)
	var delays []time.Duration
	for range 4 {
		delays = append(delays, b.delay/time.Millisecond)
		if !b.wait(t.Context()) {
			t.Error("wait returned false before its context was done")
		}
		b.increase()
	}
	if want := []time.Duration{1, 2, 4, 5}; !slices.Equal(delays, want) {
		t.Errorf("delays %v ms, want %v", delays, want)
	}
	b.reset()
	if b.delay != b.minDelay {
		t.Errorf("delay %v after a reset", b.delay)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if newBackoff(time.Hour, time.Hour).wait(ctx) {
		t.Error("wait ignored its context")
	}
}
