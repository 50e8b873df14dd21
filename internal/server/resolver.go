package server

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Times of the name service's socket.
const (
	redial     = 200 * time.Millisecond // before it is opened again after it could not be opened or was lost
	firstQuiet = time.Second            // one that brings no good answer for so long gives way to another,
	lastQuiet  = 8 * time.Second        // and the next after twice as long, up to this
)

// A resolver is the socket to the name service. What is asked and answered is the
// list's; the resolver owns the address and survives its change and its loss.
type resolver struct {
	n       *Node
	addr    string
	c       gnet.Conn // nil while there is none
	serial  int       // of the latest opening; what an earlier one brings is dropped
	opening bool
	openAt  time.Duration // when to open again
	heard   time.Duration // the last good answer, or the latest socket's opening
	quiet   time.Duration // how long it may bring nothing
}

// nameSocket is the context of a socket to the name service.
type nameSocket struct{ serial int }

// move takes another address at once. Answers of the old one, which may be on their
// way, are not read any more.
func (r *resolver) move(addr string) {
	r.addr, r.quiet = addr, 0
	r.drop()
	r.open()
}

func (r *resolver) drop() {
	r.serial++
	r.opening = false
	if c := r.c; c != nil {
		r.c = nil
		_ = r.n.el.Close(c)
	}
}

// answered notes a good answer.
func (r *resolver) answered(now time.Duration) { r.heard, r.quiet = now, 0 }

// open opens a socket. One that is there serves until the new one is up.
func (r *resolver) open() {
	r.opening = true
	r.heard = r.n.now()
	r.serial++
	serial, addr, el := r.serial, r.addr, r.n.el
	go func() {
		c, err := net.Dial("udp", addr)
		if err == nil {
			ctx := gnet.NewContext(context.Background(), nameSocket{serial})
			if _, err = el.Enroll(ctx, c); err == nil {
				return // OnOpen follows
			}
			_ = c.Close()
		}
		r.n.exec(func() { r.failed(serial, err) })
	}()
}

func (r *resolver) failed(serial int, err error) {
	if serial != r.serial {
		return
	}
	r.opening = false
	r.openAt = r.n.now() + redial
	r.n.log.Warnw("names_failed", "addr", r.addr, "err", err)
}

// up takes an opened socket; false turns it away.
func (r *resolver) up(serial int, c gnet.Conn) bool {
	if serial != r.serial {
		return false
	}
	old := r.c
	r.opening, r.c, r.heard = false, c, r.n.now()
	if old != nil {
		_ = r.n.el.Close(old)
	}
	r.query()
	return true
}

// closed guards against queries on a descriptor that has become another connection's.
func (r *resolver) closed(c gnet.Conn) {
	if r.c == c && !r.n.stopping {
		r.c = nil
		r.openAt = r.n.now() + redial
		r.n.log.Warnw("names_lost", "addr", r.addr)
	}
}

// poll asks for the list, over a new socket if the last was lost.
func (r *resolver) poll(now time.Duration) {
	switch {
	case r.opening || now < r.openAt:
	case r.c == nil:
		r.open()
	case now-r.heard > max(r.quiet, firstQuiet):
		// Guards against a path that has gone dead under one socket, such as a filter that forgot it, and would
		// keep every later drain from this node. Longer each time, and not by all nodes at one moment.
		r.n.log.Warnw("names_silent", "addr", r.addr, "silent", now-r.heard)
		r.quiet = min(2*max(r.quiet, firstQuiet), lastQuiet) * time.Duration(90+r.n.rng.IntN(20)) / 100
		r.open()
	}
	r.query()
}

func (r *resolver) query() {
	n := r.n
	if r.c == nil {
		n.QueriesFailed++
		return
	}
	text, err := n.list.NewQuery(uint16(n.rng.Uint32()))
	if err == nil {
		n.Queries++
		_, err = r.c.Write(text)
	}
	if err != nil {
		n.QueriesFailed++
	}
}
