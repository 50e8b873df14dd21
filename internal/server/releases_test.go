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

// After a restart the server does not know the established calls. A BYE for an unknown call is forwarded to a caller
// exactly once.
func TestReleaseOfAnUnknownCall(t *testing.T) {
	t.Parallel()
	server, answers := startTestServer(t, false), newAnswerLog()
	dialJSONCaller(t, server.jsonAddress(), answers, "aaaaaaaa")
	const id = "00000000000000aa"
	eventually(t, "the exchange is connected", func() bool {
		up := make(chan bool, 1)
		server.server.loop.Execute(func() {
			up <- server.server.backends.Get("s-0").IsConnected() && server.server.frontends.json.Clients().Len() > 0
		})
		return <-up
	})
	eventually(t, "the exchange has accepted the connection", func() bool {
		server.exchanges[0].mu.Lock()
		defer server.exchanges[0].mu.Unlock()
		return len(server.exchanges[0].conns) > 0
	})
	server.exchanges[0].mu.Lock()
	for c := range server.exchanges[0].conns {
		bye := sip.AppendRequest(nil, &sip.Request{Method: "BYE", Number: "x", CallID: id, CSeq: 2,
			Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=41"}}})
		_, _ = c.Write(append(bye, bye...))
	}
	server.exchanges[0].mu.Unlock()
	if got := answers.await(t, id, 1); got != "end 41" {
		t.Errorf("got %q", got)
	}
}

// Releases are sent to the connection that set up the call or to another one that has had calls, not to connections that
// have only sent an echo request or nothing.
func TestReleaseGoesToItsCaller(t *testing.T) {
	t.Parallel()
	server, answers := startTestServer(t, false), newAnswerLog()
	k, other := dialJSONCaller(t, server.jsonAddress(), answers, "aaaaaaaa"), dialJSONCaller(t, server.jsonAddress(), answers, "bbbbbbbb")
	var keys []string
	for i, c := range []*jsonCaller{k, other} {
		keys = append(keys, c.setUp(fmt.Sprintf("keep.%d", i), 4*time.Second))
		answers.await(t, keys[i], 1)
	}
	otherAnswers := newAnswerLog()
	dialJSONCaller(t, server.jsonAddress(), otherAnswers, "cccccccc").send(&jsonl.Message{Verb: jsonl.Echo, HasResultCode: true})
	otherAnswers.await(t, "echo", 1)
	dialJSONCaller(t, server.jsonAddress(), otherAnswers, "dddddddd")
	other.close()
	eventually(t, "one caller and two connections without calls remain", func() bool {
		n := make(chan int, 1)
		server.server.loop.Execute(func() { n <- server.server.frontends.json.Clients().Len() })
		return <-n == 3
	})
	server.exchanges[0].stop()
	for i, key := range keys {
		if got := answers.await(t, key, 2); got != "stands "+acceptedDescription(fmt.Sprintf("keep.%d", i))+" end 41" {
			t.Errorf("got %q", got)
		}
		if got := otherAnswers.of(key); got != "" {
			t.Errorf("a connection without calls received %q", got)
		}
	}
}

// A release is queued if no caller is connected, and sent on the next connection.
func TestReleaseWaitsForConnection(t *testing.T) {
	t.Parallel()
	server, answers := startTestServer(t, false), newAnswerLog()
	client := dialJSONCaller(t, server.jsonAddress(), answers, "aaaaaaaa")
	key := client.setUp("keep.1", 4*time.Second)
	answers.await(t, key, 1)
	client.close()
	eventually(t, "no caller is connected", func() bool {
		n := make(chan int, 1)
		server.server.loop.Execute(func() { n <- server.server.frontends.json.Clients().Len() })
		return <-n == 0
	})
	server.exchanges[0].stop()
	eventually(t, "the release is queued", func() bool {
		n := make(chan int, 1)
		server.server.loop.Execute(func() { n <- server.server.frontends.json.QueuedReleases() })
		return <-n == 1
	})
	dialJSONCaller(t, server.jsonAddress(), answers, "bbbbbbbb")
	if got := answers.await(t, key, 2); got != "stands "+acceptedDescription("keep.1")+" end 41" {
		t.Errorf("got %q", got)
	}
}

// A caller releases an established call and its connection breaks while something is written to it. The exchange
// receives the release in either order. A set-up that follows the release has lost its caller and is not sent.
func TestReleaseAndConnectionFailure(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"the release is read", "a write fails"} {
		t.Run(first+" first", func(t *testing.T) {
			t.Parallel()
			exchange := startFakeExchange(t, "127.0.0.1:0")
			bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
			k := bed.dialCaller("cccccccc")
			id := k.setUp("1", 3*time.Second)
			exchange.awaitReceived("INVITE", id, 1)
			exchange.send(sipResponse(id, "INVITE", 200, 1, "a"))
			bed.answers.await(t, id, 1)
			input := append(jsonMessage(jsonl.Finish, id), jsonSetup(testCallID, 2*time.Second)...)
			if first == "a write fails" {
				bed.runIteration(func() {
					_, _ = k.conn.Write(input)
					resetConn(k.conn)
					client := bed.findClient("")
					bed.server.loop.Write(client.Conn(), func(b []byte) []byte { return append(b, jsonMessage(jsonl.Echoed, "t")...) })
				})
			} else {
				_, _ = k.conn.Write(input[:len(jsonMessage(jsonl.Finish, id))])
				exchange.awaitReceived("BYE", id, 1)
				resetConn(k.conn)
			}
			exchange.awaitReceived("BYE", id, 1)
			bed.awaitNoPendingWork()
			if n := exchange.countReceived("BYE", id) + exchange.countReceived("INVITE", testCallID); n != 1 {
				t.Errorf("the exchange received %d releases and later set-ups, want one release", n)
			}
		})
	}
}

// While an exchange is disconnected, callers release many unknown calls. All of them and the release of an established
// call are sent when the exchange is connected again, whether that came before or after those.
func TestReleaseAmongReleasesOfUnknownCalls(t *testing.T) {
	testBothOrders(t, "the release of the established call", "the others", func(t *testing.T, own bool) {
		exchange, gate := startFakeExchange(t, "127.0.0.1:0"), newDialGate()
		bed := startTestbedWith(t, settings, 2, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0"}}, gate.configure)
		id := bed.establishAndDisconnect(exchange, gate)
		bed.runIteration(func() {
			k := bed.findClient("")
			runInOrder(own, func() { k.HandleData(jsonMessage(jsonl.Finish, id)) }, func() {
				for i := range 2 * bed.server.cfg.MemoryMB << 5 {
					k.HandleData(jsonMessage(jsonl.Finish, fmt.Sprintf("f%015x", i)))
				}
			})
			if n := bed.server.backends.Get("s-0").PendingReleases(); n != 1+2*bed.server.cfg.MemoryMB<<5 {
				t.Errorf("%d releases are pending", n)
			}
		})
		close(gate.opened)
		exchange.awaitReceived("BYE", id, 1)
		for i := range 2 * bed.server.cfg.MemoryMB << 5 {
			exchange.awaitReceived("BYE", fmt.Sprintf("f%015x", i), 1)
		}
	})
}

// A gateway releases an established call and its connection breaks while something is written to it. The exchange
// receives the release in either order. A set-up that follows the release has lost its caller and is treated as never
// received.
func TestGatewayReleaseAndConnectionFailure(t *testing.T) {
	testBothOrders(t, "the release", "the failed write", func(t *testing.T, release bool) {
		exchange := startFakeExchange(t, "127.0.0.1:0")
		bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0", "s-0"}}, withGateways)
		gatewayClient := bed.dialGateway("<p>")
		key := gatewayClient.setUp("1", 3*time.Second)
		id := exchange.awaitInvite(1)
		exchange.send(sipResponse(id, "INVITE", 200, 1, "a"))
		bed.answers.await(t, key, 1)
		gatewayClient.mu.Lock()
		context := gatewayClient.contexts[key]
		gatewayClient.mu.Unlock()
		subtract := &h248.Transaction{ID: 7, Actions: []*h248.Action{{Context: context, Commands: []*h248.Command{{Name: "Subtract", Termination: key}}}}}
		add := addTransaction("p/8", 8, "1", 3*time.Second)
		if release {
			gatewayClient.send(subtract)
			exchange.awaitReceived("BYE", id, 1)
			resetConn(gatewayClient.conn)
		} else {
			bed.runIteration(func() {
				_, _ = gatewayClient.conn.Write(frameTransactions(t, "<p>", subtract, add))
				resetConn(gatewayClient.conn)
				bed.server.loop.Write(bed.latestGateway().Conn(), func(b []byte) []byte { return append(b, 'x') })
			})
			exchange.awaitReceived("BYE", id, 1)
		}
		bed.awaitNoPendingWork()
		again := dialGatewayCaller(t, bed.gatewayAddress(), bed.answers, "<p>")
		again.send(add) // on a new connection the transaction starts an attempt
		if other := exchange.awaitInvite(2); other == id || exchange.countReceived("BYE", id) != 1 {
			t.Errorf("%d releases, want 1; the next set-up is %s", exchange.countReceived("BYE", id), other)
		}
		bed.runIteration(func() { bed.latestGateway().HandleClose(nil) })
	})
}

// More input is received than the bounded tables can hold. Input beyond a bound is rejected, and pending work is still
// completed.
func TestBoundsKeepPendingWork(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbedWith(t, settings, 2, []*fakeExchange{exchange}, &scriptedDecider{})
	limit := 0
	bed.runIteration(func() {
		limit = bed.server.cfg.MemoryMB << 5 // an eighth of the releases of unknown calls that are kept
		for i := range 8 * limit {           // there is no caller with calls that could receive these
			bed.deliver(0, sipRelease(fmt.Sprintf("d%015x", i), 16))
			bed.server.backends.Get("s-0").Connection().DiscardPendingOutput()
		}
		if n := bed.server.frontends.json.QueuedReleases(); n != 4*limit || bed.server.frontends.host.Counters.ReleasesDiscarded != 4*limit {
			t.Errorf("%d releases are queued, %d are counted as discarded", n, bed.server.frontends.host.Counters.ReleasesDiscarded)
		}
	})
	bed.decider.setServers("s-0", "s-0", "s-0")
	established, open := bed.caller.setUp("1", 3*time.Second), bed.caller.setUp("1", 8*time.Second)
	exchange.awaitReceived("INVITE", open, 1)
	exchange.send(sipResponse(established, "INVITE", 200, 1, "a"))
	bed.answers.await(t, established, 1)
	bed.runIteration(func() {
		k := bed.findClient(open)
		for i := range 8 * limit { // ids of ended calls, releases of unknown calls, releases that nobody confirms
			id := fmt.Sprintf("%016x", 0x1000+i)
			k.HandleData(jsonSetup(id, time.Second))
			k.HandleData(jsonMessage(jsonl.Finish, fmt.Sprintf("f%015x", i)))
			bed.deliver(0, sipRelease(fmt.Sprintf("e%015x", i), 16))
			k.Conn().DiscardPendingOutput() // not read in this test
			bed.server.backends.Get("s-0").Connection().DiscardPendingOutput()
		}
		if l := bed.server.backends.Get("s-0"); l.PendingReleases() > 8*limit || bed.server.frontends.json.QueuedReleases() > 4*limit || l.TrackedCalls() > 16 {
			t.Errorf("%d releases to the exchange, %d to callers and %d dialogs are kept", l.PendingReleases(), bed.server.frontends.json.QueuedReleases(), l.TrackedCalls())
		}
	})
	exchange.send(sipRelease(established, 16))
	bed.answers.await(t, established, 2)
	exchange.send(sipResponse(open, "INVITE", 200, 1, "b"))
	bed.answers.await(t, open, 1)
	bed.caller.hangUp(open)
	exchange.awaitReceived("BYE", open, 1)
	if got := bed.answers.of(established) + " " + bed.answers.of(open); strings.Count(got, "stands") != 2 || strings.Count(got, "end") != 1 {
		t.Error(got)
	}
}

// Guards against calls that are left at exchanges after a restart: releases of unknown calls above the rate limit were
// confirmed to their callers and dropped.
func TestManyReleasesAfterARestart(t *testing.T) {
	t.Parallel()
	const releases = 350
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{})
	caller := dialCapture(t, bed.jsonAddress(), false)
	ids := make([]string, releases)
	for i := range ids {
		ids[i] = fmt.Sprintf("e%015x", i)
		_, _ = caller.conn.Write(jsonMessage(jsonl.Finish, ids[i]))
	}
	for _, id := range ids {
		exchange.awaitReceived("BYE", id, 1)
		caller.await(`"FINISHED","tag":"` + id)
	}
}

// A connection that sends more releases of invented ids than the queue holds is closed, and the releases of another
// connection are forwarded within the second that the platform allows.
func TestFloodOfReleasesIsClosed(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{})
	flood := dialCapture(t, bed.jsonAddress(), false)
	var input []byte
	for i := range 5000 {
		input = append(input, jsonMessage(jsonl.Finish, fmt.Sprintf("f%015x", i))...)
	}
	go func() { _, _ = flood.conn.Write(input) }()
	eventually(t, "the flood is refused", func() (refused bool) {
		bed.runIteration(func() {
			refused = bed.server.calls.UnknownReleasesRefused > 0 && bed.server.calls.QueuedReleases() == 0
		})
		return refused
	})
	bed.caller.hangUp(testCallID)
	start := time.Now()
	exchange.awaitReceived("BYE", testCallID, 1)
	if took := time.Since(start); took > time.Second {
		t.Errorf("the release of another connection took %v", took)
	}
}
