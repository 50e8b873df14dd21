package admission

import (
	"maps"
	"time"
)

const (
	minWindowPeriods = 30    // minimum number of periods over which a rate is estimated
	minSamples       = 5     // sufficient in a window: offered calls per server, or answers of a server
	peakDecay        = 0.998 // factor by which a peak rate decays each period
)

// span returns the time in seconds that the counters of a server cover.
func (m *StateMachine) span(s *server) float64 {
	covered := max(m.now-s.counts.since, m.window/3)
	return min(covered, time.Duration(m.windowPeriods)*m.period).Seconds()
}

// rate estimates the events per second from a counter of a server.
func (m *StateMachine) rate(s *server, n *slidingCounter) float64 { return float64(n.sum) / m.span(s) }

// adjustWindow lengthens the window while it has too few calls to estimate a rate, else shortens it again.
func (m *StateMachine) adjustWindow() {
	m.offered.roll(m.windowPeriods)
	if m.offered.sum < minSamples*len(m.servers) {
		m.windowPeriods = min(m.windowPeriods+1, maxWindowPeriods-1)
	} else if m.windowPeriods > minWindowPeriods {
		m.windowPeriods--
	}
}

// updatePeakRates decays all peak rates and raises the one over all servers to the current rate.
func (m *StateMachine) updatePeakRates() {
	minPeak := m.minProbeRate * minRateShare
	maps.DeleteFunc(m.poolPeakRates, func(_ int, rate float64) bool { return rate < minPeak })
	for pool := range m.poolPeakRates {
		m.poolPeakRates[pool] *= peakDecay
	}
	m.established.roll(minWindowPeriods)
	if m.established.periods >= minWindowPeriods/3 {
		covered := time.Duration(m.established.periods+1) * m.period
		m.peakRate = max(m.peakRate*peakDecay, float64(m.established.sum)/covered.Seconds())
	}
}

// updatePoolPeak raises the peak rate of a server's pool to the rate at which the server answers.
func (m *StateMachine) updatePoolPeak(s *server, rate float64) {
	hasEstimate := m.now-s.counts.since >= m.window || s.counts.answered.sum >= minSamples
	if hasEstimate && !s.ramp.inSlowStart {
		m.poolPeakRates[s.Pool] = max(m.poolPeakRates[s.Pool], rate)
	}
}
