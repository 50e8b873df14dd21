package numbering

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// shortDigits generates short numbers, many of which are prefixes of others.
var shortDigits = rapid.StringMatching(`[0-3]{1,6}`)

// The trie finds the same longest prefix as a linear search.
func TestTrieEqualsLinearScan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var b trieBuilder
		set := rapid.SliceOfNDistinct(shortDigits, 0, 60, rapid.ID).Draw(rt, "prefixes")
		for i, p := range set {
			b.add(p, int32(i))
		}
		tr, err := b.build(make([]entry, len(set)))
		if err != nil {
			rt.Fatal(err)
		}
		for range 20 {
			number := rapid.StringMatching(`[0-9]{0,8}`).Draw(rt, "number")
			want, length := int32(-1), 0
			for i, p := range set {
				if strings.HasPrefix(number, p) && len(p) > length {
					want, length = int32(i), len(p)
				}
			}
			if index, n := tr.find([]byte(number)); index != want || n != length {
				rt.Fatalf("%s: entry %d (%d digits), want %d (%d)", number, index, n, want, length)
			}
		}
	})
}

// The prefixes of a range cover each of its numbers exactly once and no other numbers.
func TestRangePrefixesCoverRange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 3).Draw(rt, "digits")
		count := 1
		for range n {
			count *= 10
		}
		first := rapid.IntRange(0, count-1).Draw(rt, "first")
		last := rapid.IntRange(first, count-1).Draw(rt, "last")
		prefixes := rangePrefixes(fmt.Sprintf("%0*d", n, first), fmt.Sprintf("%0*d", n, last))
		for v := range count {
			matches := 0
			for _, p := range prefixes {
				if strings.HasPrefix(fmt.Sprintf("%0*d", n, v), p) {
					matches++
				}
			}
			if want := v >= first && v <= last; want != (matches == 1) || matches > 1 {
				rt.Fatalf("%d is covered by %d prefixes of %d to %d: %v", v, matches, first, last, prefixes)
			}
		}
	})
}
