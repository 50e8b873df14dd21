package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/lab/experiment"
	"olivedale/internal/lab/sabourin"
	"olivedale/internal/lab/show"
)

// writePage writes parts as a page to a file.
func writePage(path, title string, parts []show.Part) error {
	w, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(show.Page(w, title, parts), w.Close())
}

func reportCommand() *cobra.Command {
	var out, title string
	c := &cobra.Command{
		Use: "report RESULTS.json... -o FILE.html", Short: "Make a page of results", Args: cobra.MinimumNArgs(1),
		Example: "  olivelab report load.json coldstart.json -o study.html",
		RunE: func(c *cobra.Command, args []string) error {
			if out == "" {
				return cli.Usage("-o names the file to write")
			}
			var parts []show.Part
			for _, path := range args {
				f, err := experiment.Load(path)
				if err != nil {
					return err
				}
				p, err := show.Of(f)
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
		Example: "  olivelab curve -o curve.html",
		RunE: func(c *cobra.Command, _ []string) error {
			if out == "" {
				return cli.Usage("-o names the file to write")
			}
			var curves []show.Curve
			part := show.Part{Title: "Handled load against offered load", About: "Sabourin's counting of calls at the door of the laboratory's exchange (lines) beside his theory (dashed), " +
				"for rejected calls that cost nothing, 30% and 50% of an accepted one. Thresholds 0.8 and 0.9, periods of 100 ms, a window of 3 s, as in the paper; " +
				"half of the calls outgoing, four in ten incoming, one in ten urgent, which is ours.",
				Heading: []string{"offered", "cost of a rejected call", "handled", "theory", "total", "theory"}}
			for _, reject := range []float64{0, 0.3, 0.5} {
				m := sabourin.Paper(reject)
				run, theory := show.Curve{Name: fmt.Sprintf("rejected calls cost %v", reject)}, show.Curve{Name: fmt.Sprintf("theory, %v", reject), Dashed: true}
				for offered := 0.1; offered < 2.55; offered += 0.1 {
					want, load := m.Theory(offered)
					theory.X, theory.Y = append(theory.X, offered), append(theory.Y, want)
					if load > 1 {
						continue // no steady state
					}
					got, total := m.Run(offered, 400*time.Second, 1)
					run.X, run.Y = append(run.X, offered), append(run.Y, got)
					part.Rows = append(part.Rows, []string{fmt.Sprintf("%.1f", offered), fmt.Sprint(reject), show.Number(got), show.Number(want), show.Number(total), show.Number(load)})
				}
				curves = append(curves, run, theory)
			}
			svg, err := show.Plot("handled load", "offered load", "", curves)
			if err != nil {
				return err
			}
			part.Plots = append(part.Plots, svg)
			return writePage(out, "Overload control by counting calls", []show.Part{part})
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "the file to write")
	return c
}
