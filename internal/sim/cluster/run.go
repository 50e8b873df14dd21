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

// Options configure Play.
type Options struct {
	Bin          string // directory of the programs olivedale, oliveagent and olivesim
	Dir          string // directory for files and records; Play creates it and does not remove it
	Topology     Topology
	Scenario     *scenario.Scenario // model of exchanges and callers; its fleet and faults are ignored
	Schedule     *Schedule
	CallDuration time.Duration // how long callers send calls
	Conditions   []Condition
	Out          io.Writer // receives lines of progress; nil: none
}

// A Run is a running cluster. Its exported methods are safe for concurrent use while it runs.
type Run struct {
	options     Options
	scenario    scenario.Scenario
	rng         *rand.Rand
	ports       Ports
	parentWatch *parentWatch
	signingKey  []byte // of datagrams between controllers
	logFile     *os.File
	monitor     *monitor
	etcd        *fakeetcd.Server
	load        *loopback.LoadGenerator
	controllers []*controller
	agents      []*agent
	slots       []*exchangeSlot
	startTime   time.Time // start of calls; before it, start of the run

	outMu sync.Mutex // guards writes to options.Out

	mu               sync.Mutex
	proxies          []proxy
	activePathFaults map[*Fault]bool // faults of network paths that are active
	injected         []InjectedFault
	violations       []Violation // other than those found by the monitor
	samples          []Sample
}

// Stream numbers of the random generators of a run. For proxies, the number of the controller or of the pair of
// controllers is added.
const (
	runStream            = 17
	discoveryProxyStream = 100
	peerProxyStream      = 1000
)

// stopTimeout is how long agents may take to stop before they are killed.
const stopTimeout = 20 * time.Second

// Play runs a cluster and plays the schedule. It returns after everything that it started has ended. An error is a
// failure of the harness itself; failures of the programs under test are violations in the Result.
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

// prepare checks the options, creates the directory and sets defaults.
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

// logf writes a line of progress, prefixed with the time since the start of calls.
func (r *Run) logf(format string, args ...any) {
	r.outMu.Lock() // faults are injected concurrently
	defer r.outMu.Unlock()
	text := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(r.options.Out, "%6.2fs  %s\n", time.Since(r.startTime).Seconds(), text)
}

// SendCommand sends a command to a controller's admin API and returns its reply.
func (r *Run) SendCommand(ctx context.Context, controller string, command *h248.Command) (*h248.Command, error) {
	c := r.controller(controller)
	if c == nil {
		return nil, fmt.Errorf("cluster: there is no controller %s", controller)
	}
	return adminapi.Send(ctx, c.admin, command)
}

// Etcd returns the etcd emulator in which agents find their instances.
func (r *Run) Etcd() *fakeetcd.Server { return r.etcd }

// stop shuts everything down. Processes that have not ended after stopTimeout are killed.
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

// closeNetwork closes the proxies, the name services, the exchanges and the store.
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
