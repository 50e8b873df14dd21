package soak

import (
	"net"
	"os"
	"testing"
	"time"

	"olivedale/internal/codec/sip"
	"olivedale/internal/sim/invariant"
)

// Ids of the calls in the tests.
const (
	testCall  = "00000000000000aa"
	otherCall = "00000000000000bb"
)

// A testExchange is an exchange with one established call, together with the controller's end of its connection.
type testExchange struct {
	*exchange
	conn net.Conn
}

// establishCall establishes a call at a new exchange.
func establishCall(t *testing.T) *testExchange {
	t.Helper()
	mon := newMonitor(time.Now())
	x, err := startExchange(exchangeOptions{id: "s-0", controllers: []string{"n0"}, meanHold: time.Hour, seed: 1}, mon)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.close)
	conn, err := net.Dial("tcp", x.address("n0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	mon.register(testCall, setup{controller: "n0", class: "voice", number: "1"})
	mon.record(invariant.Event{Kind: invariant.CallOffered, Controller: "n0", Call: testCall, Deadline: time.Minute})
	p := &testExchange{exchange: x, conn: conn}
	p.write(t, invite(testCall))
	p.await(t, func() bool { return x.calls[testCall] != nil && x.calls[testCall].isEstablished })
	mon.record(invariant.Event{Kind: invariant.CallEstablished, Controller: "n0", Call: testCall, Server: "s-0"})
	return p
}

func invite(id string) []byte {
	return sip.AppendRequest(nil, &sip.Request{
		Method: "INVITE", Number: "1", CallID: id, CSeq: 1, Headers: []sip.Header{{Name: "X-Cos", Value: "voice"}},
	})
}

func (p *testExchange) write(t *testing.T, text []byte) {
	t.Helper()
	if _, err := p.conn.Write(text); err != nil {
		t.Fatal(err)
	}
}

// await waits until a condition holds. The condition is called with exchange.mu held.
func (p *testExchange) await(t *testing.T, condition func() bool) {
	t.Helper()
	for range 500 {
		p.mu.Lock()
		holds := condition()
		p.mu.Unlock()
		if holds {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition does not hold after 5 s")
}

// violations returns how often a rule has been violated until now.
func (p *testExchange) violations(r invariant.Rule) int {
	mon := p.monitor
	mon.record(invariant.Event{Kind: invariant.ServerUpdated, Controller: "n0", Server: "other"})
	mon.mu.Lock()
	defer mon.mu.Unlock()
	return mon.checker.Count(r)
}

// A release that is in the queue when the exchange's process stops has not been sent, so its controller has the longer
// time limit. For a release that was written, the time limit starts then.
func TestReleaseCountsOnceWritten(t *testing.T) {
	t.Parallel()
	for name, stops := range map[string]bool{"process runs": false, "process stops": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := establishCall(t)
			p.mu.Lock()
			c := p.calls[testCall]
			c.stopTimer()
			delete(p.calls, testCall)
			p.release(c, false)
			if stops { // while the release is in the queue
				p.state = exchangeHung
			}
			p.mu.Unlock()
			time.Sleep(releaseNotifyLimit + clockSlack + 100*time.Millisecond)
			want := 1
			if stops {
				want = 0
			}
			if n := p.violations(invariant.ReleasedInTime); n != want {
				t.Errorf("%d violations without a notification, want %d", n, want)
			}
		})
	}
}

// An attempt that arrives while the exchange's process stops must not count as handled: its cancel would not be read
// either, and the controller may send the call to another exchange.
func TestAttemptIsNotHandledWhileStopped(t *testing.T) {
	t.Parallel()
	p := establishCall(t)
	p.mu.Lock()
	p.write(t, invite(otherCall))
	time.Sleep(50 * time.Millisecond) // the message is read, then waits for exchange.mu
	p.state = exchangeHung
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[otherCall] != nil {
		t.Error("the attempt was handled while the process was stopped")
	}
}

// An attempt that arrived at an exchange before the final answer of its call and was canceled is no attempt after the
// answer, however late the exchange handles it. One that was not canceled, or that arrived after the answer, is.
func TestAttemptCountsFromItsArrival(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		arrivesFirst, isCanceled bool
		want                     int
	}{
		"before the answer, canceled":     {true, true, 0},
		"before the answer, not canceled": {true, false, 1},
		"after the answer":                {false, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := establishCall(t)
			p.monitor.register(otherCall, setup{controller: "n0", class: "voice", number: "1"})
			p.monitor.record(invariant.Event{
				Kind: invariant.CallOffered, Controller: "n0", Call: otherCall, Deadline: time.Minute,
			})
			p.mu.Lock()
			if test.arrivesFirst {
				p.write(t, invite(otherCall))
				time.Sleep(50 * time.Millisecond) // the message is received, then waits for exchange.mu
			}
			p.monitor.record(invariant.Event{Kind: invariant.CallRejected, Controller: "n0", Call: otherCall})
			p.mu.Unlock()
			if !test.arrivesFirst {
				p.write(t, invite(otherCall))
			}
			if test.isCanceled {
				p.write(t, sip.AppendRequest(nil, &sip.Request{
					Method: "CANCEL", Number: "1", CallID: otherCall, CSeq: 1,
				}))
			}
			time.Sleep(maxAnswerDelay + 100*time.Millisecond)
			if n := p.violations(invariant.OneAnswer); n != test.want {
				t.Errorf("%d violations, want %d", n, test.want)
			}
		})
	}
}

// To make an exchange vanish, the accept queues of its listeners are filled first, which takes some tenths of a second.
// The exchange must continue to work meanwhile, so that cancels in this time are observed when they arrive.
func TestExchangeGoesOnUntilItVanishes(t *testing.T) {
	t.Parallel()
	p := establishCall(t)
	changed := make(chan error, 1)
	go func() { changed <- p.setState(exchangeVanished) }()
	answered := 0
	buffer := make([]byte, readBufferBytes)
	for !p.isInState(exchangeVanished) {
		p.write(t, sip.AppendRequest(nil, &sip.Request{Method: "OPTIONS", Number: "ping", CallID: "p", CSeq: 1}))
		_ = p.conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := p.conn.Read(buffer); err == nil {
			answered++
		} else if !os.IsTimeout(err) {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err := <-changed; err != nil {
		t.Fatal(err)
	}
	if answered < 5 {
		t.Errorf("%d OPTIONS requests were answered while the queue was being filled, want 5 or more", answered)
	}
}

// A second fault while the accept queues are being filled for another one must not change the state: otherwise an
// exchange that vanished would return at the end of a partition.
func TestOneFaultAtATime(t *testing.T) {
	t.Parallel()
	p := establishCall(t)
	vanished := make(chan bool, 1)
	go func() { vanished <- p.leaveRunning(exchangeVanished) }()
	time.Sleep(20 * time.Millisecond)
	if p.leaveRunning(exchangePartitioned) || !<-vanished || !p.isInState(exchangeVanished) {
		t.Error("a partition changed the state of an exchange that was about to vanish")
	}
}
