package main

import (
	"fmt"
	"strconv"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/record"
)

func newRecordsCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "records",
		Short: "Read the records of instances",
		Long: "The records commands read record stores: the directories that [records] in olivedale.toml names. DIR\n" +
			"is a store or a directory of stores; copies of one store are read as one. Stores may be in use.",
		Example: "  olivectl records cat --call 8c1f30d27a5be964 /var/lib/olivedale/records",
	}
	c.AddCommand(newRecordsLsCommand(), newRecordsCatCommand(), newRecordsTailCommand(), newRecordsVerifyCommand())
	return c
}

// findStores returns the record stores in dirs. It returns an error if there is none.
func findStores(dirs []string) ([]record.Store, error) {
	stores, err := record.Find(dirs...)
	if err != nil {
		return nil, err
	}
	if len(stores) == 0 {
		return nil, fmt.Errorf("no records in %v", dirs)
	}
	return stores, nil
}

// parseRecordTime parses a time flag; an empty text is 0, which means no limit.
func parseRecordTime(text string) (record.Time, error) {
	t, err := cli.ParseTime(text, time.Now())
	if err != nil {
		return 0, cli.UsageErrorf("%w", err)
	}
	if t.IsZero() {
		return 0, nil
	}
	return record.Time(t.UnixNano()), nil
}

// A timeRange is an inclusive range of record times. A limit of 0 means no limit.
type timeRange struct {
	from record.Time
	to   record.Time
}

func parseTimeRange(from, to string) (timeRange, error) {
	var r timeRange
	var fromErr, toErr error
	r.from, fromErr = parseRecordTime(from)
	r.to, toErr = parseRecordTime(to)
	if fromErr != nil {
		return timeRange{}, fromErr
	}
	return r, toErr
}

func (r timeRange) contains(at record.Time) bool {
	isBefore := r.from != 0 && at < r.from
	isAfter := r.to != 0 && at > r.to
	return !isBefore && !isAfter
}

// jsonStore is the JSON form of a store.
type jsonStore struct {
	Instance string   `json:"instance"`
	ID       string   `json:"store"`
	Dirs     []string `json:"dirs"`
	Files    int      `json:"files"`
	Bytes    int64    `json:"bytes"`
	Live     bool     `json:"live"`
}

func newRecordsLsCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:     "ls DIR...",
		Short:   "List record stores",
		Args:    cobra.MinimumNArgs(1),
		Example: "  olivectl records ls /var/lib/olivedale",
		RunE: func(c *cobra.Command, args []string) error {
			stores, err := record.Find(args...)
			if err != nil {
				return err
			}
			return writeStores(c, stores, asJSON)
		},
	}
	addJSONFlag(c, &asJSON)
	return c
}

func writeStores(c *cobra.Command, stores []record.Store, asJSON bool) error {
	all := []jsonStore{}
	rows := [][]string{}
	for _, s := range stores {
		id := fmt.Sprintf("%016x", s.ID)
		all = append(all, jsonStore{
			Instance: s.Name, ID: id, Dirs: s.Dirs, Files: s.Files, Bytes: s.Bytes, Live: s.Live,
		})
		for _, dir := range s.Dirs {
			rows = append(rows, []string{
				record.Printable(s.Name), id, strconv.Itoa(s.Files), humanize.IBytes(uint64(s.Bytes)),
				strconv.FormatBool(s.Live), dir,
			})
		}
	}
	heading := []string{"INSTANCE", "STORE", "FILES", "SIZE", "LIVE", "DIR"}
	return cli.Table(c.OutOrStdout(), asJSON, all, heading, rows)
}
