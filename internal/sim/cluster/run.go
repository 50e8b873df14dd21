package cluster

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"olivedale/internal/adminapi"
	"olivedale/internal/codec/h248"
	"olivedale/internal/sim/fakeetcd"
	"olivedale/internal/sim/loopback"
	"olivedale/internal/sim/scenario"
)

// Options say what Play runs.
type Options struct {
	Bin          string // folder of olivedale, oliveagent and olivesim
	Dir          string // folder for files and records; Play makes it and leaves it
	Topology     Topology
	Scenario     *scenario.Scenario // exchanges and callers; its fleet and faults are not used
	Schedule     *Schedule
	CallDuration time.Duration // how long calls are offered
	Conditions   []Condition
	Out          io.Writer // progress, as text; nil: none
}

// A Run is a cluster that runs. Its exported methods are safe for concurrent use while it does.
type Run struct {
	options     Options
	scenario    scenario.Scenario
	rng         *rand.Rand
	ports       Ports
	parentWatch *parentWatch
	signingKey  []byte // of the controllers' datagrams
	logFile     *os.File
	monitor     *monitor
	etcd        *fakeetcd.Server
	load        *loopback.Load
	controllers []*controller
	agents      []*agent
	slots       []*exchangeSlot
	startTime   time.Time // when calls began

	outMu sync.Mutex // of options.Out

	mu               sync.Mutex
	proxies          []proxy
	activePathFaults map[*Fault]bool // faults that are active on paths
	injected         []InjectedFault
	violations       []Violation // other than those of the monitor
	samples          []Sample
}

// Streams of the random generators of a run; those of proxies are added to the number of a controller or of a pair.
const (
	runStream            = 17
	discoveryProxyStream = 100
	peerProxyStream      = 1000
)

// stopTimeout bounds the orderly end of all processes.
const stopTimeout = 20 * time.Second

// Play runs a cluster and plays the schedule. It returns when everything that it started has ended. An error is one of
// the harness; what the programs did wrong is in the Result.
func Play(ctx context.Context, o Options) (res *Result, err error) {
	if err := o.prepare(); err != nil {
		return nil, err
	}
	r := newRun(o)
	defer func() { err = errors.Join(err, r.stop()) }()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	return r.play(ctx)
}

// prepare checks the options, makes the folder and sets defaults.
func (o *Options) prepare() error {
	if err := cmp.Or(o.Topology.Check(), o.Schedule.Check(&o.Topology)); err != nil {
		return err
	}
	for _, name := range []string{"olivedale", "oliveagent", "olivesim"} {
		if _, err := os.Stat(filepath.Join(o.Bin, name)); err != nil {
			return fmt.Errorf("cluster: %s is not in %s; build it first: make build", name, o.Bin)
		}
	}
	for _, dir := range []*string{&o.Bin, &o.Dir} {
		absolute, err := filepath.Abs(*dir)
		if err != nil {
			return fmt.Errorf("cluster: %w", err)
		}
		*dir = absolute
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	if o.Out == nil {
		o.Out = io.Discard
	}
	return nil
}

func newRun(o Options) *Run {
	r := &Run{
		options:          o,
		scenario:         *o.Scenario,
		rng:              rand.New(rand.NewPCG(o.Schedule.Seed, runStream)),
		activePathFaults: make(map[*Fault]bool),
		startTime:        time.Now(),
	}
	r.monitor = newMonitor(r.startTime)
	r.ports.Host = loopback.RandomHost()
	r.scenario.Fleet = scenario.Fleet{
		Controllers: o.Topology.Controllers,
		Exchanges:   o.Topology.Exchanges,
		Zones:       o.Topology.Zones,
		Clients:     1,
	}
	return r
}

// logf writes a line of progress, with the time of the run.
func (r *Run) logf(format string, args ...any) {
	r.outMu.Lock() // faults may begin at the same time
	defer r.outMu.Unlock()
	text := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(r.options.Out, "%6.2fs  %s\n", time.Since(r.startTime).Seconds(), text)
}

// Ask sends a command to a controller's admin API.
func (r *Run) Ask(ctx context.Context, controller string, command *h248.Command) (*h248.Command, error) {
	c := r.controller(controller)
	if c == nil {
		return nil, fmt.Errorf("cluster: there is no %s", controller)
	}
	return adminapi.Send(ctx, c.admin, command)
}

// Etcd returns the store of the agents.
func (r *Run) Etcd() *fakeetcd.Server { return r.etcd }

// stop ends everything that runs, in order where that is possible.
func (r *Run) stop() error {
	for _, a := range r.agents {
		a.terminate()
	}
	for _, c := range r.controllers {
		if p := c.currentProcess(); p != nil {
			_ = p.signal(syscall.SIGCONT)
			_ = p.signal(syscall.SIGTERM)
		}
	}
	err := r.awaitAgents(stopTimeout)
	if r.parentWatch != nil {
		err = errors.Join(err, r.parentWatch.close())
	}
	r.closeNetwork()
	if r.logFile != nil {
		err = errors.Join(err, r.logFile.Close())
	}
	return err
}

// closeNetwork closes the proxies, discovery, the exchanges and the store.
func (r *Run) closeNetwork() {
	for _, p := range r.proxies {
		p.close()
	}
	for _, c := range r.controllers {
		if c.nameService != nil {
			c.nameService.Close()
		}
		if p := c.currentProcess(); p != nil {
			p.close()
		}
	}
	for _, s := range r.slots {
		if s.exchange != nil {
			s.exchange.Close()
		}
	}
	if r.etcd != nil {
		r.etcd.Stop()
	}
}
