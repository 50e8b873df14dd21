package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/scenario"
)

// shrinkFlags are the flags of the shrink command.
type shrinkFlags struct {
	seed    uint64
	file    string
	mode    runMode
	tries   int
	cluster clusterFlags
}

func shrinkCommand() *cobra.Command {
	var f shrinkFlags
	c := &cobra.Command{
		Use:   "shrink SCENARIO.toml --seed N",
		Short: "Find the fewest faults with which a day still violates an invariant",
		Args:  cobra.ExactArgs(1),
		Long: "shrink removes faults as long as an invariant is still violated. In virtual time it removes faults\n" +
			"from the scenario, with --floor sockets from a schedule. Each candidate schedule is run --tries times,\n" +
			"because runs with real processes are not reproducible.",
		Example: "  olivesim shrink bad.toml --seed 17 -o small.toml\n" +
			"  olivesim shrink deploy/sim/zones.toml --floor sockets --schedule days/seed-3/schedule.toml " +
			"-o small.toml",
		RunE: func(c *cobra.Command, args []string) error { return f.run(c, args[0]) },
	}
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the day")
	c.Flags().StringVarP(&f.file, "out", "o", "", "output file for the smaller scenario or schedule")
	f.mode.register(c)
	c.Flags().IntVar(&f.tries, "tries", 2, "sockets: number of runs of each candidate schedule")
	f.cluster.register(c)
	return c
}

func (f *shrinkFlags) run(c *cobra.Command, path string) error {
	sc, err := scenario.Load(path)
	if err != nil {
		return err
	}
	if err := f.mode.check(); err != nil {
		return err
	}
	ctx, stop := cli.SignalContext(c)
	defer stop()
	if f.mode == socketMode {
		schedule := clusterShrink{scenario: sc, seed: f.seed, tries: f.tries, file: f.file}
		return f.cluster.shrink(ctx, c.OutOrStdout(), schedule)
	}
	small := experiment.Shrink(ctx, sc, f.seed, simulationOptions())
	if small == nil {
		return fmt.Errorf("%s violates no invariant with seed %d", path, f.seed)
	}
	if f.file == "" {
		return encodeScenario(c.OutOrStdout(), small)
	}
	w, err := os.Create(f.file)
	if err != nil {
		return err
	}
	return errors.Join(encodeScenario(w, small), w.Close())
}

// encodeScenario writes a scenario as TOML, with its faults ordered by time.
func encodeScenario(w io.Writer, sc *scenario.Scenario) error {
	ordered := *sc
	ordered.Fault = slices.Clone(sc.Fault)
	slices.SortFunc(ordered.Fault, func(a, b scenario.Fault) int { return cmp.Compare(a.At, b.At) })
	return toml.NewEncoder(w).Encode(&ordered)
}
