package main

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/cli"
	"olivedale/internal/sim/loopback"
	"olivedale/internal/sim/scenario"
)

// maxServedExchanges is the maximum of --exchanges.
const maxServedExchanges = 256

// servedZone is the zone of all exchanges of the serve command.
const servedZone = "east"

// anyLoopbackPort is the listen address for a free loopback port.
const anyLoopbackPort = "127.0.0.1:0"

// serveFlags are the flags of the serve command.
type serveFlags struct {
	exchanges     int
	discoveryAddr string
	firstAddr     string // of the first exchange
	isSlowStart   bool
	scenarioFile  string
	seed          uint64
}

func serveCommand() *cobra.Command {
	var f serveFlags
	c := &cobra.Command{
		Use:     "serve",
		Short:   "Run emulated exchanges and their discovery service on loopback",
		Args:    cobra.NoArgs,
		Example: "  olivesim serve --exchanges 3 --names 127.0.0.1:8600",
		RunE:    func(c *cobra.Command, _ []string) error { return f.run(c) },
	}
	c.Flags().IntVar(&f.exchanges, "exchanges", 3, "number of exchanges")
	c.Flags().StringVar(&f.discoveryAddr, "names", anyLoopbackPort, "address on which the discovery service listens")
	c.Flags().StringVar(&f.firstAddr, "listen", "",
		"address on which the first exchange listens (default: a free port)")
	c.Flags().BoolVar(&f.isSlowStart, "cold", false, "start the exchanges cold, with slow start")
	c.Flags().StringVar(&f.scenarioFile, "scenario", "", "scenario file with the settings of the exchanges")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "random seed of the exchanges")
	return c
}

// run runs the exchanges and the discovery service until the command is interrupted, then prints the exchanges'
// counters.
func (f *serveFlags) run(c *cobra.Command) error {
	sc, err := f.loadScenario()
	if err != nil {
		return err
	}
	if f.exchanges < 1 || f.exchanges > maxServedExchanges {
		return cli.UsageErrorf("--exchanges is 1 to %d", maxServedExchanges)
	}
	ctx, stop := cli.SignalContext(c)
	defer stop()
	discovery, err := loopback.ListenNameService(f.discoveryAddr)
	if err != nil {
		return err
	}
	defer discovery.Close()
	var served []servedExchange
	defer func() {
		for _, s := range served {
			s.exchange.Close()
		}
	}()
	for i := range f.exchanges {
		s, err := f.listen(sc, i)
		if err != nil {
			return err
		}
		served = append(served, s)
		_, err = fmt.Fprintf(c.OutOrStdout(), "%s %s pool %d\n", s.endpoint.ID, s.endpoint.Addr, s.endpoint.Pool)
		if err != nil {
			return err
		}
	}
	discovery.Set(endpoints(served)...)
	if _, err := fmt.Fprintf(c.OutOrStdout(), "names %s\n", discovery.Addr()); err != nil {
		return err
	}
	<-ctx.Done()
	return printCounters(c.OutOrStdout(), served)
}

// loadScenario returns the scenario of --scenario, or the default one.
func (f *serveFlags) loadScenario() (*scenario.Scenario, error) {
	if f.scenarioFile == "" {
		sc := scenario.Default()
		return &sc, nil
	}
	return scenario.Load(f.scenarioFile)
}

// servedExchange is a running exchange and its discovery record.
type servedExchange struct {
	exchange *loopback.Exchange
	endpoint loopback.Endpoint
}

// listen starts the exchange with an index, which is also its pool.
func (f *serveFlags) listen(sc *scenario.Scenario, index int) (servedExchange, error) {
	addr := anyLoopbackPort
	if index == 0 && f.firstAddr != "" {
		addr = f.firstAddr
	}
	x, err := loopback.Listen(addr, sc.ExchangeSettings(), f.isSlowStart, f.seed+uint64(index))
	if err != nil {
		return servedExchange{}, err
	}
	endpoint := loopback.Endpoint{ID: fmt.Sprint("x", index), Addr: x.Addr(), Zone: servedZone, Pool: index}
	if f.isSlowStart {
		endpoint.Started = time.Now()
	}
	return servedExchange{exchange: x, endpoint: endpoint}, nil
}

func endpoints(served []servedExchange) []loopback.Endpoint {
	var list []loopback.Endpoint
	for _, s := range served {
		list = append(list, s.endpoint)
	}
	return list
}

// printCounters prints a table of the exchanges' counters.
func printCounters(w io.Writer, served []servedExchange) error {
	heading := []string{"EXCHANGE", "SET-UPS", "ESTABLISHED", "REJECTED", "ABANDONED", "DROPPED", "PROCESSOR TIME"}
	var rows [][]string
	for _, s := range served {
		counters := s.exchange.Counters()
		rows = append(rows, []string{
			s.endpoint.ID,
			strconv.Itoa(counters.SetUps),
			strconv.Itoa(counters.Established),
			strconv.Itoa(counters.Rejected),
			strconv.Itoa(counters.Canceled),
			strconv.Itoa(counters.Dropped),
			counters.Work.Round(time.Millisecond).String(),
		})
	}
	return cli.Table(w, false, nil, heading, rows)
}
