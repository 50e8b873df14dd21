package main

import (
	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/overloadpeers"
	"olivedale/internal/sim/plot"
	"olivedale/internal/sim/scenario"
	"olivedale/internal/sim/virtualtime"
)

// maxDays is the maximum of --days.
const maxDays = 10000

// dayFlags are the flags that select the days to simulate and the output of the results. A day is one run of a
// scenario with one seed.
type dayFlags struct {
	firstSeed uint64
	count     int
	file      string
	asJSON    bool
}

// register adds the flags to a command.
func (d *dayFlags) register(c *cobra.Command, defaultCount int) {
	c.Flags().Uint64Var(&d.firstSeed, "seed", 1, "seed of the first day")
	c.Flags().IntVar(&d.count, "days", defaultCount, "number of days to simulate, each with its own seed")
	c.Flags().StringVarP(&d.file, "out", "o", "", "output file for the results")
	c.Flags().BoolVar(&d.asJSON, "json", false, "print JSON")
}

// seeds checks the number of days and returns their seeds.
func (d *dayFlags) seeds() ([]uint64, error) {
	if d.count < 1 || d.count > maxDays {
		return nil, cli.UsageErrorf("--days %d is not between 1 and %d", d.count, maxDays)
	}
	return experiment.Seeds(d.firstSeed, d.count), nil
}

// load reads a scenario and returns it with the seeds of the days.
func (d *dayFlags) load(path string) (*scenario.Scenario, []uint64, error) {
	sc, err := scenario.Load(path)
	if err != nil {
		return nil, nil, err
	}
	seeds, err := d.seeds()
	return sc, seeds, err
}

// save writes the results to the file that -o names, if any.
func (d *dayFlags) save(f *experiment.File) error {
	if d.file == "" {
		return nil
	}
	return f.Save(d.file)
}

// newFile returns an experiment without results that names the version of this program and the machine.
func newFile(sc *scenario.Scenario) *experiment.File {
	return &experiment.File{Scenario: sc, Commit: cli.Version(), Machine: experiment.Machine()}
}

// simulationOptions returns the default options of runs in virtual time.
func simulationOptions() virtualtime.Options {
	return virtualtime.Options{StartPeer: overloadpeers.Start}
}

// intervalHeading is the heading of the columns of intervalCells that follow the mean.
var intervalHeading = []string{"95%", "WORST DAY"}

// intervalCells formats the mean, the confidence interval and the worst day of a figure for a table.
func intervalCells(interval experiment.Interval) []string {
	return []string{
		plot.FormatNumber(interval.Mean),
		plot.FormatNumber(interval.Low) + " to " + plot.FormatNumber(interval.High),
		plot.FormatNumber(interval.Worst),
	}
}
