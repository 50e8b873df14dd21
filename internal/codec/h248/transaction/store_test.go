package transaction

import (
	"testing"

	"olivedale/internal/codec/h248"
)

// The store refuses new transactions beyond its limits on entries and reply bytes, and acknowledged replies free the
// space again.
func TestStoreIsBounded(t *testing.T) {
	t.Parallel()
	for _, size := range []int{1, 2000} {
		s := NewStore(10)
		taken := 0
		for id := range uint32(100) {
			if e, _ := s.Begin("<p>", &h248.Transaction{ID: id}, 1); e != nil {
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

// Guards against a new process of a peer that gets the replies to transactions of the earlier one: it numbers its
// transactions anew, and they were taken for repeats. A repeat may state the remaining time anew.
func TestTransactionOfTheNextProcessIsNew(t *testing.T) {
	t.Parallel()
	add := func(termination, description, left string) *h248.Transaction {
		state := &h248.Node{Name: "TerminationState", Children: []*h248.Node{{Name: "oc/left", Value: left}}}
		remote := &h248.Node{Name: "Remote", Octets: []byte(description)}
		media := &h248.Node{Name: "Media", Children: []*h248.Node{state, remote}}
		c := &h248.Command{Name: "Add", Termination: termination, Descriptors: []*h248.Node{media}}
		return &h248.Transaction{ID: 1, Actions: []*h248.Action{{Context: "$", Commands: []*h248.Command{c}}}}
	}
	s := NewStore(10)
	first, isNew := s.Begin("<p>", add("line/1", "a", "900"), 1)
	if !isNew {
		t.Fatal("the first transaction is taken for a repeat")
	}
	s.Complete(first, []byte("reply"), 1)
	if e, isNew := s.Begin("<p>", add("line/1", "a", "400"), 2); isNew || e != first {
		t.Error("a repeat with less time left is taken for another transaction")
	}
	for _, other := range []*h248.Transaction{add("line/2", "a", "900"), add("line/2", "b", "900")} {
		e, isNew := s.Begin("<p>", other, 3)
		if !isNew || e.Reply() != nil {
			t.Error("a transaction of the next process is taken for a repeat")
		}
	}
	s.Complete(first, []byte("late"), 4) // it was replaced, so its reply is not stored
	if s.Len() != 1 || s.ReplyBytes() != 0 {
		t.Errorf("%d entries and %d bytes are stored, want 1 and 0", s.Len(), s.ReplyBytes())
	}
}
