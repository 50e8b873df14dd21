package transaction

// An IDSequence numbers the transactions that a process sends. Peers execute each transaction at most once and keep its
// reply for LongTimer by the sender's message id and the transaction id (H.248.1, 8), so the ids of a process must
// differ from those that its predecessor used within that time.
type IDSequence struct{ last uint32 }

// NewIDSequence returns a sequence that begins after last, which should be random in each process.
func NewIDSequence(last uint32) *IDSequence { return &IDSequence{last: last} }

// Next returns the next id. It skips 0, which is not a valid transaction id.
func (s *IDSequence) Next() uint32 {
	s.last++
	if s.last == 0 {
		s.last++
	}
	return s.last
}
