// Package eventloop wraps gnet's event loop for the rest of the program: the clock, writes that are batched until
// the end of an iteration, deferred functions, the timer, buffered connections and idle lists. It knows no protocol.
//
// One goroutine, the event loop, owns everything here and everything that is built on it, and never blocks. Work that
// has to block or that gnet does elsewhere runs on goroutines of its own and hands its result to the loop by
// [Loop.Execute]: dials, because gnet dials without a timeout, and the timer, because gnet's own ticker runs beside
// the loop.
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

// maxIdleBuffer is the capacity in bytes from which a connection's write buffer is freed after a flush, so that a
// burst does not pin memory.
const maxIdleBuffer = 64 << 10

// initialTimeout is how long the timer waits before the first iteration sets it.
const initialTimeout = time.Hour

// A Loop is the state that all connections of the event loop share. Its methods belong to the loop's goroutine,
// except Execute and ExecuteIteration, which may be called from anywhere.
type Loop struct {
	// Log is the program's log.
	Log *zap.SugaredLogger
	// MaxUnread bounds the bytes that wait for a connection that LimitUnread applies to.
	MaxUnread int
	// AfterIteration runs at the end of each iteration; nil: nothing does.
	AfterIteration func()

	engine      gnet.EventLoop // nil until Attach
	timer       *time.Timer    // nil until StartTimer
	clock       clock
	dirty       []*Conn  // connections with output or to be closed at the end of the iteration
	deferred    []func() // functions to run before the end of the iteration
	inIteration bool
}

// A clock reads the Unix time.
type clock struct {
	system func() time.Time
	origin time.Time     // when the loop was made, on the monotonic clock
	start  time.Duration // the Unix time then
}

// New returns a loop whose clock starts at the time that the system's clock shows now.
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

// Attach binds the loop to gnet's, which gnet shows by a connection only.
func (l *Loop) Attach(engine gnet.EventLoop) { l.engine = engine }

// IsAttached reports whether Attach has been called.
func (l *Loop) IsAttached() bool { return l.engine != nil }

// Now returns the Unix time as read at the start and continued by the monotonic clock: a step of the system's clock
// must not make every call late.
func (l *Loop) Now() time.Duration { return l.clock.start + time.Since(l.clock.origin) }

// StartTime returns the Unix time at which the loop was made.
func (l *Loop) StartTime() time.Duration { return l.clock.start }

// SystemTime returns the Unix time that the system's clock shows now.
func (l *Loop) SystemTime() time.Duration { return time.Duration(l.clock.system().UnixNano()) }

// Enroll hands a connection that was dialled elsewhere to the loop. OnOpen follows with connContext as the
// connection's context. It may be called from anywhere once the loop is attached.
func (l *Loop) Enroll(c net.Conn, connContext any) error {
	_, err := l.engine.Enroll(gnet.NewContext(context.Background(), connContext), c)
	return err
}

// CloseSocket closes a socket at once.
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

// RunIteration runs f as one iteration of the loop: after f the deferred functions run, the output is written, and
// AfterIteration is called. An iteration within an iteration, such as a close by a failed write, is part of it.
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

// Defer runs f later in the same iteration, before its output is written.
func (l *Loop) Defer(f func()) { l.deferred = append(l.deferred, f) }

// StartTimer makes f run on the loop whenever the timer that SetTimer sets expires.
func (l *Loop) StartTimer(f func()) {
	l.timer = time.AfterFunc(initialTimeout, func() { l.Execute(f) })
}

// SetTimer makes the timer expire at a time, or at once if that has passed. It does nothing before StartTimer.
func (l *Loop) SetTimer(at time.Duration) {
	if l.timer != nil {
		l.timer.Reset(max(at-l.Now(), 0))
	}
}

// Write appends to the output of a connection; write gets the buffer and returns it longer.
func (l *Loop) Write(c *Conn, write func([]byte) []byte) {
	if c.state != Open {
		return
	}
	c.output = write(c.output)
	l.markDirty(c)
}

// Close closes a connection at the end of the iteration, behind the output it still has.
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

// Flush writes the output of the iteration. A write that fails closes its connection, which may write to others:
// hence the loop over a growing list.
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
	if c.limitsUnreadOutput && c.state != Closed && c.socket.OutboundBuffered() > l.MaxUnread {
		c.state = Closing // bounds the memory that a peer can take which asks and does not read
	}
	if cap(c.output) > maxIdleBuffer {
		c.output, c.unflushedIDs = nil, nil
	}
	if c.state == Closing {
		_ = c.socket.EventLoop().Close(c.socket) // OnClose does the rest
	}
}
