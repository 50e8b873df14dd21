package main

import (
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/sim/loopback"
	"olivedale/internal/sim/scenario"
)

// Bounds of the flags of load.
const (
	maxLoadRate   = 100_000 // calls a second
	maxLoadLength = time.Hour
)

func loadCommand() *cobra.Command {
	var generator loopback.LoadGenerator
	var asJSON bool
	c := &cobra.Command{
		Use:   "load",
		Short: "Generate an open-loop load of calls to call controllers",
		Args:  cobra.NoArgs,
		Long: "load sends calls by a Poisson process, without waiting for the answers to earlier calls. Set-up\n" +
			"times are measured from the scheduled time of a call.",
		Example: "  olivesim load --to 127.0.0.1:5060 --to 127.0.0.1:5061 --rate 200 --for 1m",
		RunE: func(c *cobra.Command, _ []string) error {
			if err := checkLoad(&generator); err != nil {
				return err
			}
			generator.Classes = scenario.Default().Class
			ctx, stop := cli.SignalContext(c)
			defer stop()
			if err := generator.Run(ctx); err != nil {
				return err
			}
			summary := summarize(generator.Stats())
			return cli.Table(c.OutOrStdout(), asJSON, summary, loadHeading, [][]string{summary.row()})
		},
	}
	f := c.Flags()
	f.StringArrayVar(&generator.Addrs, "to", nil,
		"address of a call controller, for the platform's protocol (repeatable)")
	f.Float64Var(&generator.Rate, "rate", 50, "calls per second to all controllers together")
	f.DurationVar(&generator.Duration, "for", 10*time.Second, "duration of the load")
	f.DurationVar(&generator.CallerTimeout, "left", 3*time.Second, "time after which callers give up")
	f.IntVar(&generator.Pools, "pools", 3, "number of preferred pools")
	f.Uint64Var(&generator.Seed, "seed", 1, "random seed of the calls")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func checkLoad(generator *loopback.LoadGenerator) error {
	switch {
	case len(generator.Addrs) == 0:
		return cli.UsageErrorf("--to is required: it names a call controller")
	case generator.Rate <= 0 || generator.Rate > maxLoadRate:
		return cli.UsageErrorf("--rate is up to %d calls a second", maxLoadRate)
	case generator.Duration <= 0 || generator.Duration > maxLoadLength:
		return cli.UsageErrorf("--for is up to %v", maxLoadLength)
	}
	return nil
}

// loadSummary is the result of a load. Its field names are the keys of its JSON form.
type loadSummary struct {
	Sent, Stood, Refused, Failed, GaveUp, Lost, NotSent int
	P50, P99, P999                                      string // set-up times
}

// loadHeading is the heading of the columns of loadSummary.row.
var loadHeading = []string{
	"SENT", "ESTABLISHED", "REJECTED", "FAILED", "ABANDONED", "LOST", "NOT SENT", "P50", "P99", "P99.9",
}

func summarize(stats loopback.LoadStats) loadSummary {
	quantile := func(percent float64) string {
		setUpTime := time.Duration(stats.SetUpTimes.ValueAtQuantile(percent)) * time.Microsecond
		return setUpTime.Round(100 * time.Microsecond).String()
	}
	return loadSummary{
		Sent:    stats.Sent,
		Stood:   stats.Established,
		Refused: stats.Rejected,
		Failed:  stats.Failed,
		GaveUp:  stats.Abandoned,
		Lost:    stats.Lost,
		NotSent: stats.NotSent,
		P50:     quantile(50),
		P99:     quantile(99),
		P999:    quantile(99.9),
	}
}

func (s loadSummary) row() []string {
	counts := []int{s.Sent, s.Stood, s.Refused, s.Failed, s.GaveUp, s.Lost, s.NotSent}
	var row []string
	for _, count := range counts {
		row = append(row, strconv.Itoa(count))
	}
	return append(row, s.P50, s.P99, s.P999)
}
