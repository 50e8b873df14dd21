package cluster

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Bounds of a stream proxy.
const (
	maxQueuedPieces  = 512 // in one direction of a connection
	pieceBytes       = 8 << 10
	proxyDialTimeout = 2 * time.Second
	// maxHalfOpen is how long a connection stays half-open before the proxy closes it.
	maxHalfOpen = time.Minute
)

// A streamProxy forwards TCP connections to the address that target returns.
type streamProxy struct {
	*networkPath
	listener    net.Listener
	target      func() string
	newObserver func() observer

	connsMu sync.Mutex
	conns   map[net.Conn]bool
}

// newStreamProxy listens on loopback and forwards connections to the address that target returns at each connection.
// newObserver makes the observer of each connection; nil: there are none. close ends the proxy's goroutines.
func newStreamProxy(from, to string, target func() string, newObserver func() observer) (*streamProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy from %s to %s: %w", from, to, err)
	}
	s := &streamProxy{
		networkPath: newNetworkPath(from, to),
		listener:    listener,
		target:      target,
		newObserver: newObserver,
		conns:       make(map[net.Conn]bool),
	}
	go s.accept()
	return s, nil
}

// address returns where the proxy listens.
func (s *streamProxy) address() string { return s.listener.Addr().String() }

func (s *streamProxy) accept() {
	for {
		client, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(client)
	}
}

// register remembers a connection for resets. It reports false if the proxy is closed.
func (s *streamProxy) register(conn net.Conn) bool {
	closed := s.isClosed()
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	s.conns[conn] = true
	return !closed
}

// release forgets and closes a connection.
func (s *streamProxy) release(conn net.Conn) {
	s.connsMu.Lock()
	delete(s.conns, conn)
	s.connsMu.Unlock()
	_ = conn.Close()
}

// reset implements proxy. It resets both sides of each connection.
func (s *streamProxy) reset() {
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	for conn := range s.conns {
		resetConn(conn)
	}
}

// close implements proxy.
func (s *streamProxy) close() {
	s.markClosed()
	_ = s.listener.Close()
	s.reset()
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// serve forwards a client's connection until one side ends.
func (s *streamProxy) serve(client net.Conn) {
	defer s.release(client)
	if !s.register(client) {
		return
	}
	c := newProxiedConn(s)
	defer c.end()
	requests := make(chan piece, maxQueuedPieces)
	go c.read(client, requests, func(data []byte) { c.observe(Forward, data) })
	if !c.awaitForwarding() {
		return
	}
	server, err := net.DialTimeout("tcp", s.target(), proxyDialTimeout)
	if err != nil {
		c.observe(Backward, nil)
		resetConn(client)
		return
	}
	defer s.release(server)
	if !s.register(server) {
		return
	}
	responses := make(chan piece, maxQueuedPieces)
	go c.read(server, responses, func([]byte) {})
	go func() {
		defer c.end()
		forward := pump{conn: c, direction: Forward, to: server, in: requests, observe: func([]byte) {}}
		forward.run()
	}()
	backward := pump{
		conn:      c,
		direction: Backward,
		to:        client,
		in:        responses,
		observe:   func(data []byte) { c.observe(Backward, data) },
	}
	backward.run()
}

// A proxiedConn is one client connection and its connection to the server.
type proxiedConn struct {
	proxy   *streamProxy
	observe observer
	done    chan struct{} // closed when one side has ended
	endOnce sync.Once
}

func newProxiedConn(s *streamProxy) *proxiedConn {
	c := &proxiedConn{proxy: s, observe: func(Direction, []byte) {}, done: make(chan struct{})}
	if s.newObserver != nil {
		c.observe = s.newObserver()
	}
	return c
}

// end ends the connection's goroutines.
func (c *proxiedConn) end() { c.endOnce.Do(func() { close(c.done) }) }

// awaitForwarding waits while connections are half-open. It reports false after maxHalfOpen without a change.
func (c *proxiedConn) awaitForwarding() bool {
	for {
		forwards, changed := c.proxy.forwardsConnections()
		if forwards {
			return true
		}
		select {
		case <-changed:
		case <-time.After(maxHalfOpen):
			return false
		}
	}
}

// A piece is the result of one read of a stream.
type piece struct {
	data   []byte
	readAt time.Time
	err    error // the stream ended with it
}

// read queues what arrives until the stream ends. A full queue blocks the sender, as a network does.
func (c *proxiedConn) read(from net.Conn, queue chan<- piece, observe func([]byte)) {
	for {
		buffer := make([]byte, pieceBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			observe(buffer[:n])
		} else {
			observe(nil)
		}
		select {
		case queue <- piece{buffer[:n], time.Now(), err}:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}
