// Package jsonclient is the frontend of the platform's own protocol of JSON lines: it accepts callers' connections,
// passes their set-ups and releases to the manager of calls and writes the answers. It never decides on a call.
package jsonclient

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/call"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/eventloop"
	"olivedale/internal/frontend"
)

const (
	// confirmationTimeout: a release on a connection that closes within this time is sent again on another.
	confirmationTimeout = time.Second
	// maxReleaseAge is when a release that no connection could take is dropped.
	maxReleaseAge = 8 * time.Second
	// firstSetupTime is how long after a connection was opened its first set-up may be on its way.
	firstSetupTime = 50 * time.Millisecond
	// maxQueuedShift bounds the releases that wait for a connection: 1<<maxQueuedShift for each MB of memory.
	maxQueuedShift = 7
)

// A Frontend accepts callers that speak the platform's protocol.
type Frontend struct {
	host          *frontend.Host
	clients       *frontend.Registry[*Client]
	byReliability [reliabilities]eventloop.IdleList[*Client]
	queued        []release // releases that no reliable connection could take
}

var _ frontend.Frontend = (*Frontend)(nil)

// A release is the end of a call that a caller is to be notified of.
type release struct {
	id          string
	cause       int
	requestedAt time.Duration
	origin      call.Client // asked for the call; nil: not known
	sentOn      *Client     // has got it, but may not pass it on
}

// New returns a frontend of at most maxClients connections.
func New(host *frontend.Host, maxClients int) *Frontend {
	return &Frontend{host: host, clients: frontend.NewRegistry[*Client](host, maxClients)}
}

// Clients returns the open connections.
func (f *Frontend) Clients() *frontend.Registry[*Client] { return f.clients }

// QueuedReleases returns the number of releases that no reliable connection could take.
func (f *Frontend) QueuedReleases() int { return len(f.queued) }

// Accept takes a connection, if need be in place of an idle one; false: there is no room.
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
	c.reliabilityPlace = f.byReliability[c.reliability].Add(c)
	return true
}

// EvictionCandidate returns the connection to close for a new one, of those without an open set-up: one that never had
// an established call, else the one that has been idle for longest. A silent one whose first set-up may be on its way
// comes last.
func (f *Frontend) EvictionCandidate() *Client {
	now := f.host.Loop.Now()
	var idle, fresh *Client
	for c := range f.clients.Oldest() {
		switch {
		case c.HasOpenSetup() || !c.conn.IsOpen():
		case !c.conn.HasSentMessage() && c.conn.Age(now) < firstSetupTime:
			if fresh == nil {
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
func (f *Frontend) HasPendingWork() bool { return len(f.queued) > 0 || f.clients.HasUnreadOutput() }

// Connections implements frontend.Frontend.
func (f *Frontend) Connections() []frontend.Connection { return f.clients.Snapshot() }

// NotifyRelease implements call.Frontend.
func (f *Frontend) NotifyRelease(origin call.Client, id string, cause int) {
	f.sendRelease(release{id: id, cause: cause, requestedAt: f.host.Loop.Now(), origin: origin})
}

// retryReleases sends the queued releases that are not too old.
func (f *Frontend) retryReleases() {
	queued := f.queued
	f.queued = nil
	now := f.host.Loop.Now()
	for _, r := range queued {
		if now-r.requestedAt < maxReleaseAge {
			f.sendRelease(r)
		} else {
			f.host.Counters.ReleasesDiscarded++
		}
	}
}

// releaseTarget returns the connection for a release: the one that asked for the call, else the most recently used of
// the most reliable ones. Connections that test the program, or stay silent, read releases and pass them on to nobody;
// if there are no others the latest is returned, and isReliable is false.
func (f *Frontend) releaseTarget(r release) (target *Client, isReliable bool) {
	origin, ok := r.origin.(*Client)
	if ok && origin.membership.IsRegistered() && origin.conn.IsOpen() {
		return origin, true
	}
	for level := reliabilities - 1; level >= unproven; level-- {
		for c := range f.byReliability[level].Latest() {
			if c.conn.IsOpen() {
				return c, level > unproven
			}
		}
	}
	return nil, false
}

// sendRelease writes a release. One that no reliable connection could take is sent again on the next that turns out to
// be reliable.
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
	if len(f.queued) >= f.host.Config.MemoryMB<<maxQueuedShift {
		f.queued = f.queued[1:] // bounds the memory where exchanges release calls and no caller is there
		f.host.Counters.ReleasesDiscarded++
	}
	f.queued = append(f.queued, r)
}
