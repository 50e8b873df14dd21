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

var errNothingPasses = errors.New("nothing passes on the connection any more")

// An exchangeConn is a controller's connection to an exchange.
type exchangeConn struct {
	exchange   *exchange
	controller string
	conn       net.Conn
	out        chan queuedMessage
	ended      chan struct{}
	isEnded    bool
	isSilent   bool // it leads to a process that vanished: nothing passes any more
	isReset    bool
	isBacklog  bool      // it was opened while the process was stopped: what it brought by then is read at once
	isSpoilt   bool      // an answer that cannot be read was sent: nothing that follows can be
	receivedAt time.Time // of the latest input; of the goroutine that serves
}

// A queuedMessage waits to be written.
type queuedMessage struct {
	text []byte
	// onWritten is called once the message has been written without waiting for the exchange's process or for the
	// network; nil: nothing is.
	onWritten func()
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
			out:        make(chan queuedMessage, maxQueuedMessages),
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
func (c *exchangeConn) send(message []byte) { c.queue(queuedMessage{text: message}) }

// queue queues a message. exchange.mu is held.
func (c *exchangeConn) queue(m queuedMessage) {
	if !c.isUsable() {
		return
	}
	select {
	case c.out <- m:
		c.note(stepQueued, m.text)
	default:
		_ = c.conn.Close()
	}
}

// note lists a step of messages on the connection.
func (c *exchangeConn) note(step traceStep, text []byte) {
	c.exchange.trace.note(step, c.exchange.id, c.controller, text)
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

// writeMessage writes a message once messages pass; false: the connection can carry none any more.
func (c *exchangeConn) writeMessage(m queuedMessage) bool {
	passes, waited := c.awaitPassage()
	if waited {
		c.note(stepHeld, m.text)
	}
	if !passes {
		return false
	}
	if _, err := c.conn.Write(m.text); err != nil {
		_ = c.conn.Close()
		return false
	}
	c.note(stepWritten, m.text)
	if m.onWritten != nil && !waited {
		m.onWritten()
	}
	return true
}

// serve handles what the connection brings until it ends.
func (c *exchangeConn) serve() {
	var reader sip.Reader
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := c.conn.Read(buffer)
		c.receivedAt = time.Now()
		input := slices.Clone(buffer[:n])
		c.note(stepReceived, input)
		if err != nil || c.process(&reader, input, buffer) != nil {
			break
		}
	}
	c.end()
}

// process handles a piece of input once messages pass, with all that has come meanwhile. An error means that the
// connection has ended or that the input cannot be read.
func (c *exchangeConn) process(reader *sip.Reader, input, buffer []byte) error {
	for {
		passes, waited := c.awaitPassage()
		if !passes {
			return errNothingPasses
		}
		if waited || c.isBacklog {
			c.isBacklog = false
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

// readPending reads what arrived while nothing passed. An error means that the connection has ended: what it brought
// before is given up with it.
func (c *exchangeConn) readPending(buffer []byte) (pending []byte, err error) {
	defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(settleTime))
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

// handleInput handles the messages of a piece of input, unless nothing passes any more: then nothing of it has been
// read. An INVITE that the same piece cancels has never been out.
func (c *exchangeConn) handleInput(reader *sip.Reader, input []byte) (isHandled bool, err error) {
	c.exchange.mu.Lock()
	defer c.exchange.mu.Unlock()
	if !c.exchange.state.passesMessages() || c.isSilent {
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
	c.note(stepHandled, input)
	for _, m := range messages {
		if m.Method == "INVITE" && canceled[m.CallID] {
			c.send(response(statusRequestTerminated, m.CallID, m.CSeq, "INVITE", ""))
			continue
		}
		c.exchange.handle(c, m)
	}
	return true, err
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
