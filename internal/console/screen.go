package console

import (
	"fmt"
	"strings"

	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"

	"olivedale/internal/record"
)

var (
	headlineStyle = lipgloss.NewStyle().Bold(true)
	faintStyle    = lipgloss.NewStyle().Faint(true)
	selectedStyle = lipgloss.NewStyle().Reverse(true)
	faultStyle    = lipgloss.NewStyle().Foreground(lipgloss.Color("1")).Bold(true)
)

// linesAroundRows is the number of lines that are not available for the rows of a table: the summary, the tabs, the
// headings, the problem of an instance, and the footer.
const linesAroundRows = 5

// continuationIndent is the indentation of the continuation lines of a long record.
const continuationIndent = 4

// View implements tea.Model.
func (m Model) View() tea.View {
	v := tea.NewView(strings.Join(m.lines(), "\n"))
	v.AltScreen = true
	v.WindowTitle = "olivectl top"
	return v
}

// lines returns the lines of the screen, exactly as many as its height once there is a snapshot.
func (m *Model) lines() []string {
	if m.snapshot == nil {
		return []string{"waiting for the first data ..."}
	}
	lines := []string{m.summaryLine(), m.tabLine()}
	lines = append(lines, m.body()...)
	lines = lines[:min(len(lines), m.height-1)]
	for len(lines) < m.height-1 {
		lines = append(lines, "")
	}
	return append(lines, faintStyle.Render(m.fitLine(m.footer())))
}

// fitLine fits a text to the width of the screen without the last column, in which some terminals wrap.
func (m *Model) fitLine(s string) string { return fit(s, m.width-1, alignLeft) }

// visibleRows returns how many rows of a table fit.
func (m *Model) visibleRows() int { return max(m.height-linesAroundRows, 1) }

func (m *Model) body() []string {
	switch {
	case m.isHelpShown:
		var lines []string
		for _, l := range helpLines {
			lines = append(lines, m.fitLine(l))
		}
		return lines
	case m.location.view == viewCall:
		return m.callLines()
	default:
		return m.tableLines(m.table())
	}
}

// tabLine returns the tabs that fit and the subject of the view.
func (m *Model) tabLine() string {
	var b strings.Builder
	used := 0
	for v := range view(tabCount) {
		label := fmt.Sprintf("%d %v", v+1, v)
		used += len(label) + 2
		if used >= m.width {
			break
		}
		if m.location.view == v {
			label = selectedStyle.Render(label)
		}
		b.WriteString(label + "  ")
	}
	subject := record.Printable(strings.TrimSpace(m.location.subject() + m.filterText()))
	return b.String() + fit(subject, max(m.width-used-1, 0), alignLeft)
}

// filterText returns the filter as the tab line shows it, "" if there is none.
func (m *Model) filterText() string {
	switch {
	case m.isTypingFilter:
		return " /" + m.location.filter + "_"
	case m.location.filter != "":
		return " /" + m.location.filter
	default:
		return ""
	}
}

// tableLines returns the headings and the rows around the selected one that fit.
func (m *Model) tableLines(t *table) []string {
	lines := []string{faintStyle.Render(t.headingLine(m.width-1, m.location.order))}
	if len(t.rows) == 0 {
		return append(lines, m.fitLine(m.emptyText()))
	}
	visible := m.visibleRows()
	selected := min(m.location.row, len(t.rows)-1)
	first := max(0, min(selected-visible/2, len(t.rows)-visible))
	for i := first; i < min(first+visible, len(t.rows)); i++ {
		cells := t.rows[i].cells
		if i == selected {
			lines = append(lines, selectedStyle.Render(t.line(cells, m.width-1)))
		} else {
			lines = append(lines, t.styledLine(cells, m.width-1, markFault))
		}
	}
	if problem := m.shownProblem(); problem != "" {
		lines = append(lines, faultStyle.Render(m.fitLine(record.Printable(problem))))
	}
	return lines
}

func markFault(text string, isFault bool) string {
	if isFault {
		return faultStyle.Render(text)
	}
	return text
}

// shownProblem returns why the instance of the view could not be polled, "" if it could or the view has none.
func (m *Model) shownProblem() string {
	if m.location.view != viewInstance {
		return ""
	}
	i := m.snapshot.instance(m.location.instance)
	if i == nil {
		return ""
	}
	return i.Problem
}

// emptyText returns the reason why a table has no rows.
func (m *Model) emptyText() string {
	isCallTable := m.location.view == viewCalls || m.location.view == viewServer
	switch {
	case m.location.filter != "":
		return "no row matches; esc clears the filter"
	case isCallTable && m.snapshot.HasCalls:
		return "no calls yet"
	case isCallTable:
		return "calls are in the records only: olivectl top --records DIR"
	default:
		return "nothing yet"
	}
}

// callLines returns the records of the call of the view.
func (m *Model) callLines() []string {
	c := m.snapshot.call(m.location.call)
	if c == nil {
		return []string{"this call is no longer among the latest calls"}
	}
	title := fmt.Sprintf("%s at %s: %s", c.ID, c.Instance, c.Outcome)
	lines := []string{headlineStyle.Render(m.fitLine(record.Printable(title)))}
	for _, l := range c.Lines {
		lines = append(lines, wrap(l, m.width-1)...)
	}
	return lines
}

// wrap breaks a text into lines of at most width characters. Continuation lines are indented.
func wrap(text string, width int) []string {
	var lines []string
	rest := []rune(text)
	for len(rest) > 0 {
		indent := 0
		if len(lines) > 0 {
			indent = continuationIndent
		}
		n := min(len(rest), width-indent)
		lines = append(lines, strings.Repeat(" ", indent)+string(rest[:n]))
		rest = rest[n:]
	}
	return lines
}
