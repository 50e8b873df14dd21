package plot

import (
	"fmt"
	"slices"
	"strconv"

	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/result"
)

// chart is a chart of an experiment. Its curves are computed when it is drawn; a chart without curves is left out.
type chart struct {
	title, xLabel, yLabel string
	curves                func() ([]Curve, error)
}

// charts returns the charts for an experiment: figures against one or two varied keys, or the service over time if no
// key varies.
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
			title: "service by second, mean of all runs", xLabel: "s",
			curves: func() ([]Curve, error) { return []Curve{serviceBySecond(results)}, nil },
		},
		{
			title: "attempts to exchanges in slow start, over their capacity", xLabel: "s since the start",
			curves: func() ([]Curve, error) { return slowStartCurves(results), nil },
		},
	}
}

// sweepChart returns a chart of figures against the varied key.
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

// figureCurve returns the curve of a figure against the varied key. A value that is not a number is drawn at its index.
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
		interval := experiment.Bootstrap(experiment.FigureValues(point.Results, figure), figure.LowerIsBetter)
		c.X = append(c.X, x)
		c.Y = append(c.Y, interval.Mean)
		c.Low = append(c.Low, interval.Low)
		c.High = append(c.High, interval.High)
	}
	return c, nil
}

// curvesBySecondKey returns curves of a figure against the first of two varied keys, one for each value of the second.
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

// serviceBySecond returns the curve of the mean service in each second, over the runs that offered calls in it. It ends
// at the first second in which no run did.
func serviceBySecond(results []*result.Result) Curve {
	var c Curve
	for second := 0; ; second++ {
		sum, runs := 0.0, 0
		for _, r := range results {
			isWithinRun := second < len(r.Seconds) && float64(second) < r.Length
			if isWithinRun && r.Seconds[second] >= 0 {
				sum += r.Seconds[second]
				runs++
			}
		}
		if runs == 0 {
			return c
		}
		c.X = append(c.X, float64(second))
		c.Y = append(c.Y, sum/float64(runs))
	}
}

// slowStartCurves returns the load of exchanges in slow start over time, at most one curve per colour of the palette.
func slowStartCurves(results []*result.Result) []Curve {
	var curves []Curve
	for _, r := range results {
		for _, cold := range r.SlowStarts {
			if len(curves) == len(palette) {
				return curves
			}
			if len(cold.Loads) < 2 {
				continue
			}
			c := Curve{Name: fmt.Sprintf("seed %d, %s", r.Seed, cold.Exchange), Y: cold.Loads}
			for i := range cold.Loads {
				c.X = append(c.X, float64(i))
			}
			curves = append(curves, c)
		}
	}
	return curves
}
