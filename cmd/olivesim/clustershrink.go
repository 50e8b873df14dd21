package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"olivedale/internal/cli"
	"olivedale/internal/sim/cluster"
	"olivedale/internal/sim/scenario"
)

// clusterShrink selects the schedule to shrink: that of --schedule, or the one generated from the seed.
type clusterShrink struct {
	scenario *scenario.Scenario
	seed     uint64
	tries    int    // runs of each candidate schedule
	file     string // output file for the smallest schedule
}

// shrink reduces a schedule to the fewest faults that still violate an invariant, and saves the result.
func (f *clusterFlags) shrink(ctx context.Context, progress io.Writer, s clusterShrink) error {
	if s.tries < 1 || s.tries > maxShrinkTries {
		return cli.UsageErrorf("--tries is 1 to %d", maxShrinkTries)
	}
	if s.file == "" {
		return cli.UsageErrorf("-o names the file for the smaller schedule; it is required")
	}
	options, err := f.options(s.scenario, s.seed, io.Discard)
	if err != nil {
		return err
	}
	isViolated := func(candidate *cluster.Schedule) (bool, error) {
		candidateOptions := options
		candidateOptions.Schedule = candidate
		return runCandidate(ctx, progress, candidateOptions)
	}
	smallest, err := cluster.Shrink(ctx, options.Schedule, s.tries, isViolated)
	if err != nil {
		return err
	}
	if smallest == nil {
		return fmt.Errorf("the schedule violated no invariant in %d runs", s.tries)
	}
	return smallest.Save(s.file)
}

// runCandidate runs a schedule in a temporary directory and reports whether an invariant was violated.
func runCandidate(ctx context.Context, progress io.Writer, options cluster.Options) (bool, error) {
	dir, err := os.MkdirTemp("", temporaryPattern)
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	options.Dir = dir
	res, err := cluster.Play(ctx, options)
	if err != nil {
		return false, err
	}
	_, err = fmt.Fprintf(progress, "%d faults: invariants violated %d times\n",
		len(options.Schedule.Faults), res.ViolationCount)
	return res.ViolationCount > 0, err
}
