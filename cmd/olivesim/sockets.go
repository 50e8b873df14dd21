package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/sim/demo"
	"olivedale/internal/sim/loopback"
	"olivedale/internal/sim/scenario"
)

func demoCommand() *cobra.Command {
	o := demo.Options{}
	c := &cobra.Command{
		Use: "demo", Short: "Run the product for a minute on this machine, with things going wrong", Args: cobra.NoArgs,
		Long: "demo starts emulated exchanges, a directory, a stand-in of etcd, the agent, two call controllers and a light load on loopback\n" +
			"addresses, has a processor slow down, an exchange replaced, a controller killed and calls cut, and stops everything.",
		Example: "  olivesim demo --for 30s --report demo.html",
		RunE: func(c *cobra.Command, _ []string) error {
			if o.Bin == "" {
				self, err := os.Executable()
				if err != nil {
					return err
				}
				o.Bin = filepath.Dir(self)
			}
			switch {
			case o.Controllers < 1 || o.Controllers > 16 || o.Exchanges < 2 || o.Exchanges > 32:
				return cli.Usage("--controllers is 1 to 16, --exchanges 2 to 32")
			case o.Rate <= 0 || o.Rate > 1000 || o.For < time.Second || o.For > time.Hour:
				return cli.Usage("--rate is up to 1000 calls a second, --for 1s to 1h")
			}
			ctx, stop := cli.Interruptible(c)
			defer stop()
			o.Out = c.OutOrStdout()
			return demo.Run(ctx, o)
		},
	}
	f := c.Flags()
	f.StringVar(&o.Bin, "bin", "", "folder of the programs (default: that of this one)")
	f.StringVar(&o.Dir, "dir", "", "folder for files and records, kept after (default: one that is removed)")
	f.StringVar(&o.Report, "report", "", "file for the report of the records")
	f.StringVar(&o.Agent, "agent", "127.0.0.1:2950", "where the agent listens")
	f.IntVar(&o.Controllers, "controllers", 2, "call controllers")
	f.IntVar(&o.Exchanges, "exchanges", 3, "emulated exchanges")
	f.Float64Var(&o.Rate, "rate", 40, "calls a second")
	f.DurationVar(&o.For, "for", 40*time.Second, "how long calls come")
	f.Uint64Var(&o.Seed, "seed", 1, "of calls and exchanges")
	return c
}

func serveCommand() *cobra.Command {
	var n int
	var names, first string
	var cold bool
	var file string
	var seed uint64
	c := &cobra.Command{
		Use: "serve", Short: "Serve emulated exchanges and their directory on loopback", Args: cobra.NoArgs,
		Example: "  olivesim serve --exchanges 3 --names 127.0.0.1:8600",
		RunE: func(c *cobra.Command, _ []string) error {
			sc := scenario.Default()
			if file != "" {
				read, err := scenario.Load(file)
				if err != nil {
					return err
				}
				sc = *read
			}
			if n < 1 || n > 256 {
				return cli.Usage("--exchanges is 1 to 256")
			}
			ctx, stop := cli.Interruptible(c)
			defer stop()
			dir, err := loopback.ListenNames(names)
			if err != nil {
				return err
			}
			defer dir.Close()
			var lines []loopback.Line
			var all []*loopback.Exchange
			for i := range n {
				addr := "127.0.0.1:0"
				if i == 0 && first != "" {
					addr = first
				}
				x, err := loopback.Listen(addr, sc.Model(), cold, seed+uint64(i))
				if err != nil {
					return err
				}
				defer x.Close()
				l := loopback.Line{ID: fmt.Sprint("x", i), Addr: x.Addr(), Zone: "east", Pool: i}
				if cold {
					l.Started = time.Now()
				}
				lines, all = append(lines, l), append(all, x)
				if _, err := fmt.Fprintf(c.OutOrStdout(), "%s %s pool %d\n", l.ID, l.Addr, i); err != nil {
					return err
				}
			}
			dir.Set(lines...)
			if _, err := fmt.Fprintf(c.OutOrStdout(), "names %s\n", dir.Addr()); err != nil {
				return err
			}
			<-ctx.Done()
			var rows [][]string
			for i, x := range all {
				k := x.Counters()
				rows = append(rows, []string{lines[i].ID, fmt.Sprint(k.SetUps), fmt.Sprint(k.Stood), fmt.Sprint(k.Rejected), fmt.Sprint(k.GivenUp), fmt.Sprint(k.Cut), k.Work.Round(time.Millisecond).String()})
			}
			return cli.Table(c.OutOrStdout(), false, nil, []string{"EXCHANGE", "SET-UPS", "STOOD", "REJECTED", "GIVEN UP", "CUT", "WORK"}, rows)
		},
	}
	f := c.Flags()
	f.IntVar(&n, "exchanges", 3, "how many")
	f.StringVar(&names, "names", "127.0.0.1:0", "where the directory listens")
	f.StringVar(&first, "listen", "", "where the first exchange listens (default: a free port)")
	f.BoolVar(&cold, "cold", false, "they start cold")
	f.StringVar(&file, "scenario", "", "take the exchanges of this scenario")
	f.Uint64Var(&seed, "seed", 1, "of their chance")
	return c
}

func loadCommand() *cobra.Command {
	l := loopback.Load{}
	var asJSON bool
	c := &cobra.Command{
		Use: "load", Short: "Send calls to call controllers in an open loop", Args: cobra.NoArgs,
		Long:    "load sends calls by a Poisson process, whether or not those before were answered. Times count from when a call was to be sent.",
		Example: "  olivesim load --to 127.0.0.1:5060 --to 127.0.0.1:5061 --rate 200 --for 1m",
		RunE: func(c *cobra.Command, _ []string) error {
			if len(l.Addrs) == 0 {
				return cli.Usage("--to names a call controller")
			}
			if l.Rate <= 0 || l.Rate > 100_000 || l.For <= 0 || l.For > time.Hour {
				return cli.Usage("--rate is up to 100000 calls a second, --for up to 1h")
			}
			l.Classes = scenario.Default().Class
			ctx, stop := cli.Interruptible(c)
			defer stop()
			if err := l.Run(ctx); err != nil {
				return err
			}
			s := l.Stats()
			ms := func(q float64) string {
				return (time.Duration(s.Took.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond).String()
			}
			rows := [][]string{{fmt.Sprint(s.Sent), fmt.Sprint(s.Stood), fmt.Sprint(s.Refused), fmt.Sprint(s.Failed), fmt.Sprint(s.GaveUp), fmt.Sprint(s.Lost), fmt.Sprint(s.NotSent), ms(50), ms(99), ms(99.9)}}
			return cli.Table(c.OutOrStdout(), asJSON, struct {
				Sent, Stood, Refused, Failed, GaveUp, Lost, NotSent int
				P50, P99, P999                                      string
			}{s.Sent, s.Stood, s.Refused, s.Failed, s.GaveUp, s.Lost, s.NotSent, ms(50), ms(99), ms(99.9)},
				[]string{"SENT", "STOOD", "REFUSED", "FAILED", "GIVEN UP", "LOST", "NOT SENT", "P50", "P99", "P99.9"}, rows)
		},
	}
	f := c.Flags()
	f.StringArrayVar(&l.Addrs, "to", nil, "a call controller's front of the platform's protocol (again for more)")
	f.Float64Var(&l.Rate, "rate", 50, "calls a second over all")
	f.DurationVar(&l.For, "for", 10*time.Second, "how long calls come")
	f.DurationVar(&l.Left, "left", 3*time.Second, "how long callers wait")
	f.IntVar(&l.Pools, "pools", 3, "pools of first choice")
	f.Uint64Var(&l.Seed, "seed", 1, "of calls")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return c
}
