package server

import (
	"fmt"
	"testing"
	"time"

	"olivedale/internal/codec/h248"
)

// A server that says that it drains gets nothing new from then on; one that is out
// has lost its calls, and one that returns is used again.
func TestServerServiceChange(t *testing.T) {
	s, h := startTestServer(t, true, true), newAnswerLog()
	k := dialGatewayCaller(t, s.gatewayAddress(), h, "<p>")
	key := k.setUp("keep.1", 4*time.Second)
	h.await(t, key, 1)
	id := uint32(100)
	say := func(method string) {
		id++
		b, err := h248.AppendFrame(nil, &h248.Message{MID: "<server>", Transactions: []*h248.Transaction{{ID: id,
			Actions: []*h248.Action{{Context: "-", Commands: []*h248.Command{{Name: "ServiceChange", Termination: "ROOT",
				Descriptors: []*h248.Node{{Name: "Services", Kids: []*h248.Node{{Name: "Method", Value: method}}}}}}}}}}})
		if err != nil {
			t.Fatal(err)
		}
		s.exchanges[0].mu.Lock()
		defer s.exchanges[0].mu.Unlock()
		for c := range s.exchanges[0].conns {
			_, _ = c.Write(b)
		}
	}
	draining := func() bool {
		ch := make(chan bool, 1)
		s.server.loop.Execute(func() { ch <- s.server.backends.Get("s-0").IsDraining() })
		return <-ch
	}
	invites := func() string {
		s.exchanges[0].mu.Lock()
		defer s.exchanges[0].mu.Unlock()
		return fmt.Sprint(s.exchanges[0].invited)
	}
	say("Graceful")
	eventually(t, "it drains", draining)
	before := invites()
	if got := h.await(t, k.setUp("keep.2", 4*time.Second), 1); got != "stands "+acceptedDescription("keep.2") {
		t.Errorf("while one server drains: %q", got)
	}
	say("Forced")
	if got := h.await(t, key, 2); got != "stands "+acceptedDescription("keep.1")+" end 41" {
		t.Errorf("the call at the server that is out: %q", got)
	}
	if got := invites(); got != before {
		t.Errorf("invited %s times, %s before it drained", got, before)
	}
	say("Restart")
	eventually(t, "it is back", func() bool { return !draining() })
}
