package numbering

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// name returns the key of a range in error messages.
func (r *Range) name() string { return fmt.Sprintf("%s to %s", r.First, r.Last) }

// isRangeValid reports whether the ends of a range are digits of equal length, in ascending order and not too long.
func (c *compiler) isRangeValid(r *Range) bool {
	if !isDigits(r.First) || !isDigits(r.Last) {
		return false
	}
	return len(r.First) == len(r.Last) && r.First <= r.Last && len(r.First) <= c.table.maxDigits
}

// sortedRanges returns the indexes of the ranges, ordered by length and first number.
func (c *compiler) sortedRanges() []int {
	ranges := c.rules.Range
	indexes := make([]int, len(ranges))
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortFunc(indexes, func(a, b int) int {
		x, y := ranges[a], ranges[b]
		return cmp.Or(cmp.Compare(len(x.First), len(y.First)), strings.Compare(x.First, y.First))
	})
	return indexes
}

// checkOverlaps reports ranges that overlap. sorted is the result of sortedRanges.
func (c *compiler) checkOverlaps(sorted []int) {
	for i := 1; i < len(sorted); i++ {
		previous, current := c.rules.Range[sorted[i-1]], c.rules.Range[sorted[i]]
		if len(previous.First) == len(current.First) && current.First <= previous.Last {
			c.addError(c.numberName(c.rangeOrdinal(sorted[i])), "overlaps range %d", sorted[i-1]+1)
		}
	}
}

// checkPrefixesInRanges reports prefixes that lie within a range, or across its end, and are not longer than its
// numbers. Which of the two is the longer match would depend on the prefixes that the range is split into: the prefix
// in the middle of the range, the range at its ends. sorted is the result of sortedRanges.
func (c *compiler) checkPrefixesInRanges(sorted []int) {
	rangesByLength := make(map[int][]int)
	for _, i := range sorted {
		x := &c.rules.Range[i]
		if isDigits(x.First) && len(x.First) == len(x.Last) {
			rangesByLength[len(x.First)] = append(rangesByLength[len(x.First)], i)
		}
	}
	for i := range c.rules.Prefix {
		for length, ranges := range rangesByLength {
			if len(c.rules.Prefix[i].Prefix) <= length { // a longer prefix is always the longer match
				c.checkPrefixInRanges(i, ranges, length)
			}
		}
	}
}

// checkPrefixInRanges checks one prefix against the ranges with numbers of one length. A range whose numbers all begin
// with the prefix is permitted. Since the ranges do not overlap, only the first and the last that have numbers in
// common with the prefix can extend beyond it.
func (c *compiler) checkPrefixInRanges(index int, ranges []int, length int) {
	prefix := c.rules.Prefix[index].Prefix
	padding := length - len(prefix)
	low, high := prefix+strings.Repeat("0", padding), prefix+strings.Repeat("9", padding)
	first, _ := slices.BinarySearchFunc(ranges, low, func(i int, low string) int {
		return strings.Compare(c.rules.Range[i].Last, low)
	})
	for _, i := range ranges[first:] {
		x := &c.rules.Range[i]
		if x.First > high {
			return
		}
		if x.First < low || x.Last > high {
			c.addError(entryName("prefix", index, prefix),
				"overlaps range %d (%s); split the range at the prefix", i+1, x.name())
		}
	}
}

// rangePrefixes returns the smallest set of prefixes that covers the numbers from first to last, which have equal
// length.
func rangePrefixes(first, last string) []string {
	common := 0
	for common < len(first) && first[common] == last[common] {
		common++
	}
	isWholeBlock := allBetween(first[common:], '0', '0') && allBetween(last[common:], '9', '9')
	if isWholeBlock {
		return []string{first[:common]}
	}
	head := first[:common]
	firstRest, lastRest := first[common+1:], last[common+1:]
	var prefixes []string
	firstDigit, lastDigit := first[common], last[common] // of the blocks that the range covers completely
	if !allBetween(firstRest, '0', '0') {
		end := head + string(firstDigit) + strings.Repeat("9", len(firstRest))
		prefixes = append(prefixes, rangePrefixes(first, end)...)
		firstDigit++
	}
	coversLastBlock := allBetween(lastRest, '9', '9')
	if !coversLastBlock {
		lastDigit--
	}
	for digit := firstDigit; digit <= lastDigit; digit++ {
		prefixes = append(prefixes, head+string(digit))
	}
	if !coversLastBlock {
		start := head + string(last[common]) + strings.Repeat("0", len(lastRest))
		prefixes = append(prefixes, rangePrefixes(start, last)...)
	}
	return prefixes
}
