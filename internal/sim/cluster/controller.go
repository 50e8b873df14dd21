package cluster

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"olivedale/internal/sim/loopback"
)

// probeTimeout bounds the connection attempt that checks whether a controller accepts connections.
const probeTimeout = 200 * time.Millisecond

// controllerState is the state of a controller's process with regard to the injected faults.
type controllerState int

const (
	controllerRunning    controllerState = iota
	controllerPaused                     // stopped by SIGSTOP
	controllerRestarting                 // ending or ended; the agent starts it again
)

// String implements fmt.Stringer.
func (s controllerState) String() string {
	switch s {
	case controllerRunning:
		return "running"
	case controllerPaused:
		return "paused"
	case controllerRestarting:
		return "restarting"
	default:
		return fmt.Sprintf("controllerState(%d)", int(s))
	}
}

// A controller is a call controller that runs under the agent of its zone, with the proxies on its network paths.
type controller struct {
	name           string
	number         int
	zone           int
	listen         string // address for clients
	admin          string // address of the admin API
	overloadListen string // address for datagrams of the other controllers

	nameService     *loopback.NameService
	discoveryProxy  *datagramProxy          // from the controller to discovery
	adminProxy      *streamProxy            // from the agent to the admin API
	exchangeProxies map[string]*streamProxy // by exchange; guarded by Run.mu
	peerProxies     []*datagramProxy        // to the other controllers, by number

	mu      sync.Mutex
	process *process
	starts  int // number of times that the agent has started it
	state   controllerState
}

// beginFault changes the state of a running controller. It returns the controller's process, or nil if the controller
// is not in state running or its process is unknown.
func (c *controller) beginFault(state controllerState) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != controllerRunning || c.process == nil {
		return nil
	}
	c.state = state
	return c.process
}

// endFault changes the controller's state back to running if it is still state.
func (c *controller) endFault(state controllerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == state {
		c.state = controllerRunning
	}
}

// detectCrash reports whether the process has ended without a fault that ends it. If so, the state becomes restarting.
func (c *controller) detectCrash() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil || c.state == controllerRestarting || !c.process.hasEnded() {
		return false
	}
	c.state = controllerRestarting
	return true
}

// updateProcess stores the process that the agent reports. A process that has already ended is ignored.
func (c *controller) updateProcess(pid, starts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isKnown := c.process != nil && c.process.pid == pid && !c.process.hasEnded()
	if isKnown {
		return
	}
	opened, err := openProcess(pid)
	if err != nil {
		return // the next poll finds its successor
	}
	if c.process != nil {
		c.process.close()
	}
	c.process = opened
	c.starts = starts
}

// currentProcess returns the controller's process, or nil if it is unknown.
func (c *controller) currentProcess() *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.process
}

// isServing reports whether the controller's process runs and accepts connections from clients.
func (c *controller) isServing() bool {
	p := c.currentProcess()
	if p == nil || p.hasEnded() {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.listen, probeTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// controller returns the controller with the given name, or nil.
func (r *Run) controller(name string) *controller {
	i := slices.IndexFunc(r.controllers, func(c *controller) bool { return c.name == name })
	if i < 0 {
		return nil
	}
	return r.controllers[i]
}

// requestInstance writes a controller's specification to the store, so that the agent of its zone starts it.
func (r *Run) requestInstance(c *controller) error {
	gatewayListen, err := r.ports.Allocate()
	if err != nil {
		return err
	}
	instance := &Instance{
		Name:            c.name,
		Listen:          c.listen,
		GatewayListen:   gatewayListen,
		Admin:           c.admin,
		AdminProxy:      c.adminProxy.address(),
		Discovery:       c.discoveryProxy.address(),
		Records:         filepath.Join(r.options.Dir, "records", c.name),
		Zone:            zoneName(c.zone),
		Seed:            r.rng.Uint64(),
		FleetSize:       r.options.Topology.Controllers,
		OverloadControl: r.overloadControl(c),
		Endpoints:       r.endpoints(c),
	}
	text, err := instance.Spec(&r.scenario)
	if err != nil {
		return err
	}
	r.etcd.Set(instancePrefix+r.agents[c.zone].name+"/"+c.name, text)
	return nil
}

// overloadControl returns the section [share] of a controller's configuration, or nil without overload control.
func (r *Run) overloadControl(c *controller) map[string]any {
	if !r.options.Topology.OverloadControl {
		return nil
	}
	var peers []string
	for _, p := range c.peerProxies {
		peers = append(peers, p.address())
	}
	return map[string]any{
		"listen": c.overloadListen,
		"peers":  peers,
		"number": c.number,
		"keys":   r.keyFile(),
		"beat":   "2s",
	}
}
