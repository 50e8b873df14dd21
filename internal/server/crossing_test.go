package server

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/backend"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/codec/sip"
	"olivedale/internal/config"
	"olivedale/internal/frontend/jsonclient"
)

// Crossings: two things happen at one moment, and both orders are forced. Bytes are handed to a
// connection within a turn of the loop that the test holds, so no order hangs on a scheduler.

// A fakeExchange is an exchange that does what the test says: it notes what comes and sends what it is told.
type fakeExchange struct {
	t             testing.TB
	listener      net.Listener
	mu            sync.Mutex
	changed       *sync.Cond
	received      []string // method, Call-ID and CSeq, in order, of all connections; 'CLOSED' where one has ended
	receivedOn    []int    // the connection that each came on
	receivedAt    []time.Time
	latestMessage map[string]*sip.Message
	latestConn    net.Conn // the latest
	conns         []net.Conn
	readsNothing  bool // it takes connections and reads nothing
}

func startFakeExchange(t testing.TB, addr string) *fakeExchange {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	x := &fakeExchange{t: t, listener: ln, latestMessage: make(map[string]*sip.Message)}
	x.changed = sync.NewCond(&x.mu)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			x.mu.Lock()
			x.latestConn = c
			x.conns = append(x.conns, c)
			held := x.readsNothing
			x.changed.Broadcast()
			x.mu.Unlock()
			if !held {
				go x.readFrom(c)
			}
		}
	}()
	t.Cleanup(x.stop)
	return x
}

func (x *fakeExchange) addr() string { return x.listener.Addr().String() }

// stop ends its process: nobody listens, its connections are reset.
func (x *fakeExchange) stop() {
	_ = x.listener.Close()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (x *fakeExchange) readFrom(c net.Conn) {
	var in sip.Reader
	buf := make([]byte, 8192)
	for {
		n, err := c.Read(buf)
		if err != nil {
			x.record(c, "CLOSED", nil)
			return
		}
		_ = in.Feed(buf[:n], func(m *sip.Message) bool {
			x.record(c, fmt.Sprintf("%s %s %d", m.Method, m.CallID, m.CSeq), m)
			return true
		})
	}
}

func (x *fakeExchange) record(c net.Conn, what string, m *sip.Message) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.received = append(x.received, what)
	x.receivedOn, x.receivedAt = append(x.receivedOn, slices.Index(x.conns, c)), append(x.receivedAt, time.Now())
	if m != nil {
		x.latestMessage[m.Method+m.CallID] = m
	}
	x.changed.Broadcast()
}

// countReceived tells how many messages of a method came for a call.
func (x *fakeExchange) countReceived(method, id string) (n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.received {
		if strings.HasPrefix(s, method+" "+id+" ") {
			n++
		}
	}
	return n
}

// awaitReceived waits until so many messages of a method have come for a call.
func (x *fakeExchange) awaitReceived(method, id string, n int) {
	x.t.Helper()
	eventually(x.t, fmt.Sprintf("%d of %s %s", n, method, id), func() bool { return x.countReceived(method, id) >= n })
}

func (x *fakeExchange) awaitConn() net.Conn {
	x.t.Helper()
	eventually(x.t, "a connection to the exchange", func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.latestConn != nil
	})
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.latestConn
}

// sipResponse is an answer as it goes over the wire.
func sipResponse(id, method string, status, cseq int, body string) []byte {
	return fmt.Appendf(nil, "SIP/2.0 %d X\r\nCall-ID: %s\r\nCSeq: %d %s\r\nContent-Length: %d\r\n\r\n%s", status, id, cseq, method, len(body), body)
}

// sipRelease is a release by the exchange as it goes over the wire.
func sipRelease(id string, cause int) []byte {
	return sip.AppendRequest(nil, &sip.Request{Method: "BYE", Number: "1", CallID: id, CSeq: 90,
		Headers: []sip.Header{{Name: "Reason", Value: fmt.Sprint("Q.850;cause=", cause)}}})
}

func (x *fakeExchange) send(b []byte) { _, _ = x.awaitConn().Write(b) }

// A scriptedDecider module sends attempts where the test says, in turn, and repeats at once what ended.
type scriptedDecider struct {
	mu         sync.Mutex
	servers    []string
	retryDelay time.Duration // before what may have run is sent again
	retryAt    map[string]time.Duration
	reports    []admission.AttemptReport
}

// setServers says anew where attempts go from now on.
func (d *scriptedDecider) setServers(servers ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = servers
}

func (d *scriptedDecider) Place(now time.Duration, r admission.Request) admission.Decision {
	return d.next(r.CallID)
}

func (d *scriptedDecider) next(id string) admission.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.servers) == 0 {
		return admission.Decision{CallID: id, Kind: admission.Fail}
	}
	s := d.servers[0]
	d.servers = d.servers[1:]
	return admission.Decision{CallID: id, Kind: admission.Send, Server: s, Wait: 3 * time.Second}
}

func (d *scriptedDecider) Report(now time.Duration, p admission.AttemptReport) admission.Decision {
	d.mu.Lock()
	d.reports = append(d.reports, p)
	d.mu.Unlock()
	switch {
	case p.Kind == admission.ReportAbandoned:
		d.mu.Lock()
		delete(d.retryAt, p.CallID)
		d.mu.Unlock()
	case p.Kind != admission.ReportEnded || p.Final:
	case p.Result == admission.ServerBusy || p.Result == admission.NotSent || p.Result == admission.DialFailed || p.Result == admission.ServerError:
		return d.next(p.CallID)
	default:
		d.mu.Lock()
		if d.retryAt == nil {
			d.retryAt = make(map[string]time.Duration)
		}
		d.retryAt[p.CallID] = now + d.retryDelay
		d.mu.Unlock()
	}
	return admission.Decision{CallID: p.CallID}
}

func (d *scriptedDecider) Tick(now time.Duration) (orders []admission.Decision) {
	d.mu.Lock()
	var due []string
	for id, at := range d.retryAt {
		if now >= at {
			due = append(due, id)
			delete(d.retryAt, id)
		}
	}
	d.mu.Unlock()
	for _, id := range due {
		orders = append(orders, d.next(id))
	}
	return orders
}

func (d *scriptedDecider) NextDeadline() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := time.Duration(1 << 62)
	for _, at := range d.retryAt {
		next = min(next, at)
	}
	return next
}
func (d *scriptedDecider) UpdateServers(time.Duration, []admission.Server, bool) {}

// results lists what the module was told of the ends of a call's attempts.
func (d *scriptedDecider) results(id string) (all []admission.AttemptResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.reports {
		if p.CallID == id && p.Kind == admission.ReportEnded {
			all = append(all, p.Result)
		}
	}
	return all
}

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

// A caller gives its set-up up in the turn in which it came: it is not sent at all, whether the link is up
// or still dialled.
func TestCancelInTheIterationOfTheSetup(t *testing.T) {
	t.Parallel()
	x := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
	x.runIteration(func() {
		x.findClient("").HandleData(append(jsonSetup(testCallID, time.Second), jsonMessage(jsonl.Finish, testCallID)...))
	})
	x.awaitNoPendingWork()
	x.runIteration(func() { x.findClient("").HandleData(jsonSetup("00000000000000ab", 300*time.Millisecond)) })
	x.exchanges[0].awaitReceived("INVITE", "00000000000000ab", 1) // what came behind it is there
	if n := x.exchanges[0].countReceived("INVITE", testCallID) + x.exchanges[0].countReceived("CANCEL", testCallID); n != 0 {
		t.Errorf("a set-up whose caller had left brought the exchange %d messages", n)
	}
	if codes := x.decider.results(testCallID); len(codes) != 1 || codes[0] != admission.NotSent {
		t.Errorf("the module was told %v", codes)
	}
}

// A set-up is given up on another connection than it came on: nothing of it stays behind there.
func TestCancelOnAnotherConnection(t *testing.T) {
	t.Parallel()
	x := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, &scriptedDecider{servers: []string{"s-0"}})
	id := x.caller.setUp("1", 3*time.Second)
	x.exchanges[0].awaitReceived("INVITE", id, 1)
	x.dialCaller("bbbbbbbb").hangUp(id)
	x.exchanges[0].awaitReceived("CANCEL", id, 1)
	x.awaitNoPendingWork()
}

// An exchange turns an attempt down and its answer comes a second time while a later attempt of the call is out
// there: that one stays the only one, whether the exchange is known to repeat our numbers or not.
func TestCopyOfAnswerToEarlierAttempt(t *testing.T) {
	t.Parallel()
	for _, repeats := range []bool{true, false} {
		t.Run(fmt.Sprint("known to repeat ", repeats), func(t *testing.T) {
			t.Parallel()
			a, b := startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0")
			x := startTestbed(t, []*fakeExchange{a, b}, &scriptedDecider{retryDelay: retryGuard, servers: []string{"s-1", "s-0", "s-0", "s-1", "s-0", "s-1"}})
			first := x.caller.setUp("1", 5*time.Second) // its second attempt is at s-0
			b.awaitReceived("INVITE", first, 1)
			b.send(sipResponse(first, "INVITE", 503, 1, ""))
			a.awaitReceived("INVITE", first, 1)
			number := 1
			if repeats {
				number = 2
			}
			a.send(sipResponse(first, "INVITE", 200, number, "a"))
			x.answers.await(t, first, 1)

			id := x.caller.setUp("1", 5*time.Second)
			a.awaitReceived("INVITE", id, 1)
			a.send(sipResponse(id, "INVITE", 503, 1, ""))
			b.awaitReceived("INVITE", id, 1)
			b.send(sipResponse(id, "INVITE", 503, 2, ""))
			a.awaitReceived("INVITE", id, 2)
			var copied time.Time
			x.runIteration(func() { x.deliver(0, sipResponse(id, "INVITE", 503, 1, "")); copied = time.Now() })
			if repeats {
				a.send(sipResponse(id, "INVITE", 200, 3, "a"))
				if got := x.answers.await(t, id, 1); got != "stands a" {
					t.Error(got)
				}
				if n := a.countReceived("CANCEL", id) + b.countReceived("INVITE", id); n != 1 {
					t.Errorf("the copy brought %d messages", n-1)
				}
				return
			}
			b.awaitReceived("INVITE", id, 2)
			if took := time.Since(copied); a.countReceived("CANCEL", id) != 1 || took < retryGuard {
				t.Errorf("the next attempt %v after the copy, %d given up", took, a.countReceived("CANCEL", id))
			}
			b.send(sipResponse(id, "INVITE", 200, 4, "b"))
			if got := x.answers.await(t, id, 1); got != "stands b" {
				t.Error(got)
			}
		})
	}
}

// A second answer comes to a call that stands, to one that was refused, and to one that is over and forgotten by the
// dialect: nobody hears of it twice and the call that stands goes on.
func TestCopiesOfAnswersAreIgnored(t *testing.T) {
	t.Parallel()
	a := startFakeExchange(t, "127.0.0.1:0")
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
	stands := x.caller.setUp("1", 3*time.Second)
	a.awaitReceived("INVITE", stands, 1)
	x.runIteration(func() {
		x.deliver(0, sipResponse(stands, "INVITE", 200, 1, "a"))
		x.deliver(0, sipResponse(stands, "INVITE", 200, 1, "b"))
		x.deliver(0, sipResponse(stands, "INVITE", 503, 1, ""))
	})
	x.answers.await(t, stands, 1)
	refused := x.caller.setUp("1", 3*time.Second)
	a.awaitReceived("INVITE", refused, 1)
	x.runIteration(func() {
		x.deliver(0, sipResponse(refused, "INVITE", 486, 1, ""))
		x.deliver(0, sipResponse(refused, "INVITE", 200, 1, "c"))
	})
	x.answers.await(t, refused, 1)
	a.send(sipRelease(stands, 16))
	x.answers.await(t, stands, 2)
	x.runIteration(func() {
		x.server.backends.Get("s-0").Tick(x.server.loop.Now() + time.Hour)
		x.deliver(0, sipResponse(stands, "INVITE", 200, 1, "d"))
		x.deliver(0, sipResponse(refused, "INVITE", 200, 1, "e"))
		if n := x.server.backends.Get("s-0").RememberedCalls(); n != 0 {
			t.Errorf("%d dialogs are left", n)
		}
	})
	x.awaitNoPendingWork()
	if one, two := x.answers.of(stands), x.answers.of(refused); one != "stands a end 16" || two != "end 41" {
		t.Errorf("the callers heard %q and %q", one, two)
	}
}

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
