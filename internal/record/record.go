package record

import "time"

// A Time is the time since the Unix epoch on the clock of an instance: the system's clock is read once at the start
// of the program and advanced by the monotonic clock, so that a step of the system's clock does not move it.
type Time = time.Duration

// Unix converts a Time to a time.Time in UTC.
func Unix(t Time) time.Time { return time.Unix(0, int64(t)).UTC() }

// A Record is one stored event. The comments on the kinds say which fields have a meaning.
type Record struct {
	Seq     uint64 // sequence number in the store, from 1; of a gap: the last lost number
	From    uint64 // of a gap: the first lost number
	At      Time
	Kind    Kind
	Call    string // id of the call
	Class   string // class of the call
	Number  string // called number
	Server  string // id of the server
	Text    string
	Attempt int
	Code    uint8 // a Move, Outcome, Phase or GapCause, by kind
	End     string
	Cause   int // release cause, Q.850
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

// Lost returns how many records a gap stands for, and 0 for any other kind.
func (r *Record) Lost() uint64 {
	if r.Kind != KindGap {
		return 0
	}
	return r.Seq - r.From + 1
}

// firstSeq returns the first sequence number that the record stands for.
func (r *Record) firstSeq() uint64 {
	if r.Kind == KindGap {
		return r.From
	}
	return r.Seq
}
