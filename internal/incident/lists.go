package incident

import (
	"cmp"
	"strings"
	"time"
)

// Bounds of the memory of a Part, whatever its records contain.
const (
	maxClasses     = 64
	maxServers     = 4096
	maxOpenCalls   = 1 << 18 // calls without a final answer yet
	maxBinsOfStart = 512     // bins of one start
	maxBins        = 8192    // bins of all starts together; at least two for each start
	maxStarts      = 4096    // starts; later ones are merged into the last
	maxEvents      = 4096    // entries of each list: gaps, drains, cold starts, overload periods
	maxSlowest     = 20
	maxUnanswered  = 100
	maxCounters    = 256 // names in each map of counters
)

// A Ref identifies a record by its instance, run and sequence number.
type Ref struct {
	Instance string `json:"instance"`
	RunID    string `json:"boot"`
	Seq      uint64 `json:"seq"`
}

// A Start is one run of an instance's program, from its start to its end.
type Start struct {
	RunID           uint64
	Program         string
	From, To        Time // of its first and last record, by its own clock
	Clean           bool // it ended with an orderly shutdown
	Stopping        Time // when it received SIGTERM; 0 if it did not
	Offset          Offset
	Steps           []ClockStep
	wallClockOffset time.Duration // difference of the system's clock from the program's own, at the last reading
	hasWallClock    bool          // wallClockOffset is known
	series          series
}

// A ClockStep is a jump of the system's clock, which the program's own clock does not follow.
type ClockStep struct {
	At Time
	By time.Duration
}

// A Gap is a range of records that are lost.
type Gap struct {
	From, To   uint64 // sequence numbers; 0: not known
	Cause      string
	Since      Time // latest known time before the gap
	Until      Time
	startIndex int // in Part.Starts
}

// A Drain is the announcement that a server drains or is removed, with the attempts that the instance sent there
// afterwards.
type Drain struct {
	Server, Phase string
	At            Time
	Sent          uint64        // attempts after the announcement
	SentLate      uint64        // of these, more than drainGrace after it
	LastSend      time.Duration // delay of the last attempt after the announcement
	Ref           Ref
	startIndex    int
}

// A ColdStart is a server that had just started when the instance discovered it.
type ColdStart struct {
	Server      string
	Pool        int
	Started     Time
	NoticedAt   Time
	Sent        uint64                  // attempts during the slow-start period
	SentByFifth [slowStartFifths]uint64 // the same by fifths of the period
	Period      time.Duration           // slow-start period
	Ref         Ref
	startIndex  int
}

// slowStartFifths is the number of parts into which a slow-start period is divided.
const slowStartFifths = 5

// An OverloadPeriod is a time during which an instance limited its rate to a server.
type OverloadPeriod struct {
	Server     string
	From, To   Time    // To is 0 if the limit was still set at the end of the records
	MinRate    float64 // lowest rate limit, in attempts per second
	Ref, End   Ref
	startIndex int
}

// A SlowSetup is a call with one of the longest set-up times.
type SlowSetup struct {
	Call, Class, Server string
	At                  Time
	SetupTime           time.Duration
	Attempts            int
	Ref                 Ref
	startIndex          int
}

// compareSlowest orders calls by set-up time, the slowest first, and equal ones by their time and name.
func compareSlowest(a, b SlowSetup) int {
	return cmp.Or(
		cmp.Compare(b.SetupTime, a.SetupTime),
		cmp.Compare(a.At, b.At),
		strings.Compare(a.Ref.Instance+a.Call, b.Ref.Instance+b.Call),
	)
}

// An UnansweredCall is a set-up without a final answer in the records.
type UnansweredCall struct {
	Call, Class string
	At          Time
	Reason      string
	Ref         Ref
	startIndex  int
}

// Reasons why a set-up has no final answer in the records. They are keys in the JSON form of a report, so their wording
// does not change.
const (
	ReasonKilled     = "the instance ended without a word"
	ReasonGap        = "records are lost behind it"
	ReasonRecordsEnd = "the records end"
	ReasonUnknown    = "no answer though no record is lost"
)
