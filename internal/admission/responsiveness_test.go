package admission

import (
	"math"
	"slices"
	"testing"
	"time"
)

// Lost set-ups must not keep a server from all calls for as long as they last: another goes
// and tells, whatever the ceiling, and what the silence has cost is given back.
func TestProbeFindsLostAttempts(t *testing.T) {
	for lost := 1; lost <= 2; lost++ {
		r := newTestController(t, testSettings(), serverA)
		r.offerSteadily(20*millisecond, 4*time.Second, 30*millisecond)
		s := r.machine.servers[0]
		for range lost { // they are never answered
			if _, to := r.offer("write", 0); to != "a" {
				t.Fatal("a steady server is not sent to")
			}
		}
		r.advance(1200 * millisecond)
		if math.IsInf(s.limit.rate, 1) {
			t.Fatal("a silent server is not pressed")
		}
		id, to := r.offer("read", 0)
		if to != "a" {
			t.Fatalf("%d lost: no scout goes", lost)
		}
		if _, to := r.offer("read", 0); to != "" {
			t.Errorf("%d lost: two scouts at once", lost)
		}
		r.advance(30 * millisecond)
		r.establish(id, to, 30*millisecond)
		if !math.IsInf(s.limit.rate, 1) || len(s.attempts.pending) > 0 {
			t.Errorf("%d lost: ceiling %v, %d pending", lost, s.limit.rate, len(s.attempts.pending))
		}
	}
}

// Answers to set-ups sent with a lost one tell nothing of it; one sent later that is not late
// does. A 'processor full' is never excused.
func TestLostAttemptKeepsSuspicionOpen(t *testing.T) {
	for _, full := range []bool{false, true} {
		r := newTestController(t, testSettings(), serverA)
		r.offerSteadily(20*millisecond, 4*time.Second, 30*millisecond)
		s := r.machine.servers[0]
		var ids []string
		for range 3 { // the first is lost
			id, to := r.offer("write", 0)
			if to != "a" {
				t.Fatal("a steady server is not sent to")
			}
			ids = append(ids, id)
			r.advance(95 * millisecond)
		}
		for i := 0; math.IsInf(s.limit.rate, 1); i++ {
			if i > 100 {
				t.Fatal("a silent server is not pressed")
			}
			r.advance(5 * millisecond)
		}
		if full {
			r.endAttempt(ids[1], "a", ServerBusy, CauseProcessorBusy)
		} else {
			r.establish(ids[1], "a", 450*millisecond)
		}
		r.establish(ids[2], "a", 400*millisecond)
		if excused := math.IsInf(s.limit.rate, 1); excused == full {
			t.Errorf("processor full %v: excused %v", full, excused)
		}
	}
}

// What a server's silence has cost it is given back when its connection turns out to have
// failed, and its calls may go there again once the guard has passed.
func TestDeadConnectionClearsSuspicion(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	r.offerSteadily(20*millisecond, 4*time.Second, 30*millisecond)
	s := r.machine.servers[0]
	var out []string
	for range 3 {
		id, to := r.offer("write", 0)
		if to != "a" {
			t.Fatal("a steady server is not sent to")
		}
		out = append(out, id)
	}
	r.advance(700 * millisecond)
	if math.IsInf(s.limit.rate, 1) || s.limit.provenBurst > 0 {
		t.Fatal("a silent server is not pressed")
	}
	for _, id := range out {
		r.endAttempt(id, "a", ConnectionLost, CauseConnectionUnresponsive)
	}
	if !math.IsInf(s.limit.rate, 1) {
		t.Errorf("ceiling %v after the connection failed", s.limit.rate)
	}
	if acts := r.advance(255 * millisecond); sentServer(acts) != "a" {
		t.Errorf("not sent again: %v", acts)
	}
}

// A set-up that was overtaken is lost; it must not look like a wait, and is sent again.
func TestLostAttempt(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	lost, s := r.offer("read", 0)
	r.advance(300 * millisecond)
	if n := r.offerSteadily(100*millisecond, 400*millisecond, 40*millisecond); n != 4 {
		t.Errorf("%d of 4 calls passed beside a lost one", n)
	}
	r.offer("read", 0)
	if !math.IsInf(r.machine.servers[0].limit.rate, 1) {
		t.Error("a lost set-up set a ceiling")
	}
	if r.advance(200 * millisecond); !r.machine.calls.byID[lost].isCanceled {
		t.Error("a lost set-up was not called off")
	}
	r.endAttempt(lost, s, Canceled, CauseNone)
	if acts := r.advance(260 * millisecond); sentServer(acts) != "a" {
		t.Errorf("a lost set-up was not sent again: %v", acts)
	}
}

// A node that sends little must find out too whether a single set-up was lost.
func TestSingleLostAttemptDoesNotBlock(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	r.offerSteadily(100*millisecond, 4*time.Second, 40*millisecond)
	r.offer("read", 0)
	r.advance(700 * millisecond)
	if _, s := r.offer("read", 0); s != "a" {
		t.Error("one unanswered set-up at a server that was quick holds all calls back")
	}
}

// Answers that waited for a node that stood still are not slow servers.
func TestControllerStall(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	r.offerSteadily(100*millisecond, 4*time.Second, 40*millisecond)
	one, s := r.offer("read", 0)
	two, _ := r.offer("read", 0)
	r.now += 1500 * millisecond // no timer was rung meanwhile
	r.establish(one, s, 1500*millisecond)
	r.establish(two, s, 1500*millisecond)
	if c := r.machine.servers[0].limit.rate; !math.IsInf(c, 1) {
		t.Errorf("the node's own pause set a ceiling of %v", c)
	}
}

// A server that takes set-ups and answers none is left, and its calls are moved.
func TestUnresponsiveServer(t *testing.T) {
	r := newTestController(t, testSettings(), serverA, serverB)
	r.offerSteadily(100*millisecond, 4*time.Second, 50*millisecond)
	r.machine.servers[1].ramp.tokens = 2
	id, s := r.offer("read", 0)
	r.offer("read", 0)
	acts := r.advance(800 * millisecond)
	if hasAction[CancelAttempt](acts) {
		t.Error("a call was called off though no other server is known to answer quickly")
	}
	other, _ := r.offer("read", 1)
	r.establish(other, "b", 40*millisecond)
	acts = r.advance(100 * millisecond)
	if !slices.Contains(acts, Action(CancelAttempt{CallID: id, Attempt: 0, Reason: ReasonServerUnresponsive})) {
		t.Fatalf("the call at a silent server was not called off: %v", acts)
	}
	if _, s := r.offer("write", 0); s == "a" {
		t.Error("a new call went to a silent server")
	}
	r.endAttempt(id, s, Canceled, CauseNone)
	r.machine.servers[1].ramp.tokens = 1
	if acts := r.advance(300 * millisecond); sentServer(acts) != "b" {
		t.Errorf("the call was not moved: %v", acts)
	}
}

func TestCancellationCountsAsTimeout(t *testing.T) {
	r := newTestControllers(t, 100, serverA, serverB)[0]
	for range 20 { // both answer quickly, one call in two seconds each
		for first, name := range []string{"a", "b"} {
			id, _ := r.offer("read", first)
			r.establish(id, name, 50*millisecond)
		}
		r.advance(2 * time.Second)
	}
	was := r.machine.rate(r.machine.findServer("a"), &r.machine.findServer("a").counts.answered)
	id, _ := r.offer("read", 0)
	called := false
	for range 40 {
		other, _ := r.offer("read", 1)
		r.establish(other, "b", 50*millisecond)
		called = hasAction[CancelAttempt](r.advance(50*millisecond)) || called
	}
	r.endAttempt(id, "a", Canceled, CauseNone)
	if got := r.machine.findServer("a").limit.rate; !called || got > was/2 {
		t.Errorf("called off: %v; ceiling %.2f/s of %.2f/s answered before", called, got, was)
	}
}

// Where answers are quick a set-up that was overtaken is lost long before a period
// has gone by, and does not press its server.
func TestLostAttemptLimitsNoQuickServer(t *testing.T) {
	set := testSettings()
	set.ResendInterval = 120 * millisecond
	r := newTestController(t, set, serverA)
	r.offerSteadily(20*millisecond, 4*time.Second, 15*millisecond)
	if _, s := r.offer("read", 0); s == "" {
		t.Fatal("the server was not used")
	}
	var out []string // answered 40 ms after they went out
	for range 30 {
		r.advance(10 * millisecond)
		if id, s := r.offer("read", 0); s != "" {
			out = append(out, id)
		}
		if len(out) > 3 {
			r.establish(out[0], "a", 40*millisecond)
			out = out[1:]
		}
	}
	if c := r.machine.servers[0].limit.rate; !math.IsInf(c, 1) {
		t.Errorf("one lost set-up set a ceiling of %v", c)
	}
}

// A lone set-up that waits is called off while answers elsewhere are quick, as its server may be silent,
// and is left alone where they are late: there it would only add its work at the next server to what it
// has begun at the first.
func TestSingleAttemptIsKeptInOverload(t *testing.T) {
	for _, c := range []struct {
		took time.Duration
		want bool
	}{{60 * millisecond, true}, {900 * millisecond, false}} {
		r := newControllerOfManyServers(t)
		for i := range 12 { // what the node has heard of late
			id, s := r.offer("write", i)
			r.advance(c.took)
			if s != "" {
				r.establish(id, s, c.took)
			}
		}
		id, s := r.offer("read", 20)
		if s != "s20" {
			t.Fatalf("answers after %v: the call went to %q", c.took, s)
		}
		off := false
		for i := range 8 { // another server answers quickly all the while, and a third as before
			other, o := r.offer("write", 12+i%4)
			third, p := r.offer("write", 16+i%4)
			for _, a := range r.advance(150 * millisecond) {
				x, is := a.(CancelAttempt)
				off = off || is && x.CallID == id
			}
			if o != "" {
				r.establish(other, o, 60*millisecond)
			}
			if p != "" {
				r.establish(third, p, c.took)
			}
		}
		if off != c.want {
			t.Errorf("answers after %v: called off %v, want %v", c.took, off, c.want)
		}
	}
}
