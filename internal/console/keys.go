package console

import tea "charm.land/bubbletea/v2"

const (
	// speedStep is the factor by which one key press changes the speed of a replay.
	speedStep = 2
	// maxFilterLength bounds the filter, in bytes.
	maxFilterLength = 40
)

// handleKey applies a key press.
func (m Model) handleKey(key string) (tea.Model, tea.Cmd) {
	switch key {
	case "ctrl+c":
		return m, tea.Quit
	case "ctrl+z":
		return m, tea.Suspend
	}
	switch {
	case m.isTypingFilter:
		m.editFilter(key)
		return m, nil
	case m.isHelpShown:
		m.isHelpShown = false
		return m, nil
	case key == "q":
		return m, tea.Quit
	}
	t := m.table()
	m.moveSelection(key, t)
	m.changeTable(key, t)
	m.controlReplay(key)
	m.changeLocation(key, t)
	m.clampSelection(t)
	return m, nil
}

// editFilter applies a key while the operator types a filter.
func (m *Model) editFilter(key string) {
	filter := &m.location.filter
	switch key {
	case "enter":
		m.isTypingFilter = false
	case "esc":
		m.isTypingFilter = false
		*filter = ""
	case "backspace":
		runes := []rune(*filter)
		if len(runes) > 0 {
			*filter = string(runes[:len(runes)-1])
		}
	case "space":
		*filter += " "
	default:
		isCharacter := len([]rune(key)) == 1
		if isCharacter && len(*filter) < maxFilterLength {
			*filter += key
		}
	}
	m.location.row = 0
}

// moveSelection applies the keys that select a row.
func (m *Model) moveSelection(key string, t *table) {
	page := m.visibleRows()
	switch key {
	case "down", "j":
		m.location.row++
	case "up", "k":
		m.location.row--
	case "pgdown", "space+f", "ctrl+f":
		m.location.row += page
	case "pgup", "ctrl+b":
		m.location.row -= page
	case "home", "g":
		m.location.row = 0
	case "end", "G":
		m.location.row = t.rowCount() - 1
	}
}

// changeTable applies the keys that sort and filter.
func (m *Model) changeTable(key string, t *table) {
	switch key {
	case "s":
		if t != nil {
			m.sortByNextColumn(t)
		}
	case "r":
		m.location.order.isReversed = !m.location.order.isReversed
	case "/":
		m.isTypingFilter = true
	}
}

// sortByNextColumn sorts by the next column on the screen; after the last column it returns to the natural order.
func (m *Model) sortByNextColumn(t *table) {
	order := &m.location.order
	order.column++
	if order.column >= len(t.widths(m.width-1)) {
		order.column = unsorted
	}
}

// controlReplay applies the keys that control a replay.
func (m *Model) controlReplay(key string) {
	if m.player == nil {
		return
	}
	switch key {
	case "space":
		m.player.TogglePause()
	case "+", "=":
		m.player.ScaleSpeed(speedStep)
	case "-":
		m.player.ScaleSpeed(1.0 / speedStep)
	}
}

// changeLocation applies the keys that change the view.
func (m *Model) changeLocation(key string, t *table) {
	switch key {
	case "?", "h":
		m.isHelpShown = true
	case "1", "2", "3", "4", "5":
		m.jump(view(key[0] - '1'))
	case "tab":
		m.jump(m.location.view.nextTab())
	case "enter", "right", "l":
		m.openRow(t)
	case "esc", "left", "backspace":
		m.goBack()
	}
}

// jump shows a view of the whole fleet.
func (m *Model) jump(v view) {
	m.location = newLocation(v)
	m.history = nil
}

// openRow shows the details of the selected row.
func (m *Model) openRow(t *table) {
	if m.location.row >= t.rowCount() {
		return
	}
	next, ok := m.location.open(t.rows[m.location.row].name)
	if !ok {
		return
	}
	m.history = append(m.history, m.location)
	m.location = next
}

// goBack clears the filter, or returns to the previous location if there is no filter.
func (m *Model) goBack() {
	if m.location.filter != "" {
		m.location.filter = ""
		return
	}
	last := len(m.history) - 1
	if last < 0 {
		return
	}
	m.location = m.history[last]
	m.history = m.history[:last]
}

// clampSelection keeps the selected row within the table that was shown when the key was pressed.
func (m *Model) clampSelection(t *table) {
	m.location.row = max(min(m.location.row, t.rowCount()-1), 0)
	if m.location.view == viewCall {
		m.location.row = 0
	}
}
