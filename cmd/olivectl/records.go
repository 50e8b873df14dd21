package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/record"
)

func recordsCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "records",
		Short: "Read what instances have recorded",
		Long: "The records commands read stores: the folders that [records] of olivedale.toml names. DIR is a\n" +
			"store or a folder of stores; copies of one store are read as one. Stores may be in use.",
		Example: "  olivectl records cat --call 8c1f30d27a5be964 /var/lib/olivedale/records",
	}
	c.AddCommand(lsCommand(), catCommand(), tailCommand(), verifyCommand())
	return c
}

// filter is which records are wanted.
type filter struct {
	from, to            string
	call, server, class []string
	kinds               []string
	instance            []string

	since, until record.Time
	kind         map[record.Kind]bool
}

func (f *filter) flags(c *cobra.Command) {
	set := c.Flags()
	set.StringVar(&f.from, "from", "", "not before this time (2026-12-01T17:30:00Z, or 90m for so long ago)")
	set.StringVar(&f.to, "to", "", "not after this time")
	set.StringSliceVar(&f.call, "call", nil, "of these calls, by id")
	set.StringSliceVar(&f.server, "server", nil, "of these servers")
	set.StringSliceVar(&f.class, "class", nil, "of calls of these classes (set-ups, answers and releases tell it)")
	set.StringSliceVar(&f.kinds, "kind", nil, "of these kinds (setup, order, try, try_end, answer, release, gap, ...)")
	set.StringSliceVar(&f.instance, "instance", nil, "of these instances")
}

// ready reads the texts of the flags.
func (f *filter) ready() error {
	for text, at := range map[*string]*record.Time{&f.from: &f.since, &f.to: &f.until} {
		var err error
		if *at, err = moment(*text); err != nil {
			return err
		}
	}
	f.kind = make(map[record.Kind]bool)
	for _, name := range f.kinds {
		k, err := record.ParseKind(name)
		if err != nil {
			return cli.Usage("--kind: %w", err)
		}
		f.kind[k] = true
	}
	return nil
}

// moment reads a point in time from a flag; 0 is none.
func moment(text string) (record.Time, error) {
	t, err := cli.When(text, time.Now())
	if err != nil {
		return 0, cli.Usage("%w", err)
	}
	if t.IsZero() {
		return 0, nil
	}
	return record.Time(t.UnixNano()), nil
}

// openStores opens the stores that are, or lie in, folders to be read as one.
func openStores(dirs []string) (*record.Merger, error) {
	stores, err := record.Find(dirs...)
	if err != nil {
		return nil, err
	}
	return record.OpenStores(stores)
}

func (f *filter) wants(h *record.Header, r *record.Record) bool {
	in := func(list []string, s string) bool { return len(list) == 0 || slices.Contains(list, s) }
	return (f.since == 0 || r.At >= f.since) && (f.until == 0 || r.At <= f.until) && in(f.call, r.Call) && in(f.server, r.Server) &&
		in(f.class, r.Class) && in(f.instance, h.Name) && (len(f.kind) == 0 || f.kind[r.Kind])
}

// printer writes records that are wanted.
type printer struct {
	filter
	asJSON bool
	out    *bufio.Writer
	buf    []byte
}

func (p *printer) print(h *record.Header, r *record.Record) error {
	if !p.wants(h, r) {
		return nil
	}
	var err error
	if p.asJSON {
		if p.buf, err = r.AppendJSON(p.buf[:0], h); err == nil {
			_, err = p.out.Write(p.buf)
		}
	} else {
		_, err = fmt.Fprintln(p.out, r.Line(h))
	}
	return err
}

func lsCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use: "ls DIR...", Short: "List stores", Args: cobra.MinimumNArgs(1),
		Example: "  olivectl records ls /var/lib/olivedale",
		RunE: func(c *cobra.Command, args []string) error {
			stores, err := record.Find(args...)
			if err != nil {
				return err
			}
			type row struct {
				Instance string   `json:"instance"`
				Store    string   `json:"store"`
				Dirs     []string `json:"dirs"`
				Files    int      `json:"files"`
				Bytes    int64    `json:"bytes"`
				Live     bool     `json:"live"`
			}
			all, rows := []row{}, [][]string{}
			for _, s := range stores {
				r := row{s.Name, fmt.Sprintf("%016x", s.ID), s.Dirs, s.Files, s.Bytes, s.Live}
				all = append(all, r)
				for _, dir := range s.Dirs {
					rows = append(rows, []string{record.Printable(s.Name), r.Store, strconv.Itoa(s.Files), humanize.IBytes(uint64(s.Bytes)), fmt.Sprint(s.Live), dir})
				}
			}
			return cli.Table(c.OutOrStdout(), asJSON, all, []string{"INSTANCE", "STORE", "FILES", "SIZE", "LIVE", "DIR"}, rows)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func catCommand() *cobra.Command {
	var p printer
	c := &cobra.Command{
		Use: "cat DIR...", Short: "Print records in the order of their instances' clocks", Args: cobra.MinimumNArgs(1),
		Example: "  olivectl records cat --json --kind answer --from 2026-12-01T17:30:00Z /var/lib/olivedale",
		RunE: func(c *cobra.Command, args []string) error {
			if err := p.ready(); err != nil {
				return err
			}
			m, err := openStores(args)
			if err != nil {
				return err
			}
			defer func() { _ = m.Close() }()
			p.out = bufio.NewWriterSize(c.OutOrStdout(), 1<<16)
			var r record.Record
			var h record.Header
			for {
				if err = m.Next(&r, &h); err != nil {
					break
				}
				if err = p.print(&h, &r); err != nil {
					break
				}
			}
			if !errors.Is(err, io.EOF) {
				return err
			}
			return p.out.Flush()
		},
	}
	p.flags(c)
	c.Flags().BoolVar(&p.asJSON, "json", false, "print one JSON object a record")
	return c
}

func tailCommand() *cobra.Command {
	var p printer
	var last int
	c := &cobra.Command{
		Use: "tail DIR...", Short: "Follow records as they are written", Args: cobra.MinimumNArgs(1),
		Example: "  olivectl records tail --kind answer,gap /var/lib/olivedale/records",
		RunE: func(c *cobra.Command, args []string) error {
			if err := p.ready(); err != nil {
				return err
			}
			if last < 0 || last > 1<<20 {
				return cli.Usage("--lines: %d is not between 0 and %d", last, 1<<20)
			}
			m, err := openStores(args)
			if err != nil {
				return err
			}
			defer func() { _ = m.Close() }()
			p.out = bufio.NewWriter(c.OutOrStdout())
			return p.follow(m, last)
		},
	}
	p.flags(c)
	c.Flags().BoolVar(&p.asJSON, "json", false, "print one JSON object a record")
	c.Flags().IntVarP(&last, "lines", "n", 10, "begin with so many of those that are there")
	return c
}

// follow prints the last records that are there, then those that come, until SIGINT.
func (p *printer) follow(m *record.Merger, last int) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(stop)
	type item struct {
		h record.Header
		r record.Record
	}
	var kept []item
	begun := false
	for {
		var it item
		err := m.Next(&it.r, &it.h)
		switch {
		case err == nil && begun:
			if err := p.print(&it.h, &it.r); err != nil {
				return err
			}
			continue
		case err == nil:
			if p.wants(&it.h, &it.r) && last > 0 {
				if kept = append(kept, it); len(kept) > 2*last {
					kept = slices.Delete(kept, 0, len(kept)-last)
				}
			}
			continue
		case !errors.Is(err, io.EOF):
			return err
		}
		if !begun {
			begun = true
			for _, it := range kept[max(len(kept)-last, 0):] {
				if err := p.print(&it.h, &it.r); err != nil {
					return err
				}
			}
			kept = nil
		}
		if err := p.out.Flush(); err != nil {
			return err
		}
		select {
		case <-stop:
			return nil
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func verifyCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use: "verify DIR...", Short: "Read everything and report damage; exits 1 if there is any", Args: cobra.MinimumNArgs(1),
		Long: "verify reads every record and reports where records are lost or bytes are no record, with offsets.\n" +
			"What is half written at the end of a store that is in use is no damage.",
		Example: "  olivectl records verify /var/lib/olivedale/records",
		RunE: func(c *cobra.Command, args []string) error {
			stores, err := record.Find(args...)
			if err != nil {
				return err
			}
			return verify(c.OutOrStdout(), stores, asJSON)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// A verified folder, as JSON shows it.
type verified struct {
	Instance string          `json:"instance"`
	Dir      string          `json:"dir"`
	Records  uint64          `json:"records"`
	First    uint64          `json:"first"`
	Last     uint64          `json:"last"`
	Lost     uint64          `json:"lost"`
	Twice    uint64          `json:"twice"`
	Damages  []record.Damage `json:"damages"`
	More     int             `json:"more_damages,omitempty"`
}

func verify(out io.Writer, stores []record.Store, asJSON bool) error {
	all, rows, bad := []verified{}, [][]string{}, 0
	for _, s := range stores {
		for _, dir := range s.Dirs {
			v, err := verifyDir(dir, s)
			if err != nil {
				return err
			}
			all = append(all, v)
			bad += len(v.Damages) + v.More
			rows = append(rows, []string{record.Printable(v.Instance), strconv.FormatUint(v.Records, 10), fmt.Sprintf("%d-%d", v.First, v.Last),
				strconv.FormatUint(v.Lost, 10), strconv.Itoa(len(v.Damages) + v.More), dir})
		}
	}
	if err := cli.Table(out, asJSON, all, []string{"INSTANCE", "RECORDS", "NUMBERS", "LOST", "DAMAGES", "DIR"}, rows); err != nil {
		return err
	}
	if !asJSON {
		for _, v := range all {
			for _, d := range v.Damages {
				where := fmt.Sprintf("%s at byte %d", d.File, d.Offset)
				if d.Offset < 0 {
					where = d.File
				}
				lost := ""
				if d.From > 0 {
					lost = fmt.Sprintf("; records %d to %d are lost", d.From, d.To)
				}
				if _, err := fmt.Fprintf(out, "%s: %s: %s: %d bytes, %s%s\n", v.Dir, where, d.Cause, d.Bytes, d.Text, lost); err != nil {
					return err
				}
			}
		}
	}
	if bad > 0 {
		return fmt.Errorf("%d damages found", bad)
	}
	return nil
}

func verifyDir(dir string, s record.Store) (verified, error) {
	r, err := record.OpenDir(dir)
	if err != nil {
		return verified{}, err
	}
	defer func() { _ = r.Close() }()
	v := verified{Instance: s.Name, Dir: dir}
	var rec record.Record
	for {
		if err := r.Next(&rec); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return verified{}, err
		}
		if v.First == 0 {
			v.First = rec.Seq - max(rec.Lost(), 1) + 1
		}
		v.Last = rec.Seq
		if v.Lost += rec.Lost(); rec.Kind != record.KindGap {
			v.Records++
		}
	}
	v.Twice = r.Twice()
	v.Damages, v.More = r.Damages()
	if file, at, n := r.Torn(); n > 0 && !record.Live(dir) {
		v.Damages = append(v.Damages, record.Damage{File: file, Offset: at, Bytes: n, Cause: record.Damaged, Text: "a torn tail"})
	}
	if v.Damages == nil {
		v.Damages = []record.Damage{}
	}
	return v, nil
}
