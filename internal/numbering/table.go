package numbering

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// A Time is a reading of the Unix clock.
type Time = time.Duration

// An Env is what rules must fit: what the deployment has.
type Env struct {
	Classes []Class
	Now     Time // conditions are looked at for a year from then on
}

// A Class is a kind of call, with the pools that can take it; nil: all.
type Class struct {
	Name  string
	Pools []int
}

// A Table is compiled rules. It never changes.
type Table struct {
	Version string
	digest  [sha256.Size]byte
	most    int
	plans   []Plan
	steps   []Translation // the longest match first
	urgent  map[string]int32
	bars    trie
	barLine [][]string // classes that a bar is for
	numbers trie
	routes  []route
	byName  map[string]int32
	whens   []when
	other   int32 // route of numbers that nothing matches, -1: none
}

// A route is compiled.
type route struct {
	name  string
	seed  uint64     // of its draws, by its name: two tables that say the same draw the same
	steps [][]target // in the order of preference
}

type target struct {
	pool   int
	weight int
	when   int32 // -1: always
}

// Digest names a table by what it says: equal for rules that differ only in the order in which
// they are written.
func (t *Table) Digest() string { return hex.EncodeToString(t.digest[:8]) }

// Entries is how many prefixes a table has.
func (t *Table) Entries() int { return len(t.numbers.entries) }

// Size is about how many bytes of memory the prefixes take.
func (t *Table) Size() int {
	return 12*(len(t.numbers.nodes)+len(t.bars.nodes)) + 16*(len(t.numbers.entries)+len(t.bars.entries))
}

// Q.850 causes.
const (
	CauseUnallocated = 1  // no route for the number
	CauseRejected    = 21 // barred
	CauseNoRoute     = 3  // its route has no target at this time
)

// maxFaults bounds what Compile tells of one set of rules.
const maxFaults = 100

// compiler collects what is wrong.
type compiler struct {
	t      *Table
	env    Env
	faults []error
	used   map[string]bool // routes
	whens  map[string]int32
	usedW  map[string]bool
}

func (c *compiler) fault(entry string, format string, args ...any) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, &RuleError{entry, fmt.Errorf(format, args...)})
	}
}

// Compile makes a Table of rules, or tells all that is wrong with them: an error that joins
// Faults.
func Compile(r *Rules, env Env) (*Table, error) {
	t := &Table{Version: r.Version, most: r.MostDigits, urgent: make(map[string]int32), byName: make(map[string]int32), other: -1}
	if t.most == 0 {
		t.most = 15 // E.164
	}
	c := &compiler{t: t, env: env, used: make(map[string]bool), whens: make(map[string]int32), usedW: make(map[string]bool)}
	if t.most < 1 || t.most > maxDigits {
		c.fault("max_digits", "%d is not between 1 and %d", t.most, maxDigits)
	}
	for _, n := range []struct {
		what    string
		n, most int
	}{{"prefix and range", len(r.Prefix) + len(r.Range), maxPrefixes}, {"barred", len(r.Barred), maxPrefixes}, {"route", len(r.Route), maxRoutes}, {"when", len(r.When), maxConditions},
		{"plan", len(r.Plan), maxPlans}, {"translate", len(r.Translate), maxRoutes}, {"emergency", len(r.Emergency), maxRoutes}} {
		if n.n > n.most {
			c.fault(n.what, "%d entries are more than %d", n.n, n.most)
		}
	}
	if len(c.faults) > 0 { // nothing of that size is looked at
		return nil, errors.Join(c.faults...)
	}
	c.conditions(r)
	c.routes(r)
	c.plans(r)
	c.translations(r)
	c.emergencies(r)
	c.bars(r)
	c.numbers(r)
	if r.Default != "" {
		t.other = c.route("default", r.Default)
	}
	for i, x := range r.Route {
		if !c.used[x.Name] {
			c.fault(fmt.Sprintf("route %d (%s)", i+1, x.Name), "nothing leads to it")
		}
	}
	for i, x := range r.When {
		if !c.usedW[x.Name] {
			c.fault(fmt.Sprintf("when %d (%s)", i+1, x.Name), "no target names it")
		}
	}
	if len(c.faults) > 0 {
		return nil, errors.Join(c.faults...)
	}
	t.digest = digest(r, t.most)
	return t, nil
}

func (c *compiler) conditions(r *Rules) {
	for i := range r.When {
		x := &r.When[i]
		name := fmt.Sprintf("when %d (%s)", i+1, x.Name)
		w, err := compileCondition(x)
		if err != nil {
			c.fault(name, "%w", err)
		}
		if _, there := c.whens[x.Name]; there || x.Name == "" {
			c.fault(name, "the name is missing or there twice")
		}
		c.whens[x.Name] = int32(len(c.t.whens))
		c.t.whens = append(c.t.whens, w)
	}
}

func (c *compiler) routes(r *Rules) {
	for i, x := range r.Route {
		name := fmt.Sprintf("route %d (%s)", i+1, x.Name)
		if _, there := c.t.byName[x.Name]; there || x.Name == "" {
			c.fault(name, "the name is missing or there twice")
		}
		if len(x.Target) == 0 || len(x.Target) > maxTargets {
			c.fault(name, "%d targets; there must be 1 to %d", len(x.Target), maxTargets)
		}
		out := route{name: x.Name, seed: Seed(x.Name)}
		targets := slices.Clone(x.Target)
		slices.SortStableFunc(targets, func(a, b Target) int { return cmp.Compare(a.Step, b.Step) })
		for k, g := range targets {
			w := target{pool: g.Pool, weight: g.Weight, when: -1}
			if w.weight == 0 {
				w.weight = 1
			}
			if g.Pool < 0 || g.Pool > maxPool || w.weight < 0 || w.weight > 1<<20 {
				c.fault(name, "pool %d, weight %d: neither may be negative, a pool at most %d, a weight at most %d", g.Pool, g.Weight, maxPool, 1<<20)
			} else if !c.usable(g.Pool) {
				c.fault(name, "pool %d: no class may use it", g.Pool)
			}
			if g.When != "" {
				n, ok := c.whens[g.When]
				if !ok {
					c.fault(name, "there is no condition %q", g.When)
					n = -1
				}
				w.when = n
				c.usedW[g.When] = true
			}
			if k == 0 || targets[k-1].Step != g.Step {
				out.steps = append(out.steps, nil)
			}
			s := &out.steps[len(out.steps)-1]
			*s = append(*s, w)
		}
		for _, s := range out.steps {
			slices.SortFunc(s, func(a, b target) int {
				return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.when, b.when), cmp.Compare(a.weight, b.weight))
			})
		}
		c.t.byName[x.Name] = int32(len(c.t.routes))
		c.t.routes = append(c.t.routes, out)
		if at, hole := c.hole(&out); hole && len(c.faults) == 0 {
			c.fault(name, "it has no target at some times, first on %s", time.Unix(0, int64(at)).UTC().Format("Mon 2006-01-02 15:04 UTC"))
		}
	}
}

// usable tells whether any class may use a pool.
func (c *compiler) usable(pool int) bool {
	return len(c.env.Classes) == 0 || slices.ContainsFunc(c.env.Classes, func(k Class) bool { return k.Pools == nil || slices.Contains(k.Pools, pool) })
}

// hole finds the first time within a year at which a route has no target. Conditions only change at
// the full minutes that they name, at midnight, and where a zone's clock is set; so it is enough to
// look there, and a minute before, on every day.
func (c *compiler) hole(r *route) (Time, bool) {
	var conditions []*when
	for _, s := range r.steps {
		for _, g := range s {
			if g.when < 0 {
				return 0, false
			}
			if w := &c.t.whens[g.when]; !slices.Contains(conditions, w) {
				conditions = append(conditions, w)
			}
		}
	}
	for d := range 367 {
		for _, w := range conditions {
			midnight := time.Unix(0, int64(c.env.Now)).In(w.zone).AddDate(0, 0, d)
			y, m, dd := midnight.Date()
			looks := []int{0, 1439}
			for _, h := range w.hours {
				looks = append(looks, h.from, h.from-1, h.to, h.to-1)
			}
			for hour := range 24 { // and where the zone's clock may be set
				looks = append(looks, hour*60)
			}
			for _, minute := range looks {
				at := Time(time.Date(y, m, dd, 0, minute, 0, 0, w.zone).UnixNano())
				if at >= c.env.Now && !slices.ContainsFunc(conditions, func(w *when) bool { return w.holds(at) }) {
					return at, true
				}
			}
		}
	}
	return 0, false
}

// route finds a route by its name for an entry that leads there.
func (c *compiler) route(entry, name string) int32 {
	n, ok := c.t.byName[name]
	if !ok {
		c.fault(entry, "there is no route %q", name)
		return -1
	}
	c.used[name] = true
	return n
}

func (c *compiler) plans(r *Rules) {
	for i, p := range r.Plan {
		name := fmt.Sprintf("plan %d (%s)", i+1, p.Name)
		if p.Country != "" && !isDigits(p.Country) || p.International != "" && !isDigits(p.International) || p.National != "" && !isDigits(p.National) {
			c.fault(name, "country, international and national are digits")
		}
		if p.MinDigits < 0 || p.MaxDigits < p.MinDigits || len(p.Country)+p.MaxDigits > c.t.most {
			c.fault(name, "national numbers of %d to %d digits do not fit %d in all", p.MinDigits, p.MaxDigits, c.t.most)
		}
		if p.International != "" && p.International == p.National {
			c.fault(name, "the national and the international prefix are the same")
		}
	}
	if len(r.Plan) > 1 {
		c.fault("plan 2", "one table has one plan; a second needs a table of its own")
	}
	c.t.plans = slices.Clone(r.Plan)
}

func (c *compiler) translations(r *Rules) {
	all := slices.Clone(r.Translate)
	seen := make(map[string]int)
	for i, x := range all {
		name := fmt.Sprintf("translate %d (%s)", i+1, x.Match)
		if !isDigits(x.Match) || x.Add != "" && !isDigits(x.Add) || x.Strip < 0 || x.Strip > len(x.Match) {
			c.fault(name, "match and add are digits, and strip no more than match has")
		}
		key := fmt.Sprint(x.Match, x.Exact)
		if first, there := seen[key]; there {
			c.fault(name, "unreachable: translate %d matches the same", first)
		}
		seen[key] = i + 1
	}
	// A loop is a round of translations, each of which may bring a number that the next matches,
	// and which does not make the number shorter.
	for i := range all {
		grown, at := 0, i
		path := []int{}
		for range len(all) + 1 {
			path = append(path, at+1)
			x := all[at]
			if grown += len(x.Add) - x.Strip; len(path) > 1 && at == i && grown >= 0 {
				c.fault(fmt.Sprintf("translate %d (%s)", i+1, x.Match), "a loop, by way of entries %v", path)
				break
			}
			head := x.Add + x.Match[min(x.Strip, len(x.Match)):]
			next := slices.IndexFunc(all, func(y Translation) bool {
				return strings.HasPrefix(head, y.Match) && (!y.Exact || x.Exact && head == y.Match)
			})
			if next < 0 || len(path) > 1 && at == i {
				break
			}
			at = next
		}
	}
	slices.SortStableFunc(all, func(a, b Translation) int {
		exact := func(x Translation) int {
			if x.Exact {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(exact(a), exact(b)), cmp.Compare(len(b.Match), len(a.Match)), strings.Compare(a.Match, b.Match))
	})
	c.t.steps = all
}

func (c *compiler) emergencies(r *Rules) {
	for i, x := range r.Emergency {
		name := fmt.Sprintf("emergency %d (%s)", i+1, x.Number)
		if !isDigits(x.Number) {
			c.fault(name, "the number is not digits alone")
		}
		if _, there := c.t.urgent[x.Number]; there {
			c.fault(name, "the number is there twice")
		}
		c.t.urgent[x.Number] = c.route(name, x.Route)
	}
}

func (c *compiler) bars(r *Rules) {
	var b builder
	entries := make([]entry, 0, len(r.Barred))
	for i, x := range r.Barred {
		name := fmt.Sprintf("barred %d (%s)", i+1, x.Prefix)
		e := entry{route: -1, cause: int16(x.Cause), only: -1, line: int32(i + 1)}
		if x.Cause == 0 {
			e.cause = CauseRejected
		}
		if x.Cause < 0 || x.Cause > 127 {
			c.fault(name, "cause %d is not of Q.850 (1 to 127)", x.Cause)
		}
		if !isDigits(x.Prefix) || len(x.Prefix) > c.t.most {
			c.fault(name, "the prefix is not digits alone, at most %d", c.t.most)
			continue
		}
		if len(x.Classes) > 0 {
			for _, k := range x.Classes {
				if len(c.env.Classes) > 0 && !slices.ContainsFunc(c.env.Classes, func(o Class) bool { return o.Name == k }) {
					c.fault(name, "there is no class %q", k)
				}
			}
			e.only = int32(len(c.t.barLine))
			c.t.barLine = append(c.t.barLine, slices.Clone(x.Classes))
		}
		entries = append(entries, e)
		b.add(x.Prefix, int32(len(entries)-1))
	}
	t, err := b.build(entries)
	var twice *equal
	if errors.As(err, &twice) {
		c.fault(fmt.Sprintf("barred %d", entries[twice.b].line), "%v, also as barred %d", twice, entries[twice.a].line)
	}
	c.t.bars = t
}

func (c *compiler) numbers(r *Rules) {
	var b builder
	entries := make([]entry, 0, len(r.Prefix)+len(r.Range))
	names := func(line int32) string { // ranges count on behind the prefixes
		if int(line) <= len(r.Prefix) {
			return fmt.Sprintf("prefix %d (%s)", line, r.Prefix[line-1].Prefix)
		}
		x := r.Range[int(line)-len(r.Prefix)-1]
		return fmt.Sprintf("range %d (%s to %s)", int(line)-len(r.Prefix), x.First, x.Last)
	}
	known := make(map[string]int32)
	lead := func(line int32, to string) int32 {
		if n, ok := known[to]; ok {
			return n
		}
		n := c.route(names(line), to)
		known[to] = n
		return n
	}
	add := func(line int32, prefix, to string, ported bool) {
		if e, n := c.t.bars.find([]byte(prefix)); e >= 0 && n > 0 && c.t.bars.entries[e].only < 0 {
			c.fault(names(line), "unreachable: barred %d bars it", c.t.bars.entries[e].line)
		}
		entries = append(entries, entry{route: lead(line, to), ported: ported, only: -1, line: line})
		b.add(prefix, int32(len(entries)-1))
	}
	for i, x := range r.Prefix {
		line := int32(i + 1)
		if !isDigits(x.Prefix) || len(x.Prefix) > c.t.most {
			c.fault(names(line), "the prefix is not digits alone, at most %d", c.t.most)
			continue
		}
		add(line, x.Prefix, x.Route, x.Ported)
	}
	order := make([]int, len(r.Range))
	for i, x := range r.Range {
		order[i] = i
		line := int32(len(r.Prefix) + i + 1)
		if !isDigits(x.First) || len(x.First) != len(x.Last) || !isDigits(x.Last) || x.Last < x.First || len(x.First) > c.t.most {
			c.fault(names(line), "first and last are digits, as many of each, in their order")
			continue
		}
		for _, p := range rangePrefixes(x.First, x.Last) {
			add(line, p, x.Route, x.Ported)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(len(r.Range[a].First), len(r.Range[b].First)), strings.Compare(r.Range[a].First, r.Range[b].First))
	})
	for i := 1; i < len(order); i++ {
		x, y := r.Range[order[i-1]], r.Range[order[i]]
		if len(x.First) == len(y.First) && y.First <= x.Last {
			c.fault(names(int32(len(r.Prefix)+order[i]+1)), "overlaps range %d", order[i-1]+1)
		}
	}
	c.across(r, order)
	if len(entries) > maxPrefixes {
		c.fault("range", "ranges take %d prefixes, more than %d", len(entries), maxPrefixes)
		return
	}
	t, err := b.build(entries)
	var twice *equal
	if errors.As(err, &twice) && len(c.faults) < maxFaults {
		c.fault(names(entries[twice.b].line), "%v, also as %s", twice, names(entries[twice.a].line))
	}
	c.t.numbers = t
}

// across finds prefixes that lie within a range, or across its end, and are no longer than its
// numbers. Which of the two is the longer match would hang on the blocks that the range is made of:
// in its middle the prefix would win, at its ends the range. The rules must say it. order is that of
// the ranges by length and first number.
func (c *compiler) across(r *Rules, order []int) {
	byLength := make(map[int][]int)
	for _, i := range order {
		if x := r.Range[i]; isDigits(x.First) && len(x.First) == len(x.Last) {
			byLength[len(x.First)] = append(byLength[len(x.First)], i)
		}
	}
	for n, p := range r.Prefix {
		for length, ranges := range byLength {
			if len(p.Prefix) > length {
				continue // it is one of numbers that go on: always the longer match
			}
			rest := length - len(p.Prefix)
			lo, hi := p.Prefix+strings.Repeat("0", rest), p.Prefix+strings.Repeat("9", rest)
			// Ranges of one length do not overlap: only the first and the last that the prefix meets can
			// reach beyond it.
			at, _ := slices.BinarySearchFunc(ranges, lo, func(i int, lo string) int { return strings.Compare(r.Range[i].Last, lo) })
			for ; at < len(ranges) && r.Range[ranges[at]].First <= hi; at++ {
				if x := r.Range[ranges[at]]; x.First < lo || x.Last > hi {
					c.fault(fmt.Sprintf("prefix %d (%s)", n+1, p.Prefix), "it lies within range %d (%s to %s), or across its end; split the range there", ranges[at]+1, x.First, x.Last)
				}
			}
		}
	}
}

// rangePrefixes are the prefixes that cover the numbers from first to last, both of one length: as few
// as can be, two for each digit and step at the most.
func rangePrefixes(first, last string) []string {
	common := 0
	for common < len(first) && first[common] == last[common] {
		common++
	}
	if common == len(first) || allDigits(first[common:], '0') && allDigits(last[common:], '9') {
		return []string{first[:common]}
	}
	var out []string
	head := first[:common]
	lo, hi := first[common], last[common]
	if rest := first[common+1:]; !allDigits(rest, '0') {
		out = append(out, rangePrefixes(first, head+string(lo)+strings.Repeat("9", len(rest)))...)
		lo++
	}
	tail := last[common+1:]
	end := hi
	if !allDigits(tail, '9') {
		end--
	}
	for d := lo; d <= end; d++ {
		out = append(out, head+string(d))
	}
	if end < hi {
		out = append(out, rangePrefixes(head+string(hi)+strings.Repeat("0", len(tail)), last)...)
	}
	return out
}

func allDigits(s string, d byte) bool {
	for i := range len(s) {
		if s[i] != d {
			return false
		}
	}
	return true
}

// digest sums up what rules say, whatever the order they are written in.
func digest(r *Rules, most int) [sha256.Size]byte {
	lines := make([]string, 0, len(r.Prefix)+len(r.Range)+len(r.Barred)+16)
	put := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	put("max %d default %q", most, r.Default)
	for _, x := range r.Plan {
		put("plan %q %q %q %q %d %d", x.Name, x.Country, x.International, x.National, x.MinDigits, x.MaxDigits)
	}
	for _, x := range r.Translate {
		put("translate %q %v %d %q", x.Match, x.Exact, x.Strip, x.Add)
	}
	for _, x := range r.Emergency {
		put("emergency %q %q", x.Number, x.Route)
	}
	for _, x := range r.Barred {
		cause := x.Cause
		if cause == 0 {
			cause = CauseRejected
		}
		classes := slices.Sorted(slices.Values(x.Classes))
		put("barred %q %d %q", x.Prefix, cause, classes)
	}
	for _, x := range r.Prefix {
		put("prefix %q %q %v", x.Prefix, x.Route, x.Ported)
	}
	for _, x := range r.Range {
		put("range %q %q %q %v", x.First, x.Last, x.Route, x.Ported)
	}
	for _, x := range r.Route {
		for _, g := range x.Target {
			put("route %q %d %d %d %q", x.Name, g.Step, g.Pool, max(g.Weight, 1), g.When)
		}
	}
	for _, x := range r.When {
		sorted := func(s []string) []string { return slices.Sorted(slices.Values(s)) }
		put("when %q %q %q %q %q %q %v", x.Name, x.Zone, sorted(x.Weekdays), sorted(x.Hours), sorted(x.Dates), sorted(x.Holidays), x.Not)
	}
	slices.Sort(lines)
	h := sha256.New()
	for _, l := range lines {
		_, _ = h.Write([]byte(l))
		_, _ = h.Write([]byte{'\n'})
	}
	return [sha256.Size]byte(h.Sum(nil))
}
