package call

import "olivedale/internal/admission"

// apply executes a decision on a call. A decision that is not valid in the state of the call is ignored.
func (m *Manager) apply(c *call, d admission.Decision) {
	m.notifyDecided(&d)
	switch d.Kind {
	case admission.DecisionSend:
		if c.state == callWaiting {
			m.startAttempt(c, d)
		}
	case admission.DecisionReject:
		if c.isOpen() {
			m.Rejected++
			m.rejectCall(c, Canceled, finalAnswer{outcome: Rejected, cause: CauseNoCircuit, retryAfter: d.Wait})
		}
	case admission.DecisionFail:
		if c.isOpen() {
			m.Failed++
			m.rejectCall(c, TimedOut, finalAnswer{outcome: Failed, cause: CauseTemporaryFailure, retryAfter: d.Wait})
		}
	case admission.DecisionCancel:
		if c.state == callAttempting && d.Attempt == c.attempt.number {
			m.cancelAttempt(c, Canceled)
		}
	case admission.DecisionNone: // a later decision follows
	}
	if c.state == callWaiting {
		m.scheduleDeadline(c)
	}
}

// startAttempt sends the setup of a waiting call to the server chosen by a decision. If the deadline of
// the call has passed, the call fails instead: a Decider that always sends would otherwise loop forever.
func (m *Manager) startAttempt(c *call, d admission.Decision) {
	now := m.now()
	if now >= c.Deadline {
		m.failExpired(c)
		return
	}
	c.transition(callAttempting)
	c.attempt = attempt{server: d.Server, number: c.attempt.number + 1, startedAt: now}
	m.Attempts++
	expiresAt := min(now+d.Wait, c.Deadline)
	m.deadlines.schedule(c, expiresAt)
	s := Setup{
		ID:          c.ID,
		Class:       c.Class,
		Number:      c.Number,
		Attempt:     c.attempt.number,
		Timeout:     expiresAt - now,
		Deadline:    expiresAt,
		Description: c.Description,
	}
	if m.observer != nil {
		m.observer.AttemptStarted(now, d.Server, &s)
	}
	m.backends.Invite(d.Server, s)
}

// AttemptAnswered handles a backend's answer that establishes a call. If the attempt is no longer in
// progress, the call is released at the backend; a repeated answer is ignored.
func (m *Manager) AttemptAnswered(server, id string, attempt int, description []byte) {
	c := m.calls[id]
	switch {
	case c != nil && c.isAttempting(server, attempt):
		m.establish(c, description)
	case c != nil && c.state == callEstablished && c.isLatestAttempt(server, attempt):
		return
	default:
		// The answer crossed the cancellation: the backend must free the circuit, and the caller must
		// not get a second answer.
		m.LateAnswers++
		m.backends.Release(server, id, attempt, CauseNormal)
	}
}

// establish answers a call whose attempt has succeeded.
func (m *Manager) establish(c *call, description []byte) {
	now := m.now()
	c.transition(callEstablished)
	c.establishedAt = now
	m.establishedCalls[c.attempt.server]++
	m.decider.Report(now, admission.AttemptReport{
		CallID:  c.ID,
		Server:  c.attempt.server,
		Attempt: c.attempt.number,
		Kind:    admission.ReportEstablished,
		Elapsed: now - c.attempt.startedAt,
	})
	m.Established++
	m.notifyAnswered(c, finalAnswer{outcome: Established})
	c.client.CallEstablished(c.ID, description)
	m.releaseOpenSlot(c)
}

// AttemptEnded handles the end of an attempt that did not establish its call. It does nothing if the
// attempt is no longer in progress.
func (m *Manager) AttemptEnded(server, id string, attempt int, e AttemptEnd) {
	if c := m.calls[id]; c != nil && c.isAttempting(server, attempt) {
		m.endAttempt(c, e)
	}
}

// cancelAttempt cancels the attempt in progress and applies the Decider's next decision.
func (m *Manager) cancelAttempt(c *call, end AttemptEnd) {
	m.endAttempt(c, m.cancelAtBackend(c, end))
}

// cancelAtBackend cancels the latest attempt at its backend and returns how the attempt ended: NotSent if
// its setup had not been written, end otherwise.
func (m *Manager) cancelAtBackend(c *call, end AttemptEnd) AttemptEnd {
	m.Cancels++
	if m.backends.Cancel(c.attempt.server, c.ID, c.attempt.number) {
		return NotSent
	}
	return end
}

// endAttempt ends the attempt in progress and applies the Decider's next decision.
func (m *Manager) endAttempt(c *call, end AttemptEnd) {
	c.transition(callWaiting)
	m.apply(c, m.reportAttemptEnd(c, end))
}

// reportAttemptEnd reports the end of the latest attempt to the observer and the Decider and returns the
// next decision on the call. Callers must ignore the decision if the call has ended with the attempt.
func (m *Manager) reportAttemptEnd(c *call, end AttemptEnd) admission.Decision {
	m.Ends[end]++
	result, cause := end.admissionResult()
	c.mayHaveRun = c.mayHaveRun || result.MayHaveRun()
	now := m.now()
	elapsed := now - c.attempt.startedAt
	if m.observer != nil {
		m.observer.AttemptEnded(now, c.attempt.server, c.ID, c.attempt.number, end, elapsed)
	}
	return m.decider.Report(now, admission.AttemptReport{
		CallID:  c.ID,
		Server:  c.attempt.server,
		Attempt: c.attempt.number,
		Kind:    admission.ReportEnded,
		Result:  result,
		Cause:   cause,
		Elapsed: elapsed,
		Final:   c.state == callEnded,
	})
}

// reportAbandoned reports to the Decider that a call was abandoned, if the call was passed to the Decider.
func (m *Manager) reportAbandoned(c *call) {
	if c.state == callRouting {
		return
	}
	m.decider.Report(m.now(), admission.AttemptReport{CallID: c.ID, Kind: admission.ReportAbandoned})
}
