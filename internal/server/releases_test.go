package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/codec/sip"
)

// After a restart nothing is known of calls that stand: a BYE is passed on, once.
func TestReleaseOfAnUnknownCall(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	const id = "00000000000000aa"
	eventually(t, "the link is up", func() bool {
		up := make(chan bool, 1)
		s.server.loop.Execute(func() {
			up <- s.server.backends.Get("s-0").IsConnected() && s.server.frontends.json.Clients().Len() > 0
		})
		return <-up
	})
	s.exchanges[0].mu.Lock()
	for c := range s.exchanges[0].conns {
		bye := sip.AppendRequest(nil, &sip.Request{Method: "BYE", Number: "x", CallID: id, CSeq: 2,
			Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=41"}}})
		_, _ = c.Write(append(bye, bye...))
	}
	s.exchanges[0].mu.Unlock()
	if got := h.await(t, id, 1); got != "end 41" {
		t.Errorf("heard %q", got)
	}
}

// Releases go to the connection that asked for the call, or to one that has had calls,
// not to those that test the program, or say nothing, and stay.
func TestReleaseGoesToItsCaller(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	k, other := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa"), dialJSONCaller(t, s.jsonAddress(), h, "bbbbbbbb")
	var keys []string
	for i, c := range []*jsonCaller{k, other} {
		keys = append(keys, c.setUp(fmt.Sprintf("keep.%d", i), 4*time.Second))
		h.await(t, keys[i], 1)
	}
	tester := newAnswerLog()
	dialJSONCaller(t, s.jsonAddress(), tester, "cccccccc").send(&jsonl.Message{Verb: jsonl.Echo, HasRC: true})
	tester.await(t, "echo", 1)
	dialJSONCaller(t, s.jsonAddress(), tester, "dddddddd")
	other.close()
	eventually(t, "two that never asked are left", func() bool {
		n := make(chan int, 1)
		s.server.loop.Execute(func() { n <- s.server.frontends.json.Clients().Len() })
		return <-n == 3
	})
	s.exchanges[0].stop()
	for i, key := range keys {
		if got := h.await(t, key, 2); got != "stands "+acceptedDescription(fmt.Sprintf("keep.%d", i))+" end 41" {
			t.Errorf("heard %q", got)
		}
		if got := tester.of(key); got != "" {
			t.Errorf("a connection that never asked heard %q", got)
		}
	}
}

// A release that no connection can carry waits for the next one.
func TestReleaseWaitsForConnection(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	k := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	key := k.setUp("keep.1", 4*time.Second)
	h.await(t, key, 1)
	k.close()
	eventually(t, "no caller is connected", func() bool {
		n := make(chan int, 1)
		s.server.loop.Execute(func() { n <- s.server.frontends.json.Clients().Len() })
		return <-n == 0
	})
	s.exchanges[0].stop()
	eventually(t, "the call is cut", func() bool {
		n := make(chan int, 1)
		s.server.loop.Execute(func() { n <- s.server.frontends.json.QueuedReleases() })
		return <-n == 1
	})
	dialJSONCaller(t, s.jsonAddress(), h, "bbbbbbbb")
	if got := h.await(t, key, 2); got != "stands "+acceptedDescription("keep.1")+" end 41" {
		t.Errorf("heard %q", got)
	}
}

// A caller releases a call that stands and its connection breaks, as something is written to it: the exchange
// hears of the release in either order. A set-up behind it has lost its caller and is not sent on.
func TestReleaseAndConnectionFailure(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"the release is read", "a write fails"} {
		t.Run(first+" first", func(t *testing.T) {
			t.Parallel()
			a := startFakeExchange(t, "127.0.0.1:0")
			x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
			k := x.dialCaller("cccccccc")
			id := k.setUp("1", 3*time.Second)
			a.awaitReceived("INVITE", id, 1)
			a.send(sipResponse(id, "INVITE", 200, 1, "a"))
			x.answers.await(t, id, 1)
			said := append(jsonMessage(jsonl.Finish, id), jsonSetup(testCallID, 2*time.Second)...)
			if first == "a write fails" {
				x.runIteration(func() {
					_, _ = k.conn.Write(said)
					resetConn(k.conn)
					mine := x.findClient("")
					x.server.loop.Write(mine.Conn(), func(b []byte) []byte { return append(b, jsonMessage(jsonl.Echoed, "t")...) })
				})
			} else {
				_, _ = k.conn.Write(said[:len(jsonMessage(jsonl.Finish, id))])
				a.awaitReceived("BYE", id, 1)
				resetConn(k.conn)
			}
			a.awaitReceived("BYE", id, 1)
			x.awaitNoPendingWork()
			if n := a.countReceived("BYE", id) + a.countReceived("INVITE", testCallID); n != 1 {
				t.Errorf("%d releases and set-ups of a caller that had left", n)
			}
		})
	}
}

// An exchange is away, and callers release as many calls that nobody knows as are remembered for it. The release of a
// call that stands there is said when it is back, whether it came before those or after.
func TestReleaseAmongReleasesOfUnknownCalls(t *testing.T) {
	testBothOrders(t, "the call's own", "the others", func(t *testing.T, own bool) {
		a, g := startFakeExchange(t, "127.0.0.1:0"), newDialGate()
		x := startTestbedWith(t, settings, 2, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0"}}, g.configure)
		id := x.establishAndDisconnect(a, g)
		x.runIteration(func() {
			k := x.findClient("")
			runInOrder(own, func() { k.HandleData(jsonMessage(jsonl.Finish, id)) }, func() {
				for i := range 2 * x.server.cfg.MemoryMB << 5 {
					k.HandleData(jsonMessage(jsonl.Finish, fmt.Sprintf("f%015x", i)))
				}
			})
			if n := x.server.backends.Get("s-0").PendingReleases(); n != x.server.cfg.MemoryMB<<5 {
				t.Errorf("%d releases are remembered", n)
			}
		})
		close(g.opened)
		a.awaitReceived("BYE", id, 1)
	})
}

// A panel releases a call that stands and its connection breaks, as something is written to it: the exchange hears of
// the release in either order. A set-up behind it has lost its caller, and counts as one that never came.
func TestGatewayReleaseAndConnectionFailure(t *testing.T) {
	testBothOrders(t, "the release", "the failed write", func(t *testing.T, release bool) {
		a := startFakeExchange(t, "127.0.0.1:0")
		x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0", "s-0"}}, withGateways)
		p := x.dialGateway("<p>")
		key := p.setUp("1", 3*time.Second)
		id := a.awaitInvite(1)
		a.send(sipResponse(id, "INVITE", 200, 1, "a"))
		x.answers.await(t, key, 1)
		p.mu.Lock()
		context := p.contexts[key]
		p.mu.Unlock()
		off := &h248.Transaction{ID: 7, Actions: []*h248.Action{{Context: context, Commands: []*h248.Command{{Name: "Subtract", Termination: key}}}}}
		add := addTransaction("p/8", 8, "1", 3*time.Second)
		if release {
			p.send(off)
			a.awaitReceived("BYE", id, 1)
			resetConn(p.conn)
		} else {
			x.runIteration(func() {
				_, _ = p.conn.Write(frameTransactions(t, "<p>", off, add))
				resetConn(p.conn)
				x.server.loop.Write(x.latestGateway().Conn(), func(b []byte) []byte { return append(b, 'x') })
			})
			a.awaitReceived("BYE", id, 1)
		}
		x.awaitNoPendingWork()
		again := dialGatewayCaller(t, x.gatewayAddress(), x.answers, "<p>")
		again.send(add) // on a new connection it is one that has not run
		if other := a.awaitInvite(2); other == id || a.countReceived("BYE", id) != 1 {
			t.Errorf("%d releases, then %s", a.countReceived("BYE", id), other)
		}
		x.runIteration(func() { x.latestGateway().HandleClose(nil) })
	})
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
