package main

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/record"
)

func newRecordsVerifyCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "verify DIR...",
		Short: "Read all records and report damage; exit with status 1 if there is any",
		Args:  cobra.MinimumNArgs(1),
		Long: "verify reads every record and reports lost records and damaged bytes, with their offsets. An\n" +
			"incomplete record at the end of a store that is in use is not damage.",
		Example: "  olivectl records verify /var/lib/olivedale/records",
		RunE: func(c *cobra.Command, args []string) error {
			stores, err := record.Find(args...)
			if err != nil {
				return err
			}
			return verify(c.OutOrStdout(), stores, asJSON)
		},
	}
	addJSONFlag(c, &asJSON)
	return c
}

// jsonVerification is the JSON form of the result for one directory.
type jsonVerification struct {
	Instance    string          `json:"instance"`
	Dir         string          `json:"dir"`
	Records     uint64          `json:"records"`
	First       uint64          `json:"first"`
	Last        uint64          `json:"last"`
	Lost        uint64          `json:"lost"`
	Duplicates  uint64          `json:"twice"`
	Damages     []record.Damage `json:"damages"`
	MoreDamages int             `json:"more_damages,omitempty"` // beyond those in the list
}

func (v *jsonVerification) damageCount() int { return len(v.Damages) + v.MoreDamages }

// verify reads all directories of the stores, writes the results, and returns an error if there is damage.
func verify(out io.Writer, stores []record.Store, asJSON bool) error {
	all := []jsonVerification{}
	rows := [][]string{}
	damages := 0
	for _, s := range stores {
		for _, dir := range s.Dirs {
			v, err := verifyDir(dir, s.Name)
			if err != nil {
				return err
			}
			all = append(all, v)
			rows = append(rows, v.row())
			damages += v.damageCount()
		}
	}
	heading := []string{"INSTANCE", "RECORDS", "NUMBERS", "LOST", "DAMAGES", "DIR"}
	if err := cli.Table(out, asJSON, all, heading, rows); err != nil {
		return err
	}
	if !asJSON {
		if err := writeDamages(out, all); err != nil {
			return err
		}
	}
	if damages > 0 {
		return fmt.Errorf("damaged places found: %d", damages)
	}
	return nil
}

func (v *jsonVerification) row() []string {
	return []string{
		record.Printable(v.Instance),
		strconv.FormatUint(v.Records, 10),
		fmt.Sprintf("%d-%d", v.First, v.Last),
		strconv.FormatUint(v.Lost, 10),
		strconv.Itoa(v.damageCount()),
		v.Dir,
	}
}

func writeDamages(out io.Writer, all []jsonVerification) error {
	for _, v := range all {
		for i := range v.Damages {
			if _, err := fmt.Fprintf(out, "%s: %s\n", v.Dir, formatDamage(&v.Damages[i])); err != nil {
				return err
			}
		}
	}
	return nil
}

func formatDamage(d *record.Damage) string {
	place := d.File
	if d.Offset >= 0 {
		place = fmt.Sprintf("%s at byte %d", d.File, d.Offset)
	}
	lost := ""
	if d.From > 0 {
		lost = fmt.Sprintf("; records %d to %d are lost", d.From, d.To)
	}
	return fmt.Sprintf("%s: %s: %d bytes, %s%s", place, d.Cause, d.Bytes, d.Text, lost)
}

// verifyDir reads all records in one directory of a store.
func verifyDir(dir, instance string) (jsonVerification, error) {
	reader, err := record.OpenDir(dir)
	if err != nil {
		return jsonVerification{}, err
	}
	defer func() { _ = reader.Close() }()
	v := jsonVerification{Instance: instance, Dir: dir}
	if err := v.countRecords(reader); err != nil {
		return jsonVerification{}, err
	}
	v.Duplicates = reader.Duplicates()
	v.Damages, v.MoreDamages = reader.Damages()
	file, offset, size := reader.TornTail()
	isTorn := size > 0 && !record.Live(dir)
	if isTorn {
		v.Damages = append(v.Damages, record.Damage{
			File: file, Offset: offset, Bytes: size, Cause: record.Damaged, Text: "incomplete record at the end",
		})
	}
	if v.Damages == nil {
		v.Damages = []record.Damage{} // encoded as an empty list, not null
	}
	return v, nil
}

func (v *jsonVerification) countRecords(reader *record.Reader) error {
	var r record.Record
	for {
		err := reader.Next(&r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if v.First == 0 {
			v.First = r.Seq - max(r.Lost(), 1) + 1
		}
		v.Last = r.Seq
		v.Lost += r.Lost()
		if r.Kind != record.KindGap {
			v.Records++
		}
	}
}
