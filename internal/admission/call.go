package admission

import "time"

func (m *StateMachine) offerCall(e CallOffered) {
	if m.calls.byID[e.CallID] != nil {
		return
	}
	c := &call{
		id: e.CallID, number: e.Number, class: m.classes[e.Class],
		preferredPool: e.PreferredPool, pools: e.Pools, deadline: e.Deadline,
	}
	m.calls.add(c)
	m.offered.add()
	if c.class == nil {
		m.reject(c, ReasonUnknownClass)
		return
	}
	c.priority = c.class.priority
	if m.isRedial(c, e.Redialed) {
		c.priority = priorityRedial
	}
	if e.Reestablish {
		c.priority = priorityEmergency
	}
	if c.priority < priorityEmergency && m.isDestinationBusy(c) {
		m.reject(c, ReasonDestinationCongested)
		return
	}
	m.place(c)
	if !c.isDecided { // a call that is rejected immediately needs no timer
		m.emit(SetTimer{At: c.deadline, Key: c.timerKey})
	}
}

// place sends the next attempt of a call, or gives the call its final answer.
func (m *StateMachine) place(c *call) {
	if c.attempts >= m.settings.MaxAttempts || m.now >= c.deadline {
		m.fail(c, ReasonExhausted)
		return
	}
	s := m.selectServer(c)
	if s == nil || m.now+min(s.responses.smoothedSetupTime, m.latencyThreshold) >= c.deadline {
		m.reject(c, m.rejectReason)
		return
	}
	c.startAttempt(s, m.now)
	m.unansweredAttempts++
	s.attempts.add(c)
	s.counts.sent.add()
	m.overloadControl.RecordSent(m.now, s.ID, s.Pool == c.preferredPool && c.attempts == 1)
	s.limit.tokens = max(s.limit.tokens-1, -burstSize)
	s.circuits.free -= float64(m.settings.ControllerCount) // the other controllers send attempts as well
	if s.needsRampToken(c) {
		s.ramp.tokens = max(s.ramp.tokens-1, 0)
	}
	m.emit(SendAttempt{CallID: c.id, Server: s.ID, Timeout: c.deadline - m.now})
}

// establishCall records that the open attempt of a call was answered.
func (m *StateMachine) establishCall(e CallEstablished) {
	c := m.calls.byID[e.CallID]
	if c == nil || c.state != callAttempting || e.Attempt != c.attempts-1 {
		return
	}
	c.establish()
	m.unansweredAttempts--
	s := c.server
	s.attempts.remove(c)
	setupTime := e.SetupTime - m.stall
	hasOvertaken := s.attempts.markOvertaken(c.sentAt - min(m.period, m.latencyThreshold/4))
	if hasOvertaken && setupTime <= m.latencyThreshold {
		m.clearSuspicion(s) // the overtaken attempts were lost: the server was not unresponsive
	}
	s.counts.answered.add()
	m.established.add()
	m.recordAnswer(s)
	s.responses.smoothedSetupTime += (e.SetupTime - s.responses.smoothedSetupTime) / 4
	m.overloadControl.RecordResult(m.now, s.ID, true, setupTime)
	s.responses.recordSetup(setupTime, m.now)
	s.limit.recordEvidence(setupTime <= m.quickSetupTime, false)
	m.recordHealthy(s)
	if setupTime > m.latencyThreshold {
		m.recordOverload(s, setupTime)
		s.backOff(m.now + min(setupTime, m.window) - m.latencyThreshold)
	}
}

// endAttempt records the end of an attempt and, unless the call is over, retries the call.
func (m *StateMachine) endAttempt(e AttemptEnded) {
	c := m.calls.byID[e.CallID]
	if c == nil || c.server == nil || e.Attempt != c.attempts-1 {
		return
	}
	s, wasEstablished := c.server, c.state == callEstablished
	wasOvertaken := s.attempts.remove(c)
	c.endAttempt()
	if wasEstablished { // its circuit is free, and probably some of the other controllers' circuits too
		s.circuits.free += float64(m.settings.ControllerCount)
	} else {
		m.unansweredAttempts--
		m.overloadControl.RecordResult(m.now, s.ID, false, m.now-c.sentAt)
	}
	m.applyLoadReport(s, e.Load)
	if e.Final || c.isDecided || wasEstablished {
		m.finish(c)
		return
	}
	m.retryCall(c, s, e, wasOvertaken)
}

// reject rejects a call, so that its caller may retry it, or fails it if a retry could run the call twice.
func (m *StateMachine) reject(c *call, reason Reason) {
	if c.mayHaveRunOn != nil && !c.class.isRepeatableEverywhere() {
		m.fail(c, reason)
		return
	}
	m.emit(RejectCall{c.id, m.retryAfter(c), reason})
	m.finish(c)
}

func (m *StateMachine) fail(c *call, reason Reason) {
	m.emit(FailCall{c.id, m.retryAfter(c), reason})
	m.finish(c)
}

// finish marks a call as decided and deletes it unless it has an open attempt.
func (m *StateMachine) finish(c *call) {
	c.isDecided = true
	delete(m.calls.byTimer, c.timerKey)
	if c.server == nil {
		delete(m.calls.byID, c.id)
	}
}

// retryAfter returns the retry-after time for a call: until some server is likely to have capacity.
func (m *StateMachine) retryAfter(c *call) time.Duration {
	wait := m.window
	for _, s := range m.servers {
		if c.class == nil || !m.mayServe(s, c) {
			continue
		}
		untilOpen := s.backoffUntil - m.now
		if missing := 1 - s.limit.tokens; missing > 0 && !s.limit.isUnlimited() {
			seconds := missing / (normalShare * s.limit.rate)
			untilOpen = max(untilOpen, time.Duration(seconds*float64(time.Second)))
		}
		wait = min(wait, untilOpen)
	}
	return m.settings.RetryAfter(max(wait, m.quickSetupTime))
}
