package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/sim/cluster"
	"olivedale/internal/sim/plot"
	"olivedale/internal/sim/scenario"
)

// sockets are the flags of runs with many processes.
type sockets struct {
	bin, dir, schedule, page string
	faults                   int
	length                   time.Duration
}

func (f *sockets) flags(c *cobra.Command) {
	c.Flags().StringVar(&f.bin, "bin", "", "sockets: folder of the programs (default: that of this one)")
	c.Flags().StringVar(&f.dir, "dir", "", "sockets: folder for schedules, records and results, kept after (default: one that is removed)")
	c.Flags().StringVar(&f.schedule, "schedule", "", "sockets: play the faults of this file instead of drawn ones")
	c.Flags().StringVar(&f.page, "page", "", "sockets: file for a page with faults beside what callers got")
	c.Flags().IntVar(&f.faults, "faults", 8, "sockets: how many faults are drawn for each day")
	c.Flags().DurationVar(&f.length, "for", 20*time.Second, "sockets: how long calls come")
}

// options are those of a day; done removes what is not to be kept.
func (f *sockets) options(sc *scenario.Scenario, seed uint64, out io.Writer) (o cluster.Options, done func() error, err error) {
	t := cluster.Topology{Controllers: sc.Fleet.Controllers, Exchanges: sc.Fleet.Exchanges, Zones: sc.Fleet.Zones, Share: sc.Fleet.Share}
	if err := t.Check(); err != nil {
		return o, nil, err
	}
	if f.faults < 0 || f.faults > 64 || f.length < time.Second || f.length > 10*time.Minute {
		return o, nil, cli.Usage("--faults is 0 to 64, --for 1s to 10m")
	}
	o = cluster.Options{Bin: f.bin, Topology: t, Scenario: sc, For: f.length, Out: out, Schedule: cluster.Draw(&t, f.faults, f.length, seed)}
	if f.schedule != "" {
		if o.Schedule, err = cluster.Load(f.schedule); err != nil {
			return o, nil, err
		}
	}
	if o.Bin == "" {
		self, err := os.Executable()
		if err != nil {
			return o, nil, err
		}
		o.Bin = filepath.Dir(self)
	}
	done = func() error { return nil }
	if f.dir == "" {
		if o.Dir, err = os.MkdirTemp("", "olivesim-rig-"); err != nil {
			return o, nil, err
		}
		done = func() error { return os.RemoveAll(o.Dir) }
	} else {
		o.Dir = filepath.Join(f.dir, "seed-"+strconv.FormatUint(o.Schedule.Seed, 10))
	}
	return o, done, nil
}

// play plays days on sockets and tells of each.
func (f *sockets) play(ctx context.Context, c *cobra.Command, path string, sc *scenario.Scenario, seeds []uint64, asJSON bool) error {
	var all []*cluster.Result
	broken := 0
	progress := c.OutOrStdout()
	if asJSON {
		progress = c.ErrOrStderr()
	}
	if f.schedule != "" {
		seeds = seeds[:1]
	}
	for _, seed := range seeds {
		o, done, err := f.options(sc, seed, progress)
		if err != nil {
			return err
		}
		res, err := cluster.Play(ctx, o)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		all, broken = append(all, res), broken+res.Broken
		if res.Broken > 0 && f.dir == "" { // kept, for a look
			done = func() error { return nil }
		}
		if err := res.Save(o.Dir); err != nil {
			return err
		}
		if err := tellDay(c, res, asJSON); err != nil {
			return err
		}
		if res.Broken > 0 {
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "again: olivesim run %s --floor sockets --schedule %s\n", path, filepath.Join(o.Dir, "schedule.toml"))
		}
		if err := done(); err != nil {
			return err
		}
	}
	if f.page != "" {
		var parts []plot.Part
		for _, res := range all {
			p, err := res.Part()
			if err != nil {
				return err
			}
			parts = append(parts, p)
		}
		if err := writePage(f.page, "Faults between processes", parts); err != nil {
			return err
		}
	}
	if asJSON {
		if err := json.NewEncoder(c.OutOrStdout()).Encode(all); err != nil {
			return err
		}
	}
	if broken > 0 {
		return fmt.Errorf("rules were broken %d times", broken)
	}
	return nil
}

// shrink looks for the fewest faults of a schedule that still break a rule.
func (f *sockets) shrink(ctx context.Context, c *cobra.Command, sc *scenario.Scenario, seed uint64, tries int, out string) error {
	if tries < 1 || tries > 20 {
		return cli.Usage("--tries is 1 to 20")
	}
	if out == "" {
		return cli.Usage("-o names the file for the smaller schedule")
	}
	first, done, err := f.options(sc, seed, io.Discard)
	if err != nil {
		return err
	}
	if err := done(); err != nil {
		return err
	}
	small, err := cluster.Shrink(ctx, first.Schedule, tries, func(s *cluster.Schedule) (bool, error) {
		o := first
		if o.Dir, err = os.MkdirTemp("", "olivesim-rig-"); err != nil {
			return false, err
		}
		defer func() { _ = os.RemoveAll(o.Dir) }()
		o.Schedule = s
		res, err := cluster.Play(ctx, o)
		if err != nil {
			return false, err
		}
		_, err = fmt.Fprintf(c.OutOrStdout(), "%d faults: rules broken %d times\n", len(s.Step), res.Broken)
		return res.Broken > 0, err
	})
	if err != nil {
		return err
	}
	if small == nil {
		return fmt.Errorf("the schedule broke no rule in %d plays", tries)
	}
	return small.Save(out)
}

func tellDay(c *cobra.Command, res *cluster.Result, asJSON bool) error {
	for _, b := range res.Breaches {
		_, _ = fmt.Fprintln(c.ErrOrStderr(), b)
		for _, e := range b.Around {
			_, _ = fmt.Fprintln(c.ErrOrStderr(), "  ", e)
		}
	}
	if asJSON {
		return nil
	}
	heading, rows := res.Rows()
	if err := cli.Table(c.OutOrStdout(), false, nil, heading, rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.OutOrStdout(), "seed %d: %d faults, %d events on the wires, rules broken %d times\n", res.Seed, len(res.Struck), res.Seen, res.Broken)
	return err
}

// holdCommand ends a process with whoever has the other end of a pipe; the rig puts it beside what it starts.
func holdCommand() *cobra.Command {
	return &cobra.Command{
		Use: "hold PIPE PROCESS", Short: "End a process when a pipe ends", Args: cobra.ExactArgs(2), Hidden: true,
		RunE: func(_ *cobra.Command, args []string) error {
			pid, err := strconv.Atoi(args[1])
			if err != nil || pid <= 1 {
				return cli.Usage("%q is not the number of a process", args[1])
			}
			return cluster.Hold(args[0], pid)
		},
	}
}
