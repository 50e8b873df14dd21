package report

import (
	"fmt"
	"html/template"
	"image/color"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"olivedale/internal/incident"
	"olivedale/internal/record"
	"olivedale/internal/svg"
)

// Colours that differ in print without colour, too: by how dark they are.
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

// seconds places a time on an axis.
func seconds(t incident.Time) float64 { return t.Seconds() }

// bands are stretches of time drawn behind everything: gaps.
type bands []struct{ from, to float64 }

// Plot implements plot.Plotter.
func (b bands) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	for _, s := range b {
		from, to := max(x(s.from), c.Min.X), min(x(s.to), c.Max.X)
		if to > from {
			c.FillPolygon(grey, []vg.Point{{X: from, Y: c.Min.Y}, {X: to, Y: c.Min.Y}, {X: to, Y: c.Max.Y}, {X: from, Y: c.Max.Y}})
		}
	}
}

// marks are findings, numbered as in the table, at the top of the plot.
type marks []struct {
	at   float64
	n    string
	text color.Color
}

// Plot implements plot.Plotter. Numbers that would stand on each other are left out; the
// lines stay.
func (m marks) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	last := vg.Length(-1e9)
	style := p.X.Tick.Label
	for _, k := range m {
		at := x(k.at)
		if at < c.Min.X || at > c.Max.X {
			continue
		}
		c.StrokeLine2(draw.LineStyle{Color: k.text, Width: vg.Points(0.6), Dashes: []vg.Length{vg.Points(2), vg.Points(2)}}, at, c.Min.Y, at, c.Max.Y)
		if at-last > vg.Points(9)*vg.Length(len(k.n)) {
			style.Color = k.text
			c.FillText(style, vg.Point{X: at + 2, Y: c.Max.Y - vg.Points(9)}, k.n)
			last = at
		}
	}
}

// lines draws a figure over the windows, broken where records are lost.
func (r *Result) lines(p *plot.Plot, name string, shade color.Color, dashes []vg.Length, of func(*incident.Window) (float64, bool)) error {
	var run plotter.XYs
	first := true
	end := func() error {
		if len(run) == 0 {
			return nil
		}
		if len(run) == 1 { // a line of one point is not seen
			run = append(run, plotter.XY{X: run[0].X + seconds(r.Width)/2, Y: run[0].Y})
		}
		l, err := plotter.NewLine(run)
		if err != nil {
			return fmt.Errorf("report: %s: %w", name, err)
		}
		l.Color, l.Width, l.Dashes = shade, vg.Points(1.2), dashes
		p.Add(l)
		if first {
			p.Legend.Add(name, l)
			first = false
		}
		run = nil
		return nil
	}
	for i := range r.Windows {
		w := &r.Windows[i]
		v, ok := of(w)
		if !ok || w.Gap || w.Runs == 0 {
			if err := end(); err != nil {
				return err
			}
			continue
		}
		run = append(run, plotter.XY{X: seconds(w.At + r.Width/2), Y: v})
	}
	return end()
}

func (r *Result) axes(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	form := "15:04:05"
	if r.To-r.From > 12*time.Hour {
		form = "01-02 15:04"
	}
	p.X.Tick.Marker = plot.TimeTicks{Format: form}
	p.X.Min, p.X.Max = seconds(r.Windows[0].At), seconds(r.Windows[len(r.Windows)-1].At+r.Width)
	p.Legend.Top = true
	p.Legend.ThumbnailWidth = vg.Points(18)
	p.Add(r.gapBands())
	return p
}

func (r *Result) gapBands() (b bands) {
	for _, w := range r.Windows {
		if w.Gap {
			b = append(b, struct{ from, to float64 }{seconds(w.At), seconds(w.At + r.Width)})
		}
	}
	return b
}

func (r *Result) marks() (m marks) {
	for i, f := range r.Findings {
		shade := color.Color(dark)
		if f.Bad {
			shade = red
		}
		m = append(m, struct {
			at   float64
			n    string
			text color.Color
		}{seconds(f.From.Mid()), fmt.Sprint(i + 1), shade})
	}
	return m
}

// calls draws what became of calls over time.
func (r *Result) calls() (template.HTML, error) {
	p := r.axes("Calls", "a second")
	rate := func(n func(*incident.Counts) uint64) func(*incident.Window) (float64, bool) {
		return func(w *incident.Window) (float64, bool) { return float64(n(&w.Counts)) / r.Width.Seconds(), true }
	}
	for _, l := range []struct {
		name   string
		shade  color.Color
		dashes []vg.Length
		of     func(*incident.Counts) uint64
	}{
		{"offered", blue, nil, func(c *incident.Counts) uint64 { return c.Offered }},
		{"stood", green, nil, func(c *incident.Counts) uint64 { return c.Stood() }},
		{"turned away", orange, nil, func(c *incident.Counts) uint64 { return c.TurnedAway() }},
		{"failed", red, nil, func(c *incident.Counts) uint64 { return c.Of(record.Failed) }},
		{"cut", purple, []vg.Length{vg.Points(4), vg.Points(2)}, func(c *incident.Counts) uint64 { return c.Cut }},
	} {
		if err := r.lines(p, l.name, l.shade, l.dashes, rate(l.of)); err != nil {
			return "", err
		}
	}
	p.Y.Min = 0
	p.Y.Max *= 1.25 // room for the legend
	p.Legend.Left = false
	p.Add(r.marks())
	return svg.Draw(p, plotWidth, plotHeight)
}

// delays draws how long calls took to stand.
func (r *Result) delays() (template.HTML, error) {
	p := r.axes("Time until a call stood", "ms")
	for _, l := range []struct {
		name  string
		shade color.Color
		of    func(*incident.Window) time.Duration
	}{
		{"mean", blue, func(w *incident.Window) time.Duration { return w.Mean }},
		{"longest", orange, func(w *incident.Window) time.Duration { return w.Most }},
	} {
		of := func(w *incident.Window) (float64, bool) { return ms(l.of(w)), w.Stood() > 0 }
		if err := r.lines(p, l.name, l.shade, nil, of); err != nil {
			return "", err
		}
	}
	p.Y.Min = 0
	p.Y.Max *= 1.2
	p.Add(r.marks())
	return svg.Draw(p, plotWidth, plotHeight)
}

// A span is a bar of the servers' plot.
type span struct {
	row      int
	from, to float64
	shade    color.Color
}

type spans []span

// Plot implements plot.Plotter.
func (s spans) Plot(c draw.Canvas, p *plot.Plot) {
	x, y := p.Transforms(&c)
	for _, b := range s {
		from, to := max(x(b.from), c.Min.X), min(max(x(b.to), x(b.from)+2), c.Max.X)
		lo, hi := y(float64(b.row)-0.32), y(float64(b.row)+0.32)
		if to > from {
			c.FillPolygon(b.shade, []vg.Point{{X: from, Y: lo}, {X: to, Y: lo}, {X: to, Y: hi}, {X: from, Y: hi}})
		}
	}
}

// mostRows bounds the servers' plot.
const mostRows = 30

// servers draws when servers were under pressure, drained, or were cold.
func (r *Result) servers() (template.HTML, error) {
	var names []string
	var all spans
	for _, f := range r.Findings {
		shade := color.Color(orange)
		switch f.Kind {
		case incident.FoundPressure:
		case incident.FoundDrain:
			shade = dark
		case incident.FoundLateSend, incident.FoundPushed:
			shade = red
		case incident.FoundCold:
			shade = blue
		default:
			continue
		}
		row := slices.Index(names, f.Server)
		if row < 0 {
			if len(names) >= mostRows {
				continue
			}
			row = len(names)
			names = append(names, f.Server)
		}
		all = append(all, span{row, seconds(f.From.Mid()), seconds(f.To.Mid()), shade})
	}
	if len(names) == 0 {
		return "", nil
	}
	p := r.axes("Servers: pressure (orange), drains (black), cold starts (blue), broken rules (red)", "")
	shown := make([]string, len(names))
	for i, n := range names {
		shown[i] = short(record.Printable(n), 24)
	}
	p.NominalY(shown...)
	p.Y.Min, p.Y.Max = -0.6, float64(len(names))-0.4
	p.Add(all)
	return svg.Draw(p, plotWidth, vg.Length(1.6+0.55*float64(len(names)))*vg.Centimeter+vg.Centimeter)
}

func short(s string, n int) string {
	r := []rune(s)
	if len(r) > n {
		return string(r[:n-1]) + "…"
	}
	return s
}
