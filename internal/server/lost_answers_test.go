package server

import (
	"errors"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"olivedale/internal/backend"
	"olivedale/internal/reachability"
)

// An answer that is lost with its connection leaves an established call at the exchange that the controller does not
// know of. Unanswered attempts are therefore released on the next connection, unless a new attempt of the call has been
// sent to the exchange by then.
func TestAttemptIsReleasedAfterItsConnectionIsLost(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		lose func(bed *testbed, x *fakeExchange, id string)
	}{
		{"reset during the attempt", func(_ *testbed, x *fakeExchange, _ string) { resetConn(x.awaitConn()) }},
		{"closed after a malformed message", func(_ *testbed, x *fakeExchange, id string) {
			x.send(append([]byte("SIP/2.0 2x0 OK\r\n\r\n"), sipResponse(id, "INVITE", 200, 1, "a")...))
		}},
		{"reset during the cancellation", func(bed *testbed, x *fakeExchange, id string) {
			bed.caller.hangUp(id)
			x.awaitReceived("CANCEL", id, 1)
			resetConn(x.awaitConn())
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			x := startFakeExchange(t, "127.0.0.1:0")
			bed := startTestbed(t, []*fakeExchange{x}, &scriptedDecider{servers: []string{"s-0"}})
			id := bed.caller.setUp("1", 3*time.Second)
			x.awaitReceived("INVITE", id, 1)
			test.lose(bed, x, id)
			x.awaitReceived("BYE", id, 1)
		})
	}
}

// An attempt that was answered before its connection was lost is not released.
func TestAnsweredAttemptIsNotReleased(t *testing.T) {
	t.Parallel()
	x := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{x}, &scriptedDecider{servers: []string{"s-0", "s-0"}})
	id := bed.caller.setUp("1", 3*time.Second)
	x.awaitReceived("INVITE", id, 1)
	x.send(sipResponse(id, "INVITE", 503, 1, ""))
	x.awaitReceived("INVITE", id, 2)
	x.send(sipResponse(id, "INVITE", 200, 2, "a"))
	bed.answers.await(t, id, 1)
	resetConn(x.awaitConn())
	x.awaitConnections(2)
	x.send(sipRelease("00000000000000ff", 16)) // the round trip shows that anything sent earlier has arrived
	bed.answers.await(t, "00000000000000ff", 1)
	if n := x.countReceived("BYE", id); n != 0 {
		t.Errorf("%d releases of answered attempts, want none", n)
	}
}

// awaitConnections waits until n connections have been accepted.
func (e *fakeExchange) awaitConnections(n int) {
	e.t.Helper()
	eventually(e.t, "another connection to the exchange", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.conns) >= n
	})
}

// An unreachableDialer makes all dials time out while isSet is true.
type unreachableDialer struct{ isSet atomic.Bool }

func (d *unreachableDialer) configure(o *Options) {
	o.dial = func(address string, timeout time.Duration) (net.Conn, error) {
		if !d.isSet.Load() {
			return backend.DialTCP(address, timeout)
		}
		time.Sleep(timeout)
		return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	}
}

// A silent exchange is probed while it has an established call. Input on the probe connection is processed and the probe
// is closed; the original connection stays open.
func TestReleaseOnAProbe(t *testing.T) {
	t.Parallel()
	x := startFakeExchange(t, "127.0.0.1:0")
	bed := startTestbed(t, []*fakeExchange{x}, &scriptedDecider{servers: []string{"s-0"}})
	id := bed.caller.setUp("1", 3*time.Second)
	x.awaitReceived("INVITE", id, 1)
	x.send(sipResponse(id, "INVITE", 200, 1, "a"))
	bed.answers.await(t, id, 1)
	start := time.Now()
	x.awaitConnections(2)
	if quiet := time.Since(start); quiet < reachability.ProbeAfter-50*time.Millisecond {
		t.Errorf("probed after only %v", quiet)
	}
	x.send(sipRelease(id, 16)) // on the latest connection, which is the probe
	bed.answers.await(t, id, 2)
	x.mu.Lock()
	first, probe := x.conns[0], x.conns[1]
	x.mu.Unlock()
	_ = probe.SetReadDeadline(time.Now().Add(time.Second))
	eventually(t, "the probe is closed", func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		for i, what := range x.received {
			if what == "CLOSED" && x.receivedOn[i] == 1 {
				return true
			}
		}
		return false
	})
	_ = probe.Close()
	time.Sleep(2 * reachability.ProbeAfter) // without an established call there are no further probes
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.conns) != 2 || x.conns[0] != first {
		t.Errorf("%d connections, want 2", len(x.conns))
	}
	if _, err := first.Write(sipRelease("00000000000000fe", 16)); err != nil {
		t.Errorf("the first connection is closed: %v", err)
	}
}

// The host of an exchange is unreachable for some seconds and then refuses connections. The exchange process has ended,
// although its old connection is still open and silent, so its calls are released.
func TestRefusalBehindAnOutageEndsCalls(t *testing.T) {
	t.Parallel()
	x := startFakeExchange(t, "127.0.0.1:0")
	dialer := &unreachableDialer{}
	bed := startTestbed(t, []*fakeExchange{x}, &scriptedDecider{servers: []string{"s-0"}}, dialer.configure)
	id := bed.caller.setUp("1", 3*time.Second)
	x.awaitReceived("INVITE", id, 1)
	x.send(sipResponse(id, "INVITE", 200, 1, "a"))
	bed.answers.await(t, id, 1)
	dialer.isSet.Store(true)
	eventually(t, "the exchange is suspect", func() (isSuspect bool) {
		bed.runIteration(func() { isSuspect = bed.server.backends.HasPendingWork() })
		return isSuspect
	})
	_ = x.listener.Close()
	dialer.isSet.Store(false)
	start := time.Now()
	if got := bed.answers.await(t, id, 2); !strings.HasSuffix(got, "end 41") {
		t.Errorf("got %q", got)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("the caller was notified %v after the host refused connections", took)
	}
}

// Local errors, such as a lack of descriptors, do not make an exchange count as unreachable. No call is released.
func TestLackOfDescriptorsIsNoOutage(t *testing.T) {
	t.Parallel()
	x := startFakeExchange(t, "127.0.0.1:0")
	var fails atomic.Bool
	bed := startTestbed(t, []*fakeExchange{x}, &scriptedDecider{servers: []string{"s-0"}}, func(o *Options) {
		o.dial = func(address string, timeout time.Duration) (net.Conn, error) {
			if fails.Load() {
				return nil, &net.OpError{Op: "dial", Err: errors.New("too many open files")}
			}
			return backend.DialTCP(address, timeout)
		}
	})
	id := bed.caller.setUp("1", 3*time.Second)
	x.awaitReceived("INVITE", id, 1)
	x.send(sipResponse(id, "INVITE", 200, 1, "a"))
	bed.answers.await(t, id, 1)
	fails.Store(true)
	time.Sleep(reachability.MaxSilence + reachability.ProbeAfter)
	var established int
	bed.runIteration(func() { established = bed.server.calls.EstablishedAt("s-0") })
	if established != 1 {
		t.Errorf("%d calls are established, want 1", established)
	}
}

// An exchange with a call of a gateway becomes unreachable. The gateway is notified that the call has ended, and the
// call is released at the exchange when it is reachable again.
func TestVanishedExchangeEndsCallsOfGateways(t *testing.T) {
	t.Parallel()
	x := startFakeExchange(t, "127.0.0.1:0")
	dialer := &unreachableDialer{}
	bed := startTestbed(t, []*fakeExchange{x}, &scriptedDecider{servers: []string{"s-0"}}, withGateways, dialer.configure)
	gateway := bed.dialGateway("<g>")
	key := gateway.setUp("1", 3*time.Second)
	id := x.awaitInvite(1)
	x.send(sipResponse(id, "INVITE", 200, 1, "a"))
	bed.answers.await(t, key, 1)
	dialer.isSet.Store(true)
	start := time.Now()
	eventually(t, "the gateway is notified", func() bool { return strings.HasSuffix(bed.answers.of(key), "end 41") })
	if took := time.Since(start); took > 8*time.Second || took < 6*time.Second {
		t.Errorf("the gateway was notified after %v", took)
	}
	dialer.isSet.Store(false)
	x.awaitReceived("BYE", id, 1)
}
