package admission

import (
	"math"
	"testing"
	"time"
)

// A pool without a free circuit is not treated as an overloaded processor.
func TestNoCircuitSetsNoRateLimit(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA, serverB)
	id, s := tc.offer("read", 0)
	if acts := tc.endAttempt(id, s, ResultServerBusy, CauseNoCircuit); sentServer(acts) != "b" {
		t.Errorf("a call that found no circuit was not sent elsewhere: %v", acts)
	}
	if !math.IsInf(tc.machine.servers[0].limit.rate, 1) {
		t.Error("a pool without a free circuit got a rate limit")
	}
	if _, s := tc.offer("read", 0); s == "a" {
		t.Error("a pool without a free circuit was tried again at once")
	}
	tc.handle(LoadReported{Server: "a", OK: true, Load: LoadReport{FreeCircuits: Optional{3, true}}})
	if _, s := tc.offer("read", 0); s != "a" {
		t.Error("a pool with free circuits again received no call")
	}
	if _, s := tc.offer("read", 0); s == "a" {
		t.Error("one of four controllers took two of three free circuits")
	}
}

// The last free circuits are reserved for calls that are not redialed.
func TestScarceCircuitsTakeNoRedials(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	tc.handle(LoadReported{Server: "a", OK: true, Load: LoadReport{FreeCircuits: Optional{3, true}}})
	e := CallOffered{CallID: "x", Class: "read", Number: "x", Deadline: tc.now + time.Second, Redialed: true}
	if s := tc.offerCall(e); s != "" {
		t.Error("a redialed call took one of the last circuits")
	}
	if _, s := tc.offer("read", 0); s != "a" {
		t.Error("a new call got no circuit")
	}
}

func TestReportSetsRateLimitWithoutAttempts(t *testing.T) {
	for name, load := range map[string]LoadReport{
		"wait":    {QueueDelay: Optional{1.5, true}},
		"backlog": {QueueLength: Optional{90, true}, Capacity: Optional{60, true}},
	} {
		tc := newTestControllers(t, 100, serverA)[0]
		tc.handle(LoadReported{Server: "a", OK: true, Load: load})
		if _, s := tc.offer("read", 0); s != "" {
			t.Errorf("%s: a call was sent to a server that had just reported a wait of 1.5 s", name)
		}
		tc.advance(5 * time.Second)
		id, _ := tc.offer("read", 0)
		tc.establish(id, "a", 40*millisecond)
		tc.machine.findServer("a").limit.rate, tc.machine.findServer("a").limit.tokens = math.Inf(1), burstSize
		tc.handle(LoadReported{Server: "a", OK: true, Load: load})
		if _, s := tc.offer("read", 0); s == "" {
			t.Errorf("%s: a load report, which may be outdated, overrode a recent answer", name)
		}
	}
}

// The circuits of calls that have ended count as free.
func TestEndedCallsFreeCircuits(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	tc.handle(LoadReported{
		Server: "a", OK: true,
		Load: LoadReport{FreeCircuits: Optional{40, true}, TotalCircuits: Optional{40, true}},
	})
	for i := range 30 { // each call ends before the next one is offered
		id, s := tc.offer("write", 0)
		if s == "" {
			t.Fatalf("call %d got no circuit although all earlier calls had ended", i)
		}
		tc.establish(id, s, 20*millisecond)
		tc.handle(AttemptEnded{CallID: id, Server: s, Result: ResultDelivered, Final: true})
		tc.advance(20 * millisecond)
	}
}
