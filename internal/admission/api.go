package admission

import (
	"fmt"
	"time"
)

// A Time is a clock reading: the time passed since an origin that only the
// host knows. The module compares readings and never asks a clock itself.
type Time = time.Duration

// Settings describe the deployment. They are given once, at the start.
type Settings struct {
	ControllerCount       int           // access nodes like this one, itself included
	Topology              string        // "pools": all nodes share the servers; New takes no other
	Classes               []Class       // in the order of the host's class names
	MaxAttempts           int           // attempts a call may have
	CanCancel             bool          // the host can call an attempt off
	OmitRetryAfter        bool          // callers are not told how long to keep away
	WatchServersOnRequest bool          // the list of servers comes only when asked for
	ResendInterval        time.Duration // a waiting set-up is repeated after this; 0: never
	RetryGuard            time.Duration // guard before a call may be sent again
	SlowStartPeriod       time.Duration // a started server is warm after this
	SlowStartShare        float64       // share of its capacity a started server has
	SlowStartFactor       float64       // of what it can do by then, that all nodes may send it; 0: not told
}

// RetryAfter is what a caller who is turned down is told of a wait: nothing where the deployment has none told.
func (s Settings) RetryAfter(wait time.Duration) time.Duration {
	if s.OmitRetryAfter {
		return 0
	}
	return wait
}

// validate tells what a deployment's settings cannot be.
func (s Settings) validate() error {
	switch {
	case s.Topology != "pools":
		return fmt.Errorf("topology %q is not supported", s.Topology)
	case len(s.Classes) == 0:
		return fmt.Errorf("no classes")
	case s.ControllerCount < 1 || s.MaxAttempts < 1:
		return fmt.Errorf("group size %d or max attempts %d is below 1", s.ControllerCount, s.MaxAttempts)
	case min(s.ResendInterval, s.RetryGuard, s.SlowStartPeriod) < 0:
		return fmt.Errorf("a time is negative")
	case !(s.SlowStartShare >= 0 && s.SlowStartShare <= 1):
		return fmt.Errorf("start share %v is not within 0 and 1", s.SlowStartShare)
	}
	for _, k := range s.Classes {
		if k.LatencyObjective <= 0 || k.Deadline < k.LatencyObjective || !(k.Weight >= 0) {
			return fmt.Errorf("class %q: aim %v, deadline %v, credit %v", k.Name, k.LatencyObjective, k.Deadline, k.Weight)
		}
	}
	return nil
}

// A Class is a kind of call.
type Class struct {
	Name                string
	LatencyObjective    time.Duration // a call that stands within this earns its credit
	Deadline            time.Duration // callers give up for good after this
	Weight              float64
	LateWeightFactor    float64 // share of the credit for a call that stands late
	Pools               []int   // pools that can take it; nil: all
	Repeatability       Repeatability
	DeduplicationScope  DeduplicationScope // of Once: which servers know a repeat
	DeduplicationWindow time.Duration      // of Once: from the first send that may have run
}

// An Repeatability says what a call that runs twice does.
type Repeatability int

// Effects. Of a call that may have run, one of Deduplicated goes only to servers that would know the repeat, and one
// of NonRepeatable to none; neither is refused as one that may safely come again.
const (
	Idempotent    Repeatability = iota
	Deduplicated                // servers within its Scope discard a repeat for a while
	NonRepeatable               // it may not be repeated
)

// A DeduplicationScope is the part of the servers that discard a repeat together.
type DeduplicationScope int

// Scopes.
const (
	ScopeFleet DeduplicationScope = iota
	ScopeZone
	ScopePool
)

// An Event is something the host tells the module: List, Ask, Stands,
// Returned, Gone, Probed or Bell.
type Event interface{ event() }

// A ServerState is what the list says of a server.
type ServerState int

// Phases of a server.
const (
	Active ServerState = iota
	Draining
	Removed
)

// A Server is one line of the list. Started is 0 when it was long ago.
type Server struct {
	ID      string
	Pool    int
	Zone    string
	State   ServerState
	Started Time
}

// ServersUpdated carries news of the servers: the whole list (Full), the list last
// held before a restart of the node (Cached too), or changes only.
type ServersUpdated struct {
	Full, Cached bool
	Failed       bool // a Watch failed or broke off; Servers is empty
	Servers      []Server
}

// CallOffered hands a call to the module, which then owes it one final answer.
type CallOffered struct {
	CallID        string
	Class         string
	Number        string // the number called
	PreferredPool int    // pool of first choice
	Pools         []int  // pools it may go to, the preferred first; nil: those of its class
	Deadline      Time   // the caller gives this try up
	Redialed      bool   // the caller marks it as dialled again
	Reestablish   bool   // it stood, was cut and comes again
}

// CallEstablished tells that a call's attempt has been answered: the call stands.
type CallEstablished struct {
	CallID, Server string
	Attempt        int
	SetupTime      time.Duration
}

// A AttemptResult says how an attempt ended.
type AttemptResult int

// Codes of Returned. ServerBusy, DialFailed and NotSent prove that nothing ran.
const (
	Delivered AttemptResult = iota
	ServerError
	ServerBusy
	TimedOut
	DialFailed
	ConnectionLost
	Canceled
	NotSent
)

// MayHaveRun tells whether an attempt that ended so may have run.
func (c AttemptResult) MayHaveRun() bool { return c != ServerBusy && c != DialFailed && c != NotSent }

// A FailureCause is the far end's reason for a Full or an Error, or what is known of a Dropped.
type FailureCause int

// Causes.
const (
	CauseNone FailureCause = iota
	CauseNoCircuit
	CauseReturned
	CauseProcessorBusy
	CauseDestinationBusy
	CauseConnectionUnresponsive // of a Dropped: the connection stayed open and brought nothing more
)

// AttemptEnded is the end of an attempt; each Send gets exactly one.
type AttemptEnded struct {
	CallID, Server string
	Attempt        int
	Result         AttemptResult
	Cause          FailureCause
	RetryAfter     time.Duration // wait that a full server asks for; 0: none
	Elapsed        time.Duration
	Final          bool // the call is finished, no answer is owed
	Load           LoadReport
}

// A Optional is a number that may not have been given.
type Optional struct {
	Value float64
	Valid bool
}

// LoadReport is a server's report of itself; times are in seconds.
type LoadReport struct {
	QueueDelay    Optional // wait at the processor
	QueueLength   Optional // messages waiting there
	Capacity      Optional // set-ups a second it can take from all senders
	ThrottleShare Optional // share of set-ups it asks each sender to hold back
	FreeCircuits  Optional // free lines of the pool
	TotalCircuits Optional // lines of the pool
}

// CallAbandoned tells that the caller left.
type CallAbandoned struct{ CallID string }

// LoadReported carries an unasked or asked report of a server.
type LoadReported struct {
	Server string
	OK     bool
	Load   LoadReport
}

// TimerFired tells that a timer set with Defer is due.
type TimerFired struct{ Key int64 }

func (ServersUpdated) event()  {}
func (CallOffered) event()     {}
func (CallEstablished) event() {}
func (AttemptEnded) event()    {}
func (CallAbandoned) event()   {}
func (LoadReported) event()    {}
func (TimerFired) event()      {}

// A Reason is the module's reason for an order or a ceiling, as far as it tells it.
type Reason string

// Reasons.
const (
	ReasonUnknownClass         Reason = "no_class"      // no such class
	ReasonDestinationCongested Reason = "number_jammed" // all lines of the number were busy just now
	ReasonNoServer             Reason = "no_server"     // none that may take the call has room for it in time
	ReasonExhausted            Reason = "exhausted"     // no attempt or no time is left
	ReasonDestinationBusy      Reason = "number_busy"   // a server answered so
	ReasonLost                 Reason = "lost"          // a later set-up stands already
	ReasonServerUnresponsive   Reason = "silent"        // the server answers nothing, and another would
	ReasonOverloaded           Reason = "pressed"       // evidence that the server is slow
	ReasonLimitExpired         Reason = "lapsed"        // none of it for long
	ReasonSuspicionCleared     Reason = "excused"       // the evidence was a loss on the way
	ReasonFleetThrottle        Reason = "fleet"         // as no_server, and the fleet's word made the difference
)

// An Action is what the module wants done: Send, Refuse, Fail, Cancel, Defer,
// Watch, Log or Ceiling, to be carried out in the order given.
type Action interface{ action() }

// SendAttempt starts an attempt; the first of a call is number 0.
type SendAttempt struct {
	CallID, Server string
	Timeout        time.Duration // time-out
}

// RejectCall is the final answer to a call that is not taken. The caller should
// keep away for Wait; 0: no advice.
type RejectCall struct {
	CallID     string
	RetryAfter time.Duration
	Reason     Reason
}

// FailCall is the final answer to a call that could not be made to stand. The
// caller should keep away for Wait; 0: no advice.
type FailCall struct {
	CallID     string
	RetryAfter time.Duration
	Reason     Reason
}

// CancelAttempt calls an attempt off.
type CancelAttempt struct {
	CallID  string
	Attempt int
	Reason  Reason
}

// SetTimer asks for a Bell with Key at or after At.
type SetTimer struct {
	At  Time
	Key int64
}

// WatchServers asks that changes of the list be told from now on.
type WatchServers struct{}

// LogMessage is a line for the staff.
type LogMessage struct{ Text string }

// RateLimitChanged tells that the ceiling of a server is another now; nothing is to be done.
type RateLimitChanged struct {
	Server            string
	AttemptsPerSecond float64 // set-ups; +Inf: none
	Reason            Reason
}

func (SendAttempt) action()      {}
func (RejectCall) action()       {}
func (FailCall) action()         {}
func (CancelAttempt) action()    {}
func (SetTimer) action()         {}
func (WatchServers) action()     {}
func (LogMessage) action()       {}
func (RateLimitChanged) action() {}

// A OverloadControl is what the module tells of what it does, and asks of what all controllers together hold back. Its
// methods are called within Handle, must not block and must not call the module. It is asked only of servers
// that the module would send to by its list and its own evidence.
type OverloadControl interface {
	// RecordOffered tells of a new call of a tier whose first choice is a server.
	RecordOffered(now Time, server string, tier int)
	// RecordSent tells of a set-up; first: to the first choice, by the call's first attempt.
	RecordSent(now Time, server string, first bool)
	// RecordResult tells that a set-up waits no more: it stood after took, or ended otherwise.
	RecordResult(now Time, server string, stood bool, took time.Duration)
	// RecordOverload tells of evidence that a server is slow.
	RecordOverload(now Time, server string)
	// Throttle tells why the fleet holds a call back from a server, "" if it does not; told: it has a word on the
	// server, which then stands in the place of this node's own ceiling.
	Throttle(now Time, server string, tier int, first bool) (holds Reason, told bool)
}

// noOverloadControl is the Fleet of a node that shares nothing.
type noOverloadControl struct{}

func (noOverloadControl) RecordOffered(Time, string, int)                 {}
func (noOverloadControl) RecordSent(Time, string, bool)                   {}
func (noOverloadControl) RecordResult(Time, string, bool, time.Duration)  {}
func (noOverloadControl) RecordOverload(Time, string)                     {}
func (noOverloadControl) Throttle(Time, string, int, bool) (Reason, bool) { return "", false }
