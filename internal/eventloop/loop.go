// Package eventloop wraps gnet's event loop for the rest of the program: the clock, writes that are batched until
// the end of an iteration, deferred functions, the timer, buffered connections and idle lists. It is independent of
// protocols.
//
// All state of this package and of the code built on it belongs to one goroutine, the event loop, which never blocks.
// Work that has to block, or that gnet does not run on the loop, runs on separate goroutines, which pass their results
// to the loop by [Loop.Execute]: dials, because gnet dials without a timeout, and the timer, because gnet's own ticker
// runs concurrently with the loop.
package eventloop

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	gneterrors "github.com/panjf2000/gnet/v2/pkg/errors"
	"go.uber.org/zap"
)

// maxIdleBuffer is the capacity in bytes above which a connection's write buffer is freed after a flush, so that a
// burst does not keep memory allocated.
const maxIdleBuffer = 64 << 10

// initialTimeout is the timer's timeout until the first call of SetTimer.
const initialTimeout = time.Hour

// A Loop is the state shared by all connections of the event loop. Its methods must be called on the loop's
// goroutine, except Execute, ExecuteIteration and Enroll, which are safe for concurrent use.
type Loop struct {
	// Log is the program's log.
	Log *zap.SugaredLogger
	// MaxUnreadOutput is the maximum number of unread output bytes of a connection for which
	// Conn.LimitUnreadOutput is set.
	MaxUnreadOutput int
	// AfterIteration is called at the end of each iteration. It may be nil.
	AfterIteration func()

	engine      gnet.EventLoop // nil until Attach
	timer       *time.Timer    // nil until StartTimer
	clock       clock
	dirty       []*Conn  // connections that have output or are closing
	deferred    []func() // functions to run before the end of the iteration
	inIteration bool
}

// A clock returns the Unix time.
type clock struct {
	system func() time.Time
	origin time.Time     // when the loop was created, on the monotonic clock
	start  time.Duration // Unix time when the loop was created
}

// New returns a loop whose clock starts at the current time of the system clock.
func New(log *zap.Logger, system func() time.Time) *Loop {
	return &Loop{
		Log: log.Sugar(),
		clock: clock{
			system: system,
			origin: time.Now(),
			start:  time.Duration(system().UnixNano()),
		},
	}
}

// Attach binds the loop to gnet's event loop, which gnet exposes only through its connections.
func (l *Loop) Attach(engine gnet.EventLoop) { l.engine = engine }

// IsAttached reports whether Attach has been called.
func (l *Loop) IsAttached() bool { return l.engine != nil }

// Now returns the Unix time at the creation of the loop plus the time elapsed on the monotonic clock. A step of the
// system clock must not make all calls miss their deadlines.
func (l *Loop) Now() time.Duration { return l.clock.start + time.Since(l.clock.origin) }

// StartTime returns the Unix time at which the loop was created.
func (l *Loop) StartTime() time.Duration { return l.clock.start }

// SystemTime returns the current Unix time of the system clock.
func (l *Loop) SystemTime() time.Duration { return time.Duration(l.clock.system().UnixNano()) }

// Enroll registers a connection that was dialed outside of the loop. The loop then calls OnOpen with connContext as
// the context of the connection. Enroll is safe for concurrent use once the loop is attached.
func (l *Loop) Enroll(c net.Conn, connContext any) error {
	_, err := l.engine.Enroll(gnet.NewContext(context.Background(), connContext), c)
	return err
}

// CloseSocket closes a socket immediately.
func (l *Loop) CloseSocket(c gnet.Conn) { _ = l.engine.Close(c) }

// runnable adapts a function to gnet.Runnable.
type runnable func()

// Run implements gnet.Runnable.
func (r runnable) Run(context.Context) error {
	r()
	return nil
}

// Execute runs f on the event loop.
func (l *Loop) Execute(f func()) {
	err := l.engine.Execute(context.Background(), runnable(f))
	if err != nil && !errors.Is(err, gneterrors.ErrEngineInShutdown) {
		l.Log.Warnw("exec_failed", "err", err)
	}
}

// ExecuteIteration runs f on the event loop as an iteration.
func (l *Loop) ExecuteIteration(f func()) {
	l.Execute(func() { l.RunIteration(f) })
}

// RunIteration runs f as one iteration of the loop: after f it runs the deferred functions, writes the output and calls
// AfterIteration. A nested iteration, such as for a close caused by a failed write, becomes part of the outer one.
func (l *Loop) RunIteration(f func()) {
	if l.inIteration {
		f()
		return
	}
	l.inIteration = true
	f()
	for len(l.deferred) > 0 || len(l.dirty) > 0 {
		deferred := l.deferred
		l.deferred = nil
		for _, run := range deferred {
			run()
		}
		if len(l.deferred) == 0 {
			l.Flush()
		}
	}
	l.inIteration = false
	if l.AfterIteration != nil {
		l.AfterIteration()
	}
}

// InIteration reports whether an iteration is running.
func (l *Loop) InIteration() bool { return l.inIteration }

// Defer runs f later in the current iteration, before the output is written.
func (l *Loop) Defer(f func()) { l.deferred = append(l.deferred, f) }

// StartTimer starts the timer, which runs f on the loop whenever it expires. SetTimer sets its expiry.
func (l *Loop) StartTimer(f func()) {
	l.timer = time.AfterFunc(initialTimeout, func() { l.Execute(f) })
}

// SetTimer makes the timer expire at the given time, or immediately if that time has passed. It does nothing before
// StartTimer.
func (l *Loop) SetTimer(at time.Duration) {
	if l.timer != nil {
		l.timer.Reset(max(at-l.Now(), 0))
	}
}

// Write appends to the output of a connection. The function write appends to the given buffer and returns the result.
func (l *Loop) Write(c *Conn, write func([]byte) []byte) {
	if c.state != Open {
		return
	}
	c.output = write(c.output)
	l.markDirty(c)
}

// Close closes a connection at the end of the iteration, after its pending output has been written.
func (l *Loop) Close(c *Conn) {
	if c.state != Open {
		return
	}
	c.state = Closing
	l.markDirty(c)
}

func (l *Loop) markDirty(c *Conn) {
	if !c.isDirty {
		c.isDirty = true
		l.dirty = append(l.dirty, c)
	}
}

// Flush writes the output of the iteration. A failed write closes its connection, and closing it may add output to
// other connections, so the list can grow during the loop.
func (l *Loop) Flush() {
	for i := 0; i < len(l.dirty); i++ {
		l.flush(l.dirty[i])
	}
	clear(l.dirty)
	l.dirty = l.dirty[:0]
}

func (l *Loop) flush(c *Conn) {
	c.isDirty = false
	output := c.output
	c.output = c.output[:0]
	if c.state == Closed {
		return
	}
	if len(output) > 0 {
		if _, err := c.socket.Write(output); err != nil {
			return // gnet has called OnClose
		}
	}
	c.unflushedIDs = c.unflushedIDs[:0]
	if c.limitsUnreadOutput && c.state != Closed && c.socket.OutboundBuffered() > l.MaxUnreadOutput {
		c.state = Closing // limits the memory used by a peer that sends requests and does not read
	}
	if cap(c.output) > maxIdleBuffer {
		c.output, c.unflushedIDs = nil, nil
	}
	if c.state == Closing {
		_ = c.socket.EventLoop().Close(c.socket) // gnet then calls OnClose
	}
}
