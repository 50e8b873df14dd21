package call

import (
	"testing"

	"olivedale/internal/admission"
)

// Only an end that proves that the call has not run may lead to a retry that bypasses the retry guard.
func TestEndsThatProveThatNothingRan(t *testing.T) {
	wantProof := map[AttemptEnd]bool{
		NoCircuit:     true,
		ProcessorBusy: true,
		NotForwarded:  true,
		NotSent:       true,
		DialRefused:   true,
		DialTimedOut:  true,
		DialFailed:    true,
	}
	for _, e := range AllAttemptEnds() {
		result, _ := e.admissionResult()
		isProof := result == admission.ResultServerBusy || result == admission.ResultDialFailed || result == admission.ResultNotSent
		if isProof != wantProof[e] {
			t.Errorf("%v is reported as a proof that the call has not run: %v", e, isProof)
		}
		if e.String() == "" {
			t.Errorf("end %d has no name", e)
		}
	}
}

// The names of the ends are stored in records and used in logs and metrics, so they must not change.
func TestAttemptEndNamesAreStable(t *testing.T) {
	want := []string{
		"completed", "cut", "callee_busy", "fault", "no_circuit", "processor_full", "never_left",
		"broke_on_way", "unsent", "dial_refused", "dial_timed_out", "dial_failed", "connection_reset",
		"connection_shut", "mute", "malformed", "timed_out", "called_off", "caller_left",
		"exchange_lost", "stopped",
	}
	all := AllAttemptEnds()
	if len(all) != len(want) {
		t.Fatalf("got %d attempt ends, want %d", len(all), len(want))
	}
	for i, e := range all {
		if e.String() != want[i] {
			t.Errorf("end %d is named %q, want %q", i, e, want[i])
		}
	}
	if got := attemptEndCount.String(); got != "unknown" {
		t.Errorf("an undefined end is named %q", got)
	}
}
