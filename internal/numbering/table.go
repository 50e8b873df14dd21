package numbering

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Time is the time since the Unix epoch.
type Time = time.Duration

// Table is a compiled set of rules. It is immutable and may be read by any goroutine.
type Table struct {
	Version string // for display; tables are identified by Digest

	digest        [sha256.Size]byte
	maxDigits     int
	plans         []Plan
	translations  []Translation    // in the order in which they are tried
	emergencies   map[string]int32 // route indexes by emergency number as dialled
	bars          trie
	barredClasses [][]string // lists of classes that bars are limited to
	numbers       trie
	routes        []route
	conditions    []condition
	defaultRoute  int32 // route of numbers that no prefix matches; -1: unallocated
}

// route is a compiled Route.
type route struct {
	name  string
	seed  uint64     // for weighted choices; derived from the name, so that equal rules give equal choices
	steps [][]target // in order of preference
}

// target is a compiled Target.
type target struct {
	pool      int
	weight    int
	condition int32 // index into Table.conditions; -1: always open
}

// Digest identifies the table. Rules that differ only in the order of their entries have the same digest.
func (t *Table) Digest() string { return hex.EncodeToString(t.digest[:8]) }

// PrefixCount returns the number of prefixes, including those that ranges are split into.
func (t *Table) PrefixCount() int { return len(t.numbers.entries) }

// MemoryBytes returns the approximate number of bytes that the prefixes take.
func (t *Table) MemoryBytes() int { return t.numbers.size() + t.bars.size() }

// Q.850 causes of rejections.
const (
	CauseUnallocated = 1  // no route for the number
	CauseNoRoute     = 3  // the route has no target at this time
	CauseRejected    = 21 // barred
)
