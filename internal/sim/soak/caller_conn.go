package soak

import (
	"errors"
	"net"
	"sync"
	"time"

	"olivedale/internal/codec/jsonl"
	"olivedale/internal/sim/invariant"
)

const (
	callerDialTimeout  = time.Second
	callerWriteTimeout = time.Second
	// crossingTime bounds the age of a set-up that crossed the close of its connection. Such a set-up is resent.
	crossingTime = 50 * time.Millisecond
	// Slow writers send chunks of up to maxChunk bytes with pauses of up to maxChunkPause between them.
	maxChunk      = 40
	maxChunkPause = 4 * time.Millisecond
)

var errNoConnection = errors.New("no connection may be opened now")

// A callerConn is a connection of callers to a controller.
type callerConn struct {
	callers    *callers
	conn       net.Conn
	generation int // of the controller's process

	mu             sync.Mutex // also held while writing
	isClosed       bool
	closedByCaller bool
}

// dial opens a connection.
func (k *callers) dial() (*callerConn, error) {
	conn, err := net.DialTimeout("tcp", k.controller.listen, callerDialTimeout)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	c := &callerConn{callers: k, conn: conn, generation: k.generation}
	k.mu.Unlock()
	go c.read()
	return c, nil
}

// anyConnection returns an open connection, or opens one.
func (k *callers) anyConnection() (*callerConn, error) {
	k.mu.Lock()
	for _, conn := range k.conns {
		if conn != nil && conn.isOpen() {
			k.mu.Unlock()
			return conn, nil
		}
	}
	isPaused := k.isPaused
	k.mu.Unlock()
	if isPaused {
		return nil, errNoConnection
	}
	return k.dial()
}

func (c *callerConn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isClosed
}

func (c *callerConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closedByCaller = c.closedByCaller || !c.isClosed
	c.isClosed = true
	_ = c.conn.Close()
}

// A chunking says how a message is written: first in chunks with pauses, then the rest at once.
type chunking struct {
	lengths []int
	pauses  []time.Duration
}

// randomChunking returns a random chunking for a slow writer. callers.mu is held.
func (k *callers) randomChunking(length int) (result chunking) {
	for length > maxChunk {
		chunk := 1 + k.rng.IntN(maxChunk)
		length -= chunk
		result.lengths = append(result.lengths, chunk)
		result.pauses = append(result.pauses, time.Duration(k.rng.Int64N(int64(maxChunkPause))))
	}
	return result
}

// write writes a message in one piece.
func (c *callerConn) write(message []byte) { c.writeChunked(chunking{}, message) }

// writeChunked writes a message in chunks.
func (c *callerConn) writeChunked(how chunking, message []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	for i, length := range how.lengths {
		if _, err := c.conn.Write(message[:length]); err != nil {
			return
		}
		message = message[length:]
		time.Sleep(how.pauses[i])
	}
	_, _ = c.conn.Write(message)
}

// read handles what the controller sends until the connection ends.
func (c *callerConn) read() {
	var reader jsonl.Reader
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := c.conn.Read(buffer)
		if err == nil {
			err = reader.Feed(buffer[:n], func(m *jsonl.Message) bool {
				c.handle(m)
				return true
			})
		}
		if err != nil {
			break
		}
	}
	c.mu.Lock()
	c.isClosed = true
	c.mu.Unlock()
	_ = c.conn.Close()
	c.callers.connectionLost(c)
}

func (c *callerConn) handle(m *jsonl.Message) {
	k := c.callers
	k.mu.Lock()
	call := k.calls[m.Tag]
	k.mu.Unlock()
	switch {
	case m.Verb == jsonl.Started && call != nil:
		k.established(call, m)
	case m.Verb == jsonl.Finish:
		k.ended(c, call, m)
	}
}

// established handles the final answer that a call is established.
func (k *callers) established(c *callerCall, m *jsonl.Message) {
	k.mu.Lock()
	wasOpen := k.calls[c.id] == c && !c.isEstablished
	c.isEstablished = true
	server, attempt, isGenuine := parseDescription(string(m.Blob), c.id)
	c.server = server
	hangsUp := k.rng.Float64() < callerReleaseShare
	hold := minHold + time.Duration(k.rng.ExpFloat64()*float64(k.run.plan.Deployment.MeanHold)/2)
	closesConn := k.rng.Float64() < closeAfterAnswerShare && !k.isPersistent(c.conn)
	k.mu.Unlock()
	k.run.monitor.record(invariant.Event{
		Kind: invariant.CallEstablished, Controller: c.controller, Call: c.id, Server: server, Attempt: attempt,
	})
	if !wasOpen {
		return
	}
	if !isGenuine {
		k.run.monitor.reportViolation(RuleAnswerGenuine, c.controller, c.id,
			"established with description %q, which no exchange sent for this call", m.Blob)
	}
	if hangsUp {
		c.after(k, hold, func() { k.hangUp(c) })
	}
	if closesConn {
		c.conn.close()
	}
}

// isPersistent reports whether a connection is one of the shared ones. callers.mu is held.
func (k *callers) isPersistent(conn *callerConn) bool {
	for _, other := range k.conns {
		if other == conn {
			return true
		}
	}
	return false
}

// ended handles a rejection or a release.
func (k *callers) ended(conn *callerConn, c *callerCall, m *jsonl.Message) {
	k.mu.Lock()
	confirms := k.rng.Float64() < confirmShare
	redials := c != nil && c.redials < maxRedials && k.rng.Float64() < redialShare
	k.mu.Unlock()
	if confirms {
		conn.write(jsonl.Append(nil, &jsonl.Message{Verb: jsonl.Finished, Tag: m.Tag}))
	}
	if c == nil {
		return
	}
	if k.remove(c, true) {
		k.record(invariant.CallerNotified, c, 0)
		if k.run.isEstablishedAt(c.id, c.server) {
			k.run.monitor.countCut()
		}
		return
	}
	if !k.remove(c, false) {
		return
	}
	k.record(invariant.CallRejected, c, 0)
	if redials {
		go k.place(c.redials + 1)
	}
}

// connectionLost handles the end of a connection, on which answers may still be due.
func (k *callers) connectionLost(conn *callerConn) {
	conn.mu.Lock()
	byCaller := conn.closedByCaller
	conn.mu.Unlock()
	k.mu.Lock()
	if conn.generation != k.generation {
		k.mu.Unlock()
		return
	}
	var open []*callerCall
	for _, c := range k.calls {
		if c.conn == conn && !c.isEstablished {
			open = append(open, c)
		}
	}
	k.mu.Unlock()
	for _, c := range open {
		if byCaller {
			k.abandon(c)
		} else {
			k.answerLost(c)
		}
	}
}

// answerLost handles a set-up whose connection the controller closed without an answer. A set-up that crossed the close
// is resent once.
func (k *callers) answerLost(c *callerCall) {
	age := time.Since(c.sentAt)
	if age < crossingTime+clockSlack && !c.wasResent {
		if conn, err := k.dial(); err == nil {
			k.mu.Lock()
			c.conn = conn
			c.wasResent = true
			k.mu.Unlock()
			conn.write(c.start())
			return
		}
		if k.remove(c, false) { // the controller has ended: the caller turns to another one
			k.record(invariant.CallAbandoned, c, 0)
		}
		return
	}
	if k.remove(c, false) {
		k.record(invariant.CallAbandoned, c, 0)
		k.run.monitor.reportViolation(RuleAnswerLost, c.controller, c.id,
			"the connection ended without an answer %v after the set-up", age.Round(time.Millisecond))
	}
}
