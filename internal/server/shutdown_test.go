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

// After SIGTERM set-ups are accepted for a while, and all of them are answered.
func TestShutdownAnswersLateSetups(t *testing.T) {
	t.Parallel()
	server, answers := startTestServer(t, false), newAnswerLog()
	client := dialJSONCaller(t, server.jsonAddress(), answers, "aaaaaaaa")
	open := client.setUp("silent.1", 1500*time.Millisecond)
	eventually(t, "the set-up is sent", func() bool { return server.observations.attemptsTo("silent.1") == 1 })
	server.server.Stop()
	late := dialJSONCaller(t, server.jsonAddress(), answers, "bbbbbbbb")
	if got := answers.await(t, late.setUp("keep.1", 4*time.Second), 1); got == "" {
		t.Error("a set-up just after SIGTERM was not answered")
	}
	if got := answers.await(t, open, 1); got != "end 41" {
		t.Errorf("the open set-up received %q", got)
	}
	select {
	case err := <-server.done:
		server.done <- err
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the server did not stop")
	}
}

// A set-up may stay open for longer than the time until SIGKILL. It is answered before that.
func TestShutdownEndsBeforeKill(t *testing.T) {
	t.Parallel()
	server, answers := startTestServer(t, false), newAnswerLog()
	open := dialJSONCaller(t, server.jsonAddress(), answers, "aaaaaaaa").setUp("silent.1", 8*time.Second)
	eventually(t, "the set-up is sent", func() bool { return server.observations.attemptsTo("silent.1") == 1 })
	server.server.Stop()
	select {
	case err := <-server.done:
		server.done <- err
		if err != nil {
			t.Error(err)
		}
	case <-time.After(shutdownTimeout + 700*time.Millisecond):
		t.Error("the server did not stop before SIGKILL is due")
	}
	if got := answers.await(t, open, 1); got != "end 34" {
		t.Errorf("the open set-up received %q", got)
	}
}

// SIGTERM is followed by SIGHUP and a second SIGTERM. New connections and set-ups are still served.
func TestShutdownServesNewSetups(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0", "s-0", "s-0"}})
	bed.server.Stop()
	if err := bed.server.Reload(bed.server.cfg); err != nil {
		t.Error(err)
	}
	bed.server.Stop()
	var ids []string
	for i, k := range []*jsonCaller{bed.caller, bed.dialCaller("cccccccc")} {
		id := k.setUp("1", 3*time.Second)
		ids = append(ids, id)
		exchange.awaitReceived("INVITE", id, 1)
		exchange.send(sipResponse(id, "INVITE", 200, 1, fmt.Sprint(i)))
		bed.answers.await(t, id, 1)
	}
	// An established call ends during the shutdown.
	exchange.send(sipRelease(ids[0], 16))
	bed.answers.await(t, ids[0], 2)
	// A set-up arrives during the quiet period, just before the end.
	bed.runIteration(func() {})
	eventually(t, "the quiet period begins", func() (at bool) {
		bed.runIteration(func() {
			if at = bed.server.lifecycle.quietSince > 0; at {
				bed.findClient("").HandleData(jsonSetup(testCallID, 2*time.Second))
			}
		})
		return at
	})
	exchange.awaitReceived("INVITE", testCallID, 1)
	if !bed.isServing() {
		t.Fatal("the server ended with an open set-up")
	}
	exchange.send(sipResponse(testCallID, "INVITE", 200, 1, "last"))
	if got := bed.answers.await(t, testCallID, 1); got != "stands last" {
		t.Error(got)
	}
	bed.awaitEnd()
}

// A caller releases an established call while the exchange is disconnected, and SIGTERM follows. The release is not lost
// with the process.
func TestShutdownWaitsForRelease(t *testing.T) {
	t.Parallel()
	exchange, gate := startFakeExchange(t, "127.0.0.1:0"), newDialGate()
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0"}}, gate.configure)
	id := bed.establishAndDisconnect(exchange, gate)
	bed.caller.hangUp(id)
	eventually(t, "the release is queued", func() (waits bool) {
		bed.runIteration(func() { waits = bed.server.backends.Get("s-0").PendingReleases() == 1 })
		return waits
	})
	if !bed.servesAfterMinDrainTime() {
		t.Error("the server ended with a queued release")
	}
	close(gate.opened)
	exchange.awaitReceived("BYE", id, 1)
	bed.awaitEnd()
}

// A client of either frontend reads slowly while the server shuts down. All of its answers are written before the end.
func TestShutdownWaitsForSlowReader(t *testing.T) {
	t.Parallel()
	for _, front := range []string{"JSON", "H.248"} {
		t.Run(front, func(t *testing.T) { t.Parallel(); testShutdownWithSlowReader(t, front == "H.248") })
	}
}

func testShutdownWithSlowReader(t *testing.T, isGateway bool) {
	bed := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, &scriptedDecider{}, withGateways)
	address := bed.jsonAddress()
	if isGateway {
		address = bed.gatewayAddress()
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	var conn *eventloop.Conn
	eventually(t, "the connection is accepted", func() bool {
		bed.runIteration(func() {
			for k := range bed.server.frontends.json.Clients().Oldest() {
				if k.Conn().Socket().RemoteAddr().String() == c.LocalAddr().String() {
					conn = k.Conn()
				}
			}
			for p := range bed.server.frontends.gateway.Gateways().Oldest() {
				conn = p.Conn()
			}
		})
		return conn != nil
	})
	lines := 0
	bed.runIteration(func() {
		_ = conn.Socket().SetWriteBuffer(4 << 10)
		conn.LimitUnreadOutput(false)                        // disables the limit on unread output
		conn.RecordInput(bed.server.loop.Now(), true, false) // prevents the timeout of a silent connection
		for ; conn.Socket().OutboundBuffered() < 64<<10; lines++ {
			bed.server.loop.Write(conn, func(b []byte) []byte { return append(b, jsonMessage(jsonl.Finish, fmt.Sprintf("%016x", lines))...) })
			bed.server.loop.Flush()
		}
	})
	if !bed.servesAfterMinDrainTime() {
		t.Error("the server ended with unwritten answers")
	}
	_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
	all, err := io.ReadAll(c)
	if err != nil {
		t.Error(err)
	}
	if got := strings.Count(string(all), "FINISH"); got != lines {
		t.Errorf("received %d of %d answers", got, lines)
	}
	bed.awaitEnd()
}

// The shutdown times out because SIGKILL will follow soon. An open set-up, and one that arrives after the timeout, are
// answered immediately and exactly once.
func TestShutdownTimeout(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
	id := bed.caller.setUp("1", 8*time.Second)
	exchange.awaitReceived("INVITE", id, 1)
	bed.server.Stop()
	eventually(t, "the shutdown has timed out", func() (out bool) {
		bed.runIteration(func() {
			if out = bed.server.isShutdownTimedOut(bed.server.loop.Now()); out {
				bed.findClient("").HandleData(jsonSetup(testCallID, 2*time.Second))
			}
		})
		return out
	})
	bed.awaitEnd()
	eventually(t, "both are answered", func() bool { return bed.answers.of(id) != "" && bed.answers.of(testCallID) != "" })
	if !strings.HasPrefix(bed.answers.of(id), "end ") || strings.Count(bed.answers.of(id), "end") != 1 || bed.answers.of(testCallID) != "end 34" {
		t.Errorf("the set-ups received %q and %q", bed.answers.of(id), bed.answers.of(testCallID))
	}
	if exchange.countReceived("CANCEL", id) != 1 || exchange.countReceived("INVITE", testCallID) != 0 {
		t.Errorf("%d set-ups were canceled, %d were sent after the timeout", exchange.countReceived("CANCEL", id), exchange.countReceived("INVITE", testCallID))
	}
}

// A client that sends echo requests without a pause is not pending work. The server still ends in time.
func TestShutdownUnderSteadyTraffic(t *testing.T) {
	t.Parallel()
	bed := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, &scriptedDecider{})
	c, err := net.Dial("tcp", bed.jsonAddress())
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
	bed.server.Stop()
	bed.awaitEnd()
	if n := <-rounds; n < 100 {
		t.Errorf("only %d echo requests were answered, want steady traffic", n)
	}
}

// A complete set-up is pending in the socket when the server decides to end. It is rejected with a cause that allows a
// retry, and not sent. If the set-up is read before the decision, it is served. Its first half alone, which is received
// earlier, does not count as a set-up.
func TestShutdownCrossesSetup(t *testing.T) {
	for _, front := range []string{"JSON", "H.248"} {
		t.Run(front, func(t *testing.T) {
			testBothOrders(t, "the decision", "the set-up", func(t *testing.T, decision bool) {
				exchange := startFakeExchange(t, "127.0.0.1:0")
				bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0"}}, withGateways)
				c, key, text := bed.caller.conn, testCallID, jsonSetup(testCallID, 2*time.Second)
				if front == "H.248" {
					gatewayClient := bed.dialGateway("<p>")
					c, key, text = gatewayClient.conn, "p/8", frameTransactions(t, "<p>", addTransaction("p/8", 8, "1", 2*time.Second))
				}
				_, _ = c.Write(text[:len(text)/2])
				bed.server.Stop()
				done := make(chan struct{})
				bed.server.loop.Execute(func() {
					defer close(done)
					var conn *eventloop.Conn
					bed.server.loop.RunIteration(func() {
						bed.server.lifecycle.drainingSince -= minDrainTime
						bed.server.lifecycle.quietSince = bed.server.loop.Now() - 2*quietPeriod
						runInOrder(decision, func() { bed.server.checkDraining(bed.server.loop.Now()) }, func() {
							_, _ = c.Write(text[len(text)/2:])
							p, k := bed.latestGateway(), bed.findClient("")
							if conn = k.Conn(); p != nil {
								conn = p.Conn()
							}
							switch {
							case decision: // the set-up is not read before the connections are closed
							case p != nil:
								p.Conn().ReadPending(p.HandleData)
							default:
								k.Conn().ReadPending(k.HandleData)
							}
						})
					})
					if decision {
						bed.server.loop.CloseSocket(conn.Socket()) // as the engine closes all connections
					}
				})
				<-done
				if !decision {
					exchange.send(sipResponse(exchange.awaitInvite(1), "INVITE", 486, 1, ""))
				}
				bed.awaitEnd()
				want := map[bool]string{true: "end 34", false: "end 41"}[decision]
				if got := bed.answers.await(t, key, 1); got != want {
					t.Error(got)
				}
				exchange.mu.Lock()
				defer exchange.mu.Unlock()
				if decision && slices.ContainsFunc(exchange.received, func(s string) bool { return s != "CLOSED" }) {
					t.Errorf("the exchange received %v", exchange.received)
				}
			})
		})
	}
}

// The server shuts down while the release of a call is queued for a disconnected gateway. The release is sent when the
// gateway connects again, before the end.
func TestShutdownWaitsForGateway(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0"}}, withGateways)
	gatewayClient := bed.dialGateway("<p>")
	key := gatewayClient.setUp("1", 3*time.Second)
	id := exchange.awaitInvite(1)
	exchange.send(sipResponse(id, "INVITE", 200, 1, "a"))
	bed.answers.await(t, key, 1)
	gatewayClient.close()
	eventually(t, "the gateway is disconnected", func() (left bool) {
		bed.runIteration(func() { left = bed.latestGateway() == nil })
		return left
	})
	exchange.send(sipRelease(id, 16))
	eventually(t, "the release is queued", func() (waits bool) {
		bed.runIteration(func() { waits = bed.server.frontends.gateway.PendingReleases() == 1 })
		return waits
	})
	if !bed.servesAfterMinDrainTime() {
		t.Fatal("the server ended with a queued release")
	}
	bed.dialGateway("<p>")
	if got := bed.answers.await(t, key, 2); !strings.HasSuffix(got, "end 16") {
		t.Error(got)
	}
	bed.awaitEnd()
}

// The shutdown times out because SIGKILL will follow soon. An open set-up of a gateway, and one that arrives after the
// timeout, are answered immediately and exactly once.
func TestShutdownTimeoutForGateways(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0", "s-0"}}, withGateways)
	gatewayClient := bed.dialGateway("<p>")
	key := gatewayClient.setUp("1", 8*time.Second)
	id := exchange.awaitInvite(1)
	bed.server.Stop()
	eventually(t, "the shutdown has timed out", func() (out bool) {
		bed.runIteration(func() {
			if out = bed.server.isShutdownTimedOut(bed.server.loop.Now()); out {
				bed.latestGateway().HandleData(frameTransactions(t, "<p>", addTransaction("p/200", 200, "1", 3*time.Second)))
			}
		})
		return out
	})
	bed.awaitEnd()
	eventually(t, "both are answered", func() bool { return bed.answers.of(key) != "" && bed.answers.of("p/200") != "" })
	if got := bed.answers.of(key) + " " + bed.answers.of("p/200"); got != "end 34 end 34" {
		t.Errorf("the gateway received %q", got)
	}
	if n := exchange.countReceived("CANCEL", id); n != 1 {
		t.Errorf("%d set-ups were canceled, want 1", n)
	}
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	for _, s := range exchange.received {
		if s != "CLOSED" && !strings.Contains(s, id) {
			t.Errorf("the exchange received %s", s)
		}
	}
}
