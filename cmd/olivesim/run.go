package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
	"olivedale/internal/sim/virtualtime"
)

// maxPrintedViolations limits the violations that are printed for each day.
const maxPrintedViolations = 3

// runFlags are the flags of the run command.
type runFlags struct {
	days    dayFlags
	mode    runMode
	cluster clusterFlags
	until   time.Duration
	callID  string
}

func runCommand() *cobra.Command {
	var f runFlags
	c := &cobra.Command{
		Use:   "run SCENARIO.toml",
		Short: "Run a scenario, in virtual time or with real processes on sockets",
		Args:  cobra.ExactArgs(1),
		Long: "run runs a scenario. In virtual time the scenario's own faults are injected, and a seed reproduces\n" +
			"a day byte for byte. With --floor sockets call controllers and agents are real processes; a proxy on\n" +
			"each connection between them injects faults, which are generated from the seed or read from a\n" +
			"schedule. The schedule of each day is saved, so that it can be run again.",
		Example: "  olivesim run deploy/sim/zones.toml --floor sockets --days 3 --dir days\n" +
			"  olivesim run deploy/sim/coldstart.toml --days 20\n" +
			"  olivesim run deploy/sim/coldstart.toml --days 1 --seed 7 --until 12s --call c1234",
		RunE: func(c *cobra.Command, args []string) error { return f.run(c, args[0]) },
	}
	f.days.register(c, 8)
	c.Flags().DurationVar(&f.until, "until", 0, "end the run after this time")
	c.Flags().StringVar(&f.callID, "call", "", "print the messages of the call with this id")
	f.mode.register(c)
	f.cluster.register(c)
	return c
}

func (f *runFlags) run(c *cobra.Command, path string) error {
	sc, seeds, err := f.days.load(path)
	if err != nil {
		return err
	}
	if err := f.mode.check(); err != nil {
		return err
	}
	ctx, stop := cli.SignalContext(c)
	defer stop()
	if f.mode == socketMode {
		return f.cluster.run(ctx, c, clusterDays{path: path, scenario: sc, seeds: seeds, asJSON: f.days.asJSON})
	}
	return f.runVirtual(ctx, c, path, sc, seeds)
}

func (f *runFlags) runVirtual(
	ctx context.Context, c *cobra.Command, path string, sc *scenario.Scenario, seeds []uint64,
) error {
	options, err := f.options(c.ErrOrStderr(), len(seeds))
	if err != nil {
		return err
	}
	results, err := experiment.RunSeeds(ctx, sc, seeds, options)
	if err != nil {
		return err
	}
	file := newFile(sc)
	file.Points = []experiment.Point{{Results: results}}
	if err := f.days.save(file); err != nil {
		return err
	}
	if f.days.asJSON {
		return json.NewEncoder(c.OutOrStdout()).Encode(results)
	}
	if err := printFigures(c.OutOrStdout(), results); err != nil {
		return err
	}
	return reportViolations(c.ErrOrStderr(), path, results)
}

// options returns the options of the run. The messages of the call that --call names are printed to trace.
func (f *runFlags) options(trace io.Writer, days int) (virtualtime.Options, error) {
	options := simulationOptions()
	options.Until = f.until
	if f.callID == "" {
		return options, nil
	}
	if days > 1 {
		return options, cli.UsageErrorf("--call applies to a single day: add --days 1")
	}
	options.Watch = func(e invariant.Event) {
		if e.Call == f.callID {
			_, _ = fmt.Fprintln(trace, e)
		}
	}
	return options, nil
}

// printFigures prints a table of the figures over all days.
func printFigures(w io.Writer, results []*result.Result) error {
	var rows [][]string
	for _, figure := range result.Figures {
		interval := experiment.Bootstrap(experiment.FigureValues(results, figure), figure.LowerIsBetter)
		rows = append(rows, append([]string{figure.Name}, intervalCells(interval)...))
	}
	heading := append([]string{"FIGURE", "MEAN"}, intervalHeading...)
	return cli.Table(w, false, nil, heading, rows)
}

// reportViolations prints violations of invariants with the commands that reproduce them, and returns an error if there
// are any.
func reportViolations(w io.Writer, path string, results []*result.Result) error {
	violations := 0
	for _, r := range results {
		for _, violation := range r.Violations[:min(len(r.Violations), maxPrintedViolations)] {
			printViolation(w, path, r.Seed, violation)
		}
		violations += r.TotalViolations()
	}
	return violationError(violations)
}

func printViolation(w io.Writer, path string, seed uint64, violation *invariant.Violation) {
	_, _ = fmt.Fprintf(w, "seed %d: %v\n", seed, violation)
	for _, event := range violation.Events {
		_, _ = fmt.Fprintln(w, "  ", event)
	}
	until := (violation.At + time.Second).Truncate(time.Second)
	_, _ = fmt.Fprintf(w, "reproduce: olivesim run %s --days 1 --seed %d --until %v\n", path, seed, until)
}

// violationError returns an error that states the number of violations, or nil if it is 0.
func violationError(violations int) error {
	if violations == 0 {
		return nil
	}
	return fmt.Errorf("invariants were violated %d times", violations)
}
