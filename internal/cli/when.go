package cli

import (
	"fmt"
	"time"
)

// forms in which a point in time may be given; without a zone it is UTC.
var forms = []string{time.RFC3339Nano, "2006-01-02T15:04:05.999999999", "2006-01-02 15:04:05.999999999", "2006-01-02T15:04", "2006-01-02 15:04", "2006-01-02"}

// When reads a point in time, or a length of time before now. The empty text is none.
func When(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	for _, form := range forms {
		if t, err := time.Parse(form, text); err == nil {
			return t, nil
		}
	}
	if d, err := time.ParseDuration(text); err == nil && d >= 0 {
		return now.Add(-d), nil
	}
	return time.Time{}, fmt.Errorf("%q is no time: write 2026-12-01T17:30:00Z, \"2026-12-01 17:30\" (UTC), or 90m for so long ago", text)
}
