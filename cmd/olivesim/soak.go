package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/sim/soak"
)

// Bounds of the flags of soak.
const (
	maxSoakSeeds    = 1000
	maxSoakParallel = 16
)

// soakFlags are the flags of the soak command.
type soakFlags struct {
	seeds    string
	parallel int
	programs string // directory
	dir      string
}

func soakCommand() *cobra.Command {
	var f soakFlags
	c := &cobra.Command{
		Use:   "soak --seeds FROM-TO",
		Short: "Run short trials of real controllers with overlapping faults",
		Args:  cobra.NoArgs,
		Long: "soak runs a trial for each seed: a few controllers as real processes on loopback, with emulated\n" +
			"exchanges, discovery and callers, and faults in the five combinations of the acceptance test. It fails\n" +
			"if a rule was violated. Configurations, logs and results are in a directory for each seed.",
		Example: "  olivesim soak --seeds 1-50 --parallel 4 --dir /tmp/soak\n" +
			"  olivesim soak --seeds 17",
		RunE: func(c *cobra.Command, _ []string) error { return f.run(c) },
	}
	c.Flags().StringVar(&f.seeds, "seeds", "1-5", "range of seeds FROM-TO, or a single seed")
	c.Flags().IntVar(&f.parallel, "parallel", 4, "number of trials to run in parallel")
	c.Flags().StringVar(&f.programs, "bin", "", "directory of the programs (default: that of this one)")
	c.Flags().StringVar(&f.dir, "dir", "", "directory for configurations, logs and results (default: a temporary one)")
	return c
}

// seedRange parses --seeds and returns the first and the last seed.
func (f *soakFlags) seedRange() (first, last uint64, err error) {
	from, to, isRange := strings.Cut(f.seeds, "-")
	if !isRange {
		to = from
	}
	if first, err = strconv.ParseUint(from, 10, 64); err == nil {
		last, err = strconv.ParseUint(to, 10, 64)
	}
	if err != nil || last < first || last-first >= maxSoakSeeds {
		return 0, 0, cli.UsageErrorf("--seeds %q is not a range of at most %d seeds", f.seeds, maxSoakSeeds)
	}
	return first, last, nil
}

func (f *soakFlags) run(c *cobra.Command) error {
	first, last, err := f.seedRange()
	if err != nil {
		return err
	}
	if f.parallel < 1 || f.parallel > maxSoakParallel {
		return cli.UsageErrorf("--parallel is 1 to %d", maxSoakParallel)
	}
	programs, err := programDirectory(f.programs)
	if err != nil {
		return err
	}
	if f.dir == "" {
		if f.dir, err = os.MkdirTemp("", "olivesim-soak-"); err != nil {
			return err
		}
	}
	ctx, stop := cli.SignalContext(c)
	defer stop()
	s := &soakSeries{command: c, program: filepath.Join(programs, "olivedale"), dir: f.dir, startTime: time.Now()}
	s.run(ctx, first, last, f.parallel)
	return s.summarize()
}

// A soakSeries runs trials and adds up their results.
type soakSeries struct {
	command   *cobra.Command
	program   string
	dir       string
	startTime time.Time

	mu         sync.Mutex
	played     int
	failed     []uint64
	violations map[string]int // by rule
	counts     soak.Counts
	err        error // of a trial that could not be run
}

// run runs a trial for each seed, with the given parallelism, until all have run or ctx is done.
func (s *soakSeries) run(ctx context.Context, first, last uint64, parallel int) {
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range parallel {
		workers.Go(func() {
			for seed := range seeds {
				s.runTrial(seed)
			}
		})
	}
	for seed := first; seed <= last && ctx.Err() == nil; seed++ {
		select {
		case seeds <- seed:
		case <-ctx.Done():
		}
	}
	close(seeds)
	workers.Wait()
}

// runTrial runs the trial of a seed and adds its result.
func (s *soakSeries) runTrial(seed uint64) {
	dir := filepath.Join(s.dir, "seed-"+strconv.FormatUint(seed, 10))
	result, err := s.runPlan(dir, soak.GeneratePlan(seed))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.played++
	if err != nil {
		s.err = fmt.Errorf("seed %d: %w", seed, err)
		return
	}
	s.add(seed, result)
}

// runPlan runs the trial that plan describes and stores its progress log and its result in dir.
func (s *soakSeries) runPlan(dir string, plan *soak.Plan) (*soak.Result, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	progressLog, err := os.Create(filepath.Join(dir, "course.txt"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = progressLog.Close() }()
	result, err := soak.Run(soak.Options{Program: s.program, Dir: dir, Out: progressLog}, plan)
	if err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return nil, err
	}
	return result, os.WriteFile(filepath.Join(dir, "result.json"), text, 0o600)
}

// add prints a result and adds it to the totals. The caller holds soakSeries.mu.
func (s *soakSeries) add(seed uint64, r *soak.Result) {
	out := s.command.OutOrStdout()
	n := &r.Counts
	_, _ = fmt.Fprintf(out, "seed %d, %s: %d calls, %d established, %d lost at their exchange, %d cut, %d violations\n",
		seed, r.Plan.Combination, n.Offered, n.Established, n.Lost, n.Cut, len(r.Violations))
	s.counts.Add(&r.Counts)
	if len(r.Violations) == 0 {
		return
	}
	s.failed = append(s.failed, seed)
	if s.violations == nil {
		s.violations = make(map[string]int)
	}
	for _, v := range r.Violations {
		s.violations[string(v.Rule)]++
	}
	for _, v := range r.Violations[:min(len(r.Violations), maxPrintedViolations)] {
		_, _ = fmt.Fprintln(out, "  ", v)
	}
	_, _ = fmt.Fprintf(out, "   reproduce: olivesim soak --seeds %d\n", seed)
}

// summarize prints the totals. It returns an error if a rule was violated or a trial could not be run.
func (s *soakSeries) summarize() error {
	out := s.command.OutOrStdout()
	_, _ = fmt.Fprintf(out, "%d trials in %v: %+v\n", s.played, time.Since(s.startTime).Round(time.Second), s.counts)
	if s.err != nil {
		return s.err
	}
	if len(s.failed) > 0 {
		return fmt.Errorf("%d of %d trials violated a rule: seeds %v, %v; see %s",
			len(s.failed), s.played, s.failed, s.violations, s.dir)
	}
	return nil
}
