package cli

import (
	"fmt"
	"time"
)

// timeLayouts are the layouts that ParseTime accepts. A time without a zone is in UTC.
var timeLayouts = []string{
	time.RFC3339Nano,
	"2006-01-02T15:04:05.999999999",
	"2006-01-02 15:04:05.999999999",
	"2006-01-02T15:04",
	"2006-01-02 15:04",
	"2006-01-02",
}

// ParseTime parses an absolute time or a duration before now, such as 90m. For an empty text it returns the zero time.
func ParseTime(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	for _, layout := range timeLayouts {
		if t, err := time.Parse(layout, text); err == nil {
			return t, nil
		}
	}
	age, err := time.ParseDuration(text)
	if err == nil && age >= 0 {
		return now.Add(-age), nil
	}
	return time.Time{}, fmt.Errorf(
		"%q is no time: use 2026-12-01T17:30:00Z, \"2026-12-01 17:30\" (UTC), or 90m for 90 minutes ago", text)
}
