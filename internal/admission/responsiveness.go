package admission

import (
	"slices"
	"time"
)

const maxProbeDoublings = 8 // maximum number of times that the probe interval doubles

// recordAnswer records an answer of any kind. It confirms a suspicion unless an attempt still waits too long.
func (m *StateMachine) recordAnswer(s *server) {
	s.responses.lastAnswer = m.now
	if m.oldestWait(s) <= m.latencyThreshold {
		s.limit.beforeSuspicion = nil
	}
}

// hasAnsweredQuickly reports whether a server has recently established a call, and quickly.
func (m *StateMachine) hasAnsweredQuickly(s *server) bool {
	isRecent := m.now-s.responses.lastEstablished < m.latencyThreshold
	return isRecent && s.responses.lastSetupTime < m.quickSetupTime
}

// oldestWait returns the wait of the oldest pending attempt, halved for a single one that may be lost.
func (m *StateMachine) oldestWait(s *server) time.Duration {
	pending := s.attempts.pending
	if len(pending) == 0 {
		return 0
	}
	wait := m.now - pending[0].sentAt
	if len(pending) == 1 && s.responses.lastSetupTime < m.quickSetupTime {
		wait /= 2
	}
	return wait
}

// isProbeDue reports whether a stuck server that used to answer quickly may receive another attempt.
func (m *StateMachine) isProbeDue(s *server) bool {
	pending := s.attempts.pending
	interval := m.latencyThreshold << min(len(pending)-1, maxProbeDoublings)
	isDue := m.now-pending[len(pending)-1].sentAt >= interval
	return isDue && s.responses.lastSetupTime < m.quickSetupTime
}

// isUnresponsive reports whether a server has stopped answering and is not merely one of several slow ones.
func (m *StateMachine) isUnresponsive(s *server) bool {
	pending := s.attempts.pending
	if len(pending) == 0 || m.now-max(s.responses.lastAnswer, pending[0].sentAt) <= m.unresponsiveAfter {
		return false
	}
	isOtherLate := func(other *server) bool {
		isRecent := m.now-other.responses.lastEstablished < 2*m.latencyThreshold
		return other != s && isRecent && other.responses.lastSetupTime > m.quickSetupTime
	}
	return len(pending) > 1 || !slices.ContainsFunc(m.servers, isOtherLate)
}

// cancelStuckAttempts cancels lost attempts, and attempts at unresponsive servers that another can take over.
func (m *StateMachine) cancelStuckAttempts() {
	if !m.settings.CanCancel {
		return
	}
	for _, s := range m.servers {
		for _, c := range s.attempts.lost {
			m.cancelAttempt(c, ReasonLost)
		}
		if !m.isUnresponsive(s) {
			continue
		}
		m.logServer(s, "not responding")
		for _, c := range s.attempts.pending {
			if m.hasAlternative(c) {
				m.cancelAttempt(c, ReasonServerUnresponsive)
			}
		}
	}
}

// cancelAttempt cancels a call's open attempt if a retry is permitted and has time to succeed.
func (m *StateMachine) cancelAttempt(c *call, reason Reason) {
	mayRepeat := c.attempts < m.settings.MaxAttempts && c.class.Repeatability != NonRepeatable
	hasTime := m.now+m.settings.RetryGuard+m.latencyThreshold <= c.deadline
	isRecent := m.now-c.sentAt < m.latencyThreshold
	if c.isCanceled || c.isDecided || isRecent || !mayRepeat || !hasTime {
		return
	}
	c.isCanceled = true
	m.emit(CancelAttempt{CallID: c.id, Attempt: c.attempts - 1, Reason: reason})
}

// hasAlternative reports whether another server that answers quickly can take the call now.
func (m *StateMachine) hasAlternative(c *call) bool {
	return slices.ContainsFunc(m.servers, func(s *server) bool {
		return s != c.server && m.mayServe(s, c) && m.hasAnsweredQuickly(s) && !m.isHeldBack(s, c)
	})
}
