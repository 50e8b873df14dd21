package experiment

import (
	"errors"
	"fmt"

	"gonum.org/v1/gonum/stat"

	"olivedale/internal/sim/result"
)

// A Verdict is the result of comparing a figure of the second of two programs with that of the first.
type Verdict string

// Verdicts.
const (
	Better Verdict = "better"
	Worse  Verdict = "worse"
	// Same means that the confidence interval of the difference includes zero, or that there are too few runs.
	Same Verdict = "no difference shown"
)

// A Difference compares a figure of two programs that ran the same scenarios with the same seeds.
type Difference struct {
	Figure     string   `json:"figure"`
	Base, Now  float64  // means
	Diff       Interval // Now minus Base, paired by seed
	Verdict    Verdict  `json:"verdict"`
	WorstBase  float64
	WorstNow   float64
	Resolution float64 // half the width of the interval: smaller differences cannot be detected
}

// minRuns is the minimum number of runs for a verdict other than Same.
const minRuns = 5

// ErrDifferentRuns reports that two lists of results have different scenarios or seeds.
var ErrDifferentRuns = errors.New("the results have different scenarios or seeds")

// Compare returns the difference of each figure between two programs. It compares pairs of runs, so both lists must
// have the same scenarios and seeds in the same order.
func Compare(base, now []*result.Result) ([]Difference, error) {
	if len(base) != len(now) || len(now) == 0 {
		return nil, fmt.Errorf("cannot compare %d results with %d: both must have the same seeds", len(base), len(now))
	}
	for i := range now {
		if base[i].Seed != now[i].Seed || base[i].Scenario != now[i].Scenario {
			return nil, ErrDifferentRuns
		}
	}
	differences := make([]Difference, 0, len(result.Figures))
	for _, figure := range result.Figures {
		differences = append(differences, compareFigure(figure, FigureValues(base, figure), FigureValues(now, figure)))
	}
	return differences, nil
}

// compareFigure compares the values of a figure, paired by index.
func compareFigure(figure result.Figure, base, now []float64) Difference {
	paired := make([]float64, len(now))
	for i := range now {
		paired[i] = now[i] - base[i]
	}
	interval := Bootstrap(paired, figure.LowerIsBetter)
	return Difference{
		Figure:     figure.Name,
		Base:       stat.Mean(base, nil),
		Now:        stat.Mean(now, nil),
		Diff:       interval,
		Verdict:    verdictOf(interval, figure.LowerIsBetter),
		WorstBase:  Bootstrap(base, figure.LowerIsBetter).Worst,
		WorstNow:   Bootstrap(now, figure.LowerIsBetter).Worst,
		Resolution: (interval.High - interval.Low) / 2,
	}
}

// verdictOf returns the verdict on the interval of a difference.
func verdictOf(difference Interval, lessIsBetter bool) Verdict {
	isHigher := difference.Low > 0
	isLower := difference.High < 0
	switch {
	case difference.Days < minRuns, !isHigher && !isLower:
		return Same
	case isHigher != lessIsBetter:
		return Better
	default:
		return Worse
	}
}
