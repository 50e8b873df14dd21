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

// Bounds of the flags of runs with real processes.
const (
	maxDrawnFaults   = 64
	minClusterLength = time.Second
	maxClusterLength = 10 * time.Minute
	maxShrinkTries   = 20
)

// temporaryPattern is the name pattern of temporary directories of runs.
const temporaryPattern = "olivesim-cluster-"

// clusterFlags are the flags of runs with real processes.
type clusterFlags struct {
	programs string // directory
	dir      string
	schedule string
	page     string
	faults   int
	length   time.Duration
}

// register adds the flags to a command.
func (f *clusterFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.programs, "bin", "", "sockets: directory of the programs (default: that of this one)")
	c.Flags().StringVar(&f.dir, "dir", "",
		"sockets: directory for schedules, records and results (default: a temporary one)")
	c.Flags().StringVar(&f.schedule, "schedule", "", "sockets: inject the faults of this file, not generated ones")
	c.Flags().StringVar(&f.page, "page", "", "sockets: HTML file to write, with the faults and calls of each zone")
	c.Flags().IntVar(&f.faults, "faults", 8, "sockets: number of faults to generate for each day")
	c.Flags().DurationVar(&f.length, "for", 20*time.Second, "sockets: how long callers send calls")
}

// options returns the options of a run, except for its directory.
func (f *clusterFlags) options(sc *scenario.Scenario, seed uint64, progress io.Writer) (cluster.Options, error) {
	topology := cluster.Topology{
		Controllers:     sc.Fleet.Controllers,
		Exchanges:       sc.Fleet.Exchanges,
		Zones:           sc.Fleet.Zones,
		OverloadControl: sc.Fleet.OverloadControl,
	}
	if err := topology.Check(); err != nil {
		return cluster.Options{}, err
	}
	if err := f.check(); err != nil {
		return cluster.Options{}, err
	}
	schedule, err := f.loadSchedule(&topology, seed)
	if err != nil {
		return cluster.Options{}, err
	}
	programs, err := programDirectory(f.programs)
	if err != nil {
		return cluster.Options{}, err
	}
	return cluster.Options{
		Bin:          programs,
		Topology:     topology,
		Scenario:     sc,
		Schedule:     schedule,
		CallDuration: f.length,
		Out:          progress,
	}, nil
}

func (f *clusterFlags) check() error {
	if f.faults < 0 || f.faults > maxDrawnFaults {
		return cli.UsageErrorf("--faults is 0 to %d", maxDrawnFaults)
	}
	if f.length < minClusterLength || f.length > maxClusterLength {
		return cli.UsageErrorf("--for is %v to %v", minClusterLength, maxClusterLength)
	}
	return nil
}

// loadSchedule reads the schedule of --schedule, or generates one from the seed.
func (f *clusterFlags) loadSchedule(topology *cluster.Topology, seed uint64) (*cluster.Schedule, error) {
	if f.schedule != "" {
		return cluster.LoadSchedule(f.schedule)
	}
	return cluster.DrawSchedule(topology, f.faults, f.length, seed), nil
}

// runDirectory returns the directory of a run: a subdirectory of --dir for the seed, or a new temporary one.
func (f *clusterFlags) runDirectory(seed uint64) (string, error) {
	if f.dir == "" {
		return os.MkdirTemp("", temporaryPattern)
	}
	return filepath.Join(f.dir, "seed-"+strconv.FormatUint(seed, 10)), nil
}

// programDirectory returns dir, or the directory of this program if dir is "".
func programDirectory(dir string) (string, error) {
	if dir != "" {
		return dir, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Dir(self), nil
}

// clusterDays are days to run with real processes.
type clusterDays struct {
	path     string // of the scenario
	scenario *scenario.Scenario
	seeds    []uint64
	asJSON   bool
}

// run runs days with real processes and prints the result of each. A schedule of --schedule is run once, with the first
// seed. It returns an error if an invariant was violated.
func (f *clusterFlags) run(ctx context.Context, c *cobra.Command, days clusterDays) error {
	seeds := days.seeds
	if f.schedule != "" {
		seeds = seeds[:1]
	}
	var results []*cluster.Result
	violations := 0
	for _, seed := range seeds {
		res, err := f.runDay(ctx, c, days, seed)
		if err != nil {
			return err
		}
		results = append(results, res)
		violations += res.ViolationCount
	}
	if err := f.writePage(results); err != nil {
		return err
	}
	if days.asJSON {
		if err := json.NewEncoder(c.OutOrStdout()).Encode(results); err != nil {
			return err
		}
	}
	return violationError(violations)
}

// runDay runs a day, saves its result and prints it. Its directory is kept if --dir is set or an invariant was
// violated.
func (f *clusterFlags) runDay(
	ctx context.Context, c *cobra.Command, days clusterDays, seed uint64,
) (*cluster.Result, error) {
	progress := c.OutOrStdout()
	if days.asJSON {
		progress = c.ErrOrStderr()
	}
	options, err := f.options(days.scenario, seed, progress)
	if err != nil {
		return nil, err
	}
	options.Dir, err = f.runDirectory(options.Schedule.Seed)
	if err != nil {
		return nil, err
	}
	res, err := cluster.Play(ctx, options)
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", seed, err)
	}
	if err := res.Save(options.Dir); err != nil {
		return nil, err
	}
	printClusterViolations(c.ErrOrStderr(), res)
	if !days.asJSON {
		if err := printClusterResult(c.OutOrStdout(), res); err != nil {
			return nil, err
		}
	}
	if res.ViolationCount > 0 {
		_, _ = fmt.Fprintf(c.ErrOrStderr(), "reproduce: olivesim run %s --floor sockets --schedule %s\n",
			days.path, filepath.Join(options.Dir, "schedule.toml"))
	}
	isTemporary := f.dir == ""
	if isTemporary && res.ViolationCount == 0 {
		return res, os.RemoveAll(options.Dir)
	}
	return res, nil
}

// writePage writes the page of --page, with a section for each day.
func (f *clusterFlags) writePage(results []*cluster.Result) error {
	if f.page == "" {
		return nil
	}
	var parts []plot.Section
	for _, res := range results {
		part, err := res.PagePart()
		if err != nil {
			return err
		}
		parts = append(parts, part)
	}
	return writePage(f.page, "Faults between processes", parts)
}

func printClusterViolations(w io.Writer, res *cluster.Result) {
	for _, violation := range res.Violations {
		_, _ = fmt.Fprintln(w, violation)
		for _, event := range violation.PrecedingEvents {
			_, _ = fmt.Fprintln(w, "  ", event)
		}
	}
}

func printClusterResult(w io.Writer, res *cluster.Result) error {
	heading, rows := res.Rows()
	if err := cli.Table(w, false, nil, heading, rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "seed %d: %d faults, %d messages, invariants violated %d times\n",
		res.Seed, len(res.InjectedFaults), res.EventCount, res.ViolationCount)
	return err
}
