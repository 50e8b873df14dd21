package server

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"olivedale/internal/backend"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/frontend/gateway"
	"olivedale/internal/frontend/jsonclient"
)

// A testbed is a running server with fake exchanges s-0, s-1, ... and one caller.
type testbed struct {
	*testServer
	t         *testing.T
	decider   *scriptedDecider
	exchanges []*fakeExchange
	answers   *answerLog
	caller    *jsonCaller
}

func startTestbed(t *testing.T, exchanges []*fakeExchange, decider *scriptedDecider, more ...func(*Options)) *testbed {
	t.Helper()
	return startTestbedWith(t, settings, defaultDeployment.memoryMB, exchanges, decider, more...)
}

// startTestbedWith starts a testbed with the given settings and memory size.
func startTestbedWith(t *testing.T, settings string, memoryMB int, exchanges []*fakeExchange, decider *scriptedDecider,
	more ...func(*Options)) *testbed {
	t.Helper()
	b := &testbed{
		testServer: &testServer{
			discovery:    startDiscoveryServer(t),
			observations: newCallObservations(),
			done:         make(chan error, 1),
		},
		t:         t,
		decider:   decider,
		exchanges: exchanges,
		answers:   newAnswerLog(),
	}
	var lines []endpointLine
	for i, e := range exchanges {
		lines = append(lines, endpointLine{id: fmt.Sprint("s-", i), addr: e.addr(), pool: i})
	}
	b.discovery.set(lines...)
	o := Options{}
	if decider != nil {
		o.decider = decider
	}
	for _, configure := range more {
		configure(&o)
	}
	deployment := testDeployment{
		name:     defaultDeployment.name,
		settings: settings,
		memoryMB: memoryMB,
		sockets:  defaultDeployment.sockets,
	}
	b.run(t, deployment.config(t, b.discovery, lines), o, func() { close(b.done) })
	b.stopAtCleanup(t)
	for i := range exchanges {
		b.awaitConnected(i)
	}
	b.caller = b.dialCaller("aaaaaaaa")
	return b
}

// awaitConnected waits until an exchange is connected.
func (b *testbed) awaitConnected(i int) {
	b.t.Helper()
	eventually(b.t, "the exchange is connected", func() (up bool) {
		b.runIteration(func() { l := b.server.backends.Get(fmt.Sprint("s-", i)); up = l != nil && l.IsConnected() })
		return up
	})
}

// dialCaller connects another caller. The server has accepted the connection when dialCaller returns.
func (b *testbed) dialCaller(idPrefix string) *jsonCaller {
	b.t.Helper()
	before := len(strings.Fields(b.answers.of("echo")))
	client := dialJSONCaller(b.t, b.jsonAddress(), b.answers, idPrefix)
	client.send(&jsonl.Message{Verb: jsonl.Echo, Tag: "t"})
	b.answers.await(b.t, "echo", before+1)
	return client
}

// runIteration runs f as one iteration of the event loop and waits for it. It does nothing if the server has ended.
func (b *testbed) runIteration(f func()) {
	done := make(chan struct{})
	b.server.loop.Execute(func() { b.server.loop.RunIteration(f); close(done) })
	select {
	case <-done:
	case <-b.done:
	}
}

// deliver passes data to the server as if it had been received from an exchange in this iteration.
func (b *testbed) deliver(i int, data []byte) {
	b.server.backends.Get(fmt.Sprint("s-", i)).HandleData(data)
}

// findClient returns the server's state of the caller with the given open set-up, or of the latest caller if id is
// empty.
func (b *testbed) findClient(id string) (found *jsonclient.Client) {
	for k := range b.server.frontends.json.Clients().Oldest() {
		if id == "" || k.HasSetup(id) {
			found = k
		}
	}
	return found
}

// jsonMessage returns an encoded message of a caller.
func jsonMessage(verb, id string) []byte {
	return jsonl.Append(nil, &jsonl.Message{Verb: verb, Tag: id, ResultCode: 16, HasResultCode: true})
}

// jsonSetup returns an encoded set-up of a caller.
func jsonSetup(id string, left time.Duration) []byte {
	return jsonl.Append(nil, &jsonl.Message{Verb: jsonl.Start, Tag: id, Blob: []byte("o"), Options: []jsonl.Option{{Name: "class", Value: "voice"},
		{Name: "left", Value: fmt.Sprint(left.Milliseconds())}, {Name: "key", Value: "1"}, {Name: "extras", Value: "dest:0;width:1;via:-1"}}})
}

// awaitNoPendingWork waits until there are no open calls, set-ups or attempts.
func (b *testbed) awaitNoPendingWork() {
	b.t.Helper()
	eventually(b.t, "there is no pending work", func() bool {
		open, waits := 0, 0
		b.runIteration(func() {
			open = b.server.calls.OpenCalls()
			for k := range b.server.frontends.json.Clients().Oldest() {
				waits += k.OpenSetups()
			}
			for l := range b.server.backends.All() {
				waits += l.QueuedSetups() + l.OpenAttempts()
			}
		})
		return open == 0 && waits == 0
	})
}

const testCallID = "00000000000000aa"

// awaitQueuedSetups waits until exactly n set-ups are queued for exchanges.
func (b *testbed) awaitQueuedSetups(n int) {
	b.t.Helper()
	eventually(b.t, fmt.Sprint(n, " set-ups are queued"), func() bool {
		got := 0
		b.runIteration(func() {
			for l := range b.server.backends.All() {
				got += l.QueuedSetups()
			}
		})
		return got == n
	})
}

// awaitEnd waits until the server has ended.
func (b *testbed) awaitEnd() {
	b.t.Helper()
	select {
	case err := <-b.done:
		if err != nil {
			b.t.Error(err)
		}
	case <-time.After(8 * time.Second):
		b.t.Fatal("the server did not end")
	}
}

// isServing reports whether the server is not in the stopping state.
func (b *testbed) isServing() (serves bool) {
	b.runIteration(func() { serves = b.server.lifecycle.state != stateStopping })
	return serves
}

// A dialGate blocks dials after closed is closed and until opened is closed.
type dialGate struct {
	closed, opened chan struct{} // closed to block dials, and to let them continue
	blockedDials   chan bool     // receives a value for each blocked dial
}

func newDialGate() *dialGate {
	return &dialGate{closed: make(chan struct{}), opened: make(chan struct{}), blockedDials: make(chan bool, 8)}
}

func (g *dialGate) configure(o *Options) {
	o.dial = func(addr string, limit time.Duration) (net.Conn, error) {
		select {
		case <-g.closed:
			g.blockedDials <- true
			<-g.opened
		default:
		}
		return backend.DialTCP(addr, limit)
	}
}

// establishAndDisconnect establishes a call at an exchange and then resets the connection. It returns when the next dial
// is blocked.
func (b *testbed) establishAndDisconnect(a *fakeExchange, g *dialGate) (id string) {
	b.t.Helper()
	close(g.closed)
	id = b.caller.setUp("1", 3*time.Second)
	a.awaitReceived("INVITE", id, 1)
	a.send(sipResponse(id, "INVITE", 200, 1, "a"))
	b.answers.await(b.t, id, 1)
	resetConn(a.awaitConn())
	<-g.blockedDials
	return id
}

// servesAfterMinDrainTime begins a shutdown and reports whether the server still serves once it could have ended.
func (b *testbed) servesAfterMinDrainTime() bool {
	b.t.Helper()
	b.server.Stop()
	eventually(b.t, "the server could have ended", func() (over bool) {
		over = !b.isServing()
		b.runIteration(func() {
			over = b.server.lifecycle.drainingSince > 0 && b.server.loop.Now()-b.server.lifecycle.drainingSince > minDrainTime+2*quietPeriod
		})
		return over
	})
	return b.isServing()
}

// withGateways enables the H.248 frontend.
func withGateways(o *Options) { o.H248 = h248Config() }

// dialGateway connects a gateway. The server knows its message identifier when dialGateway returns.
func (b *testbed) dialGateway(mid string) *gatewayCaller {
	b.t.Helper()
	p := dialGatewayCaller(b.t, b.gatewayAddress(), b.answers, mid)
	p.lastID = 100
	before := len(strings.Fields(b.answers.of(strings.Trim(mid, "<>")+"/100"))) / 2
	p.send(&h248.Transaction{ID: 100, Actions: []*h248.Action{{Context: "-", Commands: []*h248.Command{{Name: "AuditValue", Termination: "ROOT"}}}}})
	b.answers.await(b.t, strings.Trim(mid, "<>")+"/100", before+1)
	return p
}

// latestGateway returns the server's state of the most recently used gateway.
func (b *testbed) latestGateway() *gateway.Gateway {
	for p := range b.server.frontends.gateway.Gateways().Latest() {
		return p
	}
	return nil
}

// frameTransactions returns transactions as encoded frames, one message each.
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

// testBothOrders runs a test of two events in both orders, as two subtests.
func testBothOrders(t *testing.T, one, other string, test func(t *testing.T, oneFirst bool)) {
	t.Parallel()
	for _, first := range []string{one, other} {
		t.Run(first+" first", func(t *testing.T) {
			t.Parallel()
			test(t, first == one)
		})
	}
}

// runInOrder runs two functions one after the other, in the given order.
func runInOrder(oneFirst bool, one, other func()) {
	if !oneFirst {
		one, other = other, one
	}
	one()
	other()
}

// listSerial returns the serial of the server's list of endpoints.
func (b *testbed) listSerial() (n uint32) {
	b.runIteration(func() { n = b.server.resolver.Serial() })
	return n
}

// discoveryAnswers returns the number of answers that the server has accepted from the discovery service.
func (b *testbed) discoveryAnswers() (answers int) {
	b.runIteration(func() { answers = b.server.discovery.counters.answers })
	return answers
}
