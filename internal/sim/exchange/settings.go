package exchange

import (
	"errors"
	"fmt"
	"time"
)

// Settings describe an exchange. Work is given as the mean time that it takes a warm processor at full speed.
type Settings struct {
	SetUp, Answer, Release, Reject, Repeat time.Duration // mean work of each kind of message

	Vary  float64       // coefficient of variation of the work; 0: each message takes its mean
	Full  time.Duration // set-ups are rejected while the queueing delay exceeds this; 0: never
	Again time.Duration // a queued set-up is retransmitted after this, then at doubled gaps; 0: never
	Ring  time.Duration // mean time until the called party answers; exponentially distributed
	Lines int           // circuits

	Start   float64                  // share of its capacity that a processor has right after a cold start
	Warm    time.Duration            // the processor has its whole capacity this long after a cold start
	Fall    float64                  // a cold processor crashes at this multiple of its present capacity; 0: never
	FallFor time.Duration            // period over which the load is compared with Fall
	Holding map[string]time.Duration // mean holding time by class; exponentially distributed
}

// Check returns an error that names the first setting that the model does not support.
func (s *Settings) Check() error {
	switch {
	case s.SetUp <= 0:
		return fmt.Errorf("set_up: %v of work is not positive", s.SetUp)
	case min(s.Answer, s.Release, s.Reject, s.Repeat, s.Ring) < 0:
		return errors.New("work and times must not be negative")
	case s.Lines <= 0:
		return fmt.Errorf("lines: %d is not positive", s.Lines)
	case s.Start < 0 || s.Start > 1:
		return fmt.Errorf("start: %v is not between 0 and 1", s.Start)
	case s.Vary < 0 || s.Vary > 10:
		return fmt.Errorf("vary: %v is not between 0 and 10", s.Vary)
	}
	return nil
}

// Capacity returns how many calls a second a warm processor at full speed handles from set-up to release.
func (s *Settings) Capacity() float64 {
	return 1 / (s.SetUp + s.Answer + s.Release).Seconds()
}

// Warmth returns the share of its capacity, from Start to 1, that a processor has at an age since its cold start.
func (s *Settings) Warmth(age time.Duration) float64 {
	if age >= s.Warm {
		return 1
	}
	return s.Start + (1-s.Start)*float64(age)/float64(s.Warm)
}

// meanWork returns the mean time that a job of a kind takes a warm processor at full speed.
func (s *Settings) meanWork(kind jobKind) time.Duration {
	switch kind {
	case setUpJob:
		return s.SetUp
	case repeatJob:
		return s.Repeat
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
