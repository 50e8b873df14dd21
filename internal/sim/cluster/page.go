package cluster

import (
	"fmt"
	"html/template"

	"olivedale/internal/sim/plot"
)

// minPlotSamples is the minimum number of samples for a plot.
const minPlotSamples = 3

// PagePart returns the section of a page for the run: its faults, its violations, and the results of the callers in
// each zone as a table and a plot.
func (r *Result) PagePart() (plot.Section, error) {
	t := &r.Topology
	about := fmt.Sprintf("%d call controllers, %d exchanges, %d zones with an agent each; calls for %.0f s. "+
		"%d events captured, rules violated %d times.",
		t.Controllers, t.Exchanges, t.Zones, r.Duration, r.EventCount, r.ViolationCount)
	p := plot.Section{Title: fmt.Sprintf("Seed %d", r.Seed), About: about}
	for _, f := range r.InjectedFaults {
		p.Facts = append(p.Facts, f.Fault.String())
	}
	for _, v := range r.Violations {
		p.Facts = append(p.Facts, "violation: "+v.String())
	}
	p.Heading, p.Rows = r.Rows()
	if len(r.Samples) < minPlotSamples {
		return p, nil
	}
	svg, err := plot.DrawChart("calls sent but not established, cumulative", "s", "", r.curves())
	if err != nil {
		return p, err
	}
	p.Plots = []template.HTML{svg}
	return p, nil
}

// curves returns for each zone the cumulative number of calls that were sent but not established. A lasting rise means
// calls that were lost; a temporary rise means calls that waited.
func (r *Result) curves() []plot.Curve {
	var curves []plot.Curve
	for zone := range r.Topology.Zones {
		c := plot.Curve{Name: zoneName(zone)}
		for _, s := range r.Samples {
			c.X = append(c.X, s.At)
			c.Y = append(c.Y, float64(s.Sent[zone]-s.Established[zone]))
		}
		curves = append(curves, c)
	}
	return curves
}
