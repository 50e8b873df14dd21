package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/record"
)

const (
	// outputBufferSize is the size of the output buffer in bytes.
	outputBufferSize = 1 << 16
	// maxTailLines limits how many existing records the command records tail prints.
	maxTailLines = 1 << 20
	// defaultTailLines is how many it prints without the flag --lines.
	defaultTailLines = 10
	// tailPollInterval is the time between two checks for new records.
	tailPollInterval = 100 * time.Millisecond
)

func newRecordsCatCommand() *cobra.Command {
	var p printer
	c := &cobra.Command{
		Use:     "cat DIR...",
		Short:   "Print records in order of time, by their instances' clocks",
		Args:    cobra.MinimumNArgs(1),
		Example: "  olivectl records cat --json --kind answer --from 2026-12-01T17:30:00Z /var/lib/olivedale",
		RunE: func(c *cobra.Command, args []string) error {
			m, err := p.open(c, args)
			if err != nil {
				return err
			}
			defer func() { _ = m.Close() }()
			if err := p.printAll(m); err != nil {
				return err
			}
			return p.out.Flush()
		},
	}
	p.register(c)
	return c
}

func newRecordsTailCommand() *cobra.Command {
	var p printer
	var lines int
	c := &cobra.Command{
		Use:     "tail DIR...",
		Short:   "Print the latest records, then new records as they are written",
		Args:    cobra.MinimumNArgs(1),
		Example: "  olivectl records tail --kind answer,gap /var/lib/olivedale/records",
		RunE: func(c *cobra.Command, args []string) error {
			if lines < 0 || lines > maxTailLines {
				return cli.UsageErrorf("--lines: %d is not between 0 and %d", lines, maxTailLines)
			}
			m, err := p.open(c, args)
			if err != nil {
				return err
			}
			defer func() { _ = m.Close() }()
			return p.follow(m, lines)
		},
	}
	p.register(c)
	c.Flags().IntVarP(&lines, "lines", "n", defaultTailLines, "number of existing records to print first")
	return c
}

// A printer writes the records that a filter selects.
type printer struct {
	filter recordFilter
	asJSON bool
	out    *bufio.Writer
	buffer []byte // reused for each record
}

func (p *printer) register(c *cobra.Command) {
	p.filter.register(c)
	c.Flags().BoolVar(&p.asJSON, "json", false, "print one JSON object per record")
}

// open parses the filter and opens the stores in dirs. The caller closes the merger.
func (p *printer) open(c *cobra.Command, dirs []string) (*record.Merger, error) {
	if err := p.filter.parse(); err != nil {
		return nil, err
	}
	stores, err := record.Find(dirs...)
	if err != nil {
		return nil, err
	}
	p.out = bufio.NewWriterSize(c.OutOrStdout(), outputBufferSize)
	return record.OpenStores(stores)
}

// print writes a record if the filter selects it.
func (p *printer) print(h *record.Header, r *record.Record) error {
	if !p.filter.matches(h, r) {
		return nil
	}
	if !p.asJSON {
		_, err := fmt.Fprintln(p.out, r.Line(h))
		return err
	}
	var err error
	p.buffer, err = r.AppendJSON(p.buffer[:0], h)
	if err != nil {
		return err
	}
	_, err = p.out.Write(p.buffer)
	return err
}

// printAll writes all records up to the current end of the stores.
func (p *printer) printAll(m *record.Merger) error {
	return forEachRecord(m, p.print)
}

// forEachRecord calls a function for each record up to the current end of the stores.
func forEachRecord(m *record.Merger, do func(*record.Header, *record.Record) error) error {
	var r record.Record
	var h record.Header
	for {
		err := m.Next(&r, &h)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := do(&h, &r); err != nil {
			return err
		}
	}
}

// follow writes the latest records, then new records until SIGINT or SIGTERM.
func (p *printer) follow(m *record.Merger, lines int) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(stop)
	if err := p.printLatest(m, lines); err != nil {
		return err
	}
	for {
		if err := p.out.Flush(); err != nil {
			return err
		}
		select {
		case <-stop:
			return nil
		case <-time.After(tailPollInterval):
		}
		if err := p.printAll(m); err != nil {
			return err
		}
	}
}

// printLatest writes the last records that the stores contain now.
func (p *printer) printLatest(m *record.Merger, lines int) error {
	type entry struct {
		header record.Header
		record record.Record
	}
	var latest []entry
	err := forEachRecord(m, func(h *record.Header, r *record.Record) error {
		if lines == 0 || !p.filter.matches(h, r) {
			return nil
		}
		latest = append(latest, entry{header: *h, record: *r})
		if len(latest) > 2*lines {
			latest = slices.Delete(latest, 0, len(latest)-lines)
		}
		return nil
	})
	if err != nil {
		return err
	}
	for i := max(len(latest)-lines, 0); i < len(latest); i++ {
		if err := p.print(&latest[i].header, &latest[i].record); err != nil {
			return err
		}
	}
	return nil
}
