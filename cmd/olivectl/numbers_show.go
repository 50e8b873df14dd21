package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/numbering"
)

// showFlags are the flags of the command numbers show.
type showFlags struct {
	file     string
	settings string
	at       string
	class    string
	callID   string
	moved    string
	explain  bool
	asJSON   bool
}

func newNumbersShowCommand() *cobra.Command {
	var f showFlags
	c := &cobra.Command{
		Use:   "show NUMBER",
		Short: "Show how a number is routed, and why",
		Args:  cobra.ExactArgs(1),
		Example: "  olivectl numbers show --file deploy/numbers.toml" +
			" --at \"2026-12-24 23:30\" --class voice --explain 133",
		RunE: func(c *cobra.Command, args []string) error { return showNumber(c, &f, args[0]) },
	}
	set := c.Flags()
	set.StringVar(&f.file, "file", defaultRulesFile, "rules file")
	set.StringVar(&f.at, "at", "", "time of the call (default now)")
	set.StringVar(&f.class, "class", "", "class of the call")
	set.StringVar(&f.callID, "call", "", "id of the call, which seeds weighted draws")
	set.StringVar(&f.moved, "moved", "", "routing number of a ported number")
	set.BoolVar(&f.explain, "explain", false, "print each step from the digits to the pools")
	addJSONFlag(c, &f.asJSON)
	addSettingsFlag(c, &f.settings)
	return c
}

// query builds the query from the flags.
func (f *showFlags) query(number string, now time.Time) (*numbering.Query, error) {
	at, err := cli.ParseTime(f.at, now)
	if err != nil {
		return nil, cli.UsageErrorf("--at: %w", err)
	}
	if at.IsZero() {
		at = now
	}
	q := &numbering.Query{
		Number: number,
		Class:  f.class,
		At:     numbering.Time(at.UnixNano()),
		Seed:   numbering.Seed(f.callID),
		Ported: numbering.PortingResult{State: numbering.PortingUnknown},
	}
	if f.moved == "" {
		return q, nil
	}
	digits, ok := numbering.ParseDigits(strings.TrimPrefix(f.moved, "+"))
	if !ok {
		return nil, cli.UsageErrorf("--moved: %q is not a routing number", f.moved)
	}
	q.Ported = numbering.PortingResult{State: numbering.Ported, Routing: digits}
	return q, nil
}

// jsonAnalysis is the JSON form of the analysis of a number.
type jsonAnalysis struct {
	Number      string   `json:"number"`
	Verdict     string   `json:"verdict"`
	Cause       int      `json:"cause,omitempty"`
	IsEmergency bool     `json:"emergency,omitempty"`
	Route       string   `json:"route,omitempty"`
	Pools       []int    `json:"pools,omitempty"`
	Digest      string   `json:"digest"`
	Steps       []string `json:"steps,omitempty"`
}

func showNumber(c *cobra.Command, f *showFlags, number string) error {
	now := time.Now()
	q, err := f.query(number, now)
	if err != nil {
		return err
	}
	table, err := readTable(f.file, f.settings, now)
	if err != nil {
		return err
	}
	decision, steps := table.Explain(q)
	analysis := jsonAnalysis{
		Number:      decision.Number.String(),
		Verdict:     decision.Verdict.String(),
		Cause:       decision.Cause,
		IsEmergency: decision.Emergency,
		Route:       decision.Route,
		Pools:       decision.Pools(),
		Digest:      table.Digest(),
	}
	if f.explain {
		analysis.Steps = steps
	}
	return cli.Table(c.OutOrStdout(), f.asJSON, analysis, []string{"WHAT", "VALUE"}, analysis.rows())
}

// rows returns the analysis as table rows of names and values.
func (a *jsonAnalysis) rows() [][]string {
	rows := [][]string{{"number", a.Number}, {"verdict", a.Verdict}}
	if a.Cause != 0 {
		rows = append(rows, []string{"cause", strconv.Itoa(a.Cause)})
	}
	if a.Route != "" {
		pools := strings.Trim(fmt.Sprint(a.Pools), "[]")
		rows = append(rows, []string{"route", a.Route}, []string{"pools", pools})
	}
	for i, step := range a.Steps {
		rows = append(rows, []string{fmt.Sprintf("step %d", i+1), step})
	}
	return rows
}
