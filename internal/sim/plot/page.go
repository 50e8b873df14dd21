// Package plot draws charts of experiments and writes them with their tables as self-contained HTML pages: inline
// SVG, no script and no reference to another resource. It computes no figures; internal/sim/result and
// internal/sim/experiment do.
package plot

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strconv"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// A Part is a section of a page.
type Part struct {
	Title   string
	About   string // description below the title
	Facts   []string
	Heading []string // of the table
	Rows    [][]string
	Plots   []template.HTML
}

// Page writes the parts as an HTML document.
func Page(w io.Writer, title string, parts []Part) error {
	document := struct {
		Title string
		Parts []Part
	}{title, parts}
	if err := pageTemplate.Execute(w, document); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

// Number formats a figure for tables.
func Number(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
