package server

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"olivedale/internal/codec/jsonl"
	"olivedale/internal/eventloop"
)

// After SIGTERM set-ups are still taken for a while, and all of them answered.
func TestShutdownAnswersLateSetups(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	k := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	open := k.setUp("silent.1", 1500*time.Millisecond)
	eventually(t, "the set-up is out", func() bool { return s.observations.attemptsTo("silent.1") == 1 })
	s.server.Stop()
	late := dialJSONCaller(t, s.jsonAddress(), h, "bbbbbbbb")
	if got := h.await(t, late.setUp("keep.1", 4*time.Second), 1); got == "" {
		t.Error("a set-up just after SIGTERM got no answer")
	}
	if got := h.await(t, open, 1); got != "end 41" {
		t.Errorf("the open set-up got %q", got)
	}
	select {
	case err := <-s.done:
		s.done <- err
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the node did not stop")
	}
}

// SIGKILL does not wait for a call that may stay open for longer: it is answered before.
func TestShutdownEndsBeforeKill(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	open := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa").setUp("silent.1", 8*time.Second)
	eventually(t, "the set-up is out", func() bool { return s.observations.attemptsTo("silent.1") == 1 })
	s.server.Stop()
	select {
	case err := <-s.done:
		s.done <- err
		if err != nil {
			t.Error(err)
		}
	case <-time.After(shutdownTimeout + 700*time.Millisecond):
		t.Error("the node has not stopped when SIGKILL may come")
	}
	if got := h.await(t, open, 1); got != "end 34" {
		t.Errorf("the open set-up got %q", got)
	}
}

// SIGTERM, and SIGHUP and a second SIGTERM behind it: new connections and set-ups that still come are served.
func TestShutdownServesNewSetups(t *testing.T) {
	t.Parallel()
	a := startFakeExchange(t, "127.0.0.1:0")
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0", "s-0", "s-0"}})
	x.server.Stop()
	x.server.Reload(x.server.cfg)
	x.server.Stop()
	var ids []string
	for i, k := range []*jsonCaller{x.caller, x.dialCaller("cccccccc")} {
		id := k.setUp("1", 3*time.Second)
		ids = append(ids, id)
		a.awaitReceived("INVITE", id, 1)
		a.send(sipResponse(id, "INVITE", 200, 1, fmt.Sprint(i)))
		x.answers.await(t, id, 1)
	}
	// A call that stands ends while the node stops.
	a.send(sipRelease(ids[0], 16))
	x.answers.await(t, ids[0], 2)
	// A set-up comes when nothing was owed any more, just before the end.
	x.runIteration(func() {})
	eventually(t, "nothing is owed", func() (at bool) {
		x.runIteration(func() {
			if at = x.server.lifecycle.quietSince > 0; at {
				x.findClient("").HandleData(jsonSetup(testCallID, 2*time.Second))
			}
		})
		return at
	})
	a.awaitReceived("INVITE", testCallID, 1)
	if !x.isServing() {
		t.Fatal("the node ended with a set-up open")
	}
	a.send(sipResponse(testCallID, "INVITE", 200, 1, "last"))
	if got := x.answers.await(t, testCallID, 1); got != "stands last" {
		t.Error(got)
	}
	x.awaitEnd()
}

// An exchange is down as its caller releases a call that stands there, and SIGTERM comes: the release is not lost
// with the process.
func TestShutdownWaitsForRelease(t *testing.T) {
	t.Parallel()
	a, g := startFakeExchange(t, "127.0.0.1:0"), newDialGate()
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0"}}, g.configure)
	id := x.establishAndDisconnect(a, g)
	x.caller.hangUp(id)
	eventually(t, "the release waits", func() (waits bool) {
		x.runIteration(func() { waits = x.server.backends.Get("s-0").PendingReleases() == 1 })
		return waits
	})
	if !x.servesAfterLinger() {
		t.Error("the node ended and took the release along")
	}
	close(g.opened)
	a.awaitReceived("BYE", id, 1)
	x.awaitEnd()
}

// A caller of either front reads slowly as the node stops: its answers are written out before the end.
func TestShutdownWaitsForSlowReader(t *testing.T) {
	t.Parallel()
	for _, front := range []string{"JSON", "H.248"} {
		t.Run(front, func(t *testing.T) { t.Parallel(); testShutdownWithSlowReader(t, front == "H.248") })
	}
}

func testShutdownWithSlowReader(t *testing.T, isPanel bool) {
	x := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, &scriptedDecider{}, withGateways)
	ln := x.jsonAddress()
	if isPanel {
		ln = x.gatewayAddress()
	}
	c, err := net.Dial("tcp", ln)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	var mine *eventloop.Conn
	eventually(t, "the connection is there", func() bool {
		x.runIteration(func() {
			for k := range x.server.frontends.json.Clients().Oldest() {
				if k.Conn().Socket().RemoteAddr().String() == c.LocalAddr().String() {
					mine = k.Conn()
				}
			}
			for p := range x.server.frontends.gateway.Gateways().Oldest() {
				mine = p.Conn()
			}
		})
		return mine != nil
	})
	lines := 0
	x.runIteration(func() {
		_ = mine.Socket().SetWriteBuffer(4 << 10)
		mine.LimitUnread(false)                            // the bound on what waits for a caller is not what is looked at,
		mine.RecordInput(x.server.loop.Now(), true, false) // nor how long one may say nothing
		for ; mine.Socket().OutboundBuffered() < 64<<10; lines++ {
			x.server.loop.Write(mine, func(b []byte) []byte { return append(b, jsonMessage(jsonl.Finish, fmt.Sprintf("%016x", lines))...) })
			x.server.loop.Flush()
		}
	})
	if !x.servesAfterLinger() {
		t.Error("the node ended with answers in its buffer")
	}
	_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
	all, err := io.ReadAll(c)
	if err != nil {
		t.Error(err)
	}
	if got := strings.Count(string(all), "FINISH"); got != lines {
		t.Errorf("%d answers of %d came", got, lines)
	}
	x.awaitEnd()
}

// SIGKILL is near: the set-up that is open, and one that comes now, are answered at once, each once.
func TestShutdownTimeout(t *testing.T) {
	t.Parallel()
	a := startFakeExchange(t, "127.0.0.1:0")
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
	id := x.caller.setUp("1", 8*time.Second)
	a.awaitReceived("INVITE", id, 1)
	x.server.Stop()
	eventually(t, "time is out", func() (out bool) {
		x.runIteration(func() {
			if out = x.server.isOutOfTime(x.server.loop.Now()); out {
				x.findClient("").HandleData(jsonSetup(testCallID, 2*time.Second))
			}
		})
		return out
	})
	x.awaitEnd()
	eventually(t, "both are answered", func() bool { return x.answers.of(id) != "" && x.answers.of(testCallID) != "" })
	if !strings.HasPrefix(x.answers.of(id), "end ") || strings.Count(x.answers.of(id), "end") != 1 || x.answers.of(testCallID) != "end 34" {
		t.Errorf("the callers heard %q and %q", x.answers.of(id), x.answers.of(testCallID))
	}
	if a.countReceived("CANCEL", id) != 1 || a.countReceived("INVITE", testCallID) != 0 {
		t.Errorf("%d given up, %d sent", a.countReceived("CANCEL", id), a.countReceived("INVITE", testCallID))
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
