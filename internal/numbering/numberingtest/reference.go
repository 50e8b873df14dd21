// Package numberingtest is a reference implementation of number analysis for tests. It searches the rules linearly,
// without an index or a compiled form, and shares no code with package numbering. Tests compare the decisions of that
// package, and the records of programs that use it, with its results.
package numberingtest

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Rules is the part of a rules file that the reference implementation supports. The only condition is Office.
type Rules struct {
	Version string      `toml:"version"`
	Default string      `toml:"default,omitempty"`
	Barred  []Bar       `toml:"barred"`
	Prefix  []Prefix    `toml:"prefix"`
	Range   []Range     `toml:"range"`
	Route   []Route     `toml:"route"`
	When    []Condition `toml:"when"`
}

// Bar rejects calls of the listed classes, or of all classes if there are none, to numbers with a prefix.
type Bar struct {
	Prefix  string   `toml:"prefix"`
	Cause   int      `toml:"cause,omitempty"` // Q.850; 0: 21, call rejected
	Classes []string `toml:"classes,omitempty"`
}

// Prefix assigns a route to the numbers with a prefix.
type Prefix struct {
	Prefix string `toml:"prefix"`
	Route  string `toml:"route"`
	Ported bool   `toml:"ported,omitempty"`
}

// Range assigns a route to a block of numbers, from First to Last.
type Range struct {
	First string `toml:"first"`
	Last  string `toml:"last"`
	Route string `toml:"route"`
}

// Route is a list of targets, tried in the order of their steps.
type Route struct {
	Name   string   `toml:"name"`
	Target []Target `toml:"target"`
}

// Target is a pool in a step. It is open always, or only in office hours if When is Office.
type Target struct {
	Pool   int    `toml:"pool"`
	Step   int    `toml:"step"`
	Weight int    `toml:"weight"`
	When   string `toml:"when,omitempty"`
}

// isOpen reports whether the target is open at a time.
func (t *Target) isOpen(at time.Time) bool {
	hour := at.UTC().Hour()
	return t.When == "" || hour >= 8 && hour < 18
}

// Condition is a set of times.
type Condition struct {
	Name  string   `toml:"name"`
	Hours []string `toml:"hours"`
}

// Office is the name of the only condition, which holds from 08:00 to 18:00 UTC.
const Office = "office"

// stepCount is the number of steps of a route. Targets of later steps are ignored.
const stepCount = 3

// Q.850 causes of rejections.
const (
	causeUnallocated = 1
	causeNoRoute     = 3
	causeRejected    = 21
)

// TOML encodes the rules as a rules file.
func (r *Rules) TOML() ([]byte, error) {
	var b bytes.Buffer
	err := toml.NewEncoder(&b).Encode(r)
	return b.Bytes(), err
}

// Expectation is the expected decision for a number: a rejection with a Q.850 cause, or the pools of each step, in
// order of the steps. The pools of one step may be tried in any order.
type Expectation struct {
	Cause int // 0: the call is routed
	Steps [][]int
}

// String returns the expectation as text.
func (e Expectation) String() string {
	if e.Cause != 0 {
		return fmt.Sprint("refused ", e.Cause)
	}
	return fmt.Sprint("routed ", e.Steps)
}

// AllowsOrder reports whether the expectation allows that pools were tried in the given order. The last pools of the
// expectation need not have been tried.
func (e Expectation) AllowsOrder(pools []int) bool {
	for _, step := range e.Steps {
		n := min(len(step), len(pools))
		tried := slices.Sorted(slices.Values(pools[:n]))
		isInStep := func(pool int) bool { return slices.Contains(step, pool) }
		if len(slices.Compact(tried)) < n || !allOf(pools[:n], isInStep) {
			return false
		}
		pools = pools[n:]
	}
	return len(pools) == 0
}

func allOf(pools []int, holds func(int) bool) bool {
	return !slices.ContainsFunc(pools, func(pool int) bool { return !holds(pool) })
}

// PoolCount returns the total number of pools of all steps.
func (e Expectation) PoolCount() (n int) {
	for _, step := range e.Steps {
		n += len(step)
	}
	return n
}

// Decide returns the expected decision for a number that has not been ported, in E.164 form without the plus sign.
func (r *Rules) Decide(number, class string, at time.Time) Expectation {
	return r.DecidePorted(number, "", class, at)
}

// DecidePorted is like Decide with the routing number that a portability look-up returned; "": the number has not been
// ported. The routing number is ignored unless the longest match is marked as ported.
func (r *Rules) DecidePorted(number, routingNumber, class string, at time.Time) Expectation {
	if cause := r.barredCause(number, class); cause != 0 {
		return Expectation{Cause: cause}
	}
	match, found := r.longestMatch(number)
	if !found {
		match.Route = r.Default
	}
	if match.Ported && routingNumber != "" {
		if match, found = r.longestMatch(routingNumber); !found {
			return Expectation{Cause: causeNoRoute}
		}
	}
	if match.Route == "" {
		return Expectation{Cause: causeUnallocated}
	}
	return Expectation{Steps: r.openSteps(match.Route, at)}
}

// barredCause returns the cause of the longest bar that matches a number, or 0 if that bar does not apply to the class.
func (r *Rules) barredCause(number, class string) int {
	cause, length := 0, 0
	for _, b := range r.Barred {
		if len(b.Prefix) <= length || !strings.HasPrefix(number, b.Prefix) {
			continue
		}
		cause, length = 0, len(b.Prefix)
		if len(b.Classes) > 0 && !slices.Contains(b.Classes, class) {
			continue
		}
		cause = b.Cause
		if cause == 0 {
			cause = causeRejected
		}
	}
	return cause
}

// longestMatch returns the range that contains a number or, if there is none, the longest prefix that matches it.
func (r *Rules) longestMatch(number string) (match Prefix, found bool) {
	for _, p := range r.Prefix {
		if strings.HasPrefix(number, p.Prefix) && (!found || len(p.Prefix) > len(match.Prefix)) {
			match, found = p, true
		}
	}
	for _, x := range r.Range { // ranges have longer numbers than any prefix of RandomRules
		if len(number) < len(x.First) {
			continue
		}
		if head := number[:len(x.First)]; head >= x.First && head <= x.Last {
			match, found = Prefix{Route: x.Route}, true
		}
	}
	return match, found
}

// openSteps returns the open pools of a route by step. Steps without open pools are left out.
func (r *Rules) openSteps(name string, at time.Time) [][]int {
	var steps [][]int
	for _, route := range r.Route {
		if route.Name != name {
			continue
		}
		for step := range stepCount {
			var open []int
			for _, tgt := range route.Target {
				if tgt.Step == step && tgt.isOpen(at) {
					open = append(open, tgt.Pool)
				}
			}
			if len(open) > 0 {
				steps = append(steps, open)
			}
		}
	}
	return steps
}
