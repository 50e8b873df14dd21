package backend

import (
	"slices"

	"olivedale/internal/call"
)

// QueuedSetups returns the number of set-ups that have not been written yet.
func (c *Conn) QueuedSetups() int { return len(c.queue) }

// OpenAttempts returns the number of set-ups that have been written but not answered.
func (c *Conn) OpenAttempts() int { return len(c.openAttempts) }

// invite queues a set-up until the end of the iteration, or until the exchange is connected. A cancellation by the
// caller, or a drain or removal of the exchange, that arrives in the same iteration therefore still prevents the send.
func (c *Conn) invite(s call.Setup) {
	if c.isDraining || c.isRemoved { // never send a set-up to a draining or removed exchange
		c.endAttempt(s, call.NotSent)
		return
	}
	c.queue = append(c.queue, s)
	if c.conn == nil {
		c.Dial()
	} else if len(c.queue) == 1 {
		c.set.loop.Defer(c.flushQueue)
	}
}

// flushQueue sends the queued set-ups if the exchange is connected; otherwise they stay queued for the pending dial.
func (c *Conn) flushQueue() {
	if c.conn == nil {
		return
	}
	queue := c.queue
	c.queue = nil
	for _, s := range queue {
		c.send(s)
	}
}

// send writes a set-up. It does not send a set-up whose deadline has passed while it was queued. Nor does it send while
// earlier output is still buffered because the exchange is not reading: the set-up could then arrive after the exchange
// has started to drain or the caller has given up.
func (c *Conn) send(s call.Setup) {
	now := c.set.loop.Now()
	if now >= s.Deadline || c.conn.Socket().OutboundBuffered() > 0 {
		c.endAttempt(s, call.NotSent)
		return
	}
	c.releaseEarlierAttempts(s.ID, s.Attempt)
	s.Timeout = s.Deadline - now // deduct the time spent waiting for a dial
	var err error
	c.write(func(b []byte) []byte {
		b, err = c.protocol.appendInvite(b, s)
		return b
	})
	if err != nil {
		c.set.Counters.UnencodableSetups++
		c.endAttempt(s, call.NotSent)
		return
	}
	c.openAttempts[s.ID] = s.Attempt
	c.set.Counters.Invites++
	c.activity.recordSetup(now)
}

func (c *Conn) endAttempt(s call.Setup, end call.AttemptEnd) {
	c.set.endAttempt(c.id, s.ID, s.Attempt, end)
}

// Cancel cancels an attempt. A set-up that is still queued is removed from the queue; for one that has been written, a
// cancellation is sent. It reports whether the set-up had not been written yet.
func (c *Conn) Cancel(id string, attempt int) (unsent bool) {
	i := slices.IndexFunc(c.queue, func(s call.Setup) bool { return s.ID == id && s.Attempt == attempt })
	if i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
		return true
	}
	open, ok := c.openAttempts[id]
	if ok && open == attempt && c.conn != nil {
		delete(c.openAttempts, id)
		c.write(func(b []byte) []byte { return c.protocol.appendCancel(b, id, attempt) })
	}
	return false
}

// failQueue ends all queued attempts with the given result.
func (c *Conn) failQueue(end call.AttemptEnd) {
	queue := c.queue
	c.queue = nil
	for _, s := range queue {
		c.endAttempt(s, end)
	}
}

// releaseUnresolvedAttempts schedules releases, to be sent on the next connection, for attempts whose answer may have
// been lost with this connection. Otherwise the exchange might keep calls established that no caller knows of.
func (c *Conn) releaseUnresolvedAttempts() {
	now := c.set.loop.Now()
	for _, u := range c.protocol.unresolvedAttempts() {
		key := c.protocol.releaseKey(u.id, u.attempt)
		if _, isPending := c.releases[key]; isPending {
			continue
		}
		r := pendingRelease{attempt: u.attempt, cause: call.CauseNormal, requestedAt: now, isUnknownCall: true}
		c.releases[key] = r
	}
}

// failOpenAttempts ends all attempts that were written but not answered.
func (c *Conn) failOpenAttempts(end call.AttemptEnd) {
	for id, attempt := range c.openAttempts {
		c.set.endAttempt(c.id, id, attempt, end)
	}
	clear(c.openAttempts)
}
