package overload

import (
	"time"

	"olivedale/internal/admission"
)

// A limit update holds for minLimitLifetime and for limitLifetimePeriods report intervals at least.
const (
	minLimitLifetime     = 2000 * time.Millisecond
	limitLifetimePeriods = 4
)

// currentLimits are the limits of the latest update.
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

// isNewer says whether an update counts as sent after the latest one. An earlier incarnation does once the limits have
// expired: the aggregator's clock, which numbers incarnations, was set back, or the later one was never its own. Its
// updates would otherwise be stale until the end of the term, while its digests keep it selected.
func (c *currentLimits) isNewer(now Time, u *limitUpdate) bool {
	if u.incarnation != c.incarnation {
		return u.incarnation > c.incarnation || now >= c.until
	}
	return u.sequence > c.sequence
}

// throttleChances returns the probabilities of throttling a call at its first choice, by priority.
func (l *serverLimit) throttleChances() (chances [priorityCount]float64) {
	for priority := range chances {
		switch {
		case priority < l.priority && l.throttle > 0:
			chances[priority] = maxThrottle / float64(maxShare)
		case priority == l.priority:
			chances[priority] = float64(l.throttle) / maxShare
		}
	}
	return chances
}

// overflowChance returns the probability of throttling a set-up that is not a call's first choice.
func (l *serverLimit) overflowChance() float64 { return float64(l.overflowThrottle) / maxShare }

// throttlesFirstChoices says whether calls are throttled at their first choice.
func (l *serverLimit) throttlesFirstChoices() bool { return l.priority != 0 || l.throttle != 0 }

// claimedWait is the set-up time that the aggregator claims for the server.
func (l *serverLimit) claimedWait() Time { return durationOf(l.wait) }

// claimsOverload says whether the aggregator claims that calls wait for longer than the target.
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
	chance := v.limit.overflowChance()
	if isFirstChoice {
		if !v.limit.throttlesFirstChoices() && !v.limit.claimsOverload(m.options.LatencyThreshold) {
			return "", false // the limit is about overflow only
		}
		if isPriority(priority) {
			chance = v.limit.throttleChances()[priority]
		}
	}
	if !m.isOwnAggregator() && !m.trust.isEstablished() {
		// An aggregator that throttled all calls falsely would prevent the answers that refute it.
		chance = min(chance, maxUntrustedThrottle)
	}
	if m.rng.Float64() < chance {
		m.Throttled++
		v.throttled++
		return admission.ReasonFleetThrottle, true
	}
	m.Admitted++
	return "", true
}

// applyLimits replaces all limits by those of an update.
func (m *Member) applyLimits(now Time, u *limitUpdate) {
	lifetime := m.options.limitLifetime()
	wasRequested := m.reporting.requestedAt != 0 && now-m.reporting.requestedAt <= lifetime
	if !wasRequested {
		// The next report is sent within a report interval, at a random time so that not all are sent together.
		delay := Time(m.rng.Float64() * float64(m.options.ReportInterval))
		m.reporting.next = min(m.reporting.next, now+delay)
	}
	m.reporting.requestedAt = now
	m.selection.noteHeard(now)
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
