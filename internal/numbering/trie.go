package numbering

import (
	"fmt"
	"math/bits"
	"slices"
)

// An entry is what a prefix leads to.
type entry struct {
	route  int32 // -1: none
	cause  int16 // barred; 0: not
	ported bool
	only   int32 // index into the table's lists of classes that a bar is for; -1: all
	line   int32 // number of the entry among its kind, for explanations
}

// A trie finds the longest prefix of a number. Its nodes are one slice, and children of a node
// stand side by side in another, so that a million prefixes are two large blocks without pointers:
// the collector has nothing to follow.
type trie struct {
	nodes   []node
	entries []entry
}

// A node stands for a prefix. Which digits go on is a bit each; the child of a digit stands at
// first and as many places behind as lower digits go on.
type node struct {
	first int32
	entry int32 // -1: no prefix ends here
	mask  uint16
}

// A builder collects prefixes and lays them out.
type builder struct {
	keys []keyed
}

type keyed struct {
	digits string
	entry  int32
}

func (b *builder) add(digits string, e int32) { b.keys = append(b.keys, keyed{digits, e}) }

// build makes the trie. Two equal prefixes are an error, told by the numbers of their entries.
func (b *builder) build(entries []entry) (trie, error) {
	slices.SortFunc(b.keys, func(x, y keyed) int {
		switch {
		case x.digits < y.digits:
			return -1
		case x.digits > y.digits:
			return 1
		}
		return int(x.entry - y.entry)
	})
	for i := 1; i < len(b.keys); i++ {
		if b.keys[i].digits == b.keys[i-1].digits {
			return trie{}, &equal{b.keys[i].digits, b.keys[i-1].entry, b.keys[i].entry}
		}
	}
	t := trie{entries: entries, nodes: []node{{entry: -1}}}
	// Breadth first: all children of a node are laid out at once, so they stand side by side.
	type span struct{ node, from, to, depth int }
	queue := []span{{0, 0, len(b.keys), 0}}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		if s.from < s.to && len(b.keys[s.from].digits) == s.depth {
			t.nodes[s.node].entry = b.keys[s.from].entry
			s.from++
		}
		t.nodes[s.node].first = int32(len(t.nodes))
		for s.from < s.to {
			d := b.keys[s.from].digits[s.depth]
			end := s.from
			for end < s.to && b.keys[end].digits[s.depth] == d {
				end++
			}
			t.nodes[s.node].mask |= 1 << (d - '0')
			t.nodes = append(t.nodes, node{entry: -1})
			queue = append(queue, span{len(t.nodes) - 1, s.from, end, s.depth + 1})
			s.from = end
		}
	}
	t.nodes = slices.Clip(t.nodes)
	return t, nil
}

// equal tells of two entries for one prefix.
type equal struct {
	digits string
	a, b   int32
}

func (e *equal) Error() string { return fmt.Sprintf("%s is there twice", e.digits) }

// below counts the children that stand in front of a digit's.
func below(mask uint16, digit byte) int32 { return int32(bits.OnesCount16(mask & (1<<digit - 1))) }

// find returns the entry of the longest prefix of a number and its length; -1 if there is none.
func (t *trie) find(digits []byte) (e int32, length int) {
	e = -1
	if len(t.nodes) == 0 {
		return e, 0
	}
	at := &t.nodes[0]
	if at.entry >= 0 {
		e = at.entry
	}
	for i := range len(digits) {
		d := digits[i] - '0'
		if d > 9 || at.mask&(1<<d) == 0 {
			break
		}
		at = &t.nodes[at.first+below(at.mask, d)]
		if at.entry >= 0 {
			e, length = at.entry, i+1
		}
	}
	return e, length
}
