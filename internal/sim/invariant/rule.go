package invariant

import (
	"fmt"
	"time"
)

// Rule is the name of an invariant, as results have it.
type Rule string

// The rules on set-ups and attempts.
const (
	OneAnswer           Rule = "one_answer"   // an offered call gets exactly one final answer
	InTime              Rule = "in_time"      // the final answer comes before the caller abandons the call
	OneAttempt          Rule = "one_attempt"  // at most one attempt of a call is open at a time
	DrainRespected      Rule = "drains_kept"  // no attempt Limits.Drain after a server drains or is removed
	SlowStartRespected  Rule = "cold_spared"  // no server crashes by overload during its slow start
	RetryGuardRespected Rule = "release_kept" // no attempt within Limits.RetryGuard of a timeout, reset or cancel
)

// The rules on established calls. They are checked with Limits.CheckReleases only.
const (
	ReleasedInTime Rule = "released_in_time" // the caller of an ended call is notified by the deadline of CallEnded
	NoOrphanedCall Rule = "none_standing"    // no exchange keeps a call established that ended for its caller
)

// ReleaseRules lists the rules on established calls.
var ReleaseRules = []Rule{ReleasedInTime, NoOrphanedCall}

// Rules lists the rules that are always checked.
var Rules = []Rule{OneAnswer, InTime, OneAttempt, DrainRespected, SlowStartRespected, RetryGuardRespected}

// Limits are the time limits of the rules.
type Limits struct {
	Drain      time.Duration // how long attempts may continue after the update that a server drains or is removed
	RetryGuard time.Duration // the retry guard
	Slack      time.Duration // tolerance for clocks and transmission times; 0 in virtual time
	// AbandonGrace is how long an attempt of a call may still arrive at a server after its caller abandoned the call.
	// Where callers and servers are observed at their own ends, these messages cross.
	AbandonGrace time.Duration
	// CheckReleases enables ReleaseRules. The events must then include the ends of all established calls; the checker
	// never drops the state of a call without one.
	CheckReleases bool
	// MaxOrphanTime is how long an exchange may keep a call established after it ended for its caller.
	MaxOrphanTime time.Duration
}

// DefaultLimits returns the limits that the operators require.
func DefaultLimits() Limits {
	return Limits{Drain: 2 * time.Second, RetryGuard: 300 * time.Millisecond}
}

// Violation is one violation of a rule. It implements error. The JSON keys and the text are part of the --json output.
type Violation struct {
	Rule       Rule    `json:"Rule"`
	At         Time    `json:"At"`
	Controller string  `json:"Node"` // name of the controller
	Call       string  `json:"Call"`
	Server     string  `json:"Server"`
	Text       string  `json:"Text"`
	Events     []Event `json:"Around"` // the latest events of the call, or the event itself if its call is unknown
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s violated at %.6f s by %s: %s", v.Rule, v.At.Seconds(), v.Controller, v.Text)
}
