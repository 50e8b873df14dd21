package admission

import "fmt"

// This file defines the per-call state of a StateMachine and its transitions. The decisions that trigger the
// transitions are in the files listed under policy in deploy/balancer.toml.

// A callState describes the current attempt of a call. The methods of call make the transitions:
//
//	from                       to           method
//	placing                    attempting   startAttempt
//	attempting                 established  establish
//	attempting or established  placing      endAttempt
//	placing                    waiting      startRetryGuard
//	waiting                    placing      endRetryGuard
//
// The final answer, call.isDecided, is independent of this state because the caller's deadline may pass while an
// attempt is open. A decided call is deleted as soon as it has no open attempt.
type callState int

const (
	callPlacing     callState = iota // no attempt is open
	callWaiting                      // no attempt is open and the retry guard is running
	callAttempting                   // an attempt is open and unanswered
	callEstablished                  // an attempt is open and answered
)

// String returns the state's name for log messages and test output.
func (s callState) String() string {
	switch s {
	case callPlacing:
		return "placing"
	case callWaiting:
		return "waiting"
	case callAttempting:
		return "attempting"
	case callEstablished:
		return "established"
	default:
		return fmt.Sprintf("callState(%d)", int(s))
	}
}

// A call is a call in progress: offered, and not yet decided with all its attempts ended.
type call struct {
	id, number    string
	class         *class
	priority      Priority
	preferredPool int
	pools         []int // permitted pools, the preferred one first; nil: those of its class
	deadline      Time
	timerKey      int64

	state     callState
	isDecided bool // the final answer has been given
	attempts  int  // number of attempts started

	server     *server // server of the open attempt; nil: none is open
	sentAt     Time    // when the latest attempt was sent
	isCanceled bool    // the latest attempt has been canceled

	retryNotBefore Time    // end of the retry guard
	excludedServer *server // server of the latest failed attempt
	lostConnection bool    // that attempt failed because its connection did
	mayHaveRunOn   *server // server of the first attempt that may have run the call; nil: none
	mayHaveRunAt   Time    // when that attempt was sent
}

// startAttempt moves the call from placing to attempting.
func (c *call) startAttempt(s *server, now Time) {
	c.state = callAttempting
	c.attempts++
	c.server = s
	c.sentAt = now
	c.isCanceled = false
}

// establish moves the call from attempting to established.
func (c *call) establish() { c.state = callEstablished }

// endAttempt moves the call from attempting or established to placing.
func (c *call) endAttempt() {
	c.state = callPlacing
	c.server = nil
}

// startRetryGuard moves the call from placing to waiting.
func (c *call) startRetryGuard(until Time) {
	c.state = callWaiting
	c.retryNotBefore = until
}

// endRetryGuard moves the call from waiting to placing.
func (c *call) endRetryGuard() { c.state = callPlacing }

// A callTable indexes the calls in progress by identifier and by timer key.
type callTable struct {
	byID    map[string]*call
	byTimer map[int64]*call // without decided calls
	lastKey int64
}

func newCallTable() callTable {
	return callTable{byID: make(map[string]*call), byTimer: make(map[int64]*call)}
}

// add assigns a timer key to a new call and stores the call.
func (t *callTable) add(c *call) {
	t.lastKey++
	c.timerKey = t.lastKey
	t.byID[c.id] = c
	t.byTimer[c.timerKey] = c
}

// A dialedNumber tracks the recent calls to a number.
type dialedNumber struct {
	firstDialed Time
	expires     Time
	calls       int
}

// A class is a Class with the default priority of its calls.
type class struct {
	Class
	priority Priority
}
