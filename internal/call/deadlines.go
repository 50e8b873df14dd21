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
	m.rejectedCalls.removeExpired(now)
	m.unknownReleases.ids.removeExpired(now)
}

// NextDeadline returns the time at which Tick is due next.
func (m *Manager) NextDeadline() Time {
	next := m.decider.NextDeadline()
	if len(m.deadlines) > 0 {
		next = min(next, m.deadlines[0].deadline.at)
	}
	if m.QueuedReleases() > 0 {
		next = min(next, m.unknownReleases.forwardAt)
	}
	return next
}

// expireDeadlines cancels the attempts whose deadlines have passed. It returns the overdue calls that have
// no attempt in progress.
func (m *Manager) expireDeadlines(now Time) (overdue []*call) {
	for len(m.deadlines) > 0 && m.deadlines[0].deadline.at <= now {
		c := m.deadlines[0]
		m.deadlines.remove(c)
		switch {
		case c.state == callAttempting:
			m.cancelAttempt(c, TimedOut)
		case c.awaitsAttempt() && now >= c.Deadline:
			overdue = append(overdue, c)
		}
	}
	return overdue
}

// scheduleDeadline schedules a check at the deadline of a call without an attempt in progress, so that the
// call is answered even if its number lookup never completes or the Decider never returns a decision.
func (m *Manager) scheduleDeadline(c *call) { m.deadlines.schedule(c, c.Deadline) }

// failExpired rejects a call whose deadline has passed.
func (m *Manager) failExpired(c *call) {
	m.Failed++
	m.rejectCall(c, TimedOut, finalAnswer{outcome: Failed, cause: CauseTemporaryFailure})
}

// A deadline is the time at which an open call is checked: the end of its attempt or, if it has none in
// progress, of the call.
type deadline struct {
	at    Time
	index int // position in the heap; notScheduled if the call has no deadline
}

// notScheduled is the index of a deadline that is not in the heap.
const notScheduled = -1

// A deadlineHeap is a heap of open calls, the earliest deadline first. Each call is in it at most once. Use
// schedule and remove; the exported methods implement heap.Interface.
type deadlineHeap []*call

// schedule sets the deadline of a call, in place of an earlier one.
func (h *deadlineHeap) schedule(c *call, at Time) {
	c.deadline.at = at
	if c.deadline.index == notScheduled {
		heap.Push(h, c)
	} else {
		heap.Fix(h, c.deadline.index)
	}
}

// remove removes a call. It does nothing if the call has no deadline.
func (h *deadlineHeap) remove(c *call) {
	if c.deadline.index != notScheduled {
		heap.Remove(h, c.deadline.index)
	}
}

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline.at < h[j].deadline.at }

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadline.index = i
	h[j].deadline.index = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	c := x.(*call)
	c.deadline.index = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := len(old) - 1
	c := old[last]
	c.deadline.index = notScheduled
	old[last] = nil // drops the reference to the call
	*h = old[:last]
	return c
}
