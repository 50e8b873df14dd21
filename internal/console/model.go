package console

import (
	"context"

	tea "charm.land/bubbletea/v2"
)

// The assumed size of the terminal until it is known, and the smallest size that the screen is laid out for.
const (
	defaultWidth  = 80
	defaultHeight = 24
	minWidth      = 20
	minHeight     = 6
)

// A Model is the state of the console: the last snapshot and the operator's location in it. It does no I/O itself. It
// implements tea.Model.
type Model struct {
	waitForSnapshot tea.Cmd
	player          Player // nil if the source is no replay
	snapshot        *Snapshot
	err             error
	location        location
	history         []location // locations to which esc returns, the latest last
	isTypingFilter  bool
	isHelpShown     bool
	width           int
	height          int
}

// snapshotMsg carries the next snapshot, or the error that ends the source.
type snapshotMsg struct {
	snapshot *Snapshot
	err      error
}

// NewModel returns a console that reads a source until ctx is done.
func NewModel(ctx context.Context, src Source) Model {
	m := Model{location: newLocation(viewFleet), width: defaultWidth, height: defaultHeight}
	m.player, _ = src.(Player)
	m.waitForSnapshot = func() tea.Msg {
		s, err := src.Next(ctx)
		return snapshotMsg{snapshot: s, err: err}
	}
	return m
}

// Err returns the error that ended the source, nil if the operator ended the console.
func (m Model) Err() error { return m.err }

// Init implements tea.Model.
func (m Model) Init() tea.Cmd { return m.waitForSnapshot }

// Update implements tea.Model.
func (m Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case snapshotMsg:
		if msg.err != nil {
			m.err = msg.err
			return m, tea.Quit
		}
		m.snapshot = msg.snapshot
		return m, m.waitForSnapshot
	case tea.WindowSizeMsg:
		m.width = max(msg.Width, minWidth)
		m.height = max(msg.Height, minHeight)
	case tea.KeyPressMsg:
		return m.handleKey(msg.String())
	}
	return m, nil
}

// table returns the table of the location, nil if it has none.
func (m *Model) table() *table {
	if m.snapshot == nil {
		return nil
	}
	return m.location.table(m.snapshot)
}
