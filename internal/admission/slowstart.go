package admission

import "cmp"

const rampGrowth = 1.5 // attempt rate allowed to an unproven server, relative to its answer rate

func (s *server) needsRampToken(c *call) bool { return s.ramp.inSlowStart || s.Pool != c.preferredPool }

// updateRamp adds the tokens of a period and ends the slow start of a server that is old enough.
func (m *StateMachine) updateRamp(s *server, rate float64) {
	refilled := s.ramp.tokens + m.rampRate(s, rate)*m.period.Seconds()
	s.ramp.tokens = min(refilled, min(1+rate, burstSize))
	if s.ramp.tokens >= 1 && m.now-s.Started >= m.settings.SlowStartPeriod {
		s.ramp.inSlowStart = false
	}
}

// rampRate is somewhat above a server's answer rate or, in slow start, its pool's peak scaled by its age.
func (m *StateMachine) rampRate(s *server, rate float64) float64 {
	peak := m.poolPeakRates[s.Pool]
	if !s.ramp.inSlowStart || peak <= 0 {
		return max(rampGrowth*rate, m.minProbeRate)
	}
	age := min(float64(m.now-s.Started)/float64(m.settings.SlowStartPeriod), 1)
	share := m.settings.SlowStartShare + (1-m.settings.SlowStartShare)*age
	growth := cmp.Or(min(rampGrowth, m.settings.SlowStartFactor*3/4), rampGrowth)
	return max(growth*peak*share, m.minProbeRate)
}
