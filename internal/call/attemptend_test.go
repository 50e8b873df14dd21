package call

import (
	"testing"

	"olivedale/internal/admission"
)

// Only ends that prove that nothing ran may lead to a retry without the retry guard.
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
		isProof := result == admission.ServerBusy || result == admission.DialFailed || result == admission.NotSent
		if isProof != wantProof[e] {
			t.Errorf("%v: reported as proof: %v", e, isProof)
		}
		if e.String() == "" {
			t.Errorf("end %d has no name", e)
		}
	}
}
