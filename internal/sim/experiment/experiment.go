// Package experiment plays scenarios over many seeds and says what can be said of the results: paired
// differences with bootstrap intervals, worst days, rank correlations, and that no difference is shown
// where that is so. It knows no call controller from another.
package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"

	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
	"olivedale/internal/sim/virtualtime"
)

// Seeds are n seeds that begin with first.
func Seeds(first uint64, n int) []uint64 {
	all := make([]uint64, n)
	for i := range all {
		all[i] = first + uint64(i)
	}
	return all
}

// Play plays a scenario with each seed in virtual time, as many at once as there are cores, and
// returns the results in the order of the seeds. It ends early with ctx.
func Play(ctx context.Context, sc *scenario.Scenario, seeds []uint64, opt virtualtime.Options) ([]*result.Result, error) {
	all := make([]*result.Result, len(seeds))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, seed := range seeds {
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			all[i] = virtualtime.Run(sc, seed, opt)
			return nil
		})
	}
	return all, g.Wait()
}

// A File is what is kept of an experiment.
type File struct {
	Scenario *scenario.Scenario `json:"scenario"`
	Commit   string             `json:"commit"`
	Machine  string             `json:"machine"`
	Vary     string             `json:"vary,omitempty"`   // key that a sweep varied
	Beside   string             `json:"beside,omitempty"` // second key that it varied
	Points   []Point            `json:"points"`
}

// A Point is the results at one value, or at one of each key.
type Point struct {
	Value   string           `json:"value,omitempty"`
	Beside  string           `json:"beside,omitempty"`
	Results []*result.Result `json:"results"`
}

// Machine says what the experiment ran on.
func Machine() string {
	return fmt.Sprintf("%s/%s, %d cores, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
}

// Save writes a file.
func (f *File) Save(path string) error {
	b, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	if err := os.WriteFile(path, append(b, '\n'), 0o644); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	return nil
}

// Load reads what Save wrote.
func Load(path string) (*File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	var f File
	if err := json.Unmarshal(b, &f); err != nil {
		return nil, fmt.Errorf("experiment: %s: %w", path, err)
	}
	return &f, nil
}

// Set changes one setting of a scenario, named as in its file ("callers.load"), on a copy. Faults are
// counted from 1: "fault.2.factor".
func Set(sc *scenario.Scenario, key, value string) (*scenario.Scenario, error) {
	out := *sc
	out.Class, out.Fault = slices.Clone(sc.Class), slices.Clone(sc.Fault)
	path := strings.Split(key, ".")
	text := path[len(path)-1] + " = " + value
	into := any(&out)
	switch {
	case path[0] == "fault":
		n := 0
		if len(path) == 3 {
			n, _ = strconv.Atoi(path[1])
		}
		if n < 1 || n > len(out.Fault) {
			return nil, fmt.Errorf("%s: the scenario has %d faults; the first is named like fault.1.factor", key, len(out.Fault))
		}
		into = &out.Fault[n-1]
	case len(path) > 1:
		text = "[" + strings.Join(path[:len(path)-1], ".") + "]\n" + text
	}
	meta, err := toml.Decode(text, into)
	if err != nil {
		return nil, fmt.Errorf("%s = %s: %w", key, value, err)
	}
	if len(meta.Undecoded()) > 0 {
		return nil, fmt.Errorf("%s: unknown key of a scenario", key)
	}
	if err := out.Check(); err != nil {
		return nil, err
	}
	return &out, nil
}

// An Interval is a figure with its bootstrap interval of 95%.
type Interval struct {
	Mean, Low, High float64
	Worst           float64 // of all days
	Days            int
}

// resamples is how often a bootstrap draws.
const resamples = 2000

// Bootstrap is the mean of figures with its interval (percentiles of resampled means; Efron, 1979).
// The draws come from a fixed seed, so that a figure repeats.
func Bootstrap(values []float64, lessIsBetter bool) Interval {
	if len(values) == 0 {
		return Interval{}
	}
	rng := rand.New(rand.NewPCG(1, uint64(len(values))))
	means := make([]float64, resamples)
	sample := make([]float64, len(values))
	for i := range means {
		for j := range sample {
			sample[j] = values[rng.IntN(len(values))]
		}
		means[i] = stat.Mean(sample, nil)
	}
	slices.Sort(means)
	worst := slices.Min(values)
	if lessIsBetter {
		worst = slices.Max(values)
	}
	return Interval{Mean: stat.Mean(values, nil), Low: stat.Quantile(0.025, stat.Empirical, means, nil), High: stat.Quantile(0.975, stat.Empirical, means, nil),
		Worst: worst, Days: len(values)}
}

// Of takes a figure of all results.
func Of(all []*result.Result, f result.Figure) []float64 {
	v := make([]float64, len(all))
	for i, r := range all {
		v[i] = f.Of(r)
	}
	return v
}

// A Difference is how one figure differs between two programs on the same days.
type Difference struct {
	Figure     string   `json:"figure"`
	Base, Now  float64  // means
	Diff       Interval // Now less Base, day by day
	Verdict    string   `json:"verdict"`
	WorstBase  float64
	WorstNow   float64
	Resolution float64 // half the interval: what could have been seen
}

// Verdicts.
const (
	Better = "better"
	Worse  = "worse"
	Same   = "no difference shown"
)

// leastDays is how many days an interval needs to mean something.
const leastDays = 5

// Compare sets two programs' results side by side, day by day; both must have the same seeds.
func Compare(base, now []*result.Result) ([]Difference, error) {
	if len(base) != len(now) || len(now) == 0 {
		return nil, fmt.Errorf("%d results against %d: they must be of the same days", len(base), len(now))
	}
	for i := range now {
		if base[i].Seed != now[i].Seed || base[i].Scenario != now[i].Scenario {
			return nil, errors.New("the results are of different days")
		}
	}
	var all []Difference
	for _, f := range result.Figures {
		b, n := Of(base, f), Of(now, f)
		diff := make([]float64, len(n))
		for i := range n {
			diff[i] = n[i] - b[i]
		}
		d := Difference{Figure: f.Name, Base: stat.Mean(b, nil), Now: stat.Mean(n, nil), Diff: Bootstrap(diff, f.Less),
			WorstBase: Bootstrap(b, f.Less).Worst, WorstNow: Bootstrap(n, f.Less).Worst, Verdict: Same}
		d.Resolution = (d.Diff.High - d.Diff.Low) / 2
		if len(n) >= leastDays {
			switch {
			case d.Diff.Low > 0 != f.Less && (d.Diff.Low > 0 || d.Diff.High < 0):
				d.Verdict = Better
			case d.Diff.Low > 0 || d.Diff.High < 0:
				d.Verdict = Worse
			}
		}
		all = append(all, d)
	}
	return all, nil
}

// Spearman is the rank correlation of two rows of figures; ties share their ranks.
func Spearman(a, b []float64) (float64, error) {
	if len(a) != len(b) || len(a) < 3 {
		return 0, fmt.Errorf("a rank correlation of %d and %d figures", len(a), len(b))
	}
	return stat.Correlation(ranks(a), ranks(b), nil), nil
}

func ranks(v []float64) []float64 {
	order := make([]int, len(v))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		switch {
		case v[i] < v[j]:
			return -1
		case v[i] > v[j]:
			return 1
		}
		return 0
	})
	r := make([]float64, len(v))
	for i := 0; i < len(order); {
		j := i
		for j < len(order) && v[order[j]] == v[order[i]] {
			j++
		}
		for k := i; k < j; k++ {
			r[order[k]] = float64(i+j-1)/2 + 1
		}
		i = j
	}
	return r
}

// Shrink takes faults out of a scenario that breaks a rule with a seed, one after the other, for as
// long as the rule stays broken, and then makes the run as short as it can be. It returns nil if the
// rule is not broken to begin with.
func Shrink(ctx context.Context, sc *scenario.Scenario, seed uint64, opt virtualtime.Options) *scenario.Scenario {
	broken := func(s *scenario.Scenario) *result.Result {
		if r := virtualtime.Run(s, seed, opt); len(r.Broken) > 0 {
			return r
		}
		return nil
	}
	first := broken(sc)
	if first == nil {
		return nil
	}
	rule := first.Breaches[0].Rule
	still := func(s *scenario.Scenario) *result.Result {
		if r := broken(s); r != nil && r.Broken[string(rule)] > 0 {
			return r
		}
		return nil
	}
	best, last := *sc, first
	for again := true; again && ctx.Err() == nil; {
		again = false
		for i := range best.Fault {
			next := best
			next.Fault = slices.Delete(slices.Clone(best.Fault), i, i+1)
			if r := still(&next); r != nil {
				best, last, again = next, r, true
				break
			}
		}
	}
	for _, b := range last.Breaches {
		if b.Rule == rule { // what comes after the first breach is not needed
			next := best
			next.Length = scenario.Duration(b.At.Truncate(1e9) + 1e9)
			if next.Length < best.Length && still(&next) != nil {
				best = next
			}
			break
		}
	}
	return &best
}
