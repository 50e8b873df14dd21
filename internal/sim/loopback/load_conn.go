package loopback

import (
	"fmt"
	"net"
	"sync"
	"time"

	"olivedale/internal/codec/jsonl"
)

// Timeouts of the connections to controllers.
const (
	loadDialTimeout  = time.Second
	loadWriteTimeout = time.Second
)

// A loadConn is the shared connection of all callers to a controller. It is dialed when a message is sent.
type loadConn struct {
	load  *LoadGenerator
	index int // of the address in LoadGenerator.Addrs
	addr  string
	mu    sync.Mutex
	conn  net.Conn // nil: not connected
}

// send writes a message and dials a connection first if there is none.
func (c *loadConn) send(m *jsonl.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, loadDialTimeout)
		if err != nil {
			return fmt.Errorf("load: %w", err)
		}
		c.conn = conn
		go c.read(conn)
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(loadWriteTimeout))
	if _, err := c.conn.Write(jsonl.Append(nil, m)); err != nil {
		_ = c.conn.Close()
		c.conn = nil
		return fmt.Errorf("load: %w", err)
	}
	return nil
}

// read reads and handles the messages of a connection until it is closed.
func (c *loadConn) read(conn net.Conn) {
	var reader jsonl.Reader
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := conn.Read(buffer)
		if err == nil {
			err = reader.Feed(buffer[:n], func(m *jsonl.Message) bool {
				c.load.handle(c, m)
				return true
			})
		}
		if err != nil {
			break
		}
	}
	c.forget(conn)
	_ = conn.Close()
	c.load.loseOpenCalls(c)
}

// forget clears the current connection if it is conn, so that the next message dials a new one.
func (c *loadConn) forget(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
}

// close closes the connection, which ends its reader.
func (c *loadConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
