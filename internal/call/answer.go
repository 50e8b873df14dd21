package call

import "time"

// A finalAnswer is what a call that is not established is answered with.
type finalAnswer struct {
	outcome    Outcome
	cause      int           // of Q.850
	retryAfter time.Duration // how long the caller is asked not to retry; 0: no advice
}

// RejectInvalid rejects a request that can be read but is not possible, without the Decider.
func (m *Manager) RejectInvalid(client Client, r Request) {
	m.rejectUnopened(client, &r, finalAnswer{outcome: RejectedInvalid, cause: CauseTemporaryFailure})
}

// RejectShuttingDown rejects a request that arrives while the process shuts down, without the Decider.
func (m *Manager) RejectShuttingDown(client Client, r Request) {
	m.rejectUnopened(client, &r, finalAnswer{outcome: RejectedShuttingDown, cause: CauseNoCircuit})
}

// RejectOpenCalls rejects all open calls, at the end of an orderly shutdown.
func (m *Manager) RejectOpenCalls() {
	for _, c := range m.callsWhere((*call).isOpen) {
		m.Rejected++
		m.endOpenCall(c, ShuttingDown)
		m.answerRejected(c, finalAnswer{outcome: RejectedShuttingDown, cause: shutdownCause(c)})
	}
}

// shutdownCause returns the cause for a call that is rejected at shutdown. A caller must not be invited
// to retry a call that may have run and does harm if it runs twice.
func shutdownCause(c *call) int {
	if c.mayHaveRun && c.RepeatUnsafe {
		return CauseTemporaryFailure
	}
	return CauseNoCircuit
}

// CallerDisconnected abandons the open calls of a closed client connection. Established calls go on.
func (m *Manager) CallerDisconnected(client Client) {
	isAffected := func(c *call) bool { return c.client == client && c.isOpen() }
	for _, c := range m.callsWhere(isAffected) {
		m.abandonCall(c)
	}
}

// abandonCall ends an open call whose caller waits no longer; no answer is owed.
func (m *Manager) abandonCall(c *call) {
	m.Abandoned++
	m.reportAbandoned(c)
	m.endOpenCall(c, CallerReleased)
	c.client.CallForgotten(c.ID)
	m.notifyAnswered(c, finalAnswer{outcome: Abandoned})
}

// rejectUnopened rejects a request that is not opened as a call.
func (m *Manager) rejectUnopened(client Client, r *Request, answer finalAnswer) {
	m.notifyRejectedUnopened(r, answer)
	client.CallRejected(r.ID, answer.cause, 0)
}

// rejectCall ends an open call and rejects it. If an attempt is in progress, it is canceled for the
// reason end.
func (m *Manager) rejectCall(c *call, end AttemptEnd, answer finalAnswer) {
	m.endOpenCall(c, end)
	m.answerRejected(c, answer)
}

// answerRejected gives the final answer to an ended call.
func (m *Manager) answerRejected(c *call, answer finalAnswer) {
	m.notifyAnswered(c, answer)
	c.client.CallRejected(c.ID, answer.cause, answer.retryAfter)
}

// endOpenCall ends an open call without answering it. If an attempt is in progress, it is canceled for
// the reason end.
func (m *Manager) endOpenCall(c *call, end AttemptEnd) {
	wasAttempting := c.state == callAttempting
	m.removeCall(c)
	m.releaseOpenSlot(c)
	if wasAttempting {
		m.reportAttemptEnd(c, m.cancelAtBackend(c, end))
	}
}

// releaseOpenSlot removes a call from those whose final answer is owed.
func (m *Manager) releaseOpenSlot(c *call) {
	m.openCalls--
	m.descriptionBytes -= len(c.Description)
	c.Description = nil
}
