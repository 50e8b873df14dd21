package server

import (
	"testing"
	"time"

	"olivedale/internal/codec/jsonl"
)

// The socket to the discovery service is not treated as a connection of a caller.
func TestDiscoverySocketIsNoCaller(t *testing.T) {
	t.Parallel()
	server, answers := startTestServer(t, false), newAnswerLog()
	client := dialJSONCaller(t, server.jsonAddress(), answers, "aaaaaaaa")
	eventually(t, "answers are read", func() bool {
		n := make(chan int, 1)
		server.server.loop.Execute(func() { n <- server.server.discovery.counters.answers })
		return <-n > 2
	})
	client.send(&jsonl.Message{Verb: jsonl.Echo, HasResultCode: true})
	answers.await(t, "echo", 1)
	n := make(chan int, 1)
	server.server.loop.Execute(func() { n <- server.server.frontends.host.Counters.Accepted + 100*server.server.malformed.count })
	if got := <-n; got != 2 { // one connection is the server's own
		t.Errorf("accepted clients plus 100 per malformed input: %d, want 2", got)
	}
}

// The discovery service stops answering a socket after its first answer. The server learns of a later drain over
// another socket, in time to stop new calls 2 s after the drain counts as announced.
func TestDiscoverySilentOnOneSocket(t *testing.T) {
	t.Parallel()
	bed := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, nil)
	eventually(t, "a first answer", func() bool { return bed.discoveryAnswers() > 0 })
	bed.discovery.mu.Lock()
	bed.discovery.maxAnswersPerClient = 1
	clear(bed.discovery.answersByClient)
	bed.discovery.mu.Unlock()
	eventually(t, "a last answer on this socket", func() bool {
		bed.discovery.mu.Lock()
		defer bed.discovery.mu.Unlock()
		for _, n := range bed.discovery.answersByClient {
			if n > 1 {
				return true
			}
		}
		return false
	})
	began := time.Now()
	bed.discovery.set(endpointLine{id: "s-0", addr: bed.exchanges[0].addr(), draining: true})
	eventually(t, "the drain is known", func() (draining bool) {
		bed.runIteration(func() { draining = bed.server.backends.Get("s-0").IsDraining() })
		return draining
	})
	if took := time.Since(began); took > 3500*time.Millisecond {
		t.Errorf("the drain was learned after %v", took)
	}
}

// The discovery service stops answering altogether. The current list stays in use, and sockets are neither accumulated
// nor reopened at an increasing rate.
func TestDiscoverySilentForGood(t *testing.T) {
	t.Parallel()
	bed := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, nil)
	eventually(t, "a first answer", func() bool { return bed.discoveryAnswers() > 0 })
	bed.discovery.mu.Lock()
	bed.discovery.queriesToDrop = 1 << 30
	clear(bed.discovery.answersByClient)
	bed.discovery.mu.Unlock()
	eventually(t, "two sockets after the first", func() bool {
		bed.discovery.mu.Lock()
		defer bed.discovery.mu.Unlock()
		return len(bed.discovery.answersByClient) >= 3
	})
	bed.runIteration(func() {
		if r := bed.server.discovery; r.silenceTimeout < 3*time.Second || r.silenceTimeout > maxSilenceTimeout*11/10 {
			t.Errorf("the timeout after three sockets is %v", r.silenceTimeout)
		}
	})
	id := bed.caller.setUp("1", 2*time.Second)
	bed.exchanges[0].awaitReceived("INVITE", id, 1)
	bed.exchanges[0].send(sipResponse(id, "INVITE", 200, 1, "a"))
	if got := bed.answers.await(t, id, 1); got != "stands a" {
		t.Error(got)
	}
}

// A reload changes the address of the discovery service between a query and its answer. Answers from the old address
// are ignored even if their serial is higher.
func TestDiscoveryAddressChangesBeforeAnswer(t *testing.T) {
	t.Parallel()
	bed := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, nil)
	eventually(t, "a first answer", func() bool { return bed.discoveryAnswers() > 0 })
	bed.discovery.mu.Lock()
	bed.discovery.holdsAnswers = true
	bed.discovery.mu.Unlock()
	bed.discovery.set(endpointLine{id: "s-9", addr: bed.exchanges[0].addr()})
	for range 7 {
		bed.discovery.set(endpointLine{id: "s-9", addr: bed.exchanges[0].addr()})
	}
	eventually(t, "an answer is withheld", func() bool {
		bed.discovery.mu.Lock()
		defer bed.discovery.mu.Unlock()
		return len(bed.discovery.heldAnswers) > 0
	})
	next := startDiscoveryServer(t)
	next.mu.Lock()
	next.serial = 1
	next.mu.Unlock()
	next.set(endpointLine{id: "s-0", addr: bed.exchanges[0].addr(), draining: true}) // serial 2
	cfg := *bed.server.cfg
	cfg.DiscoveryAddress = next.conn.LocalAddr().String()
	if err := bed.server.Reload(&cfg); err != nil {
		t.Fatal(err)
	}
	bed.runIteration(func() {}) // the address has changed
	bed.discovery.mu.Lock()
	_, _ = bed.discovery.conn.WriteTo(bed.discovery.heldAnswers[0], bed.discovery.lastClient)
	bed.discovery.mu.Unlock()
	eventually(t, "the new list is active", func() bool { return bed.listSerial() == 2 })
	bed.runIteration(func() {
		if l := bed.server.backends.Get("s-0"); l == nil || !l.IsDraining() || bed.server.backends.Get("s-9") != nil {
			t.Errorf("%d exchanges known, s-0 is %+v", bed.server.backends.Len(), l)
		}
	})
}
