package numbering

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// randomRules returns rules with count random prefixes.
func randomRules(count int) *Rules {
	rng := rand.New(rand.NewPCG(3, 4))
	r := &Rules{
		Route: []Route{
			{Name: "a", Target: []Target{{Pool: 1}}},
			{Name: "b", Target: []Target{{Pool: 2}}},
		},
		Default: "a",
	}
	seen := make(map[string]bool, count)
	for len(r.Prefix) < count {
		p := fmt.Sprintf("%0*d", 3+rng.IntN(7), rng.IntN(1_000_000_000))
		p = p[:min(len(p), 9)]
		if seen[p] {
			continue
		}
		seen[p] = true
		r.Prefix = append(r.Prefix, Prefix{Prefix: p, Route: []string{"a", "b"}[rng.IntN(2)]})
	}
	return r
}

// heapInUse returns the size in bytes of the heap objects after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// randomNumbers returns numbers that begin with prefixes of the rules.
func randomNumbers(r *Rules) []string {
	numbers := make([]string, 1024)
	rng := rand.New(rand.NewPCG(5, 6))
	for i := range numbers {
		prefix := r.Prefix[rng.IntN(len(r.Prefix))].Prefix
		numbers[i] = "+" + prefix + fmt.Sprint(rng.IntN(10000))
	}
	return numbers
}

// BenchmarkAnalyse measures an analysis, and compares the search for the longest prefix in the trie with a search in
// one map per prefix length.
func BenchmarkAnalyse(b *testing.B) {
	for _, count := range []int{1000, 100_000, 1_000_000} {
		r := randomRules(count)
		before := heapInUse()
		startedAt := time.Now()
		table, err := Compile(r, Deployment{Now: now})
		if err != nil {
			b.Fatal(err)
		}
		loadTime := time.Since(startedAt)
		after := heapInUse()
		numbers := randomNumbers(r)
		b.Run(fmt.Sprint(count, "/trie"), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				table.Analyse(&Query{Number: numbers[i%len(numbers)], At: now, Seed: uint64(i)})
				i++
			}
			b.ReportMetric(float64(after-min(before, after))/float64(count), "B/prefix")
			b.ReportMetric(loadTime.Seconds(), "load-s")
		})
		b.Run(fmt.Sprint(count, "/find-trie"), func(b *testing.B) {
			i := 0
			for b.Loop() {
				table.numbers.find([]byte(numbers[i%len(numbers)][1:]))
				i++
			}
		})
		b.Run(fmt.Sprint(count, "/find-maps"), func(b *testing.B) { benchmarkMaps(b, r, numbers) })
		runtime.KeepAlive(table)
	}
}

func benchmarkMaps(b *testing.B, r *Rules, numbers []string) {
	var entriesByLength [16]map[string]int
	for i, p := range r.Prefix {
		length := len(p.Prefix)
		if entriesByLength[length] == nil {
			entriesByLength[length] = make(map[string]int)
		}
		entriesByLength[length][p.Prefix] = i
	}
	i, sum := 0, 0
	for b.Loop() {
		number := numbers[i%len(numbers)][1:]
		for length := min(len(number), 15); length > 0; length-- {
			if entry, ok := entriesByLength[length][number[:length]]; ok {
				sum += entry
				break
			}
		}
		i++
	}
}

// BenchmarkSwap measures the activation of a version, from Begin to Finish, with two tables of a million prefixes
// each. It also reports the longest duration.
func BenchmarkSwap(b *testing.B) {
	var m VersionManager
	digests := make([]string, 2)
	for i := range digests {
		r := randomRules(1_000_000)
		r.Version = fmt.Sprint(i)
		r.Default = []string{"a", "b"}[i]
		t, err := Compile(r, Deployment{Now: now})
		if err != nil {
			b.Fatal(err)
		}
		if err := m.Load(now, t); err != nil {
			b.Fatal(err)
		}
		digests[i] = t.Digest()
	}
	if err := m.Activate(now, digests[0], "", 0); err != nil {
		b.Fatal(err)
	}
	longest, i := time.Duration(0), 0
	for b.Loop() {
		startedAt := time.Now()
		active := m.Active().Digest()
		i++
		if _, _, err := m.Begin(now, Command{Op: OpActivate, Digest: digests[i%2], ExpectedActive: active}); err != nil {
			b.Fatal(err)
		}
		if err := m.Finish(now, nil); err != nil {
			b.Fatal(err)
		}
		longest = max(longest, time.Since(startedAt))
	}
	b.ReportMetric(float64(longest), "longest-ns")
}
