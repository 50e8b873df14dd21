// Package cli is what the programs' commands share: exit codes, errors that say how to mend
// things, tables that can be had as JSON. It owns no command of its own.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	Done   = 0
	Failed = 1
	Misuse = 2 // a command or flag that does not exist, or arguments that make no sense
)

// A usageError is the user's own.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }
func (e usageError) Unwrap() error { return e.err }

// ErrReported ends a program with Failed and without another word: its log tells why.
var ErrReported = errors.New("reported already")

// Usage makes an error that exits with Misuse and points to the command's help.
func Usage(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// Run executes a program's commands on its arguments and returns its exit code. Errors go
// to the command's standard error as one line, with the way to the help where the use was wrong.
func Run(root *cobra.Command) int {
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	arrange(root)
	c, err := root.ExecuteContextC(context.Background())
	if err == nil {
		return Done
	}
	if errors.Is(err, ErrReported) {
		return Failed
	}
	_, _ = fmt.Fprintf(c.ErrOrStderr(), "%s: %v\n", c.CommandPath(), err)
	var use usageError
	if errors.As(err, &use) {
		_, _ = fmt.Fprintf(c.ErrOrStderr(), "Try '%s --help'.\n", c.CommandPath())
		return Misuse
	}
	return Failed
}

// arrange makes wrong arguments usage errors, and groups of commands say what they hold.
func arrange(c *cobra.Command) {
	args := c.Args
	if args == nil {
		args = cobra.NoArgs
	}
	c.Args = func(c *cobra.Command, given []string) error {
		if err := args(c, given); err != nil {
			return usageError{err}
		}
		return nil
	}
	if !c.Runnable() {
		c.RunE = func(c *cobra.Command, _ []string) error {
			var names []string
			for _, k := range c.Commands() {
				if k.IsAvailableCommand() {
					names = append(names, k.Name())
				}
			}
			return Usage("a command is missing: %s", strings.Join(names, ", "))
		}
	}
	for _, k := range c.Commands() {
		arrange(k)
	}
}

// Table writes rows under a heading, or the value as JSON.
func Table(out io.Writer, asJSON bool, value any, heading []string, rows [][]string) error {
	if asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{heading}, rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// Version is the module's version and revision as the build noted them.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v, revision, dirty := info.Main.Version, "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision" && len(s.Value) >= 12:
			revision = " " + s.Value[:12]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = " (changed)"
		}
	}
	return v + revision + dirty + " " + info.GoVersion
}

// VersionCommand prints the version.
func VersionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version and the revision it was built from",
		Example: "  olivedale version",
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), Version())
			return err
		}}
}

// Interruptible is a command's context that ends with Ctrl-C or SIGTERM.
func Interruptible(c *cobra.Command) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
}

// Terminal tells whether a file is a terminal that wants colour and progress.
func Terminal(f *os.File) bool {
	st, err := f.Stat()
	return err == nil && st.Mode()&os.ModeCharDevice != 0 && os.Getenv("TERM") != "dumb"
}
