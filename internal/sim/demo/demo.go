// Package demo runs the product on one machine for a minute: emulated exchanges and name service, a stand-in of etcd,
// the agent, controllers that it starts, and a light load, with a few faults. It ends by itself, or with its context,
// and leaves nothing running. It never measures anything.
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

// Options say what Run starts.
type Options struct {
	Bin         string // folder of olivedale, oliveagent and olivectl
	Dir         string // for the files; "": one that is removed after
	Report      string // file for the report; "": none
	Agent       string // address for olivectl
	Controllers int
	Exchanges   int
	Rate        float64 // calls a second
	For         time.Duration
	Seed        uint64
	Out         io.Writer
}

// instancePrefix is the prefix of desired instances in etcd.
const instancePrefix = "/olivedale/instances/"

// zoneName is the zone of all exchanges.
const zoneName = "east"

// A demo is a demonstration that runs.
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

// Run runs the demonstration. It returns when everything that it started has ended.
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
			return fmt.Errorf("demo: %s is not in %s; build it first: make build", name, dir)
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

// makeDir makes the folder for files. remove removes it if it is a temporary one.
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

// logf writes a line of progress, with the time since the start.
func (d *demo) logf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(d.options.Out, "%5.1fs  %s\n", time.Since(d.startTime).Seconds(), text)
}

// stop ends everything that runs.
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
