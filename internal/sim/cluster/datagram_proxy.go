package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Bounds of a datagram proxy.
const (
	maxFlows            = 64   // senders to one address
	maxPendingDatagrams = 4096 // on their way
	// maxDatagram is more than the longest answer of discovery: there is a proxy for each pair of controllers.
	maxDatagram = 9 << 10
)

// A datagramProxy forwards UDP datagrams to an address, and the answers to the senders.
type datagramProxy struct {
	*networkPath
	socket  net.PacketConn
	target  string
	observe observer // nil: there is none

	goroutines sync.WaitGroup

	stateMu sync.Mutex
	rng     *rand.Rand
	flows   map[string]net.Conn // by address of the sender
	pending int                 // datagrams on their way
	closed  bool
}

// newDatagramProxy listens on loopback and forwards datagrams to target. Loss, duplication and jitter are drawn from
// rng. close ends the proxy's goroutines.
func newDatagramProxy(from, to, target string, rng *rand.Rand, observe observer) (*datagramProxy, error) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy from %s to %s: %w", from, to, err)
	}
	d := &datagramProxy{
		networkPath: newNetworkPath(from, to),
		socket:      socket,
		target:      target,
		observe:     observe,
		rng:         rng,
		flows:       make(map[string]net.Conn),
	}
	d.goroutines.Go(d.readRequests)
	return d, nil
}

// address returns where the proxy listens.
func (d *datagramProxy) address() string { return d.socket.LocalAddr().String() }

// reset implements proxy: datagrams have no connections.
func (d *datagramProxy) reset() {}

// close implements proxy.
func (d *datagramProxy) close() {
	_ = d.socket.Close()
	d.closeFlows()
	d.goroutines.Wait()
}

// closeFlows closes the flows and has no new ones opened.
func (d *datagramProxy) closeFlows() {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	d.closed = true
	for _, flow := range d.flows {
		_ = flow.Close()
	}
}

// readRequests forwards datagrams to the target until the socket is closed.
func (d *datagramProxy) readRequests() {
	buffer := make([]byte, maxDatagram)
	for {
		n, sender, err := d.socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		if flow := d.flowOf(sender); flow != nil {
			d.forward(Forward, append([]byte(nil), buffer[:n]...), func(data []byte) { _, _ = flow.Write(data) })
		}
	}
}

// flowOf returns the socket that forwards a sender's datagrams, or nil if there are too many senders or the proxy is
// closed.
func (d *datagramProxy) flowOf(sender net.Addr) net.Conn {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	key := sender.String()
	if flow := d.flows[key]; flow != nil {
		return flow
	}
	if d.closed || len(d.flows) >= maxFlows {
		return nil
	}
	flow, err := net.Dial("udp", d.target)
	if err != nil {
		return nil
	}
	d.flows[key] = flow
	d.goroutines.Go(func() { d.readAnswers(flow, sender) })
	return flow
}

// readAnswers forwards answers to the sender of the requests until the flow is closed.
func (d *datagramProxy) readAnswers(flow net.Conn, sender net.Addr) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := flow.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // nothing listens at the target now
			continue
		}
		d.forward(Backward, append([]byte(nil), buffer[:n]...), func(data []byte) {
			_, _ = d.socket.WriteTo(data, sender)
		})
	}
}

// forward sends the copies of a datagram that the path's impairment leaves, each after its own delay.
func (d *datagramProxy) forward(direction Direction, data []byte, send func([]byte)) {
	impairment, _ := d.impairment(direction)
	deliver := func() {
		if d.observe != nil {
			d.observe(direction, data)
		}
		send(data)
		d.stateMu.Lock()
		d.pending--
		d.stateMu.Unlock()
	}
	for range d.drawCopies(impairment) {
		if wait := d.drawDelay(impairment); wait > 0 {
			time.AfterFunc(wait, deliver)
		} else {
			deliver()
		}
	}
}

// drawCopies draws how often a datagram is delivered, and counts the copies as pending.
func (d *datagramProxy) drawCopies(i Impairment) int {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	isLost := i.Blocked || d.pending >= maxPendingDatagrams || d.rng.Float64() < i.LossRate
	if isLost {
		return 0
	}
	copies := 1
	if d.rng.Float64() < i.DuplicationRate {
		copies = 2
	}
	d.pending += copies
	return copies
}

// drawDelay draws the delay of one copy.
func (d *datagramProxy) drawDelay(i Impairment) time.Duration {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	return i.Delay + time.Duration(d.rng.Float64()*float64(i.Jitter))
}
