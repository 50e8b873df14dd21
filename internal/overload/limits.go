package overload

import (
	"time"

	"olivedale/internal/admission"
)

// A limit update is valid for minLimitLifetime or limitLifetimePeriods report intervals, whichever is longer.
const (
	minLimitLifetime     = 2000 * time.Millisecond
	limitLifetimePeriods = 4
)

// currentLimits holds the limits of the latest update.
type currentLimits struct {
	latest      []serverLimit
	until       Time   // when they expire
	incarnation uint32 // of the aggregator that sent them
	sequence    uint32 // of the update
}

// find returns the limit of a server.
func (c *currentLimits) find(key uint32) (limit serverLimit, found bool) {
	for _, l := range c.latest {
		if l.key == key {
			return l, true
		}
	}
	return serverLimit{}, false
}

// isNewer reports whether an update supersedes the latest one. Once the limits have expired, one of an earlier
// incarnation does as well: either the aggregator's clock, which numbers incarnations, was set back, or the later
// incarnation was forged. The aggregator's updates would otherwise be rejected as stale until the end of the term,
// while its digests keep it selected.
func (c *currentLimits) isNewer(now Time, u *limitUpdate) bool {
	if u.incarnation != c.incarnation {
		return u.incarnation > c.incarnation || now >= c.until
	}
	return u.sequence > c.sequence
}

// throttleProbabilities returns the probabilities of throttling a call at its first choice, by priority.
func (l *serverLimit) throttleProbabilities() (probabilities [priorityCount]float64) {
	for priority := range probabilities {
		switch {
		case priority < l.priority && l.throttle > 0:
			probabilities[priority] = maxThrottle / float64(maxShare)
		case priority == l.priority:
			probabilities[priority] = float64(l.throttle) / maxShare
		}
	}
	return probabilities
}

// overflowProbability returns the probability of throttling a set-up that is not a call's first choice.
func (l *serverLimit) overflowProbability() float64 { return float64(l.overflowThrottle) / maxShare }

// throttlesFirstChoices reports whether calls are throttled at their first choice.
func (l *serverLimit) throttlesFirstChoices() bool { return l.priority != 0 || l.throttle != 0 }

// claimedWait returns the set-up time that the aggregator claims for the server.
func (l *serverLimit) claimedWait() Time { return durationOf(l.wait) }

// claimsOverload reports whether the claimed wait exceeds half the target wait (waitTarget).
func (l *serverLimit) claimsOverload(latencyThreshold Time) bool {
	return l.claimedWait() > Time(waitTarget/2*float64(latencyThreshold))
}

// Throttle implements admission.OverloadControl.
func (m *Member) Throttle(
	now Time, server string, priority admission.Priority, isFirstChoice bool,
) (reason admission.Reason, isLimited bool) {
	m.advance(now)
	v := m.lookupServer(server)
	if v == nil || !v.hasLimit(now) {
		return "", false
	}
	probability := v.limit.overflowProbability()
	if isFirstChoice {
		if !v.limit.throttlesFirstChoices() && !v.limit.claimsOverload(m.options.LatencyThreshold) {
			return "", false // the limit applies to overflow only
		}
		if isPriority(priority) {
			probability = v.limit.throttleProbabilities()[priority]
		}
	}
	if !m.isOwnAggregator() && !m.trust.isEstablished() {
		// If a wrong aggregator could throttle all calls, no answers would remain to refute its claims.
		probability = min(probability, maxUntrustedThrottle)
	}
	if m.rng.Float64() < probability {
		m.Throttled++
		v.throttled++
		return admission.ReasonFleetThrottle, true
	}
	m.Admitted++
	return "", true
}

// applyLimits replaces all limits with those of an update.
func (m *Member) applyLimits(now Time, u *limitUpdate) {
	lifetime := m.options.limitLifetime()
	wasRequested := m.reporting.requestedAt != 0 && now-m.reporting.requestedAt <= lifetime
	if !wasRequested {
		// The next report is sent at a random time within a report interval, so that members do not report at once.
		delay := Time(m.rng.Float64() * float64(m.options.ReportInterval))
		m.reporting.next = min(m.reporting.next, now+delay)
	}
	m.reporting.requestedAt = now
	m.selection.recordContact(now)
	m.membership.aliveMembers = u.aliveMembers
	m.servers.removeLimits()
	m.limits.latest = u.limits
	m.limits.until = now + lifetime
	for _, l := range u.limits {
		if v := m.servers.byKey[l.key]; v != nil {
			v.setLimit(l, m.limits.until)
		}
	}
	for _, l := range u.limits {
		if v := m.servers.byKey[l.key]; v != nil {
			m.checkClaim(now, v)
		}
	}
}
