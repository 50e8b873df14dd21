package cli

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// shortRevisionLength is the number of characters of a revision that Version returns.
const shortRevisionLength = 12

// Version returns the version and revision of the main module and the version of the Go toolchain, from the build
// information of the binary. A modified working tree is marked.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision := ""
	modified := ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			if len(s.Value) >= shortRevisionLength {
				revision = " " + s.Value[:shortRevisionLength]
			}
		case "vcs.modified":
			if s.Value == "true" {
				modified = " (changed)"
			}
		}
	}
	return info.Main.Version + revision + modified + " " + info.GoVersion
}

// VersionCommand returns the command that prints the version.
func VersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version and the revision of the program",
		Example: "  olivedale version",
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), Version())
			return err
		},
	}
}
