package backend

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/codec/h248/transaction"
	"olivedale/internal/eventloop"
)

// newTestConn returns a Conn in the connected state, of a set without a running event loop or other exchanges.
func newTestConn() *Conn {
	loop := eventloop.New(zap.NewNop(), time.Now)
	set := NewSet(Options{Loop: loop, Name: "n0", MemoryMB: 192})
	set.Attach(call.NewManager(nil, nil, loop.Now, call.Limits{}))
	c := set.newConn("s", "", 0)
	c.conn = eventloop.NewConn(nil, 0)
	return c
}

func TestAttemptEndOfError(t *testing.T) {
	for code, want := range map[int]call.AttemptEnd{
		h248.InsufficientResources: call.ProcessorBusy,
		h248.ServiceUnavailable:    call.ProcessorBusy,
		h248.NoTermination:         call.NoCircuit,
		h248.TerminationInContext:  call.DestinationBusy,
		h248.NotReady:              call.NotForwarded,
		h248.TemporaryFailure:      call.FailedInTransit,
		h248.InternalFailure:       call.BackendError,
		h248.ProtocolError:         call.BackendError,
	} {
		if got := attemptEndOfError(code); got != want {
			t.Errorf("error code %d: got %v, want %v", code, got, want)
		}
	}
}

func TestParseTermination(t *testing.T) {
	const callID = "00000000000000aa"
	id, attempt, ok := ParseTermination(TerminationName(callID, 3))
	if id != callID || attempt != 3 || !ok {
		t.Errorf("got %q, %d, %v, want the call id, 3, true", id, attempt, ok)
	}
	for _, name := range []string{"", "call", "call/" + callID, "call/x/0", "call/" + callID + "/x", "other/" + callID + "/0"} {
		if _, _, ok := ParseTermination(name); ok {
			t.Errorf("invalid name %q was accepted", name)
		}
	}
}

// A transaction that the server repeats on a new connection must be executed once and get the same reply again.
func TestServerTransactionIsDoneOnce(t *testing.T) {
	c := newTestConn()
	p := newH248(c)
	c.protocol = p
	notify := &h248.Transaction{ID: 5, Actions: []*h248.Action{{Context: "1", Commands: []*h248.Command{{Name: "Notify",
		Termination: TerminationName("00000000000000aa", 0),
		Descriptors: []*h248.Node{transaction.ReleaseEvent(16)}}}}}}
	p.handleRequest("<s>", notify)
	first := string(c.conn.PendingOutput())
	p.reset()
	c.conn = eventloop.NewConn(nil, 0)
	p.handleRequest("<s>", notify)
	second := string(c.conn.PendingOutput())
	released, repeated := c.set.calls.Counters.ReleasedUnknown, c.set.Counters.RepeatedRequests
	if second != first || first == "" || released != 1 || repeated != 1 {
		t.Errorf("replies %q and %q, %d releases, %d repeated requests", first, second, released, repeated)
	}
}

// An unconfirmed release is requested again on each new connection. The requests of earlier connections must be
// discarded, or the table would grow with each reconnect.
func TestReleasesRequestedOnManyConnections(t *testing.T) {
	c := newTestConn()
	p := newH248(c)
	c.protocol = p
	for range 100 {
		p.reset()
		p.appendRelease(nil, "00000000000000aa", 0, 16)
		p.appendCancel(nil, "00000000000000ab", 0)
	}
	if len(p.requests) != 2 {
		t.Errorf("%d transactions are stored, want 2", len(p.requests))
	}
	c.releases.add("00000000000000aa", pendingRelease{})
	p.handleReply(&h248.Transaction{Kind: h248.Reply, ID: p.conn.set.transactionIDs.Next() - 2})
	if c.PendingReleases() != 0 || len(p.requests) != 1 {
		t.Errorf("after the reply: %d releases and %d transactions left, want 0 and 1", c.PendingReleases(), len(p.requests))
	}
}
