package backend

import (
	"time"

	"olivedale/internal/call"
)

// An inputHandler decodes and handles the messages received on one connection.
type inputHandler interface {
	// handleData handles received data and reports whether it completed a message.
	handleData(data []byte) (complete bool, err error)
	// hasPartialMessage reports whether an incomplete message is buffered.
	hasPartialMessage() bool
}

// An attemptID identifies an attempt of a call.
type attemptID struct {
	id      string // of the call
	attempt int
}

// A protocol writes and reads the messages on the connections to one exchange. It may keep per-call state.
type protocol interface {
	// appendInvite appends a set-up. It fails if the protocol cannot encode the set-up.
	appendInvite(b []byte, s call.Setup) ([]byte, error)
	// appendCancel appends the cancellation of an unanswered attempt.
	appendCancel(b []byte, id string, attempt int) []byte
	// appendRelease appends the release of an established call.
	appendRelease(b []byte, id string, attempt, cause int) []byte
	// newInputHandler returns the input handler of a new connection. It stops handling messages once isOpen returns
	// false.
	newInputHandler(isOpen func() bool) inputHandler
	// reset discards the requests that were sent on an earlier connection.
	reset()
	// releaseKey returns the key of the release of an attempt. Releases with the same key end the same.
	releaseKey(id string, attempt int) releaseKey
	// forgetProcess discards what was learned about the process of the exchange, because another one may have its
	// address.
	forgetProcess()
	// unresolvedAttempts returns the attempts for which the exchange has not sent a final reply.
	unresolvedAttempts() []attemptID
	// expire drops the state of calls that have ended.
	expire(now time.Duration)
	// trackedCalls returns the number of calls for which state is kept.
	trackedCalls() int
}
