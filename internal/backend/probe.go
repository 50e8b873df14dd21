package backend

import (
	"slices"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/eventloop"
	"olivedale/internal/reachability"
)

const (
	// maxProbesPerExchange bounds the probes of one exchange that are dialled or open.
	maxProbesPerExchange = 3
	// probeHold is how long a probe stays open for what the exchange sends on each new connection.
	probeHold = 100 * time.Millisecond
	// probeCloseTimeout is how long the exchange may take to close its end of a probe.
	probeCloseTimeout = time.Second
)

// A Probe is a connection by which a quiet exchange is found to be there. No set-up is sent on it. An exchange may
// send releases on it as on any connection: they are read until the exchange has closed its end. A probe that comes up
// while there is no connection becomes the connection.
type Probe struct {
	conn      *Conn
	address   string
	startedAt time.Duration
	socket    *eventloop.Conn // nil until it has come up
	input     input
	openedAt  time.Duration
	isClosing bool // this end is closed
}

// startProbe dials on a goroutine of its own, within the bounds on probes.
func (c *Conn) startProbe(now time.Duration) {
	isBounded := len(c.probes) >= maxProbesPerExchange || c.set.openProbes >= c.set.maxProbes
	if isBounded || !c.set.loop.IsAttached() || c.isAddressTakenOver() {
		return
	}
	c.reach.RecordProbe(now)
	c.set.Counters.Probes++
	c.set.openProbes++
	p := &Probe{conn: c, address: c.address, startedAt: now}
	c.probes = append(c.probes, p)
	go p.dial()
}

// dial dials and hands the socket, or the error, to the loop. It runs beside the loop.
func (p *Probe) dial() {
	loop := p.conn.set.loop
	socket, err := p.conn.set.dial(p.address, p.conn.set.probeTimeout())
	if err == nil {
		if err = loop.Enroll(socket, p); err == nil {
			return // OnOpen follows
		}
		_ = socket.Close()
	}
	loop.ExecuteIteration(func() { p.handleFailure(err) })
}

// probeTimeout bounds each probe.
func (s *Set) probeTimeout() time.Duration { return min(s.dialTimeout, reachability.MaxProbeTimeout) }

// isCurrent reports whether the probe still concerns the exchange.
func (p *Probe) isCurrent() bool {
	return !p.conn.isRemoved && !p.conn.set.isClosed && p.address == p.conn.address
}

func (p *Probe) handleFailure(err error) {
	p.forget()
	if !p.isCurrent() {
		return
	}
	p.conn.set.Counters.ProbesFailed++
	p.conn.recordFailedConnection(p.startedAt, p.conn.set.probeTimeout(), err)
}

// forget removes the probe from those of its exchange.
func (p *Probe) forget() {
	c := p.conn
	before := len(c.probes)
	c.probes = slices.DeleteFunc(c.probes, func(other *Probe) bool { return other == p })
	c.set.openProbes -= before - len(c.probes)
}

// HandleOpen takes the socket; false: it is to be closed.
func (p *Probe) HandleOpen(socket gnet.Conn) bool {
	c := p.conn
	if !p.isCurrent() {
		p.forget()
		return false
	}
	if c.conn == nil {
		p.forget()
		c.dialing.cancel() // a dial that runs is not needed any more
		c.adopt(socket)
		return true
	}
	c.recordSign()
	p.openedAt = c.set.loop.Now()
	p.socket = eventloop.NewConn(socket, p.openedAt)
	p.input = c.protocol.newInput(p.socket.IsOpen)
	socket.SetContext(p)
	return true
}

// HandleSocketData handles what the probe brings.
func (p *Probe) HandleSocketData(_ gnet.Conn, data []byte) {
	p.conn.recordSign()
	if _, err := p.input.handleData(data); err != nil {
		p.conn.set.reportMalformed("exchange "+p.conn.id, err)
		p.conn.set.loop.Close(p.socket)
	}
}

// HandleClose handles the end of the socket.
func (p *Probe) HandleClose(gnet.Conn, error) {
	p.socket.MarkClosed()
	p.forget()
}

// expire closes this end once the probe has been held, and the whole probe if the exchange does not close its own.
func (p *Probe) expire(now time.Duration) {
	age := now - p.openedAt
	switch {
	case p.socket == nil || age < probeHold:
	case !p.isClosing:
		// Closing this end alone loses nothing that is on its way.
		p.isClosing = true
		if syscall.Shutdown(p.socket.Socket().Fd(), syscall.SHUT_WR) != nil {
			p.conn.set.loop.Close(p.socket)
		}
	case age > probeCloseTimeout:
		p.socket.ReadPending(func(data []byte) { p.HandleSocketData(nil, data) })
		p.conn.set.loop.Close(p.socket)
	}
}

func (c *Conn) expireProbes(now time.Duration) {
	for _, p := range slices.Clone(c.probes) {
		p.expire(now)
	}
}

// closeProbes closes all probes that are open; those that are dialled end by themselves.
func (c *Conn) closeProbes() {
	for _, p := range slices.Clone(c.probes) {
		if p.socket != nil {
			c.set.loop.Close(p.socket)
		}
	}
}
