package call

import (
	"fmt"
	"os"
	"testing"
)

// TestMain makes every invalid state transition fail the test that causes it.
func TestMain(m *testing.M) {
	reportInvalidTransition = func(c *call, to callState) {
		panic(fmt.Sprintf("call %s: transition from %v to %v", c.ID, c.state, to))
	}
	os.Exit(m.Run())
}

func TestCallStatesHaveNames(t *testing.T) {
	for s := range callStateCount {
		if s.String() == "" || s.String() == "unknown" {
			t.Errorf("state %d is named %q", s, s)
		}
	}
}

// Transitions that callTransitions does not list are rejected: for example, an ended call stays ended, and
// an established call can only end.
func TestTransitionsThatAreNotPermitted(t *testing.T) {
	for _, test := range []struct{ from, to callState }{
		{callEnded, callWaiting},
		{callEnded, callEnded},
		{callEstablished, callAttempting},
		{callWaiting, callEstablished},
		{callAttempting, callAttempting},
	} {
		t.Run(test.from.String()+" to "+test.to.String(), func(t *testing.T) {
			defer func() {
				if recover() == nil {
					t.Error("the transition was permitted")
				}
			}()
			c := call{state: test.from}
			c.transition(test.to)
		})
	}
}
