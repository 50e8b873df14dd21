package main

import (
	"strconv"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/sim/cluster"
)

// holdCommand is a watchdog that internal/sim/cluster starts for each of its processes: it kills that process when the
// parent, which holds the other end of a pipe, exits.
func holdCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "hold PIPE PROCESS",
		Short:  "Kill a process when a pipe is closed",
		Args:   cobra.ExactArgs(2),
		Hidden: true,
		RunE: func(_ *cobra.Command, args []string) error {
			pid, err := strconv.Atoi(args[1])
			if err != nil || pid <= 1 {
				return cli.UsageErrorf("%q is not a process id", args[1])
			}
			return cluster.KillWithParent(args[0], pid)
		},
	}
}
