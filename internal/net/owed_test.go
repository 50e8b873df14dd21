package net

import (
	"testing"
	"time"

	"lapiscourse/internal/net/sip"
)

// An exchange reads nothing and what it was sent waits here: a set-up is not left in that buffer, where nothing takes
// it back. It goes elsewhere, and its caller leaves: when the exchange reads on, it hears nothing of that call.
func TestSetUpNotLeftInABuffer(t *testing.T) {
	t.Parallel()
	a, b := startFar(t, "127.0.0.1:0"), startFar(t, "127.0.0.1:0")
	a.mu.Lock()
	a.held = true
	a.mu.Unlock()
	x := startScene(t, []*far{a, b}, &fixed{servers: []string{"s-0", "s-1"}})
	x.turn(func() {
		s := x.n.links["s-0"].s
		_ = s.c.SetWriteBuffer(4 << 10)
		for s.c.OutboundBuffered() == 0 {
			x.n.write(s, func(b []byte) []byte {
				for range 100 {
					b = sip.AppendRequest(b, &sip.Request{Method: "OPTIONS", Number: "ping", CallID: tag, CSeq: 1})
				}
				return b
			})
			x.n.flush()
		}
	})
	id := x.k.setUp("1", 3*time.Second)
	eventually(t, "the attempt is out", func() (out bool) {
		x.turn(func() { out = len(x.n.links["s-0"].out)+len(x.n.links["s-1"].out) > 0 })
		return out
	})
	x.k.hangUp(id)
	x.settled()
	go a.read(a.connected())
	eventually(t, "the buffer is empty", func() (empty bool) {
		x.turn(func() { empty = x.n.links["s-0"].s.c.OutboundBuffered() == 0 })
		return empty
	})
	x.module.mu.Lock()
	x.module.servers = []string{"s-0"}
	x.module.mu.Unlock()
	last := x.k.setUp("1", 3*time.Second)
	a.awaits("INVITE", last, 1)
	if n := a.heard("INVITE", id); n != 0 {
		t.Fatalf("%d set-ups of a caller that had left", n)
	}
	b.awaits("CANCEL", id, 1)
}
