package cluster

import (
	"sync"
	"time"
)

// A Direction is one of the two directions of a network path.
type Direction int

// Directions of a path: from the client side to the server side, and from the server side to the client side.
const (
	Forward Direction = iota
	Backward
	numDirections
)

// An Impairment is what a proxy does to traffic in one direction. The zero Impairment passes everything.
type Impairment struct {
	Blocked         bool          // nothing passes; connections stay open
	Delay           time.Duration // added to each read of a stream and to each datagram
	Jitter          time.Duration // upper bound of a random delay of each datagram
	BytesPerSecond  int           // bandwidth of each connection; 0: unlimited
	LossRate        float64       // fraction of datagrams that are dropped
	DuplicationRate float64       // fraction of datagrams that are delivered twice
}

// combine returns the impairment that has the effect of both.
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

// An observer is called with traffic: bytes of one TCP connection, or a datagram. nil data means that this side of the
// connection has ended. A stream proxy has an observer for each connection.
type observer func(direction Direction, data []byte)

// A proxy forwards the traffic of one network path and applies the faults that are active on it.
type proxy interface {
	network() *networkPath
	// reset resets all open connections.
	reset()
	// close stops listening, resets all open connections and waits for the proxy's goroutines. Further calls have no
	// effect.
	close()
}

// A networkPath is the path between two components, with the faults that are active on it. Its methods are safe for
// concurrent use.
type networkPath struct {
	from, to string // names of the client and the server component

	mu          sync.Mutex
	impairments [numDirections]map[*Fault]Impairment
	halfOpen    map[*Fault]bool // faults under which new connections are not forwarded
	changed     chan struct{}   // closed and replaced when the active faults change
}

func newNetworkPath(from, to string) *networkPath {
	return &networkPath{
		from:        from,
		to:          to,
		impairments: [numDirections]map[*Fault]Impairment{{}, {}},
		halfOpen:    make(map[*Fault]bool),
		changed:     make(chan struct{}),
	}
}

func (p *networkPath) network() *networkPath { return p }

// update calls f, which changes the active faults, with the lock held, and signals the change.
func (p *networkPath) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// impairment returns the combined effect of all active faults in one direction, and a channel that is closed when the
// active faults change.
func (p *networkPath) impairment(direction Direction) (Impairment, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var total Impairment
	for _, i := range p.impairments[direction] {
		total = total.combine(i)
	}
	return total, p.changed
}

// forwardsConnections reports whether new connections are forwarded. It also returns a channel that is closed when the
// active faults change.
func (p *networkPath) forwardsConnections() (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.halfOpen) == 0, p.changed
}
