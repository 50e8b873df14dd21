package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/record"
	"olivedale/internal/report"
)

const (
	// standardOutput is the file name that stands for standard output.
	standardOutput = "-"
	// progressInterval is the least time between updates of the progress display.
	progressInterval = 200 * time.Millisecond
	// clearLine is the terminal escape sequence that clears the current line.
	clearLine = "\r\033[K"
)

// reportFlags are the flags of the report command.
type reportFlags struct {
	html     string
	json     string
	from, to string
	workers  int
}

func newReportCommand() *cobra.Command {
	var f reportFlags
	c := &cobra.Command{
		Use:   "report DIR... -o FILE.html",
		Short: "Write an incident report from records",
		Args:  cobra.MinimumNArgs(1),
		Long: "report reads record stores and writes a self-contained HTML file, and the same data as JSON if\n" +
			"--json names a file (- for standard output). DIR is a store or a directory of stores.",
		Example: "  olivectl report /var/lib/olivedale -o incident.html" +
			" --from 2026-12-01T17:00:00Z --to 2026-12-01T18:00:00Z",
		RunE: func(c *cobra.Command, args []string) error { return makeReport(c, &f, args) },
	}
	set := c.Flags()
	set.StringVarP(&f.html, "output", "o", "", "write HTML to this file")
	set.StringVar(&f.json, "json", "", "write JSON to this file, - for standard output")
	set.StringVar(&f.from, "from", "", "include calls from this time on, by the clock of their instance")
	set.StringVar(&f.to, "to", "", "include calls up to this time")
	set.IntVar(&f.workers, "workers", 0, "number of stores to read in parallel (default: one per core)")
	return c
}

func makeReport(c *cobra.Command, f *reportFlags, dirs []string) error {
	if f.html == "" && f.json == "" {
		return cli.UsageErrorf("an output file is required: -o FILE.html, --json FILE, or both")
	}
	period, err := parseTimeRange(f.from, f.to)
	if err != nil {
		return err
	}
	stores, err := findStores(dirs)
	if err != nil {
		return err
	}
	ctx, stop := cli.SignalContext(c)
	defer stop()
	result, err := readReport(ctx, stores, report.Options{From: period.from, To: period.to, Workers: f.workers})
	if err != nil {
		return err
	}
	return f.write(c.OutOrStdout(), result)
}

// readReport reads stores, and shows its progress if standard error is a terminal.
func readReport(ctx context.Context, stores []record.Store, o report.Options) (*report.Result, error) {
	if cli.IsTerminal(os.Stderr) {
		o.Progress = newProgressDisplay(os.Stderr, len(stores))
		defer func() { _, _ = fmt.Fprint(os.Stderr, clearLine) }()
	}
	return report.Read(ctx, stores, o)
}

// newProgressDisplay returns a callback that shows how many stores and records have been read.
func newProgressDisplay(terminal io.Writer, stores int) func(done int, records uint64) {
	start := time.Now()
	var lastUpdate time.Time
	return func(done int, records uint64) {
		now := time.Now()
		if now.Sub(lastUpdate) <= progressInterval {
			return
		}
		lastUpdate = now
		rate := float64(records) / now.Sub(start).Seconds()
		_, _ = fmt.Fprintf(terminal, "\r%d of %d stores, %s records, %s a second ",
			done, stores, humanize.Comma(int64(records)), humanize.Comma(int64(rate)))
	}
}

// write writes the report as HTML and as JSON, as the flags select.
func (f *reportFlags) write(out io.Writer, result *report.Result) error {
	if f.html != "" {
		writeHTML := func(w io.Writer) error { return result.WriteHTML(w, time.Now()) }
		if err := writeFile(f.html, writeHTML); err != nil {
			return err
		}
	}
	switch f.json {
	case "":
		return nil
	case standardOutput:
		return result.WriteJSON(out)
	default:
		return writeFile(f.json, result.WriteJSON)
	}
}

// writeFile writes a file atomically.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := renameio.NewPendingFile(path, renameio.WithPermissions(0o644))
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		return errors.Join(err, file.Cleanup())
	}
	return file.CloseAtomicallyReplace()
}
