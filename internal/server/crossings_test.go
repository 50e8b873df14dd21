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

// The tests in this file check races between two events. Each order of the two is forced: the test passes the data to a
// connection within one iteration of the event loop, so that the order does not depend on the scheduler.

// A caller cancels its set-up in the same iteration in which it arrives. The set-up is not sent at all.
func TestCancelInTheIterationOfTheSetup(t *testing.T) {
	t.Parallel()
	bed := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
	bed.runIteration(func() {
		bed.findClient("").HandleData(append(jsonSetup(testCallID, time.Second), jsonMessage(jsonl.Finish, testCallID)...))
	})
	bed.awaitNoPendingWork()
	bed.runIteration(func() { bed.findClient("").HandleData(jsonSetup("00000000000000ab", 300*time.Millisecond)) })
	bed.exchanges[0].awaitReceived("INVITE", "00000000000000ab", 1) // anything sent earlier has arrived by now
	if n := bed.exchanges[0].countReceived("INVITE", testCallID) + bed.exchanges[0].countReceived("CANCEL", testCallID); n != 0 {
		t.Errorf("the exchange received %d messages for a set-up whose caller had left, want none", n)
	}
	if codes := bed.decider.results(testCallID); len(codes) != 1 || codes[0] != admission.ResultNotSent {
		t.Errorf("the decider was reported %v", codes)
	}
}

// A set-up is canceled on a connection other than its own. No state of it remains on either connection.
func TestCancelOnAnotherConnection(t *testing.T) {
	t.Parallel()
	bed := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, &scriptedDecider{servers: []string{"s-0"}})
	id := bed.caller.setUp("1", 3*time.Second)
	bed.exchanges[0].awaitReceived("INVITE", id, 1)
	bed.dialCaller("bbbbbbbb").hangUp(id)
	bed.exchanges[0].awaitReceived("CANCEL", id, 1)
	bed.awaitNoPendingWork()
}

// An exchange rejects an attempt, and a copy of that answer arrives while a later attempt of the same call is open
// there. If the exchange is known to echo attempt numbers, the copy is ignored; otherwise it may be the answer of the
// open attempt, which is canceled before the next one starts. In both cases only one attempt is open at a time.
func TestCopyOfAnswerToEarlierAttempt(t *testing.T) {
	t.Parallel()
	for _, repeats := range []bool{true, false} {
		t.Run(fmt.Sprint("echoes attempt numbers ", repeats), func(t *testing.T) {
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
					t.Errorf("the copy caused %d messages, want none", n-1)
				}
				return
			}
			exchange1.awaitReceived("INVITE", id, 2)
			if took := time.Since(copied); exchange0.countReceived("CANCEL", id) != 1 || took < retryGuard {
				t.Errorf("the next attempt started %v after the copy; %d attempts were canceled", took, exchange0.countReceived("CANCEL", id))
			}
			exchange1.send(sipResponse(id, "INVITE", 200, 4, "b"))
			if got := bed.answers.await(t, id, 1); got != "stands b" {
				t.Error(got)
			}
		})
	}
}

// Copies of answers arrive for an established call, for a rejected call, and for calls whose protocol state has been
// discarded. No caller is answered twice, and the established call continues.
func TestCopiesOfAnswersAreIgnored(t *testing.T) {
	t.Parallel()
	exchange := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
	established := bed.caller.setUp("1", 3*time.Second)
	exchange.awaitReceived("INVITE", established, 1)
	bed.runIteration(func() {
		bed.deliver(0, sipResponse(established, "INVITE", 200, 1, "a"))
		bed.deliver(0, sipResponse(established, "INVITE", 200, 1, "b"))
		bed.deliver(0, sipResponse(established, "INVITE", 503, 1, ""))
	})
	bed.answers.await(t, established, 1)
	refused := bed.caller.setUp("1", 3*time.Second)
	exchange.awaitReceived("INVITE", refused, 1)
	bed.runIteration(func() {
		bed.deliver(0, sipResponse(refused, "INVITE", 486, 1, ""))
		bed.deliver(0, sipResponse(refused, "INVITE", 200, 1, "c"))
	})
	bed.answers.await(t, refused, 1)
	exchange.send(sipRelease(established, 16))
	bed.answers.await(t, established, 2)
	bed.runIteration(func() {
		bed.server.backends.Get("s-0").Tick(bed.server.loop.Now() + time.Hour)
		bed.deliver(0, sipResponse(established, "INVITE", 200, 1, "d"))
		bed.deliver(0, sipResponse(refused, "INVITE", 200, 1, "e"))
		if n := bed.server.backends.Get("s-0").TrackedCalls(); n != 0 {
			t.Errorf("%d dialogs remain, want none", n)
		}
	})
	bed.awaitNoPendingWork()
	if one, two := bed.answers.of(established), bed.answers.of(refused); one != "stands a end 16" || two != "end 41" {
		t.Errorf("the callers received %q and %q", one, two)
	}
}

// An exchange answers and its connection breaks. Whether the answer is read first or a write fails first, the call is
// established exactly once, and no other exchange is tried.
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
					bed.findClient("").HandleData(jsonSetup(testCallID, 2*time.Second)) // is sent to the same exchange
				})
			} else {
				_, _ = c.Write(sipResponse(id, "INVITE", 200, 1, "a"))
				bed.answers.await(t, id, 1)
				resetConn(c)
			}
			if got := bed.answers.await(t, id, 1); got != "stands a" {
				t.Errorf("the caller received %q", got)
			}
			if n := exchange0.countReceived("INVITE", id) + exchange1.countReceived("INVITE", id); n != 1 {
				t.Errorf("%d attempts, want 1", n)
			}
			if bed.answers.of(id) != "stands a" {
				t.Errorf("the caller received %q", bed.answers.of(id))
			}
		})
	}
}

// The connection of a caller ends as the answer to its set-up arrives. The caller has not learned that the call is
// established, so the call is released at the exchange. A half-closed connection counts as closed: the two cannot be
// distinguished before a write, and a set-up of a caller that has left must not be sent.
func TestCallerLeavesAsAnswerArrives(t *testing.T) {
	for _, how := range []string{"reset", "closed", "half closed"} {
		t.Run(how, func(t *testing.T) {
			testBothOrders(t, "the disconnect", "the answer", func(t *testing.T, end bool) {
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
				bed.runIteration(func() { // the connection ends before the answer is written
					leave()
					bed.deliver(0, sipResponse(id, "INVITE", 200, 1, "a"))
				})
				bed.awaitNoPendingWork()
				switch how {
				case "reset":
					exchange.awaitReceived("BYE", id, 1)
				case "half closed": // the caller receives the answer and may release the call on another connection
					if got := bed.answers.await(t, id, 1); got != "stands a" {
						t.Error(got)
					}
					bed.caller.hangUp(id)
					exchange.awaitReceived("BYE", id, 1)
				}
				if n := exchange.countReceived("CANCEL", id); n != 0 {
					t.Errorf("an established call was canceled %d times", n)
				}
			})
		})
	}
}

// The connection of a caller breaks on a later write, after the answer of an established call has been written. The
// call continues, because established calls do not depend on a connection.
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
		client := bed.findClient("")
		resetConn(k.conn)
		bed.server.loop.Write(client.Conn(), func(b []byte) []byte { return append(b, jsonMessage(jsonl.Echoed, "t")...) })
	})
	eventually(t, "the connection is closed", func() (gone bool) {
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

// A set-up and its cancellation arrive on two connections in the same iteration, in either order. The set-up is not sent.
func TestCancelIsReadBeforeItsSetup(t *testing.T) {
	testBothOrders(t, "the cancellation", "the set-up", func(t *testing.T, cancelFirst bool) {
		exchange := startFakeExchange(t, "127.0.0.1:0")
		bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
		other := bed.dialCaller("cccccccc")
		bed.runIteration(func() {
			var all []*jsonclient.Client
			for k := range bed.server.frontends.json.Clients().Oldest() {
				all = append(all, k)
			}
			runInOrder(cancelFirst, func() { all[1].HandleData(jsonMessage(jsonl.Finish, testCallID)) }, func() { all[0].HandleData(jsonSetup(testCallID, 2*time.Second)) })
		})
		bed.awaitNoPendingWork()
		bed.decider.setServers("s-0")
		last := other.setUp("1", 2*time.Second)
		exchange.awaitReceived("INVITE", last, 1)
		if n := exchange.countReceived("INVITE", testCallID); n != 0 {
			t.Errorf("the exchange received %d set-ups of a caller that had left, want none", n)
		}
	})
}

// A timeout and an answer occur in one iteration. The caller receives one final answer, and if the timeout is first, the
// call that the exchange has established is released there.
func TestTimeoutCrossesAnswer(t *testing.T) {
	testBothOrders(t, "the timeout", "the answer", func(t *testing.T, timeoutFirst bool) {
		exchange := startFakeExchange(t, "127.0.0.1:0")
		bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{retryDelay: retryGuard, servers: []string{"s-0"}})
		id := bed.caller.setUp("1", 400*time.Millisecond)
		exchange.awaitReceived("INVITE", id, 1)
		bed.runIteration(func() { // the set-up times out while the loop is blocked
			for until := bed.server.loop.Now() + 420*time.Millisecond; bed.server.loop.Now() < until; {
				time.Sleep(time.Millisecond)
			}
			runInOrder(timeoutFirst, bed.server.calls.Tick, func() { bed.deliver(0, sipResponse(id, "INVITE", 200, 1, "a")) })
		})
		bed.answers.await(t, id, 1)
		bed.awaitNoPendingWork()
		if timeoutFirst {
			exchange.awaitReceived("CANCEL", id, 1)
			exchange.awaitReceived("BYE", id, 1)
			if got := bed.answers.of(id); got != "end 41" {
				t.Error(got)
			}
		} else if got := bed.answers.of(id); got != "stands a" || exchange.countReceived("CANCEL", id)+exchange.countReceived("BYE", id) != 0 {
			t.Errorf("got %q, %d cancellations, %d releases", got, exchange.countReceived("CANCEL", id), exchange.countReceived("BYE", id))
		}
	})
}

// A cancellation and the answer arrive in one iteration. The call is released at the exchange exactly once, in either
// order.
func TestCancelCrossesAnswer(t *testing.T) {
	testBothOrders(t, "the cancellation", "the answer", func(t *testing.T, cancelFirst bool) {
		exchange := startFakeExchange(t, "127.0.0.1:0")
		bed := startTestbed(t, []*fakeExchange{exchange}, &scriptedDecider{servers: []string{"s-0"}})
		id := bed.caller.setUp("1", 3*time.Second)
		exchange.awaitReceived("INVITE", id, 1)
		bed.runIteration(func() {
			k := bed.findClient(id)
			runInOrder(cancelFirst, func() { k.HandleData(jsonMessage(jsonl.Finish, id)) },
				func() { bed.deliver(0, sipResponse(id, "INVITE", 200, 1, "a")) })
		})
		exchange.awaitReceived("BYE", id, 1)
		if !cancelFirst {
			bed.answers.await(t, id, 1) // it may still be in flight
		}
		bed.awaitNoPendingWork()
		if got := bed.answers.of(id); cancelFirst && got != "" || !cancelFirst && got != "stands a" {
			t.Errorf("the caller received %q", got)
		}
		if n := exchange.countReceived("BYE", id); n != 1 {
			t.Errorf("%d releases, want 1", n)
		}
	})
}

// A caller cancels its call or disconnects in the iteration in which the retry guard of the call ends. If the caller
// leaves first, no attempt starts; if the guard ends first, the new attempt is stopped before it is written.
func TestCallerLeavesAsRetryGuardEnds(t *testing.T) {
	for _, how := range []string{"cancels the call", "closes"} {
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
						if how == "cancels the call" {
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
					t.Errorf("%d attempts, want 1; the caller received %q", n, bed.answers.of(id))
				}
			})
		})
	}
}

// A set-up, part of another one and the close of the connection are pending in the socket together. The set-up is
// canceled if it was sent, and the partial one is ignored.
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
		t.Errorf("%d set-ups and %d cancellations", in, off)
	}
}

// Guards against set-ups that are sent on after their client has left: all that had been received before the close was
// read and sent on, however late. Releases among it still count, because no connection owns an established call.
func TestClientLeavesWithUnreadSetups(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"closes", "resets"} {
		for _, isGateway := range []bool{false, true} {
			t.Run(fmt.Sprint(how, ", gateway ", isGateway), func(t *testing.T) {
				t.Parallel()
				const setups = 20
				exchange := startFakeExchange(t, "127.0.0.1:0")
				decider := &scriptedDecider{}
				for range setups + 2 {
					decider.servers = append(decider.servers, "s-0")
				}
				bed := startTestbed(t, []*fakeExchange{exchange}, decider, withGateways)
				established := bed.establishCalls(exchange, 1)[0]
				var conn net.Conn
				var backlog []byte
				if isGateway {
					conn = bed.dialGateway("<g>").conn
					for n := range uint32(setups) {
						backlog = append(backlog, frameTransactions(t, "<g>", addTransaction(fmt.Sprint("g/", n), n+1, "1", 3*time.Second))...)
					}
				} else {
					conn = bed.dialCaller("cccccccc").conn
					for n := range setups {
						backlog = append(backlog, jsonSetup(fmt.Sprintf("5%015x", n), 3*time.Second)...)
					}
					backlog = append(backlog, jsonMessage(jsonl.Finish, established)...)
				}
				bed.runIteration(func() {
					_, _ = conn.Write(backlog)
					if how == "resets" {
						resetConn(conn)
					} else {
						_ = conn.Close()
					}
					time.Sleep(50 * time.Millisecond) // the loop is busy until the close has arrived
				})
				if !isGateway && how == "closes" {
					exchange.awaitReceived("BYE", established, 1)
				}
				last := bed.caller.setUp("1", 3*time.Second)
				exchange.awaitReceived("INVITE", last, 1)
				bed.runIteration(func() {
					if n := bed.server.calls.Attempts; n != 2 {
						t.Errorf("%d set-ups were sent on, want those of the other client only", n)
					}
				})
			})
		}
	}
}
