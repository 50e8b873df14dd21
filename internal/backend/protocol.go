package backend

import (
	"time"

	"olivedale/internal/call"
)

// An input is what one connection brings.
type input interface {
	// handleData handles input and reports whether it has completed a message.
	handleData(data []byte) (complete bool, err error)
	// hasPartialMessage reports whether part of a message waits for the rest.
	hasPartialMessage() bool
}

// A protocol writes and reads the messages on the connections to one exchange. It may keep state of calls.
type protocol interface {
	// appendInvite appends a set-up; it fails if the protocol cannot express the set-up.
	appendInvite(b []byte, s call.Setup) ([]byte, error)
	// appendCancel appends the cancellation of an attempt that is not answered.
	appendCancel(b []byte, id string, attempt int) []byte
	// appendRelease appends the release of an established call.
	appendRelease(b []byte, id string, attempt, cause int) []byte
	// newInput returns the input of a new connection, which is read for as long as isOpen.
	newInput(isOpen func() bool) input
	// reset forgets what was requested on an earlier connection.
	reset()
	// unsettledAttempts returns the attempts, by the call's id, of which the exchange has not said how they ended.
	unsettledAttempts() map[string]int
	// expire drops the state of calls that are over.
	expire(now time.Duration)
	// rememberedCalls returns the number of calls that state is kept of.
	rememberedCalls() int
}
