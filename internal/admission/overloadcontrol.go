package admission

import "time"

// An OverloadControl holds calls back for all controllers together. A StateMachine calls its methods within Handle;
// they must not block and must not call the StateMachine. Tiers are priorities of calls from 0, the lowest, to 3:
// redialed, normal, highest weight, emergency.
type OverloadControl interface {
	// RecordOffered records a new call of a tier that prefers a server.
	RecordOffered(now Time, server string, tier int)
	// RecordSent records an attempt; first: it is the call's first and goes to the preferred pool.
	RecordSent(now Time, server string, first bool)
	// RecordResult records that an attempt is no longer unanswered: it established its call after took, or ended.
	RecordResult(now Time, server string, established bool, took time.Duration)
	// RecordOverload records evidence that a server is overloaded.
	RecordOverload(now Time, server string)
	// Throttle returns the reason to hold a call back from a server, "" if there is none. It is asked only about
	// servers that the controller would use by its own evidence, apart from its rate limit. If known is true, the
	// answer replaces that limit.
	Throttle(now Time, server string, tier int, first bool) (reason Reason, known bool)
}

// noOverloadControl is the OverloadControl of a controller that decides on its own.
type noOverloadControl struct{}

func (noOverloadControl) RecordOffered(Time, string, int)                 {}
func (noOverloadControl) RecordSent(Time, string, bool)                   {}
func (noOverloadControl) RecordResult(Time, string, bool, time.Duration)  {}
func (noOverloadControl) RecordOverload(Time, string)                     {}
func (noOverloadControl) Throttle(Time, string, int, bool) (Reason, bool) { return "", false }
