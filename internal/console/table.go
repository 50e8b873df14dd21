package console

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"charm.land/lipgloss/v2"

	"olivedale/internal/record"
)

// A column of a table. Columns are dropped from the right where the screen is narrow.
type column struct {
	head  string
	width int
	left  bool // text is set left and cut, figures right
}

// A cell is what stands in one place, with what it is sorted by.
type cell struct {
	text string
	key  float64 // NaN: by text
	bad  bool
}

func text(s string) cell { return cell{text: record.Printable(s), key: math.NaN()} }

func number(n uint64) cell { return cell{text: strconv.FormatUint(n, 10), key: float64(n)} }

// rate writes a rate; one that is not known is a dash and comes last.
func rate(v float64) cell {
	switch {
	case math.IsNaN(v):
		return cell{text: "-", key: -1}
	case v == 0:
		return cell{text: "0", key: 0}
	case v < 9.95:
		return cell{text: strconv.FormatFloat(v, 'f', 1, 64), key: v}
	}
	return cell{text: strconv.FormatFloat(v, 'f', 0, 64), key: v}
}

func (c cell) warn(bad bool) cell {
	c.bad = bad
	return c
}

// age writes how old something is.
func age(d time.Duration) string {
	switch {
	case d < 0:
		return "0s"
	case d < time.Minute:
		return fmt.Sprintf("%ds", int(d.Seconds()))
	case d < time.Hour:
		return fmt.Sprintf("%dm%02ds", int(d.Minutes()), int(d.Seconds())%60)
	}
	return fmt.Sprintf("%dh%02dm", int(d.Hours()), int(d.Minutes())%60)
}

// A table is a view's rows, each with the name that it is chosen by.
type table struct {
	columns []column
	rows    [][]cell
	names   []string
}

func (t *table) add(name string, cells ...cell) {
	t.rows = append(t.rows, cells)
	t.names = append(t.names, name)
}

// widths are those of the columns that a screen has room for, one at least. The first text
// that does not fit whole gets what is left, if that is enough to say something.
func (t *table) widths(width int) (all []int) {
	for i, c := range t.columns {
		switch {
		case i == 0:
			all = append(all, min(c.width, max(width, 1)))
		case c.width <= width:
			all = append(all, c.width)
		case c.left && width >= 10:
			return append(all, width)
		default:
			return all
		}
		width -= c.width + 1
	}
	return all
}

// pad sets a text into a width, cutting it where it does not fit.
func pad(s string, width int, left bool) string {
	if w := lipgloss.Width(s); w > width {
		r := []rune(s)
		for len(r) > 0 && lipgloss.Width(string(r)) > width-1 {
			r = r[:len(r)-1]
		}
		s = string(r) + "~"
	}
	fill := strings.Repeat(" ", max(width-lipgloss.Width(s), 0))
	if left {
		return s + fill
	}
	return fill + s
}

// line writes one row, without styles.
func (t *table) line(cells []cell, width int) string {
	return t.styled(cells, width, func(s string, _ bool) string { return s })
}

// styled writes one row; style gets each cell, and whether something is wrong there.
func (t *table) styled(cells []cell, width int, style func(s string, bad bool) string) string {
	var b strings.Builder
	for i, w := range t.widths(width) {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(style(pad(cells[i].text, w, t.columns[i].left), cells[i].bad))
	}
	return b.String()
}

// heading is the row of heads; the one that rows are sorted by is marked.
func (t *table) heading(width, sorted int, up bool) string {
	cells := make([]cell, len(t.columns))
	for i, c := range t.columns {
		if cells[i].text = c.head; i == sorted {
			mark := "v"
			if up {
				mark = "^"
			}
			cells[i].text += mark
		}
	}
	return t.line(cells, width)
}

var fleetColumns = []column{{"INSTANCE", 14, true}, {"STATE", 9, true}, {"AGE", 6, false}, {"OFFER/S", 8, false}, {"STOOD/S", 8, false}, {"REFUS/S", 8, false},
	{"FAIL/S", 7, false}, {"OPEN", 6, false}, {"STAND", 7, false}, {"CUT", 6, false}, {"LATE", 6, false}, {"LOST", 6, false}, {"OFFERED", 9, false}, {"STARTS", 7, false}}

// brief is what people tell digests apart by.
func brief(digest string) string { return digest[:min(len(digest), 8)] }

func (s *Snapshot) fleet() *table {
	t := &table{columns: fleetColumns}
	numbers := s.Numbers()
	if numbers != "" {
		t.columns = slices.Insert(slices.Clone(fleetColumns), 3, column{"NUMBERS", 8, true})
	}
	for _, in := range s.Instances {
		old := s.At.Sub(in.Seen)
		if in.Seen.IsZero() {
			old = 0
		}
		bad := in.State == StateSilent || in.State == StateKilled
		cells := []cell{text(in.Name), text(in.State).warn(bad), cell{text: age(old), key: old.Seconds(), bad: old > 10*time.Second && in.State != StateEnded},
			rate(in.Rates.Offered), rate(in.Rates.Stood), rate(in.Rates.Refused).warn(in.Rates.Refused > 0), rate(in.Rates.Failed).warn(in.Rates.Failed > 0),
			number(uint64(max(in.Open, 0))), number(uint64(max(in.Standing, 0))), number(in.Total.Cut), number(in.Total.Late),
			number(in.Lost).warn(in.Lost > 0), number(in.Total.Offered), number(uint64(max(in.Starts, 0)))}
		if numbers != "" {
			cells = slices.Insert(cells, 3, text(brief(in.Numbers)).warn(in.strays(numbers)))
		}
		t.add(in.Name, cells...)
	}
	return t
}

var serverColumns = []column{{"SERVER", 22, true}, {"POOL", 4, false}, {"PHASE", 7, true}, {"CEILING", 8, false}, {"PRESSED", 8, true}, {"TRIES/S", 8, false}, {"TRIES", 9, false},
	{"STOOD", 9, false}, {"CUT", 6, false}}

func serverTable(all []Server, instances int) *table {
	t := &table{columns: serverColumns}
	for _, x := range all {
		ceiling := cell{text: "none", key: math.Inf(1)}
		if !math.IsInf(x.Ceiling, 1) {
			ceiling = rate(x.Ceiling).warn(true)
		}
		phase := x.Phase
		if x.Cold {
			phase = "cold"
		}
		pressed := cell{text: "-", key: 0}
		if instances == 0 { // one instance's own view
			if !math.IsInf(x.Ceiling, 1) {
				pressed = cell{text: "yes", key: 1, bad: true}
			}
		} else {
			pressed = cell{text: fmt.Sprintf("%d of %d", x.Pressed, x.Heard), key: float64(x.Pressed), bad: x.Pressed > 0}
		}
		t.add(x.Name, text(x.Name), number(uint64(max(x.Pool, 0))), text(phase).warn(phase != "listed" && phase != ""), ceiling, pressed,
			rate(x.Rate), number(x.Tries), number(x.Stood), number(x.Cut).warn(x.Cut > 0))
	}
	return t
}

var classColumns = []column{{"CLASS", 16, true}, {"OFFER/S", 8, false}, {"STOOD/S", 8, false}, {"REFUS/S", 8, false}, {"FAIL/S", 7, false}, {"OFFERED", 9, false}, {"STOOD", 9, false},
	{"LATE", 7, false}, {"REFUSED", 8, false}, {"FAILED", 7, false}, {"GAVE UP", 7, false}, {"CUT", 6, false}}

func classTable(all []Class) *table {
	t := &table{columns: classColumns}
	for _, x := range all {
		t.add(x.Name, text(x.Name), rate(x.Rates.Offered), rate(x.Rates.Stood), rate(x.Rates.Refused).warn(x.Rates.Refused > 0), rate(x.Rates.Failed).warn(x.Rates.Failed > 0),
			number(x.Offered), number(x.Stood), number(x.Late), number(x.Refused), number(x.Failed), number(x.GivenUp), number(x.Cut))
	}
	return t
}

var eventColumns = []column{{"AT", 12, true}, {"INSTANCE", 12, true}, {"WHAT", 18, true}, {"SERVER", 14, true}, {"ACCOUNT", 60, true}}

func eventTable(all []Event) *table {
	t := &table{columns: eventColumns}
	for _, e := range all {
		t.add(e.Instance+e.Server, cell{text: e.At.Format("15:04:05.000"), key: float64(e.At.UnixNano())}, text(e.Instance), text(e.Kind).warn(e.Bad), text(e.Server), text(e.Text))
	}
	return t
}

var callColumns = []column{{"CALL", 16, true}, {"AT", 12, true}, {"INSTANCE", 9, true}, {"SERVER", 10, true}, {"OUTCOME", 17, true}, {"TOOK", 9, false}, {"CLASS", 10, true}, {"TRIES", 5, false}}

func callTable(all []Call) *table {
	t := &table{columns: callColumns}
	for _, c := range all {
		took := "-"
		if c.Outcome != "open" {
			took = fmt.Sprintf("%.1fms", float64(c.Took)/float64(time.Millisecond))
		}
		t.add(c.Instance+"/"+c.ID, text(c.ID), cell{text: c.At.Format("15:04:05.000"), key: float64(c.At.UnixNano())}, text(c.Instance), text(c.Server),
			text(c.Outcome).warn(c.Outcome != "stood" && c.Outcome != "open" && !strings.HasPrefix(c.Outcome, "stood, completed") && !strings.HasPrefix(c.Outcome, "stood, caller")), cell{text: took, key: c.Took.Seconds()},
			text(c.Class), number(uint64(c.Tries)))
	}
	return t
}
