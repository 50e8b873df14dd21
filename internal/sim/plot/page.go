// Package plot writes experiments as self-contained HTML pages with tables and charts: inline SVG, no scripts and no
// references to other resources. The figures are computed by internal/sim/result and internal/sim/experiment.
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

// A Section is a section of a page.
type Section struct {
	Title   string
	About   string   // description below the title
	Facts   []string // list of parameters below the description
	Heading []string // column headings of the table
	Rows    [][]string
	Plots   []template.HTML
}

// WritePage writes an HTML document with the given sections.
func WritePage(w io.Writer, title string, parts []Section) error {
	document := struct {
		Title string
		Parts []Section
	}{title, parts}
	if err := pageTemplate.Execute(w, document); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

// FormatNumber formats a figure with three decimals for tables.
func FormatNumber(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
