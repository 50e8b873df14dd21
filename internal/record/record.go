package record

import "time"

// A Time is the time since the Unix epoch on the clock of an instance: the system clock is read once at the start of
// the program and advanced by the monotonic clock, so that a step of the system clock does not affect it.
type Time = time.Duration

// Unix converts a Time to a time.Time in UTC.
func Unix(t Time) time.Time { return time.Unix(0, int64(t)).UTC() }

// A Record is one stored event. The comments on the kinds say which fields each kind uses.
type Record struct {
	Seq     uint64 // sequence number in the store, starting at 1; of a gap: the last lost number
	From    uint64 // of a gap: the first lost number
	At      Time
	Kind    Kind
	Call    string // id of the call
	Class   string // class of the call
	Number  string // called number
	Server  string // id of the server
	Text    string
	Attempt int
	Code    uint8 // a Decision, Outcome, ServerState or GapCause, depending on the kind
	End     string
	Cause   int // Q.850 release cause
	Wait    time.Duration
	Took    time.Duration
	Pool    int
	Flag    bool
	Value   float64
	Count   uint64
	Since   Time
	T       [4]int64 // timestamps in Unix nanoseconds
	By      string
}

// Lost returns how many records a gap replaces, and 0 for any other kind.
func (r *Record) Lost() uint64 {
	if r.Kind != KindGap {
		return 0
	}
	return r.Seq - r.From + 1
}

// firstSeq returns the first lost number of a gap, and Seq of any other record.
func (r *Record) firstSeq() uint64 {
	if r.Kind == KindGap {
		return r.From
	}
	return r.Seq
}
