package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// A Duration is a time.Duration that is written in Go's syntax in a scenario file: "300ms", "1m". Package config has
// a similar type, but this package is also built with earlier commits of the product, which may lack it.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("invalid duration %q; examples: \"300ms\", \"1m\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D returns the Duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// A DurationRange is a range of durations, from the first element to the second.
type DurationRange [2]Duration

// Draw returns a random duration, uniformly distributed over the range.
func (r DurationRange) Draw(rng *rand.Rand) time.Duration {
	return r[0].D() + time.Duration(rng.Float64()*float64(r[1]-r[0]))
}

func milliseconds(n float64) Duration { return Duration(n * float64(time.Millisecond)) }

// millisecondRange returns the range between two numbers of milliseconds.
func millisecondRange(from, to float64) DurationRange {
	return DurationRange{milliseconds(from), milliseconds(to)}
}
