package simproto

import (
	"fmt"
	"math"
	"time"
)

// The protocol writes times and durations as milliseconds; the simulator's clock counts microseconds.
const microsecondsPerMillisecond = 1000

// maxMicroseconds bounds the times that are read, so that the sum of two does not overflow a time.Duration.
const maxMicroseconds = math.MaxInt64 / 2000

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) (time.Duration, error) {
	us := math.Round(ms * microsecondsPerMillisecond)
	if math.IsNaN(us) || math.Abs(us) > maxMicroseconds {
		return 0, fmt.Errorf("%v ms is out of range", ms)
	}
	return time.Duration(us) * time.Microsecond, nil
}
