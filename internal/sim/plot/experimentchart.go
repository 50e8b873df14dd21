package plot

import (
	"fmt"
	"slices"
	"strconv"

	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/result"
)

// chart is a chart of an experiment, whose curves are computed when it is drawn. One without curves is left out.
type chart struct {
	title, xLabel, yLabel string
	curves                func() ([]Curve, error)
}

// charts returns the charts that suit an experiment: figures against one or two varied keys, or the course of
// the service where nothing varies.
func charts(f *experiment.File) []chart {
	switch {
	case f.Beside != "":
		return []chart{{
			title: "score against " + f.Vary + ", by " + f.Beside, xLabel: f.Vary,
			curves: func() ([]Curve, error) { return curvesBySecondKey(f, "score") },
		}}
	case len(f.Points) > 1:
		return []chart{
			sweepChart(f, "service", "", "score", "service", "worst_10s", "worst_class"),
			sweepChart(f, "set-up time", "ms", "setup_p50_ms", "setup_p99_ms"),
		}
	case len(f.Points) == 0 || len(f.Points[0].Results) == 0:
		return nil
	}
	results := f.Points[0].Results
	return []chart{
		{
			title: "service by second, mean of the days", xLabel: "s",
			curves: func() ([]Curve, error) { return []Curve{serviceBySecond(results)}, nil },
		},
		{
			title: "attempts at exchanges in slow start, over their capacity", xLabel: "s since the start",
			curves: func() ([]Curve, error) { return slowStartCurves(results), nil },
		},
	}
}

// sweepChart is a chart of figures against the varied key.
func sweepChart(f *experiment.File, title, yLabel string, figures ...string) chart {
	return chart{
		title: title + " against " + f.Vary, xLabel: f.Vary, yLabel: yLabel,
		curves: func() ([]Curve, error) {
			var curves []Curve
			for _, name := range figures {
				c, err := figureCurve(f.Points, name)
				if err != nil {
					return nil, err
				}
				curves = append(curves, c)
			}
			return curves, nil
		},
	}
}

// figureCurve returns a figure against the varied key. A value that is no number is drawn at its index.
func figureCurve(points []experiment.Point, name string) (Curve, error) {
	figure, err := result.FigureNamed(name)
	if err != nil {
		return Curve{}, err
	}
	c := Curve{Name: name}
	for i, point := range points {
		x, err := strconv.ParseFloat(point.Value, 64)
		if err != nil {
			x = float64(i)
		}
		interval := experiment.Bootstrap(experiment.Of(point.Results, figure), figure.Less)
		c.X = append(c.X, x)
		c.Y = append(c.Y, interval.Mean)
		c.Low = append(c.Low, interval.Low)
		c.High = append(c.High, interval.High)
	}
	return c, nil
}

// curvesBySecondKey returns a figure against the first of two varied keys, a curve for each value of the second.
func curvesBySecondKey(f *experiment.File, name string) ([]Curve, error) {
	var values []string
	for _, point := range f.Points {
		if !slices.Contains(values, point.Beside) {
			values = append(values, point.Beside)
		}
	}
	var curves []Curve
	for _, value := range values {
		hasOtherValue := func(point experiment.Point) bool { return point.Beside != value }
		c, err := figureCurve(slices.DeleteFunc(slices.Clone(f.Points), hasOtherValue), name)
		if err != nil {
			return nil, err
		}
		c.Name = f.Beside + " " + value
		curves = append(curves, c)
	}
	return curves, nil
}

// serviceBySecond returns the mean service of the days that offered calls in each second, up to the first second
// without any.
func serviceBySecond(results []*result.Result) Curve {
	var c Curve
	for second := 0; ; second++ {
		sum, days := 0.0, 0
		for _, r := range results {
			isWithinRun := second < len(r.Seconds) && float64(second) < r.Length
			if isWithinRun && r.Seconds[second] >= 0 {
				sum += r.Seconds[second]
				days++
			}
		}
		if days == 0 {
			return c
		}
		c.X = append(c.X, float64(second))
		c.Y = append(c.Y, sum/float64(days))
	}
}

// slowStartCurves returns the load of exchanges in slow start, for as many as there are colours.
func slowStartCurves(results []*result.Result) []Curve {
	var curves []Curve
	for _, r := range results {
		for _, cold := range r.Cold {
			if len(curves) == len(palette) {
				return curves
			}
			if len(cold.Sends) < 2 {
				continue
			}
			c := Curve{Name: fmt.Sprintf("seed %d, %s", r.Seed, cold.Exchange), Y: cold.Sends}
			for i := range cold.Sends {
				c.X = append(c.X, float64(i))
			}
			curves = append(curves, c)
		}
	}
	return curves
}
