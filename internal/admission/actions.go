package admission

import "time"

// A Reason says why an action was taken. Its values appear in logs and statistics.
type Reason string

// Reasons of RejectCall and FailCall.
const (
	ReasonUnknownClass         Reason = "no_class"      // the call's class is not in the settings
	ReasonDestinationCongested Reason = "number_jammed" // the called number was busy recently
	ReasonNoServer             Reason = "no_server"     // no server that may take the call has room in time
	ReasonFleetThrottle        Reason = "fleet"         // as ReasonNoServer, because of the overload control
	ReasonExhausted            Reason = "exhausted"     // no further attempt is permitted, or the deadline has passed
	ReasonDestinationBusy      Reason = "number_busy"   // a server answered that the called number is busy
)

// Reasons of CancelAttempt.
const (
	ReasonLost               Reason = "lost"   // an attempt that was sent later is answered
	ReasonServerUnresponsive Reason = "silent" // the server answers nothing and another would
)

// Reasons of RateLimitChanged.
const (
	ReasonOverloaded       Reason = "pressed" // there is evidence of overload
	ReasonLimitExpired     Reason = "lapsed"  // there was none for long
	ReasonSuspicionCleared Reason = "excused" // the evidence was a loss on the way to the server
)

// An Action tells the host what to do: SendAttempt, RejectCall, FailCall, CancelAttempt, SetTimer, WatchServers,
// LogMessage or RateLimitChanged. The host carries actions out in the order of their slice.
type Action interface{ action() }

// SendAttempt starts an attempt. The first of a call has number 0, each later one the next number.
type SendAttempt struct {
	CallID, Server string
	Timeout        time.Duration // the attempt ends with TimedOut after this
}

// RejectCall is the final answer to a call that is not taken. The caller may safely repeat it.
type RejectCall struct {
	CallID     string
	RetryAfter time.Duration // the caller should not repeat the call before; 0: no advice
	Reason     Reason
}

// FailCall is the final answer to a call that could not be established.
type FailCall struct {
	CallID     string
	RetryAfter time.Duration // the caller should not repeat the call before; 0: no advice
	Reason     Reason
}

// CancelAttempt cancels an open attempt. AttemptEnded follows as for any attempt.
type CancelAttempt struct {
	CallID  string
	Attempt int
	Reason  Reason
}

// SetTimer asks for TimerFired with Key at the time At or later. Timers are not canceled; several with one key may
// be set.
type SetTimer struct {
	At  Time
	Key int64
}

// WatchServers asks the host to send ServersUpdated now and at each change of the server list.
type WatchServers struct{}

// LogMessage is a message for the operators' log.
type LogMessage struct{ Text string }

// RateLimitChanged reports a new rate limit of a server. It needs no action.
type RateLimitChanged struct {
	Server            string
	AttemptsPerSecond float64 // +Inf: no limit
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
