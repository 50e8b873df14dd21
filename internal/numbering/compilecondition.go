package numbering

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// weekdayNames are the names of weekdays in rules, in the order in which they are printed.
var weekdayNames = [...]struct {
	name string
	day  time.Weekday
}{
	{"mon", time.Monday}, {"tue", time.Tuesday}, {"wed", time.Wednesday}, {"thu", time.Thursday},
	{"fri", time.Friday}, {"sat", time.Saturday}, {"sun", time.Sunday},
}

func compileCondition(rule *Condition) (c condition, err error) {
	c = condition{name: rule.Name, isNegated: rule.Not, holidays: make(map[date]bool)}
	if c.zone, err = parseZone(rule.Zone); err != nil {
		return c, err
	}
	if c.weekdays, err = parseWeekdays(rule.Weekdays); err != nil {
		return c, err
	}
	for _, text := range rule.Hours {
		hours, err := parseHours(text)
		if err != nil {
			return c, err
		}
		c.hours = append(c.hours, hours...)
	}
	for _, text := range rule.Dates {
		dates, err := parseDates(text)
		if err != nil {
			return c, err
		}
		c.dates = append(c.dates, dates)
	}
	for _, text := range rule.Holidays {
		day, err := parseDate(text)
		if err != nil {
			return c, fmt.Errorf("holiday %q is not of the form 2026-12-25", text)
		}
		c.holidays[day] = true
	}
	return c, nil
}

// parseZone returns the zone with an IANA name, UTC for "". "Local" is an error, since it depends on the machine.
func parseZone(name string) (*time.Location, error) {
	zone, err := time.LoadLocation(name)
	if err != nil || name == "Local" {
		return nil, fmt.Errorf("zone %q is not known; write an IANA name such as America/Santiago", name)
	}
	return zone, nil
}

// parseWeekdays returns the set of the named days, or all days if there are no names.
func parseWeekdays(names []string) (days [7]bool, err error) {
	for i := range days {
		days[i] = len(names) == 0
	}
	for _, name := range names {
		day, ok := parseWeekday(name)
		if !ok {
			return days, fmt.Errorf("weekday %q is not one of mon to sun", name)
		}
		days[day] = true
	}
	return days, nil
}

func parseWeekday(name string) (day time.Weekday, ok bool) {
	for _, w := range weekdayNames {
		if strings.ToLower(name) == w.name {
			return w.day, true
		}
	}
	return 0, false
}

// parseHours parses hours such as "08:00-18:30". Hours that span midnight are split into two ranges.
func parseHours(text string) ([]hourRange, error) {
	fromText, toText, isRange := strings.Cut(text, "-")
	from, fromErr := parseMinute(fromText)
	to, toErr := parseMinute(toText)
	if !isRange || fromErr != nil || toErr != nil || from == to || from == minutesPerDay {
		return nil, fmt.Errorf("hours %q are not of the form 08:00-18:30", text)
	}
	if from < to {
		return []hourRange{{from, to}}, nil
	}
	return []hourRange{{0, to}, {from, minutesPerDay}}, nil
}

// parseMinute parses a time of day, 00:00 to 24:00, and returns it in minutes since midnight.
func parseMinute(text string) (int, error) {
	hourText, minuteText, isTime := strings.Cut(strings.TrimSpace(text), ":")
	hour, hourErr := strconv.Atoi(hourText)
	minute, minuteErr := strconv.Atoi(minuteText)
	isTime = isTime && hourErr == nil && minuteErr == nil && len(minuteText) == 2
	isInRange := hour >= 0 && minute >= 0 && minute < minutesPerHour && hour*minutesPerHour+minute <= minutesPerDay
	if !isTime || !isInRange {
		return 0, fmt.Errorf("%q is not a time of day", text)
	}
	return hour*minutesPerHour + minute, nil
}

// parseDates parses a day or a range of days such as "2026-12-24/2026-12-31".
func parseDates(text string) (dateRange, error) {
	fromText, toText, isRange := strings.Cut(text, "/")
	if !isRange {
		toText = fromText
	}
	from, fromErr := parseDate(fromText)
	to, toErr := parseDate(toText)
	if fromErr != nil || toErr != nil || to < from {
		return dateRange{}, fmt.Errorf("dates %q are not of the form 2026-12-24 or 2026-12-24/2026-12-31", text)
	}
	return dateRange{from, to}, nil
}

func parseDate(text string) (date, error) {
	t, err := time.Parse(time.DateOnly, strings.TrimSpace(text))
	if err != nil {
		return 0, err
	}
	return dateOf(t), nil
}
