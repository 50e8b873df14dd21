package numberingtest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Sizes of the rules that RandomRules returns.
const (
	routeCount   = 6
	prefixCount  = 80
	numberLength = 7
	maxWeight    = 4
)

// RandomRules returns random rules for numbers of seven digits. Their targets are pools 0 to pools-1; pools must be at
// least six. The rules contain nested prefixes and a range; some numbers are barred, some of them for one class only.
// Rules with an even n have a default route; with an odd n, numbers that no prefix matches are unallocated.
func RandomRules(rng *rand.Rand, n, pools int, class string) *Rules {
	r := &Rules{
		Version: fmt.Sprint(n),
		When:    []Condition{{Name: Office, Hours: []string{"08:00-18:00"}}},
	}
	for i := range routeCount {
		route := randomRoute(rng, i, pools)
		r.Route = append(r.Route, route)
		r.Prefix = append(r.Prefix, Prefix{Prefix: fmt.Sprint(1 + i), Route: route.Name})
	}
	first := 2_000_000 + rng.IntN(500_000)
	last := first + rng.IntN(300_000)
	r.Range = []Range{{First: fmt.Sprint(first), Last: fmt.Sprint(last), Route: "r1"}}
	for len(r.Prefix) < prefixCount {
		prefix := fmt.Sprint(10 + rng.IntN(90000))
		if r.isPrefixFree(prefix) {
			r.Prefix = append(r.Prefix, Prefix{Prefix: prefix, Route: routeName(rng.IntN(routeCount))})
		}
	}
	r.Barred = []Bar{
		{Prefix: "98"},
		{Prefix: "97", Cause: 17, Classes: []string{class}},
		{Prefix: "9712", Cause: 18},
	}
	if n%2 == 0 {
		r.Default = "r2"
	}
	return r
}

func routeName(index int) string { return fmt.Sprint("r", index) }

// randomRoute returns a random route in which no pool occurs twice. In routes with an even index, the first step is
// only open in office hours.
func randomRoute(rng *rand.Rand, index, pools int) Route {
	route := Route{Name: routeName(index)}
	shuffled := rng.Perm(pools)
	for step := range stepCount {
		for range 1 + rng.IntN(2) {
			target := Target{Pool: shuffled[0], Step: step, Weight: 1 + rng.IntN(maxWeight)}
			shuffled = shuffled[1:]
			if step == 0 && index%2 == 0 {
				target.When = Office
			}
			route.Target = append(route.Target, target)
		}
	}
	return route
}

// isPrefixFree reports whether a prefix can be added: it must be new, not be barred, and not overlap the range, since
// such rules do not compile.
func (r *Rules) isPrefixFree(prefix string) bool {
	padding := numberLength - len(prefix)
	low, high := prefix+strings.Repeat("0", padding), prefix+strings.Repeat("9", padding)
	isInRange := high >= r.Range[0].First && low <= r.Range[0].Last
	isBarred := strings.HasPrefix(prefix, "9")
	exists := slices.ContainsFunc(r.Prefix, func(other Prefix) bool { return other.Prefix == prefix })
	return !isInRange && !isBarred && !exists
}
