// Command olivedale is the call controller: it takes call set-ups from clients and passes them to servers as the
// decision module selects. The platform's configuration is the file that RELAY_CONFIG names; the operator's own is
// deploy/olivedale.toml.
//
// main.go holds the commands, check.go the check of the operator's file, serve.go the start, and signals.go the
// reaction to signals.
package main

import (
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/config"
)

// maxProcs is how many threads run Go code at once: the platform gives the process one core, which others share.
const maxProcs = 1

func main() {
	// First, so that no garbage collection runs with more: its background sweeper can loop without a system call until
	// a thread on another processor goes on, which never happens where threads take turns by their waits.
	runtime.GOMAXPROCS(maxProcs)
	root := serveCommand()
	root.AddCommand(checkCommand(), cli.VersionCommand())
	os.Exit(cli.Run(root))
}

func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "olivedale",
		Short: "Serve as a call controller",
		Long: "olivedale serves as the call controller that " + config.PathVariable + " and " + config.OperatorPath +
			" describe.\nSIGTERM shuts it down gracefully, SIGHUP reloads " + config.PathVariable +
			", the numbering rules and the signing keys, SIGUSR1 logs the counters.",
		Example: "  RELAY_CONFIG=/etc/olivedale/config.json olivedale",
		RunE:    func(*cobra.Command, []string) error { return serve() },
	}
}
