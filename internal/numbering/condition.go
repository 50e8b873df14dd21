package numbering

import (
	"slices"
	"time"
	_ "time/tzdata" // the zone data of the machine may be missing or differ between machines
)

// condition is a compiled Condition.
type condition struct {
	name      string
	zone      *time.Location
	weekdays  [7]bool // by time.Weekday
	hours     []hourRange
	dates     []dateRange
	holidays  map[date]bool
	isNegated bool
}

// hourRange is a part of a day, in minutes since midnight; to is exclusive and at most minutesPerDay.
type hourRange struct{ from, to int }

// dateRange is a range of days; to is inclusive.
type dateRange struct{ from, to date }

// date is a day, encoded as the number yyyymmdd.
type date int32

func dateOf(t time.Time) date {
	year, month, day := t.Date()
	return date(year*10000 + int(month)*100 + day)
}

const (
	minutesPerHour = 60
	hoursPerDay    = 24
	minutesPerDay  = hoursPerDay * minutesPerHour
)

// holds reports whether the condition holds at a time. Hours are compared with local time in the zone: an hour that
// occurs twice when the clock is set back matches both times; an hour that is skipped when the clock is set forward
// never matches, and a range that begins within it takes effect at its end.
func (c *condition) holds(at Time) bool {
	t := time.Unix(0, int64(at)).In(c.zone)
	return c.allows(t) != c.isNegated
}

// allows reports whether the condition holds at a time, before the inversion by Not.
func (c *condition) allows(t time.Time) bool {
	today := dateOf(t)
	if !c.weekdays[t.Weekday()] || c.holidays[today] {
		return false
	}
	return c.allowsDate(today) && c.allowsMinute(t.Hour()*minutesPerHour+t.Minute())
}

func (c *condition) allowsDate(today date) bool {
	if len(c.dates) == 0 {
		return true
	}
	for _, d := range c.dates {
		if d.from <= today && today <= d.to {
			return true
		}
	}
	return false
}

func (c *condition) allowsMinute(minute int) bool {
	if len(c.hours) == 0 {
		return true
	}
	for _, h := range c.hours {
		if h.from <= minute && minute < h.to {
			return true
		}
	}
	return false
}

// minutesToCheck returns the minutes of a day at which the condition may change, and the minutes before these.
func (c *condition) minutesToCheck() []int {
	minutes := []int{0, minutesPerDay - 1}
	for _, h := range c.hours {
		minutes = append(minutes, h.from, h.from-1, h.to, h.to-1)
	}
	for hour := range hoursPerDay { // the zone may change its clock at any full hour
		minutes = append(minutes, hour*minutesPerHour)
	}
	return minutes
}

// anyHolds reports whether at least one condition holds at a time.
func anyHolds(conditions []*condition, at Time) bool {
	return slices.ContainsFunc(conditions, func(c *condition) bool { return c.holds(at) })
}
