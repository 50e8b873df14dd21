// Package numberingtest reads tables of numbers as a person with the file in hand would: rule by
// rule, with no index and no compiled form. It shares no code with the analysis, so that what the
// analysis decides, and what a program's records say it did, can be checked against it.
package numberingtest

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Rules are the part of a file of rules that is understood here. The one condition of time that may
// be named is Office.
type Rules struct {
	Version string   `toml:"version"`
	Default string   `toml:"default,omitempty"`
	Barred  []Barred `toml:"barred"`
	Prefix  []Prefix `toml:"prefix"`
	Range   []Range  `toml:"range"`
	Route   []Route  `toml:"route"`
	When    []When   `toml:"when"`
}

// Barred numbers begin with a prefix, and are barred for these classes or for all.
type Barred struct {
	Prefix  string   `toml:"prefix"`
	Cause   int      `toml:"cause,omitempty"`
	Classes []string `toml:"classes,omitempty"`
}

// A Prefix leads to a route.
type Prefix struct {
	Prefix string `toml:"prefix"`
	Route  string `toml:"route"`
	Ported bool   `toml:"ported,omitempty"`
}

// A Range leads to a route, First to Last.
type Range struct {
	First string `toml:"first"`
	Last  string `toml:"last"`
	Route string `toml:"route"`
}

// A Route is a list of targets.
type Route struct {
	Name   string   `toml:"name"`
	Target []Target `toml:"target"`
}

// A Target is a pool in a step, open always or in office hours.
type Target struct {
	Pool   int    `toml:"pool"`
	Step   int    `toml:"step"`
	Weight int    `toml:"weight"`
	When   string `toml:"when,omitempty"`
}

// When is a condition of time.
type When struct {
	Name  string   `toml:"name"`
	Hours []string `toml:"hours"`
}

// Office is the condition that is understood: 08:00 to 18:00, UTC.
const Office = "office"

// steps bounds the steps of a route that are looked at.
const steps = 3

// TOML is the file.
func (r *Rules) TOML() ([]byte, error) {
	var b bytes.Buffer
	err := toml.NewEncoder(&b).Encode(r)
	return b.Bytes(), err
}

// A Word is what the file says of a number: a cause, or pools in the order of their steps, those
// of one step in any order among each other.
type Word struct {
	Cause int
	Steps [][]int
}

// String implements fmt.Stringer.
func (w Word) String() string {
	if w.Cause != 0 {
		return fmt.Sprint("refused ", w.Cause)
	}
	return fmt.Sprint("routed ", w.Steps)
}

// Begins tells whether pools tried one after the other, each once, are as the word has them; the
// last of its pools need not have been tried.
func (w Word) Begins(pools []int) bool {
	for _, step := range w.Steps {
		n := min(len(step), len(pools))
		seen := slices.Sorted(slices.Values(pools[:n]))
		if len(slices.Compact(seen)) < n || slices.ContainsFunc(seen, func(p int) bool { return !slices.Contains(step, p) }) {
			return false
		}
		pools = pools[n:]
	}
	return len(pools) == 0
}

// Pools counts them.
func (w Word) Pools() (n int) {
	for _, step := range w.Steps {
		n += len(step)
	}
	return n
}

// Decide reads the file for a number in E.164 form, without the plus, that has not moved.
func (r *Rules) Decide(number, class string, at time.Time) Word {
	return r.DecideMoved(number, "", class, at)
}

// DecideMoved is Decide where a look-up has said where the number has moved to; "": it stays. That
// counts only where the file says that its numbers may have moved.
func (r *Rules) DecideMoved(number, moved, class string, at time.Time) Word {
	bar, n := 0, 0
	for _, b := range r.Barred {
		if len(b.Prefix) > n && strings.HasPrefix(number, b.Prefix) {
			n, bar = len(b.Prefix), 0
			if len(b.Classes) == 0 || slices.Contains(b.Classes, class) {
				if bar = b.Cause; bar == 0 {
					bar = 21 // call rejected
				}
			}
		}
	}
	if bar != 0 {
		return Word{Cause: bar}
	}
	to, ported, found := r.longest(number)
	if !found {
		to = r.Default
	}
	if ported && moved != "" {
		if to, _, found = r.longest(moved); !found {
			return Word{Cause: 3} // no route to destination
		}
	}
	if to == "" {
		return Word{Cause: 1} // unallocated number
	}
	hour := at.UTC().Hour()
	var w Word
	for _, route := range r.Route {
		if route.Name != to {
			continue
		}
		for step := range steps {
			var open []int
			for _, g := range route.Target {
				if g.Step == step && (g.When == "" || hour >= 8 && hour < 18) {
					open = append(open, g.Pool)
				}
			}
			if len(open) > 0 {
				w.Steps = append(w.Steps, open)
			}
		}
	}
	return w
}

// longest finds the route of the longest prefix, or of the range, that a number falls under.
func (r *Rules) longest(number string) (to string, ported, found bool) {
	best := -1
	for _, p := range r.Prefix {
		if strings.HasPrefix(number, p.Prefix) && len(p.Prefix) > best {
			to, ported, found, best = p.Route, p.Ported, true, len(p.Prefix)
		}
	}
	for _, x := range r.Range { // longer than any prefix, as Any draws them
		if len(number) >= len(x.First) && number[:len(x.First)] >= x.First && number[:len(x.First)] <= x.Last {
			to, ported, found = x.Route, false, true
		}
	}
	return to, ported, found
}

// Any draws the nth rules over numbers of seven digits to so many pools, six at the least. Their
// prefixes lie within one another, a range lies among them, some numbers are barred, some for a class
// alone, and every other file leaves what is not matched unallocated.
func Any(rng *rand.Rand, n, pools int, class string) *Rules {
	r := &Rules{Version: fmt.Sprint(n), When: []When{{Name: Office, Hours: []string{"08:00-18:00"}}}}
	for i := range 6 {
		route := Route{Name: fmt.Sprint("r", i)}
		order := rng.Perm(pools) // no pool is in a route twice
		for step := range steps {
			for range 1 + rng.IntN(2) {
				g := Target{Pool: order[0], Step: step, Weight: 1 + rng.IntN(4)}
				order = order[1:]
				if step == 0 && i%2 == 0 {
					g.When = Office
				}
				route.Target = append(route.Target, g)
			}
		}
		r.Route = append(r.Route, route)
		r.Prefix = append(r.Prefix, Prefix{Prefix: fmt.Sprint(1 + i), Route: route.Name})
	}
	first := 2_000_000 + rng.IntN(500_000)
	r.Range = []Range{{First: fmt.Sprint(first), Last: fmt.Sprint(first + rng.IntN(300_000)), Route: "r1"}}
	meets := func(p string) bool { // where a prefix and a range meet, the rules would not compile
		return p+strings.Repeat("9", 7-len(p)) >= r.Range[0].First && p+strings.Repeat("0", 7-len(p)) <= r.Range[0].Last
	}
	for len(r.Prefix) < 80 {
		p := fmt.Sprint(10 + rng.IntN(90000))
		if meets(p) || strings.HasPrefix(p, "9") || slices.ContainsFunc(r.Prefix, func(o Prefix) bool { return o.Prefix == p }) {
			continue
		}
		r.Prefix = append(r.Prefix, Prefix{Prefix: p, Route: fmt.Sprint("r", rng.IntN(6))})
	}
	r.Barred = []Barred{{Prefix: "98"}, {Prefix: "97", Cause: 17, Classes: []string{class}}, {Prefix: "9712", Cause: 18}}
	if n%2 == 0 {
		r.Default = "r2"
	}
	return r
}
