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
	// maxProbesPerExchange limits the probes of one exchange that are being dialled or are open.
	maxProbesPerExchange = 3
	// probeHold is how long a probe stays open to receive what the exchange sends on every new connection.
	probeHold = 100 * time.Millisecond
	// probeCloseTimeout is how long the exchange may take to close its end of a probe.
	probeCloseTimeout = time.Second
)

// A Probe is an extra connection that checks whether a silent exchange is still reachable. No set-ups are sent on it.
// The exchange may send releases on it as on any connection; they are read until the exchange closes its end. If the
// exchange is disconnected when a probe opens, the probe becomes the connection.
type Probe struct {
	conn      *Conn
	address   string
	startedAt time.Duration
	socket    *eventloop.Conn // nil until the probe is open
	input     inputHandler
	openedAt  time.Duration
	isClosing bool // the sending side is closed
}

// startProbe dials a probe on a separate goroutine, unless a limit on probes is reached or the address was taken over.
func (c *Conn) startProbe(now time.Duration) {
	isLimitReached := len(c.probes) >= maxProbesPerExchange || c.set.openProbes >= c.set.maxProbes
	if isLimitReached || !c.set.loop.IsAttached() || c.isAddressTakenOver() {
		return
	}
	c.detector.RecordProbe(now)
	c.set.Counters.Probes++
	c.set.openProbes++
	p := &Probe{conn: c, address: c.address, startedAt: now}
	c.probes = append(c.probes, p)
	go p.dial()
}

// dial dials and hands the socket or the error to the event loop. It runs outside the event loop.
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

// probeTimeout returns the dial timeout of probes.
func (s *Set) probeTimeout() time.Duration { return min(s.dialTimeout, reachability.MaxProbeTimeout) }

// isCurrent reports whether the result of the probe still matters: the exchange is known and has the probed address.
func (p *Probe) isCurrent() bool {
	return !p.conn.isRemoved && !p.conn.set.isClosed && p.address == p.conn.address
}

func (p *Probe) handleFailure(err error) {
	p.unregister()
	if !p.isCurrent() {
		return
	}
	p.conn.set.Counters.ProbesFailed++
	p.conn.recordFailedConnection(p.startedAt, p.conn.set.probeTimeout(), err)
}

// unregister removes the probe from its exchange's list.
func (p *Probe) unregister() {
	c := p.conn
	before := len(c.probes)
	c.probes = slices.DeleteFunc(c.probes, func(other *Probe) bool { return other == p })
	c.set.openProbes -= before - len(c.probes)
}

// HandleOpen accepts the opened socket. It returns false if the socket must be closed.
func (p *Probe) HandleOpen(socket gnet.Conn) bool {
	c := p.conn
	if !p.isCurrent() {
		p.unregister()
		return false
	}
	if c.conn == nil {
		p.unregister()
		c.dialing.cancel() // a dial in progress is no longer needed
		c.attach(socket)
		return true
	}
	c.recordSignOfLife()
	p.openedAt = c.set.loop.Now()
	p.socket = eventloop.NewConn(socket, p.openedAt)
	p.input = c.protocol.newInputHandler(p.socket.IsOpen)
	socket.SetContext(p)
	return true
}

// HandleSocketData handles data received on the probe.
func (p *Probe) HandleSocketData(_ gnet.Conn, data []byte) {
	p.conn.recordSignOfLife()
	if _, err := p.input.handleData(data); err != nil {
		p.conn.set.reportMalformed("exchange "+p.conn.id, err)
		p.conn.set.loop.Close(p.socket)
	}
}

// HandleClose handles the close of the socket.
func (p *Probe) HandleClose(gnet.Conn, error) {
	p.socket.MarkClosed()
	p.unregister()
}

// expire closes the sending side after probeHold, and the whole probe if the exchange does not close its end in time.
func (p *Probe) expire(now time.Duration) {
	age := now - p.openedAt
	switch {
	case age < probeHold:
	case !p.isClosing:
		// Half-closing the connection loses no data that is still in transit from the exchange.
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
	for _, p := range c.openProbes() {
		p.expire(now)
	}
}

// closeProbes closes all open probes. Those still being dialled end on their own.
func (c *Conn) closeProbes() {
	for _, p := range c.openProbes() {
		c.set.loop.Close(p.socket)
	}
}

// openProbes returns the probes that are open. Closing one removes it from the exchange's list.
func (c *Conn) openProbes() (open []*Probe) {
	for _, p := range c.probes {
		if p.socket != nil {
			open = append(open, p)
		}
	}
	return open
}
