package admission

import "time"

// A Priority ranks a call in overload: 0, the lowest, is a redialed call, 1 a normal one, 2 one of a class of the
// highest weight, 3 an emergency call or one that is established again after a failure.
type Priority int

// An OverloadControl holds calls back for all controllers together. A StateMachine calls its methods within Handle;
// they must not block and must not call the StateMachine.
type OverloadControl interface {
	// RecordOffered records a new call that prefers a server.
	RecordOffered(now Time, server string, priority Priority)
	// RecordSent records an attempt; first: it is the call's first and goes to the preferred pool.
	RecordSent(now Time, server string, first bool)
	// RecordResult records that an attempt is no longer unanswered: it established its call after took, or ended.
	RecordResult(now Time, server string, established bool, took time.Duration)
	// RecordOverload records evidence that a server is overloaded.
	RecordOverload(now Time, server string)
	// Throttle returns the reason to hold a call back from a server, "" if there is none. It is asked only about
	// servers that the controller would use by its own evidence, apart from its rate limit. If known is true, the
	// answer replaces that limit.
	Throttle(now Time, server string, priority Priority, first bool) (reason Reason, known bool)
}

// noOverloadControl is the OverloadControl of a controller that decides on its own.
type noOverloadControl struct{}

func (noOverloadControl) RecordOffered(Time, string, Priority)                 {}
func (noOverloadControl) RecordSent(Time, string, bool)                        {}
func (noOverloadControl) RecordResult(Time, string, bool, time.Duration)       {}
func (noOverloadControl) RecordOverload(Time, string)                          {}
func (noOverloadControl) Throttle(Time, string, Priority, bool) (Reason, bool) { return "", false }
