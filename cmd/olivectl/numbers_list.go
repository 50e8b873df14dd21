package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/adminapi"
	"olivedale/internal/cli"
	"olivedale/internal/numbering"
	"olivedale/internal/record"
)

// jsonVersions is the JSON form of the numbering tables of an instance.
type jsonVersions struct {
	Instance  string                    `json:"instance"`
	Versions  []numbering.VersionStatus `json:"versions"`
	LastOrder string                    `json:"last_order,omitempty"`
	Error     string                    `json:"error,omitempty"` // of the last order, or of the query
}

// auditNumbering requests the numbering tables and the last order of an instance.
func auditNumbering(ctx context.Context, admin string) ([]numbering.VersionStatus, numbering.Job, error) {
	reply, err := adminapi.Send(ctx, admin, adminapi.AuditCommand(adminapi.NumberingTermination))
	if err != nil {
		return nil, numbering.Job{}, err
	}
	versions, job := adminapi.ParseNumbering(reply.Descriptors)
	return versions, job, nil
}

func newNumbersListCommand() *cobra.Command {
	var f targetFlags
	var asJSON bool
	c := &cobra.Command{
		Use:     "list",
		Short:   "List the numbering tables of instances; fail if different ones are in force",
		Example: "  olivectl numbers list --agent 127.0.0.1:2950",
		RunE:    func(c *cobra.Command, _ []string) error { return listVersions(c, &f, asJSON) },
	}
	f.register(c)
	addJSONFlag(c, &asJSON)
	return c
}

// listVersions prints the numbering tables. Instances that do not respond are returned as errors after the output.
func listVersions(c *cobra.Command, f *targetFlags, asJSON bool) error {
	targets, err := f.targets(c.Context())
	if err != nil {
		return err
	}
	all := []jsonVersions{}
	rows := [][]string{}
	var failures []error
	for _, t := range targets {
		versions, job, err := auditNumbering(c.Context(), t.admin)
		if err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", t.name, err))
			all = append(all, jsonVersions{Instance: t.name, Error: err.Error()})
			continue
		}
		all = append(all, jsonVersions{
			Instance:  t.name,
			Versions:  versions,
			LastOrder: job.Command.Op,
			Error:     job.Error,
		})
		for i := range versions {
			rows = append(rows, versionRow(t.name, &versions[i]))
		}
	}
	heading := []string{"INSTANCE", "DIGEST", "VERSION", "STATE", "SINCE", "PREFIXES", "CALLS"}
	if err := cli.Table(c.OutOrStdout(), asJSON, all, heading, rows); err != nil {
		return err
	}
	if count := countVersionsInForce(all); count > 1 {
		failures = append(failures, fmt.Errorf("%d different versions are in force", count))
	}
	return errors.Join(failures...)
}

func versionRow(instance string, v *numbering.VersionStatus) []string {
	return []string{
		record.Printable(instance),
		v.Digest,
		record.Printable(v.Name),
		v.State,
		formatSince(v),
		strconv.Itoa(v.Prefixes),
		strconv.Itoa(v.Calls),
	}
}

// formatSince formats the time at which a version came into force or is scheduled to.
func formatSince(v *numbering.VersionStatus) string {
	switch {
	case v.State == numbering.StateScheduled:
		return "at " + record.Unix(v.ScheduledAt).Format(time.RFC3339)
	case v.ActivatedAt > 0:
		return record.Unix(v.ActivatedAt).Format(time.RFC3339)
	default:
		return "-"
	}
}

// countVersionsInForce returns the number of different versions in force.
func countVersionsInForce(all []jsonVersions) int {
	digests := make(map[string]bool)
	for _, instance := range all {
		for _, v := range instance.Versions {
			if v.State == numbering.StateActive {
				digests[v.Digest] = true
			}
		}
	}
	return len(digests)
}
