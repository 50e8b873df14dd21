package main

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/config"
	"olivedale/internal/numbering"
)

func numbersCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "numbers", Short: "Check, compare and try tables of numbers",
		Long:    "check, show and diff work on files of rules, as [numbers] of olivedale.toml names one; what they tell is\nwhat a call controller with the same file does: both run the same analysis. list, load, activate,\nrollback and cancel manage the versions of instances in service, over their admin addresses.",
		Example: "  olivectl numbers show --file deploy/numbers.toml --explain \"+56 2 2555 0100\"",
	}
	c.AddCommand(numbersCheck(), numbersShow(), numbersDiff(), numbersList(), numbersLoad(), numbersActivate(), numbersRollback(), numbersCancel())
	return c
}

// settingsFlag names a configuration whose classes and pools rules must fit.
func settingsFlag(c *cobra.Command, path *string) {
	c.Flags().StringVar(path, "config", "", "a file as RELAY_CONFIG names it: rules must fit its classes and their pools")
}

// readTable reads and compiles rules.
func readTable(path, settings string, now time.Time) (*numbering.Table, error) {
	env := numbering.Env{Now: numbering.Time(now.UnixNano())}
	if settings != "" {
		cfg, err := config.Load(settings)
		if err != nil {
			return nil, err
		}
		for _, k := range cfg.Settings.Classes {
			env.Classes = append(env.Classes, numbering.Class{Name: k.Name, Pools: k.Pools})
		}
	}
	t, _, err := numbering.Read(path, env)
	if err != nil {
		return nil, errors.New(strings.ReplaceAll(err.Error(), "\n", "\n  "))
	}
	return t, nil
}

func numbersCheck() *cobra.Command {
	var settings string
	c := &cobra.Command{
		Use: "check FILE...", Short: "Tell by entry what is wrong with rules", Args: cobra.MinimumNArgs(1),
		Example: "  olivectl numbers check --config /etc/olivedale/config.json deploy/numbers.toml",
		RunE: func(c *cobra.Command, args []string) error {
			for _, path := range args {
				began := time.Now()
				t, err := readTable(path, settings, began)
				if err != nil {
					return err
				}
				if _, err := fmt.Fprintf(c.OutOrStdout(), "%s: good; digest %s, %d prefixes, %s of memory, compiled in %v\n", path, t.Digest(), t.Entries(),
					humanize.IBytes(uint64(t.Size())), time.Since(began).Round(time.Millisecond)); err != nil {
					return err
				}
			}
			return nil
		},
	}
	settingsFlag(c, &settings)
	return c
}

func numbersShow() *cobra.Command {
	var file, settings, at, class, call, moved string
	var explain, asJSON bool
	c := &cobra.Command{
		Use: "show NUMBER", Short: "Tell where a number goes, and why", Args: cobra.ExactArgs(1),
		Example: "  olivectl numbers show --file deploy/numbers.toml --at \"2026-12-24 23:30\" --class voice --explain 133",
		RunE: func(c *cobra.Command, args []string) error {
			now := time.Now()
			when, err := cli.When(at, now)
			if err != nil {
				return cli.Usage("--at: %w", err)
			}
			if when.IsZero() {
				when = now
			}
			q := numbering.Query{Number: args[0], Class: class, At: numbering.Time(when.UnixNano()), Seed: numbering.Seed(call), Ported: numbering.Ported{State: numbering.Undecided}}
			if moved != "" {
				digits, ok := numbering.MakeDigits(strings.TrimPrefix(moved, "+"))
				if !ok {
					return cli.Usage("--moved: %q is no routing number", moved)
				}
				q.Ported = numbering.Ported{State: numbering.Moved, Routing: digits}
			}
			t, err := readTable(file, settings, now)
			if err != nil {
				return err
			}
			d, steps := t.Explain(&q)
			out := struct {
				Number    string   `json:"number"`
				Verdict   string   `json:"verdict"`
				Cause     int      `json:"cause,omitempty"`
				Emergency bool     `json:"emergency,omitempty"`
				Route     string   `json:"route,omitempty"`
				Pools     []int    `json:"pools,omitempty"`
				Digest    string   `json:"digest"`
				Steps     []string `json:"steps,omitempty"`
			}{d.Number.String(), d.Verdict.String(), d.Cause, d.Emergency, d.Route, d.Pools(), t.Digest(), nil}
			rows := [][]string{{"number", out.Number}, {"verdict", out.Verdict}}
			if d.Cause != 0 {
				rows = append(rows, []string{"cause", strconv.Itoa(d.Cause)})
			}
			if d.Route != "" {
				rows = append(rows, []string{"route", d.Route}, []string{"pools", strings.Trim(fmt.Sprint(out.Pools), "[]")})
			}
			if explain {
				out.Steps = steps
				for i, s := range steps {
					rows = append(rows, []string{fmt.Sprintf("step %d", i+1), s})
				}
			}
			return cli.Table(c.OutOrStdout(), asJSON, out, []string{"WHAT", "VALUE"}, rows)
		},
	}
	set := c.Flags()
	set.StringVar(&file, "file", "deploy/numbers.toml", "the rules")
	set.StringVar(&at, "at", "", "the time of the call (default now)")
	set.StringVar(&class, "class", "", "the class of the call")
	set.StringVar(&call, "call", "", "id of the call: settles what is drawn by weight")
	set.StringVar(&moved, "moved", "", "routing number of a number that has moved")
	set.BoolVar(&explain, "explain", false, "tell each step from digits to pools")
	set.BoolVar(&asJSON, "json", false, "print JSON")
	settingsFlag(c, &settings)
	return c
}

func numbersDiff() *cobra.Command {
	var settings string
	var asJSON bool
	c := &cobra.Command{
		Use: "diff OLD NEW", Short: "List the prefixes whose numbers go another way", Args: cobra.ExactArgs(2),
		Long:    "diff compares where numbers go, not how rules are written: a route that is only renamed changes nothing.\nA prefix is listed where a change begins; below it only what differs from that.",
		Example: "  olivectl numbers diff deploy/numbers.toml deploy/numbers.next.toml",
		RunE: func(c *cobra.Command, args []string) error {
			now := time.Now()
			a, err := readTable(args[0], settings, now)
			if err != nil {
				return err
			}
			b, err := readTable(args[1], settings, now)
			if err != nil {
				return err
			}
			changes, more := numbering.Diff(a, b)
			rows := [][]string{}
			for _, x := range changes {
				prefix := x.Prefix
				if prefix == "" {
					prefix = "(all others)"
				}
				rows = append(rows, []string{prefix, x.Old, x.New})
			}
			if changes == nil {
				changes = []numbering.Change{}
			}
			if err := cli.Table(c.OutOrStdout(), asJSON, changes, []string{"PREFIX", "OLD", "NEW"}, rows); err != nil {
				return err
			}
			if more {
				return fmt.Errorf("more than %d prefixes change; the list is cut there", len(changes))
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	settingsFlag(c, &settings)
	return c
}
