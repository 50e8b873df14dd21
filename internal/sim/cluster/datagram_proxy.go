package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Limits of a datagram proxy.
const (
	maxFlows            = 64   // senders
	maxPendingDatagrams = 4096 // delayed and not yet delivered
	// maxDatagram is larger than the longest answer of discovery. The buffers are no larger than that because there is
	// a proxy for each pair of controllers.
	maxDatagram = 9 << 10
)

// A datagramProxy forwards UDP datagrams to one address, and the answers back to the senders.
type datagramProxy struct {
	*networkPath
	socket  net.PacketConn
	target  string
	observe observer // may be nil

	goroutines sync.WaitGroup

	stateMu sync.Mutex
	rng     *rand.Rand
	flows   map[string]net.Conn // by address of the sender
	pending int                 // datagrams not yet delivered
	closed  bool
}

// newDatagramProxy listens on loopback and forwards datagrams to target. rng decides on loss, duplication and jitter.
// close ends the proxy's goroutines.
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

// address returns the address at which the proxy listens.
func (d *datagramProxy) address() string { return d.socket.LocalAddr().String() }

// reset implements proxy. It does nothing: datagrams have no connections.
func (d *datagramProxy) reset() {}

// close implements proxy.
func (d *datagramProxy) close() {
	_ = d.socket.Close()
	d.closeFlows()
	d.goroutines.Wait()
}

// closeFlows closes all flows and prevents new ones.
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

// flowOf returns the socket that forwards a sender's datagrams, and opens it for a new sender. It returns nil if there
// are too many senders, the socket cannot be opened or the proxy is closed.
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

// readAnswers forwards answers to the sender of the requests until its flow is closed.
func (d *datagramProxy) readAnswers(flow net.Conn, sender net.Addr) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := flow.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for instance ECONNREFUSED while nothing listens at the target
			continue
		}
		d.forward(Backward, append([]byte(nil), buffer[:n]...), func(data []byte) {
			_, _ = d.socket.WriteTo(data, sender)
		})
	}
}

// forward delivers a datagram under the path's impairment: not at all, once or twice, each copy after its own delay.
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

// drawCopies draws the number of copies of a datagram that are delivered, and counts them as pending.
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
