package report

import (
	"fmt"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"olivedale/internal/incident"
)

// Colours of the plots. They differ in brightness, so that they can be distinguished in a greyscale print.
var (
	blue   = color.RGBA{0x1f, 0x4e, 0x8c, 0xff}
	green  = color.RGBA{0x2a, 0x8a, 0x57, 0xff}
	orange = color.RGBA{0xd9, 0x7d, 0x12, 0xff}
	red    = color.RGBA{0xb3, 0x1d, 0x1d, 0xff}
	purple = color.RGBA{0x77, 0x4a, 0xa8, 0xff}
	grey   = color.RGBA{0xd6, 0xd6, 0xd6, 0xff}
	dark   = color.RGBA{0x44, 0x44, 0x44, 0xff}
)

const (
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// seconds returns the position of a time on the x axis.
func seconds(t incident.Time) float64 { return t.Seconds() }

// A band is an interval of the x axis that is shaded because records are lost.
type band struct{ from, to float64 }

// bands are drawn behind everything else.
type bands []band

// Plot implements plot.Plotter.
func (b bands) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	for _, s := range b {
		from, to := max(x(s.from), c.Min.X), min(x(s.to), c.Max.X)
		if to > from {
			c.FillPolygon(grey, rectangle(from, c.Min.Y, to, c.Max.Y))
		}
	}
}

// A mark is a vertical line at the begin of a finding, labelled with the number that the finding has in the table.
type mark struct {
	at    float64
	label string
	shade color.Color
}

type marks []mark

// Plot implements plot.Plotter. Labels that would overlap are left out; their lines stay.
func (m marks) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	last := vg.Length(-1e9)
	style := p.X.Tick.Label
	for _, k := range m {
		at := x(k.at)
		if at < c.Min.X || at > c.Max.X {
			continue
		}
		line := draw.LineStyle{Color: k.shade, Width: vg.Points(0.6), Dashes: []vg.Length{vg.Points(2), vg.Points(2)}}
		c.StrokeLine2(line, at, c.Min.Y, at, c.Max.Y)
		if at-last > vg.Points(9)*vg.Length(len(k.label)) {
			style.Color = k.shade
			c.FillText(style, vg.Point{X: at + 2, Y: c.Max.Y - vg.Points(9)}, k.label)
			last = at
		}
	}
}

// rectangle returns the corners of a rectangle.
func rectangle(left, bottom, right, top vg.Length) []vg.Point {
	return []vg.Point{{X: left, Y: bottom}, {X: right, Y: bottom}, {X: right, Y: top}, {X: left, Y: top}}
}

// A curve is one value over the windows of a report.
type curve struct {
	name   string
	shade  color.Color
	dashes []vg.Length
	value  func(*incident.Window) (v float64, ok bool) // ok is false for windows without a value
}

// addCurve adds a curve to a plot, interrupted where records are lost.
func (r *Result) addCurve(p *plot.Plot, c curve) error {
	isFirst := true
	for _, points := range r.segments(c) {
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("report: %s: %w", c.name, err)
		}
		line.Color, line.Width, line.Dashes = c.shade, vg.Points(1.2), c.dashes
		p.Add(line)
		if isFirst {
			p.Legend.Add(c.name, line)
			isFirst = false
		}
	}
	return nil
}

// segments returns the points of a curve, split where it is interrupted. A single point is extended to half a window,
// since a line of one point is invisible.
func (r *Result) segments(c curve) (all []plotter.XYs) {
	var points plotter.XYs
	endSegment := func() {
		if len(points) == 1 {
			points = append(points, plotter.XY{X: points[0].X + seconds(r.Width)/2, Y: points[0].Y})
		}
		if len(points) > 0 {
			all = append(all, points)
		}
		points = nil
	}
	for i := range r.Windows {
		w := &r.Windows[i]
		v, ok := c.value(w)
		if !ok || w.Gap || w.Sources == 0 {
			endSegment()
			continue
		}
		points = append(points, plotter.XY{X: seconds(w.At + r.Width/2), Y: v})
	}
	endSegment()
	return all
}

// newPlot returns a plot with the time axis of the report and shaded bands where records are lost.
func (r *Result) newPlot(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	timeFormat := "15:04:05"
	if r.To-r.From > 12*time.Hour {
		timeFormat = "01-02 15:04"
	}
	p.X.Tick.Marker = plot.TimeTicks{Format: timeFormat}
	p.X.Min, p.X.Max = seconds(r.Windows[0].At), seconds(r.Windows[len(r.Windows)-1].At+r.Width)
	p.Legend.Top = true
	p.Legend.ThumbnailWidth = vg.Points(18)
	p.Add(r.gapBands())
	return p
}

func (r *Result) gapBands() (b bands) {
	for _, w := range r.Windows {
		if w.Gap {
			b = append(b, band{seconds(w.At), seconds(w.At + r.Width)})
		}
	}
	return b
}

func (r *Result) marks() (m marks) {
	for i, f := range r.Findings {
		shade := color.Color(dark)
		if f.IsFault {
			shade = red
		}
		m = append(m, mark{at: seconds(f.From.Mid()), label: fmt.Sprint(i + 1), shade: shade})
	}
	return m
}
