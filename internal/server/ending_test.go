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

// ends waits until the node has ended by itself.
func (x *scene) ends() {
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

// running tells whether the node still serves and means to.
func (x *scene) running() (serves bool) {
	x.turn(func() { serves = x.n.lifecycle.state != stateStopping })
	return serves
}

// reset breaks a connection off from the peer's side.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// An exchange answers and its connection breaks. Whether the answer is read before something is written
// there, or the write fails first, the call stands, once, and is not tried elsewhere.
func TestAnswerBesideTheBreak(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"the answer is read", "a write fails"} {
		t.Run(first+" first", func(t *testing.T) {
			t.Parallel()
			a, b := startFar(t, "127.0.0.1:0"), startFar(t, "127.0.0.1:0")
			x := startScene(t, []*far{a, b}, &fixed{wait: guard, servers: []string{"s-0", "s-0", "s-1", "s-1"}})
			id := x.k.setUp("1", 3*time.Second)
			a.awaits("INVITE", id, 1)
			c := a.connected()
			if first == "a write fails" {
				x.turn(func() {
					_, _ = c.Write(response(id, "INVITE", 200, 1, "a"))
					reset(c)
					x.client("").HandleData(start(tag, 2*time.Second)) // goes to the same exchange
				})
			} else {
				_, _ = c.Write(response(id, "INVITE", 200, 1, "a"))
				x.h.wait(t, id, 1)
				reset(c)
			}
			if got := x.h.wait(t, id, 1); got != "stands a" {
				t.Errorf("the caller heard %q", got)
			}
			if n := a.heard("INVITE", id) + b.heard("INVITE", id); n != 1 {
				t.Errorf("%d attempts", n)
			}
			if x.h.of(id) != "stands a" {
				t.Errorf("the caller heard %q", x.h.of(id))
			}
		})
	}
}

// A caller releases a call that stands and its connection breaks, as something is written to it: the exchange
// hears of the release in either order. A set-up behind it has lost its caller and is not sent on.
func TestReleaseBesideTheBreak(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"the release is read", "a write fails"} {
		t.Run(first+" first", func(t *testing.T) {
			t.Parallel()
			a := startFar(t, "127.0.0.1:0")
			x := startScene(t, []*far{a}, &fixed{servers: []string{"s-0", "s-0"}})
			k := x.dial("cccccccc")
			id := k.setUp("1", 3*time.Second)
			a.awaits("INVITE", id, 1)
			a.send(response(id, "INVITE", 200, 1, "a"))
			x.h.wait(t, id, 1)
			said := append(line(jsonl.Finish, id), start(tag, 2*time.Second)...)
			if first == "a write fails" {
				x.turn(func() {
					_, _ = k.c.Write(said)
					reset(k.c)
					mine := x.client("")
					x.n.loop.Write(mine.Conn(), func(b []byte) []byte { return append(b, line(jsonl.Echoed, "t")...) })
				})
			} else {
				_, _ = k.c.Write(said[:len(line(jsonl.Finish, id))])
				a.awaits("BYE", id, 1)
				reset(k.c)
			}
			a.awaits("BYE", id, 1)
			x.settled()
			if n := a.heard("BYE", id) + a.heard("INVITE", tag); n != 1 {
				t.Errorf("%d releases and set-ups of a caller that had left", n)
			}
		})
	}
}

// A set-up and a release cross the close of their idle connection: what has come is taken, and the connection stays.
func TestIdleCloseCrossesASetUp(t *testing.T) {
	t.Parallel()
	a := startFar(t, "127.0.0.1:0")
	x := startScene(t, []*far{a}, &fixed{servers: []string{"s-0"}})
	x.turn(func() {
		_, _ = x.k.c.Write(start(tag, 2*time.Second))
		for k := x.n.frontends.json.EvictionCandidate(); k != nil; k = x.n.frontends.json.EvictionCandidate() {
			if k == x.client(tag) || x.n.calls.Contains(tag) && k.HasSetup(tag) {
				t.Error("a connection with a set-up on it is to be closed")
				return
			}
			x.n.loop.Close(k.Conn()) // as it would be closed: the next
		}
		if !x.n.calls.Contains(tag) {
			t.Error("the set-up was not taken")
		}
	})
	a.awaits("INVITE", tag, 1)
	a.send(response(tag, "INVITE", 486, 1, ""))
	if got := x.h.wait(t, tag, 1); got != "end 41" {
		t.Error(got)
	}
}

// SIGTERM, and SIGHUP and a second SIGTERM behind it: new connections and set-ups that still come are served.
func TestStopServesWhatStillComes(t *testing.T) {
	t.Parallel()
	a := startFar(t, "127.0.0.1:0")
	x := startScene(t, []*far{a}, &fixed{servers: []string{"s-0", "s-0", "s-0"}})
	x.n.Stop()
	x.n.Reload(x.n.cfg)
	x.n.Stop()
	var ids []string
	for i, k := range []*jsonCaller{x.k, x.dial("cccccccc")} {
		id := k.setUp("1", 3*time.Second)
		ids = append(ids, id)
		a.awaits("INVITE", id, 1)
		a.send(response(id, "INVITE", 200, 1, fmt.Sprint(i)))
		x.h.wait(t, id, 1)
	}
	// A call that stands ends while the node stops.
	a.send(finish(ids[0], 16))
	x.h.wait(t, ids[0], 2)
	// A set-up comes when nothing was owed any more, just before the end.
	x.turn(func() {})
	eventually(t, "nothing is owed", func() (at bool) {
		x.turn(func() {
			if at = x.n.lifecycle.quietSince > 0; at {
				x.client("").HandleData(start(tag, 2*time.Second))
			}
		})
		return at
	})
	a.awaits("INVITE", tag, 1)
	if !x.running() {
		t.Fatal("the node ended with a set-up open")
	}
	a.send(response(tag, "INVITE", 200, 1, "last"))
	if got := x.h.wait(t, tag, 1); got != "stands last" {
		t.Error(got)
	}
	x.ends()
}

// A gate holds dials from a moment on.
type gate struct {
	shut, open chan struct{} // closed: dials are held, they go on
	held       chan bool     // a dial is held
}

func newGate() *gate {
	return &gate{shut: make(chan struct{}), open: make(chan struct{}), held: make(chan bool, 8)}
}

func (g *gate) option(o *Options) {
	o.dial = func(addr string, limit time.Duration) (net.Conn, error) {
		select {
		case <-g.shut:
			g.held <- true
			<-g.open
		default:
		}
		return backend.DialTCP(addr, limit)
	}
}

// standsAsItBreaks sets a call up that stands at an exchange whose connection then breaks; its next dial is held.
func (x *scene) standsAsItBreaks(a *far, g *gate) (id string) {
	x.t.Helper()
	close(g.shut)
	id = x.k.setUp("1", 3*time.Second)
	a.awaits("INVITE", id, 1)
	a.send(response(id, "INVITE", 200, 1, "a"))
	x.h.wait(x.t, id, 1)
	reset(a.connected())
	<-g.held
	return id
}

// outlivesTheLinger stops the node and tells whether it still serves once it could have ended.
func (x *scene) outlivesTheLinger() bool {
	x.t.Helper()
	x.n.Stop()
	eventually(x.t, "the linger is over", func() (over bool) {
		over = !x.running()
		x.turn(func() {
			over = x.n.lifecycle.drainingSince > 0 && x.n.loop.Now()-x.n.lifecycle.drainingSince > lingerTime+2*quietTime
		})
		return over
	})
	return x.running()
}

// An exchange is down as its caller releases a call that stands there, and SIGTERM comes: the release is not lost
// with the process.
func TestStopWaitsForARelease(t *testing.T) {
	t.Parallel()
	a, g := startFar(t, "127.0.0.1:0"), newGate()
	x := startScene(t, []*far{a}, &fixed{servers: []string{"s-0"}}, g.option)
	id := x.standsAsItBreaks(a, g)
	x.k.hangUp(id)
	eventually(t, "the release waits", func() (waits bool) {
		x.turn(func() { waits = x.n.backends.Get("s-0").PendingReleases() == 1 })
		return waits
	})
	if !x.outlivesTheLinger() {
		t.Error("the node ended and took the release along")
	}
	close(g.open)
	a.awaits("BYE", id, 1)
	x.ends()
}

// A caller of either front reads slowly as the node stops: its answers are written out before the end.
func TestStopWaitsForASlowReader(t *testing.T) {
	t.Parallel()
	for _, front := range []string{"JSON", "H.248"} {
		t.Run(front, func(t *testing.T) { t.Parallel(); slowReader(t, front == "H.248") })
	}
}

func slowReader(t *testing.T, isPanel bool) {
	x := startScene(t, []*far{startFar(t, "127.0.0.1:0")}, &fixed{}, panels)
	ln := x.json()
	if isPanel {
		ln = x.panel()
	}
	c, err := net.Dial("tcp", ln)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	var mine *eventloop.Conn
	eventually(t, "the connection is there", func() bool {
		x.turn(func() {
			for k := range x.n.frontends.json.Clients().Oldest() {
				if k.Conn().Socket().RemoteAddr().String() == c.LocalAddr().String() {
					mine = k.Conn()
				}
			}
			for p := range x.n.frontends.gateway.Gateways().Oldest() {
				mine = p.Conn()
			}
		})
		return mine != nil
	})
	lines := 0
	x.turn(func() {
		_ = mine.Socket().SetWriteBuffer(4 << 10)
		mine.LimitUnread(false)                       // the bound on what waits for a caller is not what is looked at,
		mine.RecordInput(x.n.loop.Now(), true, false) // nor how long one may say nothing
		for ; mine.Socket().OutboundBuffered() < 64<<10; lines++ {
			x.n.loop.Write(mine, func(b []byte) []byte { return append(b, line(jsonl.Finish, fmt.Sprintf("%016x", lines))...) })
			x.n.loop.Flush()
		}
	})
	if !x.outlivesTheLinger() {
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
	x.ends()
}

// SIGKILL is near: the set-up that is open, and one that comes now, are answered at once, each once.
func TestStopRunsOutOfTime(t *testing.T) {
	t.Parallel()
	a := startFar(t, "127.0.0.1:0")
	x := startScene(t, []*far{a}, &fixed{servers: []string{"s-0", "s-0"}})
	id := x.k.setUp("1", 8*time.Second)
	a.awaits("INVITE", id, 1)
	x.n.Stop()
	eventually(t, "time is out", func() (out bool) {
		x.turn(func() {
			if out = x.n.isOutOfTime(x.n.loop.Now()); out {
				x.client("").HandleData(start(tag, 2*time.Second))
			}
		})
		return out
	})
	x.ends()
	eventually(t, "both are answered", func() bool { return x.h.of(id) != "" && x.h.of(tag) != "" })
	if !strings.HasPrefix(x.h.of(id), "end ") || strings.Count(x.h.of(id), "end") != 1 || x.h.of(tag) != "end 34" {
		t.Errorf("the callers heard %q and %q", x.h.of(id), x.h.of(tag))
	}
	if a.heard("CANCEL", id) != 1 || a.heard("INVITE", tag) != 0 {
		t.Errorf("%d given up, %d sent", a.heard("CANCEL", id), a.heard("INVITE", tag))
	}
}
