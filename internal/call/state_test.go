package call

import "testing"

func TestCallStatesHaveNames(t *testing.T) {
	for s := range callStateCount {
		if s.String() == "" || s.String() == "unknown" {
			t.Errorf("state %d is named %q", s, s)
		}
	}
}

// An ended call stays ended, and an established call can only end.
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
