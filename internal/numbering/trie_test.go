package numbering

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// shortDigits draws short numbers, of which many are prefixes of others.
var shortDigits = rapid.StringMatching(`[0-3]{1,6}`)

// The trie finds the same prefix as a linear search.
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
			if e, n := tr.find([]byte(number)); e != want || n != length {
				rt.Fatalf("%s: entry %d (%d digits), want %d (%d)", number, e, n, want, length)
			}
		}
	})
}

// The prefixes of a range cover each of its numbers once, and no other numbers.
func TestRangePrefixesCoverRange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 3).Draw(rt, "digits")
		count := 1
		for range n {
			count *= 10
		}
		lo := rapid.IntRange(0, count-1).Draw(rt, "first")
		hi := rapid.IntRange(lo, count-1).Draw(rt, "last")
		prefixes := rangePrefixes(fmt.Sprintf("%0*d", n, lo), fmt.Sprintf("%0*d", n, hi))
		for v := range count {
			hits := 0
			for _, p := range prefixes {
				if strings.HasPrefix(fmt.Sprintf("%0*d", n, v), p) {
					hits++
				}
			}
			if want := v >= lo && v <= hi; want != (hits == 1) || hits > 1 {
				rt.Fatalf("%d is covered by %d prefixes of %d to %d: %v", v, hits, lo, hi, prefixes)
			}
		}
	})
}
