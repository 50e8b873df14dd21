package admission

import (
	"math"
	"time"
)

// A Time is a reading of a monotonic clock: the time since an origin that the host chooses. The package only compares
// readings and never reads a clock itself.
type Time = time.Duration

// An Event is an input of a StateMachine: ServersUpdated, CallOffered, CallEstablished, AttemptEnded,
// CallAbandoned, LoadReported or TimerFired.
type Event interface{ event() }

// A ServerState is the state of a server according to the server list.
type ServerState int

// States of a server. Only Active servers receive new attempts.
const (
	Active ServerState = iota
	Draining
	Removed
)

// A Server is an entry of the server list.
type Server struct {
	ID      string // entries with an empty ID are ignored
	Pool    int
	Zone    string
	State   ServerState
	Started Time // start time; 0: long ago or, for a server first seen in a partial update, just now
}

// ServersUpdated carries the server list or a change of it.
type ServersUpdated struct {
	Full    bool     // Servers is the complete list: servers that are not in it are removed
	Cached  bool     // the list was stored by the host before it restarted
	Failed  bool     // the watch failed or ended; Servers is empty, and the current list remains valid
	Servers []Server // the complete list, or the servers that have changed
}

// CallOffered submits a call. Exactly one RejectCall or FailCall answers it unless it is established or abandoned.
type CallOffered struct {
	CallID        string // unique among the open calls; duplicates are ignored
	Class         string // name of a Class; calls of an unknown class are rejected
	Number        string // the called number; "": unknown
	PreferredPool int    // pool of first choice
	Pools         []int  // permitted pools, the preferred one first; nil: those of its class
	Deadline      Time   // time at which the caller gives up this try
	Redialed      bool   // the caller marks the call as redialed
	Reestablish   bool   // the call had been established and was interrupted
}

// CallEstablished reports that an attempt was answered and its call is established.
type CallEstablished struct {
	CallID, Server string
	Attempt        int           // attempts of a call are numbered from 0
	SetupTime      time.Duration // from the start of the attempt to the answer
}

// An AttemptResult is the outcome of an attempt.
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
	ResultNotSent                             // the attempt was abandoned before it was sent
)

// MayHaveRun reports whether, given this result, the server may have run the call.
func (r AttemptResult) MayHaveRun() bool {
	return r != ResultServerBusy && r != ResultDialFailed && r != ResultNotSent
}

// A FailureCause details why an attempt failed.
type FailureCause int

// Causes of failures.
const (
	CauseNone                   FailureCause = iota
	CauseNoCircuit                           // with ResultServerBusy: the pool has no free circuit
	CauseReturned                            // the server returned the call
	CauseProcessorBusy                       // with ResultServerBusy: the server is overloaded
	CauseDestinationBusy                     // with ResultServerError: all lines of the called number are busy
	CauseConnectionUnresponsive              // with ResultConnectionLost: the open connection stopped responding
)

// AttemptEnded reports the end of an attempt. The host sends exactly one for each SendAttempt.
type AttemptEnded struct {
	CallID, Server string
	Attempt        int // attempts of a call are numbered from 0
	Result         AttemptResult
	Cause          FailureCause
	RetryAfter     time.Duration // retry-after time requested by a busy server; 0: none
	Elapsed        time.Duration // since the start of the attempt
	Final          bool          // the call has ended and needs no further answer
	Load           LoadReport    // load report carried by the answer, if any
}

// An Optional is a number that may be absent. Its zero value is absent.
type Optional struct {
	Value float64
	Valid bool
}

// isUsable reports whether the number is present, finite and not negative.
func (o Optional) isUsable() bool { return o.Valid && o.Value >= 0 && !math.IsInf(o.Value, 1) }

// A LoadReport is a server's report of its load. Negative and non-finite numbers are treated as absent.
type LoadReport struct {
	QueueDelay    Optional // time in seconds that a message waits for the processor
	QueueLength   Optional // number of messages waiting for the processor
	Capacity      Optional // attempts per second that the server can take from all controllers together
	ThrottleShare Optional // share of attempts, from 0 to 1, that the server asks each controller to withhold
	FreeCircuits  Optional // free circuits of the pool
	TotalCircuits Optional // circuits of the pool
}

// CallAbandoned reports that the caller has hung up. The call no longer needs an answer.
type CallAbandoned struct{ CallID string }

// LoadReported carries a load report that was not part of the answer to an attempt.
type LoadReported struct {
	Server string
	OK     bool // the server was reachable
	Load   LoadReport
}

// TimerFired reports that a timer set by SetTimer is due.
type TimerFired struct{ Key int64 }

func (ServersUpdated) event()  {}
func (CallOffered) event()     {}
func (CallEstablished) event() {}
func (AttemptEnded) event()    {}
func (CallAbandoned) event()   {}
func (LoadReported) event()    {}
func (TimerFired) event()      {}
