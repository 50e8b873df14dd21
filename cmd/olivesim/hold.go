package main

import (
	"strconv"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/sim/cluster"
)

// holdCommand is the process that internal/sim/cluster runs beside each of its own: it ends that process when the
// parent at the other end of a pipe ends.
func holdCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "hold PIPE PROCESS",
		Short:  "End a process when a pipe is closed",
		Args:   cobra.ExactArgs(2),
		Hidden: true,
		RunE: func(_ *cobra.Command, args []string) error {
			pid, err := strconv.Atoi(args[1])
			if err != nil || pid <= 1 {
				return cli.UsageErrorf("%q is no process id", args[1])
			}
			return cluster.KillWithParent(args[0], pid)
		},
	}
}
