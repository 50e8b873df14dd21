package report

import (
	"fmt"
	"strconv"
	"time"

	"olivedale/internal/incident"
	"olivedale/internal/record"
)

// formatCount formats a number with narrow no-break spaces between groups of three digits.
func formatCount(n uint64) string {
	s := strconv.FormatUint(n, 10)
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "\u202f" + s[i:]
	}
	return s
}

// formatMilliseconds formats a duration in milliseconds, or in seconds if it is 10 s or more; 0 is a dash.
func formatMilliseconds(d time.Duration) string {
	switch {
	case d == 0:
		return "–"
	case d >= 10*time.Second:
		return fmt.Sprintf("%.1f s", d.Seconds())
	case d < 10*time.Millisecond:
		return fmt.Sprintf("%.1f ms", milliseconds(d))
	}
	return fmt.Sprintf("%.0f ms", milliseconds(d))
}

// formatSigned formats a duration that may be negative.
func formatSigned(d time.Duration) string {
	if d < 0 {
		return "-" + formatMilliseconds(-d)
	}
	return formatMilliseconds(d)
}

// formatMoment formats the middle of a moment, with the possible error if that is a millisecond or more.
func formatMoment(m incident.Moment) string {
	s := record.Unix(m.Mid()).Format("01-02 15:04:05.000")
	if half := (m.Latest - m.Earliest) / 2; half >= time.Millisecond {
		s += " ±" + formatMilliseconds(half)
	}
	return s
}
