package call

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxUnknownReleasesPerSecond limits the callers' releases of unknown calls that are forwarded to the backends.
	// After a restart of this process during an outage, all of its calls may be released at once.
	maxUnknownReleasesPerSecond = 256
	// maxReleaseDelay is how long a release may wait for its turn. The platform allows a release 8 s.
	maxReleaseDelay = 8 * time.Second
	// maxQueuedReleases bounds the queue so that the releases of a single source, which may use half of it, wait for at
	// most maxReleaseDelay.
	maxQueuedReleases = 2 * maxUnknownReleasesPerSecond * int(maxReleaseDelay/time.Second)
	// releaseInterval is the interval at which queued releases are forwarded.
	releaseInterval = 20 * time.Millisecond
)

// A ReleaseSource releases calls on behalf of callers: a connection, or a gateway. Sources are compared with ==.
type ReleaseSource interface {
	// ReleaseForwarded reports that a release that was queued has been sent to the backends.
	ReleaseForwarded(id string)
}

// An UnconfirmedSource is a ReleaseSource that needs no confirmation, by its name.
type UnconfirmedSource string

// ReleaseForwarded implements ReleaseSource and does nothing.
func (UnconfirmedSource) ReleaseForwarded(string) {}

// ReleaseUnknown forwards a caller's release of a call that is neither open nor established, to all backends. The call
// may have been established before a restart. So that callers that send invented ids cannot overload the backends, at
// most maxUnknownReleasesPerSecond are forwarded; the others are queued, and the sources take turns.
func (m *Manager) ReleaseUnknown(source ReleaseSource, id string, cause int) ReleaseResult {
	u := &m.unknownReleases
	switch {
	case m.isCompleted(id):
		return ReleaseRepeated
	case u.queue.contains(id):
		return ReleaseQueued
	case u.queue.length == 0 && u.allow(m.now()):
		m.forwardUnknownRelease(id, cause)
		return ReleaseForwarded
	case u.queue.add(source, queuedRelease{id: id, cause: cause}):
		u.scheduleForwarding(m.now())
		return ReleaseQueued
	}
	m.UnknownReleasesRefused++
	m.notifyLimit(LimitUnknownRelease, id)
	return ReleaseRefused
}

// DiscardReleases drops the queued releases of a source. The source must be told that they have no effect, for example
// by the close of its connection.
func (m *Manager) DiscardReleases(source ReleaseSource) {
	m.UnknownReleasesRefused += m.unknownReleases.queue.removeSource(source)
}

// QueuedReleases returns the number of releases of unknown calls that wait to be forwarded.
func (m *Manager) QueuedReleases() int { return m.unknownReleases.queue.length }

// forwardUnknownRelease sends the release of an unknown call to all backends and keeps its id.
func (m *Manager) forwardUnknownRelease(id string, cause int) {
	m.recordUnknownRelease(id)
	m.backends.ReleaseEverywhere(id, cause)
}

// forwardQueuedReleases forwards as many queued releases as the rate limit allows.
func (m *Manager) forwardQueuedReleases(now Time) {
	u := &m.unknownReleases
	if u.queue.length == 0 || now < u.forwardAt {
		return
	}
	u.scheduleForwarding(now)
	for u.queue.length > 0 && u.allow(now) {
		source, r := u.queue.next()
		if !m.isCompleted(r.id) {
			m.forwardUnknownRelease(r.id, r.cause)
		}
		source.ReleaseForwarded(r.id)
	}
}

// recordUnknownRelease counts the release of an unknown call and keeps its id.
func (m *Manager) recordUnknownRelease(id string) {
	m.ReleasedUnknown++
	m.unknownReleases.ids.add(id, m.now()+completedCallRetention)
}

// unknownReleases holds the releases of calls that this process does not know.
type unknownReleases struct {
	ids       *expiringIDs // forwarded to the backends, or received from them
	limiter   *rate.Limiter
	queue     releaseQueue // releases by callers that wait for the limiter
	forwardAt Time         // when queued releases are forwarded next
}

func newUnknownReleases(maxIDs int) unknownReleases {
	return unknownReleases{
		ids:     newExpiringIDs(maxIDs),
		limiter: rate.NewLimiter(maxUnknownReleasesPerSecond, maxUnknownReleasesPerSecond),
	}
}

// allow reports whether a release may be forwarded now, and counts it.
func (u *unknownReleases) allow(now Time) bool { return u.limiter.AllowN(time.Unix(0, int64(now)), 1) }

func (u *unknownReleases) scheduleForwarding(now Time) {
	if u.forwardAt <= now {
		u.forwardAt = now + releaseInterval
	}
}

// isReleased reports whether the release of an unknown call was received lately, from either side.
func (u *unknownReleases) isReleased(id string) bool {
	return u.ids.contains(id) || u.queue.contains(id)
}

// A queuedRelease is a caller's release of an unknown call that waits to be forwarded.
type queuedRelease struct {
	id    string
	cause int
}

// A releaseQueue holds the releases of several sources, which take turns. The zero value is an empty queue.
//
// It is bounded by maxQueuedReleases. A source may use as much room as it leaves free (dynamic threshold, Choudhury and
// Hahne 1998), so a source that floods the queue leaves room for the others.
type releaseQueue struct {
	bySource map[ReleaseSource][]queuedRelease
	turns    []ReleaseSource // sources with releases, in the order of their turns
	ids      map[string]bool
	length   int
}

func (q *releaseQueue) contains(id string) bool { return q.ids[id] }

// add appends a release and reports whether its source may use more room.
func (q *releaseQueue) add(source ReleaseSource, r queuedRelease) bool {
	queued := q.bySource[source]
	if len(queued) >= maxQueuedReleases-q.length {
		return false
	}
	if q.length == 0 {
		q.bySource = make(map[ReleaseSource][]queuedRelease)
		q.ids = make(map[string]bool)
	}
	if len(queued) == 0 {
		q.turns = append(q.turns, source)
	}
	q.bySource[source] = append(queued, r)
	q.ids[r.id] = true
	q.length++
	return true
}

// next removes and returns the oldest release of the source whose turn it is. The queue must not be empty.
func (q *releaseQueue) next() (ReleaseSource, queuedRelease) {
	source := q.turns[0]
	q.turns = q.turns[1:]
	queued := q.bySource[source]
	r := queued[0]
	if len(queued) > 1 {
		q.bySource[source] = queued[1:]
		q.turns = append(q.turns, source)
	} else {
		delete(q.bySource, source)
	}
	delete(q.ids, r.id)
	q.length--
	return source, r
}

// removeSource removes the releases of a source and returns their number.
func (q *releaseQueue) removeSource(source ReleaseSource) int {
	queued := q.bySource[source]
	if len(queued) == 0 {
		return 0
	}
	for _, r := range queued {
		delete(q.ids, r.id)
	}
	delete(q.bySource, source)
	q.turns = slices.DeleteFunc(q.turns, func(s ReleaseSource) bool { return s == source })
	q.length -= len(queued)
	return len(queued)
}
