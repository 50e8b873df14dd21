package main

import (
	"fmt"
	"html/template"
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/sim/plot"
	"olivedale/internal/sim/sabourin"
)

// Parameters of the curves. Offered loads range from offeredLoadStep up to and including maxOfferedLoad.
const (
	offeredLoadStep  = 0.1
	maxOfferedLoad   = 2.5
	simulationLength = 400 * time.Second
	simulationSeed   = 1
)

// rejectionCosts are the costs of a rejected call relative to an accepted one, with one curve for each.
var rejectionCosts = []float64{0, 0.3, 0.5}

const curveDescription = "Sabourin's overload control by call counting, in front of the emulated exchange (solid) " +
	"and by his theory (dashed), for rejected calls that cost 0%, 30% and 50% of an accepted one. Thresholds of 0.8 " +
	"and 0.9, periods of 100 ms and a window of 3 s as in the paper. The mix of calls is this project's choice: half " +
	"outgoing, four in ten incoming and one in ten urgent."

func curveCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "curve -o FILE.html",
		Short:   "Reproduce Sabourin's curves of handled load against offered load",
		Args:    cobra.NoArgs,
		Example: "  olivesim curve -o curve.html",
		RunE: func(*cobra.Command, []string) error {
			if file == "" {
				return errNoOutputFile
			}
			part, err := curvePart()
			if err != nil {
				return err
			}
			return writePage(file, "Overload control by call counting", []plot.Section{part})
		},
	}
	c.Flags().StringVarP(&file, "out", "o", "", "output file")
	return c
}

// curvePart computes the curves and their table.
func curvePart() (plot.Section, error) {
	part := plot.Section{
		Title:   "Handled load against offered load",
		About:   curveDescription,
		Heading: []string{"offered", "cost of a rejected call", "handled", "theory", "total", "theory"},
	}
	var curves []plot.Curve
	for _, cost := range rejectionCosts {
		simulated, theory, rows := curvesForCost(cost)
		curves = append(curves, simulated, theory)
		part.Rows = append(part.Rows, rows...)
	}
	chart, err := plot.DrawChart("handled load", "offered load", "", curves)
	if err != nil {
		return part, err
	}
	part.Plots = []template.HTML{chart}
	return part, nil
}

// curvesForCost returns the handled load by simulation and by theory for a cost of rejections, with the rows of
// the table. Offered loads without a steady state are not simulated.
func curvesForCost(cost float64) (simulated, theory plot.Curve, rows [][]string) {
	mix := sabourin.PaperMix(cost)
	simulated.Name = fmt.Sprintf("rejected calls cost %v", cost)
	theory.Name = fmt.Sprintf("theory, %v", cost)
	theory.Dashed = true
	for offered := offeredLoadStep; offered < maxOfferedLoad+offeredLoadStep/2; offered += offeredLoadStep {
		expected := mix.Theory(offered)
		theory.X = append(theory.X, offered)
		theory.Y = append(theory.Y, expected.Handled)
		if expected.Total > 1 {
			continue
		}
		measured := mix.Simulate(offered, simulationLength, simulationSeed)
		simulated.X = append(simulated.X, offered)
		simulated.Y = append(simulated.Y, measured.Handled)
		rows = append(rows, []string{
			fmt.Sprintf("%.1f", offered),
			fmt.Sprint(cost),
			plot.FormatNumber(measured.Handled),
			plot.FormatNumber(expected.Handled),
			plot.FormatNumber(measured.Total),
			plot.FormatNumber(expected.Total),
		})
	}
	return simulated, theory, rows
}
