package main

import (
	"context"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
)

// sweepFlags are the flags of the sweep command.
type sweepFlags struct {
	days         dayFlags
	key          string
	values       string
	secondKey    string
	secondValues string
	figure       string
}

func sweepCommand() *cobra.Command {
	var f sweepFlags
	c := &cobra.Command{
		Use:   "sweep SCENARIO.toml --vary KEY --values A,B,...",
		Short: "Run a scenario with different values of one or two keys",
		Args:  cobra.ExactArgs(1),
		Long: "sweep runs a scenario with each of several values of a key, named as in the scenario's file\n" +
			"(callers.load, fault.1.factor; faults are numbered from 1). With --beside each value is combined with\n" +
			"each value of a second key.",
		Example: "  olivesim sweep deploy/sim/slow.toml --vary fault.1.factor --values 2,4,8 " +
			"--beside fleet.controllers --besides 8,60 -o slow.json\n" +
			"  olivesim sweep deploy/sim/quiet.toml --vary callers.load --values 0.6,0.8,1,1.2,1.6,2 -o load.json",
		RunE: func(c *cobra.Command, args []string) error { return f.run(c, args[0]) },
	}
	f.days.register(c, 8)
	c.Flags().StringVar(&f.key, "vary", "", "key to vary, as in the scenario's file")
	c.Flags().StringVar(&f.values, "values", "", "values of the key, separated by commas")
	c.Flags().StringVar(&f.secondKey, "beside", "", "second key to vary")
	c.Flags().StringVar(&f.secondValues, "besides", "", "values of the second key, separated by commas")
	c.Flags().StringVar(&f.figure, "figure", "score", "figure to print")
	return c
}

func (f *sweepFlags) run(c *cobra.Command, path string) error {
	sc, seeds, err := f.days.load(path)
	if err != nil {
		return err
	}
	figure, err := result.FigureNamed(f.figure)
	if err != nil {
		return cli.UsageErrorf("--figure: %w", err)
	}
	if err := f.check(); err != nil {
		return err
	}
	ctx, stop := cli.SignalContext(c)
	defer stop()
	file := newFile(sc)
	file.Vary = f.key
	file.Beside = f.secondKey
	var rows [][]string
	for value := range strings.SplitSeq(f.values, ",") {
		for secondValue := range strings.SplitSeq(f.secondValues, ",") {
			point, err := f.runPoint(ctx, sc, seeds, strings.TrimSpace(value), strings.TrimSpace(secondValue))
			if err != nil {
				return err
			}
			file.Points = append(file.Points, point)
			rows = append(rows, f.row(value, secondValue, figure, point.Results))
		}
	}
	if err := f.days.save(file); err != nil {
		return err
	}
	return cli.Table(c.OutOrStdout(), f.days.asJSON, file, f.heading(), rows)
}

// check returns a usage error if a key has no values or values have no key.
func (f *sweepFlags) check() error {
	if f.key == "" || f.values == "" {
		return cli.UsageErrorf("--vary and --values are required; see the example")
	}
	if (f.secondKey == "") != (f.secondValues == "") {
		return cli.UsageErrorf("--beside and --besides must be used together; see the example")
	}
	return nil
}

// runPoint runs the days with one value of each key.
func (f *sweepFlags) runPoint(
	ctx context.Context, sc *scenario.Scenario, seeds []uint64, value, secondValue string,
) (experiment.Point, error) {
	changed, err := experiment.Set(sc, f.key, value)
	if err == nil && f.secondKey != "" {
		changed, err = experiment.Set(changed, f.secondKey, secondValue)
	}
	if err != nil {
		return experiment.Point{}, err
	}
	results, err := experiment.RunSeeds(ctx, changed, seeds, simulationOptions())
	if err != nil {
		return experiment.Point{}, err
	}
	return experiment.Point{Value: value, Beside: secondValue, Results: results}, nil
}

func (f *sweepFlags) heading() []string {
	heading := []string{strings.ToUpper(f.key)}
	if f.secondKey != "" {
		heading = append(heading, strings.ToUpper(f.secondKey))
	}
	heading = append(heading, strings.ToUpper(f.figure))
	heading = append(heading, intervalHeading...)
	return append(heading, "INVARIANTS VIOLATED")
}

// row formats a point. Its last column is the number of violated invariants, summed over the days.
func (f *sweepFlags) row(value, secondValue string, figure result.Figure, results []*result.Result) []string {
	violated := 0
	for _, r := range results {
		violated += len(r.ViolationCounts)
	}
	row := []string{value}
	if f.secondKey != "" {
		row = append(row, secondValue)
	}
	interval := experiment.Bootstrap(experiment.FigureValues(results, figure), figure.LowerIsBetter)
	row = append(row, intervalCells(interval)...)
	return append(row, strconv.Itoa(violated))
}
