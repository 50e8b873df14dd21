package backend

import (
	"slices"

	"olivedale/internal/call"
)

// QueuedSetups returns the number of set-ups that are not written.
func (c *Conn) QueuedSetups() int { return len(c.queue) }

// OpenAttempts returns the number of set-ups that are written and not answered.
func (c *Conn) OpenAttempts() int { return len(c.openAttempts) }

// invite queues a set-up until the end of the iteration, or while the exchange is dialled: what the same iteration
// brings of its caller or of the exchange still stops it.
func (c *Conn) invite(s call.Setup) {
	if c.isDraining || c.isRemoved { // whatever was decided, nothing new goes to an exchange that drains
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

// flushQueue sends the queued set-ups if the exchange is connected; otherwise they wait for the dial that follows.
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

// send writes a set-up. One whose time ran out while it waited for the connection is not sent, nor one that would lie
// in a buffer because the exchange reads nothing: it would reach the exchange after that drains or the caller left.
func (c *Conn) send(s call.Setup) {
	now := c.set.loop.Now()
	if now >= s.Deadline || c.conn.Socket().OutboundBuffered() > 0 {
		c.endAttempt(s, call.NotSent)
		return
	}
	s.Timeout = s.Deadline - now // the time of a dial has passed
	var err error
	c.write(func(b []byte) []byte {
		b, err = c.protocol.appendInvite(b, s)
		return b
	})
	if err != nil {
		c.set.Counters.Unsayable++
		c.endAttempt(s, call.NotSent)
		return
	}
	c.openAttempts[s.ID] = s.Attempt
	c.releases.remove(s.ID) // an earlier attempt's: sent again on another connection it would end this one
	c.set.Counters.Invites++
	c.activity.recordSetup(now)
}

func (c *Conn) endAttempt(s call.Setup, end call.AttemptEnd) {
	c.set.endAttempt(c.id, s.ID, s.Attempt, end)
}

// Cancel gives an attempt up. A set-up that waits in the queue, for the dial or for the end of the iteration, is
// removed; for one that was written a cancel is written. It reports whether the set-up had not been written.
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

// failQueue ends the set-ups that are not written.
func (c *Conn) failQueue(end call.AttemptEnd) {
	queue := c.queue
	c.queue = nil
	for _, s := range queue {
		c.endAttempt(s, end)
	}
}

// releaseUnsettledAttempts has the attempts released on the next connection whose answer may be lost with this one. The
// exchange may have established them, and would keep a call that nobody knows of.
func (c *Conn) releaseUnsettledAttempts() {
	now := c.set.loop.Now()
	for id, attempt := range c.protocol.unsettledAttempts() {
		if _, isPending := c.releases.byID[id]; isPending {
			continue
		}
		r := pendingRelease{attempt: attempt, cause: call.CauseNormal, requestedAt: now, isUnknownCall: true}
		c.releases.add(id, r)
	}
}

// failOpenAttempts ends the set-ups that are written and not answered.
func (c *Conn) failOpenAttempts(end call.AttemptEnd) {
	for id, attempt := range c.openAttempts {
		c.set.endAttempt(c.id, id, attempt, end)
	}
	clear(c.openAttempts)
}
