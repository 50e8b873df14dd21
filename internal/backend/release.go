package backend

import "time"

const (
	// confirmationTimeout is the time after which an unconfirmed release is dropped. Exchanges need not confirm.
	confirmationTimeout = 32 * time.Second
	// minConnectedTime is how long the connection must have lasted after the release was sent on it.
	minConnectedTime = 2 * time.Second
	// unknownCallInterval is the minimum time between two sends of the release of a call that may not be established.
	// An exchange that hangs is redialled repeatedly, and must not receive all of these releases on every connection.
	unknownCallInterval = 2 * time.Second
	// anyAttempt is the attempt of a release whose attempt is not known: the call was set up by an earlier process.
	anyAttempt = -1
)

// A releaseKey identifies what a release ends: an attempt or, if the protocol does not name attempts, a call.
type releaseKey struct {
	id      string // of the call
	attempt int    // 0 if the protocol does not name attempts
}

// A pendingRelease is a release that the exchange has not confirmed. It is resent on each new connection.
type pendingRelease struct {
	attempt, cause int
	requestedAt    time.Duration
	sentAt         time.Duration // of the latest send; 0 if not sent yet
	isUnknownCall  bool          // not known to be established
}

// pendingReleases holds the unconfirmed releases of one exchange. While the exchange is disconnected, each takes the
// place of a call, whose number is limited by the call manager (call.Limits).
type pendingReleases map[releaseKey]pendingRelease

// expire drops the releases that were not confirmed within confirmationTimeout, if they have been sent on the current
// connection, opened at connectedAt, for long enough. While the exchange is disconnected they are kept, because it may
// keep the calls through an outage of any length.
func (p pendingReleases) expire(now, connectedAt time.Duration) {
	for key, r := range p {
		isRead := r.sentAt >= connectedAt && now-r.sentAt > minConnectedTime
		if isRead && now-r.requestedAt > confirmationTimeout {
			delete(p, key)
		}
	}
}

// removeBefore removes the releases that were requested before the given time.
func (p pendingReleases) removeBefore(before time.Duration) {
	for key, r := range p {
		if r.requestedAt < before {
			delete(p, key)
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
	for key, r := range c.releases {
		if r.isDue(now) {
			c.writeRelease(key, r)
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
	for key, r := range c.releases {
		if r.isUnknownCall && r.isDue(now) {
			c.writeRelease(key, r)
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
	key := c.protocol.releaseKey(id, r.attempt)
	c.releases[key] = r
	if c.conn != nil {
		c.writeRelease(key, r)
	}
}

// releaseEarlierAttempts prepares a further attempt of a call: releases of earlier ones that were not sent on this
// connection are sent now, so that the exchange never holds two attempts of a call. A release that would end the new
// attempt as well is not sent again.
func (c *Conn) releaseEarlierAttempts(id string, attempt int) {
	for n := range attempt {
		key := c.protocol.releaseKey(id, n)
		r, isPending := c.releases[key]
		if isPending && (r.sentAt == 0 || r.sentAt < c.connectedAt) {
			c.writeRelease(key, r)
		}
	}
	delete(c.releases, c.protocol.releaseKey(id, attempt))
	c.unknownReleases.confirm(&c.set.unknownReleases, id)
}

// confirmRelease records that the exchange has ended an attempt. If all attempts of the call have ended, hasEnded is
// set.
func (c *Conn) confirmRelease(id string, attempt int, hasEnded bool) {
	delete(c.releases, c.protocol.releaseKey(id, attempt))
	if hasEnded {
		c.unknownReleases.confirm(&c.set.unknownReleases, id)
	}
}

func (c *Conn) writeRelease(key releaseKey, r pendingRelease) {
	r.sentAt = c.set.loop.Now()
	c.releases[key] = r
	c.write(func(b []byte) []byte {
		return c.protocol.appendRelease(b, key.id, r.attempt, r.cause)
	})
}
