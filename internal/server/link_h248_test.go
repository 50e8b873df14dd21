package server

import (
	"go.uber.org/zap"

	"fmt"
	"testing"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
)

func TestEndsOfErrorCodes(t *testing.T) {
	for code, want := range map[int]call.AttemptEnd{h248.Insufficient: call.ProcessorBusy, h248.ServiceUnavailable: call.ProcessorBusy,
		h248.NoTermination: call.NoCircuit, h248.TerminationInContext: call.DestinationBusy, h248.NotReady: call.NotForwarded,
		h248.TemporaryFailure: call.FailedInTransit, h248.InternalFailure: call.BackendError, h248.ProtocolError: call.BackendError} {
		if got := h248End(code); got != want {
			t.Errorf("%d: %v, want %v", code, got, want)
		}
	}
}

// A server's transaction that comes again after a reset is answered again and done once.
func TestServerTransactionIsDoneOnce(t *testing.T) {
	n := &Node{}
	n.loop.start(zap.NewNop(), time.Now)
	n.cfg = testConfig(t)
	n.core = call.NewManager(nil, nil, n.now, call.Limits{})
	d := newH248(n, "s")
	l := &link{n: n, id: "s", s: &stream{}, talk: d, byes: make(map[string]bye)}
	notify := &h248.Transaction{ID: 5, Actions: []*h248.Action{{Context: "1", Commands: []*h248.Command{{Name: "Notify",
		Termination: termination("00000000000000aa", 0), Descriptors: []*h248.Node{observed(16)}}}}}}
	d.request(l, "<s>", notify)
	first := string(l.s.out)
	d.reset()
	l.s = &stream{}
	d.request(l, "<s>", notify)
	if string(l.s.out) != first || first == "" || n.core.ReleasedUnknown != 1 || n.Repeats != 1 {
		t.Errorf("replies %q and %q, released %d times", first, l.s.out, n.core.ReleasedUnknown)
	}
}

// A release that is not confirmed is asked for again on each new connection; what was asked on those before is forgotten.
func TestReleasesAskedOnManyConnections(t *testing.T) {
	n := &Node{cfg: testConfig(t)}
	n.loop.start(zap.NewNop(), time.Now)
	d := newH248(n, "s")
	for range 100 {
		d.reset()
		d.release(nil, "00000000000000aa", 0, 16)
		d.cancel(nil, "00000000000000ab", 0)
	}
	if len(d.asks) != 2 {
		t.Errorf("%d transactions are remembered", len(d.asks))
	}
	l := &link{n: n, id: "s", s: &stream{}, talk: d, byes: map[string]bye{"00000000000000aa": {}}}
	d.reply(l, &h248.Transaction{Kind: h248.Reply, ID: d.last - 1})
	if len(l.byes) != 0 || len(d.asks) != 1 {
		t.Errorf("the latest of them is not confirmed: %d releases, %d transactions", len(l.byes), len(d.asks))
	}
}

// A server that says that it drains gets nothing new from then on; one that is out
// has lost its calls, and one that returns is used again.
func TestServerServiceChange(t *testing.T) {
	s, h := startSite(t, true, true), newHeard()
	k := dialH248(t, s.panel(), h, "<p>")
	key := k.setUp("keep.1", 4*time.Second)
	h.wait(t, key, 1)
	id := uint32(100)
	say := func(method string) {
		id++
		b, err := h248.AppendFrame(nil, &h248.Message{MID: "<server>", Transactions: []*h248.Transaction{{ID: id,
			Actions: []*h248.Action{{Context: "-", Commands: []*h248.Command{{Name: "ServiceChange", Termination: "ROOT",
				Descriptors: []*h248.Node{{Name: "Services", Kids: []*h248.Node{{Name: "Method", Value: method}}}}}}}}}}})
		if err != nil {
			t.Fatal(err)
		}
		s.servers[0].mu.Lock()
		defer s.servers[0].mu.Unlock()
		for c := range s.servers[0].conn {
			_, _ = c.Write(b)
		}
	}
	draining := func() bool {
		ch := make(chan bool, 1)
		s.n.exec(func() { ch <- s.n.links["s-0"].draining })
		return <-ch
	}
	invites := func() string {
		s.servers[0].mu.Lock()
		defer s.servers[0].mu.Unlock()
		return fmt.Sprint(s.servers[0].invited)
	}
	say("Graceful")
	eventually(t, "it drains", draining)
	before := invites()
	if got := h.wait(t, k.setUp("keep.2", 4*time.Second), 1); got != "stands "+accept("keep.2") {
		t.Errorf("while one server drains: %q", got)
	}
	say("Forced")
	if got := h.wait(t, key, 2); got != "stands "+accept("keep.1")+" end 41" {
		t.Errorf("the call at the server that is out: %q", got)
	}
	if got := invites(); got != before {
		t.Errorf("invited %s times, %s before it drained", got, before)
	}
	say("Restart")
	eventually(t, "it is back", func() bool { return !draining() })
}
