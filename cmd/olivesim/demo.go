package main

import (
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/sim/demo"
)

// Bounds of the flags of demo.
const (
	maxDemoControllers = 16
	minDemoExchanges   = 2
	maxDemoExchanges   = 32
	maxDemoRate        = 1000 // calls a second
	minDemoLength      = time.Second
	maxDemoLength      = time.Hour
)

func demoCommand() *cobra.Command {
	var o demo.Options
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run the product on this machine for a minute, with faults",
		Args:  cobra.NoArgs,
		Long: "demo starts emulated exchanges, their discovery, an etcd emulator, the agent, two call controllers\n" +
			"and a light load on loopback addresses. It slows down a processor, replaces an exchange, kills a\n" +
			"controller and drops calls. At the end it stops all processes.",
		Example: "  olivesim demo --for 30s --report demo.html",
		RunE: func(c *cobra.Command, _ []string) error {
			programs, err := programDirectory(o.Bin)
			if err != nil {
				return err
			}
			o.Bin = programs
			if err := checkDemo(&o); err != nil {
				return err
			}
			ctx, stop := cli.SignalContext(c)
			defer stop()
			o.Out = c.OutOrStdout()
			return demo.Run(ctx, o)
		},
	}
	f := c.Flags()
	f.StringVar(&o.Bin, "bin", "", "directory of the programs (default: that of this one)")
	f.StringVar(&o.Dir, "dir", "", "directory for files and records, which is kept (default: a temporary one)")
	f.StringVar(&o.Report, "report", "", "output file for the report on the records")
	f.StringVar(&o.Agent, "agent", "127.0.0.1:2950", "address on which the agent listens")
	f.IntVar(&o.Controllers, "controllers", 2, "number of call controllers")
	f.IntVar(&o.Exchanges, "exchanges", 3, "number of emulated exchanges")
	f.Float64Var(&o.Rate, "rate", 40, "calls per second")
	f.DurationVar(&o.Duration, "for", 40*time.Second, "how long callers send calls")
	f.Uint64Var(&o.Seed, "seed", 1, "random seed of calls and exchanges")
	return c
}

func checkDemo(o *demo.Options) error {
	switch {
	case o.Controllers < 1 || o.Controllers > maxDemoControllers:
		return cli.UsageErrorf("--controllers is 1 to %d", maxDemoControllers)
	case o.Exchanges < minDemoExchanges || o.Exchanges > maxDemoExchanges:
		return cli.UsageErrorf("--exchanges is %d to %d", minDemoExchanges, maxDemoExchanges)
	case o.Rate <= 0 || o.Rate > maxDemoRate:
		return cli.UsageErrorf("--rate is up to %d calls per second", maxDemoRate)
	case o.Duration < minDemoLength || o.Duration > maxDemoLength:
		return cli.UsageErrorf("--for is %v to %v", minDemoLength, maxDemoLength)
	}
	return nil
}
