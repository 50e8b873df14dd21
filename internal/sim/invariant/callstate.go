package invariant

import "slices"

// maxEvents bounds the events that are kept for each call.
const maxEvents = 32

// callState is what the checker knows about one call of one controller.
type callState struct {
	answer  answerState
	attempt attemptState
	release releaseState
	events  []Event
}

// answerState follows the final answer of a call.
type answerState struct {
	isDue        bool
	overAt       Time // set with isOver, if the answer was given or the caller abandoned the call
	isOver       bool // the final answer was given or missed, or the caller abandoned the call
	wasAbandoned bool // set with isOver, if the caller abandoned the call
	isMissed     bool // it was not given when the caller abandoned the call; a late answer is not reported as well
	isExcused    bool // the controller was paused while the answer was due: it may be late
	deadline     Time // the caller abandons the call then
}

// releaseState follows the end of an established call.
type releaseState struct {
	isEstablished bool   // the caller was told that the call is established
	server        string // set with isEstablished: where it is; "": not known
	attempt       int    // set with server
	isEnded       bool   // the call ended at its server
	endedAt       string // set with isEnded: that server
	endedAttempt  int    // set with isEnded
	deadline      Time   // set with isEnded: the caller must be notified by then
	isOver        bool   // the call is over for its caller: notified, released by the caller, or missed
	overAt        Time   // set with isOver
}

// isEndOf reports whether the end that is known is that of an event.
func (r *releaseState) isEndOf(e Event) bool {
	return r.endedAt == e.Server && r.endedAttempt == e.Attempt
}

// isElsewhere reports whether an attempt is another than the one by which the call is established, as far as is known.
func (r *releaseState) isElsewhere(server string, attempt int) bool {
	return r.isEstablished && r.server != "" && (r.server != server || r.attempt != attempt)
}

// attemptState follows the attempts of a call.
type attemptState struct {
	openAt     string // server of the open attempt; "": none is open
	number     int    // of the latest attempt
	mayHaveRun bool   // the latest attempt has ended and may have run
	endedAt    Time   // set with mayHaveRun
}

// isOpen reports whether an event belongs to the open attempt.
func (a *attemptState) isOpen(e Event) bool { return a.openAt == e.Server && a.number == e.Attempt }

// keep appends an event. The first event, the offer, is never dropped.
func (c *callState) keep(e Event) {
	if len(c.events) == maxEvents {
		c.events = slices.Delete(c.events, 1, 2)
	}
	c.events = append(c.events, e)
}
