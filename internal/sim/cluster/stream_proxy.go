package cluster

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Limits of a stream proxy.
const (
	maxQueuedChunks  = 512 // in one direction of a connection
	chunkBytes       = 8 << 10
	proxyDialTimeout = 2 * time.Second
	// maxHalfOpen is how long a connection stays half-open before the proxy closes it, if no fault begins or ends.
	maxHalfOpen = time.Minute
)

// A streamProxy forwards TCP connections to an address.
type streamProxy struct {
	*networkPath
	listener    net.Listener
	target      func() string
	newObserver func() observer
	ctx         context.Context // done when the proxy is closed
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup

	connsMu sync.Mutex
	conns   map[net.Conn]bool
	closed  bool
}

// newStreamProxy listens on loopback. For each connection it calls target for the address to forward to, and
// newObserver, unless it is nil, for an observer. close ends the proxy's goroutines.
func newStreamProxy(from, to string, target func() string, newObserver func() observer) (*streamProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy from %s to %s: %w", from, to, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &streamProxy{
		networkPath: newNetworkPath(from, to),
		listener:    listener,
		target:      target,
		newObserver: newObserver,
		ctx:         ctx,
		cancel:      cancel,
		conns:       make(map[net.Conn]bool),
	}
	s.goroutines.Go(s.accept)
	return s, nil
}

// address returns the address at which the proxy listens.
func (s *streamProxy) address() string { return s.listener.Addr().String() }

func (s *streamProxy) accept() {
	for {
		client, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.goroutines.Go(func() { s.serve(client) })
	}
}

// register adds a connection to those that are reset by faults. It reports false if the proxy is closed.
func (s *streamProxy) register(conn net.Conn) bool {
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	return true
}

// release unregisters and closes a connection.
func (s *streamProxy) release(conn net.Conn) {
	s.connsMu.Lock()
	delete(s.conns, conn)
	s.connsMu.Unlock()
	_ = conn.Close()
}

// reset implements proxy. It resets the client and the server side of each connection.
func (s *streamProxy) reset() {
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	s.resetLocked()
}

// resetLocked resets all connections. The caller holds connsMu.
func (s *streamProxy) resetLocked() {
	for conn := range s.conns {
		resetConn(conn)
	}
}

// close implements proxy.
func (s *streamProxy) close() {
	_ = s.listener.Close()
	s.refuseConns()
	s.cancel() // after the reset, because a goroutine that ends closes its connection without a reset
	s.goroutines.Wait()
}

// refuseConns resets all connections and prevents new ones.
func (s *streamProxy) refuseConns() {
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	s.closed = true
	s.resetLocked()
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// serve forwards a client's connection until one side ends or the proxy is closed.
func (s *streamProxy) serve(client net.Conn) {
	defer s.release(client)
	if !s.register(client) {
		return
	}
	c := newProxiedConn(s)
	defer c.cancel()
	requests := make(chan chunk, maxQueuedChunks)
	s.goroutines.Go(func() {
		c.read(client, requests, func(data []byte) { c.observe(Forward, data) })
	})
	if !c.awaitForwarding() {
		return
	}
	dialer := net.Dialer{Timeout: proxyDialTimeout}
	server, err := dialer.DialContext(c.ctx, "tcp", s.target())
	if err != nil {
		c.observe(Backward, nil)
		resetConn(client)
		return
	}
	defer s.release(server)
	if !s.register(server) {
		return
	}
	responses := make(chan chunk, maxQueuedChunks)
	s.goroutines.Go(func() { c.read(server, responses, func([]byte) {}) })
	s.goroutines.Go(func() {
		defer c.cancel()
		forward := pump{conn: c, direction: Forward, to: server, in: requests, observe: func([]byte) {}}
		forward.run()
	})
	backward := pump{
		conn:      c,
		direction: Backward,
		to:        client,
		in:        responses,
		observe:   func(data []byte) { c.observe(Backward, data) },
	}
	backward.run()
}

// A proxiedConn is a client connection with the corresponding connection to the server.
type proxiedConn struct {
	proxy   *streamProxy
	observe observer
	ctx     context.Context // done when one side has ended, or the proxy is closed
	cancel  context.CancelFunc
}

func newProxiedConn(s *streamProxy) *proxiedConn {
	c := &proxiedConn{proxy: s, observe: func(Direction, []byte) {}}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	if s.newObserver != nil {
		c.observe = s.newObserver()
	}
	return c
}

// awaitForwarding waits while new connections are not forwarded. It reports false after maxHalfOpen without a change of
// the active faults, or when the connection or the proxy is closed.
func (c *proxiedConn) awaitForwarding() bool {
	for {
		forwards, changed := c.proxy.forwardsConnections()
		if forwards {
			return true
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
			return false
		case <-time.After(maxHalfOpen):
			return false
		}
	}
}

// A chunk is the result of one read of a stream.
type chunk struct {
	data   []byte
	readAt time.Time
	err    error // with which the stream ended; nil: it has not
}

// read queues received data until the stream ends. A full queue blocks the sender, as TCP flow control does.
func (c *proxiedConn) read(from net.Conn, queue chan<- chunk, observe func([]byte)) {
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			observe(buffer[:n])
		} else {
			observe(nil)
		}
		select {
		case queue <- chunk{buffer[:n], time.Now(), err}:
		case <-c.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}
