package admission

import "fmt"

// This file holds what a StateMachine remembers of a call, and the states of its life. The decisions that
// lead from one state to another are in the files listed under policy in deploy/balancer.toml.

// A callState says whether an attempt of a call is open. The methods of call change it:
//
//	from                       to           method
//	placing                    attempting   startAttempt
//	attempting                 established  establish
//	attempting or established  placing      endAttempt
//	placing                    waiting      startRetryGuard
//	waiting                    placing      endRetryGuard
//
// The final answer, call.isDecided, is independent of it: the caller's deadline may pass while an attempt is
// open. A decided call is forgotten as soon as no attempt is open.
type callState int

const (
	callPlacing     callState = iota // no attempt is open
	callWaiting                      // no attempt is open and the retry guard runs
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

// A call is a call that has been offered and is not forgotten yet.
type call struct {
	id, number    string
	class         *class
	priority      Priority
	preferredPool int
	pools         []int // pools that it may use, the preferred first; nil: those of its class
	deadline      Time
	timerKey      int64

	state     callState
	isDecided bool // it has its final answer
	attempts  int  // that were started

	server     *server // of the open attempt; nil: none is open
	sentAt     Time    // when the latest attempt was sent
	isCanceled bool    // the latest attempt is or was canceled

	retryNotBefore Time    // end of the retry guard
	excludedServer *server // of the attempt that failed last
	lostConnection bool    // that attempt failed by its connection
	mayHaveRunOn   *server // server of the first attempt that may have run; nil: none
	mayHaveRunAt   Time    // when that attempt was sent
}

// startAttempt leads from placing to attempting.
func (c *call) startAttempt(s *server, now Time) {
	c.state = callAttempting
	c.attempts++
	c.server = s
	c.sentAt = now
	c.isCanceled = false
}

// establish leads from attempting to established.
func (c *call) establish() { c.state = callEstablished }

// endAttempt leads from attempting or established to placing.
func (c *call) endAttempt() {
	c.state = callPlacing
	c.server = nil
}

// startRetryGuard leads from placing to waiting.
func (c *call) startRetryGuard(until Time) {
	c.state = callWaiting
	c.retryNotBefore = until
}

// endRetryGuard leads from waiting to placing.
func (c *call) endRetryGuard() { c.state = callPlacing }

// A callTable holds the calls that are not forgotten, by their identifiers and by the keys of their timers.
type callTable struct {
	byID    map[string]*call
	byTimer map[int64]*call // without decided calls
	lastKey int64
}

func newCallTable() callTable {
	return callTable{byID: make(map[string]*call), byTimer: make(map[int64]*call)}
}

// add gives a new call the key of its timer and stores it.
func (t *callTable) add(c *call) {
	t.lastKey++
	c.timerKey = t.lastKey
	t.byID[c.id] = c
	t.byTimer[c.timerKey] = c
}

// A dialedNumber is a number that was dialed recently.
type dialedNumber struct {
	firstDialed Time
	expires     Time
	calls       int
}

// A class is a Class with the priority of its calls.
type class struct {
	Class
	priority Priority
}
