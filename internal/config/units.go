package config

import (
	"fmt"
	"time"

	"github.com/dustin/go-humanize"
)

// A Duration is a duration in the operator's file, in the syntax of time.ParseDuration: "200ms", "1h".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration, such as \"200ms\" or \"24h\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// String implements fmt.Stringer.
func (d Duration) String() string { return time.Duration(d).String() }

// A Size is a number of bytes in the operator's file, with a unit: "512KiB", "1GB".
type Size int64

// maxSize is the largest valid Size.
const maxSize = 1 << 50

// UnmarshalText implements encoding.TextUnmarshaler. It rejects a number without a unit: a value meant as megabytes but
// read as bytes, or the reverse, would go unnoticed until the disk is full.
func (s *Size) UnmarshalText(text []byte) error {
	v, err := humanize.ParseBytes(string(text))
	if err != nil || !endsInUnit(text) || v > maxSize {
		return fmt.Errorf("%q is not a size with a unit, such as \"64MiB\" or \"1GB\"", text)
	}
	*s = Size(v)
	return nil
}

func endsInUnit(text []byte) bool {
	if len(text) == 0 {
		return false
	}
	last := text[len(text)-1]
	return last < '0' || last > '9'
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%dB", s), nil }

// String implements fmt.Stringer.
func (s Size) String() string { return humanize.IBytes(uint64(max(s, 0))) }
