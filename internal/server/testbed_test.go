package server

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"olivedale/internal/backend"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/config"
	"olivedale/internal/frontend/gateway"
	"olivedale/internal/frontend/jsonclient"
)

// A testbed is a node, its exchanges s-0, s-1, ... and one caller.
type testbed struct {
	*testServer
	t         *testing.T
	decider   *scriptedDecider
	exchanges []*fakeExchange
	answers   *answerLog
	caller    *jsonCaller
}

func startTestbed(t *testing.T, far []*fakeExchange, module *scriptedDecider, more ...func(*Options)) *testbed {
	t.Helper()
	return startTestbedWith(t, settings, 192, far, module, more...)
}

// startTestbedWith serves a deployment of other settings, with so many MB of memory.
func startTestbedWith(t *testing.T, settings string, memory int, far []*fakeExchange, module *scriptedDecider, more ...func(*Options)) *testbed {
	t.Helper()
	x := &testbed{testServer: &testServer{discovery: startDiscoveryServer(t), observations: newCallObservations(), done: make(chan error, 1)}, t: t, decider: module, exchanges: far, answers: newAnswerLog()}
	var lines []endpointLine
	var known []config.Endpoint
	for i, f := range far {
		id := fmt.Sprint("s-", i)
		lines = append(lines, endpointLine{id: id, addr: f.addr(), pool: i})
		known = append(known, config.Endpoint{ID: id, Address: f.addr(), Zone: "east", Kind: "std", Pool: i, Phase: config.PhaseReady})
	}
	x.discovery.set(lines...)
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "names": x.discovery.conn.LocalAddr().String(),
		"limits": map[string]any{"memory_mb": memory, "sockets": 1024}, "settings": json.RawMessage(settings),
		"known": config.KnownEndpoints{LastEvent: 1, Events: []config.EndpointEvent{{N: 1, Endpoints: config.EndpointList{Complete: true, Endpoints: known}}}}})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	o := Options{}
	if module != nil {
		o.decider = module
	}
	for _, f := range more {
		f(&o)
	}
	if x.server, err = New(cfg, o); err != nil {
		t.Fatal(err)
	}
	x.observeRetries()
	go func() { x.done <- x.server.Run(); close(x.done) }()
	select {
	case <-x.server.Started():
	case <-time.After(10 * time.Second):
		t.Fatal("the node did not start")
	}
	t.Cleanup(func() {
		x.server.Stop()
		select {
		case <-x.done:
		case <-time.After(10 * time.Second):
			t.Error("the node did not stop")
		}
	})
	for i := range far {
		x.awaitConnected(i)
	}
	x.caller = x.dialCaller("aaaaaaaa")
	return x
}

// awaitConnected waits until the link to an exchange is awaitConnected.
func (x *testbed) awaitConnected(i int) {
	x.t.Helper()
	eventually(x.t, "the link is up", func() (up bool) {
		x.runIteration(func() { l := x.server.backends.Get(fmt.Sprint("s-", i)); up = l != nil && l.IsConnected() })
		return up
	})
}

// dialCaller brings one more caller, whose connection is there when it returns.
func (x *testbed) dialCaller(salt string) *jsonCaller {
	x.t.Helper()
	before := len(strings.Fields(x.answers.of("echo")))
	k := dialJSONCaller(x.t, x.jsonAddress(), x.answers, salt)
	k.send(&jsonl.Message{Verb: jsonl.Echo, Tag: "t"})
	x.answers.await(x.t, "echo", before+1)
	return k
}

// runIteration runs f as one runIteration of the loop; once the node has ended, it does nothing.
func (x *testbed) runIteration(f func()) {
	done := make(chan struct{})
	x.server.loop.Execute(func() { x.server.loop.RunIteration(f); close(done) })
	select {
	case <-done:
	case <-x.done:
	}
}

// deliver hands bytes of an exchange in, as if they had come in this turn.
func (x *testbed) deliver(i int, b []byte) {
	x.server.backends.Get(fmt.Sprint("s-", i)).HandleData(b)
}

// findClient is the node's side of the caller that has a set-up open, else of the one that came last.
func (x *testbed) findClient(id string) (found *jsonclient.Client) {
	for k := range x.server.frontends.json.Clients().Oldest() {
		if id == "" || k.HasSetup(id) {
			found = k
		}
	}
	return found
}

// jsonMessage is a message of a caller as it goes over the wire.
func jsonMessage(verb, id string) []byte {
	return jsonl.Append(nil, &jsonl.Message{Verb: verb, Tag: id, RC: 16, HasRC: true})
}

// jsonSetup is a set-up as it goes over the wire.
func jsonSetup(id string, left time.Duration) []byte {
	return jsonl.Append(nil, &jsonl.Message{Verb: jsonl.Start, Tag: id, Blob: []byte("o"), Opts: []jsonl.Opt{{Name: "class", Value: "voice"},
		{Name: "left", Value: fmt.Sprint(left.Milliseconds())}, {Name: "key", Value: "1"}, {Name: "extras", Value: "dest:0;width:1;via:-1"}}})
}

// awaitNoPendingWork checks that nothing is owed any more: no call is open, no connection waits for an answer.
func (x *testbed) awaitNoPendingWork() {
	x.t.Helper()
	eventually(x.t, "nothing is owed", func() bool {
		open, waits := 0, 0
		x.runIteration(func() {
			open = x.server.calls.OpenCalls()
			for k := range x.server.frontends.json.Clients().Oldest() {
				waits += k.OpenSetups()
			}
			for l := range x.server.backends.All() {
				waits += l.QueuedSetups() + l.OpenAttempts()
			}
		})
		return open == 0 && waits == 0
	})
}

const testCallID = "00000000000000aa"

// awaitQueuedSetups waits until so many set-ups wait for links.
func (x *testbed) awaitQueuedSetups(n int) {
	x.t.Helper()
	eventually(x.t, fmt.Sprint(n, " set-ups wait"), func() bool {
		got := 0
		x.runIteration(func() {
			for l := range x.server.backends.All() {
				got += l.QueuedSetups()
			}
		})
		return got == n
	})
}

// awaitEnd waits until the node has ended by itself.
func (x *testbed) awaitEnd() {
	x.t.Helper()
	select {
	case err := <-x.done:
		if err != nil {
			x.t.Error(err)
		}
	case <-time.After(8 * time.Second):
		x.t.Fatal("the node did not end")
	}
}

// isServing tells whether the node still serves and means to.
func (x *testbed) isServing() (serves bool) {
	x.runIteration(func() { serves = x.server.lifecycle.state != stateStopping })
	return serves
}

// A dialGate holds dials from a moment on.
type dialGate struct {
	closed, opened chan struct{} // closed: dials are held, they go on
	blockedDials   chan bool     // a dial is held
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

// establishAndDisconnect sets a call up that stands at an exchange whose connection then breaks; its next dial is held.
func (x *testbed) establishAndDisconnect(a *fakeExchange, g *dialGate) (id string) {
	x.t.Helper()
	close(g.closed)
	id = x.caller.setUp("1", 3*time.Second)
	a.awaitReceived("INVITE", id, 1)
	a.send(sipResponse(id, "INVITE", 200, 1, "a"))
	x.answers.await(x.t, id, 1)
	resetConn(a.awaitConn())
	<-g.blockedDials
	return id
}

// servesAfterLinger stops the node and tells whether it still serves once it could have ended.
func (x *testbed) servesAfterLinger() bool {
	x.t.Helper()
	x.server.Stop()
	eventually(x.t, "the linger is over", func() (over bool) {
		over = !x.isServing()
		x.runIteration(func() {
			over = x.server.lifecycle.drainingSince > 0 && x.server.loop.Now()-x.server.lifecycle.drainingSince > lingerTime+2*quietTime
		})
		return over
	})
	return x.isServing()
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

// listSerial is that of the list the node goes by.
func (x *testbed) listSerial() (n uint32) {
	x.runIteration(func() { n = x.server.endpoints.Serial() })
	return n
}

func (n *Server) discoveryAnswers(x *testbed) (answers int) {
	x.runIteration(func() { answers = n.discovery.counters.answers })
	return answers
}
