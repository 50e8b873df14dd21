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
	Closing       // will be closed at the end of the iteration
	Closed        // the socket is closed
)

// String returns the name of the state.
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

// InputTimeout is the time within which a client's connection must deliver its first complete message, or the rest of
// a later message while no call is open on the connection.
const InputTimeout = 2 * time.Second

// A Conn is a connection with buffered output, which is written at the end of each iteration of the loop.
type Conn struct {
	socket             gnet.Conn
	output             []byte
	unflushedIDs       []string // see TrackUntilFlushed
	state              State
	isDirty            bool // whether it is in the loop's list of connections to flush
	limitsUnreadOutput bool
	input              inputProgress
}

// An inputProgress tracks the messages received on a connection.
type inputProgress struct {
	openedAt     time.Duration
	hasMessage   bool          // a complete message has been received
	partialSince time.Duration // when the current partial message started; 0 if there is none
}

// NewConn returns a connection for a socket opened at time now.
func NewConn(socket gnet.Conn, now time.Duration) *Conn {
	return &Conn{socket: socket, input: inputProgress{openedAt: now}}
}

// LimitUnreadOutput sets whether the connection is closed if its peer leaves more than Loop.MaxUnreadOutput bytes
// unread.
func (c *Conn) LimitUnreadOutput(limit bool) { c.limitsUnreadOutput = limit }

// Socket returns the connection's socket.
func (c *Conn) Socket() gnet.Conn { return c.socket }

// State returns the connection's state.
func (c *Conn) State() State { return c.state }

// IsOpen reports whether the connection is neither closed nor closing.
func (c *Conn) IsOpen() bool { return c.state == Open }

// MarkClosed records that the socket is closed. Unwritten output is discarded.
func (c *Conn) MarkClosed() { c.state = Closed }

// PendingOutput returns the output of the current iteration that has not been written yet.
func (c *Conn) PendingOutput() []byte { return c.output }

// DiscardPendingOutput discards the output of the current iteration that has not been written yet.
func (c *Conn) DiscardPendingOutput() { c.output = c.output[:0] }

// HasUnreadOutput reports whether written output is still buffered because the peer has not read it.
func (c *Conn) HasUnreadOutput() bool { return c.state == Open && c.socket.OutboundBuffered() > 0 }

// TrackUntilFlushed stores the identifier of a message in the output until the output is written.
func (c *Conn) TrackUntilFlushed(id string) { c.unflushedIDs = append(c.unflushedIDs, id) }

// UnflushedIDs returns the tracked identifiers whose output has not been written.
func (c *Conn) UnflushedIDs() []string { return c.unflushedIDs }

// RecordInput records that received data completed a message, ended with a partial message, or both.
func (c *Conn) RecordInput(now time.Duration, complete, partial bool) {
	p := &c.input
	p.hasMessage = p.hasMessage || complete
	switch {
	case !partial:
		p.partialSince = 0
	case p.partialSince == 0 || complete:
		// A completed message restarts the timer, or data that always ends with the start of another message
		// would look like a single stalled message.
		p.partialSince = now
	}
}

// IsStalledMidMessage reports whether a partial message has been incomplete for longer than limit.
func (c *Conn) IsStalledMidMessage(now, limit time.Duration) bool {
	return c.input.partialSince > 0 && now-c.input.partialSince > limit
}

// HasPartialMessage reports whether a message has been received in part.
func (c *Conn) HasPartialMessage() bool { return c.input.partialSince > 0 }

// HasSentMessage reports whether the peer has sent a complete message.
func (c *Conn) HasSentMessage() bool { return c.input.hasMessage }

// Age returns the time since the connection was opened.
func (c *Conn) Age(now time.Duration) time.Duration { return now - c.input.openedAt }

// IsOverdue reports whether the connection has sent no complete message within InputTimeout of being opened, or has
// stalled in the middle of a message for longer than InputTimeout. A connection that has sent a complete message may
// stay idle indefinitely.
func (c *Conn) IsOverdue(now time.Duration) bool {
	if !c.input.hasMessage && c.Age(now) > InputTimeout {
		return true
	}
	return c.IsStalledMidMessage(now, InputTimeout)
}
