package admission

import (
	"math"
	"slices"
	"time"
)

// This file holds what a StateMachine remembers of a server. Its types store and return values;
// the decisions that use them are in the files listed under policy in deploy/balancer.toml.

// A server is what this controller knows of one server of the list.
type server struct {
	Server
	counts       attemptCounts
	limit        rateLimit
	ramp         ramp
	responses    responseHistory
	attempts     openAttempts
	circuits     circuitReport
	maxCapacity  float64 // highest capacity that it has reported, in attempts a second
	backoffUntil Time    // it receives no attempt before
	nextLogAt    Time    // no log message mentions it before
}

// isListedAs reports whether a line of the server list is about the server.
func (s *server) isListedAs(listing Server) bool { return listing.ID == s.ID }

// backOff keeps attempts from the server until a time, or a later one that was set before.
func (s *server) backOff(until Time) { s.backoffUntil = max(s.backoffUntil, until) }

// attemptCounts counts the attempts that concern one server.
type attemptCounts struct {
	since    Time           // start of the counts
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

// A rateLimit bounds the attempts that this controller sends to one server: by a token bucket, and by the
// number of attempts in a window.
type rateLimit struct {
	rate            float64        // attempts a second; +Inf: no limit
	tokens          float64        // attempts that may be sent at once
	rounding        float64        // random part of an attempt, added to what a window admits
	provenBurst     float64        // attempts that were answered quickly while tokens were short
	overloadedAt    Time           // time of the latest evidence of overload
	isHealthy       bool           // the latest evidence shows no overload
	isReported      bool           // the latest evidence is the server's load report
	beforeSuspicion *limitSnapshot // nil: no suspicion rests on silence alone
}

// A limitSnapshot holds what a suspicion takes from a rateLimit.
type limitSnapshot struct {
	rate, provenBurst float64
	overloadedAt      Time
}

func (l *rateLimit) isUnlimited() bool { return math.IsInf(l.rate, 1) }

// recordOverload sets a rate and discards what was known in favor of the server.
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

// snapshot returns what restore brings back.
func (l *rateLimit) snapshot() *limitSnapshot {
	return &limitSnapshot{rate: l.rate, provenBurst: l.provenBurst, overloadedAt: l.overloadedAt}
}

// restore undoes a suspicion.
func (l *rateLimit) restore(before *limitSnapshot) {
	l.rate = before.rate
	l.provenBurst = before.provenBurst
	l.overloadedAt = before.overloadedAt
	l.beforeSuspicion = nil
}

// A ramp is the token bucket of an unproven server: one in slow start, or one that is not a call's first
// choice and must not receive the overflow of all controllers at once.
type ramp struct {
	inSlowStart bool
	tokens      float64
}

// A responseHistory holds the times of a server's answers, without the stalls of this process.
type responseHistory struct {
	lastAnswer        Time          // of any kind
	lastEstablished   Time          // latest call established
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

// shift moves the times by a stall of this process.
func (r *responseHistory) shift(stall time.Duration) {
	r.lastAnswer += stall
	r.lastEstablished += stall
}

// A circuitReport is what a server has reported of its circuits, corrected by what was sent since.
type circuitReport struct {
	free        float64 // circuits that this controller may assume to be free
	freeUntil   Time    // free has no meaning after
	inUse       float64 // circuits in use by all controllers
	scarceUntil Time    // circuits are kept for calls that are no redials until then
}

// markExhausted records that the server rejected an attempt for lack of a circuit.
func (r *circuitReport) markExhausted(freeUntil, scarceUntil Time) {
	r.free = 0
	r.freeUntil = freeUntil
	r.scarceUntil = scarceUntil
}

func (r *circuitReport) isExhausted(now Time) bool { return r.free <= 0 && now < r.freeUntil }

// openAttempts are the unanswered attempts at a server.
type openAttempts struct {
	pending []*call // in the order sent
	lost    []*call // overtaken: an attempt that was sent later is answered
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

// markOvertaken moves the attempts sent before a time to the lost ones and reports whether there are any.
func (o *openAttempts) markOvertaken(before Time) bool {
	overtaken := 0
	for overtaken < len(o.pending) && o.pending[overtaken].sentAt < before {
		overtaken++
	}
	o.lost = append(o.lost, o.pending[:overtaken]...)
	o.pending = o.pending[overtaken:]
	return overtaken > 0
}

// timing holds the durations and the rate that follow from the settings.
type timing struct {
	latencyThreshold  time.Duration // a later answer is evidence of overload
	quickSetupTime    time.Duration // half of that: an earlier answer is evidence of health
	unresponsiveAfter time.Duration // a server that answers nothing for longer is unresponsive
	period            time.Duration // interval at which counters and limits are updated
	window            time.Duration // minimum span of the rate estimates
	minProbeRate      float64       // this controller's part of a rate that any server can take
}

// estimates holds the rates that this controller has observed.
type estimates struct {
	windowPeriods int             // span of the rate estimates
	offered       slidingCounter  // calls offered to this controller
	established   slidingCounter  // calls established at all servers
	peakRate      float64         // decaying maximum of calls established a second
	poolPeakRates map[int]float64 // the same of attempts answered by a server of each pool
}
