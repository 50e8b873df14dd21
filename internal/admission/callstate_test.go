package admission

import (
	"testing"
	"time"
)

// The methods of call make the transitions that callState documents.
func TestCallStates(t *testing.T) {
	c, s := &call{}, &server{}
	expect := func(what string, want callState) {
		t.Helper()
		if c.state != want {
			t.Errorf("%s: call state %v, want %v", what, c.state, want)
		}
		isOpen := want == callAttempting || want == callEstablished
		if (c.server != nil) != isOpen {
			t.Errorf("%s: open attempt %v, want %v", what, c.server != nil, isOpen)
		}
	}
	expect("new", callPlacing)
	c.startAttempt(s, time.Hour)
	expect("sent", callAttempting)
	c.endAttempt()
	expect("ended", callPlacing)
	c.startRetryGuard(time.Hour + time.Second)
	expect("guarded", callWaiting)
	c.endRetryGuard()
	expect("released", callPlacing)
	c.startAttempt(s, time.Hour+time.Second)
	c.establish()
	expect("answered", callEstablished)
	c.endAttempt()
	expect("ended after the answer", callPlacing)
	if c.attempts != 2 {
		t.Errorf("%d attempts, want 2", c.attempts)
	}
}

func TestCallStateNames(t *testing.T) {
	for state, want := range map[callState]string{
		callPlacing: "placing", callWaiting: "waiting", callAttempting: "attempting", callEstablished: "established",
		callState(9): "callState(9)",
	} {
		if got := state.String(); got != want {
			t.Errorf("state %d: String() = %q, want %q", int(state), got, want)
		}
	}
}
