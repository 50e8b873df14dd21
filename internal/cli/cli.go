// Package cli is what the commands of all programs share: exit codes, usage errors, tables with a JSON form, and the
// version.
//
// Run is the only place that turns an error into an exit code. The package defines no command but the version command.
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
	Done   = 0
	Failed = 1
	Misuse = 2 // an unknown command or flag, or invalid arguments
)

// ErrReported ends a program with Failed without an error message, because its log has one.
var ErrReported = errors.New("reported already")

// A usageError is an error in the command line. The cause is the message.
type usageError struct{ cause error }

func (e usageError) Error() string { return e.cause.Error() }
func (e usageError) Unwrap() error { return e.cause }

// Usage returns an error in the command line, for which Run returns Misuse and points to the help of the command.
func Usage(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// Run executes the commands of a program and returns its exit code. An error is written to the command's standard error
// as one line; a usage error is followed by a line that points to the help.
func Run(root *cobra.Command) int {
	prepare(root)
	executed, err := root.ExecuteContextC(context.Background())
	if err != nil && !errors.Is(err, ErrReported) {
		printError(executed.ErrOrStderr(), executed.CommandPath(), err)
	}
	return exitCode(err)
}

// exitCode returns the exit code of a program that ends with an error, or with nil.
func exitCode(err error) int {
	var usage usageError
	switch {
	case err == nil:
		return Done
	case errors.Is(err, ErrReported):
		return Failed
	case errors.As(err, &usage):
		return Misuse
	default:
		return Failed
	}
}

func printError(w io.Writer, command string, err error) {
	_, _ = fmt.Fprintf(w, "%s: %v\n", command, err)
	if exitCode(err) == Misuse {
		_, _ = fmt.Fprintf(w, "Try '%s --help'.\n", command)
	}
}

// prepare makes all errors in the use of the commands usage errors, and leaves their output to Run.
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

// usageArgs returns a validation of arguments whose errors are usage errors. Without a validation there must be none.
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

// requireSubcommand is what a group of commands does: it names the commands of the group.
func requireSubcommand(c *cobra.Command, _ []string) error {
	var names []string
	for _, subcommand := range c.Commands() {
		if subcommand.IsAvailableCommand() {
			names = append(names, subcommand.Name())
		}
	}
	return Usage("a command is missing: %s", strings.Join(names, ", "))
}
