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
		Short:   "Write a page with tables and charts of stored results",
		Args:    cobra.MinimumNArgs(1),
		Example: "  olivesim report load.json coldstart.json -o study.html",
		RunE:    func(_ *cobra.Command, paths []string) error { return writeReport(file, title, paths) },
	}
	c.Flags().StringVarP(&file, "out", "o", "", "the file to write")
	c.Flags().StringVar(&title, "title", "Simulation", "the page's title")
	return c
}

// writeReport writes a page with a section for each file of results.
func writeReport(file, title string, paths []string) error {
	if file == "" {
		return errNoOutputFile
	}
	var parts []plot.Part
	for _, path := range paths {
		stored, err := experiment.Load(path)
		if err != nil {
			return err
		}
		part, err := plot.Of(stored)
		if err != nil {
			return err
		}
		parts = append(parts, part)
	}
	return writePage(file, title, parts)
}

// errNoOutputFile says that a command that writes a page has no -o.
var errNoOutputFile = cli.UsageErrorf("-o names the file to write")

// writePage writes a page to a file.
func writePage(path, title string, parts []plot.Part) error {
	w, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(plot.Page(w, title, parts), w.Close())
}
