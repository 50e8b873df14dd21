package demo

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"olivedale/internal/sim/cluster"
	"olivedale/internal/sim/fakeetcd"
	"olivedale/internal/sim/loopback"
)

const (
	startTimeout      = 15 * time.Second // for all controllers
	startPollInterval = 100 * time.Millisecond
	probeTimeout      = 200 * time.Millisecond
	stopTimeout       = 15 * time.Second // for the agent and its controllers
)

// Factors by which the seeds of exchanges and controllers are derived from Options.Seed.
const (
	exchangeSeedStep   = 7
	controllerSeedStep = 31
)

// start starts all components and waits until the controllers accept connections.
func (d *demo) start(ctx context.Context) error {
	var err error
	if d.names, err = loopback.ListenNameService("127.0.0.1:0"); err != nil {
		return err
	}
	for i := range d.options.Exchanges {
		if err := d.startExchange(fmt.Sprint("x", i), i, false); err != nil {
			return err
		}
	}
	d.names.Set(d.endpoints...)
	if d.etcd, err = fakeetcd.Start("127.0.0.1:0"); err != nil {
		return err
	}
	d.logf("%d emulated exchanges, a name service at %s, an etcd emulator at %s",
		d.options.Exchanges, d.names.Addr(), d.etcd.Addr())
	if err := d.startAgent(); err != nil {
		return err
	}
	for i := range d.options.Controllers {
		if err := d.requestController(i); err != nil {
			return err
		}
	}
	return d.awaitControllers(ctx)
}

// startExchange starts an emulated exchange and adds its endpoint to the list.
func (d *demo) startExchange(id string, pool int, cold bool) error {
	seed := d.options.Seed + uint64(len(d.exchanges))*exchangeSeedStep
	x, err := loopback.Listen("127.0.0.1:0", d.scenario.ExchangeSettings(), cold, seed)
	if err != nil {
		return err
	}
	endpoint := loopback.Endpoint{ID: id, Addr: x.Addr(), Zone: zoneName, Pool: pool}
	if cold {
		endpoint.Started = time.Now()
	}
	d.exchanges = append(d.exchanges, x)
	d.endpoints = append(d.endpoints, endpoint)
	return nil
}

// startAgent starts the agent, which writes to the log file.
func (d *demo) startAgent() error {
	var err error
	if d.logFile, err = os.Create(filepath.Join(d.dir, "log")); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	program, err := filepath.Abs(filepath.Join(d.options.Bin, "olivedale"))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	agent := exec.Command(
		filepath.Join(d.options.Bin, "oliveagent"),
		"--etcd", d.etcd.Addr(),
		"--dir", filepath.Join(d.dir, "agent"),
		"--program", program,
		"--listen", d.options.Agent,
	)
	agent.Stdout = d.logFile
	agent.Stderr = d.logFile
	// With a process group of its own the agent does not get the SIGINT of Ctrl-C; stopAgent stops it.
	agent.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := agent.Start(); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	d.agent = agent
	d.agentEnded = make(chan error, 1)
	go func() { d.agentEnded <- agent.Wait() }()
	d.logf("the agent is running; its address for olivectl is %s", d.options.Agent)
	return nil
}

// requestController sets the specification of a controller in etcd, by which the agent starts it.
func (d *demo) requestController(number int) error {
	name := fmt.Sprint("n", number)
	instance := &cluster.Instance{
		Name:      name,
		Discovery: d.names.Addr(),
		Records:   filepath.Join(d.dir, "records", name),
		Seed:      d.options.Seed*controllerSeedStep + uint64(number) + 1,
		FleetSize: d.options.Controllers,
		Endpoints: d.endpoints,
	}
	for _, addr := range []*string{&instance.Listen, &instance.Admin, &instance.GatewayListen} {
		var err error
		if *addr, err = d.ports.Allocate(); err != nil {
			return fmt.Errorf("demo: %w", err)
		}
	}
	text, err := instance.Spec(&d.scenario)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	d.listen = append(d.listen, instance.Listen)
	d.etcd.Set(instancePrefix+name, text)
	return nil
}

// awaitControllers waits until all controllers accept connections, or ctx ends.
func (d *demo) awaitControllers(ctx context.Context) error {
	end := time.Now().Add(startTimeout)
	for {
		accepting := d.countAccepting()
		if accepting == len(d.listen) {
			d.logf("%d call controllers accept calls at %s", accepting, strings.Join(d.listen, ", "))
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case err := <-d.agentEnded:
			d.agentEnded <- err
			cause := cmp.Or(err, errors.New("without an error"))
			return fmt.Errorf("demo: the agent exited: %w; see its log, %s", cause, d.logFile.Name())
		case <-time.After(startPollInterval):
		}
		if time.Now().After(end) {
			return fmt.Errorf("demo: only %d of %d call controllers accept calls; see the log, %s",
				accepting, len(d.listen), d.logFile.Name())
		}
	}
}

// countAccepting counts the controllers that accept connections.
func (d *demo) countAccepting() int {
	accepting := 0
	for _, addr := range d.listen {
		conn, err := net.DialTimeout("tcp", addr, probeTimeout)
		if err == nil {
			_ = conn.Close()
			accepting++
		}
	}
	return accepting
}

// stopAgent stops the agent, which shuts down the controllers. It kills all of them if they do not stop within
// stopTimeout.
func (d *demo) stopAgent() error {
	if d.agent == nil {
		return nil
	}
	agent := d.agent
	d.agent = nil
	_ = agent.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.agentEnded:
	case <-time.After(stopTimeout):
		_ = syscall.Kill(-agent.Process.Pid, syscall.SIGKILL) // the process group, which includes the controllers
		<-d.agentEnded
		return fmt.Errorf("demo: the agent did not stop in %v and was killed", stopTimeout)
	}
	d.logf("agent and call controllers have stopped")
	return nil
}
