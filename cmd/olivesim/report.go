package main

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/plot"
)

func reportCommand() *cobra.Command {
	var file, title string
	c := &cobra.Command{
		Use:     "report RESULTS.json... -o FILE.html",
		Short:   "Write an HTML page with tables and charts of stored results",
		Args:    cobra.MinimumNArgs(1),
		Example: "  olivesim report load.json coldstart.json -o study.html",
		RunE:    func(_ *cobra.Command, paths []string) error { return writeReport(file, title, paths) },
	}
	c.Flags().StringVarP(&file, "out", "o", "", "output file")
	c.Flags().StringVar(&title, "title", "Simulation", "title of the page")
	return c
}

// writeReport writes a page with a section for each results file.
func writeReport(file, title string, paths []string) error {
	if file == "" {
		return errNoOutputFile
	}
	var parts []plot.Section
	for _, path := range paths {
		stored, err := experiment.Load(path)
		if err != nil {
			return err
		}
		part, err := plot.ExperimentSection(stored)
		if err != nil {
			return err
		}
		parts = append(parts, part)
	}
	return writePage(file, title, parts)
}

// errNoOutputFile is returned if a command that writes a page is called without -o.
var errNoOutputFile = cli.UsageErrorf("-o names the file to write; it is required")

// writePage writes an HTML page to a file.
func writePage(path, title string, parts []plot.Section) error {
	w, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(plot.WritePage(w, title, parts), w.Close())
}
