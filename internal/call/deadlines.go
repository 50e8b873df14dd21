package call

import "container/heap"

// Tick cancels the attempts whose deadlines have passed, applies the decisions of the Decider that are due
// and then fails the calls whose deadlines have passed.
func (m *Manager) Tick() {
	now := m.now()
	overdue := m.expireDeadlines(now)
	for _, d := range m.decider.Tick(now) {
		if c := m.calls[d.CallID]; c != nil {
			m.apply(c, d)
		}
	}
	// Decisions are applied first, because a decision on an overdue call may carry a retry delay for its
	// caller.
	for _, c := range overdue {
		if c.awaitsAttempt() {
			m.reportAbandoned(c)
			m.failExpired(c)
		}
	}
	m.forwardQueuedReleases(now)
	m.completedCalls.removeExpired(now)
	m.unknownReleases.ids.removeExpired(now)
}

// NextDeadline returns the time at which Tick is due next.
func (m *Manager) NextDeadline() Time {
	next := m.decider.NextDeadline()
	if len(m.deadlines) > 0 {
		next = min(next, m.deadlines[0].at)
	}
	if m.QueuedReleases() > 0 {
		next = min(next, m.unknownReleases.forwardAt)
	}
	return next
}

// expireDeadlines cancels the attempts whose deadlines have passed. It returns the overdue calls that have
// no attempt in progress; a call may be listed more than once.
func (m *Manager) expireDeadlines(now Time) (overdue []*call) {
	for len(m.deadlines) > 0 && m.deadlines[0].at <= now {
		d := m.deadlines.popEarliest()
		c := d.call
		switch {
		case c.state == callAttempting && c.attempt.number == d.attempt:
			m.cancelAttempt(c, TimedOut)
		case c.awaitsAttempt() && now >= c.Deadline:
			overdue = append(overdue, c)
		}
	}
	return overdue
}

// scheduleDeadline schedules a check at the deadline of a call without an attempt in progress, so that the
// call is answered even if its number lookup never completes or the Decider never returns a decision.
func (m *Manager) scheduleDeadline(c *call) {
	m.deadlines.schedule(deadline{at: c.Deadline, call: c, attempt: c.attempt.number})
}

// failExpired rejects a call whose deadline has passed.
func (m *Manager) failExpired(c *call) {
	m.Failed++
	m.rejectCall(c, TimedOut, finalAnswer{outcome: Failed, cause: CauseTemporaryFailure})
}

// A deadline is the time at which an attempt, or a call without an attempt in progress, is checked. If the
// attempt ends earlier, the deadline stays in the heap and has no effect.
type deadline struct {
	at      Time
	call    *call
	attempt int // the latest attempt of the call when the deadline was scheduled
}

// A deadlineHeap is a heap of deadlines, the earliest first. Use schedule and popEarliest; the exported
// methods implement heap.Interface.
type deadlineHeap []deadline

func (h *deadlineHeap) schedule(d deadline) { heap.Push(h, d) }

// popEarliest removes and returns the earliest deadline.
func (h *deadlineHeap) popEarliest() deadline { return heap.Pop(h).(deadline) }

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(deadline)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := len(old) - 1
	d := old[last]
	old[last] = deadline{} // drops the reference to the call
	*h = old[:last]
	return d
}
