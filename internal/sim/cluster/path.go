package cluster

import (
	"sync"
	"time"
)

// A Direction is one of the two directions of a network path.
type Direction int

// Directions: from the side that sends requests, and from the side that serves.
const (
	Forward Direction = iota
	Backward
	directions // how many there are
)

// An Impairment is what a proxy does to traffic in one direction. The zero Impairment passes everything.
type Impairment struct {
	Blocked         bool          // nothing passes, and connections stay open
	Delay           time.Duration // added to each read of a stream and to each datagram
	Jitter          time.Duration // upper bound of a random delay of each datagram
	BytesPerSecond  int           // bandwidth of a stream; 0: unlimited
	LossRate        float64       // fraction of datagrams that are dropped
	DuplicationRate float64       // fraction of datagrams that are delivered twice
}

// combine returns the effect of both impairments.
func (i Impairment) combine(o Impairment) Impairment {
	i.Blocked = i.Blocked || o.Blocked
	i.Delay += o.Delay
	i.Jitter += o.Jitter
	if o.BytesPerSecond > 0 && (i.BytesPerSecond == 0 || o.BytesPerSecond < i.BytesPerSecond) {
		i.BytesPerSecond = o.BytesPerSecond
	}
	i.LossRate = max(i.LossRate, o.LossRate)
	i.DuplicationRate = max(i.DuplicationRate, o.DuplicationRate)
	return i
}

// An observer sees traffic before it is forwarded: bytes of one connection of a stream, or a datagram. A nil slice
// means that this side of the connection has ended. A stream has an observer for each connection.
type observer func(direction Direction, data []byte)

// A proxy forwards the traffic of one network path and applies the faults that are active on it.
type proxy interface {
	network() *networkPath
	// reset resets the open connections.
	reset()
	// close stops listening, resets the open connections and waits for the proxy's goroutines. It may be called again.
	close()
}

// A networkPath is the path between two parts, with the faults that are active on it. Its methods are safe for
// concurrent use.
type networkPath struct {
	from, to string // the part that sends requests, and the part that serves

	mu          sync.Mutex
	impairments [directions]map[*Fault]Impairment
	halfOpen    map[*Fault]bool // faults by which new connections are accepted and not forwarded
	changed     chan struct{}   // closed when the active faults change
}

func newNetworkPath(from, to string) *networkPath {
	return &networkPath{
		from:        from,
		to:          to,
		impairments: [directions]map[*Fault]Impairment{{}, {}},
		halfOpen:    make(map[*Fault]bool),
		changed:     make(chan struct{}),
	}
}

func (p *networkPath) network() *networkPath { return p }

// update changes the active faults by f, which runs with the lock held.
func (p *networkPath) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// impairment returns the effect of all active faults in one direction, and a channel that is closed when it changes.
func (p *networkPath) impairment(direction Direction) (Impairment, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var total Impairment
	for _, i := range p.impairments[direction] {
		total = total.combine(i)
	}
	return total, p.changed
}

// forwardsConnections reports whether new connections are forwarded, with a channel that is closed at a change.
func (p *networkPath) forwardsConnections() (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.halfOpen) == 0, p.changed
}
