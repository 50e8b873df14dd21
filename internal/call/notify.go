package call

import "olivedale/internal/admission"

// The methods in this file pass events to the observer, if there is one.

func (m *Manager) notifyOffered(now Time, r *Request) {
	if m.observer != nil {
		m.observer.CallOffered(now, r)
	}
}

func (m *Manager) notifyDecided(d *admission.Decision) {
	if m.observer != nil && d.Kind != admission.DecisionNone {
		m.observer.Decided(m.now(), d)
	}
}

// notifyRejectedUnopened reports a request that is rejected before a call is opened.
func (m *Manager) notifyRejectedUnopened(r *Request, answer finalAnswer) {
	if m.observer == nil {
		return
	}
	now := m.now()
	m.observer.CallOffered(now, r)
	m.observer.CallAnswered(now, &Answer{ID: r.ID, Class: r.Class, Outcome: answer.outcome, Cause: answer.cause})
}

// notifyAnswered reports the final answer of a call.
func (m *Manager) notifyAnswered(c *call, answer finalAnswer) {
	if m.observer == nil {
		return
	}
	now := m.now()
	m.observer.CallAnswered(now, &Answer{
		ID:         c.ID,
		Class:      c.Class,
		Outcome:    answer.outcome,
		Cause:      answer.cause,
		RetryAfter: answer.retryAfter,
		Elapsed:    now - c.offeredAt,
		Server:     c.attempt.server,
		Attempts:   c.attempt.number + 1,
	})
}

// notifyReleased reports the end of an established call.
func (m *Manager) notifyReleased(c *call, end AttemptEnd, cause int) {
	if m.observer == nil {
		return
	}
	now := m.now()
	m.observer.CallReleased(now, &ReleaseEvent{
		ID:       c.ID,
		Class:    c.Class,
		Server:   c.attempt.server,
		Cause:    cause,
		End:      end,
		Duration: now - c.establishedAt,
	})
}

func (m *Manager) notifyLimit(l LimitEvent, id string) {
	if m.observer != nil {
		m.observer.LimitReached(m.now(), l, id)
	}
}
