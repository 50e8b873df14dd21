package console

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	tea "charm.land/bubbletea/v2"

	"olivedale/internal/testutil"
)

// Control sequences of a terminal (xterm).
const (
	enterAltScreen = "\x1b[?1049h"
	leaveAltScreen = "\x1b[?1049l"
	hideCursor     = "\x1b[?25l"
	showCursor     = "\x1b[?25h"
)

// panickingSource is a source that panics once the console is on the screen.
type panickingSource struct{ isShown func() bool }

func (*panickingSource) Close() error { return nil }

func (p *panickingSource) Next(context.Context) (*Snapshot, error) {
	if p.isShown() {
		panic("a crash")
	}
	time.Sleep(time.Millisecond)
	return &Snapshot{At: time.Unix(0, 0)}, nil
}

func TestPanicRestoresTerminal(t *testing.T) {
	var output testutil.Buffer
	src := &panickingSource{func() bool { return strings.Contains(output.String(), enterAltScreen) }}
	program := tea.NewProgram(NewModel(context.Background(), src),
		tea.WithOutput(&output), tea.WithInput(nil), tea.WithWindowSize(80, 24),
		tea.WithEnvironment([]string{"TERM=xterm"}))
	if _, err := program.Run(); !errors.Is(err, tea.ErrProgramPanic) {
		t.Errorf("%v", err)
	}
	text := output.String()
	entered := strings.LastIndex(text, enterAltScreen)
	left := strings.LastIndex(text, leaveAltScreen)
	if entered < 0 || left < entered {
		t.Error("the alternate screen was not left")
	}
	if hidden, shown := strings.LastIndex(text, hideCursor), strings.LastIndex(text, showCursor); hidden > shown {
		t.Error("the cursor stays hidden")
	}
}
