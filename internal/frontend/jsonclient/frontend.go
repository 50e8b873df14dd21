// Package jsonclient implements the frontend for the JSON-lines protocol of the platform. It accepts connections from
// callers, passes their set-ups and releases to the call manager and writes the answers. It makes no decisions about
// calls.
package jsonclient

import (
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/call"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/eventloop"
	"olivedale/internal/frontend"
)

const (
	// confirmationTimeout is the age up to which an unconfirmed release is resent on another connection when its
	// connection closes.
	confirmationTimeout = time.Second
	// maxReleaseAge is the age at which a release that could not be sent to a reliable connection is dropped.
	maxReleaseAge = 8 * time.Second
	// maxUnknownReleasesShift limits the queued releases of unknown calls to 1<<maxUnknownReleasesShift per MB.
	// Exchanges may send them while no caller is connected.
	maxUnknownReleasesShift = 7
	// firstSetupGracePeriod is how long after a connection was opened its first set-up may still be in transit.
	firstSetupGracePeriod = 50 * time.Millisecond
)

// A Frontend accepts connections from callers that speak JSON lines.
type Frontend struct {
	host          *frontend.Host
	clients       *frontend.Registry[*Client]
	byReliability [reliabilityLevels]eventloop.IdleList[*Client]
	queued        []release // releases of known calls for which there was no reliable connection
	queuedUnknown []release // the same for calls that this process does not know
}

var _ frontend.Frontend = (*Frontend)(nil)

// A release is a notification to the caller that a call has ended.
type release struct {
	id          string
	cause       int
	requestedAt time.Duration
	origin      call.Client // connection that requested the call; nil if not known
	sentOn      *Client     // connection that it was last sent on; nil if not sent
}

// New returns a frontend that accepts at most maxClients connections.
func New(host *frontend.Host, maxClients int) *Frontend {
	return &Frontend{host: host, clients: frontend.NewRegistry[*Client](host, maxClients)}
}

// Clients returns the open connections.
func (f *Frontend) Clients() *frontend.Registry[*Client] { return f.clients }

// PendingReleases implements frontend.Frontend. It returns the number of releases of known calls that wait for a
// reliable connection.
func (f *Frontend) PendingReleases() int { return len(f.queued) }

// QueuedReleases returns the number of releases that wait for a reliable connection.
func (f *Frontend) QueuedReleases() int { return len(f.queued) + len(f.queuedUnknown) }

// Accept accepts a connection, closing an idle one if the limit is reached. It returns false if there is no room.
func (f *Frontend) Accept(socket gnet.Conn) bool {
	if f.clients.IsFull() {
		idle := f.EvictionCandidate()
		if idle == nil {
			f.host.Counters.RejectedFull++
			return false
		}
		f.host.Counters.ClosedIdle++
		f.host.Loop.Close(idle.conn)
	}
	f.host.Counters.Accepted++
	c := &Client{
		frontend:   f,
		conn:       eventloop.NewConn(socket, f.host.Loop.Now()),
		openSetups: make(map[string]bool),
	}
	c.conn.LimitUnreadOutput(true)
	socket.SetContext(c)
	f.clients.Add(c, &c.membership)
	c.reliabilityElement = f.byReliability[c.reliability].Add(c)
	return true
}

// EvictionCandidate returns the connection to close to make room for a new one, or nil if there is none. Only
// connections without an open set-up are considered: preferably one that never had an established call, otherwise the
// least recently used. A new connection whose first set-up may still be in transit is the last choice. A connection
// with data in its socket is read and not selected.
func (f *Frontend) EvictionCandidate() *Client {
	now := f.host.Loop.Now()
	var idle, fresh *Client
	for c := range f.clients.Oldest() {
		switch {
		case c.HasOpenSetup() || !c.conn.IsOpen():
		case !c.conn.HasSentMessage() && c.conn.Age(now) < firstSetupGracePeriod:
			if fresh == nil && !c.conn.ReadPending(c.HandleData) {
				fresh = c
			}
		case c.conn.ReadPending(c.HandleData):
		case !c.hasEstablishedCall:
			return c
		case idle == nil:
			idle = c
		}
	}
	if idle == nil {
		return fresh
	}
	return idle
}

// CloseOverdue implements frontend.Frontend.
func (f *Frontend) CloseOverdue(now time.Duration) {
	f.clients.CloseOverdue(now)
	f.retryReleases()
}

// HasPendingWork implements frontend.Frontend.
func (f *Frontend) HasPendingWork() bool {
	return f.QueuedReleases() > 0 || f.clients.HasUnreadOutput()
}

// Connections implements frontend.Frontend.
func (f *Frontend) Connections() []frontend.Connection { return f.clients.Snapshot() }

// NotifyRelease implements call.Frontend.
func (f *Frontend) NotifyRelease(origin call.Client, id string, cause int) {
	f.sendRelease(release{id: id, cause: cause, requestedAt: f.host.Loop.Now(), origin: origin})
}

// retryReleases retries the queued releases and drops those older than maxReleaseAge.
func (f *Frontend) retryReleases() {
	queued := slices.Concat(f.queued, f.queuedUnknown)
	f.queued, f.queuedUnknown = nil, nil
	now := f.host.Loop.Now()
	for _, r := range queued {
		if now-r.requestedAt < maxReleaseAge {
			f.sendRelease(r)
		} else {
			f.host.Counters.ReleasesDiscarded++
		}
	}
}

// releaseTarget returns the connection on which to send a release: the one that requested the call if it is open,
// otherwise the most recently used of the most reliable ones. Health checks and silent connections read releases
// without acting on them; if there are only such connections, the most recently used one is returned with isReliable
// false.
func (f *Frontend) releaseTarget(r release) (target *Client, isReliable bool) {
	origin, ok := r.origin.(*Client)
	if ok && origin.membership.IsRegistered() && origin.conn.IsOpen() {
		return origin, true
	}
	for level := reliabilityLevels - 1; level >= unproven; level-- {
		for c := range f.byReliability[level].Latest() {
			if c.conn.IsOpen() {
				return c, level > unproven
			}
		}
	}
	return nil, false
}

// sendRelease sends a release. If there is no reliable connection, the release is also queued, and sent again once a
// connection has proven reliable.
func (f *Frontend) sendRelease(r release) {
	target, isReliable := f.releaseTarget(r)
	isUnsent := r.sentOn == nil || !r.sentOn.conn.IsOpen()
	if target != nil && (isReliable || isUnsent) {
		r.sentOn = target
		f.host.Counters.ReleasesSent++
		target.write(&jsonl.Message{Verb: jsonl.Finish, Tag: r.id, ResultCode: r.cause, HasResultCode: true})
	}
	if isReliable {
		target.addUnconfirmed(r)
		return
	}
	if r.origin != nil {
		f.enqueue(&f.queued, r, frontend.MaxPendingReleasesShift)
	} else {
		f.enqueue(&f.queuedUnknown, r, maxUnknownReleasesShift)
	}
}

// enqueue appends a release to a queue of at most 1<<maxShift releases per MB of memory. If the queue is full, the
// oldest release is dropped.
func (f *Frontend) enqueue(queue *[]release, r release, maxShift int) {
	if len(*queue) >= f.host.Config.MemoryMB<<maxShift {
		*queue = (*queue)[1:]
		f.host.Counters.ReleasesDiscarded++
	}
	*queue = append(*queue, r)
}
