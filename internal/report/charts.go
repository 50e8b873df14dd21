package report

import (
	"html/template"
	"image/color"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"olivedale/internal/incident"
	"olivedale/internal/record"
	"olivedale/internal/svg"
)

// Factors by which the y axis exceeds the largest value, which leaves room for the legend.
const (
	callsHeadroom     = 1.25
	setupTimeHeadroom = 1.2
)

// drawCalls draws the results of calls over time.
func (r *Result) drawCalls() (template.HTML, error) {
	p := r.newPlot("Calls", "calls per second")
	rate := func(count func(*incident.Counts) uint64) func(*incident.Window) (float64, bool) {
		return func(w *incident.Window) (float64, bool) {
			return float64(count(&w.Counts)) / r.Width.Seconds(), true
		}
	}
	dashed := []vg.Length{vg.Points(4), vg.Points(2)}
	for _, c := range []curve{
		{"offered", blue, nil, rate(func(c *incident.Counts) uint64 { return c.Offered })},
		{"established", green, nil, rate((*incident.Counts).Established)},
		{"rejected", orange, nil, rate((*incident.Counts).Rejected)},
		{"failed", red, nil, rate(func(c *incident.Counts) uint64 { return c.Outcome(record.OutcomeFailed) })},
		{"dropped", purple, dashed, rate(func(c *incident.Counts) uint64 { return c.Dropped })},
	} {
		if err := r.addCurve(p, c); err != nil {
			return "", err
		}
	}
	p.Y.Min = 0
	p.Y.Max *= callsHeadroom
	p.Legend.Left = false
	p.Add(r.marks())
	return svg.Draw(p, plotWidth, plotHeight)
}

// drawSetupTimes draws the set-up times of established calls over time.
func (r *Result) drawSetupTimes() (template.HTML, error) {
	p := r.newPlot("Set-up time of established calls", "ms")
	value := func(of func(*incident.Window) time.Duration) func(*incident.Window) (float64, bool) {
		return func(w *incident.Window) (float64, bool) { return milliseconds(of(w)), w.Established() > 0 }
	}
	for _, c := range []curve{
		{"mean", blue, nil, value(func(w *incident.Window) time.Duration { return w.MeanSetupTime })},
		{"longest", orange, nil, value(func(w *incident.Window) time.Duration { return w.MaxSetupTime })},
	} {
		if err := r.addCurve(p, c); err != nil {
			return "", err
		}
	}
	p.Y.Min = 0
	p.Y.Max *= setupTimeHeadroom
	p.Add(r.marks())
	return svg.Draw(p, plotWidth, plotHeight)
}

// A bar is one interval of a server's row.
type bar struct {
	row      int
	from, to float64
	shade    color.Color
}

type bars []bar

// Plot implements plot.Plotter.
func (b bars) Plot(c draw.Canvas, p *plot.Plot) {
	const halfHeight = 0.32 // in rows
	const minWidth = vg.Length(2)
	x, y := p.Transforms(&c)
	for _, s := range b {
		left := max(x(s.from), c.Min.X)
		right := min(max(x(s.to), x(s.from)+minWidth), c.Max.X)
		bottom, top := y(float64(s.row)-halfHeight), y(float64(s.row)+halfHeight)
		if right > left {
			c.FillPolygon(s.shade, rectangle(left, bottom, right, top))
		}
	}
}

// maxServerRows bounds the plot of servers; further servers are left out.
const maxServerRows = 30

// drawServers draws when servers were overloaded, draining or in slow start. The result is empty if no finding is about
// a server.
func (r *Result) drawServers() (template.HTML, error) {
	names, all := r.serverBars()
	if len(names) == 0 {
		return "", nil
	}
	p := r.newPlot("Servers: overload (orange), drains (black), cold starts (blue), broken rules (red)", "")
	labels := make([]string, len(names))
	for i, name := range names {
		labels[i] = truncate(record.Printable(name), 24)
	}
	p.NominalY(labels...)
	p.Y.Min, p.Y.Max = -0.6, float64(len(names))-0.4
	p.Add(all)
	height := vg.Length(1.6+0.55*float64(len(names)))*vg.Centimeter + vg.Centimeter
	return svg.Draw(p, plotWidth, height)
}

// serverBars returns the servers that findings are about, in the order of the findings, and the bars of their rows.
func (r *Result) serverBars() (names []string, all bars) {
	for _, f := range r.Findings {
		shade, ok := findingShade(f.Kind)
		if !ok {
			continue
		}
		row := slices.Index(names, f.Server)
		if row < 0 {
			if len(names) >= maxServerRows {
				continue
			}
			row = len(names)
			names = append(names, f.Server)
		}
		all = append(all, bar{row: row, from: seconds(f.From.Mid()), to: seconds(f.To.Mid()), shade: shade})
	}
	return names, all
}

// findingShade returns the colour for a kind of findings; ok is false for kinds that the plot of servers does not show.
func findingShade(kind string) (shade color.Color, ok bool) {
	switch kind {
	case incident.FoundOverload:
		return orange, true
	case incident.FoundDrain:
		return dark, true
	case incident.FoundLateSend, incident.FoundColdOverload:
		return red, true
	case incident.FoundCold:
		return blue, true
	}
	return nil, false
}

// truncate shortens a text to n characters, the last of them an ellipsis.
func truncate(s string, n int) string {
	r := []rune(s)
	if len(r) > n {
		return string(r[:n-1]) + "…"
	}
	return s
}
