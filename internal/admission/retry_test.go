package admission

import (
	"testing"
	"time"
)

// A call whose attempt may still be running is retried only after the retry guard.
func TestRetryGuard(t *testing.T) {
	for _, result := range []AttemptResult{ResultTimedOut, ResultConnectionLost, ResultCanceled} {
		tc := newTestController(t, testSettings(), serverA, serverB)
		id, s := tc.offer("write", 0)
		tc.advance(100 * millisecond)
		if acts := tc.endAttempt(id, s, result, CauseNone); hasAction[SendAttempt](acts) {
			t.Errorf("result %v: retried immediately", result)
		}
		if acts := tc.advance(245 * millisecond); hasAction[SendAttempt](acts) {
			t.Errorf("result %v: retried within the retry guard", result)
		}
		if acts := tc.advance(10 * millisecond); sentServer(acts) != "b" {
			t.Errorf("result %v: not retried after the retry guard: %v", result, acts)
		}
	}
}

func TestServerErrorIsRetried(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA, serverB)
	id, s := tc.offer("read", 0)
	if acts := tc.endAttempt(id, s, ResultServerError, CauseNone); sentServer(acts) != "b" {
		t.Errorf("a call was not retried at another server after a server error: %v", acts)
	}
}

func TestMaxAttempts(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts = 1
	tc := newTestController(t, settings, serverA, serverB)
	id, s := tc.offer("write", 0)
	acts := tc.endAttempt(id, s, ResultDialFailed, CauseNone)
	if hasAction[SendAttempt](acts) || !hasAction[FailCall](acts) {
		t.Errorf("got %v, want the call to fail after its only attempt", acts)
	}
}

// A rejection carries a retry-after time.
func TestRejectionCarriesRetryAfter(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	tc.machine.servers[0].backoffUntil = tc.now + 2*time.Second
	tc.offer("read", 0)
	if rejection, ok := tc.actions[len(tc.actions)-1].(RejectCall); !ok || rejection.RetryAfter != 2*time.Second {
		t.Errorf("got %+v, want a rejection with a retry-after time of 2 s", tc.actions)
	}
	tc.machine.servers[0].backoffUntil = tc.now + time.Hour
	tc.offer("read", 0)
	if rejection, ok := tc.actions[len(tc.actions)-1].(RejectCall); !ok || rejection.RetryAfter != tc.machine.window {
		t.Errorf("got %+v, want a rejection with a retry-after time of one window", tc.actions)
	}
	tc.offerCall(CallOffered{CallID: "odd", Class: "nobody", Deadline: tc.now + time.Second})
	if rejection, ok := tc.actions[len(tc.actions)-1].(RejectCall); !ok || rejection.RetryAfter <= 0 {
		t.Errorf("an unknown class: %+v, want a rejection with a retry-after time", tc.actions)
	}
}
