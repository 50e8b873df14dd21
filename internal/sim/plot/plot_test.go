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

// A page has all its charts, refers to no other resource and escapes the texts of a scenario.
func TestPage(t *testing.T) {
	sc := scenario.Default()
	sc.Name = `<script>alert(1)</script>`
	sc.About = `"><img src=x>`
	sc.Length = scenario.Duration(4 * time.Second)
	f := experiment.File{Scenario: &sc, Vary: "callers.load"}
	for _, load := range []string{"0.5", "1"} {
		changed, err := experiment.Set(&sc, f.Vary, load)
		if err != nil {
			t.Fatal(err)
		}
		results, err := experiment.RunSeeds(context.Background(), changed, experiment.Seeds(1, 3), virtualtime.Options{})
		if err != nil {
			t.Fatal(err)
		}
		f.Points = append(f.Points, experiment.Point{Value: load, Results: results})
	}
	sweep, err := ExperimentSection(&f)
	if err != nil {
		t.Fatal(err)
	}
	f.Points = f.Points[:1]
	single, err := ExperimentSection(&f)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := WritePage(&b, "t", []Section{sweep, single}); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	for _, unsafe := range []string{"<script", "<img", "href=", "url("} {
		if strings.Contains(page, unsafe) {
			t.Errorf("the page contains %q", unsafe)
		}
	}
	if n := strings.Count(page, "<svg"); n != 3 {
		t.Errorf("%d charts, want 3", n)
	}
}
