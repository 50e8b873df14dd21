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

func reportCommand() *cobra.Command {
	var html, asJSON, from, to string
	var workers int
	c := &cobra.Command{
		Use: "report DIR... -o FILE.html", Short: "Make the report of an incident out of records", Args: cobra.MinimumNArgs(1),
		Long: "report reads stores and writes one HTML file that needs nothing else, and the same as JSON where\n" +
			"--json names a file (- for standard output). DIR is a store or a folder of stores.",
		Example: "  olivectl report /var/lib/olivedale -o incident.html --from 2026-12-01T17:00:00Z --to 2026-12-01T18:00:00Z",
		RunE: func(c *cobra.Command, args []string) error {
			if html == "" && asJSON == "" {
				return cli.Usage("name a file: -o FILE.html, --json FILE, or both")
			}
			var o report.Options
			o.Workers = workers
			for text, at := range map[*string]*record.Time{&from: &o.From, &to: &o.To} {
				var err error
				if *at, err = moment(*text); err != nil {
					return err
				}
			}
			ctx, stop := cli.Interruptible(c)
			defer stop()
			return makeReport(ctx, c, args, o, html, asJSON)
		},
	}
	c.Flags().StringVarP(&html, "output", "o", "", "write HTML to this file")
	c.Flags().StringVar(&asJSON, "json", "", "write JSON to this file, - for standard output")
	c.Flags().StringVar(&from, "from", "", "count calls from this time on, by their instance's clock")
	c.Flags().StringVar(&to, "to", "", "count calls up to this time")
	c.Flags().IntVar(&workers, "workers", 0, "stores read side by side (default one a core)")
	return c
}

func makeReport(ctx context.Context, c *cobra.Command, args []string, o report.Options, html, asJSON string) error {
	stores, err := record.Find(args...)
	if err != nil {
		return err
	}
	if len(stores) == 0 {
		return fmt.Errorf("no records in %v", args)
	}
	if cli.Terminal(os.Stderr) {
		began, last := time.Now(), time.Time{}
		o.Progress = func(done int, records uint64) {
			if now := time.Now(); now.Sub(last) > 200*time.Millisecond {
				last = now
				_, _ = fmt.Fprintf(os.Stderr, "\r%d of %d stores, %s records, %s a second ", done, len(stores), humanize.Comma(int64(records)),
					humanize.Comma(int64(float64(records)/now.Sub(began).Seconds())))
			}
		}
		defer func() { _, _ = fmt.Fprint(os.Stderr, "\r\033[K") }()
	}
	res, err := report.Read(ctx, stores, o)
	if err != nil {
		return err
	}
	if html != "" {
		if err := toFile(html, func(w io.Writer) error { return res.WriteHTML(w, time.Now()) }); err != nil {
			return err
		}
	}
	switch asJSON {
	case "":
		return nil
	case "-":
		return res.WriteJSON(c.OutOrStdout())
	}
	return toFile(asJSON, res.WriteJSON)
}

// toFile writes a file whole or not at all.
func toFile(path string, write func(io.Writer) error) error {
	f, err := renameio.NewPendingFile(path, renameio.WithPermissions(0o644))
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		return errors.Join(err, f.Cleanup())
	}
	return f.CloseAtomicallyReplace()
}
