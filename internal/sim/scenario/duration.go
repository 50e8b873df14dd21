package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// A Duration is a time.Duration that is written in Go's form in a scenario file: "300ms", "1m". It does not
// share the type of the operator's file: this package is also built with earlier commits of the product,
// which may lack that type.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no length of time, such as \"300ms\" or \"1m\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D returns the Duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// A DurationRange is a range of durations, from the first to the second.
type DurationRange [2]Duration

// Draw returns a duration of the span, uniformly distributed.
func (s DurationRange) Draw(rng *rand.Rand) time.Duration {
	return s[0].D() + time.Duration(rng.Float64()*float64(s[1]-s[0]))
}

func milliseconds(n float64) Duration { return Duration(n * float64(time.Millisecond)) }

func span(from, to float64) DurationRange { return DurationRange{milliseconds(from), milliseconds(to)} }
