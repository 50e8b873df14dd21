package numbering

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	_ "time/tzdata" // a platform may have none, and two machines different ones
)

// A when is a condition, compiled.
type when struct {
	name     string
	zone     *time.Location
	weekdays [7]bool
	hours    []hours
	dates    []dates
	holidays map[int32]bool // days as yyyymmdd
	not      bool
}

// hours are minutes of a day, the end left out; 1440 is midnight at its end.
type hours struct{ from, to int }

// dates are days as yyyymmdd, both in.
type dates struct{ from, to int32 }

var weekdayNames = map[string]time.Weekday{"sun": time.Sunday, "mon": time.Monday, "tue": time.Tuesday, "wed": time.Wednesday, "thu": time.Thursday, "fri": time.Friday, "sat": time.Saturday}

func compileCondition(c *Condition) (w when, err error) {
	w = when{name: c.Name, zone: time.UTC, not: c.Not, holidays: make(map[int32]bool)}
	if c.Zone != "" {
		// "Local" would be another zone on each machine.
		if w.zone, err = time.LoadLocation(c.Zone); err != nil || c.Zone == "Local" {
			return w, fmt.Errorf("zone %q is not known; write an IANA name such as America/Santiago", c.Zone)
		}
	}
	for i := range w.weekdays {
		w.weekdays[i] = len(c.Weekdays) == 0
	}
	for _, name := range c.Weekdays {
		d, ok := weekdayNames[strings.ToLower(name)]
		if !ok {
			return w, fmt.Errorf("weekday %q is none of mon to sun", name)
		}
		w.weekdays[d] = true
	}
	for _, text := range c.Hours {
		from, to, ok := strings.Cut(text, "-")
		h := hours{}
		if h.from, err = minute(from); err == nil && ok {
			h.to, err = minute(to)
		}
		if err != nil || !ok || h.from == h.to || h.from == 1440 {
			return w, fmt.Errorf("hours %q are not of the form 08:00-18:30", text)
		}
		if h.to < h.from { // over midnight: of two days
			w.hours = append(w.hours, hours{0, h.to})
			h.to = 1440
		}
		if h.from < h.to {
			w.hours = append(w.hours, h)
		}
	}
	for _, text := range c.Dates {
		from, to, ok := strings.Cut(text, "/")
		if !ok {
			to = from
		}
		d := dates{}
		if d.from, err = dayOf(from); err == nil {
			d.to, err = dayOf(to)
		}
		if err != nil || d.to < d.from {
			return w, fmt.Errorf("dates %q are not of the form 2026-12-24 or 2026-12-24/2026-12-31", text)
		}
		w.dates = append(w.dates, d)
	}
	for _, text := range c.Holidays {
		d, err := dayOf(text)
		if err != nil {
			return w, fmt.Errorf("holiday %q is not of the form 2026-12-25", text)
		}
		w.holidays[d] = true
	}
	return w, nil
}

func minute(text string) (int, error) {
	h, m, ok := strings.Cut(strings.TrimSpace(text), ":")
	hour, err := strconv.Atoi(h)
	min, err2 := strconv.Atoi(m)
	if !ok || err != nil || err2 != nil || len(m) != 2 || hour < 0 || min < 0 || min > 59 || hour*60+min > 1440 {
		return 0, fmt.Errorf("%q is no time of day", text)
	}
	return hour*60 + min, nil
}

func dayOf(text string) (int32, error) {
	t, err := time.Parse("2006-01-02", strings.TrimSpace(text))
	if err != nil {
		return 0, err
	}
	return day(t), nil
}

func day(t time.Time) int32 {
	y, m, d := t.Date()
	return int32(y*10000 + int(m)*100 + d)
}

// holds tells whether a time is in the condition. It asks what clocks on the wall show in the
// zone: the hour that comes twice in autumn is in both times, the one that never comes in spring is
// in none, and hours that begin in it begin when it is over.
func (w *when) holds(at Time) bool {
	t := time.Unix(0, int64(at)).In(w.zone)
	return w.allows(t) != w.not
}

func (w *when) allows(t time.Time) bool {
	today := day(t)
	if !w.weekdays[t.Weekday()] || w.holidays[today] {
		return false
	}
	in := len(w.dates) == 0
	for _, d := range w.dates {
		in = in || d.from <= today && today <= d.to
	}
	if !in || len(w.hours) == 0 {
		return in
	}
	now := t.Hour()*60 + t.Minute()
	for _, h := range w.hours {
		if h.from <= now && now < h.to {
			return true
		}
	}
	return false
}
