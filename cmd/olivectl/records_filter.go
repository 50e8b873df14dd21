package main

import (
	"slices"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/record"
)

// A recordFilter selects records by the values of the flags. An empty list matches every record.
type recordFilter struct {
	from, to  string
	calls     []string
	servers   []string
	classes   []string
	kindNames []string
	instances []string

	period timeRange     // parsed from and to
	kinds  []record.Kind // parsed kindNames
}

func (f *recordFilter) register(c *cobra.Command) {
	set := c.Flags()
	set.StringVar(&f.from, "from", "", "at or after this time (2026-12-01T17:30:00Z, or 90m for 90 minutes ago)")
	set.StringVar(&f.to, "to", "", "at or before this time")
	set.StringSliceVar(&f.calls, "call", nil, "of calls with these ids")
	set.StringSliceVar(&f.servers, "server", nil, "of these servers")
	set.StringSliceVar(&f.classes, "class", nil, "of calls of these classes (in set-ups, answers and releases)")
	set.StringSliceVar(&f.kindNames, "kind", nil,
		"of these kinds (setup, order, try, try_end, answer, release, gap, ...)")
	set.StringSliceVar(&f.instances, "instance", nil, "of these instances")
}

// parse parses the flags for times and kinds.
func (f *recordFilter) parse() error {
	period, err := parseTimeRange(f.from, f.to)
	if err != nil {
		return err
	}
	f.period = period
	f.kinds = nil
	for _, name := range f.kindNames {
		kind, err := record.ParseKind(name)
		if err != nil {
			return cli.UsageErrorf("--kind: %w", err)
		}
		f.kinds = append(f.kinds, kind)
	}
	return nil
}

// matches reports whether the filter selects a record.
func (f *recordFilter) matches(h *record.Header, r *record.Record) bool {
	return f.period.contains(r.At) &&
		isSelected(f.calls, r.Call) &&
		isSelected(f.servers, r.Server) &&
		isSelected(f.classes, r.Class) &&
		isSelected(f.instances, h.Name) &&
		isSelected(f.kinds, r.Kind)
}

// isSelected reports whether a list contains a value or is empty.
func isSelected[T comparable](list []T, value T) bool {
	return len(list) == 0 || slices.Contains(list, value)
}
