package admission

import (
	"math"
	"time"
)

// A Time is a clock reading: the time since an origin that the host chooses. It must not be read from a clock that
// can go back. The package compares readings and never reads a clock itself.
type Time = time.Duration

// An Event tells a StateMachine what has happened: ServersUpdated, CallOffered, CallEstablished, AttemptEnded,
// CallAbandoned, LoadReported or TimerFired.
type Event interface{ event() }

// A ServerState is the state that the server list gives for a server.
type ServerState int

// States of a server. Only an Active one receives new attempts.
const (
	Active ServerState = iota
	Draining
	Removed
)

// A Server is an entry of the server list.
type Server struct {
	ID      string // entries without one are ignored
	Pool    int
	Zone    string
	State   ServerState
	Started Time // when the server started; 0: long ago or, for a server first seen in an update, just now
}

// ServersUpdated brings the server list or a change of it.
type ServersUpdated struct {
	Full    bool     // Servers is the whole list: a server that it lacks is removed
	Cached  bool     // the list is the one that the host stored before it was restarted
	Failed  bool     // the watch failed or ended; Servers is empty, and what is known remains valid
	Servers []Server // all servers, or those that have changed
}

// CallOffered brings a call. It ends with exactly one RejectCall or FailCall unless it is established or abandoned.
type CallOffered struct {
	CallID        string // unique among the open calls; a repeated one is ignored
	Class         string // name of a Class; a call of an unknown one is rejected
	Number        string // the called number; "": unknown
	PreferredPool int    // the pool of first choice
	Pools         []int  // pools that the call may use, the preferred first; nil: those of its class
	Deadline      Time   // the caller abandons this try then
	Redialed      bool   // the caller marks the call as redialed
	Reestablish   bool   // the call was established before and was interrupted
}

// CallEstablished reports that an attempt is answered and its call established.
type CallEstablished struct {
	CallID, Server string
	Attempt        int           // number of the attempt; the first of a call is 0
	SetupTime      time.Duration // from the start of the attempt to the answer
}

// An AttemptResult says how an attempt ended.
type AttemptResult int

// Results of attempts. ResultServerBusy, ResultDialFailed and ResultNotSent prove that the server did not run the call.
const (
	ResultDelivered      AttemptResult = iota // the call was established and has ended
	ResultServerError                         // the server answered with an error
	ResultServerBusy                          // the server rejected the attempt
	ResultTimedOut                            // no answer came in time
	ResultDialFailed                          // no connection to the server could be made
	ResultConnectionLost                      // the connection was lost before an answer came
	ResultCanceled                            // the attempt was canceled
	ResultNotSent                             // the attempt was given up before it was sent
)

// MayHaveRun reports whether the server may have run the call of an attempt with this result.
func (r AttemptResult) MayHaveRun() bool {
	return r != ResultServerBusy && r != ResultDialFailed && r != ResultNotSent
}

// A FailureCause says more about a failed attempt.
type FailureCause int

// Causes of failures.
const (
	CauseNone                   FailureCause = iota
	CauseNoCircuit                           // of ServerBusy: the pool has no free circuit
	CauseReturned                            // the server returned the call
	CauseProcessorBusy                       // of ServerBusy: the server is overloaded
	CauseDestinationBusy                     // of ServerError: all lines of the called number are busy
	CauseConnectionUnresponsive              // of ConnectionLost: the connection was open but brought nothing more
)

// AttemptEnded reports the end of an attempt. Each SendAttempt leads to exactly one AttemptEnded.
type AttemptEnded struct {
	CallID, Server string
	Attempt        int // number of the attempt; the first of a call is 0
	Result         AttemptResult
	Cause          FailureCause
	RetryAfter     time.Duration // retry-after time that a busy server asks for; 0: none
	Elapsed        time.Duration // since the start of the attempt
	Final          bool          // the call has ended and needs no answer
	Load           LoadReport    // report that came with the answer, if any
}

// An Optional is a number that may be absent. The zero value is absent.
type Optional struct {
	Value float64
	Valid bool
}

// isUsable reports whether a number is present, finite and not negative.
func (o Optional) isUsable() bool { return o.Valid && o.Value >= 0 && !math.IsInf(o.Value, 1) }

// A LoadReport is a server's report of its load. Numbers that are negative or not finite count as absent.
type LoadReport struct {
	QueueDelay    Optional // seconds that a message waits for the processor
	QueueLength   Optional // messages that wait for the processor
	Capacity      Optional // attempts a second that the server can take from all controllers
	ThrottleShare Optional // share of attempts, from 0 to 1, that the server asks each controller to hold back
	FreeCircuits  Optional // free circuits of the pool
	TotalCircuits Optional // circuits of the pool
}

// CallAbandoned reports that the caller has left. The call needs no answer any more.
type CallAbandoned struct{ CallID string }

// LoadReported brings a load report that came without an answer to an attempt.
type LoadReported struct {
	Server string
	OK     bool // the server could be reached
	Load   LoadReport
}

// TimerFired reports that the time of a SetTimer has come.
type TimerFired struct{ Key int64 }

func (ServersUpdated) event()  {}
func (CallOffered) event()     {}
func (CallEstablished) event() {}
func (AttemptEnded) event()    {}
func (CallAbandoned) event()   {}
func (LoadReported) event()    {}
func (TimerFired) event()      {}
