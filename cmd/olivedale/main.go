// Command olivedale is the call controller: it accepts call set-ups from clients and forwards each to a server
// that the decision module selects. It reads the platform's configuration from the file named by RELAY_CONFIG and the
// operator's configuration from deploy/olivedale.toml.
//
// main.go defines the commands, check.go validates the operator's file, serve.go starts the server, and signals.go
// handles signals.
package main

import (
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/config"
)

// maxProcs is the value of GOMAXPROCS: the platform gives the process one core, which it shares with others.
const maxProcs = 1

func main() {
	// Set first, so that no garbage collection runs with more processors: its background sweeper can spin without a
	// system call until a thread on another processor makes progress, which never happens on a platform that switches
	// threads only when they block.
	runtime.GOMAXPROCS(maxProcs)
	root := serveCommand()
	root.AddCommand(checkCommand(), cli.VersionCommand())
	os.Exit(cli.Run(root))
}

func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "olivedale",
		Short: "Run the call controller",
		Long: "olivedale runs the call controller that " + config.PathVariable + " and " + config.OperatorPath +
			" configure.\nSIGTERM shuts it down gracefully, SIGHUP reloads " + config.PathVariable +
			", the numbering rules and the signing keys, SIGUSR1 logs the counters.",
		Example: "  RELAY_CONFIG=/etc/olivedale/config.json olivedale",
		RunE:    func(*cobra.Command, []string) error { return serve() },
	}
}
