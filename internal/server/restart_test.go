package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"olivedale/internal/backend"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/config"
)

// restartWith ends the server and starts the next process of the same controller: it has the same name and seed, and nothing
// of the state.
func (b *testbed) restartWith(decider *scriptedDecider) *testbed {
	b.t.Helper()
	b.server.Stop()
	b.awaitEnd()
	return startTestbed(b.t, b.exchanges, decider, withGateways)
}

// establish sets up a call of a gateway at an exchange and returns its termination, context and call id.
func (k *gatewayCaller) establish(t *testing.T, answers *answerLog, exchange *fakeExchange, nth int) (termination, context, id string) {
	t.Helper()
	termination = k.setUp("1", 3*time.Second)
	id = exchange.awaitInvite(nth)
	exchange.send(sipResponse(id, "INVITE", 200, 1, "a"))
	answers.await(t, termination, 1)
	k.mu.Lock()
	defer k.mu.Unlock()
	return termination, k.contexts[termination], id
}

// subtract sends a Subtract and returns the answer to it.
func (k *gatewayCaller) subtract(t *testing.T, answers *answerLog, context, termination string) string {
	t.Helper()
	k.lastID++
	k.send(&h248.Transaction{ID: k.lastID, Actions: []*h248.Action{{Context: context, Commands: []*h248.Command{{Name: "Subtract", Termination: termination}}}}})
	return answers.await(t, fmt.Sprintf("%s/%d", k.messageID[1:len(k.messageID)-1], k.lastID), 1)
}

// Guards against a gateway that ends the call of another: contexts were numbered from 1 in each process and a call was
// found by its context alone, so that after a restart a gateway which hung up released the call of another gateway.
func TestGatewayReleasesItsOwnCallAfterRestart(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	earlier := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0", "s-0"}}, withGateways)
	a := earlier.dialGateway("<a>")
	termination, context, id := a.establish(t, earlier.answers, exchange, 1)
	_, secondContext, secondID := a.establish(t, earlier.answers, exchange, 2)

	bed := earlier.restartWith(&scriptedDecider{servers: []string{"s-0", "s-0"}})
	b := bed.dialGateway("<b>")
	otherTermination, otherContext, otherID := b.establish(t, bed.answers, exchange, 3)
	again := bed.dialGateway("<a>")
	if otherID == id || otherID == secondID || otherContext == context || otherContext == secondContext {
		t.Errorf("contexts %s, %s, %s and call ids %s, %s, %s are not distinct", context, secondContext, otherContext, id, secondID, otherID)
	}
	for _, foreign := range []string{otherContext, secondContext} {
		stranger := bed.dialGateway("<c>")
		if got := stranger.subtract(t, bed.answers, foreign, "*"); got != "error 411" {
			t.Errorf("the release of another gateway's call: got %q, want error 411", got)
		}
		stranger.close()
	}
	if got := again.subtract(t, bed.answers, context, termination); got != "done Subtract" {
		t.Errorf("the release of a call from before the restart: got %q", got)
	}
	exchange.awaitReceived("BYE", id, 1)
	if got := again.subtract(t, bed.answers, context, termination); got != "error 411" {
		t.Errorf("the second release of that call: got %q, want error 411", got)
	}
	if n := exchange.countReceived("BYE", otherID) + exchange.countReceived("BYE", secondID); n != 0 {
		t.Errorf("%d calls that their gateways did not release were released", n)
	}
	if got := b.subtract(t, bed.answers, otherContext, otherTermination); got != "done Subtract" {
		t.Errorf("the release of the other gateway's own call: got %q", got)
	}
	exchange.awaitReceived("BYE", otherID, 1)
}

// restart ends the server and starts the next process of the same controller, with the same exchanges.
func (s *testServer) restart(t *testing.T) *testServer {
	t.Helper()
	s.stop(t)
	s.done <- nil // for stopAtCleanup
	next := &testServer{
		discovery:    s.discovery,
		observations: s.observations,
		exchanges:    s.exchanges,
		done:         make(chan error, 1),
	}
	cfg := *s.server.cfg
	next.run(t, &cfg, Options{H248: s.server.h248}, func() {})
	next.stopAtCleanup(t)
	return next
}

// Guards against answers of other calls: transactions to call servers were numbered from 1 in each process, so that after
// a restart a server which executes each transaction at most once sent the replies of earlier ones.
func TestCallsAfterRestartGetTheirOwnAnswers(t *testing.T) {
	t.Parallel()
	server, answers := startTestServer(t, true), newAnswerLog()
	for process := range 3 { // with two restarts in a row
		if process > 0 {
			server = server.restart(t)
		}
		caller := dialJSONCaller(t, server.jsonAddress(), answers, fmt.Sprintf("%08x", process))
		for call := range 3 {
			number := fmt.Sprintf("keep.%d.%d", process, call)
			key := caller.setUp(number, 2*time.Second)
			want := "stands " + acceptedDescription(number)
			if got := answers.await(t, key, 1); got != want || server.observations.attemptsTo(number) != 1 {
				t.Errorf("process %d, call %d: got %q after %d attempts, want %q", process, call, got, server.observations.attemptsTo(number), want)
			}
		}
	}
}

// Guards against releases that a gateway takes for repeats: Notifies were numbered from 1 in each process. A reply of
// another gateway, or to another command, does not confirm a Notify.
func TestNotifyAfterRestart(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	earlier := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0"}}, withGateways)
	notify := func(bed *testbed, nth int) (transactionID, termination string) {
		const mid = "<a>"
		gateway := dialCapture(t, bed.gatewayAddress(), true)
		termination = fmt.Sprintf("line/%d", nth)
		gateway.sendTransaction(mid, addTransaction(termination, uint32(nth), "1", 3*time.Second))
		id := exchange.awaitInvite(nth)
		exchange.send(sipResponse(id, "INVITE", 200, 1, "a"))
		gateway.await(`Reply=` + fmt.Sprint(nth))
		exchange.send(sipRelease(id, 16))
		return gateway.await(`Transaction=(\d+)\{Context=\d+\{Notify=` + termination), termination
	}
	first, _ := notify(earlier, 1)
	bed := earlier.restartWith(&scriptedDecider{servers: []string{"s-0"}})
	second, termination := notify(bed, 2)
	if first == second {
		t.Errorf("both processes sent a Notify with transaction id %s", first)
	}
	var transactionID uint32
	_, _ = fmt.Sscan(second, &transactionID)
	confirm := func(mid, command, termination string) (pending int) {
		gateway := bed.dialGateway(mid)
		gateway.send(&h248.Transaction{Kind: h248.Reply, ID: transactionID, Actions: []*h248.Action{{Context: "1",
			Commands: []*h248.Command{{Name: command, Termination: termination}}}}})
		gateway.subtract(t, bed.answers, "*", "none") // its answer shows that the reply has been handled
		bed.runIteration(func() { pending = bed.server.frontends.gateway.PendingReleases() })
		return pending
	}
	for _, stray := range [][3]string{{"<b>", "Notify", termination}, {"<c>", "Subtract", termination}} {
		if confirm(stray[0], stray[1], stray[2]) != 1 {
			t.Errorf("the reply %v confirmed the Notify of another gateway", stray)
		}
	}
	if n := bed.server.frontends.host.Counters.StrayReplies; n != 2 {
		t.Errorf("%d stray replies are counted, want 2", n)
	}
	if confirm("<a>", "Notify", termination) != 0 {
		t.Error("the reply of the gateway did not confirm the Notify")
	}
}

// Guards against a release of an earlier attempt that ends the current one: a call server that speaks H.248 names the
// attempt, but the call was found by its id alone. The earlier attempt was canceled, and its release crossed the Subtract.
func TestReleaseOfAnEarlierAttempt(t *testing.T) {
	t.Parallel()
	server := startUnreadExchange(t)
	bed := startTestbed(t, nil, &scriptedDecider{servers: []string{"h-0", "h-0"}}, func(o *Options) {
		o.H248 = h248Config()
		o.H248.Servers = []config.H248Server{{ID: "h-0", Address: server.addr()}}
	})
	peer := newCapture(t, server.awaitConn(), true)
	id := bed.caller.setUp("1", 3*time.Second)
	reply := func(attempt int, answer *h248.Action) {
		var transactionID uint32
		termination := backend.TerminationName(id, attempt)
		_, _ = fmt.Sscan(peer.await(`Transaction=(\d+)\{Context=\$\{Add=`+termination), &transactionID)
		peer.sendTransaction("<server>", &h248.Transaction{Kind: h248.Reply, ID: transactionID, Actions: []*h248.Action{answer}})
	}
	reply(0, &h248.Action{Context: "$", Err: &h248.Error{Code: h248.NotReady}})
	local := &h248.Node{Name: "Media", Children: []*h248.Node{{Name: "Local", Octets: []byte("a")}}}
	reply(1, &h248.Action{Context: "7", Commands: []*h248.Command{{Name: "Add", Termination: backend.TerminationName(id, 1), Descriptors: []*h248.Node{local}}}})
	bed.answers.await(t, id, 1)
	release := func(transactionID uint32, attempt int) {
		peer.request("<server>", transactionID, "7", &h248.Command{Name: "Notify", Termination: backend.TerminationName(id, attempt),
			Descriptors: []*h248.Node{transaction.ReleaseEvent(16)}})
		peer.await(fmt.Sprintf(`Reply=%d\{Context=7\{Notify`, transactionID))
	}
	release(91, 0)
	bed.runIteration(func() {
		if bed.server.calls.EstablishedCalls() != 1 {
			t.Error("the release of the earlier attempt ended the call")
		}
	})
	release(92, 1)
	if got := bed.answers.await(t, id, 2); got != "stands a end 16" {
		t.Errorf("the caller received %q", got)
	}
}

// Guards against gateways that keep a call which is over: the release by an exchange of a call from before a restart was
// not passed on to its gateway, whether that was connected again or came later.
func TestGatewayIsNotifiedOfReleaseAfterRestart(t *testing.T) {
	testBothOrders(t, "the gateway", "the release", func(t *testing.T, gatewayFirst bool) {
		exchange := startFakeExchange(t, "127.0.0.1:0")
		earlier := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0", "s-0"}}, withGateways)
		termination, context, id := earlier.dialGateway("<a>").establish(t, earlier.answers, exchange, 1)
		bed := earlier.restartWith(&scriptedDecider{})
		other := bed.dialGateway("<b>")
		runInOrder(gatewayFirst, func() { bed.dialGateway("<a>") }, func() {
			exchange.send(sipRelease(id, 17))
			eventually(t, "the release is received", func() (received bool) {
				bed.runIteration(func() { received = bed.server.calls.Counters.ReleasedUnknown == 1 })
				return received
			})
		})
		if got := bed.answers.await(t, transaction.AllTerminations, 1); got != "end 17" {
			t.Errorf("call on %s in context %s: got %q", termination, context, got)
		}
		eventually(t, "the notification is confirmed", func() (confirmed bool) {
			bed.runIteration(func() { confirmed = bed.server.frontends.gateway.PendingReleases() == 0 })
			return confirmed
		})
		if got := other.subtract(t, bed.answers, context, "*"); got != "error 411" {
			t.Errorf("another gateway released the call: %q", got)
		}
	})
}

// Guards against a call server that ends, or seems to end, a call at another server: the command is refused and has no
// effect.
func TestReleaseOfACallAtAnotherServer(t *testing.T) {
	t.Parallel()
	servers := []*fakeExchange{startUnreadExchange(t), startUnreadExchange(t)}
	bed := startTestbed(t, nil, &scriptedDecider{servers: []string{"h-0"}}, func(o *Options) {
		o.H248 = h248Config()
		for i, server := range servers {
			o.H248.Servers = append(o.H248.Servers, config.H248Server{ID: fmt.Sprint("h-", i), Address: server.addr(), Pool: i})
		}
	})
	own, other := newCapture(t, servers[0].awaitConn(), true), newCapture(t, servers[1].awaitConn(), true)
	id := bed.caller.setUp("1", 3*time.Second)
	termination := backend.TerminationName(id, 0)
	var transactionID uint32
	_, _ = fmt.Sscan(own.await(`Transaction=(\d+)\{Context=\$\{Add=`+termination), &transactionID)
	local := &h248.Node{Name: "Media", Children: []*h248.Node{{Name: "Local", Octets: []byte("a")}}}
	add := &h248.Command{Name: "Add", Termination: termination, Descriptors: []*h248.Node{local}}
	own.sendTransaction("<h-0>", &h248.Transaction{Kind: h248.Reply, ID: transactionID, Actions: []*h248.Action{{Context: "7", Commands: []*h248.Command{add}}}})
	bed.answers.await(t, id, 1)
	other.request("<h-1>", 91, "7", &h248.Command{Name: "Notify", Termination: termination, Descriptors: []*h248.Node{transaction.ReleaseEvent(16)}})
	other.await(`Reply=91\{Context=7\{Error=430`)
	bed.runIteration(func() {
		if bed.server.calls.EstablishedCalls() != 1 {
			t.Error("the other server ended the call")
		}
	})
}

// Guards against a JSON client that ends the call of a gateway, which was not notified of it: the connection is closed, as
// for any id of another's call, and the call stays up.
func TestJSONClientDoesNotReleaseAGatewaysCall(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0"}}, withGateways)
	gateway := bed.dialGateway("<a>")
	termination, context, id := gateway.establish(t, bed.answers, exchange, 1)
	bed.runIteration(func() {
		client := bed.findClient("")
		client.HandleData(jsonMessage(jsonl.Finish, id))
		if client.Conn().IsOpen() {
			t.Error("the connection of the JSON client is open")
		}
	})
	if got := gateway.subtract(t, bed.answers, context, termination); got != "done Subtract" {
		t.Errorf("the gateway's own release: got %q", got)
	}
	exchange.awaitReceived("BYE", id, 1)
	if n := exchange.countReceived("BYE", id); n != 1 {
		t.Errorf("%d releases at the exchange, want 1", n)
	}
}

// Guards against a call that stands twice at an H.248 server, once for good: the release of an attempt whose answer was
// lost with its connection was dropped as a further attempt was sent, although each attempt is a termination of its own.
func TestFurtherAttemptAfterTwoResets(t *testing.T) {
	t.Parallel()
	server := startUnreadExchange(t)
	bed := startTestbed(t, nil, &scriptedDecider{servers: []string{"h-0", "h-0", "h-0"}}, func(o *Options) {
		o.H248 = h248Config()
		o.H248.Servers = []config.H248Server{{ID: "h-0", Address: server.addr()}}
	})
	first := newCapture(t, server.awaitConn(), true)
	id := bed.caller.setUp("1", 3*time.Second)
	first.await(`Add=` + backend.TerminationName(id, 0))
	resetConn(first.conn)
	server.awaitConnections(2)
	resetConn(server.awaitConn())
	server.awaitConnections(3)
	third := newCapture(t, server.awaitConn(), true)
	third.await(`Add=` + backend.TerminationName(id, 2))
	for attempt := range 2 {
		third.await(`Subtract=` + backend.TerminationName(id, attempt) + `.*Add=` + backend.TerminationName(id, 2))
	}
	bed.runIteration(func() {
		if n := bed.server.backends.Get("h-0").PendingReleases(); n != 2 {
			t.Errorf("%d releases are pending without a reply, want 2", n)
		}
	})
}

// Guards against gateways that keep calls which are over: while a gateway was away, the releases of its calls beyond a
// bound smaller than the number of calls were dropped.
func TestGatewayIsNotifiedOfAllReleases(t *testing.T) {
	t.Parallel()
	const calls, memoryMB = 40, 2
	exchange := startFakeExchange(t, "127.0.0.1:0")
	decider := &scriptedDecider{}
	for range calls {
		decider.servers = append(decider.servers, "s-0")
	}
	bed := startTestbedWith(t, settings, memoryMB, []*fakeExchange{exchange}, decider, withGateways)
	gateway := bed.dialGateway("<a>")
	var terminations, ids []string
	for i := range calls {
		termination, _, id := gateway.establish(t, bed.answers, exchange, i+1)
		terminations, ids = append(terminations, termination), append(ids, id)
	}
	gateway.close()
	eventually(t, "the gateway is away", func() (away bool) {
		bed.runIteration(func() { away = bed.server.frontends.gateway.Gateways().Len() == 0 })
		return away
	})
	for _, id := range ids {
		exchange.send(sipRelease(id, 16))
	}
	eventually(t, "the calls are over", func() (over bool) {
		bed.runIteration(func() { over = bed.server.calls.EstablishedCalls() == 0 })
		return over
	})
	bed.dialGateway("<a>")
	for _, termination := range terminations {
		if got := bed.answers.await(t, termination, 2); !strings.HasSuffix(got, "end 16") {
			t.Errorf("termination %s received %q", termination, got)
		}
	}
}
