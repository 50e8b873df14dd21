package server

import (
	"testing"
	"time"

	"olivedale/internal/codec/jsonl"
)

// The name service's socket must not be taken for a caller's connection.
func TestDiscoverySocketIsNoCaller(t *testing.T) {
	t.Parallel()
	s, h := startTestServer(t, false), newAnswerLog()
	k := dialJSONCaller(t, s.jsonAddress(), h, "aaaaaaaa")
	eventually(t, "answers are read", func() bool {
		n := make(chan int, 1)
		s.server.loop.Execute(func() { n <- s.server.discovery.counters.answers })
		return <-n > 2
	})
	k.send(&jsonl.Message{Verb: jsonl.Echo, HasRC: true})
	h.await(t, "echo", 1)
	n := make(chan int, 1)
	s.server.loop.Execute(func() { n <- s.server.frontends.host.Counters.Accepted + 100*s.server.malformed.count })
	if got := <-n; got != 2 { // the first is the node's own
		t.Errorf("clients + 100 malformed: %d, want 2", got)
	}
}

// The name service answers each socket once and never again: a drain that comes later is heard over another
// socket, in time to stop new work 2 s after it counts as told.
func TestDiscoverySilentOnOneSocket(t *testing.T) {
	t.Parallel()
	x := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, nil)
	eventually(t, "a first answer", func() bool { return x.server.discoveryAnswers(x) > 0 })
	x.discovery.mu.Lock()
	x.discovery.maxAnswersPerClient = 1
	clear(x.discovery.answersByClient)
	x.discovery.mu.Unlock()
	eventually(t, "a last answer on this socket", func() bool {
		x.discovery.mu.Lock()
		defer x.discovery.mu.Unlock()
		for _, n := range x.discovery.answersByClient {
			if n > 1 {
				return true
			}
		}
		return false
	})
	began := time.Now()
	x.discovery.set(endpointLine{id: "s-0", addr: x.exchanges[0].addr(), draining: true})
	eventually(t, "the drain is heard", func() (draining bool) {
		x.runIteration(func() { draining = x.server.backends.Get("s-0").IsDraining() })
		return draining
	})
	if took := time.Since(began); took > 3500*time.Millisecond {
		t.Errorf("a drain was heard after %v", took)
	}
}

// The name service says nothing more at all: the list at hand goes on serving, and sockets are neither piled up nor
// opened ever faster.
func TestDiscoverySilentForGood(t *testing.T) {
	t.Parallel()
	x := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, nil)
	eventually(t, "a first answer", func() bool { return x.server.discoveryAnswers(x) > 0 })
	x.discovery.mu.Lock()
	x.discovery.queriesToDrop = 1 << 30
	clear(x.discovery.answersByClient)
	x.discovery.mu.Unlock()
	eventually(t, "two sockets after the first", func() bool {
		x.discovery.mu.Lock()
		defer x.discovery.mu.Unlock()
		return len(x.discovery.answersByClient) >= 3
	})
	x.runIteration(func() {
		if r := x.server.discovery; r.silenceTimeout < 3*time.Second || r.silenceTimeout > maxSilenceTimeout*11/10 {
			t.Errorf("after three the next may be silent for %v", r.silenceTimeout)
		}
	})
	id := x.caller.setUp("1", 2*time.Second)
	x.exchanges[0].awaitReceived("INVITE", id, 1)
	x.exchanges[0].send(sipResponse(id, "INVITE", 200, 1, "a"))
	if got := x.answers.await(t, id, 1); got != "stands a" {
		t.Error(got)
	}
}

// SIGHUP moves the name service between question and answer: what the old one still says is not read, also where its
// serial is the higher one.
func TestDiscoveryAddressChangesBeforeAnswer(t *testing.T) {
	t.Parallel()
	x := startTestbed(t, []*fakeExchange{startFakeExchange(t, "127.0.0.1:0")}, nil)
	eventually(t, "a first answer", func() bool { return x.server.discoveryAnswers(x) > 0 })
	x.discovery.mu.Lock()
	x.discovery.holdsAnswers = true
	x.discovery.mu.Unlock()
	x.discovery.set(endpointLine{id: "s-9", addr: x.exchanges[0].addr()})
	for range 7 {
		x.discovery.set(endpointLine{id: "s-9", addr: x.exchanges[0].addr()})
	}
	eventually(t, "an answer held back", func() bool {
		x.discovery.mu.Lock()
		defer x.discovery.mu.Unlock()
		return len(x.discovery.heldAnswers) > 0
	})
	next := startDiscoveryServer(t)
	next.mu.Lock()
	next.serial = 1
	next.mu.Unlock()
	next.set(endpointLine{id: "s-0", addr: x.exchanges[0].addr(), draining: true}) // serial 2
	cfg := *x.server.cfg
	cfg.DiscoveryAddress = next.conn.LocalAddr().String()
	x.server.Reload(&cfg)
	x.runIteration(func() {}) // the move is done
	x.discovery.mu.Lock()
	_, _ = x.discovery.conn.WriteTo(x.discovery.heldAnswers[0], x.discovery.lastClient)
	x.discovery.mu.Unlock()
	eventually(t, "the new list", func() bool { return x.listSerial() == 2 })
	x.runIteration(func() {
		if l := x.server.backends.Get("s-0"); l == nil || !l.IsDraining() || x.server.backends.Get("s-9") != nil {
			t.Errorf("%d exchanges are known, s-0 is %+v", x.server.backends.Len(), l)
		}
	})
}
