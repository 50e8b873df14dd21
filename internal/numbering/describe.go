package numbering

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// describePrefix describes the destination of the numbers for which a prefix is the longest match.
func (t *Table) describePrefix(prefix string) string {
	var parts []string
	if index, _ := t.bars.find([]byte(prefix)); index >= 0 {
		bar := &t.bars.entries[index]
		text := fmt.Sprintf("barred with cause %d", bar.cause)
		if bar.classList < 0 {
			return text
		}
		parts = append(parts, text+" for "+strings.Join(t.barredClasses[bar.classList], ", "))
	}
	route := t.defaultRoute
	if index, _ := t.numbers.find([]byte(prefix)); index >= 0 {
		match := &t.numbers.entries[index]
		route = match.route
		if match.ported {
			parts = append(parts, "looked up")
		}
	}
	if route < 0 {
		parts = append(parts, "unallocated")
	} else {
		parts = append(parts, t.describeRoute(route))
	}
	return strings.Join(parts, "; ")
}

// describeRoute describes the targets of a route. The description does not contain the name of the route.
func (t *Table) describeRoute(index int32) string {
	var steps []string
	for _, step := range t.routes[index].steps {
		var targets []string
		for _, tgt := range step {
			targets = append(targets, t.describeTarget(tgt, len(step) > 1))
		}
		steps = append(steps, strings.Join(targets, " or "))
	}
	return strings.Join(steps, ", then ")
}

func (t *Table) describeTarget(tgt target, withWeight bool) string {
	text := fmt.Sprintf("pool %d", tgt.pool)
	if withWeight {
		text += fmt.Sprintf(" weight %d", tgt.weight)
	}
	if tgt.condition >= 0 {
		text += " when " + t.conditions[tgt.condition].String()
	}
	return text
}

// String describes the times of the condition. The description does not contain its name.
func (c *condition) String() string {
	var parts []string
	if c.isNegated {
		parts = append(parts, "not")
	}
	if days := c.weekdayList(); len(days) < len(c.weekdays) {
		parts = append(parts, strings.Join(days, " "))
	}
	for _, h := range c.hours {
		parts = append(parts, formatMinute(h.from)+"-"+formatMinute(h.to))
	}
	for _, d := range c.dates {
		parts = append(parts, fmt.Sprintf("%d to %d", d.from, d.to))
	}
	for _, day := range slices.Sorted(maps.Keys(c.holidays)) {
		parts = append(parts, fmt.Sprintf("but %d", day))
	}
	return strings.Join(append(parts, c.zone.String()), " ")
}

// weekdayList returns the names of the weekdays on which the condition may hold, in the order of weekdayNames.
func (c *condition) weekdayList() []string {
	var days []string
	for _, w := range weekdayNames {
		if c.weekdays[w.day] {
			days = append(days, w.name)
		}
	}
	return days
}

// formatMinute formats minutes since midnight as a time of day.
func formatMinute(minute int) string {
	return fmt.Sprintf("%02d:%02d", minute/minutesPerHour, minute%minutesPerHour)
}
