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

// testBothOrders plays a crossing in its two orders, each on a node of its own.
func testBothOrders(t *testing.T, one, other string, play func(t *testing.T, oneFirst bool)) {
	t.Parallel()
	for _, first := range []string{one, other} {
		t.Run(first+" first", func(t *testing.T) {
			t.Parallel()
			play(t, first == one)
		})
	}
}

// runInOrder runs two things one behind the other, in the runInOrder asked for.
func runInOrder(oneFirst bool, one, other func()) {
	if !oneFirst {
		one, other = other, one
	}
	one()
	other()
}

// A time-out and an answer come in one turn: the caller has one final answer, and what stands at the exchange for
// nobody is released there.
func TestTimeoutCrossesAnswer(t *testing.T) {
	testBothOrders(t, "the time-out", "the answer", func(t *testing.T, timeOut bool) {
		a := startFakeExchange(t, "127.0.0.1:0")
		x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{retryDelay: retryGuard, servers: []string{"s-0"}})
		id := x.caller.setUp("1", 400*time.Millisecond)
		a.awaitReceived("INVITE", id, 1)
		x.runIteration(func() { // its time passes while the loop is held
			for until := x.server.loop.Now() + 420*time.Millisecond; x.server.loop.Now() < until; {
				time.Sleep(time.Millisecond)
			}
			runInOrder(timeOut, x.server.calls.Tick, func() { x.deliver(0, sipResponse(id, "INVITE", 200, 1, "a")) })
		})
		x.answers.await(t, id, 1)
		x.awaitNoPendingWork()
		if timeOut {
			a.awaitReceived("CANCEL", id, 1)
			a.awaitReceived("BYE", id, 1)
			if got := x.answers.of(id); got != "end 41" {
				t.Error(got)
			}
		} else if got := x.answers.of(id); got != "stands a" || a.countReceived("CANCEL", id)+a.countReceived("BYE", id) != 0 {
			t.Errorf("%q, given up %d, released %d", got, a.countReceived("CANCEL", id), a.countReceived("BYE", id))
		}
	})
}

// A give-up and the answer come in one turn: the exchange hears that its call is over, in either order.
func TestCancelCrossesAnswer(t *testing.T) {
	testBothOrders(t, "the give-up", "the answer", func(t *testing.T, giveUp bool) {
		a := startFakeExchange(t, "127.0.0.1:0")
		x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0"}})
		id := x.caller.setUp("1", 3*time.Second)
		a.awaitReceived("INVITE", id, 1)
		x.runIteration(func() {
			k := x.findClient(id)
			runInOrder(giveUp, func() { k.HandleData(jsonMessage(jsonl.Finish, id)) },
				func() { x.deliver(0, sipResponse(id, "INVITE", 200, 1, "a")) })
		})
		a.awaitReceived("BYE", id, 1)
		if !giveUp {
			x.answers.await(t, id, 1) // it may still be on its way
		}
		x.awaitNoPendingWork()
		if got := x.answers.of(id); giveUp && got != "" || !giveUp && got != "stands a" {
			t.Errorf("the caller heard %q", got)
		}
		if n := a.countReceived("BYE", id); n != 1 {
			t.Errorf("%d releases", n)
		}
	})
}

// A caller leaves, by a give-up or with its connection, in the turn in which the guard of its call ends. Where it left
// first nothing is sent; where the guard ended first the attempt is stopped before it is written.
func TestCallerLeavesAsRetryGuardEnds(t *testing.T) {
	for _, how := range []string{"gives up", "closes"} {
		t.Run(how, func(t *testing.T) {
			testBothOrders(t, "the caller", "the guard", func(t *testing.T, caller bool) {
				a := startFakeExchange(t, "127.0.0.1:0")
				x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{retryDelay: retryGuard, servers: []string{"s-0", "s-0"}})
				id := x.caller.setUp("1", 3*time.Second)
				a.awaitReceived("INVITE", id, 1)
				x.runIteration(func() {
					x.deliver(0, sipResponse(id, "INVITE", 504, 1, ""))
					for until := x.server.loop.Now() + retryGuard + 20*time.Millisecond; x.server.loop.Now() < until; {
						time.Sleep(time.Millisecond)
					}
					k := x.findClient(id)
					runInOrder(caller, func() {
						if how == "gives up" {
							k.HandleData(jsonMessage(jsonl.Finish, id))
						} else {
							x.server.calls.CallerDisconnected(k)
						}
					}, x.server.calls.Tick)
				})
				x.awaitNoPendingWork()
				x.decider.setServers("s-0")
				last := x.caller.setUp("1", 2*time.Second)
				a.awaitReceived("INVITE", last, 1)
				if n := a.countReceived("INVITE", id); n != 1 || x.answers.of(id) != "" {
					t.Errorf("%d attempts, the caller heard %q", n, x.answers.of(id))
				}
			})
		})
	}
}

// Bytes of a set-up and of the end of its connection wait in the socket together, with half a line behind them.
func TestSetupAndCloseTogether(t *testing.T) {
	t.Parallel()
	a := startFakeExchange(t, "127.0.0.1:0")
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
	k := x.dialCaller("cccccccc")
	x.runIteration(func() {
		_, _ = k.conn.Write(append(jsonSetup(testCallID, 2*time.Second), jsonSetup("00000000000000ab", time.Second)[:40]...))
		_ = k.conn.Close()
	})
	x.awaitNoPendingWork()
	id := x.caller.setUp("1", 2*time.Second)
	a.awaitReceived("INVITE", id, 1)
	if in, off := a.countReceived("INVITE", testCallID), a.countReceived("CANCEL", testCallID); in != off || in > 1 || a.countReceived("INVITE", "00000000000000ab") != 0 {
		t.Errorf("%d set-ups, %d given up", in, off)
	}
}

// News that an exchange drains comes while a set-up is held for its dial, and in the turn of the send: it goes elsewhere.
func TestDrainWhileSetupIsQueued(t *testing.T) {
	t.Parallel()
	a, b := startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0")
	gate := make(chan struct{})
	x := startTestbed(t, nil, &scriptedDecider{servers: []string{"s-0", "s-1", "s-1", "s-1"}}, func(o *Options) {
		o.dial = func(addr string, limit time.Duration) (net.Conn, error) {
			if addr == a.addr() {
				<-gate
			}
			return backend.DialTCP(addr, limit)
		}
	})
	x.exchanges = []*fakeExchange{a, b}
	x.discovery.set(endpointLine{id: "s-0", addr: a.addr()}, endpointLine{id: "s-1", addr: b.addr()})
	x.awaitConnected(1)
	id := x.caller.setUp("1", 2*time.Second)
	x.awaitQueuedSetups(1)
	x.discovery.set(endpointLine{id: "s-0", addr: a.addr(), draining: true}, endpointLine{id: "s-1", addr: b.addr()})
	b.awaitReceived("INVITE", id, 1)
	close(gate)
	x.awaitConnected(0)
	b.send(sipResponse(id, "INVITE", 200, 2, "b"))
	if got := x.answers.await(t, id, 1); got != "stands b" {
		t.Error(got)
	}
	x.runIteration(func() { // the set-up is ordered, and the drain read, before the turn ends
		x.findClient("").HandleData(jsonSetup(testCallID, time.Second))
		x.server.backends.Get("s-1").Drain()
	})
	x.awaitNoPendingWork()
	if a.countReceived("INVITE", id)+b.countReceived("INVITE", testCallID) != 0 {
		t.Error("a set-up went to an exchange that drains")
	}
}

// A new exchange has the address of one that drains or is gone. The old one's link is not dialled there, and a release
// of the new one that comes over a connection made for the old one ends its call.
func TestAddressTakenOver(t *testing.T) {
	t.Parallel()
	a := startFakeExchange(t, "127.0.0.1:0")
	addr := a.addr()
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-1", "s-1"}})
	a.stop()
	b := startFakeExchange(t, addr) // the old link redials, and reaches the new process before any news of it
	old := b.awaitConn()
	x.exchanges = append(x.exchanges, b)
	x.discovery.set(endpointLine{id: "s-0", addr: addr, draining: true}, endpointLine{id: "s-1", addr: addr, started: time.Now().UnixMilli()})
	x.awaitConnected(1)
	id := x.caller.setUp("1", 2*time.Second)
	b.awaitReceived("INVITE", id, 1)
	b.send(sipResponse(id, "INVITE", 200, 1, "b"))
	x.answers.await(t, id, 1)
	_, _ = old.Write(sipRelease(id, 16))
	if got := x.answers.await(t, id, 2); got != "stands b end 16" {
		t.Error(got)
	}
	var redialAt time.Duration
	x.runIteration(func() { redialAt = x.server.backends.Get("s-0").RedialAt() })
	resetConn(old)
	eventually(t, "the old link is down", func() (down bool) {
		x.runIteration(func() {
			l := x.server.backends.Get("s-0")
			down = !l.IsConnected() && !l.IsDialing() && l.RedialAt() > redialAt
		})
		return down
	})
	b.mu.Lock()
	dials := len(b.conns)
	b.mu.Unlock()
	if dials != 2 {
		t.Errorf("%d connections to the new one, the old link's and its own are wanted", dials)
	}
}

// An exchange is taken off the list and lives on: it hears that the calls are over of which their callers are told so.
// Under the same id it is another one when it comes again.
func TestExchangeRemovedAndAddedAgain(t *testing.T) {
	t.Parallel()
	a, b := startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0")
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{retryDelay: time.Second, servers: []string{"s-0", "s-0", "s-0"}})
	id := x.caller.setUp("1", 5*time.Second)
	a.awaitReceived("INVITE", id, 1)
	a.send(sipResponse(id, "INVITE", 200, 1, "a"))
	x.answers.await(t, id, 1)
	open := x.caller.setUp("1", 5*time.Second)
	a.awaitReceived("INVITE", open, 1)
	x.discovery.set(endpointLine{id: "s-9", addr: b.addr()})
	if got := x.answers.await(t, id, 2); got != "stands a end 41" {
		t.Error(got)
	}
	a.awaitReceived("BYE", id, 1)
	eventually(t, "the attempt has ended", func() bool { return len(x.decider.results(open)) == 1 })
	x.discovery.set(endpointLine{id: "s-0", addr: b.addr(), started: time.Now().UnixMilli()})
	x.awaitConnected(0)
	b.awaitReceived("INVITE", open, 1) // once the guard is over
	x.exchanges[0] = b
	x.runIteration(func() { x.deliver(0, sipResponse(open, "INVITE", 200, 2, "b")) })
	if got := x.answers.await(t, open, 1); got != "stands b" {
		t.Error(got)
	}
	if n := len(x.decider.results(open)); n != 1 {
		t.Errorf("%d ends of attempts of a call that stands", n)
	}
	if c := x.decider.results(open)[0]; c == admission.ServerBusy || c == admission.NotSent || c == admission.DialFailed {
		t.Errorf("an attempt that was out counts as one that never ran: %v", c)
	}
}

// More is taken in than any table holds: what goes over a bound is turned away, and whoever is still owed something
// gets it.
func TestBoundsKeepPendingWork(t *testing.T) {
	t.Parallel()
	a := startFakeExchange(t, "127.0.0.1:0")
	x := startTestbedWith(t, settings, 2, []*fakeExchange{a}, &scriptedDecider{})
	most := 0
	x.runIteration(func() {
		most = x.server.cfg.MemoryMB << 5
		for i := range 8 * most { // no caller is sure to pass these on
			x.deliver(0, sipRelease(fmt.Sprintf("d%015x", i), 16))
			x.server.backends.Get("s-0").Connection().DiscardPendingOutput()
		}
		if n := x.server.frontends.json.QueuedReleases(); n != 4*most || x.server.frontends.host.Counters.ReleasesDiscarded != 4*most {
			t.Errorf("%d unsaid, %d counted as lost", n, x.server.frontends.host.Counters.ReleasesDiscarded)
		}
	})
	x.decider.setServers("s-0", "s-0", "s-0")
	stands, open := x.caller.setUp("1", 3*time.Second), x.caller.setUp("1", 8*time.Second)
	a.awaitReceived("INVITE", open, 1)
	a.send(sipResponse(stands, "INVITE", 200, 1, "a"))
	x.answers.await(t, stands, 1)
	x.runIteration(func() {
		k := x.findClient(open)
		for i := range 8 * most { // ids of calls that are over, releases of unknown calls, releases that nobody confirms
			id := fmt.Sprintf("%016x", 0x1000+i)
			k.HandleData(jsonSetup(id, time.Second))
			k.HandleData(jsonMessage(jsonl.Finish, fmt.Sprintf("f%015x", i)))
			x.deliver(0, sipRelease(fmt.Sprintf("e%015x", i), 16))
			k.Conn().DiscardPendingOutput() // nobody reads them here
			x.server.backends.Get("s-0").Connection().DiscardPendingOutput()
		}
		if l := x.server.backends.Get("s-0"); l.PendingReleases() > most || x.server.frontends.json.QueuedReleases() > 4*most || l.RememberedCalls() > 16 {
			t.Errorf("%d releases, %d unsaid, %d dialogs", l.PendingReleases(), x.server.frontends.json.QueuedReleases(), l.RememberedCalls())
		}
	})
	a.send(sipRelease(stands, 16))
	x.answers.await(t, stands, 2)
	a.send(sipResponse(open, "INVITE", 200, 1, "b"))
	x.answers.await(t, open, 1)
	x.caller.hangUp(open)
	a.awaitReceived("BYE", open, 1)
	if got := x.answers.of(stands) + " " + x.answers.of(open); strings.Count(got, "stands") != 2 || strings.Count(got, "end") != 1 {
		t.Error(got)
	}
}
