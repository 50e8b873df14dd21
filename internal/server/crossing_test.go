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

// A far is an exchange that does what the test says: it notes what comes and sends what it is told.
type far struct {
	t    testing.TB
	ln   net.Listener
	mu   sync.Mutex
	wake *sync.Cond
	came []string // method, Call-ID and CSeq, in order, of all connections; 'CLOSED' where one has ended
	via  []int    // the connection that each came on
	when []time.Time
	last map[string]*sip.Message
	conn net.Conn // the latest
	all  []net.Conn
	held bool // it takes connections and reads nothing
}

func startFar(t testing.TB, addr string) *far {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	x := &far{t: t, ln: ln, last: make(map[string]*sip.Message)}
	x.wake = sync.NewCond(&x.mu)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			x.mu.Lock()
			x.conn = c
			x.all = append(x.all, c)
			held := x.held
			x.wake.Broadcast()
			x.mu.Unlock()
			if !held {
				go x.read(c)
			}
		}
	}()
	t.Cleanup(x.stop)
	return x
}

func (x *far) addr() string { return x.ln.Addr().String() }

// stop ends its process: nobody listens, its connections are reset.
func (x *far) stop() {
	_ = x.ln.Close()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.all {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (x *far) read(c net.Conn) {
	var in sip.Reader
	buf := make([]byte, 8192)
	for {
		n, err := c.Read(buf)
		if err != nil {
			x.take(c, "CLOSED", nil)
			return
		}
		_ = in.Feed(buf[:n], func(m *sip.Message) bool {
			x.take(c, fmt.Sprintf("%s %s %d", m.Method, m.CallID, m.CSeq), m)
			return true
		})
	}
}

func (x *far) take(c net.Conn, what string, m *sip.Message) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.came = append(x.came, what)
	x.via, x.when = append(x.via, slices.Index(x.all, c)), append(x.when, time.Now())
	if m != nil {
		x.last[m.Method+m.CallID] = m
	}
	x.wake.Broadcast()
}

// heard tells how many messages of a method came for a call.
func (x *far) heard(method, id string) (n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.came {
		if strings.HasPrefix(s, method+" "+id+" ") {
			n++
		}
	}
	return n
}

// awaits waits until so many messages of a method have come for a call.
func (x *far) awaits(method, id string, n int) {
	x.t.Helper()
	eventually(x.t, fmt.Sprintf("%d of %s %s", n, method, id), func() bool { return x.heard(method, id) >= n })
}

func (x *far) connected() net.Conn {
	x.t.Helper()
	eventually(x.t, "a connection to the exchange", func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.conn != nil
	})
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.conn
}

// response is an answer as it goes over the wire.
func response(id, method string, status, cseq int, body string) []byte {
	return fmt.Appendf(nil, "SIP/2.0 %d X\r\nCall-ID: %s\r\nCSeq: %d %s\r\nContent-Length: %d\r\n\r\n%s", status, id, cseq, method, len(body), body)
}

// finish is a release by the exchange as it goes over the wire.
func finish(id string, cause int) []byte {
	return sip.AppendRequest(nil, &sip.Request{Method: "BYE", Number: "1", CallID: id, CSeq: 90,
		Headers: []sip.Header{{Name: "Reason", Value: fmt.Sprint("Q.850;cause=", cause)}}})
}

func (x *far) send(b []byte) { _, _ = x.connected().Write(b) }

// A fixed module sends attempts where the test says, in turn, and repeats at once what ended.
type fixed struct {
	mu      sync.Mutex
	servers []string
	wait    time.Duration // before what may have run is sent again
	held    map[string]time.Duration
	reports []admission.AttemptReport
}

// sends says anew where attempts go from now on.
func (d *fixed) sends(servers ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = servers
}

func (d *fixed) Place(now time.Duration, r admission.Request) admission.Decision {
	return d.next(r.CallID)
}

func (d *fixed) next(id string) admission.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.servers) == 0 {
		return admission.Decision{CallID: id, Kind: admission.Fail}
	}
	s := d.servers[0]
	d.servers = d.servers[1:]
	return admission.Decision{CallID: id, Kind: admission.Send, Server: s, Wait: 3 * time.Second}
}

func (d *fixed) Report(now time.Duration, p admission.AttemptReport) admission.Decision {
	d.mu.Lock()
	d.reports = append(d.reports, p)
	d.mu.Unlock()
	switch {
	case p.Kind == admission.ReportAbandoned:
		d.mu.Lock()
		delete(d.held, p.CallID)
		d.mu.Unlock()
	case p.Kind != admission.ReportEnded || p.Final:
	case p.Result == admission.ServerBusy || p.Result == admission.NotSent || p.Result == admission.DialFailed || p.Result == admission.ServerError:
		return d.next(p.CallID)
	default:
		d.mu.Lock()
		if d.held == nil {
			d.held = make(map[string]time.Duration)
		}
		d.held[p.CallID] = now + d.wait
		d.mu.Unlock()
	}
	return admission.Decision{CallID: p.CallID}
}

func (d *fixed) Tick(now time.Duration) (orders []admission.Decision) {
	d.mu.Lock()
	var due []string
	for id, at := range d.held {
		if now >= at {
			due = append(due, id)
			delete(d.held, id)
		}
	}
	d.mu.Unlock()
	for _, id := range due {
		orders = append(orders, d.next(id))
	}
	return orders
}

func (d *fixed) NextDeadline() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := time.Duration(1 << 62)
	for _, at := range d.held {
		next = min(next, at)
	}
	return next
}
func (d *fixed) UpdateServers(time.Duration, []admission.Server, bool) {}

// codes lists what the module was told of the ends of a call's attempts.
func (d *fixed) codes(id string) (all []admission.AttemptResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.reports {
		if p.CallID == id && p.Kind == admission.ReportEnded {
			all = append(all, p.Result)
		}
	}
	return all
}

// A scene is a node, its exchanges s-0, s-1, ... and one caller.
type scene struct {
	*site
	t      *testing.T
	module *fixed
	far    []*far
	h      *heard
	k      *jsonCaller
}

func startScene(t *testing.T, far []*far, module *fixed, more ...func(*Options)) *scene {
	t.Helper()
	return startSceneOf(t, settings, 192, far, module, more...)
}

// startSceneOf serves a deployment of other settings, with so many MB of memory.
func startSceneOf(t *testing.T, settings string, memory int, far []*far, module *fixed, more ...func(*Options)) *scene {
	t.Helper()
	x := &scene{site: &site{names: startNames(t), r: newRules(), done: make(chan error, 1)}, t: t, module: module, far: far, h: newHeard()}
	var lines []nameLine
	var known []config.Endpoint
	for i, f := range far {
		id := fmt.Sprint("s-", i)
		lines = append(lines, nameLine{id: id, addr: f.addr(), cell: i})
		known = append(known, config.Endpoint{ID: id, Address: f.addr(), Zone: "east", Kind: "std", Pool: i, Phase: config.PhaseReady})
	}
	x.names.set(lines...)
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "names": x.names.c.LocalAddr().String(),
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
	if x.n, err = New(cfg, o); err != nil {
		t.Fatal(err)
	}
	x.watched()
	go func() { x.done <- x.n.Run(); close(x.done) }()
	select {
	case <-x.n.Started():
	case <-time.After(10 * time.Second):
		t.Fatal("the node did not start")
	}
	t.Cleanup(func() {
		x.n.Stop()
		select {
		case <-x.done:
		case <-time.After(10 * time.Second):
			t.Error("the node did not stop")
		}
	})
	for i := range far {
		x.up(i)
	}
	x.k = x.dial("aaaaaaaa")
	return x
}

// up waits until the link to an exchange is up.
func (x *scene) up(i int) {
	x.t.Helper()
	eventually(x.t, "the link is up", func() (up bool) {
		x.turn(func() { l := x.n.backends.Get(fmt.Sprint("s-", i)); up = l != nil && l.IsConnected() })
		return up
	})
}

// dial brings one more caller, whose connection is there when it returns.
func (x *scene) dial(salt string) *jsonCaller {
	x.t.Helper()
	before := len(strings.Fields(x.h.of("echo")))
	k := dialJSON(x.t, x.json(), x.h, salt)
	k.send(&jsonl.Message{Verb: jsonl.Echo, Tag: "t"})
	x.h.wait(x.t, "echo", before+1)
	return k
}

// turn runs f as one turn of the loop; once the node has ended, it does nothing.
func (x *scene) turn(f func()) {
	done := make(chan struct{})
	x.n.loop.Execute(func() { x.n.loop.RunIteration(f); close(done) })
	select {
	case <-done:
	case <-x.done:
	}
}

// says hands bytes of an exchange in, as if they had come in this turn.
func (x *scene) says(i int, b []byte) {
	x.n.backends.Get(fmt.Sprint("s-", i)).HandleData(b)
}

// client is the node's side of the caller that has a set-up open, else of the one that came last.
func (x *scene) client(id string) (found *jsonclient.Client) {
	for k := range x.n.frontends.json.Clients().Oldest() {
		if id == "" || k.HasSetup(id) {
			found = k
		}
	}
	return found
}

// line is a message of a caller as it goes over the wire.
func line(verb, id string) []byte {
	return jsonl.Append(nil, &jsonl.Message{Verb: verb, Tag: id, RC: 16, HasRC: true})
}

// start is a set-up as it goes over the wire.
func start(id string, left time.Duration) []byte {
	return jsonl.Append(nil, &jsonl.Message{Verb: jsonl.Start, Tag: id, Blob: []byte("o"), Opts: []jsonl.Opt{{Name: "class", Value: "voice"},
		{Name: "left", Value: fmt.Sprint(left.Milliseconds())}, {Name: "key", Value: "1"}, {Name: "extras", Value: "dest:0;width:1;via:-1"}}})
}

// settled checks that nothing is owed any more: no call is open, no connection waits for an answer.
func (x *scene) settled() {
	x.t.Helper()
	eventually(x.t, "nothing is owed", func() bool {
		open, waits := 0, 0
		x.turn(func() {
			open = x.n.calls.OpenCalls()
			for k := range x.n.frontends.json.Clients().Oldest() {
				waits += k.OpenSetups()
			}
			for l := range x.n.backends.All() {
				waits += l.QueuedSetups() + l.OpenAttempts()
			}
		})
		return open == 0 && waits == 0
	})
}

const tag = "00000000000000aa"

// A caller gives its set-up up in the turn in which it came: it is not sent at all, whether the link is up
// or still dialled.
func TestGivenUpInTheTurnOfTheSend(t *testing.T) {
	t.Parallel()
	x := startScene(t, []*far{startFar(t, "127.0.0.1:0")}, &fixed{servers: []string{"s-0", "s-0"}})
	x.turn(func() { x.client("").HandleData(append(start(tag, time.Second), line(jsonl.Finish, tag)...)) })
	x.settled()
	x.turn(func() { x.client("").HandleData(start("00000000000000ab", 300*time.Millisecond)) })
	x.far[0].awaits("INVITE", "00000000000000ab", 1) // what came behind it is there
	if n := x.far[0].heard("INVITE", tag) + x.far[0].heard("CANCEL", tag); n != 0 {
		t.Errorf("a set-up whose caller had left brought the exchange %d messages", n)
	}
	if codes := x.module.codes(tag); len(codes) != 1 || codes[0] != admission.NotSent {
		t.Errorf("the module was told %v", codes)
	}
}

// A set-up is given up on another connection than it came on: nothing of it stays behind there.
func TestGivenUpOnAnotherConnection(t *testing.T) {
	t.Parallel()
	x := startScene(t, []*far{startFar(t, "127.0.0.1:0")}, &fixed{servers: []string{"s-0"}})
	id := x.k.setUp("1", 3*time.Second)
	x.far[0].awaits("INVITE", id, 1)
	x.dial("bbbbbbbb").hangUp(id)
	x.far[0].awaits("CANCEL", id, 1)
	x.settled()
}

// An exchange turns an attempt down and its answer comes a second time while a later attempt of the call is out
// there: that one stays the only one, whether the exchange is known to repeat our numbers or not.
func TestSecondAnswerToAnEarlierAttempt(t *testing.T) {
	t.Parallel()
	for _, repeats := range []bool{true, false} {
		t.Run(fmt.Sprint("known to repeat ", repeats), func(t *testing.T) {
			t.Parallel()
			a, b := startFar(t, "127.0.0.1:0"), startFar(t, "127.0.0.1:0")
			x := startScene(t, []*far{a, b}, &fixed{wait: guard, servers: []string{"s-1", "s-0", "s-0", "s-1", "s-0", "s-1"}})
			first := x.k.setUp("1", 5*time.Second) // its second attempt is at s-0
			b.awaits("INVITE", first, 1)
			b.send(response(first, "INVITE", 503, 1, ""))
			a.awaits("INVITE", first, 1)
			number := 1
			if repeats {
				number = 2
			}
			a.send(response(first, "INVITE", 200, number, "a"))
			x.h.wait(t, first, 1)

			id := x.k.setUp("1", 5*time.Second)
			a.awaits("INVITE", id, 1)
			a.send(response(id, "INVITE", 503, 1, ""))
			b.awaits("INVITE", id, 1)
			b.send(response(id, "INVITE", 503, 2, ""))
			a.awaits("INVITE", id, 2)
			var copied time.Time
			x.turn(func() { x.says(0, response(id, "INVITE", 503, 1, "")); copied = time.Now() })
			if repeats {
				a.send(response(id, "INVITE", 200, 3, "a"))
				if got := x.h.wait(t, id, 1); got != "stands a" {
					t.Error(got)
				}
				if n := a.heard("CANCEL", id) + b.heard("INVITE", id); n != 1 {
					t.Errorf("the copy brought %d messages", n-1)
				}
				return
			}
			b.awaits("INVITE", id, 2)
			if took := time.Since(copied); a.heard("CANCEL", id) != 1 || took < guard {
				t.Errorf("the next attempt %v after the copy, %d given up", took, a.heard("CANCEL", id))
			}
			b.send(response(id, "INVITE", 200, 4, "b"))
			if got := x.h.wait(t, id, 1); got != "stands b" {
				t.Error(got)
			}
		})
	}
}

// A second answer comes to a call that stands, to one that was refused, and to one that is over and forgotten by the
// dialect: nobody hears of it twice and the call that stands goes on.
func TestSecondAnswerChangesNothing(t *testing.T) {
	t.Parallel()
	a := startFar(t, "127.0.0.1:0")
	x := startScene(t, []*far{a}, &fixed{servers: []string{"s-0", "s-0"}})
	stands := x.k.setUp("1", 3*time.Second)
	a.awaits("INVITE", stands, 1)
	x.turn(func() {
		x.says(0, response(stands, "INVITE", 200, 1, "a"))
		x.says(0, response(stands, "INVITE", 200, 1, "b"))
		x.says(0, response(stands, "INVITE", 503, 1, ""))
	})
	x.h.wait(t, stands, 1)
	refused := x.k.setUp("1", 3*time.Second)
	a.awaits("INVITE", refused, 1)
	x.turn(func() {
		x.says(0, response(refused, "INVITE", 486, 1, ""))
		x.says(0, response(refused, "INVITE", 200, 1, "c"))
	})
	x.h.wait(t, refused, 1)
	a.send(finish(stands, 16))
	x.h.wait(t, stands, 2)
	x.turn(func() {
		x.n.backends.Get("s-0").Tick(x.n.loop.Now() + time.Hour)
		x.says(0, response(stands, "INVITE", 200, 1, "d"))
		x.says(0, response(refused, "INVITE", 200, 1, "e"))
		if n := x.n.backends.Get("s-0").RememberedCalls(); n != 0 {
			t.Errorf("%d dialogs are left", n)
		}
	})
	x.settled()
	if one, two := x.h.of(stands), x.h.of(refused); one != "stands a end 16" || two != "end 41" {
		t.Errorf("the callers heard %q and %q", one, two)
	}
}

// A set-up waits for a dial. Its caller leaves, by a give-up, by closing its connection, or as its time runs out
// in the very turn in which the dial comes up: nothing is sent on.
func TestDialComesUpForNobody(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"gives up", "closes", "runs out"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			a := startFar(t, "127.0.0.1:0")
			gate := make(chan struct{})
			x := startScene(t, nil, &fixed{servers: []string{"s-0", "s-0", "s-0"}}, func(o *Options) {
				o.dial = func(addr string, limit time.Duration) (net.Conn, error) { <-gate; return backend.DialTCP(addr, limit) }
			})
			x.names.set(nameLine{id: "s-0", addr: a.addr()})
			eventually(t, "the exchange is known", func() (known bool) {
				x.turn(func() { known = x.n.backends.Get("s-0") != nil })
				return known
			})
			k := x.dial("cccccccc")
			id := k.setUp("1", 400*time.Millisecond)
			x.queued(1)
			switch how {
			case "gives up":
				k.hangUp(id)
			case "closes":
				k.close()
			}
			if how != "runs out" {
				x.queued(0)
				close(gate)
			} else {
				x.turn(func() { // the connection is handed to the loop while it stands, and before its timer
					until := x.n.loop.Now() + 450*time.Millisecond
					close(gate)
					for x.n.loop.Now() < until {
						time.Sleep(time.Millisecond)
					}
				})
				if got := x.h.wait(t, id, 1); got != "end 41" {
					t.Error(got)
				}
			}
			eventually(t, "the link is up", func() (up bool) {
				x.turn(func() { up = x.n.backends.Get("s-0").IsConnected() })
				return up
			})
			x.settled()
			last := x.k.setUp("1", 2*time.Second)
			a.awaits("INVITE", last, 1)
			if n := a.heard("INVITE", id) + a.heard("CANCEL", id); n != 0 {
				t.Errorf("%d messages of a set-up whose caller had left", n)
			}
		})
	}
}

// queued waits until so many set-ups wait for links.
func (x *scene) queued(n int) {
	x.t.Helper()
	eventually(x.t, fmt.Sprint(n, " set-ups wait"), func() bool {
		got := 0
		x.turn(func() {
			for l := range x.n.backends.All() {
				got += l.QueuedSetups()
			}
		})
		return got == n
	})
}
