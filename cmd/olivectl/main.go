// Command olivectl is the operators' command line: it asks the agent, and the instances
// that it runs, over H.248-style commands.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"olivedale/internal/adminapi"
	"olivedale/internal/cli"
	"olivedale/internal/codec/h248"
)

func main() { os.Exit(cli.Run(commands())) }

// commands are all that olivectl knows.
func commands() *cobra.Command {
	root := &cobra.Command{
		Use:     "olivectl",
		Short:   "Ask and steer call controllers",
		Example: "  olivectl list\n  olivectl status panel-east --json",
	}
	root.AddCommand(cli.VersionCommand(), listCommand(), statusCommand(), drainCommand(), recordsCommand(), reportCommand(), topCommand(), numbersCommand(), peersCommand())
	return root
}

// agentFlag adds the flag that names the agent.
func agentFlag(c *cobra.Command, agent *string) {
	c.Flags().StringVar(agent, "agent", "127.0.0.1:2950", "address of the agent")
}

// An instance is what the agent knows of one.
type instance struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	PID    string `json:"pid"`
	Starts string `json:"starts"`
	Admin  string `json:"admin,omitempty"`
}

func read(n *h248.Node) instance {
	at := func(name string) string { return h248.Value(n.Kids, name) }
	return instance{at("name"), at("state"), at("pid"), at("starts"), at("admin")}
}

func listCommand() *cobra.Command {
	var agent string
	var asJSON bool
	c := &cobra.Command{
		Use: "list", Short: "List the agent's instances", Example: "  olivectl list --agent 127.0.0.1:2950",
		RunE: func(c *cobra.Command, _ []string) error {
			all, err := list(c.Context(), agent)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, i := range all {
				rows = append(rows, []string{i.Name, i.State, i.PID, i.Starts})
			}
			return cli.Table(c.OutOrStdout(), asJSON, all, []string{"NAME", "STATE", "PID", "STARTS"}, rows)
		},
	}
	agentFlag(c, &agent)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// list asks the agent for its instances.
func list(ctx context.Context, agent string) ([]instance, error) {
	c, err := adminapi.Send(ctx, agent, adminapi.AuditCommand("ROOT"))
	if err != nil {
		return nil, err
	}
	all := []instance{}
	if s := h248.Find(c.Descriptors, "Statistics"); s != nil {
		for _, n := range s.Kids {
			all = append(all, read(n))
		}
	}
	return all, nil
}

func statusCommand() *cobra.Command {
	var agent string
	var asJSON bool
	c := &cobra.Command{
		Use: "status NAME", Short: "Show an instance's state and counters", Args: cobra.ExactArgs(1),
		Example: "  olivectl status panel-east",
		RunE: func(c *cobra.Command, args []string) error {
			return status(c.Context(), c.OutOrStdout(), agent, args[0], asJSON)
		},
	}
	agentFlag(c, &agent)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// status tells what the agent knows of an instance and, where the instance can be
// asked itself, its state and counters.
func status(ctx context.Context, out io.Writer, agent, name string, asJSON bool) error {
	c, err := adminapi.Send(ctx, agent, adminapi.AuditCommand("instance/"+name))
	if err != nil {
		return err
	}
	all := make(map[string]string)
	rows := [][]string{}
	note := func(key, value string) {
		all[key] = value
		rows = append(rows, []string{key, value})
	}
	for _, n := range c.Descriptors {
		for _, kid := range n.Kids {
			note(kid.Name, kid.Value)
		}
	}
	if admin := all["admin"]; admin != "" && all["state"] == "running" {
		if c, err = adminapi.Send(ctx, admin, adminapi.AuditCommand("ROOT")); err != nil {
			return err
		}
		note("service", h248.Value(c.Descriptors, "Media", "TerminationState", "ServiceStates"))
		if s := h248.Find(c.Descriptors, "Statistics"); s != nil {
			for _, kid := range s.Kids {
				note(kid.Name, kid.Value)
			}
		}
	}
	return cli.Table(out, asJSON, all, []string{"WHAT", "VALUE"}, rows)
}

func drainCommand() *cobra.Command {
	var agent string
	c := &cobra.Command{
		Use: "drain NAME", Short: "Take an instance out of service once nothing is owed", Args: cobra.ExactArgs(1),
		Example: "  olivectl drain panel-east",
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := adminapi.Send(c.Context(), agent, adminapi.DrainCommand("instance/"+args[0])); err != nil {
				return err
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "%s drains\n", args[0])
			return err
		},
	}
	agentFlag(c, &agent)
	return c
}
