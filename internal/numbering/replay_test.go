package numbering

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// naive decides on a number in E.164 form by looking at every rule, in no other way than a reader
// of the file would: it shares nothing with the tables but the rules.
func naive(r *Rules, number, class string, office bool) string {
	longest := func(have string, n int) bool { return len(have) > n && strings.HasPrefix(number, have) }
	barred, n := "", 0
	for _, b := range r.Barred {
		if longest(b.Prefix, n) {
			n = len(b.Prefix)
			if barred = ""; len(b.Classes) == 0 || slices.Contains(b.Classes, class) {
				barred = fmt.Sprint("refused ", max(b.Cause, 0))
				if b.Cause == 0 {
					barred = "refused 21"
				}
			}
		}
	}
	if barred != "" {
		return barred
	}
	to, best := r.Default, -1
	for _, p := range r.Prefix {
		if strings.HasPrefix(number, p.Prefix) && len(p.Prefix) > best {
			to, best = p.Route, len(p.Prefix)
		}
	}
	for _, x := range r.Range {
		if len(number) >= len(x.First) && number[:len(x.First)] >= x.First && number[:len(x.First)] <= x.Last {
			to = x.Route
		}
	}
	if to == "" {
		return "refused 1"
	}
	for _, route := range r.Route {
		if route.Name != to {
			continue
		}
		var pools []string
		for step := range 3 {
			var open []int
			for _, g := range route.Target {
				if g.Step == step && (g.When == "" || office) {
					open = append(open, g.Pool)
				}
			}
			slices.Sort(open) // which of a step comes first is drawn
			if len(open) > 0 {
				pools = append(pools, fmt.Sprint(open))
			}
		}
		return "routed " + strings.Join(pools, " then ")
	}
	return "no route"
}

// shown is a decision in the same words; the pools of each step are sorted.
func shown(r *Rules, d *Decision) string {
	if d.Verdict == Refused {
		return fmt.Sprint("refused ", d.Cause)
	}
	var pools []string
	left := d.Pools()
	for _, route := range r.Route {
		if route.Name != d.Route {
			continue
		}
		for step := range 3 {
			var open []int
			for len(left) > 0 && slices.ContainsFunc(route.Target, func(g Target) bool { return g.Step == step && g.Pool == left[0] }) {
				open, left = append(open, left[0]), left[1:]
			}
			slices.Sort(open)
			if len(open) > 0 {
				pools = append(pools, fmt.Sprint(open))
			}
		}
	}
	if len(left) > 0 {
		return fmt.Sprint("pools out of order: ", d.Pools())
	}
	return "routed " + strings.Join(pools, " then ")
}

// anyRules draws rules over short numbers, so that entries lie within one another.
func anyRules(rng *rand.Rand, n int) *Rules {
	r := &Rules{Version: fmt.Sprint(n), When: []Condition{{Name: "office", Hours: []string{"08:00-18:00"}}}}
	for i := range 6 {
		route := Route{Name: fmt.Sprint("r", i)}
		for step := range 3 {
			for k := range 1 + rng.IntN(2) {
				g := Target{Pool: 100*step + 10*i + k + 1000*(n%3), Step: step, Weight: 1 + rng.IntN(4)}
				if step == 0 && i%2 == 0 {
					g.When = "office"
				}
				route.Target = append(route.Target, g)
			}
		}
		r.Route = append(r.Route, route)
		r.Prefix = append(r.Prefix, Prefix{Prefix: fmt.Sprint(1 + i), Route: route.Name})
	}
	seen := make(map[string]bool)
	first := 2_000_000 + rng.IntN(500_000) // longer than any prefix
	r.Range = []Range{{First: fmt.Sprint(first), Last: fmt.Sprint(first + rng.IntN(300_000)), Route: "r1"}}
	within := func(p string) bool { // where a prefix and a range meet, the rules would not compile
		return p+strings.Repeat("9", 7-len(p)) >= r.Range[0].First && p+strings.Repeat("0", 7-len(p)) <= r.Range[0].Last
	}
	for len(r.Prefix) < 80 {
		p := fmt.Sprint(10 + rng.IntN(90000))
		if within(p) || strings.HasPrefix(p, "9") || seen[p] || slices.ContainsFunc(r.Prefix, func(o Prefix) bool { return o.Prefix == p }) {
			continue
		}
		seen[p] = true
		r.Prefix = append(r.Prefix, Prefix{Prefix: p, Route: fmt.Sprint("r", rng.IntN(6))})
	}
	r.Barred = []Barred{{Prefix: "98"}, {Prefix: "97", Cause: 17, Classes: []string{"alarm"}}, {Prefix: "9712", Cause: 18}}
	if n%2 == 0 {
		r.Default = "r2"
	}
	return r
}

// A replay of 100,000 numbers over tables that change every 500 calls: each call is decided twice,
// at its set-up and at a later attempt, when another table may be in force. Both are by the table
// that it began with, and equal what a reader of that table's rules would say.
func TestReplayAcrossTableChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 12))
	var desk Desk
	rules := make(map[string]*Rules)
	var digests []string
	for n := range 6 {
		r := anyRules(rng, n)
		table, err := Compile(r, Env{Now: now})
		if err != nil {
			t.Fatal(err)
		}
		rules[table.Digest()] = r
		digests = append(digests, table.Digest())
		if err := desk.Load(now, table); err != nil {
			t.Fatal(err)
		}
	}
	type open struct {
		pin    *Pin
		digest string // in force when it began
		q      Query
		number string
		first  string // decided at its set-up
	}
	var calls []open
	check := func(c *open) string {
		d := c.pin.Table().Analyse(&c.q)
		at := time.Unix(0, int64(c.q.At)).UTC()
		r := rules[c.digest]
		got, want := shown(r, &d), naive(r, c.number, c.q.Class, at.Hour() >= 8 && at.Hour() < 18)
		if got != want {
			t.Fatalf("%s by %s at %v: %s, a reader says %s", c.number, r.Version, at, got, want)
		}
		return fmt.Sprint(d.Verdict, d.Cause, d.Pools())
	}
	at, mixed, elsewhere := now, 0, 0
	for n := range 100_000 {
		at += time.Second
		if n%500 == 0 {
			saw := ""
			if desk.Active() != nil {
				saw = desk.Active().Digest()
			}
			if _, _, err := desk.Begin(at, Order{Op: OpActivate, Digest: digests[rng.IntN(len(digests))], Saw: saw}); err != nil {
				t.Fatal(err)
			}
			if err := desk.Finish(at, nil); err != nil {
				t.Fatal(err)
			}
		}
		number := fmt.Sprint(1_000_000 + rng.IntN(9_000_000))
		c := open{pin: desk.Pin(), digest: desk.Active().Digest(), number: number,
			q: Query{Number: "+" + number, Class: []string{"voice", "alarm"}[rng.IntN(2)], At: at, Seed: uint64(n)}}
		c.first = check(&c)
		calls = append(calls, c)
		if len(calls) < 1000 {
			continue
		}
		old := &calls[0] // another attempt, a thousand calls later
		if desk.Active().Digest() != old.digest {
			elsewhere++
		}
		if check(old) != old.first {
			mixed++
		}
		old.pin.Release()
		calls = calls[1:]
	}
	if mixed > 0 || elsewhere < 50_000 {
		t.Errorf("%d mixed; of %d calls another table was in force at a later attempt", mixed, elsewhere)
	}
	for i := range calls {
		calls[i].pin.Release()
	}
	for _, s := range desk.List() {
		if s.Pins != 0 {
			t.Errorf("%d calls hold %s after all have ended", s.Pins, s.Name)
		}
	}
}
