package server

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"olivedale/internal/backend"
	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/codec/sip"
	"olivedale/internal/config"
	"olivedale/internal/eventloop"
	"olivedale/internal/frontend/gateway"
	"olivedale/internal/frontend/jsonclient"
)

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

// A caller's connection is gone, in whatever way, as the answer to its set-up comes: nobody has heard that the call
// stands, and the exchange hears that it is over. Half closed counts as gone: on the wire it is the same until
// something is written, and a set-up of a caller that left must not be sent on.
func TestCallerLeavesAsAnswerArrives(t *testing.T) {
	for _, how := range []string{"reset", "closed", "half closed"} {
		t.Run(how, func(t *testing.T) {
			testBothOrders(t, "the end", "the answer", func(t *testing.T, end bool) {
				a := startFakeExchange(t, "127.0.0.1:0")
				x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0"}})
				k := x.dialCaller("cccccccc")
				id := k.setUp("1", 3*time.Second)
				a.awaitReceived("INVITE", id, 1)
				leave := func() {
					switch how {
					case "reset":
						resetConn(k.conn)
					case "closed":
						k.close()
					default:
						_ = k.conn.(*net.TCPConn).CloseWrite()
					}
				}
				if end {
					leave()
					a.awaitReceived("CANCEL", id, 1)
					x.awaitNoPendingWork()
					a.send(sipResponse(id, "INVITE", 200, 1, "a"))
					a.awaitReceived("BYE", id, 1)
					return
				}
				x.runIteration(func() { // the connection has ended before the answer is written to it
					leave()
					x.deliver(0, sipResponse(id, "INVITE", 200, 1, "a"))
				})
				x.awaitNoPendingWork()
				switch how {
				case "reset":
					a.awaitReceived("BYE", id, 1)
				case "half closed": // it hears the answer, and may release the call on another connection
					if got := x.answers.await(t, id, 1); got != "stands a" {
						t.Error(got)
					}
					x.caller.hangUp(id)
					a.awaitReceived("BYE", id, 1)
				}
				if n := a.countReceived("CANCEL", id); n != 0 {
					t.Errorf("a call that stands was given up %d times", n)
				}
			})
		})
	}
}

// The word that a call stands has been written, and its caller's connection breaks later, under another write: the call
// goes on, for no connection owns it.
func TestEstablishedCallSurvivesItsConnection(t *testing.T) {
	t.Parallel()
	a := startFakeExchange(t, "127.0.0.1:0")
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0"}})
	k := x.dialCaller("cccccccc")
	id := k.setUp("1", 3*time.Second)
	a.awaitReceived("INVITE", id, 1)
	a.send(sipResponse(id, "INVITE", 200, 1, "a"))
	x.answers.await(t, id, 1)
	x.runIteration(func() {
		mine := x.findClient("")
		resetConn(k.conn)
		x.server.loop.Write(mine.Conn(), func(b []byte) []byte { return append(b, jsonMessage(jsonl.Echoed, "t")...) })
	})
	eventually(t, "the connection is gone", func() (gone bool) {
		x.runIteration(func() { gone = x.server.frontends.json.Clients().Len() == 1 })
		return gone
	})
	x.runIteration(func() {
		if !x.server.calls.Contains(id) {
			t.Error("the call was released")
		}
	})
	a.send(sipRelease(id, 16))
	if got := x.answers.await(t, id, 2); got != "stands a end 16" { // on the connection that is there
		t.Error(got)
	}
}

// A caller who never lets the loop rest owes and is owed nothing: the node ends all the same, and in good time.
func TestShutdownUnderSteadyTraffic(t *testing.T) {
	t.Parallel()
	x := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, &scriptedDecider{})
	c, err := net.Dial("tcp", x.jsonAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	rounds := make(chan int, 1)
	go func() {
		buf, n := make([]byte, 256), 0
		for ; ; n++ {
			if _, err := c.Write(jsonMessage(jsonl.Echo, "t")); err != nil {
				break
			}
			if _, err := c.Read(buf); err != nil {
				break
			}
		}
		rounds <- n
	}()
	x.server.Stop()
	x.awaitEnd()
	if n := <-rounds; n < 100 {
		t.Errorf("%d rounds are no steady traffic", n)
	}
}

// A set-up lies whole in the socket as the node decides to end: it is answered, as one that trying again does not harm,
// and not sent. Where it comes first it is served. Half a line is no set-up, until the rest comes.
func TestShutdownCrossesSetup(t *testing.T) {
	for _, front := range []string{"JSON", "H.248"} {
		t.Run(front, func(t *testing.T) {
			testBothOrders(t, "the decision", "the set-up", func(t *testing.T, decision bool) {
				a := startFakeExchange(t, "127.0.0.1:0")
				x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0"}}, withGateways)
				c, key, text := x.caller.conn, testCallID, jsonSetup(testCallID, 2*time.Second)
				if front == "H.248" {
					p := x.dialGateway("<p>")
					c, key, text = p.conn, "p/8", frameTransactions(t, "<p>", addTransaction("p/8", 8, "1", 2*time.Second))
				}
				_, _ = c.Write(text[:len(text)/2])
				x.server.Stop()
				done := make(chan struct{})
				x.server.loop.Execute(func() {
					defer close(done)
					var mine *eventloop.Conn
					x.server.loop.RunIteration(func() {
						x.server.lifecycle.drainingSince -= lingerTime
						x.server.lifecycle.quietSince = x.server.loop.Now() - 2*quietTime
						runInOrder(decision, func() { x.server.checkShutdown(x.server.loop.Now()) }, func() {
							_, _ = c.Write(text[len(text)/2:])
							p, k := x.latestGateway(), x.findClient("")
							if mine = k.Conn(); p != nil {
								mine = p.Conn()
							}
							switch {
							case decision: // it is not read before the connections are closed
							case p != nil:
								p.Conn().ReadPending(p.HandleData)
							default:
								k.Conn().ReadPending(k.HandleData)
							}
						})
					})
					if decision {
						x.server.loop.CloseSocket(mine.Socket()) // as the engine closes them all
					}
				})
				<-done
				if !decision {
					a.send(sipResponse(a.awaitInvite(1), "INVITE", 486, 1, ""))
				}
				x.awaitEnd()
				want := map[bool]string{true: "end 34", false: "end 41"}[decision]
				if got := x.answers.await(t, key, 1); got != want {
					t.Error(got)
				}
				a.mu.Lock()
				defer a.mu.Unlock()
				if decision && slices.ContainsFunc(a.received, func(s string) bool { return s != "CLOSED" }) {
					t.Errorf("the exchange heard %v", a.received)
				}
			})
		})
	}
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

// A set-up and its give-up come on two connections, and either may be read first: nothing is sent on, or the exchange
// hears at once that it is over.
func TestCancelIsReadBeforeItsSetup(t *testing.T) {
	testBothOrders(t, "the give-up", "the set-up", func(t *testing.T, giveUp bool) {
		a := startFakeExchange(t, "127.0.0.1:0")
		x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
		other := x.dialCaller("cccccccc")
		x.runIteration(func() {
			var all []*jsonclient.Client
			for k := range x.server.frontends.json.Clients().Oldest() {
				all = append(all, k)
			}
			runInOrder(giveUp, func() { all[1].HandleData(jsonMessage(jsonl.Finish, testCallID)) }, func() { all[0].HandleData(jsonSetup(testCallID, 2*time.Second)) })
		})
		x.awaitNoPendingWork()
		x.decider.setServers("s-0")
		last := other.setUp("1", 2*time.Second)
		a.awaitReceived("INVITE", last, 1)
		if n := a.countReceived("INVITE", testCallID); n != 0 {
			t.Errorf("%d set-ups of a caller that had left", n)
		}
	})
}

// withGateways opens the front of H.248.
func withGateways(o *Options) { o.H248 = &config.H248{Listen: "127.0.0.2:0", Admin: "127.0.0.3:0"} }

// dialGateway brings a panel, which has said its name when it returns.
func (x *testbed) dialGateway(mid string) *gatewayCaller {
	x.t.Helper()
	p := dialGatewayCaller(x.t, x.gatewayAddress(), x.answers, mid)
	p.lastID = 100
	before := len(strings.Fields(x.answers.of(strings.Trim(mid, "<>")+"/100"))) / 2
	p.send(&h248.Transaction{ID: 100, Actions: []*h248.Action{{Context: "-", Commands: []*h248.Command{{Name: "AuditValue", Termination: "ROOT"}}}}})
	x.answers.await(x.t, strings.Trim(mid, "<>")+"/100", before+1)
	return p
}

// latestGateway is the node's side of the panel that spoke last.
func (x *testbed) latestGateway() *gateway.Gateway {
	for p := range x.server.frontends.gateway.Gateways().Latest() {
		return p
	}
	return nil
}

// frameTransactions is transactions as they go over the wire.
func frameTransactions(t *testing.T, mid string, all ...*h248.Transaction) (b []byte) {
	t.Helper()
	for _, tr := range all {
		var err error
		if b, err = h248.AppendFrame(b, &h248.Message{MID: mid, Transactions: []*h248.Transaction{tr}}); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// awaitInvite waits for the nth set-up to come and tells its id.
func (x *fakeExchange) awaitInvite(n int) (id string) {
	x.t.Helper()
	eventually(x.t, fmt.Sprint(n, " set-ups"), func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		seen := 0
		for _, s := range x.received {
			if f := strings.Fields(s); f[0] == "INVITE" {
				if seen++; seen == n {
					id = f[1]
				}
			}
		}
		return id != ""
	})
	return id
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

// A panel that has been silent for too long speaks as its connection is to be closed: it is heard, and stays.
func TestGatewaySetupCrossesIdleClose(t *testing.T) {
	t.Parallel()
	a := startFakeExchange(t, "127.0.0.1:0")
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0"}}, withGateways)
	c, err := net.Dial("tcp", x.gatewayAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	eventually(t, "the panel is there", func() (there bool) {
		x.runIteration(func() { there = x.latestGateway() != nil })
		return there
	})
	x.runIteration(func() {
		p := x.latestGateway()
		_, _ = c.Write(frameTransactions(t, "<p>", addTransaction("p/1", 1, "1", 3*time.Second)))
		x.server.frontends.gateway.CloseOverdue(x.server.loop.Now() + 2*eventloop.InputTimeout)
		if !p.Conn().IsOpen() {
			t.Error("it is closed with a set-up on it")
		}
	})
	a.awaitInvite(1)
}

// The node stops while the release of a call waits for its panel to come back: it is said before the end.
func TestShutdownWaitsForGateway(t *testing.T) {
	t.Parallel()
	a := startFakeExchange(t, "127.0.0.1:0")
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0"}}, withGateways)
	p := x.dialGateway("<p>")
	key := p.setUp("1", 3*time.Second)
	id := a.awaitInvite(1)
	a.send(sipResponse(id, "INVITE", 200, 1, "a"))
	x.answers.await(t, key, 1)
	p.close()
	eventually(t, "the panel has left", func() (left bool) {
		x.runIteration(func() { left = x.latestGateway() == nil })
		return left
	})
	a.send(sipRelease(id, 16))
	eventually(t, "the release waits", func() (waits bool) {
		x.runIteration(func() { waits = x.server.frontends.gateway.PendingNotifies() == 1 })
		return waits
	})
	if !x.servesAfterLinger() {
		t.Fatal("the node ended and took the release along")
	}
	x.dialGateway("<p>")
	if got := x.answers.await(t, key, 2); !strings.HasSuffix(got, "end 16") {
		t.Error(got)
	}
	x.awaitEnd()
}

// SIGKILL is near: what a panel has open, and what it sends now, is answered at once, each once.
func TestShutdownTimeoutForGateways(t *testing.T) {
	t.Parallel()
	a := startFakeExchange(t, "127.0.0.1:0")
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0", "s-0"}}, withGateways)
	p := x.dialGateway("<p>")
	key := p.setUp("1", 8*time.Second)
	id := a.awaitInvite(1)
	x.server.Stop()
	eventually(t, "time is out", func() (out bool) {
		x.runIteration(func() {
			if out = x.server.isOutOfTime(x.server.loop.Now()); out {
				x.latestGateway().HandleData(frameTransactions(t, "<p>", addTransaction("p/200", 200, "1", 3*time.Second)))
			}
		})
		return out
	})
	x.awaitEnd()
	eventually(t, "both are answered", func() bool { return x.answers.of(key) != "" && x.answers.of("p/200") != "" })
	if got := x.answers.of(key) + " " + x.answers.of("p/200"); got != "end 34 end 34" {
		t.Errorf("the panel heard %q", got)
	}
	if n := a.countReceived("CANCEL", id); n != 1 {
		t.Errorf("%d given up", n)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.received {
		if s != "CLOSED" && !strings.Contains(s, id) {
			t.Errorf("the exchange heard %s", s)
		}
	}
}
