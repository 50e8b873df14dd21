package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/sim/experiment"
	"olivedale/internal/sim/plot"
	"olivedale/internal/sim/sabourin"
)

// writePage writes parts as a page to a file.
func writePage(path, title string, parts []plot.Part) error {
	w, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(plot.Page(w, title, parts), w.Close())
}

func reportCommand() *cobra.Command {
	var out, title string
	c := &cobra.Command{
		Use: "report RESULTS.json... -o FILE.html", Short: "Make a page of results", Args: cobra.MinimumNArgs(1),
		Example: "  olivesim report load.json coldstart.json -o study.html",
		RunE: func(c *cobra.Command, args []string) error {
			if out == "" {
				return cli.Usage("-o names the file to write")
			}
			var parts []plot.Part
			for _, path := range args {
				f, err := experiment.Load(path)
				if err != nil {
					return err
				}
				p, err := plot.Of(f)
				if err != nil {
					return err
				}
				parts = append(parts, p)
			}
			return writePage(out, title, parts)
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "the file to write")
	c.Flags().StringVar(&title, "title", "Laboratory", "the page's title")
	return c
}

func curveCommand() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use: "curve -o FILE.html", Short: "Redraw the paper's curves of handled against offered load", Args: cobra.NoArgs,
		Example: "  olivesim curve -o curve.html",
		RunE: func(c *cobra.Command, _ []string) error {
			if out == "" {
				return cli.Usage("-o names the file to write")
			}
			var curves []plot.Curve
			part := plot.Part{Title: "Handled load against offered load", About: "Sabourin's counting of calls at the door of the laboratory's exchange (lines) beside his theory (dashed), " +
				"for rejected calls that cost nothing, 30% and 50% of an accepted one. Thresholds 0.8 and 0.9, periods of 100 ms, a window of 3 s, as in the paper; " +
				"half of the calls outgoing, four in ten incoming, one in ten urgent, which is ours.",
				Heading: []string{"offered", "cost of a rejected call", "handled", "theory", "total", "theory"}}
			for _, reject := range []float64{0, 0.3, 0.5} {
				m := sabourin.Paper(reject)
				run, theory := plot.Curve{Name: fmt.Sprintf("rejected calls cost %v", reject)}, plot.Curve{Name: fmt.Sprintf("theory, %v", reject), Dashed: true}
				for offered := 0.1; offered < 2.55; offered += 0.1 {
					want, load := m.Theory(offered)
					theory.X, theory.Y = append(theory.X, offered), append(theory.Y, want)
					if load > 1 {
						continue // no steady state
					}
					got, total := m.Run(offered, 400*time.Second, 1)
					run.X, run.Y = append(run.X, offered), append(run.Y, got)
					part.Rows = append(part.Rows, []string{fmt.Sprintf("%.1f", offered), fmt.Sprint(reject), plot.Number(got), plot.Number(want), plot.Number(total), plot.Number(load)})
				}
				curves = append(curves, run, theory)
			}
			svg, err := plot.Plot("handled load", "offered load", "", curves)
			if err != nil {
				return err
			}
			part.Plots = append(part.Plots, svg)
			return writePage(out, "Overload control by counting calls", []plot.Part{part})
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "the file to write")
	return c
}
