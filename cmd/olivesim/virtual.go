package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/overloadpeers"
	"olivedale/internal/sim/plot"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
	"olivedale/internal/sim/virtualtime"
)

// days are the flags that say which days are played.
type days struct {
	first uint64
	n     int
	out   string
	json  bool
}

func (d *days) flags(c *cobra.Command, n int) {
	c.Flags().Uint64Var(&d.first, "seed", 1, "first seed")
	c.Flags().IntVar(&d.n, "days", n, "days to play, each with a seed of its own")
	c.Flags().StringVarP(&d.out, "out", "o", "", "file for the results")
	c.Flags().BoolVar(&d.json, "json", false, "print JSON")
}

func (d *days) seeds() ([]uint64, error) {
	if d.n < 1 || d.n > 10000 {
		return nil, cli.Usage("--days %d is not between 1 and 10000", d.n)
	}
	return experiment.Seeds(d.first, d.n), nil
}

// read reads a scenario and says which days are played.
func (d *days) read(path string) (*scenario.Scenario, []uint64, error) {
	sc, err := scenario.Load(path)
	if err != nil {
		return nil, nil, err
	}
	seeds, err := d.seeds()
	return sc, seeds, err
}

// save keeps results if a file is named.
func (d *days) save(f *experiment.File) error {
	if d.out == "" {
		return nil
	}
	return f.Save(d.out)
}

// interval is a figure with its interval and its worst day, as a table has them.
func interval(iv experiment.Interval) []string {
	return []string{plot.Number(iv.Mean), plot.Number(iv.Low) + " to " + plot.Number(iv.High), plot.Number(iv.Worst)}
}

// options are what days are played with.
func options() virtualtime.Options { return virtualtime.Options{Share: overloadpeers.Start} }

// commit is what results say they are of.
func commit() string { return cli.Version() }

func runCommand() *cobra.Command {
	var d days
	var until time.Duration
	var call, floor string
	var f sockets
	c := &cobra.Command{
		Use: "run SCENARIO.toml", Short: "Play a scenario, in virtual time or with many processes on sockets", Args: cobra.ExactArgs(1),
		Long: "run plays a scenario. In virtual time its own faults are played, and a seed repeats a day to the byte. With --floor sockets\n" +
			"call controllers and agents are real processes; a relay stands on each way between them, and faults between any two of\n" +
			"them are drawn from the seed, or read from a schedule. Each day leaves its schedule, by which it is played again.",
		Example: "  olivesim run deploy/sim/zones.toml --floor sockets --days 3 --dir days\n  olivesim run deploy/sim/coldstart.toml --days 20\n  olivesim run deploy/sim/coldstart.toml --days 1 --seed 7 --until 12s --call c1234",
		RunE: func(c *cobra.Command, args []string) error {
			sc, seeds, err := d.read(args[0])
			if err != nil {
				return err
			}
			opt := options()
			opt.Until = until
			switch floor {
			case "virtual":
			case "sockets":
				ctx, stop := cli.Interruptible(c)
				defer stop()
				return f.play(ctx, c, args[0], sc, seeds, d.json)
			default:
				return cli.Usage("--floor is virtual or sockets, not %q", floor)
			}
			if call != "" {
				if len(seeds) > 1 {
					return cli.Usage("--call shows a call of one day: add --days 1")
				}
				opt.Watch = func(e invariant.Event) {
					if e.Call == call {
						_, _ = fmt.Fprintln(c.ErrOrStderr(), e)
					}
				}
			}
			ctx, stop := cli.Interruptible(c)
			defer stop()
			all, err := experiment.Play(ctx, sc, seeds, opt)
			if err != nil {
				return err
			}
			file := &experiment.File{Scenario: sc, Commit: commit(), Machine: experiment.Machine(), Points: []experiment.Point{{Results: all}}}
			if err := d.save(file); err != nil {
				return err
			}
			if d.json {
				return json.NewEncoder(c.OutOrStdout()).Encode(all)
			}
			if err := figures(c, all); err != nil {
				return err
			}
			return broken(c, args[0], all)
		},
	}
	d.flags(c, 8)
	c.Flags().DurationVar(&until, "until", 0, "end the run at this time of it")
	c.Flags().StringVar(&call, "call", "", "print what passes over the wires of this call")
	c.Flags().StringVar(&floor, "floor", "virtual", "virtual: in virtual time; sockets: with many processes")
	f.flags(c)
	return c
}

// figures prints the figures of days.
func figures(c *cobra.Command, all []*result.Result) error {
	var rows [][]string
	for _, f := range result.Figures {
		iv := experiment.Bootstrap(experiment.Of(all, f), f.Less)
		rows = append(rows, append([]string{f.Name}, interval(iv)...))
	}
	return cli.Table(c.OutOrStdout(), false, nil, []string{"FIGURE", "MEAN", "95%", "WORST DAY"}, rows)
}

// broken tells of rules that were broken, and how to see it again.
func broken(c *cobra.Command, path string, all []*result.Result) error {
	n := 0
	for _, r := range all {
		for _, b := range r.Breaches[:min(len(r.Breaches), 3)] {
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "seed %d: %v\n", r.Seed, b)
			for _, e := range b.Around {
				_, _ = fmt.Fprintln(c.ErrOrStderr(), "  ", e)
			}
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "again: olivesim run %s --days 1 --seed %d --until %v\n", path, r.Seed, (b.At + time.Second).Truncate(time.Second))
		}
		n += r.Breached()
	}
	if n > 0 {
		return fmt.Errorf("rules were broken %d times", n)
	}
	return nil
}

func sweepCommand() *cobra.Command {
	var d days
	var vary, values, figure, beside, besides string
	c := &cobra.Command{
		Use: "sweep SCENARIO.toml --vary KEY --values A,B,...", Short: "Play a scenario over values of a setting, or of two", Args: cobra.ExactArgs(1),
		Long: "sweep plays a scenario over values of a setting, named as in its file (callers.load, fault.1.factor: faults are counted from 1).\n" +
			"With --beside each value is played with each of the second setting's.",
		Example: "  olivesim sweep deploy/sim/slow.toml --vary fault.1.factor --values 2,4,8 --beside fleet.controllers --besides 8,60 -o slow.json\n  olivesim sweep deploy/sim/quiet.toml --vary callers.load --values 0.6,0.8,1,1.2,1.6,2 -o load.json",
		RunE: func(c *cobra.Command, args []string) error {
			sc, seeds, err := d.read(args[0])
			if err != nil {
				return err
			}
			fig, err := result.FigureNamed(figure)
			if err != nil {
				return cli.Usage("--figure: %w", err)
			}
			if vary == "" || values == "" {
				return cli.Usage("--vary and --values say what changes; see the example")
			}
			ctx, stop := cli.Interruptible(c)
			defer stop()
			file := &experiment.File{Scenario: sc, Commit: commit(), Machine: experiment.Machine(), Vary: vary}
			var rows [][]string
			if (beside == "") != (besides == "") {
				return cli.Usage("--beside and --besides go together; see the example")
			}
			file.Beside = beside
			heading := []string{strings.ToUpper(vary)}
			if beside != "" {
				heading = append(heading, strings.ToUpper(beside))
			}
			for value := range strings.SplitSeq(values, ",") {
				for second := range strings.SplitSeq(besides, ",") {
					one, err := experiment.Set(sc, vary, strings.TrimSpace(value))
					if err == nil && beside != "" {
						one, err = experiment.Set(one, beside, strings.TrimSpace(second))
					}
					if err != nil {
						return err
					}
					all, err := experiment.Play(ctx, one, seeds, options())
					if err != nil {
						return err
					}
					file.Points = append(file.Points, experiment.Point{Value: strings.TrimSpace(value), Beside: strings.TrimSpace(second), Results: all})
					iv := experiment.Bootstrap(experiment.Of(all, fig), fig.Less)
					n := 0
					for _, r := range all {
						n += len(r.Broken)
					}
					row := []string{value}
					if beside != "" {
						row = append(row, second)
					}
					rows = append(rows, slices.Concat(row, interval(iv), []string{strconv.Itoa(n)}))
				}
			}
			if err := d.save(file); err != nil {
				return err
			}
			return cli.Table(c.OutOrStdout(), d.json, file, append(heading, strings.ToUpper(figure), "95%", "WORST DAY", "RULES BROKEN"), rows)
		},
	}
	d.flags(c, 8)
	c.Flags().StringVar(&vary, "vary", "", "the setting, as in the scenario's file")
	c.Flags().StringVar(&values, "values", "", "its values, with commas")
	c.Flags().StringVar(&beside, "beside", "", "a second setting")
	c.Flags().StringVar(&besides, "besides", "", "its values, with commas")
	c.Flags().StringVar(&figure, "figure", "score", "the figure to print")
	return c
}

func shrinkCommand() *cobra.Command {
	var seed uint64
	var out, floor string
	var f sockets
	var tries int
	c := &cobra.Command{
		Use: "shrink SCENARIO.toml --seed N", Short: "Find the fewest faults by which a day still breaks its rule", Args: cobra.ExactArgs(1),
		Long: "shrink leaves faults out while a rule is still broken. In virtual time it is the scenario's faults; with --floor sockets those\n" +
			"of a schedule, each smaller one played --tries times, as real processes do not repeat themselves.",
		Example: "  olivesim shrink bad.toml --seed 17 -o small.toml\n  olivesim shrink deploy/sim/zones.toml --floor sockets --schedule days/seed-3/schedule.toml -o small.toml",
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			ctx, stop := cli.Interruptible(c)
			defer stop()
			switch floor {
			case "virtual":
			case "sockets":
				return f.shrink(ctx, c, sc, seed, tries, out)
			default:
				return cli.Usage("--floor is virtual or sockets, not %q", floor)
			}
			small := experiment.Shrink(ctx, sc, seed, options())
			if small == nil {
				return fmt.Errorf("%s breaks no rule with seed %d", args[0], seed)
			}
			w := c.OutOrStdout()
			if out != "" {
				f, err := os.Create(out)
				if err != nil {
					return err
				}
				defer func() { _ = f.Close() }()
				w = f
			}
			small.Fault = slices.Clone(small.Fault)
			slices.SortFunc(small.Fault, func(a, b scenario.Fault) int { return cmp.Compare(a.At, b.At) })
			return toml.NewEncoder(w).Encode(small)
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "the day's seed")
	c.Flags().StringVarP(&out, "out", "o", "", "file for the smaller scenario or schedule")
	c.Flags().StringVar(&floor, "floor", "virtual", "virtual: in virtual time; sockets: with many processes")
	c.Flags().IntVar(&tries, "tries", 2, "sockets: plays of each smaller schedule")
	f.flags(c)
	return c
}
