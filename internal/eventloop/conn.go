package eventloop

import (
	"time"

	"github.com/panjf2000/gnet/v2"
)

// A State is the state of a connection.
type State int

// The states of a connection.
const (
	Open    State = iota
	Closing       // to be closed at the end of the iteration
	Closed        // the socket is closed
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Open:
		return "open"
	case Closing:
		return "closing"
	case Closed:
		return "closed"
	}
	return "unknown"
}

// InputTimeout is how long a client's connection may take for its first complete message, or for the rest of a later
// one while no call is open on it.
const InputTimeout = 2 * time.Second

// A Conn is a buffered connection. The output of one iteration of the loop is written when the iteration ends.
type Conn struct {
	socket             gnet.Conn
	output             []byte
	unflushedIDs       []string // see TrackUntilFlushed
	state              State
	isDirty            bool // on the loop's list of connections to flush
	limitsUnreadOutput bool
	input              inputProgress
}

// An inputProgress is what is known of the messages that a connection has brought.
type inputProgress struct {
	openedAt     time.Duration
	hasMessage   bool          // a complete message has come
	partialSince time.Duration // since when part of a message waits for the rest, 0: none does
}

// NewConn returns a connection on a socket that was opened now.
func NewConn(socket gnet.Conn, now time.Duration) *Conn {
	return &Conn{socket: socket, input: inputProgress{openedAt: now}}
}

// LimitUnread sets whether the connection is closed for output that it does not read.
func (c *Conn) LimitUnread(limit bool) { c.limitsUnreadOutput = limit }

// Socket returns the connection's socket.
func (c *Conn) Socket() gnet.Conn { return c.socket }

// State returns the connection's state.
func (c *Conn) State() State { return c.state }

// IsOpen reports whether the connection is neither closed nor about to be.
func (c *Conn) IsOpen() bool { return c.state == Open }

// MarkClosed notes that the socket is closed. Output that is not written is dropped.
func (c *Conn) MarkClosed() { c.state = Closed }

// PendingOutput returns the output that the current iteration has not written yet.
func (c *Conn) PendingOutput() []byte { return c.output }

// DiscardPendingOutput drops the output that the current iteration has not written yet.
func (c *Conn) DiscardPendingOutput() { c.output = c.output[:0] }

// HasUnreadOutput reports whether written output waits for the peer to read.
func (c *Conn) HasUnreadOutput() bool { return c.state == Open && c.socket.OutboundBuffered() > 0 }

// TrackUntilFlushed remembers an identifier of what was appended to the output until that is written.
func (c *Conn) TrackUntilFlushed(id string) { c.unflushedIDs = append(c.unflushedIDs, id) }

// UnflushedIDs returns the tracked identifiers whose output has not been written.
func (c *Conn) UnflushedIDs() []string { return c.unflushedIDs }

// RecordInput notes what a piece of input has brought: a complete message, part of one, or both.
func (c *Conn) RecordInput(now time.Duration, complete, partial bool) {
	p := &c.input
	p.hasMessage = p.hasMessage || complete
	switch {
	case !partial:
		p.partialSince = 0
	case p.partialSince == 0 || complete:
		// Otherwise pieces that each end within the next message would look like one message that stopped.
		p.partialSince = now
	}
}

// IsStalledMidMessage reports whether part of a message has waited for the rest for longer than a limit.
func (c *Conn) IsStalledMidMessage(now, limit time.Duration) bool {
	return c.input.partialSince > 0 && now-c.input.partialSince > limit
}

// HasPartialMessage reports whether part of a message waits for the rest.
func (c *Conn) HasPartialMessage() bool { return c.input.partialSince > 0 }

// HasSentMessage reports whether the peer has sent a complete message.
func (c *Conn) HasSentMessage() bool { return c.input.hasMessage }

// Age returns how long the connection has been open.
func (c *Conn) Age(now time.Duration) time.Duration { return now - c.input.openedAt }

// IsOverdue reports whether the connection has been silent since it was opened, or has stopped within a message, for
// longer than InputTimeout. One that has sent a complete message may stay for good.
func (c *Conn) IsOverdue(now time.Duration) bool {
	if !c.input.hasMessage && c.Age(now) > InputTimeout {
		return true
	}
	return c.IsStalledMidMessage(now, InputTimeout)
}
