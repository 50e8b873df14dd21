package numbering

import (
	"errors"
	"fmt"
	"slices"
)

// maxCause is the greatest Q.850 cause.
const maxCause = 127

func (c *compiler) compileEmergencies() {
	for i, x := range c.rules.Emergency {
		name := entryName("emergency", i, x.Number)
		if !isDigits(x.Number) {
			c.addError(name, "the number must consist of digits only")
		}
		if _, exists := c.table.emergencies[x.Number]; exists {
			c.addError(name, "duplicate emergency number")
		}
		c.table.emergencies[x.Number] = c.routeIndex(name, x.Route)
	}
}

func (c *compiler) compileBars() {
	var b trieBuilder
	entries := make([]entry, 0, len(c.rules.Barred))
	for i, x := range c.rules.Barred {
		name := entryName("barred", i, x.Prefix)
		if x.Cause < 0 || x.Cause > maxCause {
			c.addError(name, "cause %d is not a Q.850 cause (1 to %d)", x.Cause, maxCause)
		}
		if !c.isPrefixValid(x.Prefix) {
			c.addPrefixError(name)
			continue
		}
		entries = append(entries, entry{
			route:     -1,
			cause:     int16(x.causeOrDefault()),
			classList: c.addClassList(name, x.Classes),
			ordinal:   int32(i + 1),
		})
		b.add(x.Prefix, int32(len(entries)-1))
	}
	bars, err := b.build(entries)
	var duplicate *duplicatePrefixError
	if errors.As(err, &duplicate) {
		first, second := entries[duplicate.first].ordinal, entries[duplicate.second].ordinal
		c.addError(fmt.Sprintf("barred %d", second), "%v, first defined by barred %d", duplicate, first)
	}
	c.table.bars = bars
}

// causeOrDefault returns the cause of rejections, by default CauseRejected.
func (b *Barred) causeOrDefault() int {
	if b.Cause == 0 {
		return CauseRejected
	}
	return b.Cause
}

// isPrefixValid reports whether a prefix consists of digits and is not longer than a number may be.
func (c *compiler) isPrefixValid(prefix string) bool {
	return isDigits(prefix) && len(prefix) <= c.table.maxDigits
}

func (c *compiler) addPrefixError(name string) {
	c.addError(name, "the prefix must consist of digits only, at most %d", c.table.maxDigits)
}

// addClassList stores the classes that a bar is limited to and returns the index of the list; -1: all classes.
func (c *compiler) addClassList(name string, classes []string) int32 {
	if len(classes) == 0 {
		return -1
	}
	for _, class := range classes {
		isKnown := func(known Class) bool { return known.Name == class }
		if len(c.deployment.Classes) > 0 && !slices.ContainsFunc(c.deployment.Classes, isKnown) {
			c.addError(name, "there is no class %q", class)
		}
	}
	c.table.barredClasses = append(c.table.barredClasses, slices.Clone(classes))
	return int32(len(c.table.barredClasses) - 1)
}

// numberCompiler collects the prefixes that are assigned to routes, including those that ranges are split into.
type numberCompiler struct {
	*compiler
	builder trieBuilder
	entries []entry
	indexes map[string]int32 // route indexes by name, of the routes that have been looked up
}

func (c *compiler) compileNumbers() {
	n := &numberCompiler{compiler: c, indexes: make(map[string]int32)}
	n.entries = make([]entry, 0, len(c.rules.Prefix)+len(c.rules.Range))
	for i, x := range c.rules.Prefix {
		ordinal := int32(i + 1)
		if !c.isPrefixValid(x.Prefix) {
			c.addPrefixError(c.numberName(ordinal))
			continue
		}
		n.add(ordinal, x.Prefix, x.Route, x.Ported)
	}
	for i, x := range c.rules.Range {
		ordinal := c.rangeOrdinal(i)
		if !c.isRangeValid(&x) {
			c.addError(c.numberName(ordinal), "first and last must be digits of equal length, in ascending order")
			continue
		}
		for _, prefix := range rangePrefixes(x.First, x.Last) {
			n.add(ordinal, prefix, x.Route, x.Ported)
		}
	}
	ranges := c.sortedRanges()
	c.checkOverlaps(ranges)
	c.checkPrefixesInRanges(ranges)
	n.build()
}

// add adds a prefix that belongs to the entry with an ordinal.
func (n *numberCompiler) add(ordinal int32, prefix, routeName string, ported bool) {
	if index, length := n.table.bars.find([]byte(prefix)); index >= 0 && length > 0 {
		bar := &n.table.bars.entries[index]
		if bar.classList < 0 {
			n.addError(n.numberName(ordinal), "unreachable: barred %d rejects its numbers", bar.ordinal)
		}
	}
	routeIndex, known := n.indexes[routeName]
	if !known {
		routeIndex = n.routeIndex(n.numberName(ordinal), routeName)
		n.indexes[routeName] = routeIndex
	}
	n.entries = append(n.entries, entry{route: routeIndex, ported: ported, classList: -1, ordinal: ordinal})
	n.builder.add(prefix, int32(len(n.entries)-1))
}

func (n *numberCompiler) build() {
	if len(n.entries) > maxPrefixes {
		n.addError("range", "prefixes and ranges expand to %d prefixes; the limit is %d", len(n.entries), maxPrefixes)
		return
	}
	numbers, err := n.builder.build(n.entries)
	var duplicate *duplicatePrefixError
	if errors.As(err, &duplicate) && len(n.errs) < maxRuleErrors {
		first := n.numberName(n.entries[duplicate.first].ordinal)
		second := n.numberName(n.entries[duplicate.second].ordinal)
		n.addError(second, "%v, first defined by %s", duplicate, first)
	}
	n.table.numbers = numbers
}

// rangeOrdinal returns the ordinal of a range. Prefixes and ranges have a common sequence, in which ranges follow.
func (c *compiler) rangeOrdinal(index int) int32 { return int32(len(c.rules.Prefix) + index + 1) }

// numberName returns the name of a prefix or range, given by its ordinal, in error messages.
func (c *compiler) numberName(ordinal int32) string {
	index := int(ordinal) - 1
	if index < len(c.rules.Prefix) {
		return entryName("prefix", index, c.rules.Prefix[index].Prefix)
	}
	index -= len(c.rules.Prefix)
	return entryName("range", index, c.rules.Range[index].name())
}
