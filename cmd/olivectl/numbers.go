package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/config"
	"olivedale/internal/numbering"
)

// defaultRulesFile is the path of the rules in the repository.
const defaultRulesFile = "deploy/numbers.toml"

func newNumbersCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "numbers",
		Short: "Check numbering rules and manage the numbering tables of instances",
		Long: "check, show and diff read rules files, such as the one that [numbers] in olivedale.toml names.\n" +
			"They use the number analysis of the call controller. list, load, activate, rollback and cancel\n" +
			"manage the numbering tables of running instances, over their admin addresses.",
		Example: "  olivectl numbers show --file deploy/numbers.toml --explain \"+56 2 2555 0100\"",
	}
	c.AddCommand(
		newNumbersCheckCommand(),
		newNumbersShowCommand(),
		newNumbersDiffCommand(),
		newNumbersListCommand(),
		newNumbersLoadCommand(),
		newNumbersActivateCommand(),
		newNumbersRollbackCommand(),
		newNumbersCancelCommand(),
	)
	return c
}

// addSettingsFlag adds the flag for the configuration that rules are checked against.
func addSettingsFlag(c *cobra.Command, path *string) {
	c.Flags().StringVar(path, "config", "",
		"configuration file (as in RELAY_CONFIG) whose classes and pools the rules must match")
}

// readTable reads and compiles a rules file. If settings is not empty, it is the path of the configuration that the
// rules are checked against.
func readTable(path, settings string, now time.Time) (*numbering.Table, error) {
	env := numbering.Deployment{Now: numbering.Time(now.UnixNano())}
	if settings != "" {
		cfg, err := config.Load(settings)
		if err != nil {
			return nil, err
		}
		for _, class := range cfg.Settings.Classes {
			env.Classes = append(env.Classes, numbering.Class{Name: class.Name, Pools: class.Pools})
		}
	}
	table, _, err := numbering.CompileFile(path, env)
	if err != nil {
		return nil, errors.New(strings.ReplaceAll(err.Error(), "\n", "\n  "))
	}
	return table, nil
}

func newNumbersCheckCommand() *cobra.Command {
	var settings string
	c := &cobra.Command{
		Use:     "check FILE...",
		Short:   "Check rules files and report the errors of each entry",
		Args:    cobra.MinimumNArgs(1),
		Example: "  olivectl numbers check --config /etc/olivedale/config.json deploy/numbers.toml",
		RunE: func(c *cobra.Command, args []string) error {
			for _, path := range args {
				if err := checkRules(c, path, settings); err != nil {
					return err
				}
			}
			return nil
		},
	}
	addSettingsFlag(c, &settings)
	return c
}

func checkRules(c *cobra.Command, path, settings string) error {
	start := time.Now()
	table, err := readTable(path, settings, start)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%s: good; digest %s, %d prefixes, %s of memory, compiled in %v\n",
		path, table.Digest(), table.PrefixCount(), humanize.IBytes(uint64(table.MemoryBytes())),
		time.Since(start).Round(time.Millisecond))
	return err
}

func newNumbersDiffCommand() *cobra.Command {
	var settings string
	var asJSON bool
	c := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "List the prefixes whose numbers are routed differently",
		Args:  cobra.ExactArgs(2),
		Long: "diff compares the routing of numbers, not the text of rules: a renamed route is not a difference.\n" +
			"A prefix is listed where a difference begins; a longer one only if its difference is another.",
		Example: "  olivectl numbers diff deploy/numbers.toml deploy/numbers.next.toml",
		RunE: func(c *cobra.Command, args []string) error {
			now := time.Now()
			before, err := readTable(args[0], settings, now)
			if err != nil {
				return err
			}
			after, err := readTable(args[1], settings, now)
			if err != nil {
				return err
			}
			return writeDiff(c, before, after, asJSON)
		},
	}
	addJSONFlag(c, &asJSON)
	addSettingsFlag(c, &settings)
	return c
}

func writeDiff(c *cobra.Command, before, after *numbering.Table, asJSON bool) error {
	changes, isTruncated := numbering.Diff(before, after)
	rows := [][]string{}
	for _, change := range changes {
		prefix := change.Prefix
		if prefix == "" {
			prefix = "(all others)"
		}
		rows = append(rows, []string{prefix, change.Old, change.New})
	}
	if changes == nil {
		changes = []numbering.Change{} // encoded as an empty list, not null
	}
	if err := cli.Table(c.OutOrStdout(), asJSON, changes, []string{"PREFIX", "OLD", "NEW"}, rows); err != nil {
		return err
	}
	if isTruncated {
		return fmt.Errorf("more than %d prefixes differ; the list is truncated", len(changes))
	}
	return nil
}
