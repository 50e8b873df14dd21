package cluster

import (
	"fmt"
	"html/template"

	"olivedale/internal/sim/plot"
)

// Part is the run as a part of a page: what went wrong beside what callers of each zone got.
func (res *Result) Part() (plot.Part, error) {
	p := plot.Part{Title: fmt.Sprintf("Seed %d", res.Seed), About: fmt.Sprintf("%d call controllers, %d exchanges, %d zones with an agent each; calls for %.0f s. %d events on the wires, rules broken %d times.",
		res.Topology.Controllers, res.Topology.Exchanges, res.Topology.Zones, res.Duration, res.Seen, res.Broken)}
	for _, s := range res.Struck {
		p.Facts = append(p.Facts, s.Fault.String())
	}
	for _, b := range res.Breaches {
		p.Facts = append(p.Facts, "broken: "+b.String())
	}
	p.Heading, p.Rows = res.Rows()
	var curves []plot.Curve
	for z := range res.Topology.Zones {
		c := plot.Curve{Name: fmt.Sprint("z", z)}
		for _, now := range res.Samples { // a rise that stays is calls lost; one that passes, calls that wait
			c.X, c.Y = append(c.X, now.At), append(c.Y, float64(now.Sent[z]-now.Established[z]))
		}
		curves = append(curves, c)
	}
	if len(res.Samples) < 3 {
		return p, nil
	}
	svg, err := plot.Plot("calls sent that did not stand, so far", "s", "", curves)
	if err != nil {
		return p, err
	}
	p.Plots = []template.HTML{svg}
	return p, nil
}
