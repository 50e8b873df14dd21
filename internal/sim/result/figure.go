package result

import (
	"fmt"
	"slices"
)

// A Figure is a metric of a Result by which runs are compared.
type Figure struct {
	Name          string // in tables and flags
	Of            func(*Result) float64
	LowerIsBetter bool // lower values are better
}

// Figures lists the figures in the order of table columns. The first is the score.
var Figures = []Figure{
	{Name: "score", Of: func(r *Result) float64 { return r.Score }},
	{Name: "service", Of: func(r *Result) float64 { return r.Service }},
	{Name: "worst_10s", Of: func(r *Result) float64 { return r.Worst }},
	{Name: "worst_class", Of: func(r *Result) float64 { return r.WorstClass }},
	{Name: "refused", Of: func(r *Result) float64 { return perCall(r.Rejected, r.Offered) }, LowerIsBetter: true},
	{Name: "failed", Of: func(r *Result) float64 { return perCall(r.Failed, r.Offered) }, LowerIsBetter: true},
	{Name: "sends", Of: func(r *Result) float64 { return perCall(r.Attempts, r.Offered) }, LowerIsBetter: true},
	{Name: "waste", Of: func(r *Result) float64 { return r.Waste }, LowerIsBetter: true},
	{Name: "second", Of: func(r *Result) float64 { return r.NonPreferredShare }, LowerIsBetter: true},
	{Name: "setup_p50_ms", Of: func(r *Result) float64 { return r.P50 }, LowerIsBetter: true},
	{Name: "setup_p99_ms", Of: func(r *Result) float64 { return r.P99 }, LowerIsBetter: true},
	{Name: "fairness", Of: func(r *Result) float64 { return r.Fairness }},
	{Name: "cold_sends", Of: (*Result).PeakSlowStartLoad, LowerIsBetter: true},
}

// An UnknownFigureError reports the name of a figure that does not exist.
type UnknownFigureError struct{ Name string }

// Error implements error.
func (e *UnknownFigureError) Error() string { return fmt.Sprintf("unknown figure %q", e.Name) }

// FigureNamed returns the figure with the given name, or an *UnknownFigureError.
func FigureNamed(name string) (Figure, error) {
	i := slices.IndexFunc(Figures, func(f Figure) bool { return f.Name == name })
	if i < 0 {
		return Figure{}, &UnknownFigureError{Name: name}
	}
	return Figures[i], nil
}

func perCall(n, calls int) float64 {
	if calls == 0 {
		return 0
	}
	return float64(n) / float64(calls)
}
