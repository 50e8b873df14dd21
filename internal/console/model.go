package console

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"

	"olivedale/internal/record"
)

// A view of the console.
type view int

// Views. From Fleet one comes to an instance, from there to a server, from there to its calls
// and to the life of one.
const (
	viewFleet view = iota
	viewServers
	viewClasses
	viewEvents
	viewCalls
	viewInstance // servers, as one instance knows them
	viewServer   // calls of one server
	viewLife     // of one call
)

var tabs = []string{"1 fleet", "2 servers", "3 classes", "4 events", "5 calls"}

// place is where one is, and what is set there.
type place struct {
	view     view
	instance string
	server   string
	call     string
	row      int
	sort     int // column; -1: as it comes
	up       bool
	filter   string
}

// A Model is the console's state: the last snapshot and where one is in it. It does no I/O.
type Model struct {
	next   func() tea.Msg // waits for the next snapshot
	player Player         // nil: what is shown cannot be steered
	snap   *Snapshot
	err    error
	at     place
	back   []place
	typing bool // a filter is being written
	help   bool
	width  int
	height int
}

// arrived carries a snapshot or why there is none.
type arrived struct {
	snap *Snapshot
	err  error
}

// NewModel makes the console's state over a source.
func NewModel(ctx context.Context, src Source) Model {
	m := Model{at: place{sort: -1}, width: 80, height: 24}
	m.player, _ = src.(Player)
	m.next = func() tea.Msg {
		s, err := src.Next(ctx)
		return arrived{s, err}
	}
	return m
}

// Err is why the source ended, if it did.
func (m Model) Err() error { return m.err }

// Init implements tea.Model.
func (m Model) Init() tea.Cmd { return m.next }

// Update implements tea.Model.
func (m Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case arrived:
		if msg.err != nil {
			m.err = msg.err
			return m, tea.Quit
		}
		m.snap = msg.snap
		return m, m.next
	case tea.WindowSizeMsg:
		m.width, m.height = max(msg.Width, 20), max(msg.Height, 6)
	case tea.KeyPressMsg:
		return m.key(msg.String())
	}
	return m, nil
}

func (m Model) key(key string) (tea.Model, tea.Cmd) {
	if key == "ctrl+c" {
		return m, tea.Quit
	}
	if key == "ctrl+z" {
		return m, tea.Suspend
	}
	if m.typing {
		m.typeFilter(key)
		return m, nil
	}
	if m.help {
		m.help = false
		return m, nil
	}
	t := m.table()
	rows := 0
	if t != nil {
		rows = len(t.rows)
	}
	page := max(m.height-5, 1)
	switch key {
	case "q":
		return m, tea.Quit
	case "?", "h":
		m.help = true
	case "1", "2", "3", "4", "5":
		m.at, m.back = place{view: view(key[0] - '1'), sort: -1}, nil
	case "tab":
		m.at, m.back = place{view: (min(m.at.view, viewCalls) + 1) % (viewCalls + 1), sort: -1}, nil
	case "down", "j":
		m.at.row++
	case "up", "k":
		m.at.row--
	case "pgdown", "space+f", "ctrl+f":
		m.at.row += page
	case "pgup", "ctrl+b":
		m.at.row -= page
	case "home", "g":
		m.at.row = 0
	case "end", "G":
		m.at.row = rows - 1
	case "enter", "right", "l":
		m.drill(t)
	case "esc", "left", "backspace":
		if m.at.filter != "" {
			m.at.filter = ""
		} else if n := len(m.back); n > 0 {
			m.at, m.back = m.back[n-1], m.back[:n-1]
		}
	case "s":
		if t != nil {
			if m.at.sort++; m.at.sort >= len(t.widths(m.width-1)) {
				m.at.sort = -1
			}
		}
	case "r":
		m.at.up = !m.at.up
	case "/":
		m.typing = true
	case "space":
		if m.player != nil {
			m.player.Hold()
		}
	case "+", "=":
		if m.player != nil {
			m.player.Faster(2)
		}
	case "-":
		if m.player != nil {
			m.player.Faster(0.5)
		}
	}
	m.at.row = max(min(m.at.row, rows-1), 0)
	if m.at.view == viewLife {
		m.at.row = 0
	}
	return m, nil
}

func (m *Model) typeFilter(key string) {
	switch key {
	case "enter":
		m.typing = false
	case "esc":
		m.typing, m.at.filter = false, ""
	case "backspace":
		if r := []rune(m.at.filter); len(r) > 0 {
			m.at.filter = string(r[:len(r)-1])
		}
	case "space":
		m.at.filter += " "
	default:
		if len([]rune(key)) == 1 && len(m.at.filter) < 40 {
			m.at.filter += key
		}
	}
	m.at.row = 0
}

// drill goes into the row at hand.
func (m *Model) drill(t *table) {
	if t == nil || m.at.row >= len(t.rows) {
		return
	}
	name := t.names[m.at.row]
	next := place{sort: -1, instance: m.at.instance}
	switch m.at.view {
	case viewFleet:
		next.view, next.instance = viewInstance, name
	case viewServers, viewInstance:
		next.view, next.server = viewServer, name
	case viewCalls, viewServer:
		next.view, next.call = viewLife, name
	default:
		return
	}
	m.back = append(m.back, m.at)
	m.at = next
}

// table is what the view at hand shows, filtered and sorted; nil where it is no table.
func (m Model) table() *table {
	if m.snap == nil {
		return nil
	}
	var t *table
	switch m.at.view {
	case viewFleet:
		t = m.snap.fleet()
	case viewServers:
		t = serverTable(m.snap.Servers(), len(m.snap.Instances))
	case viewClasses:
		t = classTable(m.snap.Classes())
	case viewEvents:
		t = eventTable(m.snap.Events)
	case viewCalls:
		t = callTable(m.snap.Calls)
	case viewInstance:
		t = serverTable(nil, 0)
		if in := m.instance(); in != nil {
			t = serverTable(in.Servers, 0)
		}
	case viewServer:
		var calls []Call
		for _, c := range m.snap.Calls {
			if c.Server == m.at.server && (m.at.instance == "" || c.Instance == m.at.instance) {
				calls = append(calls, c)
			}
		}
		t = callTable(calls)
	default:
		return nil
	}
	t.keep(m.at.filter)
	t.sort(m.at.sort, m.at.up)
	return t
}

func (m Model) instance() *Instance {
	for i := range m.snap.Instances {
		if m.snap.Instances[i].Name == m.at.instance {
			return &m.snap.Instances[i]
		}
	}
	return nil
}

// keep leaves the rows in which a text stands.
func (t *table) keep(filter string) {
	if filter == "" {
		return
	}
	filter = strings.ToLower(filter)
	rows, names := t.rows, t.names
	t.rows, t.names = nil, nil
	for i, r := range rows {
		if slices.ContainsFunc(r, func(c cell) bool { return strings.Contains(strings.ToLower(c.text), filter) }) {
			t.add(names[i], r...)
		}
	}
}

// sort orders rows by a column: figures the most first, texts by the alphabet, turned by up.
func (t *table) sort(column int, up bool) {
	if column < 0 || column >= len(t.columns) {
		if up {
			slices.Reverse(t.rows)
			slices.Reverse(t.names)
		}
		return
	}
	order := make([]int, len(t.rows))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := t.rows[a][column], t.rows[b][column]
		by := strings.Compare(x.text, y.text)
		if !math.IsNaN(x.key) && !math.IsNaN(y.key) {
			switch {
			case x.key > y.key:
				by = -1
			case x.key < y.key:
				by = 1
			default:
				by = 0
			}
		}
		if up {
			return -by
		}
		return by
	})
	rows, names := t.rows, t.names
	t.rows, t.names = make([][]cell, len(rows)), make([]string, len(rows))
	for i, o := range order {
		t.rows[i], t.names[i] = rows[o], names[o]
	}
}

var (
	strong = lipgloss.NewStyle().Bold(true)
	faint  = lipgloss.NewStyle().Faint(true)
	chosen = lipgloss.NewStyle().Reverse(true)
	alarm  = lipgloss.NewStyle().Foreground(lipgloss.Color("1")).Bold(true)
)

// mark shows what is wrong.
func mark(s string, bad bool) string {
	if bad {
		return alarm.Render(s)
	}
	return s
}

// View implements tea.Model.
func (m Model) View() tea.View {
	v := tea.NewView(strings.Join(m.lines(), "\n"))
	v.AltScreen = true
	v.WindowTitle = "olivectl top"
	return v
}

// lines are the screen's, as many as it has.
func (m Model) lines() []string {
	if m.snap == nil {
		return []string{"asking ..."}
	}
	lines := []string{m.summary(), m.tabLine()}
	body := max(m.height-4, 1)
	switch t := m.table(); {
	case m.help:
		for _, l := range helpLines {
			lines = append(lines, pad(l, m.width-1, true))
		}
	case m.at.view == viewLife:
		lines = append(lines, m.life()...)
	default:
		lines = append(lines, m.rows(t, body)...)
	}
	lines = lines[:min(len(lines), m.height-1)]
	for len(lines) < m.height-1 {
		lines = append(lines, "")
	}
	return append(lines, faint.Render(pad(m.footer(), m.width-1, true)))
}

// summary is the first line: the fleet in a sentence.
func (m Model) summary() string {
	s := m.snap
	c, r, left := s.Totals()
	silent := 0
	for _, in := range s.Instances {
		if in.State == StateSilent {
			silent++
		}
	}
	when := s.At.Format("15:04:05")
	if s.Replay {
		when = s.At.Format("2006-01-02 15:04:05")
	}
	switch {
	case s.Over:
		when += " [end of records]"
	case s.Replay && s.Speed == 0:
		when += " [held]"
	case s.Replay:
		when += fmt.Sprintf(" [x%g]", s.Speed)
	}
	line := fmt.Sprintf("%s  %d inst", when, len(s.Instances))
	if silent > 0 {
		line += fmt.Sprintf(" (%d silent)", silent)
	}
	numbers, other := s.Numbers(), 0
	for i := range s.Instances {
		if s.Instances[i].strays(numbers) {
			other++
		}
	}
	if other > 0 {
		line += fmt.Sprintf("  (%d not on table %s)", other, brief(numbers))
	}
	note := ""
	if left > 0 {
		note = "+" // some rates are not known
	}
	line += fmt.Sprintf("  %s%s offer/s  %s refus/s  %s fail/s  %d cut", rate(r.Offered).text, note, rate(r.Refused).text, rate(r.Failed).text, c.Cut)
	return strong.Render(pad(line, m.width-1, true))
}

func (m Model) tabLine() string {
	var b strings.Builder
	used := 0
	for i, name := range tabs {
		if used += len(name) + 2; used >= m.width {
			break
		}
		if m.at.view == view(i) {
			b.WriteString(chosen.Render(name) + "  ")
		} else {
			b.WriteString(name + "  ")
		}
	}
	where := ""
	switch m.at.view {
	case viewInstance:
		where = "instance " + m.at.instance
	case viewServer:
		if where = "server " + m.at.server; m.at.instance != "" {
			where += " at " + m.at.instance
		}
	case viewLife:
		where = "call " + m.at.call
	}
	if m.at.filter != "" || m.typing {
		where += " /" + m.at.filter
		if m.typing {
			where += "_"
		}
	}
	return b.String() + pad(record.Printable(strings.TrimSpace(where)), max(m.width-used-1, 0), true)
}

// rows are a table's that fit, around the row at hand.
func (m Model) rows(t *table, body int) []string {
	lines := []string{faint.Render(t.heading(m.width-1, m.at.sort, m.at.up))}
	if len(t.rows) == 0 {
		return append(lines, pad(m.empty(), m.width-1, true))
	}
	body--
	row := min(m.at.row, len(t.rows)-1)
	top := max(0, min(row-body/2, len(t.rows)-body))
	for i := top; i < min(top+body, len(t.rows)); i++ {
		if i == row {
			lines = append(lines, chosen.Render(t.line(t.rows[i], m.width-1)))
		} else {
			lines = append(lines, t.styled(t.rows[i], m.width-1, mark))
		}
	}
	if in := m.instance(); m.at.view == viewInstance && in != nil && in.Problem != "" {
		lines = append(lines, alarm.Render(pad(record.Printable(in.Problem), m.width-1, true)))
	}
	return lines
}

// empty says why there is nothing.
func (m Model) empty() string {
	switch {
	case m.at.filter != "":
		return "nothing matches; esc clears the filter"
	case m.at.view == viewCalls || m.at.view == viewServer:
		if m.snap.Source == "records" || m.snap.Replay {
			return "no calls yet"
		}
		return "calls are in the records only: olivectl top --records DIR"
	}
	return "nothing yet"
}

// life is that of one call, its records in order.
func (m Model) life() (lines []string) {
	for _, c := range m.snap.Calls {
		if c.Instance+"/"+c.ID != m.at.call {
			continue
		}
		lines = append(lines, strong.Render(pad(record.Printable(fmt.Sprintf("%s at %s: %s", c.ID, c.Instance, c.Outcome)), m.width-1, true)))
		for _, l := range c.Lines {
			for first := true; l != ""; first = false { // wrapped: nothing of a call is cut off
				room := m.width - 1
				if !first {
					room -= 4
				}
				r := []rune(l)
				n := min(len(r), room)
				part := string(r[:n])
				if l = string(r[n:]); !first {
					part = "    " + part
				}
				lines = append(lines, part)
			}
		}
		return lines
	}
	return []string{"this call is not among the latest any more"}
}

var helpLines = []string{
	"",
	"  1-5, tab      fleet, servers, classes, events, calls",
	"  up, down      choose a row (also j, k, page up, page down, g, G)",
	"  enter         into the row: instance, server, its calls, the life of a call",
	"  esc           back, or clear the filter",
	"  s, r          sort by the next column, turn the order",
	"  /             show only rows with a text",
	"  space, +, -   hold a replay, faster, slower",
	"  ctrl+z        suspend",
	"  q             end",
	"",
	"  A dash is a rate that is not known: at the first look, over a restart or a gap.",
	"  AGE is how old the figures of an instance are.",
}

func (m Model) footer() string {
	keys := "enter in  esc back  s sort  r turn  / find  ? help  q end"
	if m.player != nil && m.snap.Replay {
		keys = "space hold  +- speed  " + keys
	}
	if m.typing {
		keys = "type a text, enter keeps it, esc drops it"
	}
	return keys + "   " + m.snap.Source
}

// Plain writes a snapshot as text for a terminal that can do nothing, or for a file.
func (s *Snapshot) Plain(width int) string {
	var b strings.Builder
	c, _, _ := s.Totals()
	fmt.Fprintf(&b, "%s  %s  %d instances  %d offered  %d stood  %d refused  %d failed  %d cut\n", s.At.Format(time.RFC3339), s.Source, len(s.Instances),
		c.Offered, c.Stood, c.Refused, c.Failed, c.Cut)
	for _, t := range []*table{s.fleet(), serverTable(s.Servers(), len(s.Instances)), classTable(s.Classes())} {
		if len(t.rows) == 0 {
			continue
		}
		fmt.Fprintf(&b, "\n%s\n", strings.TrimRight(t.heading(width, -1, false), " "))
		for _, r := range t.rows {
			fmt.Fprintln(&b, strings.TrimRight(t.line(r, width), " "))
		}
	}
	return b.String()
}
