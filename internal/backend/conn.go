package backend

import (
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/config"
	"olivedale/internal/eventloop"
	"olivedale/internal/reachability"
)

// A Conn is the logical connection to one exchange and carries all calls to it. It outlives its socket: after a
// disconnect it dials again and keeps pending set-ups and releases. It is keyed by the exchange's id rather than its
// address, because a successor may reuse the address.
type Conn struct {
	// Stats counts the calls to this exchange.
	Stats Stats
	// StartedAt is when the exchange's process started, in Unix time; 0 if unknown.
	StartedAt time.Duration

	set             *Set
	id              string
	address         string
	pool            int
	protocol        protocol
	conn            *eventloop.Conn // nil while disconnected
	input           inputHandler    // decodes the data received on conn
	dialing         dialState
	isConfigured    bool // listed in the operator's file and not by the discovery service
	isDraining      bool
	isRemoved       bool
	queue           []call.Setup   // set-ups that have not been written yet
	openAttempts    map[string]int // attempts that were written but not answered, by call id
	releases        pendingReleases
	unknownReleases unknownReleaseCursor
	connectedAt     time.Duration // when the current connection was opened
	resendAt        time.Duration // when to resend releases that were not due when the connection opened; 0 if none
	detector        reachability.Detector
	restart         reachability.RestartDetector
	probes          []*Probe // probes that are being dialled or are open
	activity        activity

	disconnectLoggedAt time.Duration // 0 if never
}

// Stats holds the statistics of one exchange, as reported by audits.
type Stats struct {
	Attempts    int
	Established int
	Dropped     int
	// RateLimit is the number of set-ups per second that admission control allows; 0 if unlimited.
	RateLimit float64
}

func (s *Set) newConn(id, address string, pool int) *Conn {
	return &Conn{
		set:          s,
		id:           id,
		address:      address,
		pool:         pool,
		openAttempts: make(map[string]int),
		releases:     make(pendingReleases),
	}
}

// ID returns the exchange's id.
func (c *Conn) ID() string { return c.id }

// Pool returns the pool that the exchange belongs to.
func (c *Conn) Pool() int { return c.pool }

// IsConnected reports whether the exchange is connected.
func (c *Conn) IsConnected() bool { return c.conn != nil }

// IsDraining reports whether the exchange no longer accepts new calls.
func (c *Conn) IsDraining() bool { return c.isDraining }

// Connection returns the current connection, or nil while the exchange is disconnected.
func (c *Conn) Connection() *eventloop.Conn { return c.conn }

// TrackedCalls returns the number of calls for which the protocol keeps state.
func (c *Conn) TrackedCalls() int { return c.protocol.trackedCalls() }

// write appends to the output of the current connection. It does nothing while disconnected.
func (c *Conn) write(write func([]byte) []byte) {
	if c.conn != nil {
		c.set.loop.Write(c.conn, write)
	}
}

// owns reports whether socket belongs to the current connection.
func (c *Conn) owns(socket gnet.Conn) bool { return c.conn != nil && c.conn.Socket() == socket }

// HandleSocketData handles data received on a socket, if the socket belongs to the current connection.
func (c *Conn) HandleSocketData(socket gnet.Conn, data []byte) {
	if c.owns(socket) {
		c.HandleData(data)
	}
}

// HandleData handles data from the exchange. It does nothing while disconnected.
func (c *Conn) HandleData(data []byte) {
	conn := c.conn
	if conn == nil {
		return
	}
	c.recordSignOfLife()
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

// HandleClose handles the close of a socket, if the socket belongs to the current connection. If a write failed, it
// first processes the data received before, so that answers already given by the exchange are not lost.
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
		c.Disconnect(attemptEndOfCloseError(err))
	}
}

// attemptEndOfCloseError maps the error with which gnet closed a connection to the result of its open attempts.
func attemptEndOfCloseError(err error) call.AttemptEnd {
	switch {
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return call.ConnectionReset
	case err == nil, errors.Is(err, io.EOF):
		return call.ConnectionClosed
	}
	return call.ConnectionReset
}

// Disconnect closes the connection, ends its open attempts and dials again.
func (c *Conn) Disconnect(reason call.AttemptEnd) {
	if c.conn == nil {
		return
	}
	c.set.Counters.ConnectionsLost++
	c.logDisconnect(reason)
	c.set.loop.Close(c.conn)
	c.conn = nil
	c.dialing.lostAt = c.set.loop.Now()
	c.releaseUnresolvedAttempts()
	c.failOpenAttempts(reason)
	c.Dial()
}

// closeSockets closes the sockets of the connection and of all probes immediately.
func (c *Conn) closeSockets() {
	for _, p := range c.openProbes() {
		c.set.loop.CloseSocket(p.socket.Socket())
	}
	if c.conn != nil {
		c.set.loop.CloseSocket(c.conn.Socket())
	}
}

// Drain stops sending set-ups, including queued ones. Established calls continue.
func (c *Conn) Drain() {
	c.isDraining = true
	c.failQueue(call.NotSent)
}

// remove ends all attempts and calls at an exchange that the discovery service no longer lists.
func (c *Conn) remove() {
	c.isRemoved = true
	c.failQueue(call.NotSent)
	c.endCallsOnBothSides(lossRemoved, c.set.loop.Now()+1) // flushes the releases before the connection is closed
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
		c.ChangeAddress(e.Address)
	}
	c.isDraining = e.Phase == config.PhaseTerminating
	if c.isDraining {
		c.Drain()
	}
	hasRestarted := startTime(e) > c.StartedAt
	c.StartedAt = startTime(e)
	if e.Started > 0 { // a restarted process has lost the earlier calls
		c.endCallsBefore(lossRestarted, c.StartedAt)
	}
	if hasRestarted {
		c.forgetProcessBefore(c.StartedAt)
	}
}

// forgetProcessBefore drops what concerns only a process of the exchange that ended before the given time: releases of
// its calls, and what was learned about its protocol.
func (c *Conn) forgetProcessBefore(startedAt time.Duration) {
	c.releases.removeBefore(startedAt)
	c.protocol.forgetProcess()
}

// applyServerState applies a state change reported by the exchange itself. No further set-ups are sent to an exchange
// that is draining or out of service.
func (c *Conn) applyServerState(state admission.ServerState) {
	c.set.setServerState(c, state)
	switch state {
	case admission.Draining:
		c.Drain()
	case admission.Removed:
		c.Drain()
		c.failOpenAttempts(call.BackendLost)
		c.endCallsBefore(lossOutOfService, c.set.loop.Now()+1)
	default:
		c.isDraining = false
		c.endCallsBefore(lossReset, c.set.loop.Now())
	}
}

// hasPendingWork reports whether there are messages for the exchange that only this process can send, or whether
// callers may still have to be notified that calls at the exchange were lost.
func (c *Conn) hasPendingWork() bool {
	hasUnsentRelease := c.conn == nil && len(c.releases) > 0 || c.unknownReleases.hasUnsent(&c.set.unknownReleases)
	if hasUnsentRelease {
		return true
	}
	return c.isSuspect() || c.conn != nil && c.conn.HasUnreadOutput()
}

// Tick redials if due, drops expired state and checks the reachability of the exchange.
func (c *Conn) Tick(now time.Duration) {
	if c.dialing.isDue(now) && c.conn == nil {
		c.Dial()
	}
	if c.IsConnected() {
		c.releases.expire(now, c.connectedAt)
	}
	c.resendReleases(now)
	c.tickUnknownReleases(now)
	c.protocol.expire(now)
	c.checkReachability(now)
}

// releaseOrigin returns the id of the exchange that a received release comes from. This is the exchange at which the
// call is established if that exchange has the address of this connection: an exchange may have taken over the address
// of another and send on a connection that was opened to the other.
func (c *Conn) releaseOrigin(callID string) string {
	server := c.set.calls.BackendOf(callID)
	other := c.set.conns[server]
	if other != nil && other.address == c.address {
		return server
	}
	return c.id
}
