package cluster

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"olivedale/internal/sim/fakeetcd"
	"olivedale/internal/sim/loopback"
)

// Times of starting and of calls.
const (
	// startTimeout is how long controllers may take to serve, at the start of a run and after each restart.
	startTimeout      = 30 * time.Second
	startPollInterval = 50 * time.Millisecond
	// callerTimeout is how long callers wait for a final answer.
	callerTimeout = 3 * time.Second
)

// signingKeyBytes is the length of the key that signs the controllers' datagrams.
const signingKeyBytes = 32

// start starts all components and waits until the controllers serve.
func (r *Run) start(ctx context.Context) error {
	if err := r.openFiles(); err != nil {
		return err
	}
	var err error
	if r.etcd, err = fakeetcd.Start("127.0.0.1:0"); err != nil {
		return err
	}
	if err := r.startExchanges(); err != nil {
		return err
	}
	if err := r.startAgents(); err != nil {
		return err
	}
	if err := r.prepareControllers(); err != nil {
		return err
	}
	if err := r.connectPeers(); err != nil {
		return err
	}
	r.publishEndpoints()
	for _, c := range r.controllers {
		if err := r.requestInstance(c); err != nil {
			return err
		}
	}
	return r.awaitServing(ctx)
}

// openFiles creates the log file and the files of the parent watch.
func (r *Run) openFiles() error {
	var err error
	if r.logFile, err = os.Create(filepath.Join(r.options.Dir, "log")); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	watcher := filepath.Join(r.options.Bin, "olivesim")
	r.parentWatch, err = newParentWatch(r.options.Dir, watcher, filepath.Join(r.options.Bin, "olivedale"))
	return err
}

func (r *Run) startExchanges() error {
	t := &r.options.Topology
	for i, name := range t.namesOfKind(kindExchange) {
		s := &exchangeSlot{name: name, pool: i, zone: i % t.Zones}
		r.slots = append(r.slots, s)
		if err := r.startExchange(s, false); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) startAgents() error {
	for _, name := range r.options.Topology.namesOfKind(kindAgent) {
		a := &agent{name: name}
		r.agents = append(r.agents, a)
		if err := r.startAgent(a); err != nil {
			return err
		}
	}
	return nil
}

// prepareControllers allocates the controllers' addresses, starts their proxies and configures the load generator.
func (r *Run) prepareControllers() error {
	t := &r.options.Topology
	r.load = &loopback.LoadGenerator{
		Rate:          r.scenario.Rate() * r.scenario.Callers.Load,
		Duration:      r.options.CallDuration,
		CallerTimeout: callerTimeout,
		Pools:         t.Exchanges,
		Classes:       r.scenario.Class,
		Seed:          r.options.Schedule.Seed,
		Observe:       r.monitor.record,
	}
	for i, name := range t.namesOfKind(kindController) {
		c := &controller{name: name, number: i, zone: i % t.Zones, exchangeProxies: make(map[string]*streamProxy)}
		r.controllers = append(r.controllers, c)
		if err := r.prepareController(c); err != nil {
			return err
		}
		r.load.Addrs = append(r.load.Addrs, c.listen)
		r.load.ControllerNames = append(r.load.ControllerNames, c.name)
	}
	return nil
}

// prepareController allocates a controller's addresses and starts its name service and the proxies on its paths.
func (r *Run) prepareController(c *controller) error {
	var err error
	if c.nameService, err = loopback.ListenNameService("127.0.0.1:0"); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(r.options.Schedule.Seed, uint64(discoveryProxyStream+c.number)))
	observe := func(direction Direction, data []byte) {
		if direction == Backward {
			r.monitor.observeDiscovery(c.name, data)
		}
	}
	c.discoveryProxy, err = newDatagramProxy(c.name, discoveryName, c.nameService.Addr(), rng, observe)
	if err != nil {
		return err
	}
	r.addProxy(c.discoveryProxy)
	for _, addr := range []*string{&c.listen, &c.admin} {
		if *addr, err = r.ports.Allocate(); err != nil {
			return err
		}
	}
	admin := func() string { return c.admin }
	if c.adminProxy, err = newStreamProxy(r.agents[c.zone].name, c.name, admin, nil); err != nil {
		return err
	}
	r.addProxy(c.adminProxy)
	for _, s := range r.slots {
		if err := r.addExchangeProxy(c, s.endpoint, s.name); err != nil {
			return err
		}
	}
	return nil
}

// keyFile returns the path of the file with the signing key.
func (r *Run) keyFile() string { return filepath.Join(r.options.Dir, "share.keys") }

// connectPeers starts a proxy for each ordered pair of controllers if they exchange datagrams for overload control.
func (r *Run) connectPeers() error {
	if !r.options.Topology.OverloadControl {
		return nil
	}
	if err := r.writeSigningKey(); err != nil {
		return err
	}
	for _, c := range r.controllers {
		var err error
		if c.overloadListen, err = r.ports.Allocate(); err != nil {
			return err
		}
	}
	for _, from := range r.controllers {
		for _, to := range r.controllers {
			pair := from.number*len(r.controllers) + to.number
			rng := rand.New(rand.NewPCG(r.options.Schedule.Seed, uint64(peerProxyStream+pair)))
			p, err := newDatagramProxy(from.name, to.name, to.overloadListen, rng, nil)
			if err != nil {
				return err
			}
			from.peerProxies = append(from.peerProxies, p)
			r.addProxy(p)
		}
	}
	return nil
}

// writeSigningKey generates the signing key and writes it to its file.
func (r *Run) writeSigningKey() error {
	r.signingKey = make([]byte, signingKeyBytes)
	for i := range r.signingKey {
		r.signingKey[i] = byte(r.rng.Uint32())
	}
	text := hex.EncodeToString(r.signingKey) + "\n"
	if err := os.WriteFile(r.keyFile(), []byte(text), 0o600); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	return nil
}

// awaitServing waits until all controllers accept connections. It returns an error after startTimeout.
func (r *Run) awaitServing(ctx context.Context) error {
	end := time.Now().Add(startTimeout)
	for {
		r.pollAgents(ctx)
		serving := 0
		for _, c := range r.controllers {
			if c.isServing() {
				serving++
			}
		}
		if serving == len(r.controllers) {
			r.logf("%d call controllers in %d zones accept calls", serving, len(r.agents))
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("cluster: only %d of %d call controllers accept calls; the log is %s",
				serving, len(r.controllers), r.logFile.Name())
		}
		if !pause(ctx, startPollInterval) {
			return fmt.Errorf("cluster: %w", ctx.Err())
		}
	}
}
