package backend

import "time"

const (
	// confirmationTimeout is when a release that is not confirmed is dropped.
	confirmationTimeout = 32 * time.Second
	// unknownCallInterval is the least time between two sends of the release of a call that may not stand: an exchange
	// that hangs is dialled again and again, and must not find all of them on each connection.
	unknownCallInterval = 2 * time.Second
	// maxReleasesShift bounds the releases that wait for one exchange: 1<<maxReleasesShift for each MB of memory.
	maxReleasesShift = 5
)

// A pendingRelease is a release that the exchange has not confirmed. It is sent again on each new connection.
type pendingRelease struct {
	attempt, cause int
	requestedAt    time.Duration
	sentAt         time.Duration // of the latest send; 0: it was not sent
	isUnknownCall  bool          // nothing here says that the call is established: it gives way to others
}

// pendingReleases are the releases that one exchange has not confirmed, by the call's id.
type pendingReleases struct {
	byID map[string]pendingRelease
	max  int
}

func newPendingReleases(maxReleases int) pendingReleases {
	return pendingReleases{byID: make(map[string]pendingRelease), max: maxReleases}
}

func (p *pendingReleases) len() int { return len(p.byID) }

func (p *pendingReleases) remove(id string) { delete(p.byID, id) }

// add remembers a release and reports whether there was room. Releases of unknown calls give way to those of calls
// that were established here, since callers may make up ids while an exchange is away.
func (p *pendingReleases) add(id string, r pendingRelease) bool {
	if len(p.byID) >= p.max && (r.isUnknownCall || !p.evictUnknownCall()) {
		return false
	}
	p.byID[id] = r
	return true
}

// evictUnknownCall drops the release of one unknown call; false: there is none.
func (p *pendingReleases) evictUnknownCall() bool {
	for id, r := range p.byID {
		if r.isUnknownCall {
			delete(p.byID, id)
			return true
		}
	}
	return false
}

// expire drops the releases that were not confirmed in time. Those of calls that were established wait for as long as
// the exchange is not connected: it may keep the calls through an outage of any length.
func (p *pendingReleases) expire(now time.Duration, isConnected bool) {
	for id, r := range p.byID {
		mayExpire := isConnected || r.isUnknownCall
		if mayExpire && now-r.requestedAt > confirmationTimeout {
			delete(p.byID, id)
		}
	}
}

// isDue reports whether a release should be sent on a connection that is new now.
func (r *pendingRelease) isDue(now time.Duration) bool {
	return !r.isUnknownCall || r.sentAt == 0 || now-r.sentAt >= unknownCallInterval
}

// sendReleases sends the releases that are not confirmed on a new connection. Those that are not due yet wait for
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

// resendReleases sends the releases that were not due when the connection came up.
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

// release ends a call at the exchange.
func (c *Conn) release(id string, r pendingRelease) {
	r.requestedAt = c.set.loop.Now()
	isKept := c.releases.add(id, r)
	switch {
	case c.conn != nil:
		c.writeRelease(id, r)
	case !isKept && !r.isUnknownCall:
		c.set.Counters.ReleasesDiscarded++
	}
}

func (c *Conn) writeRelease(id string, r pendingRelease) {
	if _, isKept := c.releases.byID[id]; isKept {
		r.sentAt = c.set.loop.Now()
		c.releases.byID[id] = r
	}
	c.write(func(b []byte) []byte {
		return c.protocol.appendRelease(b, id, r.attempt, r.cause)
	})
}
