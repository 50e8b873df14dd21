package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// An Interval is the mean of a figure over a number of runs and its 95% bootstrap confidence interval.
type Interval struct {
	Mean, Low, High float64
	Worst           float64 // value of all runs
	Days            int     // number of runs
}

// Parameters of the bootstrap.
const (
	resamples     = 2000
	lowQuantile   = 0.025
	highQuantile  = 0.975
	bootstrapSeed = 1 // fixed, so that intervals are reproducible
)

// Bootstrap returns the mean of the values and its percentile bootstrap interval (Efron, 1979). It is deterministic:
// the same values have the same interval. Without values it returns the zero Interval.
func Bootstrap(values []float64, lessIsBetter bool) Interval {
	if len(values) == 0 {
		return Interval{}
	}
	means := resampleMeans(values)
	worst := slices.Min(values)
	if lessIsBetter {
		worst = slices.Max(values)
	}
	return Interval{
		Mean:  stat.Mean(values, nil),
		Low:   stat.Quantile(lowQuantile, stat.Empirical, means, nil),
		High:  stat.Quantile(highQuantile, stat.Empirical, means, nil),
		Worst: worst,
		Days:  len(values),
	}
}

// resampleMeans draws samples from the values with replacement and returns their means, sorted.
func resampleMeans(values []float64) []float64 {
	rng := rand.New(rand.NewPCG(bootstrapSeed, uint64(len(values))))
	means := make([]float64, resamples)
	sample := make([]float64, len(values))
	for i := range means {
		for j := range sample {
			sample[j] = values[rng.IntN(len(values))]
		}
		means[i] = stat.Mean(sample, nil)
	}
	slices.Sort(means)
	return means
}

// minCorrelationPairs is the minimum number of pairs for a rank correlation.
const minCorrelationPairs = 3

// Spearman returns Spearman's rank correlation of two series of the same length. Equal values get their mean rank.
func Spearman(a, b []float64) (float64, error) {
	if len(a) != len(b) || len(a) < minCorrelationPairs {
		return 0, fmt.Errorf("cannot compute a rank correlation of %d and %d values", len(a), len(b))
	}
	return stat.Correlation(ranks(a), ranks(b), nil), nil
}

// ranks returns the rank of each value, counted from 1. Equal values get the mean of their ranks.
func ranks(values []float64) []float64 {
	order := make([]int, len(values))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int { return cmp.Compare(values[i], values[j]) })
	result := make([]float64, len(values))
	for first := 0; first < len(order); {
		next := first // first index after the values that equal this one
		for next < len(order) && values[order[next]] == values[order[first]] {
			next++
		}
		for _, i := range order[first:next] {
			result[i] = float64(first+next-1)/2 + 1
		}
		first = next
	}
	return result
}
