package admission

import "time"

// A Priority ranks a call under overload: 0, the lowest, is a redialed call, 1 a normal call, 2 a call of a class
// with the highest weight, and 3 an emergency call or a call that is reestablished after a failure.
type Priority int

// An OverloadControl throttles calls for all controllers together. A StateMachine calls its methods within Handle, so
// they must not block and must not call the StateMachine.
type OverloadControl interface {
	// RecordOffered records a new call that prefers a server.
	RecordOffered(now Time, server string, priority Priority)
	// RecordSent records an attempt. first means that it is the call's first one and goes to the preferred pool.
	RecordSent(now Time, server string, first bool)
	// RecordResult records that an unanswered attempt established its call or ended, elapsed after its start.
	RecordResult(now Time, server string, established bool, elapsed time.Duration)
	// RecordOverload records evidence that a server is overloaded.
	RecordOverload(now Time, server string)
	// Throttle returns the reason to withhold a call from a server, "" if there is none. preferred means that the
	// server is in the call's preferred pool. Throttle is called only for servers that the controller itself
	// considers available, its own rate limit aside. If known is true, the answer replaces that rate limit.
	Throttle(now Time, server string, priority Priority, preferred bool) (reason Reason, known bool)
}

// noOverloadControl is the OverloadControl of a controller that decides independently of the others.
type noOverloadControl struct{}

func (noOverloadControl) RecordOffered(Time, string, Priority)                 {}
func (noOverloadControl) RecordSent(Time, string, bool)                        {}
func (noOverloadControl) RecordResult(Time, string, bool, time.Duration)       {}
func (noOverloadControl) RecordOverload(Time, string)                          {}
func (noOverloadControl) Throttle(Time, string, Priority, bool) (Reason, bool) { return "", false }
