package cluster

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// A Direction is a direction on a path.
type Direction int

// Directions: from the side that dials or asks, and back.
const (
	Forward Direction = iota
	Backward
)

// A Impairment is what happens to what passes a path one way. The zero Impairment lets it pass.
type Impairment struct {
	Blocked         bool          // nothing passes, and nobody is told
	Delay           time.Duration // added to each piece
	Jitter          time.Duration // and up to so much more; datagrams overtake each other by it
	BytesPerSecond  int           // bytes a second of a stream; 0: as fast as it comes
	LossRate        float64       // share of datagrams that get lost
	DuplicationRate float64       // share of datagrams that come twice
}

// with is both shapes at once.
func (s Impairment) with(o Impairment) Impairment {
	s.Blocked = s.Blocked || o.Blocked
	s.Delay += o.Delay
	s.Jitter += o.Jitter
	if o.BytesPerSecond > 0 && (s.BytesPerSecond == 0 || o.BytesPerSecond < s.BytesPerSecond) {
		s.BytesPerSecond = o.BytesPerSecond
	}
	s.LossRate, s.DuplicationRate = max(s.LossRate, o.LossRate), max(s.DuplicationRate, o.DuplicationRate)
	return s
}

// A path is what stands on the way between two processes: a relay of a stream or of datagrams, and the
// faults that are on it now. Its methods may be called from anywhere.
type path struct {
	from, to string // who dials or asks, who serves

	mu          sync.Mutex
	impairments [2]map[*Fault]Impairment
	halfOpen    map[*Fault]bool // new connections come up and lead nowhere
	changed     chan struct{}   // closed when the faults are others
	closed      bool
	reset       func() // resets all connections; nil: there are none
	close       func()
}

func newPath(from, to string) *path {
	return &path{from: from, to: to, impairments: [2]map[*Fault]Impairment{{}, {}}, halfOpen: make(map[*Fault]bool), changed: make(chan struct{})}
}

// update changes the faults.
func (p *path) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// shape is what happens one way now, and a channel that is closed when it is another.
func (p *path) shape(w Direction) (s Impairment, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.impairments[w] {
		s = s.with(o)
	}
	return s, p.changed
}

// leadsOn tells whether new connections go on to the other side.
func (p *path) leadsOn() (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.halfOpen) == 0, p.changed
}

// A observer sees what passes: bytes of one connection of a stream, or a datagram, before they go on to where
// they are sent; nil: that side of the connection has ended. A observer of a stream is made for each connection.
type observer func(w Direction, b []byte)

// Bounds of a relay.
const (
	mostPieces  = 512 // waiting in one direction of a connection
	pieceBytes  = 8 << 10
	mostFlows   = 64   // senders of datagrams to one address
	mostWaiting = 4096 // datagrams under way
	// mostDatagram is more than the directory's longest answer: there is a relay for each pair of controllers.
	mostDatagram = 9 << 10
	dialLimit    = 2 * time.Second
)

// A streamProxy relays connections to where addr says.
type streamProxy struct {
	*path
	listener net.Listener
	addr     func() string
	taps     func() observer

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// newStreamProxy listens on loopback and relays connections to addr; taps, if not nil, makes the tap of each.
func newStreamProxy(from, to string, addr func() string, taps func() observer) (*streamProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay %s to %s: %w", from, to, err)
	}
	s := &streamProxy{path: newPath(from, to), listener: ln, addr: addr, taps: taps, conns: make(map[net.Conn]bool)}
	s.reset = s.resetAll
	s.close = func() {
		s.path.mu.Lock()
		s.closed = true
		s.path.mu.Unlock()
		_ = ln.Close()
		s.resetAll()
	}
	go s.accept()
	return s, nil
}

func (s *streamProxy) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// keep notes a connection for resets; false: the relay is closed.
func (s *streamProxy) keep(c net.Conn) bool {
	s.path.mu.Lock()
	closed := s.closed
	s.path.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	return !closed
}

func (s *streamProxy) drop(c net.Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	_ = c.Close()
}

// resetAll resets what is connected, on both sides.
func (s *streamProxy) resetAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// A piece is what was read at once; err: the stream ended so.
type piece struct {
	b   []byte
	at  time.Time
	err error
}

func (s *streamProxy) serve(near net.Conn) {
	defer s.drop(near)
	if !s.keep(near) {
		return
	}
	see := func(Direction, []byte) {}
	if s.taps != nil {
		see = s.taps()
	}
	done := make(chan struct{}) // closed: one side has ended
	var once sync.Once
	end := func() { once.Do(func() { close(done) }) }
	defer end()
	there := make(chan piece, mostPieces)
	go read(near, there, done, func(b []byte) { see(Forward, b) })
	for { // a connection that is held has come up and leads nowhere
		ok, changed := s.leadsOn()
		if ok {
			break
		}
		select {
		case <-changed:
		case <-time.After(time.Minute):
			return
		}
	}
	far, err := net.DialTimeout("tcp", s.addr(), dialLimit)
	if err != nil {
		see(Backward, nil)
		resetConn(near)
		return
	}
	defer s.drop(far)
	if !s.keep(far) {
		return
	}
	back := make(chan piece, mostPieces)
	go read(far, back, done, func([]byte) {})
	go func() {
		defer end()
		s.write(Forward, far, there, done, func([]byte) {})
	}()
	s.write(Backward, near, back, done, func(b []byte) { see(Backward, b) })
}

// read puts what comes into a queue until the stream ends. A full queue stops the sender, as a network does.
func read(c net.Conn, out chan<- piece, done <-chan struct{}, see func([]byte)) {
	for {
		b := make([]byte, pieceBytes)
		n, err := c.Read(b)
		if n > 0 {
			see(b[:n])
		} else {
			see(nil)
		}
		select {
		case out <- piece{b[:n], time.Now(), err}:
		case <-done:
			return
		}
		if err != nil {
			return
		}
	}
}

// write passes a queue on as the path's shape has it, until either side ends.
func (s *streamProxy) write(w Direction, c net.Conn, in <-chan piece, done <-chan struct{}, see func([]byte)) {
	var busy time.Time // until then the throttled way is taken
	for {
		var p piece
		select {
		case p = <-in:
		case <-done:
			return
		}
		for {
			shape, changed := s.shape(w)
			due := p.at.Add(shape.Delay)
			if shape.BytesPerSecond > 0 {
				due = latest(due, busy)
			}
			wait := time.Until(due)
			if !shape.Blocked && wait <= 0 {
				if shape.BytesPerSecond > 0 {
					busy = time.Now().Add(time.Duration(len(p.b)) * time.Second / time.Duration(shape.BytesPerSecond))
				}
				break
			}
			var timer <-chan time.Time
			if !shape.Blocked {
				timer = time.After(wait)
			}
			select {
			case <-timer:
			case <-changed:
			case <-done:
				return
			}
		}
		if len(p.b) > 0 {
			see(p.b)
			if _, err := c.Write(p.b); err != nil {
				return
			}
		}
		if p.err != nil {
			see(nil)
			if !errors.Is(p.err, io.EOF) {
				resetConn(c)
			}
			return
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// A datagramProxy relays datagramProxy to addr, and the answers back to whom asked.
type datagramProxy struct {
	*path
	socket net.PacketConn
	addr   string
	see    observer

	mu      sync.Mutex
	rng     *rand.Rand
	flows   map[string]net.Conn
	waiting int
}

// newDatagramProxy listens on loopback and relays datagrams to addr. Chance comes from rng.
func newDatagramProxy(from, to, addr string, rng *rand.Rand, see observer) (*datagramProxy, error) {
	in, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay %s to %s: %w", from, to, err)
	}
	d := &datagramProxy{path: newPath(from, to), socket: in, addr: addr, see: see, rng: rng, flows: make(map[string]net.Conn)}
	d.path.close = func() {
		_ = in.Close()
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, c := range d.flows {
			_ = c.Close()
		}
	}
	go func() {
		b := make([]byte, mostDatagram)
		for {
			n, asker, err := in.ReadFrom(b)
			if err != nil {
				return
			}
			if flow := d.flow(asker); flow != nil {
				d.pass(Forward, append([]byte(nil), b[:n]...), func(b []byte) { _, _ = flow.Write(b) })
			}
		}
	}()
	return d, nil
}

// flow is the socket by which an asker's datagrams go on; nil: there are too many askers.
func (d *datagramProxy) flow(asker net.Addr) net.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.flows[asker.String()]; c != nil || len(d.flows) >= mostFlows {
		return c
	}
	c, err := net.Dial("udp", d.addr)
	if err != nil {
		return nil
	}
	d.flows[asker.String()] = c
	go func() {
		b := make([]byte, mostDatagram)
		for {
			n, err := c.Read(b)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // nobody listens there just now
				continue
			}
			d.pass(Backward, append([]byte(nil), b[:n]...), func(b []byte) { _, _ = d.socket.WriteTo(b, asker) })
		}
	}()
	return c
}

// pass sends a datagram on as the path's shape has it.
func (d *datagramProxy) pass(w Direction, b []byte, send func([]byte)) {
	shape, _ := d.shape(w)
	for range d.copies(shape) {
		arrive := func() {
			if d.see != nil {
				d.see(w, b)
			}
			send(b)
			d.mu.Lock()
			d.waiting--
			d.mu.Unlock()
		}
		if wait := d.wait(shape); wait > 0 {
			time.AfterFunc(wait, arrive)
		} else {
			arrive()
		}
	}
}

// copies draws how often a datagram arrives, and counts it as under way.
func (d *datagramProxy) copies(s Impairment) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case s.Blocked || d.waiting >= mostWaiting || d.rng.Float64() < s.LossRate:
		return 0
	case d.rng.Float64() < s.DuplicationRate:
		n++
	}
	n++
	d.waiting += n
	return n
}

func (d *datagramProxy) wait(s Impairment) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return s.Delay + time.Duration(d.rng.Float64()*float64(s.Jitter))
}
