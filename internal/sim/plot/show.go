// Package show makes pictures and pages of experiments: one self-contained HTML file with inline SVG,
// no script and nothing from elsewhere. It counts nothing on its own.
package plot

import (
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/result"
	"olivedale/internal/svg"
)

// A Curve is one line of a plot; Low and High, if there, are its interval at each point.
type Curve struct {
	Name      string
	X, Y      []float64
	Low, High []float64
	Dashed    bool
}

// shades are told apart in grey as well; the same curve keeps its shade over all plots of a page.
var shades = []color.RGBA{{0, 90, 160, 255}, {200, 80, 0, 255}, {20, 130, 60, 255}, {130, 40, 130, 255}, {90, 90, 90, 255}, {170, 140, 0, 255}}

// An interval is a curve with bars upright at each point.
type interval struct {
	plotter.XYs
	plotter.YErrors
}

// Plot draws curves.
func Plot(title, x, y string, curves []Curve) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Title.TextStyle.Font.Size, p.X.Label.TextStyle.Font.Size, p.Y.Label.TextStyle.Font.Size = 13, 11, 11
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = 10
	p.Add(plotter.NewGrid())
	for i, c := range curves {
		pts := make(plotter.XYs, len(c.X))
		for j := range c.X {
			pts[j] = plotter.XY{X: c.X[j], Y: c.Y[j]}
		}
		line, err := plotter.NewLine(pts)
		if err != nil {
			return "", fmt.Errorf("show: %s: %w", c.Name, err)
		}
		line.Color, line.Width = shades[i%len(shades)], vg.Points(1.6)
		if c.Dashed {
			line.Dashes = []vg.Length{vg.Points(5), vg.Points(4)}
		}
		p.Add(line)
		if c.Low != nil {
			e := interval{XYs: pts, YErrors: make(plotter.YErrors, len(pts))}
			for j := range pts {
				e.YErrors[j].Low, e.YErrors[j].High = c.Y[j]-c.Low[j], c.High[j]-c.Y[j]
			}
			bars, err := plotter.NewYErrorBars(e)
			if err != nil {
				return "", fmt.Errorf("show: %s: %w", c.Name, err)
			}
			bars.Color = shades[i%len(shades)]
			p.Add(bars)
		}
		if c.Name != "" {
			p.Legend.Add(c.Name, line)
		}
	}
	// Room for the legend above the curves, and for the last figure of the axis.
	p.X.Max += 0.04 * (p.X.Max - p.X.Min)
	p.Y.Max += 0.06 * float64(len(curves)+1) * (p.Y.Max - p.Y.Min)
	p.Legend.Padding, p.Legend.ThumbnailWidth = vg.Points(3), vg.Points(24)
	return svg.Draw(p, 16*vg.Centimeter, 9*vg.Centimeter)
}

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// A Part is one experiment on a page.
type Part struct {
	Title   string
	About   string
	Facts   []string
	Heading []string
	Rows    [][]string
	Plots   []template.HTML
}

// Page writes parts as one HTML file.
func Page(w io.Writer, title string, parts []Part) error {
	if err := page.Execute(w, struct {
		Title string
		Parts []Part
	}{title, parts}); err != nil {
		return fmt.Errorf("show: %w", err)
	}
	return nil
}

// Of makes the part of a page that an experiment is.
func Of(f *experiment.File) (Part, error) {
	sc := f.Scenario
	p := Part{Title: sc.Name, About: sc.About, Facts: []string{
		fmt.Sprintf("%d controllers, %d exchanges in %d zones, %.0f calls a second planned, load %v (%s), %v", sc.Fleet.Controllers, sc.Fleet.Exchanges, sc.Fleet.Zones,
			sc.Rate(), sc.Callers.Load, sc.Callers.Shape, sc.Length.D()),
		fmt.Sprintf("commit %s; %s", f.Commit, f.Machine)}}
	for _, x := range sc.Fault {
		p.Facts = append(p.Facts, "fault: "+x.String())
	}
	p.Heading = []string{f.Vary, "days", "score", "95%", "worst", "service", "worst 10 s", "worst class", "refused", "sends", "p50 ms", "p99 ms", "fairness", "cold", "rules broken"}
	if f.Vary == "" {
		p.Heading[0] = "value"
	}
	for _, pt := range f.Points {
		score := experiment.Bootstrap(experiment.Of(pt.Results, result.Figures[0]), false)
		row := []string{pt.Value, strconv.Itoa(score.Days), Number(score.Mean), Number(score.Low) + " to " + Number(score.High), Number(score.Worst)}
		for _, name := range []string{"service", "worst_10s", "worst_class", "refused", "sends", "setup_p50_ms", "setup_p99_ms", "fairness", "cold_sends"} {
			fig, err := result.FigureNamed(name)
			if err != nil {
				return p, err
			}
			m := experiment.Bootstrap(experiment.Of(pt.Results, fig), fig.Less).Mean
			if strings.HasSuffix(name, "_ms") {
				row = append(row, strconv.FormatFloat(m, 'f', 0, 64))
			} else {
				row = append(row, Number(m))
			}
		}
		broken := 0
		for _, r := range pt.Results {
			broken += r.Breached()
		}
		p.Rows = append(p.Rows, append(row, strconv.Itoa(broken)))
	}
	add := func(title, x, y string, curves []Curve) error {
		s, err := Plot(title, x, y, curves)
		if err == nil {
			p.Plots = append(p.Plots, s)
		}
		return err
	}
	against := func(title, y string, names ...string) error {
		var curves []Curve
		for _, name := range names {
			c, err := over(f, name)
			if err != nil {
				return err
			}
			curves = append(curves, c)
		}
		return add(title+" against "+f.Vary, f.Vary, y, curves)
	}
	if f.Beside != "" {
		p.Heading = slices.Insert(p.Heading, 1, f.Beside)
		for i, pt := range f.Points {
			p.Rows[i] = slices.Insert(p.Rows[i], 1, pt.Beside)
		}
		curves, err := beside(f, "score")
		if err != nil {
			return p, err
		}
		return p, add("score against "+f.Vary+", by "+f.Beside, f.Vary, "", curves)
	}
	if len(f.Points) > 1 {
		if err := against("service", "", "score", "service", "worst_10s", "worst_class"); err != nil {
			return p, err
		}
		return p, against("time until a call stands", "ms", "setup_p50_ms", "setup_p99_ms")
	}
	if len(f.Points) == 0 || len(f.Points[0].Results) == 0 {
		return p, nil
	}
	all := f.Points[0].Results
	if err := add("service second by second, mean of the days", "s", "", []Curve{bySecond(all)}); err != nil {
		return p, err
	}
	var cold []Curve
	for _, r := range all {
		for _, c := range r.Cold {
			if len(cold) < len(shades) && len(c.Sends) > 1 {
				curve := Curve{Name: fmt.Sprintf("seed %d, %s", r.Seed, c.Exchange), Y: c.Sends}
				for i := range c.Sends {
					curve.X = append(curve.X, float64(i))
				}
				cold = append(cold, curve)
			}
		}
	}
	if len(cold) > 0 {
		return p, add("set-ups sent to cold exchanges, over what they can do", "s since its start", "", cold)
	}
	return p, nil
}

// Number is how figures are written.
func Number(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

// over is a figure against what a sweep varied; values that are no numbers stand in their order.
func over(f *experiment.File, name string) (Curve, error) {
	fig, err := result.FigureNamed(name)
	if err != nil {
		return Curve{}, err
	}
	c := Curve{Name: name}
	for i, pt := range f.Points {
		x, err := strconv.ParseFloat(pt.Value, 64)
		if err != nil {
			x = float64(i)
		}
		iv := experiment.Bootstrap(experiment.Of(pt.Results, fig), fig.Less)
		c.X, c.Y = append(c.X, x), append(c.Y, iv.Mean)
		c.Low, c.High = append(c.Low, iv.Low), append(c.High, iv.High)
	}
	return c, nil
}

// beside is a figure over the first of two keys, a curve for each value of the second.
func beside(f *experiment.File, name string) (curves []Curve, err error) {
	var values []string
	for _, pt := range f.Points {
		if !slices.Contains(values, pt.Beside) {
			values = append(values, pt.Beside)
		}
	}
	for _, v := range values {
		one := *f
		one.Points = slices.DeleteFunc(slices.Clone(f.Points), func(pt experiment.Point) bool { return pt.Beside != v })
		c, err := over(&one, name)
		if err != nil {
			return nil, err
		}
		c.Name = f.Beside + " " + v
		curves = append(curves, c)
	}
	return curves, nil
}

func bySecond(all []*result.Result) Curve {
	var c Curve
	for i := 0; ; i++ {
		sum, n := 0.0, 0
		for _, r := range all {
			if i < len(r.Seconds) && r.Seconds[i] >= 0 && float64(i) < r.Length {
				sum, n = sum+r.Seconds[i], n+1
			}
		}
		if n == 0 {
			return c
		}
		c.X, c.Y = append(c.X, float64(i)), append(c.Y, sum/float64(n))
	}
}
