package numbering

import (
	"testing"
	"time"
)

// Hours are compared with local time in the zone of the condition, also around changes of the clock. 24:00 is midnight
// at the end of a day. The zone of the machine has no effect.
func TestConditionHolds(t *testing.T) {
	for _, c := range []struct {
		rule Condition
		at   string // UTC
		want bool
	}{
		{Condition{Zone: "America/Santiago", Hours: []string{"23:00-24:00"}}, "2026-04-05T02:30:00Z", true},  // 23:30, summer time
		{Condition{Zone: "America/Santiago", Hours: []string{"23:00-24:00"}}, "2026-04-05T03:30:00Z", true},  // 23:30 again
		{Condition{Zone: "America/Santiago", Hours: []string{"23:00-24:00"}}, "2026-04-05T04:00:00Z", false}, // midnight
		{Condition{Zone: "America/Santiago", Hours: []string{"00:00-01:00"}}, "2026-09-06T03:59:59Z", false}, // 23:59:59; 00:00 is skipped
		{Condition{Zone: "America/Santiago", Hours: []string{"00:00-01:00"}}, "2026-09-06T04:00:00Z", false}, // 01:00
		{Condition{Zone: "America/Santiago", Hours: []string{"00:30-02:00"}}, "2026-09-06T04:00:00Z", true},
		{Condition{Zone: "Europe/Berlin", Hours: []string{"02:00-03:00"}}, "2026-10-25T00:30:00Z", true},
		{Condition{Zone: "Europe/Berlin", Hours: []string{"02:00-03:00"}}, "2026-10-25T01:30:00Z", true},
		{Condition{Zone: "Europe/Berlin", Hours: []string{"02:00-03:00"}}, "2026-03-29T01:00:00Z", false}, // 03:00
		{Condition{Hours: []string{"22:00-06:00"}, Weekdays: []string{"mon"}}, "2026-12-07T23:00:00Z", true},
		{Condition{Hours: []string{"22:00-06:00"}, Weekdays: []string{"mon"}}, "2026-12-07T05:59:59Z", true},
		{Condition{Hours: []string{"22:00-06:00"}, Weekdays: []string{"mon"}}, "2026-12-08T01:00:00Z", false}, // Tuesday
		{Condition{Dates: []string{"2026-12-24/2026-12-31"}, Holidays: []string{"2026-12-25"}}, "2026-12-25T10:00:00Z", false},
		{Condition{Dates: []string{"2026-12-24/2026-12-31"}}, "2026-12-31T23:59:59Z", true},
		{Condition{Dates: []string{"2026-12-24/2026-12-31"}, Not: true}, "2026-12-31T23:59:59Z", false},
		{Condition{Zone: "Asia/Kolkata", Dates: []string{"2027-01-01"}}, "2026-12-31T18:30:00Z", true},
	} {
		compiled, err := compileCondition(&c.rule)
		if err != nil {
			t.Fatal(err)
		}
		at, err := time.Parse(time.RFC3339, c.at)
		if err != nil {
			t.Fatal(err)
		}
		if got := compiled.holds(Time(at.UnixNano())); got != c.want {
			t.Errorf("%+v at %s: %v", c.rule, c.at, got)
		}
	}
}
