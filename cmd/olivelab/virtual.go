package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"

	"lapiscourse/internal/cli"
	"lapiscourse/internal/lab/base"
	"lapiscourse/internal/lab/experiment"
	"lapiscourse/internal/lab/result"
	"lapiscourse/internal/lab/rules"
	"lapiscourse/internal/lab/sabourin"
	"lapiscourse/internal/lab/scenario"
	"lapiscourse/internal/lab/show"
	"lapiscourse/internal/lab/virtual"
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

func interrupted(c *cobra.Command) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
}

// commit is what results say they are of.
func commit() string { return cli.Version() }

func runCommand() *cobra.Command {
	var d days
	var until time.Duration
	var call string
	c := &cobra.Command{
		Use: "run SCENARIO.toml", Short: "Play a scenario in virtual time", Args: cobra.ExactArgs(1),
		Example: "  olivelab run deploy/lab/coldstart.toml --days 20\n  olivelab run deploy/lab/coldstart.toml --days 1 --seed 7 --until 12s --call c1234",
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			seeds, err := d.seeds()
			if err != nil {
				return err
			}
			opt := virtual.Options{Until: until}
			if call != "" {
				if len(seeds) > 1 {
					return cli.Usage("--call shows a call of one day: add --days 1")
				}
				opt.Watch = func(e rules.Event) {
					if e.Call == call {
						_, _ = fmt.Fprintln(c.ErrOrStderr(), e)
					}
				}
			}
			ctx, stop := interrupted(c)
			defer stop()
			all, err := experiment.Play(ctx, sc, seeds, opt)
			if err != nil {
				return err
			}
			file := &experiment.File{Scenario: sc, Commit: commit(), Machine: experiment.Machine(), Points: []experiment.Point{{Results: all}}}
			if d.out != "" {
				if err := file.Save(d.out); err != nil {
					return err
				}
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
	return c
}

// figures prints the figures of days.
func figures(c *cobra.Command, all []*result.Result) error {
	var rows [][]string
	for _, f := range result.Figures {
		iv := experiment.Bootstrap(experiment.Of(all, f), f.Less)
		rows = append(rows, []string{f.Name, number(iv.Mean), number(iv.Low) + " to " + number(iv.High), number(iv.Worst)})
	}
	return cli.Table(c.OutOrStdout(), false, nil, []string{"FIGURE", "MEAN", "95%", "WORST DAY"}, rows)
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

// broken tells of rules that were broken, and how to see it again.
func broken(c *cobra.Command, path string, all []*result.Result) error {
	n := 0
	for _, r := range all {
		for _, b := range r.Breaches[:min(len(r.Breaches), 3)] {
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "seed %d: %v\n", r.Seed, b)
			for _, e := range b.Around {
				_, _ = fmt.Fprintln(c.ErrOrStderr(), "  ", e)
			}
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "again: olivelab run %s --days 1 --seed %d --until %v\n", path, r.Seed, (b.At + time.Second).Truncate(time.Second))
		}
		for _, k := range r.Broken {
			n += k
		}
	}
	if n > 0 {
		return fmt.Errorf("rules were broken %d times", n)
	}
	return nil
}

func sweepCommand() *cobra.Command {
	var d days
	var vary, values, figure string
	c := &cobra.Command{
		Use: "sweep SCENARIO.toml --vary KEY --values A,B,...", Short: "Play a scenario over values of a setting", Args: cobra.ExactArgs(1),
		Example: "  olivelab sweep deploy/lab/quiet.toml --vary callers.load --values 0.6,0.8,1,1.2,1.6,2 -o load.json",
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			seeds, err := d.seeds()
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
			ctx, stop := interrupted(c)
			defer stop()
			file := &experiment.File{Scenario: sc, Commit: commit(), Machine: experiment.Machine(), Vary: vary}
			var rows [][]string
			for value := range strings.SplitSeq(values, ",") {
				one, err := experiment.Set(sc, vary, strings.TrimSpace(value))
				if err != nil {
					return err
				}
				all, err := experiment.Play(ctx, one, seeds, virtual.Options{})
				if err != nil {
					return err
				}
				file.Points = append(file.Points, experiment.Point{Value: strings.TrimSpace(value), Results: all})
				iv := experiment.Bootstrap(experiment.Of(all, fig), fig.Less)
				n := 0
				for _, r := range all {
					n += len(r.Broken)
				}
				rows = append(rows, []string{value, number(iv.Mean), number(iv.Low) + " to " + number(iv.High), number(iv.Worst), strconv.Itoa(n)})
			}
			if d.out != "" {
				if err := file.Save(d.out); err != nil {
					return err
				}
			}
			return cli.Table(c.OutOrStdout(), d.json, file, []string{strings.ToUpper(vary), strings.ToUpper(figure), "95%", "WORST DAY", "RULES BROKEN"}, rows)
		},
	}
	d.flags(c, 8)
	c.Flags().StringVar(&vary, "vary", "", "the setting, as in the scenario's file")
	c.Flags().StringVar(&values, "values", "", "its values, with commas")
	c.Flags().StringVar(&figure, "figure", "score", "the figure to print")
	return c
}

func compareCommand() *cobra.Command {
	var d days
	var rev, repo string
	var module bool
	c := &cobra.Command{
		Use: "compare SCENARIO.toml... --base REV", Short: "Play the same days with this program and with an earlier commit", Args: cobra.MinimumNArgs(1),
		Long: "compare builds core and module of an earlier commit under today's laboratory, in a work tree that it removes after, and\n" +
			"plays the same seeds with both. Differences are taken day by day; where the interval takes in nought it says so.",
		Example: "  olivelab compare deploy/lab/*.toml --base HEAD~3 --days 24",
		RunE: func(c *cobra.Command, args []string) error {
			seeds, err := d.seeds()
			if err != nil {
				return err
			}
			if rev == "" {
				return cli.Usage("--base names the commit to compare with")
			}
			ctx, stop := interrupted(c)
			defer stop()
			old, err := base.Make(ctx, repo, rev, module)
			if err != nil {
				return err
			}
			defer func() { _ = old.Remove() }()
			type comparison struct {
				Scenario    string                  `json:"scenario"`
				Base        string                  `json:"base"`
				Differences []experiment.Difference `json:"differences"`
			}
			var out []comparison
			for _, path := range args {
				sc, err := scenario.Load(path)
				if err != nil {
					return err
				}
				before, err := playOld(ctx, old, path, d)
				if err != nil {
					return err
				}
				now, err := experiment.Play(ctx, sc, seeds, virtual.Options{})
				if err != nil {
					return err
				}
				diffs, err := experiment.Compare(before, now)
				if err != nil {
					return err
				}
				out = append(out, comparison{sc.Name, old.Commit, diffs})
				if d.json {
					continue
				}
				var rows [][]string
				for _, x := range diffs {
					rows = append(rows, []string{x.Figure, number(x.Base), number(x.Now), fmt.Sprintf("%+.3f", x.Diff.Mean), fmt.Sprintf("%+.3f to %+.3f", x.Diff.Low, x.Diff.High),
						number(x.WorstBase), number(x.WorstNow), x.Verdict})
				}
				if _, err := fmt.Fprintf(c.OutOrStdout(), "%s, %d days, base %.12s\n", sc.Name, len(seeds), old.Commit); err != nil {
					return err
				}
				if err := cli.Table(c.OutOrStdout(), false, nil, []string{"FIGURE", "BASE", "NOW", "DIFFERENCE", "95%", "WORST BASE", "WORST NOW", ""}, rows); err != nil {
					return err
				}
			}
			if d.json {
				return json.NewEncoder(c.OutOrStdout()).Encode(out)
			}
			return nil
		},
	}
	d.flags(c, 16)
	c.Flags().StringVar(&rev, "base", "", "commit, branch or tag to compare with")
	c.Flags().StringVar(&repo, "repository", ".", "the repository")
	c.Flags().BoolVar(&module, "module", false, "take the module alone from that commit, and all else from HEAD")
	return c
}

// playOld has the earlier program play the days.
func playOld(ctx context.Context, b *base.Build, path string, d days) ([]*result.Result, error) {
	p := exec.CommandContext(ctx, b.Program, "run", path, "--json", "--seed", strconv.FormatUint(d.first, 10), "--days", strconv.Itoa(d.n))
	p.Stderr = os.Stderr
	text, err := p.Output()
	if err != nil {
		return nil, fmt.Errorf("playing %s with %.12s: %w", path, b.Commit, err)
	}
	var all []*result.Result
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, fmt.Errorf("what %.12s said: %w", b.Commit, err)
	}
	return all, nil
}

func reportCommand() *cobra.Command {
	var out, title string
	c := &cobra.Command{
		Use: "report RESULTS.json... -o FILE.html", Short: "Make a page of results", Args: cobra.MinimumNArgs(1),
		Example: "  olivelab report load.json coldstart.json -o study.html",
		RunE: func(c *cobra.Command, args []string) error {
			if out == "" {
				return cli.Usage("-o names the file to write")
			}
			var parts []show.Part
			for _, path := range args {
				f, err := experiment.Load(path)
				if err != nil {
					return err
				}
				p, err := show.Of(f)
				if err != nil {
					return err
				}
				parts = append(parts, p)
			}
			w, err := os.Create(out)
			if err != nil {
				return err
			}
			return errors.Join(show.Page(w, title, parts), w.Close())
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "the file to write")
	c.Flags().StringVar(&title, "title", "Laboratory", "the page's title")
	return c
}

func curveCommand() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use: "curve -o FILE.html", Short: "Redraw the paper's curves of handled against offered load", Args: cobra.NoArgs,
		Example: "  olivelab curve -o curve.html",
		RunE: func(c *cobra.Command, _ []string) error {
			if out == "" {
				return cli.Usage("-o names the file to write")
			}
			var curves []show.Curve
			part := show.Part{Title: "Handled load against offered load", About: "Sabourin's counting of calls at the door of the laboratory's exchange (lines) beside his theory (dashed), " +
				"for rejected calls that cost nothing, 30% and 50% of an accepted one. Thresholds 0.8 and 0.9, periods of 100 ms, a window of 3 s, as in the paper; " +
				"half of the calls outgoing, four in ten incoming, one in ten urgent, which is ours.",
				Heading: []string{"offered", "cost of a rejected call", "handled", "theory", "total", "theory"}}
			for _, reject := range []float64{0, 0.3, 0.5} {
				m := sabourin.Paper(reject)
				run, theory := show.Curve{Name: fmt.Sprintf("rejected calls cost %v", reject)}, show.Curve{Name: fmt.Sprintf("theory, %v", reject), Dashed: true}
				for offered := 0.1; offered < 2.55; offered += 0.1 {
					want, load := m.Theory(offered)
					theory.X, theory.Y = append(theory.X, offered), append(theory.Y, want)
					if load > 1 {
						continue // no steady state
					}
					got, total := m.Run(offered, 400*time.Second, 1)
					run.X, run.Y = append(run.X, offered), append(run.Y, got)
					part.Rows = append(part.Rows, []string{fmt.Sprintf("%.1f", offered), fmt.Sprint(reject), number(got), number(want), number(total), number(load)})
				}
				curves = append(curves, run, theory)
			}
			svg, err := show.Plot("handled load", "offered load", "", curves)
			if err != nil {
				return err
			}
			part.Plots = append(part.Plots, svg)
			w, err := os.Create(out)
			if err != nil {
				return err
			}
			return errors.Join(show.Page(w, "Overload control by counting calls", []show.Part{part}), w.Close())
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "the file to write")
	return c
}

func shrinkCommand() *cobra.Command {
	var seed uint64
	var out string
	c := &cobra.Command{
		Use: "shrink SCENARIO.toml --seed N", Short: "Find the fewest faults by which a day still breaks its rule", Args: cobra.ExactArgs(1),
		Example: "  olivelab shrink bad.toml --seed 17 -o small.toml",
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			ctx, stop := interrupted(c)
			defer stop()
			small := experiment.Shrink(ctx, sc, seed, virtual.Options{})
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
	c.Flags().StringVarP(&out, "out", "o", "", "file for the smaller scenario")
	return c
}
