package admission

import (
	"math"
	"slices"
	"testing"
	"time"
)

// Lost attempts must not block a server until they time out: a probe is sent regardless of the rate limit, and its
// answer restores the limit.
func TestProbeFindsLostAttempts(t *testing.T) {
	for lost := 1; lost <= 2; lost++ {
		tc := newTestController(t, testSettings(), serverA)
		tc.offerSteadily(20*millisecond, 4*time.Second, 30*millisecond)
		s := tc.machine.servers[0]
		for range lost { // none of them is answered
			if _, server := tc.offer("write", 0); server != "a" {
				t.Fatal("a server that answers steadily received no attempt")
			}
		}
		tc.advance(1200 * millisecond)
		if math.IsInf(s.limit.rate, 1) {
			t.Fatal("a silent server has no rate limit")
		}
		id, server := tc.offer("read", 0)
		if server != "a" {
			t.Fatalf("%d lost: no probe was sent", lost)
		}
		if _, server := tc.offer("read", 0); server != "" {
			t.Errorf("%d lost: two probes were sent at once", lost)
		}
		tc.advance(30 * millisecond)
		tc.establish(id, server, 30*millisecond)
		if !math.IsInf(s.limit.rate, 1) || len(s.attempts.pending) > 0 {
			t.Errorf("%d lost: rate limit %v, %d pending", lost, s.limit.rate, len(s.attempts.pending))
		}
	}
}

// A late answer to an attempt that was sent shortly after a lost one does not clear the suspicion; a timely answer to
// a later attempt does. A rejection for overload confirms the suspicion.
func TestLostAttemptKeepsSuspicionOpen(t *testing.T) {
	for _, isRejected := range []bool{false, true} {
		tc := newTestController(t, testSettings(), serverA)
		tc.offerSteadily(20*millisecond, 4*time.Second, 30*millisecond)
		s := tc.machine.servers[0]
		var ids []string
		for range 3 { // the first is lost
			id, to := tc.offer("write", 0)
			if to != "a" {
				t.Fatal("a server that answers steadily received no attempt")
			}
			ids = append(ids, id)
			tc.advance(95 * millisecond)
		}
		for i := 0; math.IsInf(s.limit.rate, 1); i++ {
			if i > 100 {
				t.Fatal("a silent server has no rate limit")
			}
			tc.advance(5 * millisecond)
		}
		if isRejected {
			tc.endAttempt(ids[1], "a", ResultServerBusy, CauseProcessorBusy)
		} else {
			tc.establish(ids[1], "a", 450*millisecond)
		}
		tc.establish(ids[2], "a", 400*millisecond)
		if isCleared := math.IsInf(s.limit.rate, 1); isCleared == isRejected {
			t.Errorf("rejected for overload: %v, suspicion cleared: %v", isRejected, isCleared)
		}
	}
}

// When the connection of a silent server turns out to have failed, its rate limit is restored, and its calls may be
// retried there after the retry guard.
func TestDeadConnectionClearsSuspicion(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	tc.offerSteadily(20*millisecond, 4*time.Second, 30*millisecond)
	s := tc.machine.servers[0]
	var pending []string
	for range 3 {
		id, to := tc.offer("write", 0)
		if to != "a" {
			t.Fatal("a server that answers steadily received no attempt")
		}
		pending = append(pending, id)
	}
	tc.advance(700 * millisecond)
	if math.IsInf(s.limit.rate, 1) || s.limit.provenBurst > 0 {
		t.Fatal("a silent server has no rate limit")
	}
	for _, id := range pending {
		tc.endAttempt(id, "a", ResultConnectionLost, CauseConnectionUnresponsive)
	}
	if !math.IsInf(s.limit.rate, 1) {
		t.Errorf("rate limit %v after the connection failed", s.limit.rate)
	}
	if acts := tc.advance(255 * millisecond); sentServer(acts) != "a" {
		t.Errorf("the call was not retried at the server: %v", acts)
	}
}

// An overtaken attempt counts as lost: it is no evidence of a slow server, and is canceled and retried.
func TestLostAttempt(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	lost, s := tc.offer("read", 0)
	tc.advance(300 * millisecond)
	if n := tc.offerSteadily(100*millisecond, 400*millisecond, 40*millisecond); n != 4 {
		t.Errorf("%d of 4 calls were established after a lost one", n)
	}
	tc.offer("read", 0)
	if !math.IsInf(tc.machine.servers[0].limit.rate, 1) {
		t.Error("a lost attempt set a rate limit")
	}
	if tc.advance(200 * millisecond); !tc.machine.calls.byID[lost].isCanceled {
		t.Error("a lost attempt was not canceled")
	}
	tc.endAttempt(lost, s, ResultCanceled, CauseNone)
	if acts := tc.advance(260 * millisecond); sentServer(acts) != "a" {
		t.Errorf("a lost attempt was not retried: %v", acts)
	}
}

// A controller with few calls also detects that a single attempt was lost.
func TestSingleLostAttemptDoesNotBlock(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	tc.offerSteadily(100*millisecond, 4*time.Second, 40*millisecond)
	tc.offer("read", 0)
	tc.advance(700 * millisecond)
	if _, s := tc.offer("read", 0); s != "a" {
		t.Error("one unanswered attempt blocks a server that has answered quickly")
	}
}

// Answers that are delayed by a stall of the controller are no evidence of overload.
func TestControllerStall(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	tc.offerSteadily(100*millisecond, 4*time.Second, 40*millisecond)
	first, s := tc.offer("read", 0)
	second, _ := tc.offer("read", 0)
	tc.now += 1500 * millisecond // no timer fired meanwhile
	tc.establish(first, s, 1500*millisecond)
	tc.establish(second, s, 1500*millisecond)
	if rate := tc.machine.servers[0].limit.rate; !math.IsInf(rate, 1) {
		t.Errorf("the controller's own stall set a rate limit of %v", rate)
	}
}

// A server that answers no attempts receives no new calls, and its open calls are moved to another server.
func TestUnresponsiveServer(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA, serverB)
	tc.offerSteadily(100*millisecond, 4*time.Second, 50*millisecond)
	tc.machine.servers[1].ramp.tokens = 2
	id, s := tc.offer("read", 0)
	tc.offer("read", 0)
	acts := tc.advance(800 * millisecond)
	if hasAction[CancelAttempt](acts) {
		t.Error("an attempt was canceled though no other server is known to answer quickly")
	}
	other, _ := tc.offer("read", 1)
	tc.establish(other, "b", 40*millisecond)
	acts = tc.advance(100 * millisecond)
	if !slices.Contains(acts, Action(CancelAttempt{CallID: id, Attempt: 0, Reason: ReasonServerUnresponsive})) {
		t.Fatalf("the attempt at an unresponsive server was not canceled: %v", acts)
	}
	if _, s := tc.offer("write", 0); s == "a" {
		t.Error("a new call went to an unresponsive server")
	}
	tc.endAttempt(id, s, ResultCanceled, CauseNone)
	tc.machine.servers[1].ramp.tokens = 1
	if acts := tc.advance(300 * millisecond); sentServer(acts) != "b" {
		t.Errorf("the call was not moved to another server: %v", acts)
	}
}

func TestCancellationCountsAsTimeout(t *testing.T) {
	tc := newTestControllers(t, 100, serverA, serverB)[0]
	for range 20 { // both servers answer quickly, each one call every two seconds
		for pool, name := range []string{"a", "b"} {
			id, _ := tc.offer("read", pool)
			tc.establish(id, name, 50*millisecond)
		}
		tc.advance(2 * time.Second)
	}
	rateBefore := tc.machine.rate(tc.machine.findServer("a"), &tc.machine.findServer("a").counts.answered)
	id, _ := tc.offer("read", 0)
	isCanceled := false
	for range 40 {
		other, _ := tc.offer("read", 1)
		tc.establish(other, "b", 50*millisecond)
		isCanceled = hasAction[CancelAttempt](tc.advance(50*millisecond)) || isCanceled
	}
	tc.endAttempt(id, "a", ResultCanceled, CauseNone)
	if got := tc.machine.findServer("a").limit.rate; !isCanceled || got > rateBefore/2 {
		t.Errorf("canceled: %v; rate limit %.2f/s of %.2f/s answered before", isCanceled, got, rateBefore)
	}
}

// If answers are quick, an overtaken attempt counts as lost well before a period has passed, and does not limit its
// server.
func TestLostAttemptLimitsNoQuickServer(t *testing.T) {
	settings := testSettings()
	settings.ResendInterval = 120 * millisecond
	tc := newTestController(t, settings, serverA)
	tc.offerSteadily(20*millisecond, 4*time.Second, 15*millisecond)
	if _, s := tc.offer("read", 0); s == "" {
		t.Fatal("the server was not used")
	}
	var pending []string // answered 40 ms after they were sent
	for range 30 {
		tc.advance(10 * millisecond)
		if id, s := tc.offer("read", 0); s != "" {
			pending = append(pending, id)
		}
		if len(pending) > 3 {
			tc.establish(pending[0], "a", 40*millisecond)
			pending = pending[1:]
		}
	}
	if rate := tc.machine.servers[0].limit.rate; !math.IsInf(rate, 1) {
		t.Errorf("one lost attempt set a rate limit of %v", rate)
	}
}

// A single pending attempt is canceled while other servers answer quickly, because its server may be unresponsive. It
// is kept while they answer late, because a retry would only add work at another overloaded server.
func TestSingleAttemptIsKeptInOverload(t *testing.T) {
	for _, c := range []struct {
		took time.Duration
		want bool
	}{{60 * millisecond, true}, {900 * millisecond, false}} {
		tc := newControllerOfManyServers(t)
		for i := range 12 { // recent answers
			id, s := tc.offer("write", i)
			tc.advance(c.took)
			if s != "" {
				tc.establish(id, s, c.took)
			}
		}
		id, s := tc.offer("read", 20)
		if s != "s20" {
			t.Fatalf("answers after %v: the call went to %q", c.took, s)
		}
		isCanceled := false
		for i := range 8 { // one server answers quickly throughout, a third one after c.took
			other, otherServer := tc.offer("write", 12+i%4)
			third, thirdServer := tc.offer("write", 16+i%4)
			for _, a := range tc.advance(150 * millisecond) {
				x, is := a.(CancelAttempt)
				isCanceled = isCanceled || is && x.CallID == id
			}
			if otherServer != "" {
				tc.establish(other, otherServer, 60*millisecond)
			}
			if thirdServer != "" {
				tc.establish(third, thirdServer, c.took)
			}
		}
		if isCanceled != c.want {
			t.Errorf("answers after %v: attempt canceled: %v, want %v", c.took, isCanceled, c.want)
		}
	}
}
