// Command olivectl is the operators' command-line tool. It lists and drains the instances of an agent, shows the status
// and statistics of instances, manages their numbering tables, and reads their records.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
)

// defaultAgent is the default address of the agent, on the same machine.
const defaultAgent = "127.0.0.1:2950"

func main() { os.Exit(cli.Run(newRootCommand())) }

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:     "olivectl",
		Short:   "Monitor and control call controllers",
		Example: "  olivectl list\n  olivectl status panel-east --json",
	}
	root.AddCommand(
		cli.VersionCommand(),
		newListCommand(),
		newStatusCommand(),
		newDrainCommand(),
		newRecordsCommand(),
		newReportCommand(),
		newTopCommand(),
		newNumbersCommand(),
		newPeersCommand(),
	)
	return root
}

// addAgentFlag adds the flag for the address of the agent.
func addAgentFlag(c *cobra.Command, agent *string) {
	c.Flags().StringVar(agent, "agent", defaultAgent, "address of the agent")
}

// addJSONFlag adds the flag that selects JSON output instead of a table.
func addJSONFlag(c *cobra.Command, asJSON *bool) {
	c.Flags().BoolVar(asJSON, "json", false, "print JSON")
}
