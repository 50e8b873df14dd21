package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"olivedale/internal/console"
)

// A target is an instance that a command is sent to.
type target struct {
	name  string // the admin address for an instance given by --admin
	admin string
}

// targetFlags select the instances that a command is sent to.
type targetFlags struct {
	agent  string
	admins []string
}

func (f *targetFlags) register(c *cobra.Command) {
	addAgentFlag(c, &f.agent)
	c.Flags().StringSliceVar(&f.admins, "admin", nil,
		"admin addresses of instances (default: all running ones of the agent)")
}

// targets returns the selected instances. It returns an error if there is none.
func (f *targetFlags) targets(ctx context.Context) ([]target, error) {
	var all []target
	if len(f.admins) > 0 {
		for _, addr := range f.admins {
			all = append(all, target{name: addr, admin: addr})
		}
		return all, nil
	}
	instances, err := console.ListInstances(ctx, f.agent)
	if err != nil {
		return nil, err
	}
	for _, i := range instances {
		if i.State == console.StateRunning && i.Admin != "" {
			all = append(all, target{name: i.Name, admin: i.Admin})
		}
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("the agent at %s has no running instance with an admin address", f.agent)
	}
	return all, nil
}
