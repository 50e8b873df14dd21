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

// A set-up is queued for a dial and ends before the dial completes: the caller cancels it, closes its connection, or
// the set-up times out in the same iteration in which the dial completes. Nothing may be sent to the exchange.
func TestDialCompletesAfterCallerLeft(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"cancels the call", "closes", "times out"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			exchange := startFakeExchange(t, "127.0.0.1:0")
			gate := make(chan struct{})
			bed := startTestbed(t, nil, &scriptedDecider{servers: []string{"s-0", "s-0", "s-0"}}, func(o *Options) {
				o.dial = func(addr string, limit time.Duration) (net.Conn, error) { <-gate; return backend.DialTCP(addr, limit) }
			})
			bed.discovery.set(endpointLine{id: "s-0", addr: exchange.addr()})
			eventually(t, "the exchange is known", func() (known bool) {
				bed.runIteration(func() { known = bed.server.backends.Get("s-0") != nil })
				return known
			})
			k := bed.dialCaller("cccccccc")
			id := k.setUp("1", 400*time.Millisecond)
			bed.awaitQueuedSetups(1)
			switch how {
			case "cancels the call":
				k.hangUp(id)
			case "closes":
				k.close()
			}
			if how != "times out" {
				bed.awaitQueuedSetups(0)
				close(gate)
			} else {
				bed.runIteration(func() { // the loop is blocked while the connection is passed to it, ahead of the timer
					until := bed.server.loop.Now() + 450*time.Millisecond
					close(gate)
					for bed.server.loop.Now() < until {
						time.Sleep(time.Millisecond)
					}
				})
				if got := bed.answers.await(t, id, 1); got != "end 41" {
					t.Error(got)
				}
			}
			eventually(t, "the exchange is connected", func() (up bool) {
				bed.runIteration(func() { up = bed.server.backends.Get("s-0").IsConnected() })
				return up
			})
			bed.awaitNoPendingWork()
			last := bed.caller.setUp("1", 2*time.Second)
			exchange.awaitReceived("INVITE", last, 1)
			if n := exchange.countReceived("INVITE", id) + exchange.countReceived("CANCEL", id); n != 0 {
				t.Errorf("the exchange received %d messages for a set-up whose caller had left, want none", n)
			}
		})
	}
}

func TestDrainAndRemovalStopSetups(t *testing.T) {
	t.Parallel()
	server, answers := startTestServer(t, false, false), newAnswerLog()
	client := dialJSONCaller(t, server.jsonAddress(), answers, "aaaaaaaa")
	key := client.setUp("keep.1", 4*time.Second)
	answers.await(t, key, 1)
	server.discovery.mu.Lock()
	lines := append([]endpointLine(nil), server.discovery.lines...)
	server.discovery.queriesToDrop = 2 // lost queries are repeated
	server.discovery.mu.Unlock()
	lines[0].draining = true
	server.discovery.set(lines...)
	eventually(t, "the drain is known", func() bool {
		drained := make(chan bool, 1)
		server.server.loop.Execute(func() { drained <- server.server.backends.Get("s-0").IsDraining() })
		return <-drained
	})
	invited := func() int {
		server.exchanges[0].mu.Lock()
		defer server.exchanges[0].mu.Unlock()
		return server.exchanges[0].invited
	}
	before := invited()
	answers.await(t, client.setUp("keep.2", 4*time.Second), 1)
	if n := invited(); n != before {
		t.Errorf("%d set-ups were sent to a draining exchange", n-before)
	}
	server.discovery.set(lines[1])
	if got := answers.await(t, key, 2); got != "stands "+acceptedDescription("keep.1")+" end 41" {
		t.Errorf("the call at the removed exchange: got %q", got)
	}
}

// An exchange process dies: its connection is reset and it no longer listens. Its calls are released.
func TestDeadExchangeDropsItsCalls(t *testing.T) {
	t.Parallel()
	server, answers := startTestServer(t, false, false), newAnswerLog()
	client := dialJSONCaller(t, server.jsonAddress(), answers, "aaaaaaaa")
	key := client.setUp("keep.1", 4*time.Second)
	answers.await(t, key, 1)
	server.exchanges[0].stop()
	if got := answers.await(t, key, 2); got != "stands "+acceptedDescription("keep.1")+" end 41" {
		t.Errorf("got %q", got)
	}
	if got := answers.await(t, client.setUp("keep.2", 4*time.Second), 1); got != "stands "+acceptedDescription("keep.2") {
		t.Errorf("the next call: got %q", got)
	}
}

// A connection to an exchange delivers only part of an answer, or nothing any more, but stays open. It is replaced by a
// new connection, and the attempts on it end.
func TestUnresponsiveExchangeIsRedialed(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"half", "mute"} {
		t.Run(kind, func(t *testing.T) {
			server, answers := startTestServer(t, false), newAnswerLog()
			client := dialJSONCaller(t, server.jsonAddress(), answers, "aaaaaaaa")
			first := server.server.backends.Get("s-0").DialSerial()
			established := client.setUp("keep.1", 5*time.Second)
			answers.await(t, established, 1)
			client.setUp(kind+".1", 200*time.Millisecond)
			eventually(t, "the exchange is dialed again", func() bool {
				serial := make(chan int, 1)
				server.server.loop.Execute(func() { serial <- server.server.backends.Get("s-0").DialSerial() })
				return <-serial > first
			})
			eventually(t, "a call is established", func() bool {
				return strings.HasPrefix(answers.await(t, client.setUp("keep.2", 5*time.Second), 1), "stands")
			})
			if got := answers.of(established); got != "stands "+acceptedDescription("keep.1") {
				t.Errorf("the established call: got %q", got) // established calls do not depend on a connection
			}
		})
	}
}

// An exchange stops reading, so output accumulates in the write buffer of its connection. A set-up must not be added to
// that buffer, from which it cannot be withdrawn; it is sent to another exchange. When its caller leaves and the first
// exchange reads again, the first exchange receives nothing for that call.
func TestSetupIsNotLeftInWriteBuffer(t *testing.T) {
	t.Parallel()
	first, second := startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0")
	first.mu.Lock()
	first.readsNothing = true
	first.mu.Unlock()
	bed := startTestbed(t, []*fakeExchange{first, second}, &scriptedDecider{servers: []string{"s-0", "s-1"}})
	bed.runIteration(func() {
		s := bed.server.backends.Get("s-0").Connection()
		_ = s.Socket().SetWriteBuffer(4 << 10)
		for s.Socket().OutboundBuffered() == 0 {
			bed.server.loop.Write(s, func(b []byte) []byte {
				for range 100 {
					b = sip.AppendRequest(b, &sip.Request{Method: "OPTIONS", Number: "ping", CallID: testCallID, CSeq: 1})
				}
				return b
			})
			bed.server.loop.Flush()
		}
	})
	id := bed.caller.setUp("1", 3*time.Second)
	eventually(t, "the attempt is sent", func() (out bool) {
		bed.runIteration(func() {
			out = bed.server.backends.Get("s-0").OpenAttempts()+bed.server.backends.Get("s-1").OpenAttempts() > 0
		})
		return out
	})
	bed.caller.hangUp(id)
	bed.awaitNoPendingWork()
	go first.readFrom(first.awaitConn())
	eventually(t, "the write buffer is empty", func() (empty bool) {
		bed.runIteration(func() { empty = bed.server.backends.Get("s-0").Connection().Socket().OutboundBuffered() == 0 })
		return empty
	})
	bed.decider.setServers("s-0")
	last := bed.caller.setUp("1", 3*time.Second)
	first.awaitReceived("INVITE", last, 1)
	if n := first.countReceived("INVITE", id); n != 0 {
		t.Fatalf("the exchange received %d set-ups of a caller that had left, want none", n)
	}
	second.awaitReceived("CANCEL", id, 1)
}

// The process is suspended, and an answer arrives meanwhile. When the process resumes, the connection appears
// unresponsive, appears stalled within a message, or is about to be closed because its address has changed. The answer
// must still be processed, and no second attempt may start.
func TestAnswerWhileProcessWasStopped(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"mute", "partial message", "moved"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			first, second := startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0")
			bed := startTestbed(t, []*fakeExchange{first, second}, &scriptedDecider{servers: []string{"s-0", "s-1", "s-1"}})
			id := bed.caller.setUp("1", 5*time.Second)
			first.awaitReceived("INVITE", id, 1)
			answer := sipResponse(id, "INVITE", 200, 1, "a")
			c := first.awaitConn()
			bed.runIteration(func() {
				l, now := bed.server.backends.Get("s-0"), bed.server.loop.Now()
				if how == "partial message" {
					bed.deliver(0, answer[:20])
					answer = answer[20:]
					now += 2 * backend.PartialMessageTimeout
				} else {
					now += 2 * l.ResponseTimeout()
				}
				_, _ = c.Write(answer)
				if how == "moved" {
					l.ChangeAddress(second.addr())
				} else {
					l.CheckResponsiveness(now)
				}
			})
			if got := bed.answers.await(t, id, 1); got != "stands a" {
				t.Error(got)
			}
			bed.awaitNoPendingWork()
			if n := len(bed.decider.results(id)); n != 0 {
				t.Errorf("%d attempts of an established call were reported as ended", n)
			}
		})
	}
}

// Each segment of an exchange's input ends within a message, for longer than the timeout for partial messages. The
// connection stays open as long as each segment completes a message, and is closed when none is completed any more.
func TestInputThatEndsWithinMessages(t *testing.T) {
	t.Parallel()
	bed := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, &scriptedDecider{})
	bed.runIteration(func() {
		l, m := bed.server.backends.Get("s-0"), sipResponse(testCallID, "INVITE", 486, 1, "")
		s := l.Connection()
		bed.deliver(0, m[:20])
		for range 5 {
			time.Sleep(backend.PartialMessageTimeout * 3 / 4)
			bed.deliver(0, append(m[20:len(m):len(m)], m[:20]...))
			l.CheckResponsiveness(bed.server.loop.Now())
		}
		if l.Connection() != s {
			t.Error("a connection that delivers complete messages was closed")
		}
		for range 5 {
			time.Sleep(backend.PartialMessageTimeout * 3 / 4)
			bed.deliver(0, []byte("x"))
			l.CheckResponsiveness(bed.server.loop.Now())
		}
		if l.Connection() == s {
			t.Error("a connection that delivers no complete message is still open")
		}
	})
}

// An attempt is released at an exchange that does not confirm the release, and a later attempt of the same call, with
// the same id, is established there. When the connection breaks and is dialed again, the old release must not be
// repeated, because it would end the call.
func TestOldReleaseDoesNotEndLaterAttempt(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{retryDelay: retryGuard, servers: []string{"s-0", "s-0", "s-0"}})
	id := bed.caller.setUp("1", 5*time.Second)
	exchange.awaitReceived("INVITE", id, 1)
	bed.runIteration(func() { // the answer crosses the cancellation
		bed.server.calls.AttemptEnded("s-0", id, 0, call.TimedOut)
		bed.server.backends.Get("s-0").Cancel(id, 0)
		bed.deliver(0, sipResponse(id, "INVITE", 200, 1, "late"))
	})
	exchange.awaitReceived("BYE", id, 1)
	exchange.awaitReceived("INVITE", id, 2)
	exchange.send(sipResponse(id, "INVITE", 200, 2, "b"))
	if got := bed.answers.await(t, id, 1); got != "stands b" {
		t.Fatal(got)
	}
	resetConn(exchange.awaitConn())
	last := bed.caller.setUp("1", 3*time.Second)
	exchange.awaitReceived("INVITE", last, 1)
	if n := exchange.countReceived("BYE", id); n != 1 {
		t.Errorf("the old release was repeated %d times for an established call", n-1)
	}
	bed.caller.hangUp(id) // the release of the call itself is sent, and repeated on the next connection
	exchange.awaitReceived("BYE", id, 2)
	resetConn(exchange.awaitConn())
	exchange.awaitReceived("BYE", id, 3)
}

// An exchange starts to drain while a set-up is queued for its dial, or in the same iteration as the set-up. The set-up
// must not be sent to it.
func TestDrainWhileSetupIsQueued(t *testing.T) {
	t.Parallel()
	first, second := startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0")
	gate := make(chan struct{})
	bed := startTestbed(t, nil, &scriptedDecider{servers: []string{"s-0", "s-1", "s-1", "s-1"}}, func(o *Options) {
		o.dial = func(addr string, limit time.Duration) (net.Conn, error) {
			if addr == first.addr() {
				<-gate
			}
			return backend.DialTCP(addr, limit)
		}
	})
	bed.exchanges = []*fakeExchange{first, second}
	bed.discovery.set(endpointLine{id: "s-0", addr: first.addr()}, endpointLine{id: "s-1", addr: second.addr()})
	bed.awaitConnected(1)
	id := bed.caller.setUp("1", 2*time.Second)
	bed.awaitQueuedSetups(1)
	bed.discovery.set(endpointLine{id: "s-0", addr: first.addr(), draining: true}, endpointLine{id: "s-1", addr: second.addr()})
	second.awaitReceived("INVITE", id, 1)
	close(gate)
	bed.awaitConnected(0)
	second.send(sipResponse(id, "INVITE", 200, 2, "b"))
	if got := bed.answers.await(t, id, 1); got != "stands b" {
		t.Error(got)
	}
	bed.runIteration(func() { // the drain is processed after the decision on the set-up, in the same iteration
		bed.findClient("").HandleData(jsonSetup(testCallID, time.Second))
		bed.server.backends.Get("s-1").Drain()
	})
	bed.awaitNoPendingWork()
	if first.countReceived("INVITE", id)+second.countReceived("INVITE", testCallID) != 0 {
		t.Error("a set-up was sent to a draining exchange")
	}
}

// A new exchange takes over the address of a draining or removed one. The old exchange is not dialed at that address
// any more, and a release from the new exchange that arrives on a connection of the old one ends the call.
func TestAddressTakenOver(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	addr := exchange.addr()
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-1", "s-1"}})
	exchange.stop()
	b := startFakeExchange(t, addr) // the redial of s-0 reaches the new process before the list contains it
	old := b.awaitConn()
	bed.exchanges = append(bed.exchanges, b)
	bed.discovery.set(endpointLine{id: "s-0", addr: addr, draining: true}, endpointLine{id: "s-1", addr: addr, started: time.Now().UnixMilli()})
	bed.awaitConnected(1)
	id := bed.caller.setUp("1", 2*time.Second)
	b.awaitReceived("INVITE", id, 1)
	b.send(sipResponse(id, "INVITE", 200, 1, "b"))
	bed.answers.await(t, id, 1)
	_, _ = old.Write(sipRelease(id, 16))
	if got := bed.answers.await(t, id, 2); got != "stands b end 16" {
		t.Error(got)
	}
	var redialAt time.Duration
	bed.runIteration(func() { redialAt = bed.server.backends.Get("s-0").RedialAt() })
	resetConn(old)
	eventually(t, "the old exchange is disconnected", func() (down bool) {
		bed.runIteration(func() {
			l := bed.server.backends.Get("s-0")
			down = !l.IsConnected() && !l.IsDialing() && l.RedialAt() > redialAt
		})
		return down
	})
	b.mu.Lock()
	dials := len(b.conns)
	b.mu.Unlock()
	if dials != 2 {
		t.Errorf("%d connections to the new exchange, want 2: the redial of the old exchange and its own", dials)
	}
}

// An exchange is removed from the list but keeps running: it receives releases for the calls whose callers are told
// that they have ended. An exchange that is added later under the same id is treated as a different one.
func TestExchangeRemovedAndAddedAgain(t *testing.T) {
	t.Parallel()
	first, second := startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{first}, &scriptedDecider{retryDelay: time.Second, servers: []string{"s-0", "s-0", "s-0"}})
	id := bed.caller.setUp("1", 5*time.Second)
	first.awaitReceived("INVITE", id, 1)
	first.send(sipResponse(id, "INVITE", 200, 1, "a"))
	bed.answers.await(t, id, 1)
	open := bed.caller.setUp("1", 5*time.Second)
	first.awaitReceived("INVITE", open, 1)
	bed.discovery.set(endpointLine{id: "s-9", addr: second.addr()})
	if got := bed.answers.await(t, id, 2); got != "stands a end 41" {
		t.Error(got)
	}
	first.awaitReceived("BYE", id, 1)
	eventually(t, "the attempt has ended", func() bool { return len(bed.decider.results(open)) == 1 })
	bed.discovery.set(endpointLine{id: "s-0", addr: second.addr(), started: time.Now().UnixMilli()})
	bed.awaitConnected(0)
	second.awaitReceived("INVITE", open, 1) // after the retry guard
	bed.exchanges[0] = second
	bed.runIteration(func() { bed.deliver(0, sipResponse(open, "INVITE", 200, 2, "b")) })
	if got := bed.answers.await(t, open, 1); got != "stands b" {
		t.Error(got)
	}
	if n := len(bed.decider.results(open)); n != 1 {
		t.Errorf("%d attempts of an established call were reported as ended, want 1", n)
	}
	if c := bed.decider.results(open)[0]; c == admission.ResultServerBusy || c == admission.ResultNotSent || c == admission.ResultDialFailed {
		t.Errorf("an attempt that was sent is reported as one that never ran: %v", c)
	}
}

// An exchange announces service changes: after a graceful one it gets no new calls, after a forced one its calls are
// released, and after a restart it is used again.
func TestServerServiceChange(t *testing.T) {
	server, answers := startTestServer(t, true, true), newAnswerLog()
	client := dialGatewayCaller(t, server.gatewayAddress(), answers, "<p>")
	key := client.setUp("keep.1", 4*time.Second)
	answers.await(t, key, 1)
	id := uint32(100)
	sendServiceChange := func(method string) {
		id++
		b, err := h248.AppendFrame(nil, &h248.Message{MID: "<server>", Transactions: []*h248.Transaction{{ID: id,
			Actions: []*h248.Action{{Context: "-", Commands: []*h248.Command{{Name: "ServiceChange", Termination: "ROOT",
				Descriptors: []*h248.Node{{Name: "Services", Children: []*h248.Node{{Name: "Method", Value: method}}}}}}}}}}})
		if err != nil {
			t.Fatal(err)
		}
		server.exchanges[0].mu.Lock()
		defer server.exchanges[0].mu.Unlock()
		for c := range server.exchanges[0].conns {
			_, _ = c.Write(b)
		}
	}
	draining := func() bool {
		ch := make(chan bool, 1)
		server.server.loop.Execute(func() { ch <- server.server.backends.Get("s-0").IsDraining() })
		return <-ch
	}
	invites := func() string {
		server.exchanges[0].mu.Lock()
		defer server.exchanges[0].mu.Unlock()
		return fmt.Sprint(server.exchanges[0].invited)
	}
	sendServiceChange("Graceful")
	eventually(t, "the exchange is draining", draining)
	before := invites()
	if got := answers.await(t, client.setUp("keep.2", 4*time.Second), 1); got != "stands "+acceptedDescription("keep.2") {
		t.Errorf("a call while one exchange is draining: got %q", got)
	}
	sendServiceChange("Forced")
	if got := answers.await(t, key, 2); got != "stands "+acceptedDescription("keep.1")+" end 41" {
		t.Errorf("the call at the exchange out of service: got %q", got)
	}
	if got := invites(); got != before {
		t.Errorf("the exchange received %s set-ups, want %s as before the drain", got, before)
	}
	sendServiceChange("Restart")
	eventually(t, "the exchange is in service again", func() bool { return !draining() })
}
