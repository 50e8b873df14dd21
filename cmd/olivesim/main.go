// Command olivesim is the laboratory: it plays call controllers, exchanges and callers in virtual time
// or on sockets, breaks things, and says what a change does.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
)

func main() {
	root := &cobra.Command{
		Use:   "olivesim",
		Short: "Try the call controller against emulated exchanges, callers and faults",
		Long: "olivesim plays scenarios: fleets of call controllers with emulated exchanges and callers, and what goes wrong.\n" +
			"In virtual time a minute takes a fraction of a second, and a seed repeats it to the byte. Load on sockets is bounded\n" +
			"and stops by itself; everything stays on loopback addresses.",
	}
	root.AddCommand(runCommand(), sweepCommand(), compareCommand(), reportCommand(), shrinkCommand(), curveCommand(),
		demoCommand(), serveCommand(), loadCommand(), holdCommand(), cli.VersionCommand())
	os.Exit(cli.Run(root))
}
