package admission

import "time"

// A Reason explains an action. Its values appear in logs and statistics.
type Reason string

// Reasons of RejectCall and FailCall.
const (
	ReasonUnknownClass         Reason = "no_class"      // the call's class is not in the settings
	ReasonDestinationCongested Reason = "number_jammed" // the called number was busy recently
	ReasonNoServer             Reason = "no_server"     // no eligible server has capacity before the deadline
	ReasonFleetThrottle        Reason = "fleet"         // like ReasonNoServer, but due to the overload control
	ReasonExhausted            Reason = "exhausted"     // no attempts are left, or the deadline has passed
	ReasonDestinationBusy      Reason = "number_busy"   // a server reported that the called number is busy
)

// Reasons of CancelAttempt.
const (
	ReasonLost               Reason = "lost"   // an attempt that was sent later has been answered
	ReasonServerUnresponsive Reason = "silent" // the server does not respond and another one can take the call
)

// Reasons of RateLimitChanged.
const (
	ReasonOverloaded       Reason = "pressed" // the server shows signs of overload
	ReasonLimitExpired     Reason = "lapsed"  // it has shown none for some time
	ReasonSuspicionCleared Reason = "excused" // the signs were caused by a loss on the path to the server
)

// An Action is an instruction to the host: SendAttempt, RejectCall, FailCall, CancelAttempt, SetTimer, WatchServers,
// LogMessage or RateLimitChanged. The host executes the actions of a slice in order.
type Action interface{ action() }

// SendAttempt starts an attempt. The attempts of a call are numbered from 0.
type SendAttempt struct {
	CallID, Server string
	Timeout        time.Duration // after this time the attempt ends with ResultTimedOut
}

// RejectCall is the final answer to a call that was not admitted. The caller may safely retry it.
type RejectCall struct {
	CallID     string
	RetryAfter time.Duration // minimum wait before the caller retries the call; 0: unspecified
	Reason     Reason
}

// FailCall is the final answer to a call that could not be established.
type FailCall struct {
	CallID     string
	RetryAfter time.Duration // minimum wait before the caller retries the call; 0: unspecified
	Reason     Reason
}

// CancelAttempt cancels an open attempt. As for any attempt, the host reports its end by AttemptEnded.
type CancelAttempt struct {
	CallID  string
	Attempt int
	Reason  Reason
}

// SetTimer requests a TimerFired event with Key at or after time At. Timers are never canceled, and several may be
// pending for the same key.
type SetTimer struct {
	At  Time
	Key int64
}

// WatchServers requests a ServersUpdated event now and on each change of the server list.
type WatchServers struct{}

// LogMessage is a message for the operators' log.
type LogMessage struct{ Text string }

// RateLimitChanged reports the new rate limit of a server. It is informational.
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
