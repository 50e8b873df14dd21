package backend

import (
	"fmt"
	"strings"
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
	set := NewSet(Options{Loop: loop, Name: "n0", MemoryMB: 192, TransactionIDs: transaction.NewIDSequence(0)})
	set.Attach(call.NewManager(nil, nil, loop.Now, call.Limits{CompletedIDs: 16}))
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
	c.releases[releaseKey{id: "00000000000000aa"}] = pendingRelease{}
	p.handleReply(&h248.Transaction{Kind: h248.Reply, ID: p.conn.set.transactionIDs.Next() - 2})
	if c.PendingReleases() != 0 || len(p.requests) != 1 {
		t.Errorf("after the reply: %d releases and %d transactions left, want 0 and 1", c.PendingReleases(), len(p.requests))
	}
}

// latestRequest returns the id of the latest transaction that was sent to the server.
func latestRequest(p *h248Protocol) uint32 {
	var latest uint32
	for id := range p.requests {
		latest = max(latest, id)
	}
	return latest
}

// addReply returns the reply to an Add.
func addReply(id uint32, termination string) *h248.Transaction {
	local := &h248.Node{Name: "Media", Children: []*h248.Node{{Name: "Local", Octets: []byte("a")}}}
	add := &h248.Command{Name: "Add", Termination: termination, Descriptors: []*h248.Node{local}}
	return &h248.Transaction{Kind: h248.Reply, ID: id, Actions: []*h248.Action{{Context: "1", Commands: []*h248.Command{add}}}}
}

// subtractReply returns the reply to a Subtract.
func subtractReply(id uint32, termination string) *h248.Transaction {
	subtract := &h248.Command{Name: "Subtract", Termination: termination}
	return &h248.Transaction{Kind: h248.Reply, ID: id, Actions: []*h248.Action{{Context: "1", Commands: []*h248.Command{subtract}}}}
}

// Guards against answers of other calls: a reply was matched by its transaction id alone, so that the reply to another
// command under the same id, for example of an earlier process, answered the attempt or confirmed the release.
func TestRepliesToOtherCommandsAreIgnored(t *testing.T) {
	const callID, otherID = "00000000000000aa", "00000000000000ab"
	c := newTestConn()
	strays := 0
	c.set.reportStray = func(string, error) { strays++ }
	p := newH248(c)
	c.protocol = p
	if _, err := p.appendInvite(nil, call.Setup{ID: callID, Class: "voice", Number: "1", Description: []byte("o")}); err != nil {
		t.Fatal(err)
	}
	c.openAttempts[callID] = 0
	add := latestRequest(p)
	for _, termination := range []string{TerminationName(otherID, 0), TerminationName(callID, 1), "line/1"} {
		p.handleReply(addReply(add, termination))
	}
	p.handleReply(subtractReply(add, TerminationName(callID, 0)))
	if _, isOpen := c.openAttempts[callID]; !isOpen || len(p.requests) != 1 || len(p.contexts) != 0 || strays != 4 || c.set.Counters.Strays != 4 {
		t.Errorf("the attempt is open: %v, %d requests, %d contexts, %d strays logged, %d counted", isOpen, len(p.requests), len(p.contexts), strays, c.set.Counters.Strays)
	}
	c.releases[releaseKey{id: callID}] = pendingRelease{}
	p.appendRelease(nil, callID, 0, 16)
	p.handleReply(subtractReply(latestRequest(p), TerminationName(otherID, 0)))
	if c.PendingReleases() != 1 {
		t.Error("the reply to the release of another call confirmed the release")
	}
	p.handleReply(subtractReply(latestRequest(p), "CALL/"+callID+"/0"))
	if c.PendingReleases() != 0 {
		t.Error("the reply to the release did not confirm it")
	}
}

// Guards against calls that are left at a server: the release of a call from before a restart named the first attempt
// only, though the call can have been set up by a later one.
func TestReleaseOfAnUnknownCallNamesAllAttempts(t *testing.T) {
	const callID = "00000000000000aa"
	c := newTestConn()
	c.set.maxAttempts = 3
	p := newH248(c)
	c.protocol = p
	c.set.conns["s"] = c
	c.set.ReleaseEverywhere(callID, 16)
	for attempt := range 3 {
		if c.PendingReleases() != 1 {
			t.Errorf("the release is confirmed after %d of 3 replies", attempt)
		}
		var answered *h248.Transaction
		for id, r := range p.requests {
			if r.attempt == attempt {
				answered = subtractReply(id, TerminationName(callID, attempt))
			}
		}
		if answered == nil {
			t.Fatalf("attempt %d is not released", attempt)
		}
		p.handleReply(answered)
	}
	if c.PendingReleases() != 0 || len(p.requests) != 0 {
		t.Errorf("%d releases and %d requests are left", c.PendingReleases(), len(p.requests))
	}
}

// Guards against callers that are never told that their call is over: when the store of transactions was full, the
// Notifies of a server had neither effect nor reply, however often they were repeated. A release is executed without
// being stored; a ServiceChange, whose repeat would end later calls, is refused.
func TestServerTransactionsWithoutRoom(t *testing.T) {
	const releases = 4
	c := newTestConn()
	p := newH248(c)
	p.received = transaction.NewStore(1)
	c.protocol = p
	request := func(id uint32, command *h248.Command) (reply string) {
		c.conn = eventloop.NewConn(nil, 0)
		p.handleRequest("<s>", &h248.Transaction{ID: id, Actions: []*h248.Action{{Context: "1", Commands: []*h248.Command{command}}}})
		return string(c.conn.PendingOutput())
	}
	for range 2 { // the second time they are repeats
		for n := range uint32(releases) {
			notify := &h248.Command{Name: "Notify", Termination: TerminationName(fmt.Sprintf("%016x", n), 0),
				Descriptors: []*h248.Node{transaction.ReleaseEvent(16)}}
			if reply := request(n+1, notify); !strings.Contains(reply, "Notify") {
				t.Errorf("Notify %d has reply %q", n+1, reply)
			}
		}
	}
	if n := c.set.calls.Counters.ReleasedUnknown; n != releases {
		t.Errorf("%d releases were executed, want each of %d once", n, releases)
	}
	change := &h248.Command{Name: "ServiceChange", Termination: "ROOT",
		Descriptors: []*h248.Node{{Name: "Services", Children: []*h248.Node{{Name: "Method", Value: "Graceful"}}}}}
	if reply := request(99, change); !strings.Contains(reply, "Error=510") || c.isDraining {
		t.Errorf("the ServiceChange has reply %q, and the server drains: %v", reply, c.isDraining)
	}
}

// Guards against a caller that is never told that its call is over: a call server's process took the address of another
// and numbered its Notifies from 1 as that had done, so that they were taken for repeats.
func TestNotifyOfTheNextServerProcess(t *testing.T) {
	c := newTestConn()
	p := newH248(c)
	c.protocol = p
	for n := range uint32(3) {
		notify := &h248.Command{Name: "Notify", Termination: TerminationName(fmt.Sprintf("%016x", n), 0),
			Descriptors: []*h248.Node{transaction.ReleaseEvent(16)}}
		p.handleRequest("<s>", &h248.Transaction{ID: 1, Actions: []*h248.Action{{Context: "1", Commands: []*h248.Command{notify}}}})
	}
	if n := c.set.calls.Counters.ReleasedUnknown; n != 3 {
		t.Errorf("%d of 3 releases were executed", n)
	}
}
