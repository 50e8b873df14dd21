package main

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/adminapi"
	"olivedale/internal/cli"
	"olivedale/internal/numbering"
	"olivedale/internal/record"
)

// admins is which instances a command is for.
type admins struct {
	agent string
	addrs []string
}

func (a *admins) flags(c *cobra.Command) {
	agentFlag(c, &a.agent)
	c.Flags().StringSliceVar(&a.addrs, "admin", nil, "admin addresses of instances (default: all running ones of the agent)")
}

// find tells the instances' names and admin addresses.
func (a *admins) find(ctx context.Context) ([]instance, error) {
	if len(a.addrs) > 0 {
		var all []instance
		for _, addr := range a.addrs {
			all = append(all, instance{Name: addr, Admin: addr})
		}
		return all, nil
	}
	listed, err := list(ctx, a.agent)
	if err != nil {
		return nil, err
	}
	var all []instance
	for _, i := range listed {
		if i.State == "running" && i.Admin != "" {
			all = append(all, i)
		}
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("the agent at %s has no running instance with an admin address", a.agent)
	}
	return all, nil
}

func numbersList() *cobra.Command {
	var a admins
	var asJSON bool
	c := &cobra.Command{
		Use: "list", Short: "List the versions of instances, and who lags behind", Example: "  olivectl numbers list --agent 127.0.0.1:2950",
		RunE: func(c *cobra.Command, _ []string) error {
			instances, err := a.find(c.Context())
			if err != nil {
				return err
			}
			type row struct {
				Instance string             `json:"instance"`
				Versions []numbering.Status `json:"versions"`
				Order    string             `json:"last_order,omitempty"`
				Err      string             `json:"error,omitempty"`
			}
			all, rows := []row{}, [][]string{}
			inForce := make(map[string]int)
			var lost []error
			for _, i := range instances {
				reply, err := adminapi.Send(c.Context(), i.Admin, adminapi.AuditCommand(adminapi.NumberingTermination))
				if err != nil {
					lost = append(lost, fmt.Errorf("%s: %w", i.Name, err))
					all = append(all, row{Instance: i.Name, Err: err.Error()})
					continue
				}
				versions, job := adminapi.ParseNumbering(reply.Descriptors)
				all = append(all, row{i.Name, versions, job.Order.Op, job.Err})
				for _, v := range versions {
					since := "-"
					if v.State == numbering.Waiting {
						since = "at " + record.Unix(v.Due).Format(time.RFC3339)
					} else if v.Since > 0 {
						since = record.Unix(v.Since).Format(time.RFC3339)
					}
					if v.State == numbering.InForce {
						inForce[v.Digest]++
					}
					rows = append(rows, []string{record.Printable(i.Name), v.Digest, record.Printable(v.Name), v.State, since, strconv.Itoa(v.Entries), strconv.Itoa(v.Pins)})
				}
			}
			if err := cli.Table(c.OutOrStdout(), asJSON, all, []string{"INSTANCE", "DIGEST", "VERSION", "STATE", "SINCE", "PREFIXES", "CALLS"}, rows); err != nil {
				return err
			}
			if len(inForce) > 1 {
				lost = append(lost, fmt.Errorf("%d different versions are in force", len(inForce)))
			}
			return errors.Join(lost...)
		},
	}
	a.flags(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// each gives an order to all instances, one after the other, and stops at the first that refuses:
// what is wrong for one is seldom right for the next. make sees the versions of the instance.
func each(c *cobra.Command, a *admins, make func([]numbering.Status) (numbering.Order, error)) error {
	instances, err := a.find(c.Context())
	if err != nil {
		return err
	}
	for n, i := range instances {
		digest, err := carryOut(c.Context(), i.Admin, make)
		if err != nil {
			return fmt.Errorf("%s: %w (%d of %d instances were done before)", i.Name, err, n, len(instances))
		}
		if _, err := fmt.Fprintf(c.OutOrStdout(), "%s: done, %s\n", i.Name, digest); err != nil {
			return err
		}
	}
	return nil
}

// carryOut gives one order and waits for its end.
func carryOut(ctx context.Context, admin string, make func([]numbering.Status) (numbering.Order, error)) (digest string, err error) {
	audit := func() ([]numbering.Status, numbering.Job, error) {
		reply, err := adminapi.Send(ctx, admin, adminapi.AuditCommand(adminapi.NumberingTermination))
		if err != nil {
			return nil, numbering.Job{}, err
		}
		versions, job := adminapi.ParseNumbering(reply.Descriptors)
		return versions, job, nil
	}
	versions, _, err := audit()
	if err != nil {
		return "", err
	}
	o, err := make(versions)
	if err != nil {
		return "", err
	}
	reply, err := adminapi.Send(ctx, admin, adminapi.NumberingCommand(o))
	if err != nil {
		return "", err
	}
	_, mine := adminapi.ParseNumbering(reply.Descriptors)
	for end := time.Now().Add(5 * time.Minute); ; time.Sleep(50 * time.Millisecond) {
		versions, job, err := audit()
		switch {
		case err != nil:
			return "", err
		case job.ID != mine.ID:
			return "", errors.New("another order came after this one; see 'olivectl numbers list'")
		case job.Err != "":
			return "", errors.New(job.Err)
		case !job.Running && o.Op == numbering.OpLoad:
			return job.Digest + " is loaded", nil
		case !job.Running:
			return inForceOf(versions) + " is in force", nil
		case time.Now().After(end):
			return "", errors.New("it is still being carried out; see 'olivectl numbers list'")
		}
	}
}

func inForceOf(versions []numbering.Status) string {
	for _, v := range versions {
		if v.State == numbering.InForce {
			return v.Digest
		}
	}
	return ""
}

func numbersLoad() *cobra.Command {
	var a admins
	c := &cobra.Command{
		Use: "load FILE", Short: "Load rules into instances; nothing comes into force", Args: cobra.ExactArgs(1),
		Long:    "load has instances read FILE, a path on their own machine, check and keep it. activate puts it in force.",
		Example: "  olivectl numbers load /etc/olivedale/numbers.next.toml",
		RunE: func(c *cobra.Command, args []string) error {
			path, err := filepath.Abs(args[0]) // the instance has a folder of its own
			if err != nil {
				return err
			}
			return each(c, &a, func([]numbering.Status) (numbering.Order, error) {
				return numbering.Order{Op: numbering.OpLoad, File: path}, nil
			})
		},
	}
	a.flags(c)
	return c
}

func numbersActivate() *cobra.Command {
	var a admins
	var at, saw string
	c := &cobra.Command{
		Use: "activate DIGEST", Short: "Put a loaded version in force, now or at a time", Args: cobra.ExactArgs(1),
		Long: "activate puts a version in force for calls from then on. It is refused where another version is in force\n" +
			"than --saw names: of two operators who saw the same, one wins. Without --saw it is what is in force now.",
		Example: "  olivectl numbers activate 7b3cbfb4b82e4e7b --at 2026-12-02T03:00:00Z",
		RunE: func(c *cobra.Command, args []string) error {
			due := numbering.Time(0)
			if at != "" {
				t, err := time.Parse(time.RFC3339, at)
				if err != nil {
					return cli.Usage("--at: %q is no time such as 2026-12-02T03:00:00Z", at)
				}
				due = numbering.Time(t.UnixNano())
			}
			return each(c, &a, func(all []numbering.Status) (numbering.Order, error) {
				o := numbering.Order{Op: numbering.OpActivate, Digest: args[0], Saw: saw, At: due}
				if saw == "" {
					o.Saw = inForceOf(all)
				}
				return o, nil
			})
		},
	}
	a.flags(c)
	c.Flags().StringVar(&at, "at", "", "when (default at once)")
	c.Flags().StringVar(&saw, "saw", "", "digest that must be in force now")
	return c
}

func numbersRollback() *cobra.Command {
	var a admins
	c := &cobra.Command{
		Use: "rollback", Short: "Put the version in force that was before", Example: "  olivectl numbers rollback --agent 127.0.0.1:2950",
		RunE: func(c *cobra.Command, _ []string) error {
			return each(c, &a, func(all []numbering.Status) (numbering.Order, error) {
				return numbering.Order{Op: numbering.OpRollback, Saw: inForceOf(all)}, nil
			})
		},
	}
	a.flags(c)
	return c
}

func numbersCancel() *cobra.Command {
	var a admins
	c := &cobra.Command{
		Use: "cancel", Short: "Drop an activation that waits for its time", Example: "  olivectl numbers cancel",
		RunE: func(c *cobra.Command, _ []string) error {
			return each(c, &a, func([]numbering.Status) (numbering.Order, error) { return numbering.Order{Op: numbering.OpCancel}, nil })
		},
	}
	a.flags(c)
	return c
}
