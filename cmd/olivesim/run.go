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

// maxPrintedViolations bounds the violations that run prints of each day.
const maxPrintedViolations = 3

// runFlags are the flags of run.
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
		Short: "Play a scenario, in virtual time or with real processes on sockets",
		Args:  cobra.ExactArgs(1),
		Long: "run plays a scenario. In virtual time the scenario's own faults are injected, and a seed reproduces\n" +
			"a day to the byte. With --floor sockets call controllers and agents are real processes; a proxy on\n" +
			"each connection between them injects faults, which are drawn from the seed or read from a schedule.\n" +
			"Each day leaves its schedule, by which it can be played again.",
		Example: "  olivesim run deploy/sim/zones.toml --floor sockets --days 3 --dir days\n" +
			"  olivesim run deploy/sim/coldstart.toml --days 20\n" +
			"  olivesim run deploy/sim/coldstart.toml --days 1 --seed 7 --until 12s --call c1234",
		RunE: func(c *cobra.Command, args []string) error { return f.run(c, args[0]) },
	}
	f.days.register(c, 8)
	c.Flags().DurationVar(&f.until, "until", 0, "end the run at this time since its start")
	c.Flags().StringVar(&f.callID, "call", "", "print the messages of this call")
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
		return f.cluster.play(ctx, c, clusterDays{path: path, scenario: sc, seeds: seeds, asJSON: f.days.asJSON})
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
	results, err := experiment.Play(ctx, sc, seeds, options)
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

// options returns the options of the run; the messages of the call of --call are printed to trace.
func (f *runFlags) options(trace io.Writer, days int) (virtualtime.Options, error) {
	options := simulationOptions()
	options.Until = f.until
	if f.callID == "" {
		return options, nil
	}
	if days > 1 {
		return options, cli.UsageErrorf("--call shows a call of one day: add --days 1")
	}
	options.Watch = func(e invariant.Event) {
		if e.Call == f.callID {
			_, _ = fmt.Fprintln(trace, e)
		}
	}
	return options, nil
}

// printFigures prints a table of the figures of the days.
func printFigures(w io.Writer, results []*result.Result) error {
	var rows [][]string
	for _, figure := range result.Figures {
		interval := experiment.Bootstrap(experiment.Of(results, figure), figure.Less)
		rows = append(rows, append([]string{figure.Name}, intervalCells(interval)...))
	}
	heading := append([]string{"FIGURE", "MEAN"}, intervalHeading...)
	return cli.Table(w, false, nil, heading, rows)
}

// reportViolations prints violations of invariants and how to reproduce them, and returns an error if there are
// any.
func reportViolations(w io.Writer, path string, results []*result.Result) error {
	violations := 0
	for _, r := range results {
		for _, breach := range r.Violations[:min(len(r.Violations), maxPrintedViolations)] {
			printBreach(w, path, r.Seed, breach)
		}
		violations += r.Breached()
	}
	return violationError(violations)
}

func printBreach(w io.Writer, path string, seed uint64, breach *invariant.Violation) {
	_, _ = fmt.Fprintf(w, "seed %d: %v\n", seed, breach)
	for _, event := range breach.Events {
		_, _ = fmt.Fprintln(w, "  ", event)
	}
	until := (breach.At + time.Second).Truncate(time.Second)
	_, _ = fmt.Fprintf(w, "reproduce: olivesim run %s --days 1 --seed %d --until %v\n", path, seed, until)
}

// violationError returns an error for a number of violations, or nil for none.
func violationError(violations int) error {
	if violations == 0 {
		return nil
	}
	return fmt.Errorf("invariants were violated %d times", violations)
}
