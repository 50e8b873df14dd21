package numbering

import (
	"slices"
	"strings"
)

// Change is a prefix whose numbers have another destination in a second table.
type Change struct {
	Prefix string `json:"prefix"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// maxChanges bounds the result of Diff.
const maxChanges = 100_000

// Diff lists the prefixes whose destination differs between two tables. Destinations are compared as pools and times
// and not as names: a route that is only renamed is no change. A change is listed at the shortest prefix that it
// applies to, and at longer ones only where they differ from that. isTruncated is set if there are more changes than
// the list holds.
func Diff(before, after *Table) (changes []Change, isTruncated bool) {
	var enclosing []Change // the prefixes that the current one begins with, the longest last
	for _, prefix := range allPrefixes(before, after) {
		for len(enclosing) > 0 && !strings.HasPrefix(prefix, enclosing[len(enclosing)-1].Prefix) {
			enclosing = enclosing[:len(enclosing)-1]
		}
		c := Change{Prefix: prefix, Old: before.describePrefix(prefix), New: after.describePrefix(prefix)}
		isInherited := len(enclosing) > 0 && enclosing[len(enclosing)-1].hasSameDestinations(c)
		enclosing = append(enclosing, c)
		if c.Old == c.New || isInherited {
			continue
		}
		if len(changes) >= maxChanges {
			return changes, true
		}
		changes = append(changes, c)
	}
	return changes, false
}

func (c Change) hasSameDestinations(other Change) bool {
	return c.Old == other.Old && c.New == other.New
}

// allPrefixes returns the prefixes that any of the tables has, and the empty prefix, in order.
func allPrefixes(tables ...*Table) []string {
	prefixes := []string{""}
	collect := func(prefix string) { prefixes = append(prefixes, prefix) }
	for _, t := range tables {
		t.numbers.walk(collect)
		t.bars.walk(collect)
	}
	slices.Sort(prefixes)
	return slices.Compact(prefixes)
}
