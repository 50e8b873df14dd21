package exchange

import (
	"errors"
	"fmt"
	"time"
)

// Settings describe an exchange. Work is the mean processing time on a warm processor at full speed.
type Settings struct {
	SetUp, Answer, Release, Reject, Retransmission time.Duration // mean work of each kind of message

	WorkVariation          float64       // coefficient of variation of the work; 0: each message takes its mean
	MaxQueueingDelay       time.Duration // set-ups are rejected while the queueing delay exceeds this; 0: never
	RetransmissionInterval time.Duration // delay of the first retransmission of a set-up, then doubled; 0: never
	MeanRingTime           time.Duration // mean time until the called party answers; exponentially distributed
	Circuits               int           // number of circuits

	SlowStartShare  float64                  // share of the full capacity right after a cold start
	SlowStartPeriod time.Duration            // time from a cold start until the processor has its full capacity
	CrashFactor     float64                  // slow start: it crashes at this multiple of its capacity; 0: never
	CrashWindow     time.Duration            // period over which the load is compared with CrashFactor
	MeanHoldingTime map[string]time.Duration // mean holding time by class; exponentially distributed
}

// Check returns an error that names the first setting that the model does not support.
func (s *Settings) Check() error {
	switch {
	case s.SetUp <= 0:
		return fmt.Errorf("set_up: %v of work is not positive", s.SetUp)
	case min(s.Answer, s.Release, s.Reject, s.Retransmission, s.MeanRingTime) < 0:
		return errors.New("work and times must not be negative")
	case s.Circuits <= 0:
		return fmt.Errorf("lines: %d is not positive", s.Circuits)
	case s.SlowStartShare < 0 || s.SlowStartShare > 1:
		return fmt.Errorf("start: %v is not between 0 and 1", s.SlowStartShare)
	case s.WorkVariation < 0 || s.WorkVariation > 10:
		return fmt.Errorf("vary: %v is not between 0 and 10", s.WorkVariation)
	}
	return nil
}

// Capacity returns how many calls a second a warm processor at full speed handles, from set-up to release.
func (s *Settings) Capacity() float64 {
	return 1 / (s.SetUp + s.Answer + s.Release).Seconds()
}

// CapacityShare returns the share of its capacity, from SlowStartShare to 1, that a processor has at an age since its
// cold start.
func (s *Settings) CapacityShare(age time.Duration) float64 {
	if age >= s.SlowStartPeriod {
		return 1
	}
	return s.SlowStartShare + (1-s.SlowStartShare)*float64(age)/float64(s.SlowStartPeriod)
}

// meanWork returns the mean time that a job of a kind takes a warm processor at full speed.
func (s *Settings) meanWork(kind jobKind) time.Duration {
	switch kind {
	case setUpJob:
		return s.SetUp
	case retransmissionJob:
		return s.Retransmission
	case answerJob:
		return s.Answer
	case releaseJob:
		return s.Release
	case rejectJob:
		return s.Reject
	default:
		panic(fmt.Sprintf("exchange: job kind %d", kind))
	}
}
