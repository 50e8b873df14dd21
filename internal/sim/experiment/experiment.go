// Package experiment runs a scenario with many seeds and compares the results statistically: means with bootstrap
// confidence intervals, paired differences between two programs, rank correlations. It also minimizes scenarios that
// violate an invariant. It treats the simulated controller as a black box.
package experiment

import (
	"context"
	"fmt"
	"runtime"

	"golang.org/x/sync/errgroup"

	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
	"olivedale/internal/sim/virtualtime"
)

// Seeds returns n consecutive seeds, starting with first.
func Seeds(first uint64, n int) []uint64 {
	seeds := make([]uint64, n)
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	return seeds
}

// RunSeeds runs a scenario in virtual time with each seed, with one run per core in parallel, and returns the results
// in the order of the seeds. When ctx ends it starts no further run and returns the error of ctx.
func RunSeeds(
	ctx context.Context, sc *scenario.Scenario, seeds []uint64, options virtualtime.Options,
) ([]*result.Result, error) {
	results := make([]*result.Result, len(seeds))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, seed := range seeds {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			results[i] = virtualtime.Run(sc, seed, options)
			return nil
		})
	}
	return results, group.Wait()
}

// Machine describes the machine on which the program runs.
func Machine() string {
	return fmt.Sprintf("%s/%s, %d cores, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
}

// FigureValues returns the value of a figure in each result.
func FigureValues(results []*result.Result, figure result.Figure) []float64 {
	values := make([]float64, len(results))
	for i, r := range results {
		values[i] = figure.Of(r)
	}
	return values
}
