package numbering

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
)

// entry is the rule that applies to a prefix.
type entry struct {
	route     int32 // -1: none
	cause     int16 // Q.850 cause of a bar; 0: not barred
	ported    bool  // numbers may have been ported: a look-up is required
	classList int32 // index into Table.barredClasses; -1: all classes
	ordinal   int32 // position of the entry in the rules, from 1; see numberName for ranges
}

// trie finds the longest prefix that matches a number. The nodes are stored in one slice in which the children of a
// node are adjacent, so that a million prefixes take two large blocks without pointers, which the garbage collector
// does not scan.
type trie struct {
	nodes   []node
	entries []entry
}

// node is a prefix. The index of the child for a digit is firstChild plus the number of lower digits with a child.
type node struct {
	firstChild int32
	entry      int32  // index into trie.entries; -1: no prefix ends here
	children   uint16 // bit n is set if there is a child for digit n
}

// Sizes of a node and an entry, in bytes.
const (
	nodeSize  = 12
	entrySize = 16
)

// size returns the approximate size of the trie in bytes.
func (t *trie) size() int { return nodeSize*len(t.nodes) + entrySize*len(t.entries) }

// hasChild reports whether the node has a child for a digit, 0 to 9.
func (n *node) hasChild(digit byte) bool { return n.children&(1<<digit) != 0 }

// child returns the index of the child for a digit. The child must exist.
func (n *node) child(digit byte) int32 {
	return n.firstChild + int32(bits.OnesCount16(n.children&(1<<digit-1)))
}

// find returns the index of the entry of the longest prefix that matches a number, and the length of the prefix. The
// index is -1 if no prefix matches.
func (t *trie) find(digits []byte) (index int32, length int) {
	if len(t.nodes) == 0 {
		return -1, 0
	}
	current := &t.nodes[0]
	index = current.entry
	for i := range len(digits) {
		digit := digits[i] - '0'
		if digit > 9 || !current.hasChild(digit) {
			break
		}
		current = &t.nodes[current.child(digit)]
		if current.entry >= 0 {
			index, length = current.entry, i+1
		}
	}
	return index, length
}

// walk calls visit with each prefix, in ascending order.
func (t *trie) walk(visit func(prefix string)) {
	if len(t.nodes) > 0 {
		t.walkNode(0, make([]byte, 0, maxDigits), visit)
	}
}

func (t *trie) walkNode(index int32, prefix []byte, visit func(prefix string)) {
	n := &t.nodes[index]
	if n.entry >= 0 {
		visit(string(prefix))
	}
	for digit := range byte(10) {
		if n.hasChild(digit) {
			t.walkNode(n.child(digit), append(prefix, '0'+digit), visit)
		}
	}
}

// trieBuilder collects prefixes and builds a trie.
type trieBuilder struct {
	prefixes []builderPrefix
}

type builderPrefix struct {
	digits string
	entry  int32
}

func (b *trieBuilder) add(digits string, entry int32) {
	b.prefixes = append(b.prefixes, builderPrefix{digits, entry})
}

// duplicatePrefixError is the error of two entries with the same prefix.
type duplicatePrefixError struct {
	digits        string
	first, second int32 // indexes of the entries
}

// Error implements error.
func (e *duplicatePrefixError) Error() string { return fmt.Sprintf("duplicate prefix %s", e.digits) }

// build returns the trie. The error is a *duplicatePrefixError if two prefixes are equal.
func (b *trieBuilder) build(entries []entry) (trie, error) {
	slices.SortFunc(b.prefixes, func(x, y builderPrefix) int {
		if c := strings.Compare(x.digits, y.digits); c != 0 {
			return c
		}
		return int(x.entry - y.entry)
	})
	for i := 1; i < len(b.prefixes); i++ {
		previous, current := b.prefixes[i-1], b.prefixes[i]
		if previous.digits == current.digits {
			return trie{}, &duplicatePrefixError{current.digits, previous.entry, current.entry}
		}
	}
	return trie{entries: entries, nodes: b.buildNodes()}, nil
}

// subtree is a node whose children are still to be built. Its prefix has depth digits and is common to the sorted
// prefixes with indexes from from, inclusive, to to, exclusive.
type subtree struct {
	node, from, to, depth int
}

// buildNodes creates the nodes of the sorted prefixes in breadth-first order, so that the children of a node are
// adjacent.
func (b *trieBuilder) buildNodes() []node {
	nodes := []node{{entry: -1}}
	queue := []subtree{{to: len(b.prefixes)}}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		if s.from < s.to && len(b.prefixes[s.from].digits) == s.depth {
			nodes[s.node].entry = b.prefixes[s.from].entry
			s.from++
		}
		nodes[s.node].firstChild = int32(len(nodes))
		for s.from < s.to {
			digit := b.prefixes[s.from].digits[s.depth]
			end := s.from
			for end < s.to && b.prefixes[end].digits[s.depth] == digit {
				end++
			}
			nodes[s.node].children |= 1 << (digit - '0')
			nodes = append(nodes, node{entry: -1})
			queue = append(queue, subtree{len(nodes) - 1, s.from, end, s.depth + 1})
			s.from = end
		}
	}
	return slices.Clip(nodes)
}
