package gateway

import (
	"math"
	"testing"
)

// The next process of a controller recognizes the contexts that an earlier one assigned, and computes the same call ids
// for them. Without that, a gateway could not release a call from before a restart.
func TestNextProcessRecognizesContexts(t *testing.T) {
	t.Parallel()
	earlier, next := newIdentitySource("n0", 7), newIdentitySource("n0", 70000)
	seen := make(map[string]bool)
	for range 1000 {
		context := earlier.next("<a>")
		id := earlier.callID("<a>", context)
		if !next.isAssigned("<a>", context) || next.callID("<a>", context) != id {
			t.Fatalf("context %v is not recognized", context)
		}
		if id == next.callID("<b>", context) {
			t.Errorf("gateways <a> and <b> share the call id %s", id)
		}
		seen[id] = true
	}
	if len(seen) != 1000 {
		t.Errorf("%d call ids, want 1000", len(seen))
	}
}

// A context of another gateway, or of another controller, is refused. The digest lets one in 4096 pass.
func TestContextsOfOthersAreRefused(t *testing.T) {
	t.Parallel()
	const draws, maxAccepted = 8192, 16
	own, other := newIdentitySource("n0", 1), newIdentitySource("n1", 1)
	accepted := 0
	for range draws {
		context := own.next("<a>")
		if own.isAssigned("<b>", context) || other.isAssigned("<a>", context) {
			accepted++
		}
	}
	if accepted > maxAccepted {
		t.Errorf("%d of %d contexts of others are accepted, want at most %d", accepted, draws, maxAccepted)
	}
}

func TestReservedContextsAreNotAssigned(t *testing.T) {
	t.Parallel()
	for _, context := range []contextID{nullContextID, chooseContextID, allContextID} {
		source := newIdentitySource("n0", 0)
		if source.isAssigned("<a>", context) {
			t.Errorf("the reserved context %v counts as assigned", context)
		}
	}
	wrapping := newIdentitySource("n0", math.MaxUint32-1)
	for range 4 {
		if context := wrapping.next("<a>"); context.isReserved() {
			t.Errorf("the reserved context %v was assigned", context)
		}
	}
}
