package invariant

import (
	"fmt"
	"strings"
	"time"
)

// Time is a reading of the clock that all events share.
type Time = time.Duration

// Kind is the kind of an Event.
type Kind uint8

// Kinds of events at a call controller.
const (
	SetUp      Kind = iota // a call is offered; Event.Until is the time at which its caller abandons it
	Stands                 // final answer: the call is established
	Refused                // final answer: the call is rejected or has failed
	CallerEnd              // the caller abandons the call, or its connection is lost; no final answer is due
	Invite                 // an attempt is sent to Event.Server
	Cancel                 // the attempt is canceled
	Unsent                 // the attempt is canceled before it was written to the connection
	Answer                 // the server answers the attempt
	TurnedBack             // the attempt ended and certainly did not run
	Broke                  // the attempt ended with its connection and may have run
	Told                   // an endpoint update: Event.Server drains or is removed (Event.On) or is active
	Killed                 // the controller ended; its calls need no final answer
	PushedOver             // Event.Server crashed by overload during its slow start
	Paused                 // the controller's process is stopped (Event.On) or continues
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	return [...]string{
		"set-up", "stands", "refused", "caller ended", "invite", "cancel", "unsent", "answer", "turned back", "broke",
		"told", "killed", "pushed over", "paused",
	}[k]
}

// Event is one message or state change that was observed at a call controller. The JSON keys are part of the --json
// output.
type Event struct {
	At     Time   `json:"At"`
	Kind   Kind   `json:"Kind"`
	Node   string `json:"Node"` // name of the controller
	Call   string `json:"Call"`
	Server string `json:"Server"`
	N      int    `json:"N"`     // number of the attempt
	On     bool   `json:"On"`    // set for Told and Paused
	Until  Time   `json:"Until"` // set for SetUp
}

// String formats the event as a line of a log.
func (e Event) String() string {
	s := fmt.Sprintf("%12.6f %-8s %-12s", e.At.Seconds(), e.Node, e.Kind)
	if e.Call != "" {
		s += " " + e.Call
	}
	if e.Server != "" {
		s += fmt.Sprintf(" %s/%d", e.Server, e.N)
	}
	if e.Kind == SetUp {
		s += fmt.Sprintf(" until %.6f", e.Until.Seconds())
	}
	return strings.TrimRight(s, " ")
}
