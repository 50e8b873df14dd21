package admission

import (
	"testing"
	"time"
)

// Rule 5.
func TestRetryGuard(t *testing.T) {
	for _, code := range []AttemptResult{TimedOut, ConnectionLost, Canceled} {
		r := newTestController(t, testSettings(), serverA, serverB)
		id, s := r.offer("write", 0)
		r.advance(100 * millisecond)
		if acts := r.endAttempt(id, s, code, CauseNone); hasAction[SendAttempt](acts) {
			t.Errorf("code %v: sent again at once", code)
		}
		if acts := r.advance(245 * millisecond); hasAction[SendAttempt](acts) {
			t.Errorf("code %v: sent again within the guard", code)
		}
		if acts := r.advance(10 * millisecond); sentServer(acts) != "b" {
			t.Errorf("code %v: not sent again after the guard: %v", code, acts)
		}
	}
}

func TestServerErrorIsRetried(t *testing.T) {
	r := newTestController(t, testSettings(), serverA, serverB)
	id, s := r.offer("read", 0)
	if acts := r.endAttempt(id, s, ServerError, CauseNone); sentServer(acts) != "b" {
		t.Errorf("a signalling fault was not tried elsewhere: %v", acts)
	}
}

func TestMaxAttempts(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 1
	r := newTestController(t, set, serverA, serverB)
	id, s := r.offer("write", 0)
	if acts := r.endAttempt(id, s, DialFailed, CauseNone); hasAction[SendAttempt](acts) || !hasAction[FailCall](acts) {
		t.Errorf("with one attempt allowed: %v", acts)
	}
}

// Whoever is turned down is told when to come back.
func TestRejectionCarriesRetryAfter(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	r.machine.servers[0].backoffUntil = r.now + 2*time.Second
	r.offer("read", 0)
	if f, ok := r.actions[len(r.actions)-1].(RejectCall); !ok || f.RetryAfter != 2*time.Second {
		t.Errorf("got %+v, want a refusal for 2 s", r.actions)
	}
	r.machine.servers[0].backoffUntil = r.now + time.Hour
	r.offer("read", 0)
	if f, ok := r.actions[len(r.actions)-1].(RejectCall); !ok || f.RetryAfter != r.machine.window {
		t.Errorf("got %+v, want a refusal for a window", r.actions)
	}
	r.offerCall(CallOffered{CallID: "odd", Class: "nobody", Deadline: r.now + time.Second})
	if f, ok := r.actions[len(r.actions)-1].(RejectCall); !ok || f.RetryAfter <= 0 {
		t.Errorf("an unknown class: %+v, want a refusal with a wait", r.actions)
	}
}
