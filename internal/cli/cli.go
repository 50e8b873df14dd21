// Package cli contains what the commands of all programs share: exit codes, usage errors, tables that can be printed as
// JSON, and the version command.
//
// Only Run converts an error to an exit code. The package defines no other command than the version command.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

// Exit codes of the programs.
const (
	ExitSuccess = 0
	ExitFailure = 1
	ExitUsage   = 2 // an unknown command or flag, or invalid arguments
)

// ErrReported makes Run return the exit code of a failure without printing an error message. A command returns it after
// it has logged the error.
var ErrReported = errors.New("error already reported")

// A usageError is an error in the command line. Its text is that of the cause.
type usageError struct{ cause error }

func (e usageError) Error() string { return e.cause.Error() }
func (e usageError) Unwrap() error { return e.cause }

// UsageErrorf returns a formatted error in the command line. For such an error Run returns ExitUsage and prints a hint
// at the help of the command.
func UsageErrorf(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// Run executes a program's command line and returns its exit code. It prints an error as one line on the command's
// standard error, followed by a hint at the help if it is a usage error.
func Run(root *cobra.Command) int {
	prepare(root)
	executed, err := root.ExecuteContextC(context.Background())
	if err != nil && !errors.Is(err, ErrReported) {
		printError(executed.ErrOrStderr(), executed.CommandPath(), err)
	}
	return exitCode(err)
}

// exitCode returns the exit code for the error that a command returned, which may be nil.
func exitCode(err error) int {
	var usage usageError
	switch {
	case err == nil:
		return ExitSuccess
	case errors.Is(err, ErrReported):
		return ExitFailure
	case errors.As(err, &usage):
		return ExitUsage
	default:
		return ExitFailure
	}
}

func printError(w io.Writer, command string, err error) {
	_, _ = fmt.Fprintf(w, "%s: %v\n", command, err)
	if exitCode(err) == ExitUsage {
		_, _ = fmt.Fprintf(w, "Try '%s --help'.\n", command)
	}
}

// prepare turns all errors in flags and arguments into usage errors and disables cobra's own error output, because Run
// prints errors.
func prepare(root *cobra.Command) {
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	prepareCommands(root)
}

func prepareCommands(c *cobra.Command) {
	c.Args = usageArgs(c.Args)
	if !c.Runnable() {
		c.RunE = requireSubcommand
	}
	for _, subcommand := range c.Commands() {
		prepareCommands(subcommand)
	}
}

// usageArgs wraps a validation of positional arguments so that its errors are usage errors. If validate is nil, no
// arguments are allowed.
func usageArgs(validate cobra.PositionalArgs) cobra.PositionalArgs {
	if validate == nil {
		validate = cobra.NoArgs
	}
	return func(c *cobra.Command, args []string) error {
		if err := validate(c, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

// requireSubcommand runs for a group of commands without a subcommand. Its error lists the subcommands.
func requireSubcommand(c *cobra.Command, _ []string) error {
	var names []string
	for _, subcommand := range c.Commands() {
		if subcommand.IsAvailableCommand() {
			names = append(names, subcommand.Name())
		}
	}
	return UsageErrorf("missing command; available commands: %s", strings.Join(names, ", "))
}
