package server

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"olivedale/internal/backend"
	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/codec/sip"
	"olivedale/internal/config"
	"olivedale/internal/eventloop"
	"olivedale/internal/frontend/gateway"
	"olivedale/internal/frontend/jsonclient"
)

// An exchange reads nothing and what it was sent waits here: a set-up is not left in that buffer, where nothing takes
// it back. It goes elsewhere, and its caller leaves: when the exchange reads on, it hears nothing of that call.
func TestSetUpNotLeftInABuffer(t *testing.T) {
	t.Parallel()
	a, b := startFar(t, "127.0.0.1:0"), startFar(t, "127.0.0.1:0")
	a.mu.Lock()
	a.held = true
	a.mu.Unlock()
	x := startScene(t, []*far{a, b}, &fixed{servers: []string{"s-0", "s-1"}})
	x.turn(func() {
		s := x.n.backends.Get("s-0").Connection()
		_ = s.Socket().SetWriteBuffer(4 << 10)
		for s.Socket().OutboundBuffered() == 0 {
			x.n.loop.Write(s, func(b []byte) []byte {
				for range 100 {
					b = sip.AppendRequest(b, &sip.Request{Method: "OPTIONS", Number: "ping", CallID: tag, CSeq: 1})
				}
				return b
			})
			x.n.loop.Flush()
		}
	})
	id := x.k.setUp("1", 3*time.Second)
	eventually(t, "the attempt is out", func() (out bool) {
		x.turn(func() { out = x.n.backends.Get("s-0").OpenAttempts()+x.n.backends.Get("s-1").OpenAttempts() > 0 })
		return out
	})
	x.k.hangUp(id)
	x.settled()
	go a.read(a.connected())
	eventually(t, "the buffer is empty", func() (empty bool) {
		x.turn(func() { empty = x.n.backends.Get("s-0").Connection().Socket().OutboundBuffered() == 0 })
		return empty
	})
	x.module.sends("s-0")
	last := x.k.setUp("1", 3*time.Second)
	a.awaits("INVITE", last, 1)
	if n := a.heard("INVITE", id); n != 0 {
		t.Fatalf("%d set-ups of a caller that had left", n)
	}
	b.awaits("CANCEL", id, 1)
}

// An exchange is away, and callers release as many calls that nobody knows as are remembered for it. The release of a
// call that stands there is said when it is back, whether it came before those or after.
func TestReleaseAmidReleasesOfUnknownCalls(t *testing.T) {
	both(t, "the call's own", "the others", func(t *testing.T, own bool) {
		a, g := startFar(t, "127.0.0.1:0"), newGate()
		x := startSceneOf(t, settings, 2, []*far{a}, &fixed{servers: []string{"s-0"}}, g.option)
		id := x.standsAsItBreaks(a, g)
		x.turn(func() {
			k := x.client("")
			order(own, func() { k.HandleData(line(jsonl.Finish, id)) }, func() {
				for i := range 2 * x.n.cfg.MemoryMB << 5 {
					k.HandleData(line(jsonl.Finish, fmt.Sprintf("f%015x", i)))
				}
			})
			if n := x.n.backends.Get("s-0").PendingReleases(); n != x.n.cfg.MemoryMB<<5 {
				t.Errorf("%d releases are remembered", n)
			}
		})
		close(g.open)
		a.awaits("BYE", id, 1)
	})
}

// The node stands still, and an answer comes meanwhile to a connection that looks mute or stuck half way once it goes
// on, or that is to be closed for a new address: the answer counts, and the call is tried nowhere else.
func TestAnswerWhileTheNodeStoodStill(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"mute", "half way", "moved"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			a, b := startFar(t, "127.0.0.1:0"), startFar(t, "127.0.0.1:0")
			x := startScene(t, []*far{a, b}, &fixed{servers: []string{"s-0", "s-1", "s-1"}})
			id := x.k.setUp("1", 5*time.Second)
			a.awaits("INVITE", id, 1)
			answer := response(id, "INVITE", 200, 1, "a")
			c := a.connected()
			x.turn(func() {
				l, now := x.n.backends.Get("s-0"), x.n.loop.Now()
				if how == "half way" {
					x.says(0, answer[:20])
					answer = answer[20:]
					now += 2 * backend.PartialMessageTimeout
				} else {
					now += 2 * l.ResponseTimeout()
				}
				_, _ = c.Write(answer)
				if how == "moved" {
					l.Move(b.addr())
				} else {
					l.CheckResponsiveness(now)
				}
			})
			if got := x.h.wait(t, id, 1); got != "stands a" {
				t.Error(got)
			}
			x.settled()
			if n := len(x.module.codes(id)); n != 0 {
				t.Errorf("%d ends of attempts of a call that stands", n)
			}
		})
	}
}

// Pieces of an exchange's messages each bring the rest of one and part of the next, for longer than the rest of one may
// take: the connection stays. Where no message ends any more it does not.
func TestPiecesThatEndWithinMessages(t *testing.T) {
	t.Parallel()
	x := startScene(t, []*far{startFar(t, "127.0.0.1:0")}, &fixed{})
	x.turn(func() {
		l, m := x.n.backends.Get("s-0"), response(tag, "INVITE", 486, 1, "")
		s := l.Connection()
		x.says(0, m[:20])
		for range 5 {
			time.Sleep(backend.PartialMessageTimeout * 3 / 4)
			x.says(0, append(m[20:len(m):len(m)], m[:20]...))
			l.CheckResponsiveness(x.n.loop.Now())
		}
		if l.Connection() != s {
			t.Error("a connection that brings whole messages was closed")
		}
		for range 5 {
			time.Sleep(backend.PartialMessageTimeout * 3 / 4)
			x.says(0, []byte("x"))
			l.CheckResponsiveness(x.n.loop.Now())
		}
		if l.Connection() == s {
			t.Error("a connection that brings nothing whole stays")
		}
	})
}

// A caller's connection is gone, in whatever way, as the answer to its set-up comes: nobody has heard that the call
// stands, and the exchange hears that it is over. Half closed counts as gone: on the wire it is the same until
// something is written, and a set-up of a caller that left must not be sent on.
func TestCallerIsGoneAsTheAnswerComes(t *testing.T) {
	for _, how := range []string{"reset", "closed", "half closed"} {
		t.Run(how, func(t *testing.T) {
			both(t, "the end", "the answer", func(t *testing.T, end bool) {
				a := startFar(t, "127.0.0.1:0")
				x := startScene(t, []*far{a}, &fixed{servers: []string{"s-0"}})
				k := x.dial("cccccccc")
				id := k.setUp("1", 3*time.Second)
				a.awaits("INVITE", id, 1)
				leave := func() {
					switch how {
					case "reset":
						reset(k.c)
					case "closed":
						k.close()
					default:
						_ = k.c.(*net.TCPConn).CloseWrite()
					}
				}
				if end {
					leave()
					a.awaits("CANCEL", id, 1)
					x.settled()
					a.send(response(id, "INVITE", 200, 1, "a"))
					a.awaits("BYE", id, 1)
					return
				}
				x.turn(func() { // the connection has ended before the answer is written to it
					leave()
					x.says(0, response(id, "INVITE", 200, 1, "a"))
				})
				x.settled()
				switch how {
				case "reset":
					a.awaits("BYE", id, 1)
				case "half closed": // it hears the answer, and may release the call on another connection
					if got := x.h.wait(t, id, 1); got != "stands a" {
						t.Error(got)
					}
					x.k.hangUp(id)
					a.awaits("BYE", id, 1)
				}
				if n := a.heard("CANCEL", id); n != 0 {
					t.Errorf("a call that stands was given up %d times", n)
				}
			})
		})
	}
}

// The word that a call stands has been written, and its caller's connection breaks later, under another write: the call
// goes on, for no connection owns it.
func TestCallStandsThoughItsConnectionBreaks(t *testing.T) {
	t.Parallel()
	a := startFar(t, "127.0.0.1:0")
	x := startScene(t, []*far{a}, &fixed{servers: []string{"s-0"}})
	k := x.dial("cccccccc")
	id := k.setUp("1", 3*time.Second)
	a.awaits("INVITE", id, 1)
	a.send(response(id, "INVITE", 200, 1, "a"))
	x.h.wait(t, id, 1)
	x.turn(func() {
		mine := x.client("")
		reset(k.c)
		x.n.loop.Write(mine.Conn(), func(b []byte) []byte { return append(b, line(jsonl.Echoed, "t")...) })
	})
	eventually(t, "the connection is gone", func() (gone bool) {
		x.turn(func() { gone = x.n.frontends.json.Clients().Len() == 1 })
		return gone
	})
	x.turn(func() {
		if !x.n.calls.Contains(id) {
			t.Error("the call was released")
		}
	})
	a.send(finish(id, 16))
	if got := x.h.wait(t, id, 2); got != "stands a end 16" { // on the connection that is there
		t.Error(got)
	}
}

// A caller who never lets the loop rest owes and is owed nothing: the node ends all the same, and in good time.
func TestStopAmidSteadyTraffic(t *testing.T) {
	t.Parallel()
	x := startScene(t, []*far{startFar(t, "127.0.0.1:0")}, &fixed{})
	c, err := net.Dial("tcp", x.json())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	rounds := make(chan int, 1)
	go func() {
		buf, n := make([]byte, 256), 0
		for ; ; n++ {
			if _, err := c.Write(line(jsonl.Echo, "t")); err != nil {
				break
			}
			if _, err := c.Read(buf); err != nil {
				break
			}
		}
		rounds <- n
	}()
	x.n.Stop()
	x.ends()
	if n := <-rounds; n < 100 {
		t.Errorf("%d rounds are no steady traffic", n)
	}
}

// A set-up lies whole in the socket as the node decides to end: it is answered, as one that trying again does not harm,
// and not sent. Where it comes first it is served. Half a line is no set-up, until the rest comes.
func TestStopCrossesASetUp(t *testing.T) {
	for _, front := range []string{"JSON", "H.248"} {
		t.Run(front, func(t *testing.T) {
			both(t, "the decision", "the set-up", func(t *testing.T, decision bool) {
				a := startFar(t, "127.0.0.1:0")
				x := startScene(t, []*far{a}, &fixed{servers: []string{"s-0"}}, panels)
				c, key, text := x.k.c, tag, start(tag, 2*time.Second)
				if front == "H.248" {
					p := x.dialPanel("<p>")
					c, key, text = p.c, "p/8", framed(t, "<p>", addTransaction("p/8", 8, "1", 2*time.Second))
				}
				_, _ = c.Write(text[:len(text)/2])
				x.n.Stop()
				done := make(chan struct{})
				x.n.loop.Execute(func() {
					defer close(done)
					var mine *eventloop.Conn
					x.n.loop.RunIteration(func() {
						x.n.lifecycle.drainingSince -= lingerTime
						x.n.lifecycle.quietSince = x.n.loop.Now() - 2*quietTime
						order(decision, func() { x.n.checkShutdown(x.n.loop.Now()) }, func() {
							_, _ = c.Write(text[len(text)/2:])
							p, k := x.latestPanel(), x.client("")
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
						x.n.loop.CloseSocket(mine.Socket()) // as the engine closes them all
					}
				})
				<-done
				if !decision {
					a.send(response(a.invited(1), "INVITE", 486, 1, ""))
				}
				x.ends()
				want := map[bool]string{true: "end 34", false: "end 41"}[decision]
				if got := x.h.wait(t, key, 1); got != want {
					t.Error(got)
				}
				a.mu.Lock()
				defer a.mu.Unlock()
				if decision && slices.ContainsFunc(a.came, func(s string) bool { return s != "CLOSED" }) {
					t.Errorf("the exchange heard %v", a.came)
				}
			})
		})
	}
}

// An earlier attempt was released at an exchange that confirms nothing, and a later one stands there, under the same id
// on the wire. When the connection breaks and comes up again, the old release is not said again: it would end the call.
func TestOldReleaseEndsNoLaterAttempt(t *testing.T) {
	t.Parallel()
	a := startFar(t, "127.0.0.1:0")
	x := startScene(t, []*far{a}, &fixed{wait: guard, servers: []string{"s-0", "s-0", "s-0"}})
	id := x.k.setUp("1", 5*time.Second)
	a.awaits("INVITE", id, 1)
	x.turn(func() { // its answer crosses our giving it up
		x.n.calls.AttemptEnded("s-0", id, 0, call.TimedOut)
		x.n.backends.Get("s-0").Cancel(id, 0)
		x.says(0, response(id, "INVITE", 200, 1, "late"))
	})
	a.awaits("BYE", id, 1)
	a.awaits("INVITE", id, 2)
	a.send(response(id, "INVITE", 200, 2, "b"))
	if got := x.h.wait(t, id, 1); got != "stands b" {
		t.Fatal(got)
	}
	reset(a.connected())
	last := x.k.setUp("1", 3*time.Second)
	a.awaits("INVITE", last, 1)
	if n := a.heard("BYE", id); n != 1 {
		t.Errorf("%d releases of a call that stands", n-1)
	}
	x.k.hangUp(id) // its own release is said, and again on the next connection
	a.awaits("BYE", id, 2)
	reset(a.connected())
	a.awaits("BYE", id, 3)
}

// A set-up and its give-up come on two connections, and either may be read first: nothing is sent on, or the exchange
// hears at once that it is over.
func TestGiveUpIsReadBeforeItsSetUp(t *testing.T) {
	both(t, "the give-up", "the set-up", func(t *testing.T, giveUp bool) {
		a := startFar(t, "127.0.0.1:0")
		x := startScene(t, []*far{a}, &fixed{servers: []string{"s-0", "s-0"}})
		other := x.dial("cccccccc")
		x.turn(func() {
			var all []*jsonclient.Client
			for k := range x.n.frontends.json.Clients().Oldest() {
				all = append(all, k)
			}
			order(giveUp, func() { all[1].HandleData(line(jsonl.Finish, tag)) }, func() { all[0].HandleData(start(tag, 2*time.Second)) })
		})
		x.settled()
		x.module.sends("s-0")
		last := other.setUp("1", 2*time.Second)
		a.awaits("INVITE", last, 1)
		if n := a.heard("INVITE", tag); n != 0 {
			t.Errorf("%d set-ups of a caller that had left", n)
		}
	})
}

// panels opens the front of H.248.
func panels(o *Options) { o.H248 = &config.H248{Listen: "127.0.0.2:0", Admin: "127.0.0.3:0"} }

// dialPanel brings a panel, which has said its name when it returns.
func (x *scene) dialPanel(mid string) *h248Caller {
	x.t.Helper()
	p := dialH248(x.t, x.panel(), x.h, mid)
	p.last = 100
	before := len(strings.Fields(x.h.of(strings.Trim(mid, "<>")+"/100"))) / 2
	p.send(&h248.Transaction{ID: 100, Actions: []*h248.Action{{Context: "-", Commands: []*h248.Command{{Name: "AuditValue", Termination: "ROOT"}}}}})
	x.h.wait(x.t, strings.Trim(mid, "<>")+"/100", before+1)
	return p
}

// latestPanel is the node's side of the panel that spoke last.
func (x *scene) latestPanel() *gateway.Gateway {
	for p := range x.n.frontends.gateway.Gateways().Latest() {
		return p
	}
	return nil
}

// framed is transactions as they go over the wire.
func framed(t *testing.T, mid string, all ...*h248.Transaction) (b []byte) {
	t.Helper()
	for _, tr := range all {
		var err error
		if b, err = h248.AppendFrame(b, &h248.Message{MID: mid, Transactions: []*h248.Transaction{tr}}); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// invited waits for the nth set-up to come and tells its id.
func (x *far) invited(n int) (id string) {
	x.t.Helper()
	eventually(x.t, fmt.Sprint(n, " set-ups"), func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		seen := 0
		for _, s := range x.came {
			if f := strings.Fields(s); f[0] == "INVITE" {
				if seen++; seen == n {
					id = f[1]
				}
			}
		}
		return id != ""
	})
	return id
}

// A panel releases a call that stands and its connection breaks, as something is written to it: the exchange hears of
// the release in either order. A set-up behind it has lost its caller, and counts as one that never came.
func TestPanelsReleaseBesideTheBreak(t *testing.T) {
	both(t, "the release", "the failed write", func(t *testing.T, release bool) {
		a := startFar(t, "127.0.0.1:0")
		x := startScene(t, []*far{a}, &fixed{servers: []string{"s-0", "s-0"}}, panels)
		p := x.dialPanel("<p>")
		key := p.setUp("1", 3*time.Second)
		id := a.invited(1)
		a.send(response(id, "INVITE", 200, 1, "a"))
		x.h.wait(t, key, 1)
		p.mu.Lock()
		context := p.ctx[key]
		p.mu.Unlock()
		off := &h248.Transaction{ID: 7, Actions: []*h248.Action{{Context: context, Commands: []*h248.Command{{Name: "Subtract", Termination: key}}}}}
		add := addTransaction("p/8", 8, "1", 3*time.Second)
		if release {
			p.send(off)
			a.awaits("BYE", id, 1)
			reset(p.c)
		} else {
			x.turn(func() {
				_, _ = p.c.Write(framed(t, "<p>", off, add))
				reset(p.c)
				x.n.loop.Write(x.latestPanel().Conn(), func(b []byte) []byte { return append(b, 'x') })
			})
			a.awaits("BYE", id, 1)
		}
		x.settled()
		again := dialH248(t, x.panel(), x.h, "<p>")
		again.send(add) // on a new connection it is one that has not run
		if other := a.invited(2); other == id || a.heard("BYE", id) != 1 {
			t.Errorf("%d releases, then %s", a.heard("BYE", id), other)
		}
		x.turn(func() { x.latestPanel().HandleClose(nil) })
	})
}

// A panel that has been silent for too long speaks as its connection is to be closed: it is heard, and stays.
func TestPanelsIdleCloseCrossesASetUp(t *testing.T) {
	t.Parallel()
	a := startFar(t, "127.0.0.1:0")
	x := startScene(t, []*far{a}, &fixed{servers: []string{"s-0"}}, panels)
	c, err := net.Dial("tcp", x.panel())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	eventually(t, "the panel is there", func() (there bool) {
		x.turn(func() { there = x.latestPanel() != nil })
		return there
	})
	x.turn(func() {
		p := x.latestPanel()
		_, _ = c.Write(framed(t, "<p>", addTransaction("p/1", 1, "1", 3*time.Second)))
		x.n.frontends.gateway.CloseOverdue(x.n.loop.Now() + 2*eventloop.InputTimeout)
		if !p.Conn().IsOpen() {
			t.Error("it is closed with a set-up on it")
		}
	})
	a.invited(1)
}

// The node stops while the release of a call waits for its panel to come back: it is said before the end.
func TestStopWaitsForAPanel(t *testing.T) {
	t.Parallel()
	a := startFar(t, "127.0.0.1:0")
	x := startScene(t, []*far{a}, &fixed{servers: []string{"s-0"}}, panels)
	p := x.dialPanel("<p>")
	key := p.setUp("1", 3*time.Second)
	id := a.invited(1)
	a.send(response(id, "INVITE", 200, 1, "a"))
	x.h.wait(t, key, 1)
	p.close()
	eventually(t, "the panel has left", func() (left bool) {
		x.turn(func() { left = x.latestPanel() == nil })
		return left
	})
	a.send(finish(id, 16))
	eventually(t, "the release waits", func() (waits bool) {
		x.turn(func() { waits = x.n.frontends.gateway.PendingNotifies() == 1 })
		return waits
	})
	if !x.outlivesTheLinger() {
		t.Fatal("the node ended and took the release along")
	}
	x.dialPanel("<p>")
	if got := x.h.wait(t, key, 2); !strings.HasSuffix(got, "end 16") {
		t.Error(got)
	}
	x.ends()
}

// SIGKILL is near: what a panel has open, and what it sends now, is answered at once, each once.
func TestStopRunsOutOfTimeForPanels(t *testing.T) {
	t.Parallel()
	a := startFar(t, "127.0.0.1:0")
	x := startScene(t, []*far{a}, &fixed{servers: []string{"s-0", "s-0"}}, panels)
	p := x.dialPanel("<p>")
	key := p.setUp("1", 8*time.Second)
	id := a.invited(1)
	x.n.Stop()
	eventually(t, "time is out", func() (out bool) {
		x.turn(func() {
			if out = x.n.isOutOfTime(x.n.loop.Now()); out {
				x.latestPanel().HandleData(framed(t, "<p>", addTransaction("p/200", 200, "1", 3*time.Second)))
			}
		})
		return out
	})
	x.ends()
	eventually(t, "both are answered", func() bool { return x.h.of(key) != "" && x.h.of("p/200") != "" })
	if got := x.h.of(key) + " " + x.h.of("p/200"); got != "end 34 end 34" {
		t.Errorf("the panel heard %q", got)
	}
	if n := a.heard("CANCEL", id); n != 1 {
		t.Errorf("%d given up", n)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.came {
		if s != "CLOSED" && !strings.Contains(s, id) {
			t.Errorf("the exchange heard %s", s)
		}
	}
}
