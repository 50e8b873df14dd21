package backend

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/call"
	"olivedale/internal/eventloop"
)

// The delay before the next dial after a failure doubles from minRedialDelay up to maxRedialDelay.
const (
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// A dialState tracks the dials to one exchange.
type dialState struct {
	serial      int // of the latest dial; results of earlier dials are ignored
	isDialing   bool
	redialAt    time.Duration
	redialDelay time.Duration
	lostAt      time.Duration // when a connection was lost, if none has been opened since; otherwise 0
}

// isDue reports whether a dial may be started.
func (d *dialState) isDue(now time.Duration) bool { return !d.isDialing && now >= d.redialAt }

// cancel makes the result of a running dial be ignored.
func (d *dialState) cancel() {
	d.serial++
	d.isDialing = false
}

// backOff doubles the delay and schedules the next dial.
func (d *dialState) backOff(now time.Duration) {
	d.redialDelay = min(max(2*d.redialDelay, minRedialDelay), maxRedialDelay)
	d.redialAt = now + d.redialDelay
}

// An OpenHandler is the context of a socket to an exchange until gnet reports the socket as open.
type OpenHandler interface {
	// HandleOpen accepts the opened socket and sets its context to the socket's owner. It returns false if the socket
	// is no longer needed and must be closed.
	HandleOpen(socket gnet.Conn) bool
}

// A SocketOwner is the context of an open socket to an exchange.
type SocketOwner interface {
	// HandleSocketData handles data received on the socket.
	HandleSocketData(socket gnet.Conn, data []byte)
	// HandleClose handles the close of the socket; err is gnet's error.
	HandleClose(socket gnet.Conn, err error)
}

var (
	_ OpenHandler = (*PendingDial)(nil)
	_ OpenHandler = (*Probe)(nil)
	_ SocketOwner = (*Conn)(nil)
	_ SocketOwner = (*Probe)(nil)
)

// A PendingDial is the context of the socket of a regular dial until gnet reports the socket as open.
type PendingDial struct {
	conn      *Conn
	serial    int
	startedAt time.Duration
}

// HandleOpen hands the opened socket to the Conn. It returns false if the socket must be closed.
func (d *PendingDial) HandleOpen(socket gnet.Conn) bool { return d.conn.onConnected(d.serial, socket) }

// DialSerial returns the serial number of the latest dial; starting or cancelling a dial increments it.
func (c *Conn) DialSerial() int { return c.dialing.serial }

// IsDialing reports whether a dial is in progress.
func (c *Conn) IsDialing() bool { return c.dialing.isDialing }

// RedialAt returns when the next dial is due after a failed one; 0 if no dial has failed.
func (c *Conn) RedialAt() time.Duration { return c.dialing.redialAt }

// Dial dials on a separate goroutine, unless a dial is in progress or the exchange is connected or removed.
func (c *Conn) Dial() {
	loop := c.set.loop
	if c.dialing.isDialing || c.isRemoved || c.set.isClosed || c.conn != nil || !loop.IsAttached() {
		return
	}
	if c.isAddressTakenOver() { // set-ups and releases would go to a different exchange
		c.failQueue(call.DialRefused)
		c.dialing.redialAt = loop.Now() + maxRedialDelay
		loop.Defer(func() { c.endCallsBefore(lossAddressTaken, loop.Now()+1) })
		return
	}
	c.dialing.isDialing = true
	c.dialing.serial++
	c.set.Counters.Dials++
	now := loop.Now()
	c.detector.RecordProbe(now)
	go c.dialAddress(c.address, &PendingDial{conn: c, serial: c.dialing.serial, startedAt: now})
}

// dialAddress dials and hands the socket or the error to the event loop. It runs outside the event loop.
func (c *Conn) dialAddress(address string, dial *PendingDial) {
	loop := c.set.loop
	socket, err := c.set.dial(address, c.set.dialTimeout)
	if err == nil {
		if err = loop.Enroll(socket, dial); err == nil {
			return // OnOpen follows
		}
		_ = socket.Close()
	}
	loop.ExecuteIteration(func() { c.onDialFailed(dial, err) })
}

// onConnected accepts the socket of a dial. It returns false if the dial is obsolete and the socket must be closed.
func (c *Conn) onConnected(serial int, socket gnet.Conn) bool {
	if serial != c.dialing.serial || !c.dialing.isDialing || c.isRemoved || c.set.isClosed {
		return false
	}
	c.dialing.isDialing = false
	c.attach(socket)
	return true
}

// attach makes a socket the current connection, sends the unconfirmed releases on it and flushes the queue.
func (c *Conn) attach(socket gnet.Conn) {
	c.dialing.lostAt = 0
	c.dialing.redialDelay = 0
	now := c.set.loop.Now()
	conn := eventloop.NewConn(socket, now)
	c.conn = conn
	c.connectedAt = now
	c.input = c.protocol.newInputHandler(func() bool { return c.conn == conn })
	c.activity = activity{receivedAt: now}
	socket.SetContext(c)
	c.recordSignOfLife()
	c.protocol.reset()
	c.sendReleases()
	c.unknownReleases.scheduleRewind(now)
	c.tickUnknownReleases(now)
	c.flushQueue()
}

// onDialFailed ends the queued attempts and schedules the next dial.
func (c *Conn) onDialFailed(dial *PendingDial, err error) {
	if dial.serial != c.dialing.serial || !c.dialing.isDialing {
		return
	}
	c.dialing.isDialing = false
	c.set.Counters.DialsFailed++
	c.failQueue(attemptEndOfDialError(err))
	c.recordFailedConnection(dial.startedAt, c.set.dialTimeout, err)
	c.dialing.backOff(c.set.loop.Now())
}

// attemptEndOfDialError maps a dial error to the result of the queued attempts.
func attemptEndOfDialError(err error) call.AttemptEnd {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return call.DialRefused
	case errors.As(err, &netErr) && netErr.Timeout():
		return call.DialTimedOut
	}
	return call.DialFailed
}

// isAddressTakenOver reports whether another exchange now uses this exchange's address: one that started later, or one
// that is active while this one drains. In both cases the process of this exchange has ended.
func (c *Conn) isAddressTakenOver() bool {
	for _, other := range c.set.conns {
		if other == c || other.address != c.address || other.isDraining {
			continue
		}
		if c.isDraining || other.StartedAt > c.StartedAt {
			return true
		}
	}
	return false
}

// ChangeAddress changes the exchange's address. It first processes the data already received from the old address, so
// that a call established there is not attempted again.
func (c *Conn) ChangeAddress(address string) {
	if c.conn != nil {
		c.conn.ReadPending(c.HandleData)
	}
	c.address = address
	c.dialing.cancel() // a dial in progress goes to the old address
	c.Disconnect(call.ConnectionClosed)
	c.Dial()
}
