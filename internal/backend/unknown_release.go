package backend

import "time"

const (
	// maxUnknownReleasesShift limits the releases in the log to 1<<maxUnknownReleasesShift per MB of memory.
	maxUnknownReleasesShift = 8
	// maxReleasesPerTick limits the releases of unknown calls that an exchange receives in a tick, so that those which
	// it has missed reach it at the pace of new ones.
	maxReleasesPerTick = 40
)

// An unknownRelease is the release of a call that this process does not know. Any exchange may hold the call.
type unknownRelease struct {
	id          string
	cause       int
	requestedAt time.Duration
}

// An unknownReleaseLog holds the latest releases of unknown calls for all exchanges, numbered in the order of their
// requests. An exchange that is disconnected, or is added later, works through it when it is connected. Once the log is
// full, a new release overwrites the oldest.
type unknownReleaseLog struct {
	entries    []unknownRelease // release n is at index n % maxEntries
	next       uint64           // number of the next release
	numbers    map[string]uint64
	maxEntries uint64
}

func newUnknownReleaseLog(maxEntries int) unknownReleaseLog {
	return unknownReleaseLog{numbers: make(map[string]uint64), maxEntries: uint64(max(maxEntries, 1))}
}

// first returns the number of the oldest release.
func (l *unknownReleaseLog) first() uint64 { return l.next - uint64(len(l.entries)) }

// at returns the release with a number from first to next-1.
func (l *unknownReleaseLog) at(n uint64) *unknownRelease { return &l.entries[n%l.maxEntries] }

func (l *unknownReleaseLog) add(r unknownRelease) {
	if uint64(len(l.entries)) < l.maxEntries {
		l.entries = append(l.entries, r)
	} else {
		oldest := l.at(l.next)
		if l.numbers[oldest.id] == l.first() {
			delete(l.numbers, oldest.id)
		}
		*oldest = r
	}
	l.numbers[r.id] = l.next
	l.next++
}

// An unknownReleaseCursor is the progress of one exchange through an unknownReleaseLog. Exchanges need not confirm
// releases, so those that were sent confirmationTimeout ago on the current connection count as confirmed.
type unknownReleaseCursor struct {
	next       uint64          // number of the next release to send
	settled    uint64          // earlier releases count as confirmed
	confirmed  map[uint64]bool // confirmed releases from settled on
	checkpoint uint64          // value of next at checkpointAt
	// checkpointAt is confirmationTimeout before checkpoint becomes settled, unless the connection is lost.
	checkpointAt time.Duration
	rewoundAt    time.Duration // when next was last set back
	rewindAt     time.Duration // when to set it back for the current connection; 0 if it was
}

// confirm records that the exchange has ended a call, or that the release must not be sent any more.
func (u *unknownReleaseCursor) confirm(l *unknownReleaseLog, id string) {
	n, ok := l.numbers[id]
	if !ok || n < u.settled {
		return
	}
	if u.confirmed == nil {
		u.confirmed = make(map[uint64]bool)
	}
	u.confirmed[n] = true
	for u.confirmed[u.settled] {
		delete(u.confirmed, u.settled)
		u.settled++
	}
}

// take returns the next release that the exchange has not confirmed, or nil if there is none.
func (u *unknownReleaseCursor) take(l *unknownReleaseLog) *unknownRelease {
	u.skipOverwritten(l)
	for u.next < l.next {
		n := u.next
		u.next++
		if !u.confirmed[n] {
			return l.at(n)
		}
	}
	return nil
}

// skipOverwritten advances the cursor to the oldest release of the log.
func (u *unknownReleaseCursor) skipOverwritten(l *unknownReleaseLog) {
	u.settle(l.first())
	u.next = max(u.next, u.settled)
}

// settle makes the releases before number n count as confirmed.
func (u *unknownReleaseCursor) settle(n uint64) {
	for u.settled < n {
		if len(u.confirmed) == 0 {
			u.settled = n
			return
		}
		delete(u.confirmed, u.settled)
		u.settled++
	}
}

// expire settles the releases that were sent confirmationTimeout ago on the connection.
func (u *unknownReleaseCursor) expire(now time.Duration) {
	if now-u.checkpointAt < confirmationTimeout {
		return
	}
	u.settle(u.checkpoint)
	u.checkpoint = u.next
	u.checkpointAt = now
}

// scheduleRewind makes the cursor send unconfirmed releases again on a new connection. An exchange that hangs is
// redialled repeatedly, so this is done at most once per unknownCallInterval.
func (u *unknownReleaseCursor) scheduleRewind(now time.Duration) {
	u.checkpoint = u.settled
	u.checkpointAt = now
	u.rewindAt = now
	if u.rewoundAt > 0 {
		u.rewindAt = max(now, u.rewoundAt+unknownCallInterval)
	}
}

// rewind sets the cursor back if that is due.
func (u *unknownReleaseCursor) rewind(now time.Duration) {
	if u.rewindAt == 0 || now < u.rewindAt {
		return
	}
	u.rewindAt = 0
	u.rewoundAt = now
	u.next = u.settled
}

// unconfirmed returns the number of releases in the log that the exchange has not confirmed.
func (u *unknownReleaseCursor) unconfirmed(l *unknownReleaseLog) int {
	u.skipOverwritten(l)
	return int(l.next-u.settled) - len(u.confirmed)
}

// hasUnsent reports whether there are releases that were not sent on the connection.
func (u *unknownReleaseCursor) hasUnsent(l *unknownReleaseLog) bool { return u.next < l.next }

// sendUnknownReleases sends up to limit releases of unknown calls. A process of the exchange that started after the
// request cannot hold the call.
func (c *Conn) sendUnknownReleases(limit int) {
	log := &c.set.unknownReleases
	for c.conn != nil && limit > 0 {
		r := c.unknownReleases.take(log)
		if r == nil {
			return
		}
		if r.requestedAt < c.StartedAt {
			c.unknownReleases.confirm(log, r.id)
			continue
		}
		c.write(func(b []byte) []byte { return c.protocol.appendRelease(b, r.id, anyAttempt, r.cause) })
		limit--
	}
}

// tickUnknownReleases sends the releases that the exchange has missed.
func (c *Conn) tickUnknownReleases(now time.Duration) {
	if c.conn == nil {
		return
	}
	c.unknownReleases.rewind(now)
	c.sendUnknownReleases(maxReleasesPerTick)
	c.unknownReleases.expire(now)
}
