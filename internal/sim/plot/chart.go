package plot

import (
	"fmt"
	"html/template"
	"image/color"

	gonumplot "gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"olivedale/internal/svg"
)

// A Curve is a line of a chart. Low and High, if not nil, are the bounds of the confidence interval at each point.
type Curve struct {
	Name      string
	X, Y      []float64
	Low, High []float64
	Dashed    bool
}

// palette holds the colours of the curves in order. They remain distinguishable in greyscale.
var palette = []color.RGBA{
	{0, 90, 160, 255},
	{200, 80, 0, 255},
	{20, 130, 60, 255},
	{130, 40, 130, 255},
	{90, 90, 90, 255},
	{170, 140, 0, 255},
}

// Dimensions of charts.
const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 9 * vg.Centimeter

	titleSize  = 13
	labelSize  = 11
	legendSize = 10

	lineWidth  = 1.6 // points
	dashLength = 5   // points
	dashGap    = 4   // points

	legendPadding   = 3  // points
	legendLineWidth = 24 // points

	// rightMargin is the space for the last label of the x axis, as a share of the axis.
	rightMargin = 0.04
	// legendRowHeight is the space above the curves for each row of the legend, as a share of the y axis.
	legendRowHeight = 0.06
)

// DrawChart draws curves as a chart and returns it as an SVG element.
func DrawChart(title, xLabel, yLabel string, curves []Curve) (template.HTML, error) {
	chart := newChart(title, xLabel, yLabel)
	for i, c := range curves {
		if err := addCurve(chart, c, palette[i%len(palette)]); err != nil {
			return "", fmt.Errorf("plot: %s: %w", c.Name, err)
		}
	}
	chart.X.Max += rightMargin * (chart.X.Max - chart.X.Min)
	chart.Y.Max += legendRowHeight * float64(len(curves)+1) * (chart.Y.Max - chart.Y.Min)
	return svg.Draw(chart, chartWidth, chartHeight)
}

func newChart(title, xLabel, yLabel string) *gonumplot.Plot {
	chart := gonumplot.New()
	chart.Title.Text = title
	chart.Title.TextStyle.Font.Size = titleSize
	chart.X.Label.Text = xLabel
	chart.X.Label.TextStyle.Font.Size = labelSize
	chart.Y.Label.Text = yLabel
	chart.Y.Label.TextStyle.Font.Size = labelSize
	chart.Legend.Top = true
	chart.Legend.TextStyle.Font.Size = legendSize
	chart.Legend.Padding = vg.Points(legendPadding)
	chart.Legend.ThumbnailWidth = vg.Points(legendLineWidth)
	chart.Add(plotter.NewGrid())
	return chart
}

// addCurve adds a curve with its error bars and its legend entry to a chart.
func addCurve(chart *gonumplot.Plot, c Curve, shade color.RGBA) error {
	points := make(plotter.XYs, len(c.X))
	for i := range c.X {
		points[i] = plotter.XY{X: c.X[i], Y: c.Y[i]}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = shade
	line.Width = vg.Points(lineWidth)
	if c.Dashed {
		line.Dashes = []vg.Length{vg.Points(dashLength), vg.Points(dashGap)}
	}
	chart.Add(line)
	if c.Low != nil {
		bars, err := errorBars(points, c)
		if err != nil {
			return err
		}
		bars.Color = shade
		chart.Add(bars)
	}
	if c.Name != "" {
		chart.Legend.Add(c.Name, line)
	}
	return nil
}

// errorBars returns vertical error bars from Low to High at the points of a curve.
func errorBars(points plotter.XYs, c Curve) (*plotter.YErrorBars, error) {
	errors := make(plotter.YErrors, len(points))
	for i := range points {
		errors[i].Low = c.Y[i] - c.Low[i]
		errors[i].High = c.High[i] - c.Y[i]
	}
	return plotter.NewYErrorBars(struct {
		plotter.XYs
		plotter.YErrors
	}{points, errors})
}
