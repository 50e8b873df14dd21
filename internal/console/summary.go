package console

import (
	"fmt"
	"io"
	"strings"
	"time"
)

var helpLines = []string{
	"",
	"  1-5, tab      show the fleet, servers, classes, events or calls",
	"  up, down      select a row (also j, k, page up, page down, g, G)",
	"  enter         open the row: instance, server, its calls, the records of a call",
	"  esc           go back, or clear the filter",
	"  s, r          sort by the next column, reverse the order",
	"  /             show only the rows that contain a text",
	"  space, +, -   pause a replay, double or halve its speed",
	"  ctrl+z        suspend",
	"  q             quit",
	"",
	"  A dash is an unknown rate: at the start, after a restart or a gap.",
	"  AGE is the age of an instance's data.",
}

// footer returns the keys that the screen accepts and the source of the data.
func (m *Model) footer() string {
	keys := "enter open  esc back  s sort  r reverse  / filter  ? help  q quit"
	switch {
	case m.isTypingFilter:
		keys = "type a text; enter keeps the filter, esc clears it"
	case m.player != nil && m.snapshot.IsReplay:
		keys = "space pause  +- speed  " + keys
	}
	return keys + "   " + m.snapshot.Source
}

// summaryLine returns the first line of the screen, a summary of the fleet.
func (m *Model) summaryLine() string {
	s := m.snapshot
	totals := s.Totals()
	incomplete := ""
	if totals.WithoutRates > 0 {
		incomplete = "+"
	}
	rates := fmt.Sprintf("  %s%s offer/s  %s refus/s  %s fail/s  %d cut",
		rateCell(totals.Rates.Offered).text, incomplete,
		rateCell(totals.Rates.Rejected).text,
		rateCell(totals.Rates.Failed).text,
		totals.Counts.Dropped)
	return headlineStyle.Render(m.fitLine(s.timeText() + s.instancesText() + rates))
}

// timeText returns the time of the snapshot and, for a replay, its speed or that it is paused or at the end.
func (s *Snapshot) timeText() string {
	if !s.IsReplay {
		return s.At.Format(time.TimeOnly)
	}
	at := s.At.Format(time.DateTime)
	switch {
	case s.AtEnd:
		return at + " [end of records]"
	case s.Speed == 0:
		return at + " [paused]"
	default:
		return at + fmt.Sprintf(" [x%g]", s.Speed)
	}
}

// instancesText returns how many instances there are, and how many of them need attention.
func (s *Snapshot) instancesText() string {
	text := fmt.Sprintf("  %d inst", len(s.Instances))
	if silent := s.countInState(StateUnresponsive); silent > 0 {
		text += fmt.Sprintf(" (%d silent)", silent)
	}
	majority := s.MajorityNumbering()
	if others := s.countOtherNumbering(majority); others > 0 {
		text += fmt.Sprintf("  (%d not on table %s)", others, shortDigest(majority))
	}
	return text
}

// WriteText writes the snapshot as tables without styles, for a file or a terminal without cursor control.
func (s *Snapshot) WriteText(w io.Writer, width int) error {
	var b strings.Builder
	counts := s.Totals().Counts
	_, _ = fmt.Fprintf(&b, "%s  %s  %d instances  %d offered  %d stood  %d refused  %d failed  %d cut\n",
		s.At.Format(time.RFC3339), s.Source, len(s.Instances),
		counts.Offered, counts.Established, counts.Rejected, counts.Failed, counts.Dropped)
	for _, t := range []*table{s.fleetTable(), serverTable(s.Servers(), scopeFleet), classTable(s.Classes())} {
		if len(t.rows) == 0 {
			continue
		}
		_, _ = fmt.Fprintf(&b, "\n%s\n", trimRight(t.headingLine(width, sortOrder{column: unsorted})))
		for _, r := range t.rows {
			_, _ = fmt.Fprintln(&b, trimRight(t.line(r.cells, width)))
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func trimRight(line string) string { return strings.TrimRight(line, " ") }
