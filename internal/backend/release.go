package backend

import "time"

const (
	// confirmationTimeout is the time after which an unconfirmed release is dropped.
	confirmationTimeout = 32 * time.Second
	// unknownCallInterval is the minimum time between two sends of the release of a call that may not be established.
	// An exchange that hangs is redialled repeatedly, and must not receive all of these releases on every connection.
	unknownCallInterval = 2 * time.Second
	// maxReleasesShift limits the pending releases of one exchange to 1<<maxReleasesShift per MB of memory.
	maxReleasesShift = 5
	// anyAttempt is the attempt of a release whose attempt is not known: the call was set up by an earlier process.
	anyAttempt = -1
)

// A pendingRelease is a release that the exchange has not confirmed. It is resent on each new connection.
type pendingRelease struct {
	attempt, cause int
	requestedAt    time.Duration
	sentAt         time.Duration // of the latest send; 0 if not sent yet
	isUnknownCall  bool          // not known to be established; evicted first when the table is full
}

// pendingReleases holds the unconfirmed releases of one exchange by call id.
type pendingReleases struct {
	byID map[string]pendingRelease
	max  int
}

func newPendingReleases(maxReleases int) pendingReleases {
	return pendingReleases{byID: make(map[string]pendingRelease), max: maxReleases}
}

func (p *pendingReleases) len() int { return len(p.byID) }

func (p *pendingReleases) remove(id string) { delete(p.byID, id) }

// removeAttempt removes the release of an attempt that the exchange has ended.
func (p *pendingReleases) removeAttempt(id string, attempt int) {
	if r, ok := p.byID[id]; ok && (r.attempt == attempt || r.attempt == anyAttempt) {
		p.remove(id)
	}
}

// add stores a release and reports whether there was room for it. Releases of unknown calls are evicted in favour of
// those of calls established here, because callers may send made-up ids while an exchange is unreachable.
func (p *pendingReleases) add(id string, r pendingRelease) bool {
	if len(p.byID) >= p.max && (r.isUnknownCall || !p.evictUnknownCall()) {
		return false
	}
	p.byID[id] = r
	return true
}

// evictUnknownCall drops the release of one unknown call, and returns false if there is none.
func (p *pendingReleases) evictUnknownCall() bool {
	for id, r := range p.byID {
		if r.isUnknownCall {
			delete(p.byID, id)
			return true
		}
	}
	return false
}

// expire drops the releases that were not confirmed in time. Releases of established calls are kept while the exchange
// is disconnected, because it may keep those calls through an outage of any length.
func (p *pendingReleases) expire(now time.Duration, isConnected bool) {
	for id, r := range p.byID {
		mayExpire := isConnected || r.isUnknownCall
		if mayExpire && now-r.requestedAt > confirmationTimeout {
			delete(p.byID, id)
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
	for id, r := range c.releases.byID {
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
	for id, r := range c.releases.byID {
		if r.isUnknownCall && r.isDue(now) {
			c.writeRelease(id, r)
		}
	}
}

// PendingReleases returns the number of releases that the exchange has not confirmed.
func (c *Conn) PendingReleases() int { return c.releases.len() }

// release releases a call at the exchange, now if it is connected and otherwise on the next connection.
func (c *Conn) release(id string, r pendingRelease) {
	r.requestedAt = c.set.loop.Now()
	isStored := c.releases.add(id, r)
	switch {
	case c.conn != nil:
		c.writeRelease(id, r)
	case !isStored && !r.isUnknownCall:
		c.set.Counters.ReleasesDiscarded++
	}
}

func (c *Conn) writeRelease(id string, r pendingRelease) {
	if _, isStored := c.releases.byID[id]; isStored {
		r.sentAt = c.set.loop.Now()
		c.releases.byID[id] = r
	}
	c.write(func(b []byte) []byte {
		return c.protocol.appendRelease(b, id, r.attempt, r.cause)
	})
}
