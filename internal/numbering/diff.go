package numbering

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// A Change is a prefix whose numbers go another way by a second table.
type Change struct {
	Prefix string `json:"prefix"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// maxChanges bounds a list of them.
const maxChanges = 100_000

// Diff lists the prefixes whose destination changes from one table to another, as pools and
// times, not as names: a route that is only renamed changes nothing. A prefix is listed where the
// change begins; below it only what differs from that. more tells that there were more than the
// list holds.
func Diff(a, b *Table) (changes []Change, more bool) {
	seen := make(map[string]bool)
	var prefixes []string
	for _, t := range []*Table{a, b} {
		for _, tr := range []*trie{&t.numbers, &t.bars} {
			tr.walk(func(p string) {
				if !seen[p] {
					seen[p] = true
					prefixes = append(prefixes, p)
				}
			})
		}
	}
	if !seen[""] {
		prefixes = append(prefixes, "")
	}
	slices.Sort(prefixes)
	type told struct{ prefix, old, new string }
	var above []told
	for _, p := range prefixes {
		for len(above) > 0 && !strings.HasPrefix(p, above[len(above)-1].prefix) {
			above = above[:len(above)-1]
		}
		x, y := a.leads(p), b.leads(p)
		inherited := len(above) > 0 && above[len(above)-1].old == x && above[len(above)-1].new == y
		above = append(above, told{p, x, y})
		if x == y || inherited {
			continue
		}
		if len(changes) >= maxChanges {
			return changes, true
		}
		changes = append(changes, Change{p, x, y})
	}
	return changes, false
}

// walk visits all prefixes of a trie in order.
func (t *trie) walk(visit func(prefix string)) {
	if len(t.nodes) == 0 {
		return
	}
	var at func(n int32, prefix []byte)
	at = func(n int32, prefix []byte) {
		if t.nodes[n].entry >= 0 {
			visit(string(prefix))
		}
		kid := t.nodes[n].first
		for d := range byte(10) {
			if t.nodes[n].mask&(1<<d) != 0 {
				at(kid, append(prefix, '0'+d))
				kid++
			}
		}
	}
	at(0, make([]byte, 0, maxDigits))
}

// leads says in words where the numbers that begin with a prefix go, as far as that is the same
// for all that nothing longer matches.
func (t *Table) leads(prefix string) string {
	var parts []string
	if e, _ := t.bars.find([]byte(prefix)); e >= 0 {
		b := &t.bars.entries[e]
		if b.only < 0 {
			return fmt.Sprintf("barred with cause %d", b.cause)
		}
		parts = append(parts, fmt.Sprintf("barred with cause %d for %s", b.cause, strings.Join(t.barLine[b.only], ", ")))
	}
	n := t.other
	if e, _ := t.numbers.find([]byte(prefix)); e >= 0 {
		n = t.numbers.entries[e].route
		if t.numbers.entries[e].ported {
			parts = append(parts, "looked up")
		}
	}
	if n < 0 {
		return strings.Join(append(parts, "unallocated"), "; ")
	}
	return strings.Join(append(parts, t.describe(n)), "; ")
}

// describe says what a route is, whatever its name.
func (t *Table) describe(n int32) string {
	var steps []string
	for _, s := range t.routes[n].steps {
		var targets []string
		for _, g := range s {
			text := fmt.Sprintf("pool %d", g.pool)
			if len(s) > 1 {
				text += fmt.Sprintf(" weight %d", g.weight)
			}
			if g.when >= 0 {
				text += " when " + t.whens[g.when].String()
			}
			targets = append(targets, text)
		}
		steps = append(steps, strings.Join(targets, " or "))
	}
	return strings.Join(steps, ", then ")
}

// String says what a condition is, whatever its name.
func (w *when) String() string {
	var parts []string
	if w.not {
		parts = append(parts, "not")
	}
	var days []string
	for _, name := range [...]string{"mon", "tue", "wed", "thu", "fri", "sat", "sun"} {
		if w.weekdays[weekdayNames[name]] {
			days = append(days, name)
		}
	}
	if len(days) < 7 {
		parts = append(parts, strings.Join(days, " "))
	}
	for _, h := range w.hours {
		parts = append(parts, fmt.Sprintf("%02d:%02d-%02d:%02d", h.from/60, h.from%60, h.to/60, h.to%60))
	}
	for _, d := range w.dates {
		parts = append(parts, fmt.Sprintf("%d to %d", d.from, d.to))
	}
	for _, d := range slices.Sorted(maps.Keys(w.holidays)) {
		parts = append(parts, fmt.Sprintf("but %d", d))
	}
	return strings.Join(append(parts, w.zone.String()), " ")
}
