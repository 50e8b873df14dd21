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

// The delay before a failed dial is repeated doubles from minRedialDelay to maxRedialDelay.
const (
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// A dialState is the progress of the dials to one exchange.
type dialState struct {
	serial         int // of the latest dial; the result of an earlier one is dropped
	isDialing      bool
	redialAt       time.Duration
	redialDelay    time.Duration
	lostConnection bool // a connection was lost and the exchange has not been reached since
}

// isDue reports whether it is time to dial.
func (d *dialState) isDue(now time.Duration) bool { return !d.isDialing && now >= d.redialAt }

// cancel drops the result of the dial that runs.
func (d *dialState) cancel() {
	d.serial++
	d.isDialing = false
}

// backOff delays the next dial, twice as long as the last time.
func (d *dialState) backOff(now time.Duration) {
	d.redialDelay = min(max(2*d.redialDelay, minRedialDelay), maxRedialDelay)
	d.redialAt = now + d.redialDelay
}

// A Dialing is the context of a socket to an exchange until it is opened.
type Dialing interface {
	// HandleOpen takes the socket and becomes or names its owner; false: the socket is to be closed.
	HandleOpen(socket gnet.Conn) bool
}

// A SocketOwner is the context of an open socket to an exchange.
type SocketOwner interface {
	// HandleSocketData handles what the socket has received.
	HandleSocketData(socket gnet.Conn, data []byte)
	// HandleClose handles the end of the socket, with gnet's error.
	HandleClose(socket gnet.Conn, err error)
}

var (
	_ Dialing     = (*Dialed)(nil)
	_ Dialing     = (*Probe)(nil)
	_ SocketOwner = (*Conn)(nil)
	_ SocketOwner = (*Probe)(nil)
)

// A Dialed is the context of a socket that was dialled, until it is opened.
type Dialed struct {
	conn      *Conn
	serial    int
	startedAt time.Duration
}

// HandleOpen takes the socket that was dialled and makes the Conn its context; false: the socket is to be closed.
func (d *Dialed) HandleOpen(socket gnet.Conn) bool { return d.conn.onConnected(d.serial, socket) }

// DialSerial returns the number of dials that were started or given up.
func (c *Conn) DialSerial() int { return c.dialing.serial }

// IsDialing reports whether a dial runs.
func (c *Conn) IsDialing() bool { return c.dialing.isDialing }

// RedialAt returns when the next dial is due after one that failed; 0: none has failed.
func (c *Conn) RedialAt() time.Duration { return c.dialing.redialAt }

// Dial dials on a goroutine of its own, unless a dial runs or the exchange is connected or removed.
func (c *Conn) Dial() {
	loop := c.set.loop
	if c.dialing.isDialing || c.isRemoved || c.set.isClosed || c.conn != nil || !loop.IsAttached() {
		return
	}
	if c.isAddressTakenOver() { // set-ups and releases for this exchange would reach another
		c.failQueue(call.DialRefused)
		c.dialing.redialAt = loop.Now() + maxRedialDelay
		loop.Defer(func() { c.dropCalls(lossAddressTaken, loop.Now()+1) })
		return
	}
	c.dialing.isDialing = true
	c.dialing.serial++
	c.set.Counters.Dials++
	now := loop.Now()
	c.reach.RecordProbe(now)
	go c.dialAddress(c.address, &Dialed{conn: c, serial: c.dialing.serial, startedAt: now})
}

// dialAddress dials and hands the socket, or the error, to the loop. It runs beside the loop.
func (c *Conn) dialAddress(address string, dialed *Dialed) {
	loop := c.set.loop
	socket, err := c.set.dial(address, c.set.dialTimeout)
	if err == nil {
		if err = loop.Enroll(socket, dialed); err == nil {
			return // OnOpen follows
		}
		_ = socket.Close()
	}
	loop.ExecuteIteration(func() { c.onDialFailed(dialed, err) })
}

// onConnected takes the socket of a dial; false: it is to be closed.
func (c *Conn) onConnected(serial int, socket gnet.Conn) bool {
	if serial != c.dialing.serial || !c.dialing.isDialing || c.isRemoved || c.set.isClosed {
		return false
	}
	c.dialing.isDialing = false
	c.adopt(socket)
	return true
}

// adopt makes a socket the current connection, sends the releases that are not confirmed on it and flushes the queue.
func (c *Conn) adopt(socket gnet.Conn) {
	c.dialing.lostConnection = false
	c.dialing.redialDelay = 0
	now := c.set.loop.Now()
	conn := eventloop.NewConn(socket, now)
	c.conn = conn
	c.input = c.protocol.newInput(func() bool { return c.conn == conn })
	c.activity = activity{receivedAt: now}
	socket.SetContext(c)
	c.recordSign()
	c.protocol.reset()
	c.sendReleases()
	c.flushQueue()
}

// onDialFailed ends the queued set-ups and delays the next dial.
func (c *Conn) onDialFailed(dialed *Dialed, err error) {
	if dialed.serial != c.dialing.serial || !c.dialing.isDialing {
		return
	}
	c.dialing.isDialing = false
	c.set.Counters.DialsFailed++
	c.failQueue(dialFailure(err))
	c.recordFailedConnection(dialed.startedAt, c.set.dialTimeout, err)
	c.dialing.backOff(c.set.loop.Now())
}

// dialFailure returns how a queued set-up ends when a dial fails.
func dialFailure(err error) call.AttemptEnd {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return call.DialRefused
	case errors.As(err, &netErr) && netErr.Timeout():
		return call.DialTimedOut
	}
	return call.DialFailed
}

// isAddressTakenOver reports whether the exchange's address belongs to another by now, which started later or stays
// while this one drains: the process of this one has ended.
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

// Move gives the exchange another address. What it answered at the old one before counts: an established call must
// not be tried again.
func (c *Conn) Move(address string) {
	if c.conn != nil {
		c.conn.ReadPending(c.HandleData)
	}
	c.address = address
	c.dialing.cancel() // a dial that runs goes to the old address
	c.Disconnect(call.ConnectionClosed)
	c.Dial()
}
