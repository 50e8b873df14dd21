package server

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/backend"
	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/sip"
)

// A set-up waits for a dial. Its caller leaves, by a give-up, by closing its connection, or as its time runs out
// in the very turn in which the dial comes up: nothing is sent on.
func TestDialCompletesAfterCallerLeft(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"gives up", "closes", "runs out"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			a := startFakeExchange(t, "127.0.0.1:0")
			gate := make(chan struct{})
			x := startTestbed(t, nil, &scriptedDecider{servers: []string{"s-0", "s-0", "s-0"}}, func(o *Options) {
				o.dial = func(addr string, limit time.Duration) (net.Conn, error) { <-gate; return backend.DialTCP(addr, limit) }
			})
			x.discovery.set(endpointLine{id: "s-0", addr: a.addr()})
			eventually(t, "the exchange is known", func() (known bool) {
				x.runIteration(func() { known = x.server.backends.Get("s-0") != nil })
				return known
			})
			k := x.dialCaller("cccccccc")
			id := k.setUp("1", 400*time.Millisecond)
			x.awaitQueuedSetups(1)
			switch how {
			case "gives up":
				k.hangUp(id)
			case "closes":
				k.close()
			}
			if how != "runs out" {
				x.awaitQueuedSetups(0)
				close(gate)
			} else {
				x.runIteration(func() { // the connection is handed to the loop while it stands, and before its timer
					until := x.server.loop.Now() + 450*time.Millisecond
					close(gate)
					for x.server.loop.Now() < until {
						time.Sleep(time.Millisecond)
					}
				})
				if got := x.answers.await(t, id, 1); got != "end 41" {
					t.Error(got)
				}
			}
			eventually(t, "the link is up", func() (up bool) {
				x.runIteration(func() { up = x.server.backends.Get("s-0").IsConnected() })
				return up
			})
			x.awaitNoPendingWork()
			last := x.caller.setUp("1", 2*time.Second)
			a.awaitReceived("INVITE", last, 1)
			if n := a.countReceived("INVITE", id) + a.countReceived("CANCEL", id); n != 0 {
				t.Errorf("%d messages of a set-up whose caller had left", n)
			}
		})
	}
}

func TestDrainAndRemovalStopSetups(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false, false), newAnswerLog()
	k := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	key := k.setUp("keep.1", 4*time.Second)
	h.await(t, key, 1)
	s.discovery.mu.Lock()
	lines := append([]endpointLine(nil), s.discovery.lines...)
	s.discovery.queriesToDrop = 2 // lost on the way: it is asked again
	s.discovery.mu.Unlock()
	lines[0].draining = true
	s.discovery.set(lines...)
	eventually(t, "the drain is known", func() bool {
		drained := make(chan bool, 1)
		s.server.loop.Execute(func() { drained <- s.server.backends.Get("s-0").IsDraining() })
		return <-drained
	})
	invited := func() int {
		s.exchanges[0].mu.Lock()
		defer s.exchanges[0].mu.Unlock()
		return s.exchanges[0].invited
	}
	before := invited()
	h.await(t, k.setUp("keep.2", 4*time.Second), 1)
	if n := invited(); n != before {
		t.Errorf("%d set-ups went to a server that drains", n-before)
	}
	s.discovery.set(lines[1])
	if got := h.await(t, key, 2); got != "stands "+acceptedDescription("keep.1")+" end 41" {
		t.Errorf("the call at the server that is gone: %q", got)
	}
}

// A process that dies cuts its calls: its connection is reset and nobody listens.
func TestDeadExchangeDropsItsCalls(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false, false), newAnswerLog()
	k := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	key := k.setUp("keep.1", 4*time.Second)
	h.await(t, key, 1)
	s.exchanges[0].stop()
	if got := h.await(t, key, 2); got != "stands "+acceptedDescription("keep.1")+" end 41" {
		t.Errorf("heard %q", got)
	}
	if got := h.await(t, k.setUp("keep.2", 4*time.Second), 1); got != "stands "+acceptedDescription("keep.2") {
		t.Errorf("the next call: %q", got)
	}
}

// A connection to an exchange that stops half way in an answer, or brings nothing any more,
// and stays open is given up for a new one; so is what is open on it.
func TestUnresponsiveExchangeIsRedialed(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"half", "mute"} {
		t.Run(kind, func(t *testing.T) {
			s, h := startTestServer(t, false), newAnswerLog()
			k := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
			first := s.server.backends.Get("s-0").DialSerial()
			stood := k.setUp("keep.1", 5*time.Second)
			h.await(t, stood, 1)
			k.setUp(kind+".1", 200*time.Millisecond)
			eventually(t, "the link is dialled anew", func() bool {
				serial := make(chan int, 1)
				s.server.loop.Execute(func() { serial <- s.server.backends.Get("s-0").DialSerial() })
				return <-serial > first
			})
			eventually(t, "there is service", func() bool { return strings.HasPrefix(h.await(t, k.setUp("keep.2", 5*time.Second), 1), "stands") })
			if got := h.of(stood); got != "stands "+acceptedDescription("keep.1") {
				t.Errorf("the call that stood: %q", got) // it belongs to no connection
			}
		})
	}
}

// An exchange reads nothing and what it was sent waits here: a set-up is not left in that buffer, where nothing takes
// it back. It goes elsewhere, and its caller leaves: when the exchange reads on, it hears nothing of that call.
func TestSetupIsNotLeftInWriteBuffer(t *testing.T) {
	t.Parallel()
	a, b := startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0")
	a.mu.Lock()
	a.readsNothing = true
	a.mu.Unlock()
	x := startTestbed(t, []*fakeExchange{a, b}, &scriptedDecider{servers: []string{"s-0", "s-1"}})
	x.runIteration(func() {
		s := x.server.backends.Get("s-0").Connection()
		_ = s.Socket().SetWriteBuffer(4 << 10)
		for s.Socket().OutboundBuffered() == 0 {
			x.server.loop.Write(s, func(b []byte) []byte {
				for range 100 {
					b = sip.AppendRequest(b, &sip.Request{Method: "OPTIONS", Number: "ping", CallID: testCallID, CSeq: 1})
				}
				return b
			})
			x.server.loop.Flush()
		}
	})
	id := x.caller.setUp("1", 3*time.Second)
	eventually(t, "the attempt is out", func() (out bool) {
		x.runIteration(func() {
			out = x.server.backends.Get("s-0").OpenAttempts()+x.server.backends.Get("s-1").OpenAttempts() > 0
		})
		return out
	})
	x.caller.hangUp(id)
	x.awaitNoPendingWork()
	go a.readFrom(a.awaitConn())
	eventually(t, "the buffer is empty", func() (empty bool) {
		x.runIteration(func() { empty = x.server.backends.Get("s-0").Connection().Socket().OutboundBuffered() == 0 })
		return empty
	})
	x.decider.setServers("s-0")
	last := x.caller.setUp("1", 3*time.Second)
	a.awaitReceived("INVITE", last, 1)
	if n := a.countReceived("INVITE", id); n != 0 {
		t.Fatalf("%d set-ups of a caller that had left", n)
	}
	b.awaitReceived("CANCEL", id, 1)
}

// The node stands still, and an answer comes meanwhile to a connection that looks mute or stuck half way once it goes
// on, or that is to be closed for a new address: the answer counts, and the call is tried nowhere else.
func TestAnswerWhileProcessWasStopped(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"mute", "half way", "moved"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			a, b := startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0")
			x := startTestbed(t, []*fakeExchange{a, b}, &scriptedDecider{servers: []string{"s-0", "s-1", "s-1"}})
			id := x.caller.setUp("1", 5*time.Second)
			a.awaitReceived("INVITE", id, 1)
			answer := sipResponse(id, "INVITE", 200, 1, "a")
			c := a.awaitConn()
			x.runIteration(func() {
				l, now := x.server.backends.Get("s-0"), x.server.loop.Now()
				if how == "half way" {
					x.deliver(0, answer[:20])
					answer = answer[20:]
					now += 2 * backend.PartialMessageTimeout
				} else {
					now += 2 * l.ResponseTimeout()
				}
				_, _ = c.Write(answer)
				if how == "moved" {
					l.Move(b.addr())
				} else {
					l.CheckResponsiveness(now)
				}
			})
			if got := x.answers.await(t, id, 1); got != "stands a" {
				t.Error(got)
			}
			x.awaitNoPendingWork()
			if n := len(x.decider.results(id)); n != 0 {
				t.Errorf("%d ends of attempts of a call that stands", n)
			}
		})
	}
}

// Pieces of an exchange's messages each bring the rest of one and part of the next, for longer than the rest of one may
// take: the connection stays. Where no message ends any more it does not.
func TestInputThatEndsWithinMessages(t *testing.T) {
	t.Parallel()
	x := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, &scriptedDecider{})
	x.runIteration(func() {
		l, m := x.server.backends.Get("s-0"), sipResponse(testCallID, "INVITE", 486, 1, "")
		s := l.Connection()
		x.deliver(0, m[:20])
		for range 5 {
			time.Sleep(backend.PartialMessageTimeout * 3 / 4)
			x.deliver(0, append(m[20:len(m):len(m)], m[:20]...))
			l.CheckResponsiveness(x.server.loop.Now())
		}
		if l.Connection() != s {
			t.Error("a connection that brings whole messages was closed")
		}
		for range 5 {
			time.Sleep(backend.PartialMessageTimeout * 3 / 4)
			x.deliver(0, []byte("x"))
			l.CheckResponsiveness(x.server.loop.Now())
		}
		if l.Connection() == s {
			t.Error("a connection that brings nothing whole stays")
		}
	})
}

// An earlier attempt was released at an exchange that confirms nothing, and a later one stands there, under the same id
// on the wire. When the connection breaks and comes up again, the old release is not said again: it would end the call.
func TestOldReleaseDoesNotEndLaterAttempt(t *testing.T) {
	t.Parallel()
	a := startFakeExchange(t, "127.0.0.1:0")
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{retryDelay: retryGuard, servers: []string{"s-0", "s-0", "s-0"}})
	id := x.caller.setUp("1", 5*time.Second)
	a.awaitReceived("INVITE", id, 1)
	x.runIteration(func() { // its answer crosses our giving it up
		x.server.calls.AttemptEnded("s-0", id, 0, call.TimedOut)
		x.server.backends.Get("s-0").Cancel(id, 0)
		x.deliver(0, sipResponse(id, "INVITE", 200, 1, "late"))
	})
	a.awaitReceived("BYE", id, 1)
	a.awaitReceived("INVITE", id, 2)
	a.send(sipResponse(id, "INVITE", 200, 2, "b"))
	if got := x.answers.await(t, id, 1); got != "stands b" {
		t.Fatal(got)
	}
	resetConn(a.awaitConn())
	last := x.caller.setUp("1", 3*time.Second)
	a.awaitReceived("INVITE", last, 1)
	if n := a.countReceived("BYE", id); n != 1 {
		t.Errorf("%d releases of a call that stands", n-1)
	}
	x.caller.hangUp(id) // its own release is said, and again on the next connection
	a.awaitReceived("BYE", id, 2)
	resetConn(a.awaitConn())
	a.awaitReceived("BYE", id, 3)
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

// A server that says that it drains gets nothing new from then on; one that is out
// has lost its calls, and one that returns is used again.
func TestServerServiceChange(t *testing.T) {
	s, h := startTestServer(t, true, true), newAnswerLog()
	k := dialGatewayCaller(t, s.gatewayAddress(), h, "<p>")
	key := k.setUp("keep.1", 4*time.Second)
	h.await(t, key, 1)
	id := uint32(100)
	say := func(method string) {
		id++
		b, err := h248.AppendFrame(nil, &h248.Message{MID: "<server>", Transactions: []*h248.Transaction{{ID: id,
			Actions: []*h248.Action{{Context: "-", Commands: []*h248.Command{{Name: "ServiceChange", Termination: "ROOT",
				Descriptors: []*h248.Node{{Name: "Services", Kids: []*h248.Node{{Name: "Method", Value: method}}}}}}}}}}})
		if err != nil {
			t.Fatal(err)
		}
		s.exchanges[0].mu.Lock()
		defer s.exchanges[0].mu.Unlock()
		for c := range s.exchanges[0].conns {
			_, _ = c.Write(b)
		}
	}
	draining := func() bool {
		ch := make(chan bool, 1)
		s.server.loop.Execute(func() { ch <- s.server.backends.Get("s-0").IsDraining() })
		return <-ch
	}
	invites := func() string {
		s.exchanges[0].mu.Lock()
		defer s.exchanges[0].mu.Unlock()
		return fmt.Sprint(s.exchanges[0].invited)
	}
	say("Graceful")
	eventually(t, "it drains", draining)
	before := invites()
	if got := h.await(t, k.setUp("keep.2", 4*time.Second), 1); got != "stands "+acceptedDescription("keep.2") {
		t.Errorf("while one server drains: %q", got)
	}
	say("Forced")
	if got := h.await(t, key, 2); got != "stands "+acceptedDescription("keep.1")+" end 41" {
		t.Errorf("the call at the server that is out: %q", got)
	}
	if got := invites(); got != before {
		t.Errorf("invited %s times, %s before it drained", got, before)
	}
	say("Restart")
	eventually(t, "it is back", func() bool { return !draining() })
}
