package console

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"
)

// newTestModel returns a console that shows a snapshot on a screen of that size.
func newTestModel(s *Snapshot, width, height int) Model {
	return Model{location: newLocation(viewFleet), snapshot: s, width: width, height: height}
}

var specialKeys = map[string]rune{
	"enter": tea.KeyEnter,
	"esc":   tea.KeyEscape,
	"down":  tea.KeyDown,
	"end":   tea.KeyEnd,
}

// press returns the console after key presses.
func press(m Model, keys ...string) Model {
	for _, key := range keys {
		msg := tea.KeyPressMsg{Text: key}
		if code, ok := specialKeys[key]; ok {
			msg = tea.KeyPressMsg{Code: code}
		} else if runes := []rune(key); len(runes) == 1 {
			msg.Code = runes[0]
		}
		next, _ := m.Update(msg)
		m = next.(Model)
	}
	return m
}

// screen returns what a console shows as text, and checks that it fits.
func screen(t *testing.T, m Model) string {
	t.Helper()
	lines := m.lines()
	if len(lines) != m.height {
		t.Errorf("%d lines on a screen of %d", len(lines), m.height)
	}
	for _, l := range lines {
		if w := lipgloss.Width(l); w >= m.width {
			t.Errorf("a line of %d columns on a screen of %d: %q", w, m.width, l)
		}
	}
	return strings.Join(lines, "\n")
}

func lastIncidentSnapshot(t *testing.T) *Snapshot {
	t.Helper()
	all := replayIncident(t, 500)
	return all[len(all)-1]
}

func TestEveryViewFitsTheScreen(t *testing.T) {
	last := lastIncidentSnapshot(t)
	keySequences := [][]string{
		{}, {"s", "s", "r"}, {"down", "enter"}, {"enter"}, {"enter"}, {"esc"}, {"esc"}, {"esc"},
		{"2"}, {"3"}, {"4", "end"}, {"5"}, {"enter"}, {"?"}, {"x"},
		{"1", "/", "n", "2", "enter"}, {"/", "z", "z", "enter"},
	}
	sizes := []tea.WindowSizeMsg{
		{Width: 80, Height: 24}, {Width: 200, Height: 60}, {Width: 40, Height: 10}, {Width: 20, Height: 6},
	}
	for _, size := range sizes {
		t.Run(fmt.Sprintf("%dx%d", size.Width, size.Height), func(t *testing.T) {
			next, _ := newTestModel(last, 0, 0).Update(size)
			m := next.(Model)
			for _, keys := range keySequences {
				m = press(m, keys...)
				screen(t, m)
			}
		})
	}
}

func TestOpenRowsFromFleetToCall(t *testing.T) {
	m := newTestModel(lastIncidentSnapshot(t), 120, 40)
	if got := screen(t, press(m, "down", "enter")); !strings.Contains(got, "instance n1") ||
		!strings.Contains(got, "s-1") {
		t.Error(got)
	}
	if got := screen(t, press(m, "down", "enter", "enter")); !strings.Contains(got, "server s-0 at n1") ||
		!strings.Contains(got, "stood, completed") {
		t.Error(got)
	}
	call := screen(t, press(m, "down", "enter", "enter", "end", "enter"))
	if !strings.Contains(call, "setup") || !strings.Contains(call, "answer") || !strings.Contains(call, "release") {
		t.Error(call)
	}
}

func TestFilterAndSort(t *testing.T) {
	m := newTestModel(lastIncidentSnapshot(t), 120, 40)
	got := screen(t, press(m, "/", "n", "2", "enter"))
	if strings.Contains(got, "n3 ") || !strings.Contains(got, "n2 ") {
		t.Error(got)
	}
	sorted := press(m, "s", "r")
	if first := sorted.table().rows[0].name; first != "n3" {
		t.Errorf("the first row in reverse order of the names is %q", first)
	}
}

// An instance with another numbering table than the majority is marked, and counted in the first line. Without any
// table there is no such column.
func TestOtherNumberingTablesAreMarked(t *testing.T) {
	seen := time.Unix(1000, 0)
	s := &Snapshot{At: seen, Instances: []Instance{
		{Name: "a", State: StateRunning, NumberingDigest: "1111111111111111", Seen: seen},
		{Name: "b", State: StateRunning, NumberingDigest: "2222222222222222", Seen: seen},
		{Name: "c", State: StateRunning, NumberingDigest: "2222222222222222", Seen: seen},
		{Name: "d", State: StateEnded, Seen: seen},
	}}
	var marked []string
	for _, r := range s.fleetTable().rows {
		if r.cells[numberingColumnIndex].isFault {
			marked = append(marked, r.name)
		}
	}
	if s.MajorityNumbering() != "2222222222222222" || !slices.Equal(marked, []string{"a"}) {
		t.Errorf("the majority has %q, marked are %v", s.MajorityNumbering(), marked)
	}
	m := Model{snapshot: s, width: 120}
	if line := m.summaryLine(); !strings.Contains(line, "(1 not on table 22222222)") {
		t.Errorf("%q", line)
	}
	if text := formatText(t, s, 120); !strings.Contains(text, "NUMBERS") || !strings.Contains(text, "11111111") {
		t.Error(text)
	}
	for i := range s.Instances {
		s.Instances[i].NumberingDigest = ""
	}
	if text := formatText(t, s, 120); strings.Contains(text, "NUMBERS") {
		t.Error(text)
	}
}
