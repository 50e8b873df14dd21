package overload

import (
	"cmp"
	"slices"
)

// Bounds of the weight of a single report. Throttle shares are ratios of sums, so clipping a busy member reduces
// numerator and denominator alike.
const (
	maxRelativeWeight = 1.5 // maximum weight of a member relative to the median member
	minClippedRate    = 1.0 // events per second up to which a member is never clipped
)

// clipWeights returns the factor by which the counts of each member are scaled down, so that a few members that report
// false or excessive counts cannot dominate the sums.
func (a *aggregator) clipWeights(now Time) []float64 {
	rates := make([]float64, len(a.members))
	var active []float64
	for i := range a.members {
		r := a.freshReport(now, i)
		if r == nil {
			continue
		}
		events := r.events()
		rates[i] = float64(events) / r.seconds()
		if events > 0 {
			active = append(active, rates[i])
		}
	}
	limit := max(maxRelativeWeight*median(active), minClippedRate)
	for i, r := range rates {
		rates[i] = min(1, limit/max(r, limit))
	}
	return rates
}

// events returns the sum over all servers of the number of set-ups or of answers, whichever is greater.
func (r *loadReport) events() int {
	n := 0
	for i := range r.samples {
		n += max(r.samples[i].setUps(), r.samples[i].answered)
	}
	return n
}

// setUps returns the number of calls offered plus the number of other set-ups sent.
func (s *serverSample) setUps() int {
	n := s.overflow
	for _, offered := range s.offered {
		n += offered
	}
	return n
}

// median sorts values and returns their median, or 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// A weightedValue is a value with its weight.
type weightedValue struct {
	value, weight float64
}

// weightedMedian sorts values and returns their weighted median, or 0 if there are none.
func weightedMedian(values []weightedValue) float64 {
	slices.SortFunc(values, func(a, b weightedValue) int { return cmp.Compare(a.value, b.value) })
	remaining := 0.0
	for _, x := range values {
		remaining += x.weight
	}
	for _, x := range values {
		remaining -= 2 * x.weight
		if remaining <= 0 {
			return x.value
		}
	}
	return 0
}
