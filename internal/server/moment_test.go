package server

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/backend"
	"olivedale/internal/codec/jsonl"
)

// both plays a crossing in its two orders, each on a node of its own.
func both(t *testing.T, one, other string, play func(t *testing.T, oneFirst bool)) {
	t.Parallel()
	for _, first := range []string{one, other} {
		t.Run(first+" first", func(t *testing.T) {
			t.Parallel()
			play(t, first == one)
		})
	}
}

// order runs two things one behind the other, in the order asked for.
func order(oneFirst bool, one, other func()) {
	if !oneFirst {
		one, other = other, one
	}
	one()
	other()
}

// A time-out and an answer come in one turn: the caller has one final answer, and what stands at the exchange for
// nobody is released there.
func TestTimeOutCrossesTheAnswer(t *testing.T) {
	both(t, "the time-out", "the answer", func(t *testing.T, timeOut bool) {
		a := startFar(t, "127.0.0.1:0")
		x := startScene(t, []*far{a}, &fixed{wait: guard, servers: []string{"s-0"}})
		id := x.k.setUp("1", 400*time.Millisecond)
		a.awaits("INVITE", id, 1)
		x.turn(func() { // its time passes while the loop is held
			for until := x.n.loop.Now() + 420*time.Millisecond; x.n.loop.Now() < until; {
				time.Sleep(time.Millisecond)
			}
			order(timeOut, x.n.calls.Tick, func() { x.says(0, response(id, "INVITE", 200, 1, "a")) })
		})
		x.h.wait(t, id, 1)
		x.settled()
		if timeOut {
			a.awaits("CANCEL", id, 1)
			a.awaits("BYE", id, 1)
			if got := x.h.of(id); got != "end 41" {
				t.Error(got)
			}
		} else if got := x.h.of(id); got != "stands a" || a.heard("CANCEL", id)+a.heard("BYE", id) != 0 {
			t.Errorf("%q, given up %d, released %d", got, a.heard("CANCEL", id), a.heard("BYE", id))
		}
	})
}

// A give-up and the answer come in one turn: the exchange hears that its call is over, in either order.
func TestGiveUpCrossesTheAnswer(t *testing.T) {
	both(t, "the give-up", "the answer", func(t *testing.T, giveUp bool) {
		a := startFar(t, "127.0.0.1:0")
		x := startScene(t, []*far{a}, &fixed{servers: []string{"s-0"}})
		id := x.k.setUp("1", 3*time.Second)
		a.awaits("INVITE", id, 1)
		x.turn(func() {
			k := x.client(id)
			order(giveUp, func() { k.HandleData(line(jsonl.Finish, id)) },
				func() { x.says(0, response(id, "INVITE", 200, 1, "a")) })
		})
		a.awaits("BYE", id, 1)
		if !giveUp {
			x.h.wait(t, id, 1) // it may still be on its way
		}
		x.settled()
		if got := x.h.of(id); giveUp && got != "" || !giveUp && got != "stands a" {
			t.Errorf("the caller heard %q", got)
		}
		if n := a.heard("BYE", id); n != 1 {
			t.Errorf("%d releases", n)
		}
	})
}

// A caller leaves, by a give-up or with its connection, in the turn in which the guard of its call ends. Where it left
// first nothing is sent; where the guard ended first the attempt is stopped before it is written.
func TestLeavesAsTheGuardEnds(t *testing.T) {
	for _, how := range []string{"gives up", "closes"} {
		t.Run(how, func(t *testing.T) {
			both(t, "the caller", "the guard", func(t *testing.T, caller bool) {
				a := startFar(t, "127.0.0.1:0")
				x := startScene(t, []*far{a}, &fixed{wait: guard, servers: []string{"s-0", "s-0"}})
				id := x.k.setUp("1", 3*time.Second)
				a.awaits("INVITE", id, 1)
				x.turn(func() {
					x.says(0, response(id, "INVITE", 504, 1, ""))
					for until := x.n.loop.Now() + guard + 20*time.Millisecond; x.n.loop.Now() < until; {
						time.Sleep(time.Millisecond)
					}
					k := x.client(id)
					order(caller, func() {
						if how == "gives up" {
							k.HandleData(line(jsonl.Finish, id))
						} else {
							x.n.calls.CallerDisconnected(k)
						}
					}, x.n.calls.Tick)
				})
				x.settled()
				x.module.sends("s-0")
				last := x.k.setUp("1", 2*time.Second)
				a.awaits("INVITE", last, 1)
				if n := a.heard("INVITE", id); n != 1 || x.h.of(id) != "" {
					t.Errorf("%d attempts, the caller heard %q", n, x.h.of(id))
				}
			})
		})
	}
}

// Bytes of a set-up and of the end of its connection wait in the socket together, with half a line behind them.
func TestSetUpAndCloseTogether(t *testing.T) {
	t.Parallel()
	a := startFar(t, "127.0.0.1:0")
	x := startScene(t, []*far{a}, &fixed{servers: []string{"s-0", "s-0"}})
	k := x.dial("cccccccc")
	x.turn(func() {
		_, _ = k.c.Write(append(start(tag, 2*time.Second), start("00000000000000ab", time.Second)[:40]...))
		_ = k.c.Close()
	})
	x.settled()
	id := x.k.setUp("1", 2*time.Second)
	a.awaits("INVITE", id, 1)
	if in, off := a.heard("INVITE", tag), a.heard("CANCEL", tag); in != off || in > 1 || a.heard("INVITE", "00000000000000ab") != 0 {
		t.Errorf("%d set-ups, %d given up", in, off)
	}
}

// News that an exchange drains comes while a set-up is held for its dial, and in the turn of the send: it goes elsewhere.
func TestDrainWhileASetUpIsHeld(t *testing.T) {
	t.Parallel()
	a, b := startFar(t, "127.0.0.1:0"), startFar(t, "127.0.0.1:0")
	gate := make(chan struct{})
	x := startScene(t, nil, &fixed{servers: []string{"s-0", "s-1", "s-1", "s-1"}}, func(o *Options) {
		o.dial = func(addr string, limit time.Duration) (net.Conn, error) {
			if addr == a.addr() {
				<-gate
			}
			return backend.DialTCP(addr, limit)
		}
	})
	x.far = []*far{a, b}
	x.names.set(nameLine{id: "s-0", addr: a.addr()}, nameLine{id: "s-1", addr: b.addr()})
	x.up(1)
	id := x.k.setUp("1", 2*time.Second)
	x.queued(1)
	x.names.set(nameLine{id: "s-0", addr: a.addr(), draining: true}, nameLine{id: "s-1", addr: b.addr()})
	b.awaits("INVITE", id, 1)
	close(gate)
	x.up(0)
	b.send(response(id, "INVITE", 200, 2, "b"))
	if got := x.h.wait(t, id, 1); got != "stands b" {
		t.Error(got)
	}
	x.turn(func() { // the set-up is ordered, and the drain read, before the turn ends
		x.client("").HandleData(start(tag, time.Second))
		x.n.backends.Get("s-1").Drain()
	})
	x.settled()
	if a.heard("INVITE", id)+b.heard("INVITE", tag) != 0 {
		t.Error("a set-up went to an exchange that drains")
	}
}

// A new exchange has the address of one that drains or is gone. The old one's link is not dialled there, and a release
// of the new one that comes over a connection made for the old one ends its call.
func TestAddressOfAnother(t *testing.T) {
	t.Parallel()
	a := startFar(t, "127.0.0.1:0")
	addr := a.addr()
	x := startScene(t, []*far{a}, &fixed{servers: []string{"s-1", "s-1"}})
	a.stop()
	b := startFar(t, addr) // the old link redials, and reaches the new process before any news of it
	old := b.connected()
	x.far = append(x.far, b)
	x.names.set(nameLine{id: "s-0", addr: addr, draining: true}, nameLine{id: "s-1", addr: addr, started: time.Now().UnixMilli()})
	x.up(1)
	id := x.k.setUp("1", 2*time.Second)
	b.awaits("INVITE", id, 1)
	b.send(response(id, "INVITE", 200, 1, "b"))
	x.h.wait(t, id, 1)
	_, _ = old.Write(finish(id, 16))
	if got := x.h.wait(t, id, 2); got != "stands b end 16" {
		t.Error(got)
	}
	var redialAt time.Duration
	x.turn(func() { redialAt = x.n.backends.Get("s-0").RedialAt() })
	reset(old)
	eventually(t, "the old link is down", func() (down bool) {
		x.turn(func() {
			l := x.n.backends.Get("s-0")
			down = !l.IsConnected() && !l.IsDialing() && l.RedialAt() > redialAt
		})
		return down
	})
	b.mu.Lock()
	dials := len(b.all)
	b.mu.Unlock()
	if dials != 2 {
		t.Errorf("%d connections to the new one, the old link's and its own are wanted", dials)
	}
}

// An exchange is taken off the list and lives on: it hears that the calls are over of which their callers are told so.
// Under the same id it is another one when it comes again.
func TestGoneAndComeAgain(t *testing.T) {
	t.Parallel()
	a, b := startFar(t, "127.0.0.1:0"), startFar(t, "127.0.0.1:0")
	x := startScene(t, []*far{a}, &fixed{wait: time.Second, servers: []string{"s-0", "s-0", "s-0"}})
	id := x.k.setUp("1", 5*time.Second)
	a.awaits("INVITE", id, 1)
	a.send(response(id, "INVITE", 200, 1, "a"))
	x.h.wait(t, id, 1)
	open := x.k.setUp("1", 5*time.Second)
	a.awaits("INVITE", open, 1)
	x.names.set(nameLine{id: "s-9", addr: b.addr()})
	if got := x.h.wait(t, id, 2); got != "stands a end 41" {
		t.Error(got)
	}
	a.awaits("BYE", id, 1)
	eventually(t, "the attempt has ended", func() bool { return len(x.module.codes(open)) == 1 })
	x.names.set(nameLine{id: "s-0", addr: b.addr(), started: time.Now().UnixMilli()})
	x.up(0)
	b.awaits("INVITE", open, 1) // once the guard is over
	x.far[0] = b
	x.turn(func() { x.says(0, response(open, "INVITE", 200, 2, "b")) })
	if got := x.h.wait(t, open, 1); got != "stands b" {
		t.Error(got)
	}
	if n := len(x.module.codes(open)); n != 1 {
		t.Errorf("%d ends of attempts of a call that stands", n)
	}
	if c := x.module.codes(open)[0]; c == admission.ServerBusy || c == admission.NotSent || c == admission.DialFailed {
		t.Errorf("an attempt that was out counts as one that never ran: %v", c)
	}
}

// More is taken in than any table holds: what goes over a bound is turned away, and whoever is still owed something
// gets it.
func TestBoundsKeepWhatIsOwed(t *testing.T) {
	t.Parallel()
	a := startFar(t, "127.0.0.1:0")
	x := startSceneOf(t, settings, 2, []*far{a}, &fixed{})
	most := 0
	x.turn(func() {
		most = x.n.cfg.MemoryMB << 5
		for i := range 8 * most { // no caller is sure to pass these on
			x.says(0, finish(fmt.Sprintf("d%015x", i), 16))
			x.n.backends.Get("s-0").Connection().DiscardPendingOutput()
		}
		if n := x.n.frontends.json.QueuedReleases(); n != 4*most || x.n.frontends.host.Counters.ReleasesDiscarded != 4*most {
			t.Errorf("%d unsaid, %d counted as lost", n, x.n.frontends.host.Counters.ReleasesDiscarded)
		}
	})
	x.module.sends("s-0", "s-0", "s-0")
	stands, open := x.k.setUp("1", 3*time.Second), x.k.setUp("1", 8*time.Second)
	a.awaits("INVITE", open, 1)
	a.send(response(stands, "INVITE", 200, 1, "a"))
	x.h.wait(t, stands, 1)
	x.turn(func() {
		k := x.client(open)
		for i := range 8 * most { // ids of calls that are over, releases of unknown calls, releases that nobody confirms
			id := fmt.Sprintf("%016x", 0x1000+i)
			k.HandleData(start(id, time.Second))
			k.HandleData(line(jsonl.Finish, fmt.Sprintf("f%015x", i)))
			x.says(0, finish(fmt.Sprintf("e%015x", i), 16))
			k.Conn().DiscardPendingOutput() // nobody reads them here
			x.n.backends.Get("s-0").Connection().DiscardPendingOutput()
		}
		if l := x.n.backends.Get("s-0"); l.PendingReleases() > most || x.n.frontends.json.QueuedReleases() > 4*most || l.RememberedCalls() > 16 {
			t.Errorf("%d releases, %d unsaid, %d dialogs", l.PendingReleases(), x.n.frontends.json.QueuedReleases(), l.RememberedCalls())
		}
	})
	a.send(finish(stands, 16))
	x.h.wait(t, stands, 2)
	a.send(response(open, "INVITE", 200, 1, "b"))
	x.h.wait(t, open, 1)
	x.k.hangUp(open)
	a.awaits("BYE", open, 1)
	if got := x.h.of(stands) + " " + x.h.of(open); strings.Count(got, "stands") != 2 || strings.Count(got, "end") != 1 {
		t.Error(got)
	}
}
