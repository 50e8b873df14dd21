package numbering

import (
	"slices"
	"strings"
)

// Change is a prefix whose destination differs between two tables.
type Change struct {
	Prefix string `json:"prefix"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// maxChanges limits the length of the list that Diff returns.
const maxChanges = 100_000

// Diff lists the prefixes whose destination differs between two tables. Destinations are compared by pools and times,
// not by names: renaming a route is not a change. A change is listed for the shortest prefix that it applies to, and
// for longer prefixes only if their destinations differ from that. isTruncated is set if there are more than maxChanges
// changes.
func Diff(before, after *Table) (changes []Change, isTruncated bool) {
	var enclosing []Change // changes at the prefixes of the current prefix, the longest last
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

// allPrefixes returns the prefixes of all tables and the empty prefix, sorted and without duplicates.
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
