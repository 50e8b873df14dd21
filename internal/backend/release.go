package backend

import "time"

const (
	// confirmationTimeout is the time after which an unconfirmed release is dropped.
	confirmationTimeout = 32 * time.Second
	// unknownCallInterval is the minimum time between two sends of the release of a call that may not be established.
	// An exchange that hangs is redialled repeatedly, and must not receive all of these releases on every connection.
	unknownCallInterval = 2 * time.Second
	// anyAttempt is the attempt of a release whose attempt is not known: the call was set up by an earlier process.
	anyAttempt = -1
)

// A pendingRelease is a release that the exchange has not confirmed. It is resent on each new connection.
type pendingRelease struct {
	attempt, cause int
	requestedAt    time.Duration
	sentAt         time.Duration // of the latest send; 0 if not sent yet
	isUnknownCall  bool          // not known to be established
}

// pendingReleases holds the unconfirmed releases of one exchange by call id. Each takes the place of a call, whose
// number is limited by the call manager (call.Limits).
type pendingReleases map[string]pendingRelease

func (p pendingReleases) remove(id string) { delete(p, id) }

// removeAttempt removes the release of an attempt that the exchange has ended.
func (p pendingReleases) removeAttempt(id string, attempt int) {
	if r, ok := p[id]; ok && r.attempt == attempt {
		p.remove(id)
	}
}

// expire drops the releases that were not confirmed within confirmationTimeout on a connection that was opened at
// connectedAt. While the exchange is disconnected they are kept, because it may keep the calls through an outage of any
// length.
func (p pendingReleases) expire(now, connectedAt time.Duration) {
	for id, r := range p {
		if now-max(r.requestedAt, connectedAt) > confirmationTimeout {
			delete(p, id)
		}
	}
}

// isDue reports whether a release should be sent on a connection opened now.
func (r *pendingRelease) isDue(now time.Duration) bool {
	return !r.isUnknownCall || r.sentAt == 0 || now-r.sentAt >= unknownCallInterval
}

// sendReleases sends the unconfirmed releases on a new connection. Releases that are not due yet are left to
// resendReleases.
func (c *Conn) sendReleases() {
	now := c.set.loop.Now()
	c.resendAt = 0
	for id, r := range c.releases {
		if r.isDue(now) {
			c.writeRelease(id, r)
		} else {
			c.resendAt = now + unknownCallInterval
		}
	}
}

// resendReleases sends the releases that were not due when the connection was opened.
func (c *Conn) resendReleases(now time.Duration) {
	if c.conn == nil || c.resendAt == 0 || now < c.resendAt {
		return
	}
	c.resendAt = 0
	for id, r := range c.releases {
		if r.isUnknownCall && r.isDue(now) {
			c.writeRelease(id, r)
		}
	}
}

// PendingReleases returns the number of releases that the exchange has not confirmed.
func (c *Conn) PendingReleases() int {
	return len(c.releases) + c.unknownReleases.unconfirmed(&c.set.unknownReleases)
}

// release releases a call at the exchange, now if it is connected and otherwise on the next connection.
func (c *Conn) release(id string, r pendingRelease) {
	r.requestedAt = c.set.loop.Now()
	c.releases[id] = r
	if c.conn != nil {
		c.writeRelease(id, r)
	}
}

// confirmRelease records that the exchange has ended a call, or that a release of it would end a later attempt.
func (c *Conn) confirmRelease(id string) {
	c.releases.remove(id)
	c.unknownReleases.confirm(&c.set.unknownReleases, id)
}

func (c *Conn) writeRelease(id string, r pendingRelease) {
	if _, isStored := c.releases[id]; isStored {
		r.sentAt = c.set.loop.Now()
		c.releases[id] = r
	}
	c.write(func(b []byte) []byte {
		return c.protocol.appendRelease(b, id, r.attempt, r.cause)
	})
}
