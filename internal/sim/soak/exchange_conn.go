package soak

import (
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"olivedale/internal/codec/sip"
)

const (
	// maxQueuedMessages bounds the messages for a controller that does not read.
	maxQueuedMessages = 4096
	readBufferBytes   = 64 << 10
	// settleTime is how long the input of a connection that could not be read must pause to be complete.
	settleTime = 5 * time.Millisecond
	// backlogTime is how long after a process continues its connections may have been opened while it was stopped.
	backlogTime = 100 * time.Millisecond
)

// An exchangeConn is a controller's connection to an exchange.
type exchangeConn struct {
	exchange   *exchange
	controller string
	conn       net.Conn
	out        chan []byte
	ended      chan struct{}
	isEnded    bool
	isSilent   bool // it leads to a process that vanished: nothing passes any more
	isReset    bool
	isBacklog  bool // it was opened while the process was stopped: what it brought by then is read at once
	isSpoilt   bool // an answer that cannot be read was sent: nothing that follows can be
}

// isUsable reports whether the connection can carry messages. exchange.mu is held.
func (c *exchangeConn) isUsable() bool { return !c.isEnded && !c.isSilent && !c.isReset && !c.isSpoilt }

// accept accepts connections until the listener is closed.
func (x *exchange) accept(controller string, l *listener) {
	for {
		conn, err := l.accept()
		if err != nil {
			return
		}
		c := &exchangeConn{
			exchange:   x,
			controller: controller,
			conn:       conn,
			out:        make(chan []byte, maxQueuedMessages),
			ended:      make(chan struct{}),
		}
		x.mu.Lock()
		c.isBacklog = x.awaitProcess() || time.Since(x.resumedAt) < backlogTime
		x.conns = append(x.conns, c)
		x.repeatReleases(c)
		x.mu.Unlock()
		go c.writeQueued()
		go c.serve()
	}
}

// send queues a message. exchange.mu is held.
func (c *exchangeConn) send(message []byte) {
	if !c.isUsable() {
		return
	}
	select {
	case c.out <- message:
	default:
		_ = c.conn.Close()
	}
}

// reset closes the connection with a TCP reset. exchange.mu is held.
func (c *exchangeConn) reset() {
	c.isReset = true
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
}

// awaitPassage waits until messages pass. It reports whether they ever do, and whether it had to wait.
func (c *exchangeConn) awaitPassage() (passes, waited bool) {
	for {
		c.exchange.mu.Lock()
		state, changed := c.exchange.state, c.exchange.changed
		isSilent, isReset := c.isSilent, c.isReset
		c.exchange.mu.Unlock()
		if isReset {
			return false, waited
		}
		if state.passesMessages() && !isSilent {
			return true, waited
		}
		waited = true
		select {
		case <-changed:
		case <-c.ended:
			return false, waited
		case <-c.exchange.done:
			return false, waited
		}
	}
}

// writeQueued writes the queue until the connection ends.
func (c *exchangeConn) writeQueued() {
	for {
		select {
		case message := <-c.out:
			if passes, _ := c.awaitPassage(); !passes {
				return
			}
			if _, err := c.conn.Write(message); err != nil {
				_ = c.conn.Close()
				return
			}
		case <-c.ended:
			return
		case <-c.exchange.done:
			return
		}
	}
}

// serve handles what the connection brings until it ends.
func (c *exchangeConn) serve() {
	var reader sip.Reader
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := c.conn.Read(buffer)
		input := slices.Clone(buffer[:n])
		passes, waited := c.awaitPassage()
		if (waited || c.isBacklog) && passes && err == nil {
			c.isBacklog = false
			var more []byte
			more, err = c.readPending(buffer)
			input = append(input, more...)
		}
		if err == nil && passes {
			err = c.handleInput(&reader, input)
		}
		if err != nil || !passes {
			break
		}
	}
	c.end()
}

// readPending reads what arrived while nothing passed. An error means that the connection has ended: what it brought
// before is given up with it.
func (c *exchangeConn) readPending(buffer []byte) (pending []byte, err error) {
	defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(settleTime))
		n, err := c.conn.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return pending, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// handleInput handles the messages of a piece of input. An INVITE that the same piece cancels has never been out.
func (c *exchangeConn) handleInput(reader *sip.Reader, input []byte) error {
	var messages []*sip.Message
	err := reader.Feed(input, func(m *sip.Message) bool {
		messages = append(messages, m)
		return true
	})
	canceled := make(map[string]bool)
	for _, m := range messages {
		if m.Method == "CANCEL" {
			canceled[m.CallID] = true
		}
	}
	c.exchange.mu.Lock()
	defer c.exchange.mu.Unlock()
	for _, m := range messages {
		if m.Method == "INVITE" && canceled[m.CallID] {
			c.send(response(statusRequestTerminated, m.CallID, m.CSeq, "INVITE", ""))
			continue
		}
		c.exchange.handle(c, m)
	}
	return err
}

// end forgets the connection.
func (c *exchangeConn) end() {
	_ = c.conn.Close()
	x := c.exchange
	x.mu.Lock()
	defer x.mu.Unlock()
	c.isEnded = true
	close(c.ended)
	x.conns = slices.DeleteFunc(x.conns, func(other *exchangeConn) bool { return other == c })
	x.connectionLost(c)
	if other := x.latestConn(c.controller); other != nil {
		x.repeatReleases(other) // those that were written to a connection that had ended
	}
}
