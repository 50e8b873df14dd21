package main

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/adminapi"
	"olivedale/internal/cli"
	"olivedale/internal/numbering"
)

const (
	// orderTimeout limits how long a command waits for an order to complete.
	orderTimeout = 5 * time.Minute
	// orderPollInterval is the time between two polls of an order in progress.
	orderPollInterval = 50 * time.Millisecond
)

var (
	errOrderReplaced = errors.New("another order has replaced this one; see 'olivectl numbers list'")
	errOrderTimeout  = errors.New("the order is still in progress; see 'olivectl numbers list'")
)

// newOrder builds the order for an instance that has these versions.
type newOrder func(versions []numbering.VersionStatus) numbering.Command

// executeOnAll sends an order to all targets sequentially and stops at the first failure, because the remaining targets
// would most likely fail too.
func executeOnAll(c *cobra.Command, f *targetFlags, order newOrder) error {
	targets, err := f.targets(c.Context())
	if err != nil {
		return err
	}
	for done, t := range targets {
		result, err := execute(c.Context(), t.admin, order)
		if err != nil {
			return fmt.Errorf("%s: %w (completed on %d of %d instances)", t.name, err, done, len(targets))
		}
		if _, err := fmt.Fprintf(c.OutOrStdout(), "%s: done, %s\n", t.name, result); err != nil {
			return err
		}
	}
	return nil
}

// execute sends an order to an instance, waits for its completion and returns the result as text.
func execute(ctx context.Context, admin string, newOrder newOrder) (result string, err error) {
	versions, _, err := auditNumbering(ctx, admin)
	if err != nil {
		return "", err
	}
	order := newOrder(versions)
	reply, err := adminapi.Send(ctx, admin, adminapi.NumberingCommand(order))
	if err != nil {
		return "", err
	}
	_, accepted := adminapi.ParseNumbering(reply.Descriptors)
	return awaitOrder(ctx, admin, accepted.ID, order.Op)
}

// awaitOrder polls the instance until the order with that id is complete.
func awaitOrder(ctx context.Context, admin string, id uint64, operation string) (result string, err error) {
	for deadline := time.Now().Add(orderTimeout); ; time.Sleep(orderPollInterval) {
		versions, job, err := auditNumbering(ctx, admin)
		switch {
		case err != nil:
			return "", err
		case job.ID != id:
			return "", errOrderReplaced
		case job.Error != "":
			return "", errors.New(job.Error)
		case !job.IsRunning && operation == numbering.OpLoad:
			return job.Digest + " is loaded", nil
		case !job.IsRunning:
			return digestInForce(versions) + " is in force", nil
		case time.Now().After(deadline):
			return "", errOrderTimeout
		}
	}
}

// digestInForce returns the digest of the version in force, or "" if there is none.
func digestInForce(versions []numbering.VersionStatus) string {
	for _, v := range versions {
		if v.State == numbering.StateActive {
			return v.Digest
		}
	}
	return ""
}

func newNumbersLoadCommand() *cobra.Command {
	var f targetFlags
	c := &cobra.Command{
		Use:   "load FILE",
		Short: "Load rules into instances without putting them in force",
		Args:  cobra.ExactArgs(1),
		Long: "load makes instances read, check and store FILE, which is a path on their own machine. activate\n" +
			"puts it in force.",
		Example: "  olivectl numbers load /etc/olivedale/numbers.next.toml",
		RunE: func(c *cobra.Command, args []string) error {
			path, err := filepath.Abs(args[0]) // instances have their own working directories
			if err != nil {
				return err
			}
			return executeOnAll(c, &f, func([]numbering.VersionStatus) numbering.Command {
				return numbering.Command{Op: numbering.OpLoad, File: path}
			})
		},
	}
	f.register(c)
	return c
}

func newNumbersActivateCommand() *cobra.Command {
	var f targetFlags
	var at, expected string
	c := &cobra.Command{
		Use:   "activate DIGEST",
		Short: "Put a loaded version in force, now or at a time",
		Args:  cobra.ExactArgs(1),
		Long: "activate puts a version in force for calls that arrive later. It fails if the version\n" +
			"in force is not the one that --saw names, so that only one of two operators who saw the same version\n" +
			"succeeds. The default of --saw is the version that is in force now.",
		Example: "  olivectl numbers activate 7b3cbfb4b82e4e7b --at 2026-12-02T03:00:00Z",
		RunE: func(c *cobra.Command, args []string) error {
			due, err := parseDue(at)
			if err != nil {
				return err
			}
			return executeOnAll(c, &f, func(versions []numbering.VersionStatus) numbering.Command {
				order := numbering.Command{
					Op:             numbering.OpActivate,
					Digest:         args[0],
					ExpectedActive: expected,
					ActivateAt:     due,
				}
				if expected == "" {
					order.ExpectedActive = digestInForce(versions)
				}
				return order
			})
		},
	}
	f.register(c)
	c.Flags().StringVar(&at, "at", "", "time at which the version comes into force (default: immediately)")
	c.Flags().StringVar(&expected, "saw", "", "digest of the version that must be in force now")
	return c
}

// parseDue parses the time of an activation; an empty text is 0, which means immediately.
func parseDue(text string) (numbering.Time, error) {
	if text == "" {
		return 0, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, cli.UsageErrorf("--at: %q is not a time such as 2026-12-02T03:00:00Z", text)
	}
	return numbering.Time(t.UnixNano()), nil
}

func newNumbersRollbackCommand() *cobra.Command {
	var f targetFlags
	c := &cobra.Command{
		Use:     "rollback",
		Short:   "Put the previous version in force",
		Example: "  olivectl numbers rollback --agent 127.0.0.1:2950",
		RunE: func(c *cobra.Command, _ []string) error {
			return executeOnAll(c, &f, func(versions []numbering.VersionStatus) numbering.Command {
				return numbering.Command{Op: numbering.OpRollback, ExpectedActive: digestInForce(versions)}
			})
		},
	}
	f.register(c)
	return c
}

func newNumbersCancelCommand() *cobra.Command {
	var f targetFlags
	c := &cobra.Command{
		Use:     "cancel",
		Short:   "Cancel a scheduled activation",
		Example: "  olivectl numbers cancel",
		RunE: func(c *cobra.Command, _ []string) error {
			return executeOnAll(c, &f, func([]numbering.VersionStatus) numbering.Command {
				return numbering.Command{Op: numbering.OpCancel}
			})
		},
	}
	f.register(c)
	return c
}
