package numbering

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"olivedale/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

var now = Time(time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC).UnixNano())

var env = Env{Classes: []Class{{Name: "voice"}, {Name: "alarm", Pools: []int{0, 1, 2}}}, Now: now}

const rules = `
version = "test"
default = "rest"
[[plan]]
name = "chile"
country = "56"
international = "00"
national = "0"
min_digits = 8
max_digits = 9
[[translate]]
match = "7"
exact = true
strip = 1
add = "0221234567"
[[emergency]]
number = "133"
route = "alarm"
[[barred]]
prefix = "56900"
[[barred]]
prefix = "569"
cause = 17
classes = ["alarm"]
[[prefix]]
prefix = "562"
route = "santiago"
[[prefix]]
prefix = "5622"
route = "centre"
[[prefix]]
prefix = "569"
route = "mobile"
ported = true
[[range]]
first = "5641000"
last = "5641249"
route = "centre"
[[route]]
name = "santiago"
[[route.target]]
pool = 1
weight = 3
[[route.target]]
pool = 2
weight = 1
[[route.target]]
pool = 3
step = 1
[[route]]
name = "centre"
[[route.target]]
pool = 2
when = "office"
[[route.target]]
pool = 4
step = 9
[[route]]
name = "mobile"
[[route.target]]
pool = 5
[[route]]
name = "alarm"
[[route.target]]
pool = 0
[[route]]
name = "rest"
[[route.target]]
pool = 6
[[when]]
name = "office"
zone = "America/Santiago"
weekdays = ["mon", "tue", "wed", "thu", "fri"]
hours = ["08:00-18:30"]
holidays = ["2026-12-25"]
`

func compileText(t testing.TB, text string) *Table {
	t.Helper()
	r, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	table, err := Compile(r, env)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestAnalyse(t *testing.T) {
	table := compileText(t, rules)
	night := Time(time.Date(2026, 12, 1, 3, 0, 0, 0, time.UTC).UnixNano())
	moved, _ := MakeDigits("56221")
	for _, c := range []struct {
		q    Query
		want string
	}{
		{Query{Number: "+56 2 2123-4567"}, "routed 56221234567 centre [2 4]"},
		{Query{Number: "0056 (2) 2123/4567", At: night}, "routed 56221234567 centre [4]"},
		{Query{Number: "0 2 2123 4567"}, "routed 56221234567 centre [2 4]"},
		{Query{Number: "7"}, "routed 56221234567 centre [2 4]"},
		{Query{Number: "+5623999"}, "routed 5623999 santiago"},
		{Query{Number: "+5641249"}, "routed 5641249 centre [2 4]"},
		{Query{Number: "+5641250"}, "routed 5641250 rest [6]"},
		{Query{Number: "133"}, "emergency routed 133 alarm [0]"},
		{Query{Number: "+133"}, "routed 133 rest [6]"},
		{Query{Number: "+56900123"}, "refused 21"},
		{Query{Number: "+569123", Class: "alarm"}, "refused 17"},
		{Query{Number: "+569123"}, "ask"},
		{Query{Number: "+569123", Ported: Ported{State: NotPorted}}, "routed 569123 mobile [5]"},
		{Query{Number: "+569123", Ported: Ported{State: Undecided}}, "routed 569123 mobile [5]"},
		{Query{Number: "+569123", Ported: Ported{State: Moved, Routing: moved}}, "routed 569123 centre [2 4]"},
		{Query{Number: "+4912345"}, "routed 4912345 rest [6]"},
		{Query{Number: "abc"}, "refused 1"},
		{Query{Number: ""}, "refused 1"},
		{Query{Number: "+1234567890123456"}, "refused 1"},
		{Query{Number: strings.Repeat("1", 100)}, "refused 1"},
	} {
		if c.q.At == 0 {
			c.q.At = now
		}
		if got := describeDecision(table.Analyse(&c.q)); !strings.HasPrefix(got, c.want) {
			t.Errorf("%q: %s, want %s", c.q.Number, got, c.want)
		}
	}
	// Weights hold over many calls, and a call draws the same every time.
	first := make(map[int]int)
	for i := range 4000 {
		q := Query{Number: "+5623", At: now, Seed: Seed(fmt.Sprint(i))}
		d, again := table.Analyse(&q), table.Analyse(&q)
		if d != again || len(d.Pools()) != 3 || d.Pools()[2] != 3 {
			t.Fatal(d, again)
		}
		first[d.Pools()[0]]++
	}
	if first[1] < 2800 || first[1] > 3200 || first[1]+first[2] != 4000 {
		t.Errorf("drawn by weight 3 to 1: %v", first)
	}
}

func describeDecision(d Decision) string {
	urgent := ""
	if d.Emergency {
		urgent = "emergency "
	}
	switch d.Verdict {
	case Rejected:
		return fmt.Sprint(urgent, "refused ", d.Cause)
	case Ask:
		return "ask"
	}
	return fmt.Sprint(urgent, "routed ", d.Number, " ", d.Route, " ", d.Pools())
}

// What is wrong is told with its entry, all at once.
func TestCompileErrors(t *testing.T) {
	route := "[[route]]\nname = \"r\"\n[[route.target]]\npool = 1\n"
	for text, want := range map[string]string{
		route: "route 1 (r): nothing leads to it",
		route + "[[prefix]]\nprefix = \"1\"\nroute = \"r\"\n[[prefix]]\nprefix = \"1\"\nroute = \"r\"\n":                                             "prefix 2 (1): 1 is there twice, also as prefix 1 (1)",
		route + "[[prefix]]\nprefix = \"1\"\nroute = \"x\"\n":                                                                                        `prefix 1 (1): there is no route "x"`,
		route + "[[prefix]]\nprefix = \"12\"\nroute = \"r\"\n[[barred]]\nprefix = \"1\"\n":                                                           "prefix 1 (12): unreachable: barred 1 bars it",
		route + "[[range]]\nfirst = \"10\"\nlast = \"30\"\nroute = \"r\"\n[[range]]\nfirst = \"25\"\nlast = \"40\"\nroute = \"r\"\n":                 "range 2 (25 to 40): overlaps range 1",
		route + "[[prefix]]\nprefix = \"12\"\nroute = \"r\"\n[[range]]\nfirst = \"1000\"\nlast = \"1499\"\nroute = \"r\"\n":                          "prefix 1 (12): it lies within range 1 (1000 to 1499)",
		route + "[[range]]\nfirst = \"10\"\nlast = \"300\"\nroute = \"r\"\n":                                                                         "range 1 (10 to 300): first and last are digits",
		"default = \"r\"\n" + route + "[[translate]]\nmatch = \"1\"\nstrip = 1\nadd = \"2\"\n[[translate]]\nmatch = \"2\"\nstrip = 1\nadd = \"1\"\n": "translate 1 (1): a loop, by way of entries [1 2 1]",
		"default = \"r\"\n" + route + "[[translate]]\nmatch = \"1\"\n[[translate]]\nmatch = \"1\"\n":                                                 "translate 2 (1): unreachable: translate 1 matches the same",
		"default = \"r\"\n[[route]]\nname = \"r\"\n[[route.target]]\npool = 1\nwhen = \"w\"\n[[when]]\nname = \"w\"\nhours = [\"08:00-18:00\"]\n":    "route 1 (r): it has no target at some times",
		"default = \"r\"\n" + route + "[[when]]\nname = \"w\"\nzone = \"Mars/Olympus\"\n":                                                            `when 1 (w): zone "Mars/Olympus" is not known`,
		"default = \"r\"\n" + route + "[[when]]\nname = \"w\"\nhours = [\"25:00-26:00\"]\n":                                                          `when 1 (w): hours "25:00-26:00" are not`,
		"default = \"r\"\n" + strings.Replace(route, "pool = 1", "pool = -1", 1):                                                                     "pool -1",
		"max_digits = 99": "max_digits: 99 is not between",
		"[[emergency]]\nnumber = \"1x\"\nroute = \"r\"\n" + route: "emergency 1 (1x): the number is not digits",
	} {
		r, err := Parse([]byte(text))
		if err != nil {
			t.Errorf("%q: %v", text, err)
			continue
		}
		if _, err = Compile(r, env); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q:\nwant %s\ngot  %v", text, want, err)
		}
	}
	narrow := Env{Classes: []Class{{Name: "voice", Pools: []int{2}}}, Now: now}
	r, err := Parse([]byte("default = \"r\"\n" + route))
	if err != nil {
		t.Fatal(err)
	}
	if _, err = Compile(r, narrow); err == nil || !strings.Contains(err.Error(), "pool 1: no class may use it") {
		t.Error(err)
	}
	for _, text := range []string{"odd = 1", "[[prefix]]\nprefix = 3", "[[prefix"} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%q was read", text)
		}
	}
}

// The hour that comes twice is in both times, the one that never comes in none; midnight ends what
// ends at 24:00; a zone's rule is its own, whatever the machine's.
func TestConditionHolds(t *testing.T) {
	for _, c := range []struct {
		when Condition
		at   string // UTC
		in   bool
	}{
		{Condition{Zone: "America/Santiago", Hours: []string{"23:00-24:00"}}, "2026-04-05T02:30:00Z", true},  // 23:30, summer time
		{Condition{Zone: "America/Santiago", Hours: []string{"23:00-24:00"}}, "2026-04-05T03:30:00Z", true},  // 23:30 again
		{Condition{Zone: "America/Santiago", Hours: []string{"23:00-24:00"}}, "2026-04-05T04:00:00Z", false}, // midnight
		{Condition{Zone: "America/Santiago", Hours: []string{"00:00-01:00"}}, "2026-09-06T03:59:59Z", false}, // 23:59:59; 00:00 never comes
		{Condition{Zone: "America/Santiago", Hours: []string{"00:00-01:00"}}, "2026-09-06T04:00:00Z", false}, // 01:00
		{Condition{Zone: "America/Santiago", Hours: []string{"00:30-02:00"}}, "2026-09-06T04:00:00Z", true},
		{Condition{Zone: "Europe/Berlin", Hours: []string{"02:00-03:00"}}, "2026-10-25T00:30:00Z", true},
		{Condition{Zone: "Europe/Berlin", Hours: []string{"02:00-03:00"}}, "2026-10-25T01:30:00Z", true},
		{Condition{Zone: "Europe/Berlin", Hours: []string{"02:00-03:00"}}, "2026-03-29T01:00:00Z", false}, // 03:00
		{Condition{Hours: []string{"22:00-06:00"}, Weekdays: []string{"mon"}}, "2026-12-07T23:00:00Z", true},
		{Condition{Hours: []string{"22:00-06:00"}, Weekdays: []string{"mon"}}, "2026-12-07T05:59:59Z", true},
		{Condition{Hours: []string{"22:00-06:00"}, Weekdays: []string{"mon"}}, "2026-12-08T01:00:00Z", false}, // tuesday
		{Condition{Dates: []string{"2026-12-24/2026-12-31"}, Holidays: []string{"2026-12-25"}}, "2026-12-25T10:00:00Z", false},
		{Condition{Dates: []string{"2026-12-24/2026-12-31"}}, "2026-12-31T23:59:59Z", true},
		{Condition{Dates: []string{"2026-12-24/2026-12-31"}, Not: true}, "2026-12-31T23:59:59Z", false},
		{Condition{Zone: "Asia/Kolkata", Dates: []string{"2027-01-01"}}, "2026-12-31T18:30:00Z", true},
	} {
		w, err := compileCondition(&c.when)
		if err != nil {
			t.Fatal(err)
		}
		at, err := time.Parse(time.RFC3339, c.at)
		if err != nil {
			t.Fatal(err)
		}
		if got := w.holds(Time(at.UnixNano())); got != c.in {
			t.Errorf("%+v at %s: %v", c.when, c.at, got)
		}
	}
}

// shortDigits draws short numbers, so that prefixes of one another are many.
var shortDigits = rapid.StringMatching(`[0-3]{1,6}`)

// The trie finds what a look at every prefix finds.
func TestTrieEqualsLinearScan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var b trieBuilder
		set := rapid.SliceOfNDistinct(shortDigits, 0, 60, rapid.ID).Draw(rt, "prefixes")
		for i, p := range set {
			b.add(p, int32(i))
		}
		tr, err := b.build(make([]entry, len(set)))
		if err != nil {
			rt.Fatal(err)
		}
		for range 20 {
			number := rapid.StringMatching(`[0-9]{0,8}`).Draw(rt, "number")
			want, length := int32(-1), 0
			for i, p := range set {
				if strings.HasPrefix(number, p) && len(p) > length {
					want, length = int32(i), len(p)
				}
			}
			if e, n := tr.find([]byte(number)); e != want || n != length {
				rt.Fatalf("%s: entry %d (%d digits), want %d (%d)", number, e, n, want, length)
			}
		}
	})
}

// The blocks of a range cover its numbers and no other, each once.
func TestRangePrefixesCoverRange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 3).Draw(rt, "digits")
		most := 1
		for range n {
			most *= 10
		}
		lo := rapid.IntRange(0, most-1).Draw(rt, "first")
		hi := rapid.IntRange(lo, most-1).Draw(rt, "last")
		all := rangePrefixes(fmt.Sprintf("%0*d", n, lo), fmt.Sprintf("%0*d", n, hi))
		for v := range most {
			hits := 0
			for _, p := range all {
				if strings.HasPrefix(fmt.Sprintf("%0*d", n, v), p) {
					hits++
				}
			}
			if want := v >= lo && v <= hi; want != (hits == 1) || hits > 1 {
				rt.Fatalf("%d is in %d blocks of %d to %d: %v", v, hits, lo, hi, all)
			}
		}
	})
}

// A digest does not hang on the order of entries, and changes with any of them; what Explain tells
// ends in what Analyse decides.
func TestDigestAndExplain(t *testing.T) {
	r, err := Parse([]byte(rules))
	if err != nil {
		t.Fatal(err)
	}
	base := compileText(t, rules)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		shuffle := *r
		shuffle.Prefix, shuffle.Barred, shuffle.Route = slices.Clone(r.Prefix), slices.Clone(r.Barred), slices.Clone(r.Route)
		rng.Shuffle(len(shuffle.Prefix), func(i, j int) { shuffle.Prefix[i], shuffle.Prefix[j] = shuffle.Prefix[j], shuffle.Prefix[i] })
		rng.Shuffle(len(shuffle.Barred), func(i, j int) { shuffle.Barred[i], shuffle.Barred[j] = shuffle.Barred[j], shuffle.Barred[i] })
		rng.Shuffle(len(shuffle.Route), func(i, j int) { shuffle.Route[i], shuffle.Route[j] = shuffle.Route[j], shuffle.Route[i] })
		other, err := Compile(&shuffle, env)
		if err != nil || other.Digest() != base.Digest() {
			t.Fatalf("%v: %s, want %s", err, other.Digest(), base.Digest())
		}
		for range 50 {
			q := Query{Number: fmt.Sprintf("+56%d", rng.IntN(100000)), Class: []string{"voice", "alarm"}[rng.IntN(2)], At: now + Time(rng.Int64N(int64(48*time.Hour))),
				Seed: rng.Uint64(), Ported: Ported{State: PortingState(rng.IntN(2))}}
			d := base.Analyse(&q)
			e, steps := other.Explain(&q)
			if describeDecision(d) != describeDecision(e) {
				t.Fatalf("%s: %s, reordered %s", q.Number, describeDecision(d), describeDecision(e))
			}
			last := steps[len(steps)-1]
			switch d.Verdict {
			case Routed:
				if last != "pools "+strings.Trim(fmt.Sprint(d.Pools()), "[]") {
					t.Fatalf("%q does not tell of %v", last, d.Pools())
				}
			case Rejected:
				if !strings.Contains(last, fmt.Sprintf("cause %d", d.Cause)) {
					t.Fatalf("%q does not tell of %d", last, d.Cause)
				}
			}
		}
	}
	changed := *r
	changed.Prefix = slices.Clone(r.Prefix)
	changed.Prefix[0].Route = "centre"
	changed.Default = "santiago"
	changed.Route = slices.DeleteFunc(slices.Clone(r.Route), func(x Route) bool { return x.Name == "rest" })
	if other, err := Compile(&changed, env); err != nil || other.Digest() == base.Digest() {
		t.Errorf("another route, the same digest: %v", err)
	}
}

func FuzzNumber(f *testing.F) {
	table := compileText(f, rules)
	for _, s := range []string{"+56 2 2123", "0056", "133", "7", "", "+", strings.Repeat("9", 30)} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, number string) {
		q := Query{Number: number, At: now}
		d := table.Analyse(&q)
		if e, steps := table.Explain(&q); e != d || len(steps) == 0 {
			t.Fatalf("%q: %v, explained %v", number, d, e)
		}
		if d.Verdict == Routed && len(d.Pools()) == 0 {
			t.Fatalf("%q is routed nowhere", number)
		}
	})
}

func FuzzRules(f *testing.F) {
	f.Add(rules)
	f.Fuzz(func(t *testing.T, text string) {
		if r, err := Parse([]byte(text)); err == nil && len(r.Range) < 50 {
			if table, err := Compile(r, env); err == nil {
				table.Analyse(&Query{Number: "+562", At: now})
			}
		}
	})
}

// randomRules makes rules of so randomRules prefixes.
func randomRules(n int) *Rules {
	rng := rand.New(rand.NewPCG(3, 4))
	r := &Rules{Route: []Route{{Name: "a", Target: []Target{{Pool: 1}}}, {Name: "b", Target: []Target{{Pool: 2}}}}, Default: "a"}
	seen := make(map[string]bool, n)
	for len(r.Prefix) < n {
		p := fmt.Sprintf("%0*d", 3+rng.IntN(7), rng.IntN(1_000_000_000))
		if p = p[:min(len(p), 9)]; seen[p] {
			continue
		}
		seen[p] = true
		r.Prefix = append(r.Prefix, Prefix{Prefix: p, Route: []string{"a", "b"}[rng.IntN(2)]})
	}
	return r
}

// BenchmarkAnalyse tells what an analysis costs, beside a map a length of prefix.
func BenchmarkAnalyse(b *testing.B) {
	for _, n := range []int{1000, 100_000, 1_000_000} {
		r := randomRules(n)
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		began := time.Now()
		table, err := Compile(r, Env{Now: now})
		if err != nil {
			b.Fatal(err)
		}
		load := time.Since(began)
		runtime.GC()
		runtime.ReadMemStats(&after)
		numbers := make([]string, 1024)
		rng := rand.New(rand.NewPCG(5, 6))
		for i := range numbers {
			numbers[i] = "+" + r.Prefix[rng.IntN(n)].Prefix + fmt.Sprint(rng.IntN(10000))
		}
		b.Run(fmt.Sprint(n, "/trie"), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				table.Analyse(&Query{Number: numbers[i%1024], At: now, Seed: uint64(i)})
				i++
			}
			b.ReportMetric(float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/float64(n), "B/prefix")
			b.ReportMetric(load.Seconds(), "load-s")
		})
		var maps [16]map[string]int
		for i, p := range r.Prefix {
			if maps[len(p.Prefix)] == nil {
				maps[len(p.Prefix)] = make(map[string]int)
			}
			maps[len(p.Prefix)][p.Prefix] = i
		}
		b.Run(fmt.Sprint(n, "/find-trie"), func(b *testing.B) {
			i := 0
			for b.Loop() {
				table.numbers.find([]byte(numbers[i%1024][1:]))
				i++
			}
		})
		b.Run(fmt.Sprint(n, "/find-maps"), func(b *testing.B) {
			i, sum := 0, 0
			for b.Loop() {
				s := numbers[i%1024][1:]
				for l := min(len(s), 15); l > 0; l-- {
					if e, ok := maps[l][s[:l]]; ok {
						sum += e
						break
					}
				}
				i++
			}
		})
		runtime.KeepAlive(table)
	}
}

// BenchmarkSwap tells what a swap keeps the loop from its work: an order begun and finished, with
// tables of a million prefixes, and the longest of all.
func BenchmarkSwap(b *testing.B) {
	var d Desk
	digests := make([]string, 2)
	for i := range digests {
		r := randomRules(1_000_000)
		r.Version, r.Default = fmt.Sprint(i), []string{"a", "b"}[i]
		t, err := Compile(r, Env{Now: now})
		if err != nil {
			b.Fatal(err)
		}
		if err := d.Load(now, t); err != nil {
			b.Fatal(err)
		}
		digests[i] = t.Digest()
	}
	if err := d.Activate(now, digests[0], "", 0); err != nil {
		b.Fatal(err)
	}
	longest, i := time.Duration(0), 0
	for b.Loop() {
		began := time.Now()
		saw := d.Active().Digest()
		i++
		if _, _, err := d.Begin(now, Order{Op: OpActivate, Digest: digests[i%2], Saw: saw}); err != nil {
			b.Fatal(err)
		}
		if err := d.Finish(now, nil); err != nil {
			b.Fatal(err)
		}
		longest = max(longest, time.Since(began))
	}
	b.ReportMetric(float64(longest), "longest-ns")
}
