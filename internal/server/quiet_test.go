package server

import (
	"testing"
	"time"
)

// serial is that of the list the node goes by.
func (x *scene) serial() (n uint32) {
	x.turn(func() { n = x.n.endpoints.Serial() })
	return n
}

// The name service answers each socket once and never again: a drain that comes later is heard over another
// socket, in time to stop new work 2 s after it counts as told.
func TestNamesFallSilentOnASocket(t *testing.T) {
	t.Parallel()
	x := startScene(t, []*far{startFar(t, "127.0.0.1:0")}, nil)
	eventually(t, "a first answer", func() bool { return x.n.namesAnswers(x) > 0 })
	x.names.mu.Lock()
	x.names.each = 1
	clear(x.names.given)
	x.names.mu.Unlock()
	eventually(t, "a last answer on this socket", func() bool {
		x.names.mu.Lock()
		defer x.names.mu.Unlock()
		for _, n := range x.names.given {
			if n > 1 {
				return true
			}
		}
		return false
	})
	began := time.Now()
	x.names.set(nameLine{id: "s-0", addr: x.far[0].addr(), draining: true})
	eventually(t, "the drain is heard", func() (draining bool) {
		x.turn(func() { draining = x.n.backends.Get("s-0").IsDraining() })
		return draining
	})
	if took := time.Since(began); took > 3500*time.Millisecond {
		t.Errorf("a drain was heard after %v", took)
	}
}

func (n *Server) namesAnswers(x *scene) (answers int) {
	x.turn(func() { answers = n.discovery.counters.answers })
	return answers
}

// The name service says nothing more at all: the list at hand goes on serving, and sockets are neither piled up nor
// opened ever faster.
func TestNamesSilentForGood(t *testing.T) {
	t.Parallel()
	x := startScene(t, []*far{startFar(t, "127.0.0.1:0")}, nil)
	eventually(t, "a first answer", func() bool { return x.n.namesAnswers(x) > 0 })
	x.names.mu.Lock()
	x.names.drop = 1 << 30
	clear(x.names.given)
	x.names.mu.Unlock()
	eventually(t, "two sockets after the first", func() bool {
		x.names.mu.Lock()
		defer x.names.mu.Unlock()
		return len(x.names.given) >= 3
	})
	x.turn(func() {
		if r := x.n.discovery; r.silenceTimeout < 3*time.Second || r.silenceTimeout > maxSilenceTimeout*11/10 {
			t.Errorf("after three the next may be silent for %v", r.silenceTimeout)
		}
	})
	id := x.k.setUp("1", 2*time.Second)
	x.far[0].awaits("INVITE", id, 1)
	x.far[0].send(response(id, "INVITE", 200, 1, "a"))
	if got := x.h.wait(t, id, 1); got != "stands a" {
		t.Error(got)
	}
}

// SIGHUP moves the name service between question and answer: what the old one still says is not read, also where its
// serial is the higher one.
func TestNamesMovedBeforeTheAnswer(t *testing.T) {
	t.Parallel()
	x := startScene(t, []*far{startFar(t, "127.0.0.1:0")}, nil)
	eventually(t, "a first answer", func() bool { return x.n.namesAnswers(x) > 0 })
	x.names.mu.Lock()
	x.names.keep = true
	x.names.mu.Unlock()
	x.names.set(nameLine{id: "s-9", addr: x.far[0].addr()})
	for range 7 {
		x.names.set(nameLine{id: "s-9", addr: x.far[0].addr()})
	}
	eventually(t, "an answer held back", func() bool {
		x.names.mu.Lock()
		defer x.names.mu.Unlock()
		return len(x.names.kept) > 0
	})
	next := startNames(t)
	next.mu.Lock()
	next.serial = 1
	next.mu.Unlock()
	next.set(nameLine{id: "s-0", addr: x.far[0].addr(), draining: true}) // serial 2
	cfg := *x.n.cfg
	cfg.DiscoveryAddress = next.c.LocalAddr().String()
	x.n.Reload(&cfg)
	x.turn(func() {}) // the move is done
	x.names.mu.Lock()
	_, _ = x.names.c.WriteTo(x.names.kept[0], x.names.asker)
	x.names.mu.Unlock()
	eventually(t, "the new list", func() bool { return x.serial() == 2 })
	x.turn(func() {
		if l := x.n.backends.Get("s-0"); l == nil || !l.IsDraining() || x.n.backends.Get("s-9") != nil {
			t.Errorf("%d exchanges are known, s-0 is %+v", x.n.backends.Len(), l)
		}
	})
}
