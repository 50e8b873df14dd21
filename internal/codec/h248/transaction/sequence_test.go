package transaction

import (
	"math"
	"testing"
)

func TestIDSequenceSkipsZero(t *testing.T) {
	t.Parallel()
	s := NewIDSequence(math.MaxUint32 - 1)
	if first, second := s.Next(), s.Next(); first != math.MaxUint32 || second != 1 {
		t.Errorf("the ids wrap from %d to %d, want from %d to 1", first, second, uint32(math.MaxUint32))
	}
}
