package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	tea "charm.land/bubbletea/v2"
	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/console"
	"olivedale/internal/record"
)

// topFlags are what the command line says.
type topFlags struct {
	agents          []string
	records, replay []string
	speed           float64
	at              string
	every           time.Duration
	once, asJSON    bool
}

func topCommand() *cobra.Command {
	var f topFlags
	c := &cobra.Command{
		Use:   "top",
		Short: "Watch a fleet on the terminal",
		Long: "top shows instances, servers, classes, events and calls: of agents (--agent), of live stores on this\n" +
			"machine (--records), or of an incident played from records (--replay). Single calls are seen in\n" +
			"records only. Where the terminal can do nothing a table is written again and again.",
		Example: "  olivectl top --agent 10.0.0.4:2950 --agent 10.0.0.5:2950\n  olivectl top --replay /var/lib/olivedale --at 2026-12-01T17:30:00Z --speed 10",
		RunE:    func(c *cobra.Command, _ []string) error { return top(c, f) },
	}
	set := c.Flags()
	set.StringSliceVar(&f.agents, "agent", []string{"127.0.0.1:2950"}, "addresses of agents")
	set.StringSliceVar(&f.records, "records", nil, "follow these stores, or the stores in these folders")
	set.StringSliceVar(&f.replay, "replay", nil, "play these stores, or the stores in these folders")
	set.Float64Var(&f.speed, "speed", 1, "of the replay, 1/16 to 4096")
	set.StringVar(&f.at, "at", "", "where the replay begins (2026-12-01T17:30:00Z, or 90m for so long ago)")
	set.DurationVar(&f.every, "interval", time.Second, "between two looks")
	set.BoolVar(&f.once, "once", false, "print one table and end")
	set.BoolVar(&f.asJSON, "json", false, "print one look as JSON and end")
	c.MarkFlagsMutuallyExclusive("agent", "records", "replay")
	return c
}

// source opens what is to be shown.
func (f *topFlags) source() (console.Source, error) {
	if f.every < 100*time.Millisecond || f.every > time.Minute {
		return nil, cli.Usage("--interval: %v is not between 100ms and 1m", f.every)
	}
	if f.speed < 1.0/16 || f.speed > 4096 {
		return nil, cli.Usage("--speed: %v is not between 1/16 and 4096", f.speed)
	}
	at, err := cli.When(f.at, time.Now())
	if err != nil {
		return nil, cli.Usage("--at: %w", err)
	}
	dirs := append(f.records, f.replay...)
	if len(dirs) == 0 {
		return console.NewPoller(f.agents, f.every), nil
	}
	stores, err := record.Find(dirs...)
	if err != nil {
		return nil, err
	}
	if len(stores) == 0 {
		return nil, fmt.Errorf("no records in %v", dirs)
	}
	if len(f.records) > 0 {
		return console.NewFollower(stores, f.every)
	}
	from := record.Time(0)
	if !at.IsZero() {
		from = record.Time(at.UnixNano())
	} else if f.once || f.asJSON {
		from = record.Time(time.Now().UnixNano()) // one look at a replay is one at its end
	}
	return console.NewReplay(stores, from, f.speed, f.every)
}

func top(c *cobra.Command, f topFlags) (err error) {
	src, err := f.source()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, src.Close()) }()
	ctx, stop := cli.Interruptible(c)
	defer stop()
	switch {
	case f.once || f.asJSON:
		return once(ctx, c.OutOrStdout(), src, f)
	case !cli.Terminal(os.Stdout) || !cli.Terminal(os.Stdin):
		return plain(ctx, c.OutOrStdout(), src)
	}
	m, err := tea.NewProgram(console.NewModel(ctx, src), tea.WithContext(ctx)).Run()
	if errors.Is(err, tea.ErrProgramKilled) && ctx.Err() != nil {
		return nil // ended by a signal; the terminal is as it was
	}
	if err != nil {
		return err
	}
	if err := m.(console.Model).Err(); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// once prints one look. Rates need two: the first is thrown away where it is cheap to wait.
func once(ctx context.Context, out io.Writer, src console.Source, f topFlags) error {
	s, err := src.Next(ctx)
	if err == nil && len(f.replay) == 0 {
		s, err = src.Next(ctx)
	}
	if err != nil {
		return err
	}
	if f.asJSON {
		return s.WriteJSON(out)
	}
	return s.WriteText(out, 160)
}

// plain writes tables one after the other for a terminal that can do nothing.
func plain(ctx context.Context, out io.Writer, src console.Source) error {
	for {
		s, err := src.Next(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.WriteText(out, 79); err != nil {
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
