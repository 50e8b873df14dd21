package invariant

import "slices"

// maxEvents bounds the events that are kept for each call.
const maxEvents = 32

// callState is the state of one call at one controller.
type callState struct {
	answer  answerState
	attempt attemptState
	release releaseState
	events  []Event
}

// answerState tracks the final answer of a call.
type answerState struct {
	isDue        bool
	overAt       Time // set with isOver if the answer was given or the caller abandoned the call
	isOver       bool // the final answer was given or missed, or the caller abandoned the call
	wasAbandoned bool // set with isOver if the caller abandoned the call
	isMissed     bool // it was missing at the deadline; a late answer is not reported in addition
	mayBeLate    bool // the controller was paused while the answer was due, so it may be late
	deadline     Time // when the caller abandons the call
}

// releaseState tracks the end of an established call.
type releaseState struct {
	isEstablished bool   // the caller got the answer that the call is established
	server        string // set with isEstablished; "": not known
	attempt       int    // set with server
	isEnded       bool   // the call ended at its server
	endedAt       string // set with isEnded: that server
	endedAttempt  int    // set with isEnded
	deadline      Time   // set with isEnded: the caller must be notified by then
	isOver        bool   // the caller was notified or released the call, or the notification was missed
	overAt        Time   // set with isOver
}

// isEndOf reports whether the recorded end belongs to the attempt of an event.
func (r *releaseState) isEndOf(e Event) bool {
	return r.endedAt == e.Server && r.endedAttempt == e.Attempt
}

// isOtherAttempt reports whether an attempt is known not to be the one that established the call.
func (r *releaseState) isOtherAttempt(server string, attempt int) bool {
	return r.isEstablished && r.server != "" && (r.server != server || r.attempt != attempt)
}

// attemptState tracks the attempts of a call.
type attemptState struct {
	openAt     string // server of the open attempt; "": none is open
	number     int    // of the latest attempt
	mayHaveRun bool   // the latest attempt has ended and may have run
	endedAt    Time   // set with mayHaveRun
}

// isOpen reports whether an event belongs to the open attempt.
func (a *attemptState) isOpen(e Event) bool { return a.openAt == e.Server && a.number == e.Attempt }

// appendEvent keeps an event. It drops the oldest one beyond maxEvents, but never the first, which is the offer.
func (c *callState) appendEvent(e Event) {
	if len(c.events) == maxEvents {
		c.events = slices.Delete(c.events, 1, 2)
	}
	c.events = append(c.events, e)
}
