package admission

import (
	"math"
	"testing"
	"time"
)

// A pool whose lines all stand is not a pressed processor.
func TestNoCircuitSetsNoRateLimit(t *testing.T) {
	r := newTestController(t, testSettings(), serverA, serverB)
	id, s := r.offer("read", 0)
	if acts := r.endAttempt(id, s, ServerBusy, CauseNoCircuit); sentServer(acts) != "b" {
		t.Errorf("a call that found no line was not sent elsewhere: %v", acts)
	}
	if !math.IsInf(r.machine.servers[0].limit.rate, 1) {
		t.Error("a pool without a free line got a ceiling")
	}
	if _, s := r.offer("read", 0); s == "a" {
		t.Error("a pool without a free line was tried again at once")
	}
	r.handle(LoadReported{Server: "a", OK: true, Load: LoadReport{FreeCircuits: Optional{3, true}}})
	if _, s := r.offer("read", 0); s != "a" {
		t.Error("a pool that has lines again was not used")
	}
	if _, s := r.offer("read", 0); s == "a" {
		t.Error("three free lines for four nodes: this one took two")
	}
}

// When lines run short they must not go to calls that are worth little.
func TestScarceCircuitsTakeNoRedials(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	r.handle(LoadReported{Server: "a", OK: true, Load: LoadReport{FreeCircuits: Optional{3, true}}})
	e := CallOffered{CallID: "x", Class: "read", Number: "x", Deadline: r.now + time.Second, Redialed: true}
	if s := r.offerCall(e); s != "" {
		t.Error("a call dialled again took one of the last lines")
	}
	if _, s := r.offer("read", 0); s != "a" {
		t.Error("a fresh call got no line")
	}
}

func TestReportSetsRateLimitWithoutAttempts(t *testing.T) {
	for name, load := range map[string]LoadReport{
		"wait":    {QueueDelay: Optional{1.5, true}},
		"backlog": {QueueLength: Optional{90, true}, Capacity: Optional{60, true}},
	} {
		r := newTestControllers(t, 100, serverA)[0]
		r.handle(LoadReported{Server: "a", OK: true, Load: load})
		if _, s := r.offer("read", 0); s != "" {
			t.Errorf("%s: a call went to a server that just reported a wait of 1.5 s", name)
		}
		r.advance(5 * time.Second)
		id, _ := r.offer("read", 0)
		r.establish(id, "a", 40*millisecond)
		r.machine.findServer("a").limit.rate, r.machine.findServer("a").limit.tokens = math.Inf(1), burstSize
		r.handle(LoadReported{Server: "a", OK: true, Load: load})
		if _, s := r.offer("read", 0); s == "" {
			t.Errorf("%s: a report, perhaps late, outweighed an answer of this moment", name)
		}
	}
}

// A server's lines must not look taken once the calls on them have ended.
func TestEndedCallsFreeCircuits(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	r.handle(LoadReported{Server: "a", OK: true, Load: LoadReport{FreeCircuits: Optional{40, true}, TotalCircuits: Optional{40, true}}})
	for i := range 30 { // each ends before the next comes
		id, s := r.offer("write", 0)
		if s == "" {
			t.Fatalf("call %d found no line though all before it had ended", i)
		}
		r.establish(id, s, 20*millisecond)
		r.handle(AttemptEnded{CallID: id, Server: s, Result: Delivered, Final: true})
		r.advance(20 * millisecond)
	}
}
