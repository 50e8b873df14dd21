package plot

import (
	"fmt"
	"strconv"
	"strings"

	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/result"
)

// tableFigures lists the figures, by name, and the headings of the columns after the score.
var tableFigures = []struct{ name, heading string }{
	{"service", "service"},
	{"worst_10s", "worst 10 s"},
	{"worst_class", "worst class"},
	{"refused", "rejected"},
	{"sends", "attempts"},
	{"setup_p50_ms", "p50 ms"},
	{"setup_p99_ms", "p99 ms"},
	{"fairness", "fairness"},
	{"cold_sends", "slow start"},
}

// ExperimentSection returns the section for an experiment.
func ExperimentSection(f *experiment.File) (Section, error) {
	part := Section{
		Title:   f.Scenario.Name,
		About:   f.Scenario.About,
		Facts:   facts(f),
		Heading: tableHeading(f),
	}
	for _, point := range f.Points {
		row, err := tableRow(f, point)
		if err != nil {
			return part, err
		}
		part.Rows = append(part.Rows, row)
	}
	for _, c := range charts(f) {
		curves, err := c.curves()
		if err != nil {
			return part, err
		}
		if len(curves) == 0 {
			continue
		}
		drawing, err := DrawChart(c.title, c.xLabel, c.yLabel, curves)
		if err != nil {
			return part, err
		}
		part.Plots = append(part.Plots, drawing)
	}
	return part, nil
}

// facts returns the parameters of an experiment as lines of text.
func facts(f *experiment.File) []string {
	sc := f.Scenario
	size := fmt.Sprintf("%d controllers, %d exchanges in %d zones, %.0f calls per second planned, load %v (%s), %v",
		sc.Fleet.Controllers, sc.Fleet.Exchanges, sc.Fleet.Zones, sc.Rate(), sc.Callers.Load, sc.Callers.Shape,
		sc.Length.D())
	lines := []string{size, fmt.Sprintf("commit %s; %s", f.Commit, f.Machine)}
	for _, fault := range sc.Fault {
		lines = append(lines, "fault: "+fault.String())
	}
	return lines
}

func tableHeading(f *experiment.File) []string {
	heading := []string{f.Vary}
	if f.Vary == "" {
		heading[0] = "value"
	}
	if f.Beside != "" {
		heading = append(heading, f.Beside)
	}
	heading = append(heading, "runs", "score", "95%", "worst")
	for _, column := range tableFigures {
		heading = append(heading, column.heading)
	}
	return append(heading, "violations")
}

func tableRow(f *experiment.File, point experiment.Point) ([]string, error) {
	row := []string{point.Value}
	if f.Beside != "" {
		row = append(row, point.Beside)
	}
	score := experiment.Bootstrap(experiment.FigureValues(point.Results, result.Figures[0]), false)
	row = append(row,
		strconv.Itoa(score.Days),
		FormatNumber(score.Mean),
		FormatNumber(score.Low)+" to "+FormatNumber(score.High),
		FormatNumber(score.Worst),
	)
	for _, column := range tableFigures {
		figure, err := result.FigureNamed(column.name)
		if err != nil {
			return nil, err
		}
		mean := experiment.Bootstrap(experiment.FigureValues(point.Results, figure), figure.LowerIsBetter).Mean
		row = append(row, formatFigure(figure.Name, mean))
	}
	violations := 0
	for _, r := range point.Results {
		violations += r.TotalViolations()
	}
	return append(row, strconv.Itoa(violations)), nil
}

// formatFigure formats milliseconds without decimals and other figures like FormatNumber.
func formatFigure(name string, v float64) string {
	if strings.HasSuffix(name, "_ms") {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return FormatNumber(v)
}
