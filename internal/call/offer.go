package call

import "olivedale/internal/admission"

// Offer accepts a call from a caller. The final answer goes to client, possibly before Offer returns. If
// the id belongs to a call that is established, was offered by the same client or has different content,
// Offer returns ErrIDInUse, gives no answer and leaves that call unchanged.
func (m *Manager) Offer(client Client, r Request) error {
	m.Requests++
	if c := m.calls[r.ID]; c != nil {
		return m.mergeOffer(c, client, &r)
	}
	if answer, rejected := m.screenOffer(&r); rejected {
		m.rejectUnopened(client, &r, answer)
		return nil
	}
	c := newCall(client, &r, m.now())
	if accepted := m.routeOffer(c, &r); !accepted {
		m.rejectUnopened(client, &r, finalAnswer{outcome: RejectedByPolicy, cause: c.route.rejectionCause()})
		return nil
	}
	m.openCall(c, &r)
	return nil
}

// mergeOffer handles an offer with the id of an existing call. A caller whose connection is closed before
// the answer repeats its offer on another connection: the call is answered there and not started again.
func (m *Manager) mergeOffer(c *call, client Client, r *Request) error {
	isRepeat := c.isOpen() && c.client != client && c.matches(r)
	if !isRepeat {
		// The answer to the call must not reach another caller.
		m.ReusedIDs++
		m.notifyLimit(LimitReusedID, r.ID)
		return ErrIDInUse
	}
	m.Repeated++
	m.notifyLimit(LimitRepeatedSetup, r.ID)
	c.client.CallWithdrawn(r.ID)
	c.client = client
	return nil
}

// screenOffer checks an offer before a call is opened. If the offer is rejected, it returns the answer.
func (m *Manager) screenOffer(r *Request) (answer finalAnswer, rejected bool) {
	switch {
	case m.completedCalls.contains(r.ID), m.rejectedCalls.contains(r.ID):
		// The call may have run, and one of its attempts may just have been canceled: it must be neither
		// sent again nor passed to the Decider.
		m.ReusedIDs++
		return finalAnswer{outcome: RejectedReusedID, cause: CauseTemporaryFailure}, true
	case m.unknownReleases.isReleased(r.ID):
		// The caller abandoned the call on another connection, and the release was read first.
		m.Abandoned++
		return finalAnswer{outcome: Abandoned, cause: CauseTemporaryFailure}, true
	case m.isFull():
		m.OverLimit++
		return finalAnswer{outcome: RejectedOverLimit, cause: CauseCongestion}, true
	case m.exceedsLimits(r):
		m.OverLimit++
		return finalAnswer{outcome: RejectedOverLimit, cause: CauseNoCircuit}, true
	}
	return finalAnswer{}, false
}

// isFull reports whether the number of calls has reached its limit. Each call may need room for its release later, so
// releases that are pending count as well.
func (m *Manager) isFull() bool {
	if m.completedCalls.isFullSince(m.now() + completedCallRetention - minCompletedCallRetention) {
		return true // a recent id would be displaced, and its call could run twice
	}
	used := len(m.calls)
	if m.reservedRoom != nil {
		used += m.reservedRoom()
	}
	return used >= m.limits.Calls
}

// exceedsLimits reports whether opening the call would exceed the Limits.
func (m *Manager) exceedsLimits(r *Request) bool {
	return m.openCalls >= m.limits.OpenCalls ||
		m.descriptionBytes+len(r.Description) > m.limits.DescriptionBytes
}

// routeOffer asks the Router, if there is one, for the route of a call that has not been opened yet. It
// reports false if the Router rejects the call.
func (m *Manager) routeOffer(c *call, r *Request) (accepted bool) {
	if m.router == nil {
		return true
	}
	c.route = m.router.Route(c.offeredAt, r)
	if !c.route.Pending && c.route.rejects() {
		c.releaseRoute()
		m.ByPolicy++
		return false
	}
	r.Table = c.route.Table
	return true
}

// openCall takes ownership of a call and places it unless its number lookup is pending.
func (m *Manager) openCall(c *call, r *Request) {
	m.calls[c.ID] = c
	m.openCalls++
	m.descriptionBytes += len(c.Description)
	m.notifyOffered(c.offeredAt, r)
	if c.route.Pending {
		m.scheduleDeadline(c)
		return
	}
	m.place(c)
}

// place asks the Decider for the first decision on a routed call.
func (m *Manager) place(c *call) {
	c.transition(callWaiting)
	preferred := c.PreferredPool
	if len(c.route.Pools) > 0 {
		preferred = c.route.Pools[0]
	}
	m.apply(c, m.decider.Place(m.now(), admission.Request{
		CallID:        c.ID,
		Class:         c.Class,
		Number:        c.Number,
		PreferredPool: preferred,
		Pools:         c.route.Pools,
		Deadline:      c.Deadline,
		Reestablish:   c.Reestablish,
		Emergency:     c.route.Emergency,
	}))
}

// RouteResolved applies the result of the number lookup of a call whose Route was Pending. It does nothing
// if the call has ended or was resolved before. The Close and Table of the first Route remain in use; those
// of r are ignored.
func (m *Manager) RouteResolved(id string, r Route) {
	c := m.calls[id]
	if c == nil || c.state != callRouting {
		return
	}
	c.route.Pools = r.Pools
	c.route.Cause = r.Cause
	c.route.Emergency = r.Emergency
	c.route.Pending = false
	if r.rejects() {
		m.ByPolicy++
		answer := finalAnswer{outcome: RejectedByPolicy, cause: r.rejectionCause(), retryAfter: r.RetryAfter}
		m.rejectCall(c, Canceled, answer)
		return
	}
	m.place(c)
}
