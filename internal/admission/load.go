package admission

import "time"

// applyLoadReport applies a load report. A long queue delay is evidence of overload.
func (m *StateMachine) applyLoadReport(s *server, load LoadReport) {
	if load.FreeCircuits.isUsable() {
		m.applyCircuits(s, load)
	}
	delay, isKnown := m.queueDelay(s, load)
	if isKnown {
		s.limit.recordEvidence(delay <= m.quickSetupTime, true)
	}
	if delay > m.latencyThreshold && m.now-s.responses.lastEstablished > m.latencyThreshold {
		m.recordOverload(s, delay)
		s.backOff(m.now + delay - m.latencyThreshold)
	}
}

func (m *StateMachine) applyCircuits(s *server, load LoadReport) {
	s.circuits.free, s.circuits.freeUntil = load.FreeCircuits.Value, m.now+m.window
	if load.TotalCircuits.isUsable() {
		s.circuits.inUse = max(load.TotalCircuits.Value-s.circuits.free, 0)
	}
	if s.circuits.free < float64(m.settings.ControllerCount) {
		s.circuits.scarceUntil = m.now + m.window
	}
}

// queueDelay derives a server's queue delay from the figures that it reports, capped at one window.
func (m *StateMachine) queueDelay(s *server, load LoadReport) (delay time.Duration, isKnown bool) {
	if load.Capacity.isUsable() {
		s.maxCapacity = max(s.maxCapacity, load.Capacity.Value)
	}
	seconds := 0.0
	switch {
	case load.QueueDelay.isUsable():
		seconds = load.QueueDelay.Value
	case load.QueueLength.isUsable() && s.maxCapacity > 0:
		seconds = load.QueueLength.Value / s.maxCapacity
	case load.ThrottleShare.isUsable():
		seconds = load.ThrottleShare.Value * m.window.Seconds()
	default:
		return 0, false
	}
	return time.Duration(min(seconds, m.window.Seconds()) * float64(time.Second)), true
}
