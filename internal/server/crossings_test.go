package server

import (
	"fmt"
	"net"
	"testing"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/frontend/jsonclient"
)

// Crossings: two things happen at one moment, and both orders are forced. Bytes are handed to a
// connection within a turn of the loop that the test holds, so no order hangs on a scheduler.

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

// A caller's connection is gone, in whatever way, as the answer to its set-up comes: nobody has heard that the call
// stands, and the exchange hears that it is over. Half closed counts as gone: on the wire it is the same until
// something is written, and a set-up of a caller that left must not be sent on.
func TestCallerLeavesAsAnswerArrives(t *testing.T) {
	for _, how := range []string{"reset", "closed", "half closed"} {
		t.Run(how, func(t *testing.T) {
			testBothOrders(t, "the end", "the answer", func(t *testing.T, end bool) {
				a := startFakeExchange(t, "127.0.0.1:0")
				x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0"}})
				k := x.dialCaller("cccccccc")
				id := k.setUp("1", 3*time.Second)
				a.awaitReceived("INVITE", id, 1)
				leave := func() {
					switch how {
					case "reset":
						resetConn(k.conn)
					case "closed":
						k.close()
					default:
						_ = k.conn.(*net.TCPConn).CloseWrite()
					}
				}
				if end {
					leave()
					a.awaitReceived("CANCEL", id, 1)
					x.awaitNoPendingWork()
					a.send(sipResponse(id, "INVITE", 200, 1, "a"))
					a.awaitReceived("BYE", id, 1)
					return
				}
				x.runIteration(func() { // the connection has ended before the answer is written to it
					leave()
					x.deliver(0, sipResponse(id, "INVITE", 200, 1, "a"))
				})
				x.awaitNoPendingWork()
				switch how {
				case "reset":
					a.awaitReceived("BYE", id, 1)
				case "half closed": // it hears the answer, and may release the call on another connection
					if got := x.answers.await(t, id, 1); got != "stands a" {
						t.Error(got)
					}
					x.caller.hangUp(id)
					a.awaitReceived("BYE", id, 1)
				}
				if n := a.countReceived("CANCEL", id); n != 0 {
					t.Errorf("a call that stands was given up %d times", n)
				}
			})
		})
	}
}

// The word that a call stands has been written, and its caller's connection breaks later, under another write: the call
// goes on, for no connection owns it.
func TestEstablishedCallSurvivesItsConnection(t *testing.T) {
	t.Parallel()
	a := startFakeExchange(t, "127.0.0.1:0")
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0"}})
	k := x.dialCaller("cccccccc")
	id := k.setUp("1", 3*time.Second)
	a.awaitReceived("INVITE", id, 1)
	a.send(sipResponse(id, "INVITE", 200, 1, "a"))
	x.answers.await(t, id, 1)
	x.runIteration(func() {
		mine := x.findClient("")
		resetConn(k.conn)
		x.server.loop.Write(mine.Conn(), func(b []byte) []byte { return append(b, jsonMessage(jsonl.Echoed, "t")...) })
	})
	eventually(t, "the connection is gone", func() (gone bool) {
		x.runIteration(func() { gone = x.server.frontends.json.Clients().Len() == 1 })
		return gone
	})
	x.runIteration(func() {
		if !x.server.calls.Contains(id) {
			t.Error("the call was released")
		}
	})
	a.send(sipRelease(id, 16))
	if got := x.answers.await(t, id, 2); got != "stands a end 16" { // on the connection that is there
		t.Error(got)
	}
}

// A set-up and its give-up come on two connections, and either may be read first: nothing is sent on, or the exchange
// hears at once that it is over.
func TestCancelIsReadBeforeItsSetup(t *testing.T) {
	testBothOrders(t, "the give-up", "the set-up", func(t *testing.T, giveUp bool) {
		a := startFakeExchange(t, "127.0.0.1:0")
		x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
		other := x.dialCaller("cccccccc")
		x.runIteration(func() {
			var all []*jsonclient.Client
			for k := range x.server.frontends.json.Clients().Oldest() {
				all = append(all, k)
			}
			runInOrder(giveUp, func() { all[1].HandleData(jsonMessage(jsonl.Finish, testCallID)) }, func() { all[0].HandleData(jsonSetup(testCallID, 2*time.Second)) })
		})
		x.awaitNoPendingWork()
		x.decider.setServers("s-0")
		last := other.setUp("1", 2*time.Second)
		a.awaitReceived("INVITE", last, 1)
		if n := a.countReceived("INVITE", testCallID); n != 0 {
			t.Errorf("%d set-ups of a caller that had left", n)
		}
	})
}

// A time-out and an answer come in one turn: the caller has one final answer, and what stands at the exchange for
// nobody is released there.
func TestTimeoutCrossesAnswer(t *testing.T) {
	testBothOrders(t, "the time-out", "the answer", func(t *testing.T, timeOut bool) {
		a := startFakeExchange(t, "127.0.0.1:0")
		x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{retryDelay: retryGuard, servers: []string{"s-0"}})
		id := x.caller.setUp("1", 400*time.Millisecond)
		a.awaitReceived("INVITE", id, 1)
		x.runIteration(func() { // its time passes while the loop is held
			for until := x.server.loop.Now() + 420*time.Millisecond; x.server.loop.Now() < until; {
				time.Sleep(time.Millisecond)
			}
			runInOrder(timeOut, x.server.calls.Tick, func() { x.deliver(0, sipResponse(id, "INVITE", 200, 1, "a")) })
		})
		x.answers.await(t, id, 1)
		x.awaitNoPendingWork()
		if timeOut {
			a.awaitReceived("CANCEL", id, 1)
			a.awaitReceived("BYE", id, 1)
			if got := x.answers.of(id); got != "end 41" {
				t.Error(got)
			}
		} else if got := x.answers.of(id); got != "stands a" || a.countReceived("CANCEL", id)+a.countReceived("BYE", id) != 0 {
			t.Errorf("%q, given up %d, released %d", got, a.countReceived("CANCEL", id), a.countReceived("BYE", id))
		}
	})
}

// A give-up and the answer come in one turn: the exchange hears that its call is over, in either order.
func TestCancelCrossesAnswer(t *testing.T) {
	testBothOrders(t, "the give-up", "the answer", func(t *testing.T, giveUp bool) {
		a := startFakeExchange(t, "127.0.0.1:0")
		x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0"}})
		id := x.caller.setUp("1", 3*time.Second)
		a.awaitReceived("INVITE", id, 1)
		x.runIteration(func() {
			k := x.findClient(id)
			runInOrder(giveUp, func() { k.HandleData(jsonMessage(jsonl.Finish, id)) },
				func() { x.deliver(0, sipResponse(id, "INVITE", 200, 1, "a")) })
		})
		a.awaitReceived("BYE", id, 1)
		if !giveUp {
			x.answers.await(t, id, 1) // it may still be on its way
		}
		x.awaitNoPendingWork()
		if got := x.answers.of(id); giveUp && got != "" || !giveUp && got != "stands a" {
			t.Errorf("the caller heard %q", got)
		}
		if n := a.countReceived("BYE", id); n != 1 {
			t.Errorf("%d releases", n)
		}
	})
}

// A caller leaves, by a give-up or with its connection, in the turn in which the guard of its call ends. Where it left
// first nothing is sent; where the guard ended first the attempt is stopped before it is written.
func TestCallerLeavesAsRetryGuardEnds(t *testing.T) {
	for _, how := range []string{"gives up", "closes"} {
		t.Run(how, func(t *testing.T) {
			testBothOrders(t, "the caller", "the guard", func(t *testing.T, caller bool) {
				a := startFakeExchange(t, "127.0.0.1:0")
				x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{retryDelay: retryGuard, servers: []string{"s-0", "s-0"}})
				id := x.caller.setUp("1", 3*time.Second)
				a.awaitReceived("INVITE", id, 1)
				x.runIteration(func() {
					x.deliver(0, sipResponse(id, "INVITE", 504, 1, ""))
					for until := x.server.loop.Now() + retryGuard + 20*time.Millisecond; x.server.loop.Now() < until; {
						time.Sleep(time.Millisecond)
					}
					k := x.findClient(id)
					runInOrder(caller, func() {
						if how == "gives up" {
							k.HandleData(jsonMessage(jsonl.Finish, id))
						} else {
							x.server.calls.CallerDisconnected(k)
						}
					}, x.server.calls.Tick)
				})
				x.awaitNoPendingWork()
				x.decider.setServers("s-0")
				last := x.caller.setUp("1", 2*time.Second)
				a.awaitReceived("INVITE", last, 1)
				if n := a.countReceived("INVITE", id); n != 1 || x.answers.of(id) != "" {
					t.Errorf("%d attempts, the caller heard %q", n, x.answers.of(id))
				}
			})
		})
	}
}

// Bytes of a set-up and of the end of its connection wait in the socket together, with half a line behind them.
func TestSetupAndCloseTogether(t *testing.T) {
	t.Parallel()
	a := startFakeExchange(t, "127.0.0.1:0")
	x := startTestbed(t, []*fakeExchange{a}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
	k := x.dialCaller("cccccccc")
	x.runIteration(func() {
		_, _ = k.conn.Write(append(jsonSetup(testCallID, 2*time.Second), jsonSetup("00000000000000ab", time.Second)[:40]...))
		_ = k.conn.Close()
	})
	x.awaitNoPendingWork()
	id := x.caller.setUp("1", 2*time.Second)
	a.awaitReceived("INVITE", id, 1)
	if in, off := a.countReceived("INVITE", testCallID), a.countReceived("CANCEL", testCallID); in != off || in > 1 || a.countReceived("INVITE", "00000000000000ab") != 0 {
		t.Errorf("%d set-ups, %d given up", in, off)
	}
}
