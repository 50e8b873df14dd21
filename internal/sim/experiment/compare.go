package experiment

import (
	"errors"
	"fmt"

	"gonum.org/v1/gonum/stat"

	"olivedale/internal/sim/result"
)

// A Verdict says how a figure of the second of two programs compares to that of the first.
type Verdict string

// Verdicts.
const (
	Better Verdict = "better"
	Worse  Verdict = "worse"
	// Same says that the interval of the difference includes zero, or that there are too few days to tell.
	Same Verdict = "no difference shown"
)

// A Difference compares one figure of two programs that played the same days.
type Difference struct {
	Figure     string   `json:"figure"`
	Base, Now  float64  // means
	Diff       Interval // Now minus Base, paired by day
	Verdict    Verdict  `json:"verdict"`
	WorstBase  float64
	WorstNow   float64
	Resolution float64 // half the width of the interval: a smaller difference cannot be shown
}

// minDays is the least number of days from which an interval supports a verdict.
const minDays = 5

// ErrDifferentDays says that two lists of results have different scenarios or seeds.
var ErrDifferentDays = errors.New("the results are of different days")

// Compare returns the difference of each figure between two programs, paired by day. Both lists must have the
// same scenarios and seeds in the same order.
func Compare(base, now []*result.Result) ([]Difference, error) {
	if len(base) != len(now) || len(now) == 0 {
		return nil, fmt.Errorf("%d results against %d: they must be of the same days", len(base), len(now))
	}
	for i := range now {
		if base[i].Seed != now[i].Seed || base[i].Scenario != now[i].Scenario {
			return nil, ErrDifferentDays
		}
	}
	differences := make([]Difference, 0, len(result.Figures))
	for _, figure := range result.Figures {
		differences = append(differences, compareFigure(figure, Of(base, figure), Of(now, figure)))
	}
	return differences, nil
}

// compareFigure compares the values of one figure, paired by day.
func compareFigure(figure result.Figure, base, now []float64) Difference {
	paired := make([]float64, len(now))
	for i := range now {
		paired[i] = now[i] - base[i]
	}
	interval := Bootstrap(paired, figure.Less)
	return Difference{
		Figure:     figure.Name,
		Base:       stat.Mean(base, nil),
		Now:        stat.Mean(now, nil),
		Diff:       interval,
		Verdict:    judge(interval, figure.Less),
		WorstBase:  Bootstrap(base, figure.Less).Worst,
		WorstNow:   Bootstrap(now, figure.Less).Worst,
		Resolution: (interval.High - interval.Low) / 2,
	}
}

// judge returns the verdict on a difference.
func judge(difference Interval, lessIsBetter bool) Verdict {
	isMore := difference.Low > 0
	isLess := difference.High < 0
	switch {
	case difference.Days < minDays, !isMore && !isLess:
		return Same
	case isMore != lessIsBetter:
		return Better
	default:
		return Worse
	}
}
