package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"olivedale/internal/adminapi"
	"olivedale/internal/cli"
	"olivedale/internal/codec/h248"
	"olivedale/internal/console"
)

// instanceTermination returns the termination that identifies an instance in commands to its agent.
func instanceTermination(name string) string { return "instance/" + name }

func newListCommand() *cobra.Command {
	var agent string
	var asJSON bool
	c := &cobra.Command{
		Use:     "list",
		Short:   "List the instances of an agent",
		Example: "  olivectl list --agent 127.0.0.1:2950",
		RunE: func(c *cobra.Command, _ []string) error {
			instances, err := console.ListInstances(c.Context(), agent)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, i := range instances {
				rows = append(rows, []string{i.Name, i.State.String(), i.PID, i.Starts})
			}
			return cli.Table(c.OutOrStdout(), asJSON, instances, []string{"NAME", "STATE", "PID", "STARTS"}, rows)
		},
	}
	addAgentFlag(c, &agent)
	addJSONFlag(c, &asJSON)
	return c
}

func newStatusCommand() *cobra.Command {
	var agent string
	var asJSON bool
	c := &cobra.Command{
		Use:     "status NAME",
		Short:   "Show the state and the counters of an instance",
		Args:    cobra.ExactArgs(1),
		Example: "  olivectl status panel-east",
		RunE: func(c *cobra.Command, args []string) error {
			status, err := readStatus(c.Context(), agent, args[0])
			if err != nil {
				return err
			}
			return status.write(c.OutOrStdout(), asJSON)
		},
	}
	addAgentFlag(c, &agent)
	addJSONFlag(c, &asJSON)
	return c
}

// instanceStatus holds the properties of an instance that the agent and the instance itself report.
type instanceStatus struct {
	values map[string]string // by name; the last value if a name is repeated
	rows   [][]string        // name and value in the order of the reports
}

// readStatus queries the agent about an instance, and the instance itself if it is running and has an admin address.
func readStatus(ctx context.Context, agent, name string) (*instanceStatus, error) {
	reply, err := adminapi.Send(ctx, agent, adminapi.AuditCommand(instanceTermination(name)))
	if err != nil {
		return nil, err
	}
	s := &instanceStatus{values: make(map[string]string), rows: [][]string{}}
	for _, descriptor := range reply.Descriptors {
		s.addProperties(descriptor)
	}
	admin := s.values["admin"]
	isRunning := s.values["state"] == console.StateRunning.String()
	if admin == "" || !isRunning {
		return s, nil
	}
	audit, err := console.AuditInstance(ctx, admin)
	if err != nil {
		return nil, err
	}
	s.add("service", audit.ServiceState)
	if audit.Statistics != nil {
		s.addProperties(audit.Statistics)
	}
	return s, nil
}

func (s *instanceStatus) addProperties(n *h248.Node) {
	for _, property := range n.Children {
		s.add(property.Name, property.Value)
	}
}

func (s *instanceStatus) add(name, value string) {
	s.values[name] = value
	s.rows = append(s.rows, []string{name, value})
}

func (s *instanceStatus) write(out io.Writer, asJSON bool) error {
	return cli.Table(out, asJSON, s.values, []string{"WHAT", "VALUE"}, s.rows)
}

func newDrainCommand() *cobra.Command {
	var agent string
	c := &cobra.Command{
		Use:     "drain NAME",
		Short:   "Shut an instance down as soon as it has no pending work",
		Args:    cobra.ExactArgs(1),
		Example: "  olivectl drain panel-east",
		RunE: func(c *cobra.Command, args []string) error {
			command := adminapi.DrainCommand(instanceTermination(args[0]))
			if _, err := adminapi.Send(c.Context(), agent, command); err != nil {
				return err
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "%s is draining\n", args[0])
			return err
		},
	}
	addAgentFlag(c, &agent)
	return c
}
