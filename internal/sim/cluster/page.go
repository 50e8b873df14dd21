package cluster

import (
	"fmt"
	"html/template"

	"olivedale/internal/sim/plot"
)

// minPlotSamples is the number of samples from which a curve is drawn.
const minPlotSamples = 3

// PagePart returns the run as a part of a page: its faults and violations beside what the callers of each zone got.
func (r *Result) PagePart() (plot.Part, error) {
	t := &r.Topology
	about := fmt.Sprintf("%d call controllers, %d exchanges, %d zones with an agent each; calls for %.0f s. "+
		"%d events captured, rules violated %d times.",
		t.Controllers, t.Exchanges, t.Zones, r.Duration, r.EventCount, r.ViolationCount)
	p := plot.Part{Title: fmt.Sprintf("Seed %d", r.Seed), About: about}
	for _, f := range r.InjectedFaults {
		p.Facts = append(p.Facts, f.Fault.String())
	}
	for _, v := range r.Violations {
		p.Facts = append(p.Facts, "broken: "+v.String())
	}
	p.Heading, p.Rows = r.Rows()
	if len(r.Samples) < minPlotSamples {
		return p, nil
	}
	svg, err := plot.Plot("calls sent and not established, so far", "s", "", r.curves())
	if err != nil {
		return p, err
	}
	p.Plots = []template.HTML{svg}
	return p, nil
}

// curves returns for each zone the calls that were sent and not established. A rise that stays is calls that were
// lost; one that passes is calls that wait.
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
