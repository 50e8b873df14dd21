package cli

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"
)

// newProgram returns a program with one group of commands, whose only command returns result.
func newProgram(result error) *cobra.Command {
	root := &cobra.Command{Use: "program"}
	group := &cobra.Command{Use: "group"}
	group.AddCommand(&cobra.Command{Use: "work", RunE: func(*cobra.Command, []string) error { return result }})
	root.AddCommand(group)
	return root
}

func TestRunTurnsErrorsIntoExitCodes(t *testing.T) {
	for name, c := range map[string]struct {
		args    string
		result  error
		code    int
		message string
	}{
		"success":          {args: "group work", code: ExitSuccess},
		"failure":          {"group work", errors.New("no disk"), ExitFailure, "program group work: no disk\n"},
		"reported failure": {"group work", fmt.Errorf("it: %w", ErrReported), ExitFailure, ""},
		"usage error": {
			"group work", UsageErrorf("--to: %d", 7), ExitUsage,
			"program group work: --to: 7\nTry 'program group work --help'.\n",
		},
		"missing command": {
			"group", nil, ExitUsage,
			"program group: missing command; available commands: work\nTry 'program group --help'.\n",
		},
		"superfluous argument": {
			"group work x", nil, ExitUsage,
			"program group work: unknown command \"x\" for \"program group work\"\n" +
				"Try 'program group work --help'.\n",
		},
		"unknown flag": {
			"group work --x", nil, ExitUsage,
			"program group work: unknown flag: --x\nTry 'program group work --help'.\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			root := newProgram(c.result)
			var stderr strings.Builder
			root.SetErr(&stderr)
			root.SetArgs(strings.Fields(c.args))
			if code := Run(root); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if stderr.String() != c.message {
				t.Errorf("message %q, want %q", stderr.String(), c.message)
			}
		})
	}
}

func TestParseTime(t *testing.T) {
	now := time.Date(2026, 12, 1, 18, 0, 0, 0, time.UTC)
	halfPastFive := time.Date(2026, 12, 1, 17, 30, 0, 0, time.UTC)
	for text, want := range map[string]time.Time{
		"":                          {},
		"2026-12-01T17:30:00Z":      halfPastFive,
		"2026-12-01T18:30:00+01:00": halfPastFive,
		"2026-12-01T17:30:00":       halfPastFive,
		"2026-12-01 17:30":          halfPastFive,
		"30m":                       halfPastFive,
		"2026-12-01":                time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC),
	} {
		got, err := ParseTime(text, now)
		if err != nil || !got.Equal(want) {
			t.Errorf("%q: %v, %v, want %v", text, got, err, want)
		}
	}
	for _, text := range []string{"soon", "-30m"} {
		if got, err := ParseTime(text, now); err == nil {
			t.Errorf("%q: %v without an error", text, got)
		}
	}
}
