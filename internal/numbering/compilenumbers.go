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
			c.addError(name, "the number is not digits alone")
		}
		if _, exists := c.table.emergencies[x.Number]; exists {
			c.addError(name, "the number is there twice")
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
			c.addError(name, "cause %d is not of Q.850 (1 to %d)", x.Cause, maxCause)
		}
		if !c.isPrefixValid(x.Prefix) {
			c.addPrefixError(name)
			continue
		}
		entries = append(entries, entry{
			route:     -1,
			cause:     int16(x.causeOrDefault()),
			classList: c.addClassList(name, x.Classes),
			line:      int32(i + 1),
		})
		b.add(x.Prefix, int32(len(entries)-1))
	}
	bars, err := b.build(entries)
	var duplicate *duplicatePrefixError
	if errors.As(err, &duplicate) {
		first, second := entries[duplicate.first].line, entries[duplicate.second].line
		c.addError(fmt.Sprintf("barred %d", second), "%v, also as barred %d", duplicate, first)
	}
	c.table.bars = bars
}

// causeOrDefault returns the cause with which the number is rejected.
func (b *Barred) causeOrDefault() int {
	if b.Cause == 0 {
		return CauseRejected
	}
	return b.Cause
}

// isPrefixValid reports whether a prefix consists of digits, and not too many.
func (c *compiler) isPrefixValid(prefix string) bool {
	return isDigits(prefix) && len(prefix) <= c.table.maxDigits
}

func (c *compiler) addPrefixError(name string) {
	c.addError(name, "the prefix is not digits alone, at most %d", c.table.maxDigits)
}

// addClassList stores the classes that a bar is for and returns their index; -1: all classes.
func (c *compiler) addClassList(name string, classes []string) int32 {
	if len(classes) == 0 {
		return -1
	}
	for _, class := range classes {
		isKnown := func(known Class) bool { return known.Name == class }
		if len(c.env.Classes) > 0 && !slices.ContainsFunc(c.env.Classes, isKnown) {
			c.addError(name, "there is no class %q", class)
		}
	}
	c.table.barredClasses = append(c.table.barredClasses, slices.Clone(classes))
	return int32(len(c.table.barredClasses) - 1)
}

// numberCompiler collects the prefixes that lead to a route.
type numberCompiler struct {
	*compiler
	builder trieBuilder
	entries []entry
	indexes map[string]int32 // routes that have been looked up
}

func (c *compiler) compileNumbers() {
	n := &numberCompiler{compiler: c, indexes: make(map[string]int32)}
	n.entries = make([]entry, 0, len(c.rules.Prefix)+len(c.rules.Range))
	for i, x := range c.rules.Prefix {
		line := int32(i + 1)
		if !c.isPrefixValid(x.Prefix) {
			c.addPrefixError(c.numberName(line))
			continue
		}
		n.add(line, x.Prefix, x.Route, x.Ported)
	}
	for i, x := range c.rules.Range {
		line := c.rangeLine(i)
		if !c.isRangeValid(&x) {
			c.addError(c.numberName(line), "first and last are digits, as many of each, in their order")
			continue
		}
		for _, prefix := range rangePrefixes(x.First, x.Last) {
			n.add(line, prefix, x.Route, x.Ported)
		}
	}
	ranges := c.sortedRanges()
	c.checkOverlaps(ranges)
	c.checkPrefixesInRanges(ranges)
	n.build()
}

// add adds a prefix of the entry with a line number.
func (n *numberCompiler) add(line int32, prefix, routeName string, ported bool) {
	if index, length := n.table.bars.find([]byte(prefix)); index >= 0 && length > 0 {
		bar := &n.table.bars.entries[index]
		if bar.classList < 0 {
			n.addError(n.numberName(line), "unreachable: barred %d bars it", bar.line)
		}
	}
	routeIndex, known := n.indexes[routeName]
	if !known {
		routeIndex = n.routeIndex(n.numberName(line), routeName)
		n.indexes[routeName] = routeIndex
	}
	n.entries = append(n.entries, entry{route: routeIndex, ported: ported, classList: -1, line: line})
	n.builder.add(prefix, int32(len(n.entries)-1))
}

func (n *numberCompiler) build() {
	if len(n.entries) > maxPrefixes {
		n.addError("range", "ranges take %d prefixes, more than %d", len(n.entries), maxPrefixes)
		return
	}
	numbers, err := n.builder.build(n.entries)
	var duplicate *duplicatePrefixError
	if errors.As(err, &duplicate) && len(n.errs) < maxRuleErrors {
		first := n.numberName(n.entries[duplicate.first].line)
		second := n.numberName(n.entries[duplicate.second].line)
		n.addError(second, "%v, also as %s", duplicate, first)
	}
	n.table.numbers = numbers
}

// rangeLine returns the line number of a range: ranges are counted on after the prefixes.
func (c *compiler) rangeLine(index int) int32 { return int32(len(c.rules.Prefix) + index + 1) }

// numberName names a prefix or range by its line number.
func (c *compiler) numberName(line int32) string {
	index := int(line) - 1
	if index < len(c.rules.Prefix) {
		return entryName("prefix", index, c.rules.Prefix[index].Prefix)
	}
	index -= len(c.rules.Prefix)
	return entryName("range", index, c.rules.Range[index].name())
}
