// Package demo demonstrates the product on one machine: it runs the agent and the controllers that it starts with
// emulated exchanges, an emulated name service and etcd, and a light load, and injects a few faults. The demonstration
// ends after a set time or with its context and leaves no process running. It is not a benchmark.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"olivedale/internal/sim/cluster"
	"olivedale/internal/sim/fakeetcd"
	"olivedale/internal/sim/loopback"
	"olivedale/internal/sim/scenario"
)

// Options configure a demonstration.
type Options struct {
	Bin         string // directory with olivedale, oliveagent and olivectl
	Dir         string // for files; "": a temporary directory
	Report      string // file name of the report; "": no report
	Agent       string // address of the agent for olivectl
	Controllers int
	Exchanges   int
	Rate        float64       // calls per second
	Duration    time.Duration // duration of the load
	Seed        uint64
	Out         io.Writer // for progress
}

// instancePrefix is the etcd key prefix of the specifications of controllers.
const instancePrefix = "/olivedale/instances/"

// zoneName is the zone of all exchanges.
const zoneName = "east"

// A demo is the state of a demonstration.
type demo struct {
	options    Options
	dir        string
	scenario   scenario.Scenario
	names      *loopback.NameService
	etcd       *fakeetcd.Server
	endpoints  []loopback.Endpoint
	exchanges  []*loopback.Exchange
	agent      *exec.Cmd
	agentEnded chan error
	listen     []string // addresses of the controllers for clients
	logFile    *os.File
	ports      cluster.Ports
	startTime  time.Time
}

// Run runs the demonstration. It returns after all that it started has ended.
func Run(ctx context.Context, o Options) (err error) {
	if err := checkPrograms(o.Bin); err != nil {
		return err
	}
	d := newDemo(o)
	removeDir, err := d.makeDir()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, removeDir()) }()
	defer func() { err = errors.Join(err, d.stop()) }()
	if err := d.start(ctx); err != nil {
		return err
	}
	if err := d.play(ctx); err != nil {
		return err
	}
	return d.report()
}

func checkPrograms(dir string) error {
	for _, name := range []string{"olivedale", "oliveagent", "olivectl"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			return fmt.Errorf("demo: %s is missing in %s; build it with make build", name, dir)
		}
	}
	return nil
}

func newDemo(o Options) *demo {
	d := &demo{
		options:   o,
		dir:       o.Dir,
		scenario:  scenario.Default(),
		ports:     cluster.Ports{Host: "127.0.0.1"},
		startTime: time.Now(),
	}
	d.scenario.Fleet.Controllers = o.Controllers
	d.scenario.Fleet.Exchanges = o.Exchanges
	return d
}

// makeDir creates the directory for files. The returned function removes it if it is a temporary one.
func (d *demo) makeDir() (remove func() error, err error) {
	remove = func() error { return nil }
	if d.dir == "" {
		temporary, err := os.MkdirTemp("", "olivesim-demo-")
		if err != nil {
			return nil, fmt.Errorf("demo: %w", err)
		}
		d.dir = temporary
		remove = func() error { return os.RemoveAll(temporary) }
	}
	absolute, err := filepath.Abs(d.dir)
	if err == nil {
		d.dir = absolute
		err = os.MkdirAll(absolute, 0o700)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("demo: %w", err), remove())
	}
	return remove, nil
}

// logf prints a progress message with the time since the start.
func (d *demo) logf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(d.options.Out, "%5.1fs  %s\n", time.Since(d.startTime).Seconds(), text)
}

// stop stops the agent, the exchanges, the name service and etcd, and closes the log.
func (d *demo) stop() error {
	err := d.stopAgent()
	for _, x := range d.exchanges {
		x.Close()
	}
	if d.names != nil {
		d.names.Close()
	}
	if d.etcd != nil {
		d.etcd.Stop()
	}
	if d.logFile != nil {
		err = errors.Join(err, d.logFile.Close())
	}
	return err
}
