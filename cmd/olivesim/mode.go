package main

import (
	"github.com/spf13/cobra"

	"olivedale/internal/cli"
)

// runMode is the value of --floor, which selects how a scenario is run.
type runMode string

const (
	virtualMode runMode = "virtual" // in virtual time, by internal/sim/virtualtime
	socketMode  runMode = "sockets" // with real processes, by internal/sim/cluster
)

// register adds the flag to a command.
func (m *runMode) register(c *cobra.Command) {
	c.Flags().StringVar((*string)(m), "floor", string(virtualMode),
		"how to run the scenario: virtual (in virtual time) or sockets (with real processes)")
}

// check returns a usage error for an unknown mode.
func (m *runMode) check() error {
	switch *m {
	case virtualMode, socketMode:
		return nil
	default:
		return cli.UsageErrorf("--floor is virtual or sockets, not %q", string(*m))
	}
}
