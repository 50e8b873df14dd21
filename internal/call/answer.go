package call

import "time"

// A finalAnswer holds the outcome of a call and, if the call is rejected, what its caller is told.
type finalAnswer struct {
	outcome    Outcome
	cause      int           // Q.850 cause
	retryAfter time.Duration // how long the caller is asked to wait before retrying; 0 for no advice
}

// RejectInvalid rejects a request that is well-formed but not valid, without asking the Decider.
func (m *Manager) RejectInvalid(client Client, r Request) {
	m.rejectUnopened(client, &r, finalAnswer{outcome: RejectedInvalid, cause: CauseTemporaryFailure})
}

// RejectShuttingDown rejects a request that arrives during shutdown, without asking the Decider.
func (m *Manager) RejectShuttingDown(client Client, r Request) {
	m.rejectUnopened(client, &r, finalAnswer{outcome: RejectedShuttingDown, cause: CauseNoCircuit})
}

// RejectOpenCalls rejects all open calls at the end of a graceful shutdown.
func (m *Manager) RejectOpenCalls() {
	for _, c := range m.callsWhere((*call).isOpen) {
		m.Rejected++
		m.endOpenCall(c, ShuttingDown)
		m.answerRejected(c, finalAnswer{outcome: RejectedShuttingDown, cause: shutdownCause(c)})
	}
}

// shutdownCause returns the cause with which a call is rejected at shutdown. CauseNoCircuit allows a retry,
// so it is not used for a call that may have run and is unsafe to repeat.
func shutdownCause(c *call) int {
	if c.mayHaveRun && c.RepeatUnsafe {
		return CauseTemporaryFailure
	}
	return CauseNoCircuit
}

// CallerDisconnected abandons the open calls of a closed client connection. Established calls stay up.
func (m *Manager) CallerDisconnected(client Client) {
	isAffected := func(c *call) bool { return c.client == client && c.isOpen() }
	for _, c := range m.callsWhere(isAffected) {
		m.abandonCall(c)
	}
}

// abandonCall ends an open call whose caller no longer waits for an answer.
func (m *Manager) abandonCall(c *call) {
	m.Abandoned++
	m.reportAbandoned(c)
	m.endOpenCall(c, CallerReleased)
	c.client.CallWithdrawn(c.ID)
	m.notifyAnswered(c, finalAnswer{outcome: Abandoned})
}

// rejectUnopened rejects a request for which no call was opened.
func (m *Manager) rejectUnopened(client Client, r *Request, answer finalAnswer) {
	m.notifyRejectedUnopened(r, answer)
	client.CallRejected(r.ID, answer.cause, 0)
}

// rejectCall ends an open call and rejects it. An attempt in progress is canceled with the given end.
func (m *Manager) rejectCall(c *call, end AttemptEnd, answer finalAnswer) {
	m.endOpenCall(c, end)
	m.answerRejected(c, answer)
}

// answerRejected gives the final answer to an ended call.
func (m *Manager) answerRejected(c *call, answer finalAnswer) {
	m.notifyAnswered(c, answer)
	c.client.CallRejected(c.ID, answer.cause, answer.retryAfter)
}

// endOpenCall ends an open call without answering it. An attempt in progress is canceled with the given
// end.
func (m *Manager) endOpenCall(c *call, end AttemptEnd) {
	wasAttempting := c.state == callAttempting
	m.removeCall(c)
	m.releaseOpenSlot(c)
	if wasAttempting {
		m.reportAttemptEnd(c, m.cancelAtBackend(c, end))
	}
}

// releaseOpenSlot frees what an open call occupies: its slot, its session description and its deadline.
func (m *Manager) releaseOpenSlot(c *call) {
	m.deadlines.remove(c)
	m.openCalls--
	m.descriptionBytes -= len(c.Description)
	c.Description = nil
}
