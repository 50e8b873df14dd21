package transaction

import "testing"

// The store refuses new transactions beyond its limits on entries and reply bytes, and acknowledged replies free the
// space again.
func TestStoreIsBounded(t *testing.T) {
	t.Parallel()
	for _, size := range []int{1, 2000} {
		s := NewStore(10)
		taken := 0
		for id := range uint32(100) {
			if e, _ := s.Begin("<p>", id, 1); e != nil {
				taken++
				s.Complete(e, make([]byte, size), 1)
			}
		}
		if want := min(10, 10*replyBytesPerEntry/size+1); taken != want {
			t.Errorf("%d replies of %d bytes were stored, want %d", taken, size, want)
		}
		s.Acknowledge("<p>", [][2]uint32{{0, 9}})
		if s.Len() != 0 || s.ReplyBytes() != 0 {
			t.Errorf("after the acknowledgement %d entries and %d bytes are left, want none", s.Len(), s.ReplyBytes())
		}
	}
}
