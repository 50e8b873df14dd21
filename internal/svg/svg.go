// Package svg makes plots into elements that stand in a page. What is plotted is others'.
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

// Axes and legends in the pages' manner; a browser takes what it has in place of it.
func init() { plot.DefaultFont = font.Font{Typeface: "Liberation", Variant: "Sans"} }

// Draw draws a plot as an element to stand in a page.
func Draw(p *plot.Plot, width, height vg.Length) (template.HTML, error) {
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", fmt.Errorf("svg: %w", err)
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 { // what is before it belongs to a file of its own
		text = text[i:]
	}
	return template.HTML(text), nil //nolint:gosec // vgsvg escapes all texts
}
