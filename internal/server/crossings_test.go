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

// Crossings: two events happen at one moment, and both orders are forced. Data is handed to a connection within an
// iteration of the loop that the test blocks, so that no order depends on a scheduler.

// A caller cancels its set-up in the iteration in which it arrived: it is not sent at all, whether the exchange is
// connected or still dialled.
func TestCancelInTheIterationOfTheSetup(t *testing.T) {
	t.Parallel()
	bed := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
	bed.runIteration(func() {
		bed.findClient("").HandleData(append(jsonSetup(testCallID, time.Second), jsonMessage(jsonl.Finish, testCallID)...))
	})
	bed.awaitNoPendingWork()
	bed.runIteration(func() { bed.findClient("").HandleData(jsonSetup("00000000000000ab", 300*time.Millisecond)) })
	bed.exchanges[0].awaitReceived("INVITE", "00000000000000ab", 1) // what came behind it has arrived
	if n := bed.exchanges[0].countReceived("INVITE", testCallID) + bed.exchanges[0].countReceived("CANCEL", testCallID); n != 0 {
		t.Errorf("a set-up whose caller had left brought the exchange %d messages", n)
	}
	if codes := bed.decider.results(testCallID); len(codes) != 1 || codes[0] != admission.ResultNotSent {
		t.Errorf("the decider got %v", codes)
	}
}

// A set-up is cancelled on another connection than its own: nothing of it is left there.
func TestCancelOnAnotherConnection(t *testing.T) {
	t.Parallel()
	bed := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, &scriptedDecider{servers: []string{"s-0"}})
	id := bed.caller.setUp("1", 3*time.Second)
	bed.exchanges[0].awaitReceived("INVITE", id, 1)
	bed.dialCaller("bbbbbbbb").hangUp(id)
	bed.exchanges[0].awaitReceived("CANCEL", id, 1)
	bed.awaitNoPendingWork()
}

// An exchange rejects an attempt and a copy of its answer arrives while a later attempt of the call is open there:
// that one stays the only one, whether the exchange is known to repeat our numbers or not.
func TestCopyOfAnswerToEarlierAttempt(t *testing.T) {
	t.Parallel()
	for _, repeats := range []bool{true, false} {
		t.Run(fmt.Sprint("known to repeat ", repeats), func(t *testing.T) {
			t.Parallel()
			exchange0, exchange1 := startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0")
			bed := startTestbed(t, []*fakeExchange{exchange0, exchange1}, &scriptedDecider{retryDelay: retryGuard, servers: []string{"s-1", "s-0", "s-0", "s-1", "s-0", "s-1"}})
			first := bed.caller.setUp("1", 5*time.Second) // its second attempt is at s-0
			exchange1.awaitReceived("INVITE", first, 1)
			exchange1.send(sipResponse(first, "INVITE", 503, 1, ""))
			exchange0.awaitReceived("INVITE", first, 1)
			number := 1
			if repeats {
				number = 2
			}
			exchange0.send(sipResponse(first, "INVITE", 200, number, "a"))
			bed.answers.await(t, first, 1)

			id := bed.caller.setUp("1", 5*time.Second)
			exchange0.awaitReceived("INVITE", id, 1)
			exchange0.send(sipResponse(id, "INVITE", 503, 1, ""))
			exchange1.awaitReceived("INVITE", id, 1)
			exchange1.send(sipResponse(id, "INVITE", 503, 2, ""))
			exchange0.awaitReceived("INVITE", id, 2)
			var copied time.Time
			bed.runIteration(func() { bed.deliver(0, sipResponse(id, "INVITE", 503, 1, "")); copied = time.Now() })
			if repeats {
				exchange0.send(sipResponse(id, "INVITE", 200, 3, "a"))
				if got := bed.answers.await(t, id, 1); got != "stands a" {
					t.Error(got)
				}
				if n := exchange0.countReceived("CANCEL", id) + exchange1.countReceived("INVITE", id); n != 1 {
					t.Errorf("the copy brought %d messages", n-1)
				}
				return
			}
			exchange1.awaitReceived("INVITE", id, 2)
			if took := time.Since(copied); exchange0.countReceived("CANCEL", id) != 1 || took < retryGuard {
				t.Errorf("the next attempt %v after the copy, %d given up", took, exchange0.countReceived("CANCEL", id))
			}
			exchange1.send(sipResponse(id, "INVITE", 200, 4, "b"))
			if got := bed.answers.await(t, id, 1); got != "stands b" {
				t.Error(got)
			}
		})
	}
}

// A copy of an answer arrives for an established call, for a rejected one, and for one that is over and forgotten by
// the protocol: nobody is answered twice and the established call goes on.
func TestCopiesOfAnswersAreIgnored(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
	stands := bed.caller.setUp("1", 3*time.Second)
	exchange.awaitReceived("INVITE", stands, 1)
	bed.runIteration(func() {
		bed.deliver(0, sipResponse(stands, "INVITE", 200, 1, "a"))
		bed.deliver(0, sipResponse(stands, "INVITE", 200, 1, "b"))
		bed.deliver(0, sipResponse(stands, "INVITE", 503, 1, ""))
	})
	bed.answers.await(t, stands, 1)
	refused := bed.caller.setUp("1", 3*time.Second)
	exchange.awaitReceived("INVITE", refused, 1)
	bed.runIteration(func() {
		bed.deliver(0, sipResponse(refused, "INVITE", 486, 1, ""))
		bed.deliver(0, sipResponse(refused, "INVITE", 200, 1, "c"))
	})
	bed.answers.await(t, refused, 1)
	exchange.send(sipRelease(stands, 16))
	bed.answers.await(t, stands, 2)
	bed.runIteration(func() {
		bed.server.backends.Get("s-0").Tick(bed.server.loop.Now() + time.Hour)
		bed.deliver(0, sipResponse(stands, "INVITE", 200, 1, "d"))
		bed.deliver(0, sipResponse(refused, "INVITE", 200, 1, "e"))
		if n := bed.server.backends.Get("s-0").RememberedCalls(); n != 0 {
			t.Errorf("%d dialogs are left", n)
		}
	})
	bed.awaitNoPendingWork()
	if one, two := bed.answers.of(stands), bed.answers.of(refused); one != "stands a end 16" || two != "end 41" {
		t.Errorf("the callers got %q and %q", one, two)
	}
}

// An exchange answers and its connection breaks. Whether the answer is read before something is written there, or the
// write fails first, the call is established, once, and is not tried elsewhere.
func TestAnswerAndConnectionFailure(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"the answer is read", "a write fails"} {
		t.Run(first+" first", func(t *testing.T) {
			t.Parallel()
			exchange0, exchange1 := startFakeExchange(t, "127.0.0.1:0"), startFakeExchange(t, "127.0.0.1:0")
			bed := startTestbed(t, []*fakeExchange{exchange0, exchange1}, &scriptedDecider{retryDelay: retryGuard, servers: []string{"s-0", "s-0", "s-1", "s-1"}})
			id := bed.caller.setUp("1", 3*time.Second)
			exchange0.awaitReceived("INVITE", id, 1)
			c := exchange0.awaitConn()
			if first == "a write fails" {
				bed.runIteration(func() {
					_, _ = c.Write(sipResponse(id, "INVITE", 200, 1, "a"))
					resetConn(c)
					bed.findClient("").HandleData(jsonSetup(testCallID, 2*time.Second)) // goes to the same exchange
				})
			} else {
				_, _ = c.Write(sipResponse(id, "INVITE", 200, 1, "a"))
				bed.answers.await(t, id, 1)
				resetConn(c)
			}
			if got := bed.answers.await(t, id, 1); got != "stands a" {
				t.Errorf("the caller got %q", got)
			}
			if n := exchange0.countReceived("INVITE", id) + exchange1.countReceived("INVITE", id); n != 1 {
				t.Errorf("%d attempts", n)
			}
			if bed.answers.of(id) != "stands a" {
				t.Errorf("the caller got %q", bed.answers.of(id))
			}
		})
	}
}

// A caller's connection ends, in whatever way, as the answer to its set-up arrives: nobody has learned that the call
// is established, and the exchange is notified that it is over. Half closed counts as closed: the two look the same
// until something is written, and a set-up of a caller that left must not be sent on.
func TestCallerLeavesAsAnswerArrives(t *testing.T) {
	for _, how := range []string{"reset", "closed", "half closed"} {
		t.Run(how, func(t *testing.T) {
			testBothOrders(t, "the end", "the answer", func(t *testing.T, end bool) {
				exchange := startFakeExchange(t, "127.0.0.1:0")
				bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0"}})
				k := bed.dialCaller("cccccccc")
				id := k.setUp("1", 3*time.Second)
				exchange.awaitReceived("INVITE", id, 1)
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
					exchange.awaitReceived("CANCEL", id, 1)
					bed.awaitNoPendingWork()
					exchange.send(sipResponse(id, "INVITE", 200, 1, "a"))
					exchange.awaitReceived("BYE", id, 1)
					return
				}
				bed.runIteration(func() { // the connection has ended before the answer is written to it
					leave()
					bed.deliver(0, sipResponse(id, "INVITE", 200, 1, "a"))
				})
				bed.awaitNoPendingWork()
				switch how {
				case "reset":
					exchange.awaitReceived("BYE", id, 1)
				case "half closed": // it gets the answer, and may release the call on another connection
					if got := bed.answers.await(t, id, 1); got != "stands a" {
						t.Error(got)
					}
					bed.caller.hangUp(id)
					exchange.awaitReceived("BYE", id, 1)
				}
				if n := exchange.countReceived("CANCEL", id); n != 0 {
					t.Errorf("a call that stands was given up %d times", n)
				}
			})
		})
	}
}

// The answer of an established call has been written, and its caller's connection breaks later, under another write:
// the call goes on, because no connection owns it.
func TestEstablishedCallSurvivesItsConnection(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0"}})
	k := bed.dialCaller("cccccccc")
	id := k.setUp("1", 3*time.Second)
	exchange.awaitReceived("INVITE", id, 1)
	exchange.send(sipResponse(id, "INVITE", 200, 1, "a"))
	bed.answers.await(t, id, 1)
	bed.runIteration(func() {
		mine := bed.findClient("")
		resetConn(k.conn)
		bed.server.loop.Write(mine.Conn(), func(b []byte) []byte { return append(b, jsonMessage(jsonl.Echoed, "t")...) })
	})
	eventually(t, "the connection is gone", func() (gone bool) {
		bed.runIteration(func() { gone = bed.server.frontends.json.Clients().Len() == 1 })
		return gone
	})
	bed.runIteration(func() {
		if !bed.server.calls.Contains(id) {
			t.Error("the call was released")
		}
	})
	exchange.send(sipRelease(id, 16))
	if got := bed.answers.await(t, id, 2); got != "stands a end 16" { // on the other connection
		t.Error(got)
	}
}

// A set-up and its cancellation come on two connections, and either may be read first: nothing is sent on, or the
// exchange is notified at once that it is over.
func TestCancelIsReadBeforeItsSetup(t *testing.T) {
	testBothOrders(t, "the give-up", "the set-up", func(t *testing.T, giveUp bool) {
		exchange := startFakeExchange(t, "127.0.0.1:0")
		bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
		other := bed.dialCaller("cccccccc")
		bed.runIteration(func() {
			var all []*jsonclient.Client
			for k := range bed.server.frontends.json.Clients().Oldest() {
				all = append(all, k)
			}
			runInOrder(giveUp, func() { all[1].HandleData(jsonMessage(jsonl.Finish, testCallID)) }, func() { all[0].HandleData(jsonSetup(testCallID, 2*time.Second)) })
		})
		bed.awaitNoPendingWork()
		bed.decider.setServers("s-0")
		last := other.setUp("1", 2*time.Second)
		exchange.awaitReceived("INVITE", last, 1)
		if n := exchange.countReceived("INVITE", testCallID); n != 0 {
			t.Errorf("%d set-ups of a caller that had left", n)
		}
	})
}

// A timeout and an answer come in one iteration: the caller has one final answer, and a call that is established for
// nobody is released at the exchange.
func TestTimeoutCrossesAnswer(t *testing.T) {
	testBothOrders(t, "the time-out", "the answer", func(t *testing.T, timeOut bool) {
		exchange := startFakeExchange(t, "127.0.0.1:0")
		bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{retryDelay: retryGuard, servers: []string{"s-0"}})
		id := bed.caller.setUp("1", 400*time.Millisecond)
		exchange.awaitReceived("INVITE", id, 1)
		bed.runIteration(func() { // its time passes while the loop is blocked
			for until := bed.server.loop.Now() + 420*time.Millisecond; bed.server.loop.Now() < until; {
				time.Sleep(time.Millisecond)
			}
			runInOrder(timeOut, bed.server.calls.Tick, func() { bed.deliver(0, sipResponse(id, "INVITE", 200, 1, "a")) })
		})
		bed.answers.await(t, id, 1)
		bed.awaitNoPendingWork()
		if timeOut {
			exchange.awaitReceived("CANCEL", id, 1)
			exchange.awaitReceived("BYE", id, 1)
			if got := bed.answers.of(id); got != "end 41" {
				t.Error(got)
			}
		} else if got := bed.answers.of(id); got != "stands a" || exchange.countReceived("CANCEL", id)+exchange.countReceived("BYE", id) != 0 {
			t.Errorf("%q, given up %d, released %d", got, exchange.countReceived("CANCEL", id), exchange.countReceived("BYE", id))
		}
	})
}

// A cancellation and the answer come in one iteration: the exchange is notified that its call is over, in either
// order.
func TestCancelCrossesAnswer(t *testing.T) {
	testBothOrders(t, "the give-up", "the answer", func(t *testing.T, giveUp bool) {
		exchange := startFakeExchange(t, "127.0.0.1:0")
		bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0"}})
		id := bed.caller.setUp("1", 3*time.Second)
		exchange.awaitReceived("INVITE", id, 1)
		bed.runIteration(func() {
			k := bed.findClient(id)
			runInOrder(giveUp, func() { k.HandleData(jsonMessage(jsonl.Finish, id)) },
				func() { bed.deliver(0, sipResponse(id, "INVITE", 200, 1, "a")) })
		})
		exchange.awaitReceived("BYE", id, 1)
		if !giveUp {
			bed.answers.await(t, id, 1) // it may still be on its way
		}
		bed.awaitNoPendingWork()
		if got := bed.answers.of(id); giveUp && got != "" || !giveUp && got != "stands a" {
			t.Errorf("the caller got %q", got)
		}
		if n := exchange.countReceived("BYE", id); n != 1 {
			t.Errorf("%d releases", n)
		}
	})
}

// A caller leaves, by a cancellation or with its connection, in the iteration in which the retry guard of its call
// ends. Where it left first nothing is sent; where the guard ended first the attempt is stopped before it is written.
func TestCallerLeavesAsRetryGuardEnds(t *testing.T) {
	for _, how := range []string{"gives up", "closes"} {
		t.Run(how, func(t *testing.T) {
			testBothOrders(t, "the caller", "the guard", func(t *testing.T, caller bool) {
				exchange := startFakeExchange(t, "127.0.0.1:0")
				bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{retryDelay: retryGuard, servers: []string{"s-0", "s-0"}})
				id := bed.caller.setUp("1", 3*time.Second)
				exchange.awaitReceived("INVITE", id, 1)
				bed.runIteration(func() {
					bed.deliver(0, sipResponse(id, "INVITE", 504, 1, ""))
					for until := bed.server.loop.Now() + retryGuard + 20*time.Millisecond; bed.server.loop.Now() < until; {
						time.Sleep(time.Millisecond)
					}
					k := bed.findClient(id)
					runInOrder(caller, func() {
						if how == "gives up" {
							k.HandleData(jsonMessage(jsonl.Finish, id))
						} else {
							bed.server.calls.CallerDisconnected(k)
						}
					}, bed.server.calls.Tick)
				})
				bed.awaitNoPendingWork()
				bed.decider.setServers("s-0")
				last := bed.caller.setUp("1", 2*time.Second)
				exchange.awaitReceived("INVITE", last, 1)
				if n := exchange.countReceived("INVITE", id); n != 1 || bed.answers.of(id) != "" {
					t.Errorf("%d attempts, the caller got %q", n, bed.answers.of(id))
				}
			})
		})
	}
}

// A set-up and the end of its connection wait in the socket together, with part of a line behind them.
func TestSetupAndCloseTogether(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
	k := bed.dialCaller("cccccccc")
	bed.runIteration(func() {
		_, _ = k.conn.Write(append(jsonSetup(testCallID, 2*time.Second), jsonSetup("00000000000000ab", time.Second)[:40]...))
		_ = k.conn.Close()
	})
	bed.awaitNoPendingWork()
	id := bed.caller.setUp("1", 2*time.Second)
	exchange.awaitReceived("INVITE", id, 1)
	if in, off := exchange.countReceived("INVITE", testCallID), exchange.countReceived("CANCEL", testCallID); in != off || in > 1 || exchange.countReceived("INVITE", "00000000000000ab") != 0 {
		t.Errorf("%d set-ups, %d given up", in, off)
	}
}
