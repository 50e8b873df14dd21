package plot

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/scenario"
	"olivedale/internal/sim/virtualtime"
)

// A page is whole, refers to nothing outside, and nothing from a scenario breaks out of it.
func TestPage(t *testing.T) {
	sc := scenario.Default()
	sc.Name, sc.About, sc.Length = `<script>alert(1)</script>`, `"><img src=x>`, scenario.Duration(4*time.Second)
	var f experiment.File
	f.Scenario, f.Vary = &sc, "callers.load"
	for _, load := range []string{"0.5", "1"} {
		one, err := experiment.Set(&sc, f.Vary, load)
		if err != nil {
			t.Fatal(err)
		}
		all, err := experiment.Play(context.Background(), one, experiment.Seeds(1, 3), virtualtime.Options{})
		if err != nil {
			t.Fatal(err)
		}
		f.Points = append(f.Points, experiment.Point{Value: load, Results: all})
	}
	swept, err := Of(&f)
	if err != nil {
		t.Fatal(err)
	}
	f.Points = f.Points[:1]
	one, err := Of(&f)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := Page(&b, "t", []Part{swept, one}); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	for _, bad := range []string{"<script", "<img", "href=", "url("} {
		if strings.Contains(page, bad) {
			t.Errorf("the page has %q", bad)
		}
	}
	if n := strings.Count(page, "<svg"); n != 3 {
		t.Errorf("%d plots", n)
	}
}
