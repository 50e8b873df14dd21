package invariant

import (
	"fmt"
	"strings"
	"time"
)

// Time is a reading of the clock that all events of a run share.
type Time = time.Duration

// Kind is the kind of an Event.
type Kind uint8

// Kinds of events at a call controller.
const (
	CallOffered          Kind = iota // a call is offered; Event.Deadline is the time at which its caller abandons it
	CallEstablished                  // final answer: the call is established
	CallRejected                     // final answer: the call is rejected or has failed
	CallAbandoned                    // the caller abandons the call or its connection is lost; no final answer is due
	AttemptSent                      // an attempt is sent to Event.Server
	AttemptCanceled                  // the attempt is canceled
	AttemptUnsent                    // the attempt is canceled before it was written to the connection
	AttemptAnswered                  // the server answers the attempt
	AttemptRejected                  // the attempt ended and certainly did not run
	AttemptBroken                    // the attempt ended with its connection and may have run
	ServerUpdated                    // an endpoint update: Event.Server drains or is removed (Event.IsSet) or is active
	ControllerEnded                  // the controller ended; its calls need no final answer
	ServerCrashed                    // Event.Server crashed by overload during its slow start
	ControllerPaused                 // the controller's process is stopped (Event.IsSet) or continues
	CallEnded                        // an established call ended at Event.Server; notify its caller by Event.Deadline
	CallerNotified                   // the caller was notified of the release of an established call
	CallerReleased                   // the caller released an established call
	CallStillEstablished             // the call is still established at Event.Server at the end of a run
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	return [...]string{
		"set-up", "stands", "refused", "caller ended", "invite", "cancel", "unsent", "answer", "did not run", "broke",
		"told", "killed", "overload crash", "paused", "ended", "notified", "hung up", "standing",
	}[k]
}

// Event is one message or state change that was observed at a call controller. The JSON keys are part of the --json
// output.
type Event struct {
	At         Time   `json:"At"`
	Kind       Kind   `json:"Kind"`
	Controller string `json:"Node"` // name of the controller
	Call       string `json:"Call"`
	Server     string `json:"Server"`
	Attempt    int    `json:"N"`     // number of the attempt
	IsSet      bool   `json:"On"`    // set for ServerUpdated and ControllerPaused
	Deadline   Time   `json:"Until"` // set for CallOffered and CallEnded
}

// String formats the event as a line of a log.
func (e Event) String() string {
	s := fmt.Sprintf("%12.6f %-8s %-12s", e.At.Seconds(), e.Controller, e.Kind)
	if e.Call != "" {
		s += " " + e.Call
	}
	if e.Server != "" {
		s += fmt.Sprintf(" %s/%d", e.Server, e.Attempt)
	}
	if e.Kind == CallOffered || e.Kind == CallEnded {
		s += fmt.Sprintf(" until %.6f", e.Deadline.Seconds())
	}
	return strings.TrimRight(s, " ")
}
