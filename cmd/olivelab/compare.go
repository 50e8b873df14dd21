package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strconv"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/lab/base"
	"olivedale/internal/lab/experiment"
	"olivedale/internal/lab/result"
	"olivedale/internal/lab/scenario"
	"olivedale/internal/lab/show"
)

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
			ctx, stop := cli.Interruptible(c)
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
				now, err := experiment.Play(ctx, sc, seeds, options())
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
					rows = append(rows, []string{x.Figure, show.Number(x.Base), show.Number(x.Now), fmt.Sprintf("%+.3f", x.Diff.Mean), fmt.Sprintf("%+.3f to %+.3f", x.Diff.Low, x.Diff.High),
						show.Number(x.WorstBase), show.Number(x.WorstNow), x.Verdict})
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
