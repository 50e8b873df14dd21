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
	// crossingTime is how long before the end of its connection a set-up may have been sent that is sent again.
	crossingTime = 50 * time.Millisecond
	// Slow writers send pieces of up to maxPiece bytes with up to maxPause in between.
	maxPiece = 40
	maxPause = 4 * time.Millisecond
)

var errNoConnection = errors.New("no connection may be opened")

// A callerConn is a connection of callers to a controller.
type callerConn struct {
	callers    *callers
	conn       net.Conn
	generation int // of the process it leads to

	mu             sync.Mutex // one writer at a time
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

// A pace is how a message is written: in pieces with pauses, the rest at once.
type pace struct {
	lengths []int
	pauses  []time.Duration
}

// drawPace draws the pace of a slow writer. callers.mu is held.
func (k *callers) drawPace(length int) (p pace) {
	for length > maxPiece {
		piece := 1 + k.rng.IntN(maxPiece)
		length -= piece
		p.lengths = append(p.lengths, piece)
		p.pauses = append(p.pauses, time.Duration(k.rng.Int64N(int64(maxPause))))
	}
	return p
}

// write writes a message at once.
func (c *callerConn) write(message []byte) { c.writeAt(pace{}, message) }

// writeAt writes a message at a pace.
func (c *callerConn) writeAt(p pace, message []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	for i, length := range p.lengths {
		if _, err := c.conn.Write(message[:length]); err != nil {
			return
		}
		message = message[length:]
		time.Sleep(p.pauses[i])
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

// established handles the final answer of a call that is established.
func (k *callers) established(c *callerCall, m *jsonl.Message) {
	k.mu.Lock()
	wasOpen := k.calls[c.id] == c && !c.isEstablished
	c.isEstablished = true
	server, attempt, isGenuine := parseDescription(string(m.Blob), c.id)
	c.server = server
	hangsUp := k.rng.Float64() < hangUpShare
	hold := minHold + time.Duration(k.rng.ExpFloat64()*float64(k.run.story.Deployment.MeanHold)/2)
	leaves := k.rng.Float64() < leavingShare && !k.isPersistent(c.conn)
	k.mu.Unlock()
	k.run.judge.record(invariant.Event{
		Kind: invariant.CallEstablished, Controller: c.controller, Call: c.id, Server: server, Attempt: attempt,
	})
	if !wasOpen {
		return
	}
	if !isGenuine {
		k.run.judge.violate(RuleAnswerGenuine, c.controller, c.id,
			"established with %q, which no exchange sent for it", m.Blob)
	}
	if hangsUp {
		c.after(k, hold, func() { k.hangUp(c) })
	}
	if leaves {
		c.conn.close()
	}
}

// isPersistent reports whether a connection is shared. callers.mu is held.
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
		if k.run.standsAtExchange(c.id, c.server) {
			k.run.judge.recordCut()
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

// connectionLost handles the end of a connection, which may owe answers.
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
			k.leave(c)
		} else {
			k.answerLost(c)
		}
	}
}

// answerLost handles a set-up whose connection the controller has closed without an answer. One that crossed the close
// is sent once more.
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
		if k.remove(c, false) { // nobody is there any more: the caller goes elsewhere
			k.record(invariant.CallAbandoned, c, 0)
		}
		return
	}
	if k.remove(c, false) {
		k.record(invariant.CallAbandoned, c, 0)
		k.run.judge.violate(RuleAnswerLost, c.controller, c.id,
			"the connection ended %v after the set-up, without an answer", age.Round(time.Millisecond))
	}
}
