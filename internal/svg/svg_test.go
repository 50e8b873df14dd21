package svg

import (
	"strings"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
)

// The drawing is a single SVG element without a prolog, and texts are escaped.
func TestDraw(t *testing.T) {
	p := plot.New()
	p.Title.Text = "<script>"
	drawing, err := Draw(p, 5*vg.Centimeter, 3*vg.Centimeter)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.TrimSpace(string(drawing))
	if !strings.HasPrefix(text, "<svg") || !strings.HasSuffix(text, "</svg>") || strings.Count(text, "<svg") != 1 {
		t.Errorf("not a single SVG element: %.80q", text)
	}
	if strings.Contains(text, "<script") {
		t.Error("the title is not escaped")
	}
}
