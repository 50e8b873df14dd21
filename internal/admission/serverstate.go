package admission

import (
	"math"
	"slices"
	"time"
)

// This file defines the per-server state of a StateMachine. Its types only store and return values; the decisions
// based on them are in the files listed under policy in deploy/balancer.toml.

// A server is this controller's state of one listed server.
type server struct {
	Server
	counts       attemptCounts
	limit        rateLimit
	ramp         ramp
	responses    responseHistory
	attempts     openAttempts
	circuits     circuitReport
	maxCapacity  float64 // highest capacity reported, in attempts per second
	backoffUntil Time    // no attempt is sent to it before this time
	nextLogAt    Time    // no message about it is logged before this time
}

// isListedAs reports whether an entry of the server list describes the server.
func (s *server) isListedAs(listing Server) bool { return listing.ID == s.ID }

// backOff withholds attempts from the server until a time, or until a later time that was set before.
func (s *server) backOff(until Time) { s.backoffUntil = max(s.backoffUntil, until) }

// attemptCounts counts the attempts that concern one server.
type attemptCounts struct {
	since    Time           // time at which counting started
	offered  slidingCounter // new calls that prefer the server
	sent     slidingCounter
	answered slidingCounter
}

// roll starts a new period.
func (a *attemptCounts) roll(maxPeriods int) {
	a.offered.roll(maxPeriods)
	a.sent.roll(maxPeriods)
	a.answered.roll(maxPeriods)
}

// A rateLimit bounds the attempts that this controller sends to one server, both by a token bucket and by the
// number of attempts in a window.
type rateLimit struct {
	rate            float64        // attempts per second; +Inf: no limit
	tokens          float64        // attempts that may be sent at once
	rounding        float64        // random fraction of an attempt that is added to a window's maximum
	provenBurst     float64        // attempts answered quickly while out of tokens
	overloadedAt    Time           // time of the latest evidence of overload
	isHealthy       bool           // the latest evidence shows no overload
	isReported      bool           // the latest evidence is a load report of the server
	beforeSuspicion *limitSnapshot // limit to restore if a suspicion is cleared; nil: there is none
}

// A limitSnapshot holds the values of a rateLimit that a suspicion overwrites.
type limitSnapshot struct {
	rate, provenBurst float64
	overloadedAt      Time
}

func (l *rateLimit) isUnlimited() bool { return math.IsInf(l.rate, 1) }

// recordOverload sets a rate and discards all evidence that the server is healthy.
func (l *rateLimit) recordOverload(rate, rounding float64, now Time) {
	l.rate = rate
	l.rounding = rounding
	l.provenBurst = 0
	l.overloadedAt = now
	l.isHealthy = false
	l.beforeSuspicion = nil
}

// recordEvidence records what the latest answer or load report shows.
func (l *rateLimit) recordEvidence(isHealthy, isReported bool) {
	l.isHealthy = isHealthy
	l.isReported = isReported
}

// snapshot returns the values that restore sets again.
func (l *rateLimit) snapshot() *limitSnapshot {
	return &limitSnapshot{rate: l.rate, provenBurst: l.provenBurst, overloadedAt: l.overloadedAt}
}

// restore reverts a suspicion.
func (l *rateLimit) restore(before *limitSnapshot) {
	l.rate = before.rate
	l.provenBurst = before.provenBurst
	l.overloadedAt = before.overloadedAt
	l.beforeSuspicion = nil
}

// A ramp is the token bucket of an unproven server: one in slow start, or one outside of a call's preferred pool,
// which must not receive the overflow of all controllers at once.
type ramp struct {
	inSlowStart bool
	tokens      float64
}

// A responseHistory holds the times of a server's answers, excluding stalls of this process.
type responseHistory struct {
	lastAnswer        Time          // time of the latest answer of any kind
	lastEstablished   Time          // time of the latest call established
	lastSetupTime     time.Duration // of the latest call established
	minSetupTime      time.Duration
	smoothedSetupTime time.Duration
}

// recordSetup records that the server took setupTime to establish a call.
func (r *responseHistory) recordSetup(setupTime time.Duration, now Time) {
	r.lastEstablished = now
	r.lastSetupTime = setupTime
	r.minSetupTime = min(r.minSetupTime, setupTime)
}

// shift advances the times by a stall of this process.
func (r *responseHistory) shift(stall time.Duration) {
	r.lastAnswer += stall
	r.lastEstablished += stall
}

// A circuitReport holds the circuits that a server has reported, adjusted for the attempts sent since.
type circuitReport struct {
	free        float64 // circuits that this controller assumes to be free
	freeUntil   Time    // free is valid until this time
	inUse       float64 // circuits in use by all controllers
	scarceUntil Time    // until this time, redials get no circuit
}

// markExhausted records that the server rejected an attempt because it had no free circuit.
func (r *circuitReport) markExhausted(freeUntil, scarceUntil Time) {
	r.free = 0
	r.freeUntil = freeUntil
	r.scarceUntil = scarceUntil
}

func (r *circuitReport) isExhausted(now Time) bool { return r.free <= 0 && now < r.freeUntil }

// openAttempts holds the unanswered attempts at a server.
type openAttempts struct {
	pending []*call // in the order in which they were sent
	lost    []*call // overtaken: an attempt that was sent later has been answered
}

func (o *openAttempts) add(c *call) { o.pending = append(o.pending, c) }

func (o *openAttempts) isEmpty() bool { return len(o.pending)+len(o.lost) == 0 }

// remove removes the attempt of a call and reports whether it had been overtaken.
func (o *openAttempts) remove(c *call) (wasOvertaken bool) {
	isCall := func(other *call) bool { return other == c }
	wasOvertaken = slices.Contains(o.lost, c)
	o.pending = slices.DeleteFunc(o.pending, isCall)
	o.lost = slices.DeleteFunc(o.lost, isCall)
	return wasOvertaken
}

// markOvertaken moves the attempts sent before a time to the lost ones and reports whether there were any.
func (o *openAttempts) markOvertaken(before Time) bool {
	overtaken := 0
	for overtaken < len(o.pending) && o.pending[overtaken].sentAt < before {
		overtaken++
	}
	o.lost = append(o.lost, o.pending[:overtaken]...)
	o.pending = o.pending[overtaken:]
	return overtaken > 0
}

// timing holds the durations and the rate derived from the settings.
type timing struct {
	latencyThreshold  time.Duration // a slower answer is evidence of overload
	quickSetupTime    time.Duration // half of latencyThreshold: a quicker answer is evidence of health
	unresponsiveAfter time.Duration // a server that has not answered for longer is unresponsive
	period            time.Duration // interval at which counters and limits are updated
	window            time.Duration // minimum span of the rate estimates
	minProbeRate      float64       // this controller's share of a rate that any server can handle
}

// estimates holds the rates that this controller has observed.
type estimates struct {
	windowPeriods int             // number of periods over which rates are estimated
	offered       slidingCounter  // calls offered to this controller
	established   slidingCounter  // calls established at all servers
	peakRate      float64         // decaying maximum of calls established per second
	poolPeakRates map[int]float64 // decaying maximum of attempts answered per second by a server, by pool
}
