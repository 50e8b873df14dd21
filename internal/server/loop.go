// Package net joins the core to real sockets: gnet's event loop, the callers'
// connections, the links to the exchanges and the name service. One goroutine,
// the event loop, owns everything here, the core and the module; it never
// blocks. What has to block or is not gnet's runs elsewhere and hands its result
// in by Loop.exec: dials (gnet dials without a limit of time) and the timer
// (gnet's own ticker runs on a goroutine beside the loop).
package server

import (
	"context"
	"errors"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
)

// A stream is a connection of either side. Writes of one turn of the loop go out
// together when the turn ends.
type stream struct {
	c     gnet.Conn
	out   []byte
	dirty bool
	told  []string // calls of which out tells that they stand
	shut  bool     // closed, or to be closed when the turn ends
	gone  bool     // the socket is closed

	born  time.Duration
	spoke bool          // it has brought a whole message
	half  time.Duration // since when part of a message waits for the rest, 0: none does

	caller bool // it may be closed for what it does not read
}

// firstWord is how long a caller's connection may take for its first whole message, or
// for the rest of a later one while no call is open on it.
const firstWord = 2 * time.Second

// unwritten tells whether something waits for the other side to read.
func (s *stream) unwritten() bool { return !s.shut && s.c.OutboundBuffered() > 0 }

// read notes what a piece has brought: whole messages, or part of one.
func (s *stream) read(now time.Duration, spoke, half bool) {
	s.spoke = s.spoke || spoke
	switch {
	case !half:
		s.half = 0
	case s.half == 0 || spoke:
		s.half = now
	}
}

// overdue guards the descriptors against connections that say nothing, or half of
// something, and stay. One that has asked once may stay for good.
func (s *stream) overdue(now time.Duration) bool {
	return !s.spoke && now-s.born > firstWord || s.half > 0 && now-s.half > firstWord
}

// loop is what the parts share: the clock, the batched writes and the timer.
type loop struct {
	el     gnet.EventLoop
	dirty  []*stream
	timer  *time.Timer
	clock  func() time.Time // the system's
	origin time.Time
	unix   time.Duration
	log    *zap.SugaredLogger
	unread int // bytes that may wait for a caller who does not read
}

func (l *loop) start(log *zap.Logger, clock func() time.Time) {
	l.log, l.clock = log.Sugar(), clock
	l.origin = time.Now()
	l.unix = time.Duration(clock().UnixNano())
}

// now is the Unix clock as read at the start, carried on by the monotonic one: a
// step of the system's clock must not make every call late.
func (l *loop) now() time.Duration { return l.unix + time.Since(l.origin) }

// write appends to what a stream sends; f gets the buffer and returns it longer.
func (l *loop) write(s *stream, f func([]byte) []byte) {
	if s.shut {
		return
	}
	s.out = f(s.out)
	if !s.dirty {
		s.dirty = true
		l.dirty = append(l.dirty, s)
	}
}

// close closes a stream when the turn ends, behind what it still has to send.
func (l *loop) close(s *stream) {
	if s.shut {
		return
	}
	s.shut = true
	if !s.dirty {
		s.dirty = true
		l.dirty = append(l.dirty, s)
	}
}

// flush sends what the turn has written. A write that fails closes its
// connection, which may write to others: hence the loop over a growing list.
func (l *loop) flush() {
	for i := 0; i < len(l.dirty); i++ {
		s := l.dirty[i]
		s.dirty = false
		out := s.out
		s.out = s.out[:0]
		if s.gone {
			continue
		}
		if len(out) > 0 {
			if _, err := s.c.Write(out); err != nil {
				continue // gnet has called OnClose
			}
		}
		s.told = s.told[:0]
		if s.caller && !s.gone && s.c.OutboundBuffered() > l.unread {
			// Guards memory against callers who ask and do not read.
			s.shut = true
		}
		if cap(s.out) > 64<<10 {
			s.out, s.told = nil, nil // a burst must not pin memory
		}
		if s.shut && !s.gone {
			_ = s.c.EventLoop().Close(s.c) // OnClose tells the rest
		}
	}
	clear(l.dirty)
	l.dirty = l.dirty[:0]
}

// runnable lets a function run on the event loop.
type runnable func()

// Run implements gnet.Runnable.
func (r runnable) Run(context.Context) error {
	r()
	return nil
}

// exec runs f on the event loop; it may be called from anywhere.
func (l *loop) exec(f func()) {
	if err := l.el.Execute(context.Background(), runnable(f)); err != nil && !errors.Is(err, errShutdown) {
		l.log.Warnw("exec_failed", "err", err)
	}
}
