// Package svg renders gonum plots as SVG elements for HTML pages. It sets the default font of plots; their content is
// up to the caller.
package svg

import (
	"bytes"
	"fmt"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// init sets the font of plots to that of the pages; a browser that does not have it substitutes another.
func init() { plot.DefaultFont = font.Font{Typeface: "Liberation", Variant: "Sans"} }

// elementStart begins the SVG element in an SVG document.
var elementStart = []byte("<svg")

// Draw renders a plot of the given size as an SVG element, without the prolog of an SVG document.
func Draw(p *plot.Plot, width, height vg.Length) (template.HTML, error) {
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var document bytes.Buffer
	if _, err := canvas.WriteTo(&document); err != nil {
		return "", fmt.Errorf("svg: %w", err)
	}
	element := document.Bytes()
	if i := bytes.Index(element, elementStart); i > 0 {
		element = element[i:]
	}
	return template.HTML(element), nil //nolint:gosec // vgsvg escapes all texts
}
