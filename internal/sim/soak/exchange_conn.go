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
	// maxQueuedMessages bounds the queue for a controller that does not read.
	maxQueuedMessages = 4096
	readBufferBytes   = 64 << 10
	// quietTime is the period without further input after which readPending returns: all input that arrived while the
	// connection was not read has then been read.
	quietTime = 5 * time.Millisecond
	// backlogTime is how long after a process continues an accepted connection counts as opened while it was stopped.
	backlogTime = 100 * time.Millisecond
)

var errNoTraffic = errors.New("the connection carries no messages any more")

// An exchangeConn is a controller's connection to an exchange.
type exchangeConn struct {
	exchange      *exchange
	controller    string
	conn          net.Conn
	out           chan queuedMessage
	ended         chan struct{}
	isEnded       bool
	isBlackholed  bool // its process vanished: it never carries messages again
	isReset       bool
	isFromBacklog bool      // it was opened while the process was stopped: the input until then is read at once
	sentMalformed bool      // a malformed answer was sent: nothing after it can be parsed
	receivedAt    time.Time // time of the latest input; used by the goroutine that serves only
}

// A queuedMessage waits to be written.
type queuedMessage struct {
	text []byte
	// onWritten is called when the message was written without waiting for the exchange's process or for the network;
	// nil: no call.
	onWritten func()
}

// isUsable reports whether the connection can carry messages. exchange.mu is held.
func (c *exchangeConn) isUsable() bool {
	return !c.isEnded && !c.isBlackholed && !c.isReset && !c.sentMalformed
}

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
			out:        make(chan queuedMessage, maxQueuedMessages),
			ended:      make(chan struct{}),
		}
		x.mu.Lock()
		c.isFromBacklog = x.awaitProcess() || time.Since(x.resumedAt) < backlogTime
		x.conns = append(x.conns, c)
		x.resendReleases(c)
		x.mu.Unlock()
		go c.writeQueued()
		go c.serve()
	}
}

// send queues a message. exchange.mu is held.
func (c *exchangeConn) send(message []byte) { c.queue(queuedMessage{text: message}) }

// queue queues a message. exchange.mu is held.
func (c *exchangeConn) queue(m queuedMessage) {
	if !c.isUsable() {
		return
	}
	select {
	case c.out <- m:
		c.trace(stepQueued, m.text)
	default:
		_ = c.conn.Close()
	}
}

// trace records a step of messages on the connection.
func (c *exchangeConn) trace(step traceStep, text []byte) {
	c.exchange.trace.record(step, c.exchange.id, c.controller, text)
}

// reset closes the connection with a TCP reset. exchange.mu is held.
func (c *exchangeConn) reset() {
	c.isReset = true
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
}

// awaitTraffic waits until the connection carries messages. It reports whether it can, and whether it had to wait.
func (c *exchangeConn) awaitTraffic() (passes, waited bool) {
	for {
		c.exchange.mu.Lock()
		state, changed := c.exchange.state, c.exchange.changed
		isBlackholed, isReset := c.isBlackholed, c.isReset
		c.exchange.mu.Unlock()
		if isReset {
			return false, waited
		}
		if state.carriesTraffic() && !isBlackholed {
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

// writeQueued writes queued messages until the connection ends.
func (c *exchangeConn) writeQueued() {
	for {
		select {
		case m := <-c.out:
			if !c.writeMessage(m) {
				return
			}
		case <-c.ended:
			return
		case <-c.exchange.done:
			return
		}
	}
}

// writeMessage writes a message once the connection carries messages. It reports false if it never will again.
func (c *exchangeConn) writeMessage(m queuedMessage) bool {
	passes, waited := c.awaitTraffic()
	if waited {
		c.trace(stepHeld, m.text)
	}
	if !passes {
		return false
	}
	if _, err := c.conn.Write(m.text); err != nil {
		_ = c.conn.Close()
		return false
	}
	c.trace(stepWritten, m.text)
	if m.onWritten != nil && !waited {
		m.onWritten()
	}
	return true
}

// serve handles the input of the connection until it ends.
func (c *exchangeConn) serve() {
	var reader sip.Reader
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := c.conn.Read(buffer)
		c.receivedAt = time.Now()
		input := slices.Clone(buffer[:n])
		c.trace(stepReceived, input)
		if err != nil || c.process(&reader, input, buffer) != nil {
			break
		}
	}
	c.end()
}

// process handles input once the connection carries messages, together with the input that arrived meanwhile. An error
// means that the connection has ended or that the input cannot be parsed.
func (c *exchangeConn) process(reader *sip.Reader, input, buffer []byte) error {
	for {
		passes, waited := c.awaitTraffic()
		if !passes {
			return errNoTraffic
		}
		if waited || c.isFromBacklog {
			c.isFromBacklog = false
			more, err := c.readPending(buffer)
			if err != nil {
				return err
			}
			input = append(input, more...)
		}
		isHandled, err := c.handleInput(reader, input)
		if isHandled {
			return err
		}
	}
}

// readPending reads the input that arrived while the connection carried no messages. An error means that the connection
// has ended; its earlier input is discarded.
func (c *exchangeConn) readPending(buffer []byte) (pending []byte, err error) {
	defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(quietTime))
		n, err := c.conn.Read(buffer)
		if n > 0 {
			c.receivedAt = time.Now()
		}
		pending = append(pending, buffer[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return pending, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// handleInput handles the messages of an input, unless the connection carries no messages now; then isHandled is false
// and the input counts as unread. An INVITE that is canceled in the same input is not recorded as an attempt.
func (c *exchangeConn) handleInput(reader *sip.Reader, input []byte) (isHandled bool, err error) {
	c.exchange.mu.Lock()
	defer c.exchange.mu.Unlock()
	if !c.exchange.state.carriesTraffic() || c.isBlackholed {
		return false, nil
	}
	var messages []*sip.Message
	err = reader.Feed(input, func(m *sip.Message) bool {
		messages = append(messages, m)
		return true
	})
	canceled := make(map[string]bool)
	for _, m := range messages {
		if m.Method == "CANCEL" {
			canceled[m.CallID] = true
		}
	}
	c.trace(stepHandled, input)
	for _, m := range messages {
		if m.Method == "INVITE" && canceled[m.CallID] {
			c.send(response(statusRequestTerminated, m.CallID, m.CSeq, "INVITE", ""))
			continue
		}
		c.exchange.handle(c, m)
	}
	return true, err
}

// end removes the connection.
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
		x.resendReleases(other) // some may have been written to this connection after its end
	}
}
