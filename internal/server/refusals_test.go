package server

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"olivedale/internal/backend"
	"olivedale/internal/codec/h248"
	"olivedale/internal/config"
	"olivedale/internal/reachability"
)

// maxNotifyDelay is the time from the end of a call until its caller must be notified, if there was no release.
const maxNotifyDelay = 8 * time.Second

// A refusingDialer refuses connections while its channel yields true.
type refusingDialer struct{ isRefusing chan bool }

func newRefusingDialer() *refusingDialer {
	d := &refusingDialer{isRefusing: make(chan bool, 1)}
	d.isRefusing <- false
	return d
}

func (d *refusingDialer) set(refuse bool) { <-d.isRefusing; d.isRefusing <- refuse }

func (d *refusingDialer) configure(o *Options) {
	o.dial = func(address string, timeout time.Duration) (net.Conn, error) {
		refuses := <-d.isRefusing
		d.isRefusing <- refuses
		if refuses {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		return backend.DialTCP(address, timeout)
	}
}

// establishCalls establishes calls at the only exchange and returns their ids.
func (b *testbed) establishCalls(x *fakeExchange, calls int) (ids []string) {
	b.t.Helper()
	for range calls {
		id := b.caller.setUp("1", 3*time.Second)
		x.awaitReceived("INVITE", id, 1)
		x.send(sipResponse(id, "INVITE", 200, 1, "a"))
		b.answers.await(b.t, id, 1)
		ids = append(ids, id)
	}
	return ids
}

// startWithCalls starts a server whose connections can be refused, with calls established at one exchange.
func startWithCalls(t *testing.T, calls int) (*testbed, *fakeExchange, *refusingDialer, []string) {
	t.Helper()
	x, dialer := startFakeExchange(t, "127.0.0.1:0"), newRefusingDialer()
	decider := &scriptedDecider{}
	for range calls {
		decider.servers = append(decider.servers, "s-0")
	}
	bed := startTestbed(t, []*fakeExchange{x}, decider, dialer.configure)
	return bed, x, dialer, bed.establishCalls(x, calls)
}

// fill makes the exchange reset its connection and refuse others for some time.
func (d *refusingDialer) fill(x *fakeExchange, full time.Duration) {
	d.set(true)
	resetConn(x.awaitConn())
	time.Sleep(full)
	d.set(false)
}

// Guards against calls that end towards their callers alone: a refused connection behind a reset one was taken for the
// end of the exchange's process, so that nothing was released there. The exchange is only full: its calls continue, and
// one of them ends meanwhile, which shows that its process is the same.
func TestFullExchangeKeepsItsCalls(t *testing.T) {
	t.Parallel()
	for _, full := range []time.Duration{time.Second, 3 * time.Second} {
		t.Run(full.String(), func(t *testing.T) {
			t.Parallel()
			bed, x, dialer, ids := startWithCalls(t, 5)
			dialer.fill(x, full)
			x.awaitConnections(2)
			x.send(sipRelease(ids[0], 16))
			if got := bed.answers.await(t, ids[0], 2); got != "stands a end 16" {
				t.Errorf("the call that ended: got %q", got)
			}
			time.Sleep(maxNotifyDelay)
			for _, id := range ids[1:] {
				if got := bed.answers.of(id); got != "stands a" || x.countReceived("BYE", id) != 0 {
					t.Errorf("call %s: the caller has %q, and the exchange %d releases", id, got, x.countReceived("BYE", id))
				}
			}
		})
	}
}

// The same, but nothing shows that the process is the same, and discovery knows of no change. The callers are notified
// in time, and the calls are released at the exchange as soon as it can be reached. Later calls are not touched.
func TestCallsAtAFullExchangeEndOnBothSides(t *testing.T) {
	t.Parallel()
	for _, full := range []time.Duration{time.Second, 6 * time.Second, maxNotifyDelay + time.Second} {
		t.Run(full.String(), func(t *testing.T) {
			t.Parallel()
			bed, x, dialer, ids := startWithCalls(t, 5)
			lostAt := time.Now()
			go dialer.fill(x, full)
			later := ""
			if full < reachability.RestartTimeout {
				x.awaitConnections(2)
				bed.decider.setServers("s-0")
				later = bed.establishCalls(x, 1)[0]
			}
			for _, id := range ids {
				if got := bed.answers.await(t, id, 2); got != "stands a end 41" {
					t.Errorf("the caller of %s received %q", id, got)
				}
			}
			if took := time.Since(lostAt); took > maxNotifyDelay {
				t.Errorf("the callers were notified after %v", took)
			}
			for _, id := range ids {
				x.awaitReceived("BYE", id, 1)
			}
			if later != "" && (bed.answers.of(later) != "stands a" || x.countReceived("BYE", later) != 0) {
				t.Errorf("the later call: the caller has %q", bed.answers.of(later))
			}
		})
	}
}

// The process of an exchange ends, and a new one that knows no call takes the address a second later, under the same id
// as discovery is silent. The callers are notified in time.
func TestNewProcessAtTheAddressOfAnother(t *testing.T) {
	t.Parallel()
	bed, x, _, ids := startWithCalls(t, 5)
	x.stop()
	diedAt := time.Now()
	time.Sleep(time.Second)
	next := startFakeExchange(t, x.addr())
	next.awaitConnections(1)
	bed.decider.setServers("s-0")
	later := bed.establishCalls(next, 1)[0]
	next.send(sipRelease(later, 16)) // shows nothing of the earlier process
	for _, id := range ids {
		if got := bed.answers.await(t, id, 2); got != "stands a end 41" {
			t.Errorf("the caller of %s received %q", id, got)
		}
	}
	if took := time.Since(diedAt); took > maxNotifyDelay {
		t.Errorf("the callers were notified after %v", took)
	}
}

// A connection is reset under a request and the next one refused. Neither ends the established calls, and the request,
// which may have run, is released at the exchange once.
func TestResetUnderARequestAndRefusal(t *testing.T) {
	t.Parallel()
	bed, x, dialer, ids := startWithCalls(t, 2)
	bed.decider.setServers("s-0")
	open := bed.caller.setUp("1", 3*time.Second)
	x.awaitReceived("INVITE", open, 1)
	dialer.fill(x, time.Second)
	x.awaitReceived("BYE", open, 1)
	x.send(sipRelease(ids[0], 16))
	bed.answers.await(t, ids[0], 2)
	time.Sleep(maxNotifyDelay)
	if got := bed.answers.of(ids[1]); got != "stands a" {
		t.Errorf("the caller of the other call has %q", got)
	}
	if n := x.countReceived("BYE", open); n > 2 { // again on the next connection if it was not confirmed
		t.Errorf("%d releases of the request", n)
	}
}

// The same for a call server that speaks H.248: it resets its idle connection and refuses others for a second. Nothing
// shows that its process is the same, so the call ends on both sides.
func TestCallAtAFullH248ServerEndsOnBothSides(t *testing.T) {
	t.Parallel()
	server, dialer := startUnreadExchange(t), newRefusingDialer()
	bed := startTestbed(t, nil, &scriptedDecider{servers: []string{"h-0"}}, dialer.configure, func(o *Options) {
		o.H248 = h248Config()
		o.H248.Servers = []config.H248Server{{ID: "h-0", Address: server.addr()}}
	})
	first := newCapture(t, server.awaitConn(), true)
	id := bed.caller.setUp("1", 3*time.Second)
	termination := backend.TerminationName(id, 0)
	var transactionID uint32
	_, _ = fmt.Sscan(first.await(`Transaction=(\d+)\{Context=\$\{Add=`+termination), &transactionID)
	local := &h248.Node{Name: "Media", Children: []*h248.Node{{Name: "Local", Octets: []byte("a")}}}
	add := &h248.Command{Name: "Add", Termination: termination, Descriptors: []*h248.Node{local}}
	first.sendTransaction("<h-0>", &h248.Transaction{Kind: h248.Reply, ID: transactionID,
		Actions: []*h248.Action{{Context: "7", Commands: []*h248.Command{add}}}})
	bed.answers.await(t, id, 1)
	lostAt := time.Now()
	dialer.fill(server, time.Second)
	server.awaitConnections(2)
	second := newCapture(t, server.awaitConn(), true)
	if got := bed.answers.await(t, id, 2); got != "stands a end 41" {
		t.Errorf("the caller received %q", got)
	}
	if took := time.Since(lostAt); took > maxNotifyDelay {
		t.Errorf("the caller was notified after %v", took)
	}
	second.await(`Subtract=` + termination)
}
