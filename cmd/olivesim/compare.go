package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/plot"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/revision"
	"olivedale/internal/sim/scenario"
)

// comparison is the result of compare for one scenario.
type comparison struct {
	Scenario    string                  `json:"scenario"`
	Base        string                  `json:"base"`
	Differences []experiment.Difference `json:"differences"`
}

func compareCommand() *cobra.Command {
	var days dayFlags
	var base revision.Options
	c := &cobra.Command{
		Use:   "compare SCENARIO.toml... --base REV",
		Short: "Compare results of this program with those of an earlier commit",
		Args:  cobra.MinimumNArgs(1),
		Long: "compare builds the product of an earlier commit with the current simulator, in a worktree that it\n" +
			"removes afterwards, and runs the same days (seeds) with this program and with that commit. A commit\n" +
			"that has another module path is built with its own simulator; standard error says which simulator\n" +
			"was used. Differences are paired by day; the table marks those whose confidence interval includes zero.",
		Example: "  olivesim compare deploy/sim/*.toml --base HEAD~3 --days 24",
		RunE: func(c *cobra.Command, scenarios []string) error {
			return runCompare(c, scenarios, days, base)
		},
	}
	days.register(c, 16)
	c.Flags().StringVar(&base.Revision, "base", "", "commit, branch or tag to compare with (required)")
	c.Flags().StringVar(&base.Repository, "repository", ".", "path of the repository")
	c.Flags().BoolVar(&base.PolicyOnly, "module", false,
		"take only the decision module from that commit, and the rest of the product from HEAD")
	return c
}

// runCompare builds the program of the base commit and compares it with this program for each scenario.
func runCompare(c *cobra.Command, scenarios []string, days dayFlags, base revision.Options) error {
	seeds, err := days.seeds()
	if err != nil {
		return err
	}
	if base.Revision == "" {
		return cli.UsageErrorf("--base is required: it names the commit to compare with")
	}
	ctx, stop := cli.SignalContext(c)
	defer stop()
	build, err := revision.New(ctx, base)
	if err != nil {
		return fmt.Errorf("base: %w", err)
	}
	defer func() { _ = build.Remove() }()
	if _, err := fmt.Fprintf(c.ErrOrStderr(), "base %.12s: %v\n", build.Commit, build.Method); err != nil {
		return err
	}
	var comparisons []comparison
	for _, path := range scenarios {
		compared, err := compareScenario(ctx, build, path, days, seeds)
		if err != nil {
			return err
		}
		comparisons = append(comparisons, *compared)
		if days.asJSON {
			continue
		}
		if err := compared.print(c.OutOrStdout(), len(seeds)); err != nil {
			return err
		}
	}
	if days.asJSON {
		return json.NewEncoder(c.OutOrStdout()).Encode(comparisons)
	}
	return nil
}

// compareScenario runs the days of a scenario with the program of the base commit and with this program.
func compareScenario(
	ctx context.Context, base *revision.Build, path string, days dayFlags, seeds []uint64,
) (*comparison, error) {
	sc, err := scenario.Load(path)
	if err != nil {
		return nil, err
	}
	baseResults, err := runBase(ctx, base, path, days)
	if err != nil {
		return nil, err
	}
	results, err := experiment.RunSeeds(ctx, sc, seeds, simulationOptions())
	if err != nil {
		return nil, err
	}
	differences, err := experiment.Compare(baseResults, results)
	if err != nil {
		return nil, err
	}
	return &comparison{Scenario: sc.Name, Base: base.Commit, Differences: differences}, nil
}

// runBase runs the days with the program of the base commit.
func runBase(ctx context.Context, base *revision.Build, path string, days dayFlags) ([]*result.Result, error) {
	program := exec.CommandContext(ctx, base.Program, "run", path, "--json",
		"--seed", strconv.FormatUint(days.firstSeed, 10), "--days", strconv.Itoa(days.count))
	program.Stderr = os.Stderr
	output, err := program.Output()
	if err != nil {
		return nil, fmt.Errorf("run %s with %.12s: %w", path, base.Commit, err)
	}
	var results []*result.Result
	if err := json.Unmarshal(output, &results); err != nil {
		return nil, fmt.Errorf("decode results of %.12s: %w", base.Commit, err)
	}
	return results, nil
}

// print writes the comparison as a table.
func (c *comparison) print(w io.Writer, days int) error {
	if _, err := fmt.Fprintf(w, "%s, %d days, base %.12s\n", c.Scenario, days, c.Base); err != nil {
		return err
	}
	header := []string{"FIGURE", "BASE", "NOW", "DIFFERENCE", "95%", "WORST BASE", "WORST NOW", ""}
	var rows [][]string
	for _, d := range c.Differences {
		rows = append(rows, []string{
			d.Figure,
			plot.FormatNumber(d.Base),
			plot.FormatNumber(d.Now),
			fmt.Sprintf("%+.3f", d.Diff.Mean),
			fmt.Sprintf("%+.3f to %+.3f", d.Diff.Low, d.Diff.High),
			plot.FormatNumber(d.WorstBase),
			plot.FormatNumber(d.WorstNow),
			string(d.Verdict),
		})
	}
	return cli.Table(w, false, nil, header, rows)
}
