package main

import (
	"cmp"
	"fmt"
	"maps"
	"path"
	"slices"
	"strings"
)

// A Finding is one violation of a rule.
type Finding struct {
	File    string // relative to the working directory, with slashes
	Line    int    // 0 if the finding is about the whole file
	Rule    string
	Message string
}

// String formats the finding like a compiler message, so that editors can jump to its position.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s (%s)", f.File, f.Line, f.Message, f.Rule)
}

// Package returns the directory of the finding's package, relative to the working directory.
func (f Finding) Package() string { return path.Dir(f.File) }

// IsInTest reports whether the finding is in a test file.
func (f Finding) IsInTest() bool { return strings.HasSuffix(f.File, "_test.go") }

// sortFindings sorts findings by position and removes duplicates: go vet reports a package's files a second time
// together with the package's tests.
func sortFindings(findings []Finding) []Finding {
	slices.SortFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Rule, b.Rule),
			cmp.Compare(a.Message, b.Message),
		)
	})
	return slices.Compact(findings)
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
