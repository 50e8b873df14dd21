package admission

// retryCall records a failed attempt at a server and retries the call. If the attempt may still be running,
// the call first waits for the retry guard.
func (m *StateMachine) retryCall(c *call, s *server, e AttemptEnded, wasOvertaken bool) {
	c.excludeServer(s, e, wasOvertaken)
	switch e.Result {
	case ResultNotSent:
	case ResultDialFailed:
		s.backOff(m.now + m.unresponsiveAfter)
	case ResultServerBusy:
		m.recordBusy(s, e)
	case ResultTimedOut, ResultConnectionLost, ResultCanceled:
		m.recordNoAnswer(s, c, e, wasOvertaken)
		m.startRetryGuard(c)
		return
	default: // the server answered with an error
		m.recordAnswer(s)
		s.counts.answered.add()
		if e.Cause == CauseDestinationBusy {
			if c.number != "" {
				m.busyNumbers[c.number] = m.now + m.window
			}
			m.fail(c, ReasonDestinationBusy)
			return
		}
	}
	m.place(c)
}

// excludeServer records the servers that the next attempt of the call must avoid.
func (c *call) excludeServer(s *server, e AttemptEnded, wasOvertaken bool) {
	c.excludedServer = s
	if wasOvertaken {
		c.excludedServer = nil
	}
	c.lostConnection = e.Cause == CauseConnectionUnresponsive
	if c.class.Repeatability != Idempotent && c.mayHaveRunOn == nil && e.Result.MayHaveRun() {
		c.mayHaveRunOn, c.mayHaveRunAt = s, c.sentAt
	}
}

func (m *StateMachine) recordBusy(s *server, e AttemptEnded) {
	m.recordAnswer(s)
	switch {
	case e.Cause == CauseNoCircuit: // the processor may be idle
		s.circuits.markExhausted(m.now+m.latencyThreshold, m.now+m.window)
	case m.hasAnsweredQuickly(s): // it still answers the attempts that it accepts
		m.recordOverload(s, m.latencyThreshold)
	default:
		m.recordOverload(s, m.window)
		s.backOff(m.now + min(e.RetryAfter, m.window))
	}
}

func (m *StateMachine) recordNoAnswer(s *server, c *call, e AttemptEnded, wasOvertaken bool) {
	hasTimedOut := e.Result == ResultTimedOut && !c.isCanceled
	wasSilent := c.isCanceled && s.responses.lastAnswer < c.sentAt
	if e.Cause == CauseConnectionUnresponsive {
		m.clearSuspicion(s)
	} else if !wasOvertaken && (hasTimedOut || wasSilent) {
		m.suspectOverload(s, m.window)
	}
}

// startRetryGuard delays the next attempt of a call because the last one may still be running.
func (m *StateMachine) startRetryGuard(c *call) {
	c.startRetryGuard(m.now + m.settings.RetryGuard)
	if c.retryNotBefore >= c.deadline || c.class.Repeatability == NonRepeatable {
		m.fail(c, ReasonExhausted)
		return
	}
	m.emit(SetTimer{At: c.retryNotBefore, Key: c.timerKey})
}

// deduplicates reports whether a server recognizes and discards a repeat of a call that may have run.
func (m *StateMachine) deduplicates(s *server, c *call) bool {
	isInTime := m.now-c.mayHaveRunAt < c.class.DeduplicationWindow
	isInScope := c.class.DeduplicationScope.includes(c.mayHaveRunOn.Server, s.Server)
	return c.class.Repeatability == Deduplicated && isInTime && isInScope
}
