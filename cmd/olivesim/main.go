// Command olivesim plays scenarios against call controllers, in virtual time or with real processes on loopback
// addresses, injects faults, checks invariants and measures what a change of the product does.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
)

func main() {
	root := &cobra.Command{
		Use:   "olivesim",
		Short: "Simulate call controllers with emulated exchanges, callers and faults",
		Long: "olivesim plays scenarios: fleets of call controllers with emulated exchanges, callers and faults. In\n" +
			"virtual time a minute takes a fraction of a second, and a seed reproduces it to the byte. Load on\n" +
			"sockets is bounded and ends by itself; all traffic stays on loopback addresses.",
	}
	root.AddCommand(
		runCommand(),
		sweepCommand(),
		compareCommand(),
		reportCommand(),
		shrinkCommand(),
		curveCommand(),
		demoCommand(),
		serveCommand(),
		loadCommand(),
		soakCommand(),
		holdCommand(),
		cli.VersionCommand(),
	)
	os.Exit(cli.Run(root))
}
