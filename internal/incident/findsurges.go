package incident

import (
	"fmt"

	"olivedale/internal/record"
)

// A window belongs to a surge if at least this share, and at least this number, of its calls were rejected or dropped.
const (
	surgeShare = 0.05
	minSurge   = 5
)

// A surgeRule defines one kind of surge by the calls that it counts.
type surgeRule struct {
	kind  string
	count func(*Counts) uint64
}

var surgeRules = []surgeRule{
	{FoundRejections, func(c *Counts) uint64 { return c.Rejected() + c.Outcome(record.OutcomeFailed) }},
	{FoundDropped, func(c *Counts) uint64 { return c.Dropped }},
}

// matches reports whether a window belongs to a surge.
func (s surgeRule) matches(w *Window) bool {
	n := s.count(&w.Counts)
	return n >= minSurge && float64(n) >= surgeShare*float64(w.Offered)
}

// findSurges finds the sequences of windows in which many calls were rejected or dropped.
func (r *Report) findSurges() {
	for _, rule := range surgeRules {
		for i := 0; i < len(r.Windows); i++ {
			if !rule.matches(&r.Windows[i]) {
				continue
			}
			end := i + 1
			for end < len(r.Windows) && rule.matches(&r.Windows[end]) {
				end++
			}
			r.add(r.newSurge(rule, i, end))
			i = end
		}
	}
}

// newSurge returns the finding for the windows from first up to, but not including, end.
func (r *Report) newSurge(rule surgeRule, first, end int) Finding {
	var sum Counts
	incomplete := false
	for i := first; i < end; i++ {
		sum.add(&r.Windows[i].Counts)
		incomplete = incomplete || r.Windows[i].Gap
	}
	return Finding{
		Kind:       rule.kind,
		From:       r.onTimeLine(r.Windows[first].At),
		To:         r.onTimeLine(r.Windows[end-1].At + r.Width),
		IsFault:    true,
		Incomplete: incomplete,
		Ongoing:    end == len(r.Windows),
		Text: fmt.Sprintf("%s of %s offered in %d windows",
			formatCount(rule.count(&sum), incomplete), formatCount(sum.Offered, incomplete), end-first),
	}
}

// onTimeLine returns the moment of a time on the report's time line, which is exact.
func (r *Report) onTimeLine(at Time) Moment {
	return Moment{Earliest: at, Latest: at, Known: r.Reference != "", Peer: r.Reference, Source: -1, Own: at}
}
