package admission

import (
	"cmp"
	"slices"
)

const (
	maxDialedNumbers  = 8192 // bound on the dialed numbers that are tracked
	maxCallsPerNumber = 2    // any further calls to a number come from different callers
)

// Priorities of calls, the lowest first.
const (
	priorityRedial    Priority = iota // redialed after the latency objective, or one of many to a number
	priorityNormal                    // a call of a class below the highest weight
	priorityHigh                      // a call of a class with the highest weight
	priorityEmergency                 // an emergency call, or one that is reestablished after a failure
)

func prioritizeClasses(classes []Class) map[string]*class {
	byWeight := func(a, b Class) int { return cmp.Compare(a.Weight, b.Weight) }
	maxWeight := slices.MaxFunc(classes, byWeight).Weight
	prioritized := make(map[string]*class)
	for _, c := range classes {
		prioritized[c.Name] = &class{c, priorityNormal}
		if c.Weight >= maxWeight {
			prioritized[c.Name].priority = priorityHigh
		}
	}
	return prioritized
}

// isHeldBack reports whether the server must not receive an attempt for the call at the moment.
func (m *StateMachine) isHeldBack(s *server, c *call) bool {
	isPreferred := s.Pool == c.preferredPool
	switch {
	case m.now < s.backoffUntil, m.hasFullQueue(s, c), s.circuits.isExhausted(m.now):
		return true
	case c.priority == priorityRedial && m.now < s.circuits.scarceUntil:
		return true
	case s.needsRampToken(c) && s.ramp.tokens < 1:
		return true
	case m.oldestWait(s) > m.latencyThreshold:
		return !m.isProbeDue(s)
	}
	if reason, isKnown := m.overloadControl.Throttle(m.now, s.ID, c.priority, isPreferred); isKnown {
		m.rejectReason = cmp.Or(reason, m.rejectReason)
		return reason != ""
	}
	return m.exceedsRateLimit(s, c)
}

// hasFullQueue reports whether a server, even at its peak rate, could not answer another attempt in time.
func (m *StateMachine) hasFullQueue(s *server, c *call) bool {
	maxPending := burstSize + max(m.poolPeakRates[s.Pool]*m.maxQueueDelay(c), s.limit.provenBurst)
	return float64(len(s.attempts.pending)) >= maxPending
}

// isOverloadedFor applies the check of hasFullQueue to all servers together.
func (m *StateMachine) isOverloadedFor(c *call) bool {
	maxUnanswered := burstSize + m.peakRate*m.maxQueueDelay(c)
	isLimited := c.priority < priorityEmergency && m.peakRate > 0
	return isLimited && float64(m.unansweredAttempts) >= maxUnanswered
}

// maxQueueDelay returns the time in seconds that a call may wait behind others.
func (m *StateMachine) maxQueueDelay(c *call) float64 {
	if c.priority >= priorityHigh {
		return (c.class.LatencyObjective / 2).Seconds()
	}
	return m.latencyThreshold.Seconds()
}

// isRedial reports whether a call repeats one that is already late, or is one of many to the same number.
func (m *StateMachine) isRedial(c *call, isMarkedRedial bool) bool {
	n := m.dialedNumbers[c.number]
	if n == nil {
		if c.number != "" && len(m.dialedNumbers) < maxDialedNumbers {
			m.dialedNumbers[c.number] = &dialedNumber{m.now, m.now + c.class.Deadline, 1}
		}
		return isMarkedRedial
	}
	n.calls++
	isLate := m.now-n.firstDialed > c.class.LatencyObjective-m.quickSetupTime
	return n.calls > maxCallsPerNumber || isLate
}

// isDestinationBusy reports whether the called number was busy recently. One call per window may probe it.
func (m *StateMachine) isDestinationBusy(c *call) bool {
	probeAt, isKnown := m.busyNumbers[c.number]
	if isKnown && m.now >= probeAt {
		m.busyNumbers[c.number] = m.now + m.window
	}
	return isKnown && m.now < probeAt
}
