package numbering

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Time is a reading of the Unix clock.
type Time = time.Duration

// Table is a compiled set of rules. It never changes and may be read by any goroutine.
type Table struct {
	Version string // a name for people; see Digest for the identity

	digest        [sha256.Size]byte
	maxDigits     int
	plans         []Plan
	translations  []Translation    // in the order in which they are tried
	emergencies   map[string]int32 // routes of emergency numbers as dialled
	bars          trie
	barredClasses [][]string // lists of classes that bars apply to
	numbers       trie
	routes        []route
	conditions    []condition
	defaultRoute  int32 // route of numbers without a match; -1: they are unallocated
}

// route is a compiled Route.
type route struct {
	name  string
	seed  uint64     // of its weighted choices: from the name, so that equal rules give equal choices
	steps [][]target // in order of preference
}

// target is a compiled Target.
type target struct {
	pool      int
	weight    int
	condition int32 // index into Table.conditions; -1: always open
}

// Digest returns the identity of a table: it is equal for rules that differ only in the order of their entries.
func (t *Table) Digest() string { return hex.EncodeToString(t.digest[:8]) }

// PrefixCount returns the number of prefixes, after ranges are split.
func (t *Table) PrefixCount() int { return len(t.numbers.entries) }

// MemoryBytes returns about how many bytes of memory the prefixes take.
func (t *Table) MemoryBytes() int { return t.numbers.size() + t.bars.size() }

// Q.850 causes of rejections.
const (
	CauseUnallocated = 1  // no route for the number
	CauseNoRoute     = 3  // the route has no target at this time
	CauseRejected    = 21 // barred
)
