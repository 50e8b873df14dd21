package backend

import (
	"errors"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/config"
	"olivedale/internal/eventloop"
	"olivedale/internal/reachability"
)

// A Conn is the connection to one exchange: it carries all calls there. It survives the loss of its socket, is dialled
// again, and keeps what waits for that. It is keyed by the exchange's id, because a successor may have the same
// address.
type Conn struct {
	// Stats count the calls to this exchange.
	Stats Stats
	// StartedAt is when the exchange's process started, in Unix time; 0: not known.
	StartedAt time.Duration

	set          *Set
	id           string
	address      string
	pool         int
	protocol     protocol
	conn         *eventloop.Conn // nil while disconnected
	input        input           // of conn
	dialing      dialState
	isDraining   bool
	isRemoved    bool
	queue        []call.Setup   // set-ups that are not written
	openAttempts map[string]int // set-ups that are written and not answered: the attempt by the call's id
	releases     pendingReleases
	resendAt     time.Duration // when to send releases again that were not due on this connection, 0: there are none
	reach        reachability.Detector
	probes       []*Probe // those that are dialled or open
	activity     activity

	disconnectLoggedAt time.Duration // 0: never
}

// Stats are counts of one exchange, as an audit shows them.
type Stats struct {
	Attempts    int
	Established int
	Dropped     int
	// RateLimit is the limit of set-ups a second that the admission control holds; 0: none.
	RateLimit float64
}

func (s *Set) newConn(id, address string, pool int) *Conn {
	return &Conn{
		set:          s,
		id:           id,
		address:      address,
		pool:         pool,
		openAttempts: make(map[string]int),
		releases:     newPendingReleases(s.memoryMB << maxReleasesShift),
	}
}

// ID returns the exchange's id.
func (c *Conn) ID() string { return c.id }

// Pool returns the pool that the exchange is in.
func (c *Conn) Pool() int { return c.pool }

// IsConnected reports whether the exchange is connected.
func (c *Conn) IsConnected() bool { return c.conn != nil }

// IsDraining reports whether the exchange takes no new calls.
func (c *Conn) IsDraining() bool { return c.isDraining }

// Connection returns the current connection; nil while the exchange is not connected.
func (c *Conn) Connection() *eventloop.Conn { return c.conn }

// RememberedCalls returns the number of calls that the protocol keeps state of.
func (c *Conn) RememberedCalls() int { return c.protocol.rememberedCalls() }

// write appends to the output of the current connection; without one it does nothing.
func (c *Conn) write(write func([]byte) []byte) {
	if c.conn != nil {
		c.set.loop.Write(c.conn, write)
	}
}

// owns reports whether a socket is the current connection's.
func (c *Conn) owns(socket gnet.Conn) bool { return c.conn != nil && c.conn.Socket() == socket }

// HandleSocketData handles what a socket has received, if it is the current connection's.
func (c *Conn) HandleSocketData(socket gnet.Conn, data []byte) {
	if c.owns(socket) {
		c.HandleData(data)
	}
}

// HandleData handles data from the exchange, if that is connected.
func (c *Conn) HandleData(data []byte) {
	conn := c.conn
	if conn == nil {
		return
	}
	c.recordSign()
	complete, err := c.input.handleData(data)
	if err != nil {
		c.set.reportMalformed("exchange "+c.id, err)
		c.Disconnect(call.Malformed)
		return
	}
	now := c.set.loop.Now()
	c.activity.recordInput(now, len(c.openAttempts))
	conn.RecordInput(now, complete, c.input.hasPartialMessage())
}

// HandleClose handles the end of a socket, if it is the current connection's. The answers that the exchange gave before
// a failed write count: an established call is not lost.
func (c *Conn) HandleClose(socket gnet.Conn, err error) {
	if !c.owns(socket) {
		return
	}
	conn := c.conn
	if eventloop.IsFailedWrite(err) {
		eventloop.DrainReadBuffer(socket, func(data []byte) { c.HandleSocketData(socket, data) })
	}
	conn.MarkClosed()
	if c.conn == conn {
		c.Disconnect(disconnectReason(err))
	}
}

// disconnectReason returns how attempts end on a connection that was closed with an error of gnet.
func disconnectReason(err error) call.AttemptEnd {
	switch {
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return call.ConnectionReset
	case err == nil, errors.Is(err, io.EOF):
		return call.ConnectionClosed
	}
	return call.ConnectionReset
}

// Disconnect closes the connection, ends the attempts that are open on it and dials again.
func (c *Conn) Disconnect(reason call.AttemptEnd) {
	if c.conn == nil {
		return
	}
	c.set.Counters.ConnectionsLost++
	c.logDisconnect(reason)
	c.set.loop.Close(c.conn)
	c.conn = nil
	c.dialing.lostConnection = true
	c.releaseUnsettledAttempts()
	c.failOpenAttempts(reason)
	c.Dial()
}

// closeSockets closes the connection and the probes.
func (c *Conn) closeSockets() {
	for _, p := range slices.Clone(c.probes) {
		if p.socket != nil {
			c.set.loop.CloseSocket(p.socket.Socket())
		}
	}
	if c.conn != nil {
		c.set.loop.CloseSocket(c.conn.Socket())
	}
}

// Drain stops sending set-ups, also those that are queued; established calls go on.
func (c *Conn) Drain() {
	c.isDraining = true
	c.failQueue(call.NotSent)
}

// remove ends everything at an exchange that is off the discovery service's list.
func (c *Conn) remove() {
	c.isRemoved = true
	c.failQueue(call.NotSent)
	c.loseCalls(lossRemoved) // releases go out before the connection is closed
	c.closeProbes()
	if c.conn != nil {
		c.set.loop.Close(c.conn)
		c.conn = nil
	}
	c.failOpenAttempts(call.BackendLost)
}

// update applies an endpoint update of a known exchange.
func (c *Conn) update(e config.Endpoint) {
	if c.address != e.Address {
		c.Move(e.Address)
	}
	c.isDraining = e.Phase == config.PhaseTerminating
	if c.isDraining {
		c.Drain()
	}
	c.StartedAt = startTime(e)
	if e.Started > 0 { // a process that started since has none of the calls
		c.dropCalls(lossRestarted, c.StartedAt)
	}
}

// applyServerState applies what the exchange itself says of its state. From then on nothing is sent to one that drains
// or is out of service.
func (c *Conn) applyServerState(state admission.ServerState) {
	c.set.setServerState(c, state)
	switch state {
	case admission.Draining:
		c.Drain()
	case admission.Removed:
		c.Drain()
		c.failOpenAttempts(call.BackendLost)
		c.dropCalls(lossOutOfService, c.set.loop.Now()+1)
	default:
		c.isDraining = false
		c.dropCalls(lossReset, c.set.loop.Now())
	}
}

// hasPendingWork reports whether the exchange waits for something that this process alone can send, or whether callers
// may have to be notified of the loss of its calls.
func (c *Conn) hasPendingWork() bool {
	if c.conn == nil && c.releases.len() > 0 {
		return true
	}
	return c.isSuspect() || c.conn != nil && c.conn.HasUnreadOutput()
}

// Tick dials when that is due and drops what has expired.
func (c *Conn) Tick(now time.Duration) {
	if c.dialing.isDue(now) && c.conn == nil {
		c.Dial()
	}
	c.releases.expire(now, c.IsConnected())
	c.resendReleases(now)
	c.protocol.expire(now)
	c.checkReachability(now)
}

// releaseOrigin returns the id of the exchange that a release comes from: the one where the call is established, if
// that is at this connection's address. An exchange may have taken over another's address and speak on a connection
// that was made for that one.
func (c *Conn) releaseOrigin(callID string) string {
	server := c.set.calls.BackendOf(callID)
	other := c.set.conns[server]
	if other != nil && other.address == c.address {
		return server
	}
	return c.id
}
