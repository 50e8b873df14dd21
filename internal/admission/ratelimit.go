package admission

import (
	"cmp"
	"math"
	"time"
)

const (
	burstSize        = 2    // attempts that a rate-limited server may receive at once
	normalShare      = 0.92 // share of the rate limit available to calls below priorityHigh
	highShare        = 1.2  // share of the rate limit available to calls of priorityHigh
	minRateShare     = 0.25 // minimum of a new rate limit as a share of the recent rate
	recoveryStep     = 0.03 // growth of a rate limit per period without overload
	healthyTolerance = 50   // setup times that differ by 1/50 of the latency threshold count as equal
)

// recordOverload limits a server to its answer rate, minus the capacity needed to clear the wait in a window.
func (m *StateMachine) recordOverload(s *server, wait time.Duration) {
	limit := &s.limit
	if limit.isUnlimited() {
		limit.tokens = min(limit.tokens, m.rng.Float64())
	}
	share := 1 - (wait-m.latencyThreshold).Seconds()/m.window.Seconds()
	rate := max(m.rate(s, &s.counts.answered)*min(max(share, minRateShare), 1), m.probeRate(s))
	limit.recordOverload(rate, m.rng.Float64(), m.now)
	m.overloadControl.RecordOverload(m.now, s.ID)
	m.emit(RateLimitChanged{s.ID, rate, ReasonOverloaded})
	m.logServer(s, "rate limit %.1f/s of %.1f/s offered, wait %v", rate,
		m.rate(s, &s.counts.offered), wait.Round(time.Millisecond))
}

// suspectOverload limits a silent server. clearSuspicion reverts it if only the path to the server failed.
func (m *StateMachine) suspectOverload(s *server, wait time.Duration) {
	before := cmp.Or(s.limit.beforeSuspicion, s.limit.snapshot())
	m.recordOverload(s, wait)
	s.limit.beforeSuspicion = before
}

// clearSuspicion restores the rate limit when the silence was due to a lost connection, attempt or answer.
func (m *StateMachine) clearSuspicion(s *server) {
	if before := s.limit.beforeSuspicion; before != nil {
		m.emit(RateLimitChanged{s.ID, before.rate, ReasonSuspicionCleared})
		s.limit.restore(before)
	}
}

// recordHealthy increases the burst of a server that still answers at minimum latency while out of tokens.
func (m *StateMachine) recordHealthy(s *server) {
	slowest := s.responses.minSetupTime + m.latencyThreshold/healthyTolerance
	if s.limit.isUnlimited() && s.limit.tokens < 1 && s.responses.lastSetupTime <= slowest {
		s.limit.provenBurst++
		s.limit.tokens++
	}
}

// probeRate returns a server's minimum rate limit: below minProbeRate if the peak rate of its pool is low.
func (m *StateMachine) probeRate(s *server) float64 {
	if peak, isKnown := m.poolPeakRates[s.Pool]; isKnown {
		return min(max(peak, m.minProbeRate)*minRateShare, m.minProbeRate)
	}
	return m.minProbeRate
}

// maxTokens returns the size of a server's token bucket.
func (m *StateMachine) maxTokens(s *server) float64 {
	if s.limit.isUnlimited() {
		return burstSize + max(m.poolPeakRates[s.Pool]*m.latencyThreshold.Seconds(), s.limit.provenBurst)
	}
	return max(burstSize, burstSize*s.limit.rate*m.period.Seconds())
}

// recoverRate raises the rate limit after a period without overload, and finally removes it.
func (m *StateMachine) recoverRate(s *server) {
	limit := &s.limit
	sinceOverload := m.now - limit.overloadedAt
	if limit.isUnlimited() || sinceOverload < m.latencyThreshold {
		return
	}
	recoveryTime := time.Duration(m.windowPeriods) * m.period
	hasEvidence := limit.isReported || s.counts.answered.sum >= minSamples
	if limit.isHealthy && hasEvidence {
		recoveryTime = m.window
	}
	limit.rate *= 1 + recoveryStep*float64(m.window)/float64(recoveryTime)
	if sinceOverload > recoveryTime && limit.tokens >= burstSize {
		limit.rate = math.Inf(1)
		m.emit(RateLimitChanged{s.ID, limit.rate, ReasonLimitExpired})
		m.logServer(s, "rate limit expired")
	}
}

// exceedsRateLimit reports whether an attempt would exceed the call's share of the rate limit.
func (m *StateMachine) exceedsRateLimit(s *server, c *call) bool {
	share, minTokens := normalShare, 1.0
	switch c.priority {
	case priorityEmergency:
		return false
	case priorityHigh:
		share, minTokens = highShare, 0
	case priorityRedial:
		minTokens = m.maxTokens(s)
	case priorityNormal: // keeps the defaults
	}
	maxSent := max(1, share*s.limit.rate*m.span(s)+s.limit.rounding)
	return s.limit.tokens < minTokens || float64(s.counts.sent.sum+1) > maxSent
}
