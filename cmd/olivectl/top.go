package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	tea "charm.land/bubbletea/v2"
	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/console"
	"olivedale/internal/record"
)

// Bounds of --interval.
const (
	minTopInterval = 100 * time.Millisecond
	maxTopInterval = time.Minute
)

// Widths of tables that are not shown on an interactive terminal, in columns.
const (
	singleTableWidth   = 160 // of --once
	repeatedTableWidth = 79
)

// topFlags are the flags of the top command.
type topFlags struct {
	agents   []string
	records  []string
	replay   []string
	speed    float64
	at       string
	interval time.Duration
	once     bool
	asJSON   bool
}

func newTopCommand() *cobra.Command {
	var f topFlags
	c := &cobra.Command{
		Use:   "top",
		Short: "Monitor a fleet on the terminal",
		Long: "top shows instances, servers, classes, events and calls: as agents report them (--agent), from live\n" +
			"stores on this machine (--records), or from recorded stores (--replay). Individual calls are shown\n" +
			"only from records. Without a terminal, or on one without cursor control, it prints successive tables.",
		Example: "  olivectl top --agent 10.0.0.4:2950 --agent 10.0.0.5:2950\n" +
			"  olivectl top --replay /var/lib/olivedale --at 2026-12-01T17:30:00Z --speed 10",
		RunE: func(c *cobra.Command, _ []string) error { return runTop(c, &f) },
	}
	set := c.Flags()
	set.StringSliceVar(&f.agents, "agent", []string{defaultAgent}, "addresses of agents")
	set.StringSliceVar(&f.records, "records", nil, "follow these record stores, or the stores in these directories")
	set.StringSliceVar(&f.replay, "replay", nil, "replay these record stores, or the stores in these directories")
	set.Float64Var(&f.speed, "speed", 1, "speed of the replay, 1/16 to 4096")
	set.StringVar(&f.at, "at", "", "start of the replay (2026-12-01T17:30:00Z, or 90m for 90 minutes ago)")
	set.DurationVar(&f.interval, "interval", time.Second, "interval between updates")
	set.BoolVar(&f.once, "once", false, "print one table and exit")
	set.BoolVar(&f.asJSON, "json", false, "print one snapshot as JSON and exit")
	c.MarkFlagsMutuallyExclusive("agent", "records", "replay")
	return c
}

// isSingle reports whether the command prints one snapshot and exits.
func (f *topFlags) isSingle() bool { return f.once || f.asJSON }

// newSource validates the flags and opens the source that they select.
func (f *topFlags) newSource() (console.Source, error) {
	if f.interval < minTopInterval || f.interval > maxTopInterval {
		return nil, cli.UsageErrorf("--interval: %v is not between 100ms and 1m", f.interval)
	}
	if f.speed < console.MinSpeed || f.speed > console.MaxSpeed {
		return nil, cli.UsageErrorf("--speed: %v is not between 1/16 and 4096", f.speed)
	}
	start, err := f.replayStart()
	if err != nil {
		return nil, err
	}
	dirs := slices.Concat(f.records, f.replay)
	if len(dirs) == 0 {
		return console.NewPoller(f.agents, f.interval), nil
	}
	stores, err := findStores(dirs)
	if err != nil {
		return nil, err
	}
	if len(f.records) > 0 {
		return console.NewFollower(stores, f.interval)
	}
	return console.NewReplay(stores, start, f.speed, f.interval)
}

// replayStart returns the start time of the replay, 0 for the first record. Without --at, a single snapshot shows the
// end of the records.
func (f *topFlags) replayStart() (record.Time, error) {
	now := time.Now()
	at, err := cli.ParseTime(f.at, now)
	if err != nil {
		return 0, cli.UsageErrorf("--at: %w", err)
	}
	switch {
	case !at.IsZero():
		return record.Time(at.UnixNano()), nil
	case f.isSingle():
		return record.Time(now.UnixNano()), nil
	default:
		return 0, nil
	}
}

func runTop(c *cobra.Command, f *topFlags) (err error) {
	src, err := f.newSource()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, src.Close()) }()
	ctx, stop := cli.SignalContext(c)
	defer stop()
	hasTerminal := cli.IsTerminal(os.Stdout) && cli.IsTerminal(os.Stdin)
	switch {
	case f.isSingle():
		return writeSnapshot(ctx, c.OutOrStdout(), src, f)
	case hasTerminal:
		return runConsole(ctx, src)
	default:
		return writeTables(ctx, c.OutOrStdout(), src)
	}
}

// runConsole runs the interactive console until the operator quits or a signal arrives.
func runConsole(ctx context.Context, src console.Source) error {
	final, err := tea.NewProgram(console.NewModel(ctx, src), tea.WithContext(ctx)).Run()
	isInterrupted := ctx.Err() != nil
	if isInterrupted && errors.Is(err, tea.ErrProgramKilled) {
		return nil
	}
	if err != nil {
		return err
	}
	if isInterrupted {
		return nil
	}
	return final.(console.Model).Err()
}

// writeSnapshot writes one snapshot. Rates are computed from two successive snapshots, so it takes the second one,
// except from a replay.
func writeSnapshot(ctx context.Context, out io.Writer, src console.Source, f *topFlags) error {
	s, err := src.Next(ctx)
	isReplay := len(f.replay) > 0
	if err == nil && !isReplay {
		s, err = src.Next(ctx)
	}
	if err != nil {
		return err
	}
	if f.asJSON {
		return s.WriteJSON(out)
	}
	return s.WriteText(out, singleTableWidth)
}

// writeTables writes successive snapshots until a signal or the end of a replay.
func writeTables(ctx context.Context, out io.Writer, src console.Source) error {
	for {
		s, err := src.Next(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.WriteText(out, repeatedTableWidth); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(out); err != nil {
			return err
		}
		if s.AtEnd {
			return nil
		}
	}
}
