// Command olivesim simulates fleets of call controllers, in virtual time or with real processes on loopback addresses.
// It injects faults, checks invariants and measures the effect of changes to the product.
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
		Long: "olivesim runs scenarios: fleets of call controllers with emulated exchanges, callers and faults. In\n" +
			"virtual time a minute takes a fraction of a second, and a seed reproduces it byte for byte. Load on\n" +
			"sockets is limited in rate and duration; all traffic stays on loopback addresses.",
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
