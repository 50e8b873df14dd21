package server

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"olivedale/internal/backend"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/eventloop"
)

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

// resetConn breaks a connection off from the peer's side.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// An exchange answers and its connection breaks. Whether the answer is read before something is written
// there, or the write fails first, the call stands, once, and is not tried elsewhere.
func TestAnswerAndConnectionFailure(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"the answer is read", "a write fails"} {
		t.Run(first+" first", func(t *testing.T) {
			t.Parallel()
			a, b := startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0")
			x := startTestbed(t, []*fakeExchange{a, b}, &scriptedDecider{retryDelay: retryGuard, servers: []string{"s-0", "s-0", "s-1", "s-1"}})
			id := x.caller.setUp("1", 3*time.Second)
			a.awaitReceived("INVITE", id, 1)
			c := a.awaitConn()
			if first == "a write fails" {
				x.runIteration(func() {
					_, _ = c.Write(sipResponse(id, "INVITE", 200, 1, "a"))
					resetConn(c)
					x.findClient("").HandleData(jsonSetup(testCallID, 2*time.Second)) // goes to the same exchange
				})
			} else {
				_, _ = c.Write(sipResponse(id, "INVITE", 200, 1, "a"))
				x.answers.await(t, id, 1)
				resetConn(c)
			}
			if got := x.answers.await(t, id, 1); got != "stands a" {
				t.Errorf("the caller heard %q", got)
			}
			if n := a.countReceived("INVITE", id) + b.countReceived("INVITE", id); n != 1 {
				t.Errorf("%d attempts", n)
			}
			if x.answers.of(id) != "stands a" {
				t.Errorf("the caller heard %q", x.answers.of(id))
			}
		})
	}
}

// A caller releases a call that stands and its connection breaks, as something is written to it: the exchange
// hears of the release in either order. A set-up behind it has lost its caller and is not sent on.
func TestReleaseAndConnectionFailure(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"the release is read", "a write fails"} {
		t.Run(first+" first", func(t *testing.T) {
			t.Parallel()
			a := startFakeExchange(t, "127.0.0.1:0")
			x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
			k := x.dialCaller("cccccccc")
			id := k.setUp("1", 3*time.Second)
			a.awaitReceived("INVITE", id, 1)
			a.send(sipResponse(id, "INVITE", 200, 1, "a"))
			x.answers.await(t, id, 1)
			said := append(jsonMessage(jsonl.Finish, id), jsonSetup(testCallID, 2*time.Second)...)
			if first == "a write fails" {
				x.runIteration(func() {
					_, _ = k.conn.Write(said)
					resetConn(k.conn)
					mine := x.findClient("")
					x.server.loop.Write(mine.Conn(), func(b []byte) []byte { return append(b, jsonMessage(jsonl.Echoed, "t")...) })
				})
			} else {
				_, _ = k.conn.Write(said[:len(jsonMessage(jsonl.Finish, id))])
				a.awaitReceived("BYE", id, 1)
				resetConn(k.conn)
			}
			a.awaitReceived("BYE", id, 1)
			x.awaitNoPendingWork()
			if n := a.countReceived("BYE", id) + a.countReceived("INVITE", testCallID); n != 1 {
				t.Errorf("%d releases and set-ups of a caller that had left", n)
			}
		})
	}
}

// A set-up and a release cross the close of their idle connection: what has come is taken, and the connection stays.
func TestSetupCrossesIdleClose(t *testing.T) {
	t.Parallel()
	a := startFakeExchange(t, "127.0.0.1:0")
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0"}})
	x.runIteration(func() {
		_, _ = x.caller.conn.Write(jsonSetup(testCallID, 2*time.Second))
		for k := x.server.frontends.json.EvictionCandidate(); k != nil; k = x.server.frontends.json.EvictionCandidate() {
			if k == x.findClient(testCallID) || x.server.calls.Contains(testCallID) && k.HasSetup(testCallID) {
				t.Error("a connection with a set-up on it is to be closed")
				return
			}
			x.server.loop.Close(k.Conn()) // as it would be closed: the next
		}
		if !x.server.calls.Contains(testCallID) {
			t.Error("the set-up was not taken")
		}
	})
	a.awaitReceived("INVITE", testCallID, 1)
	a.send(sipResponse(testCallID, "INVITE", 486, 1, ""))
	if got := x.answers.await(t, testCallID, 1); got != "end 41" {
		t.Error(got)
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
