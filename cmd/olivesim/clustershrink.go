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

// clusterShrink is a schedule to shrink: that of --schedule, or the one drawn from the seed.
type clusterShrink struct {
	scenario *scenario.Scenario
	seed     uint64
	tries    int    // runs of each smaller schedule
	file     string // for the smallest schedule
}

// shrink finds the fewest faults of a schedule that still violate an invariant, and saves them as a schedule.
func (f *clusterFlags) shrink(ctx context.Context, progress io.Writer, s clusterShrink) error {
	if s.tries < 1 || s.tries > maxShrinkTries {
		return cli.UsageErrorf("--tries is 1 to %d", maxShrinkTries)
	}
	if s.file == "" {
		return cli.UsageErrorf("-o names the file for the smaller schedule")
	}
	options, err := f.options(s.scenario, s.seed, io.Discard)
	if err != nil {
		return err
	}
	isViolated := func(candidate *cluster.Schedule) (bool, error) {
		candidateOptions := options
		candidateOptions.Schedule = candidate
		return playCandidate(ctx, progress, candidateOptions)
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

// playCandidate plays a schedule in a temporary directory and reports whether an invariant was violated.
func playCandidate(ctx context.Context, progress io.Writer, options cluster.Options) (bool, error) {
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
