package virtualtime

import (
	"fmt"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/sim/eventqueue"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/invariant"
)

const (
	shutdownLimit        = 3 * time.Second        // limit of a shutdown, even with open attempts
	shutdownPollInterval = 50 * time.Millisecond  // how often a controller that shuts down checks for open attempts
	minTickInterval      = 100 * time.Microsecond // between two ticks of a call manager
	maxDeadline          = 100 * epoch            // a later deadline means none
)

// managerLimits are the limits of the call manager in production.
var managerLimits = call.Limits{Calls: 98304, OpenCalls: 12288, DescriptionBytes: 24 << 20, CompletedIDs: 24576}

// controller is a call controller: the product's call manager and admission engine on the clock of the simulation.
// It may start and end several times in a run; the fields after incarnation belong to the current start.
type controller struct {
	sim         *simulation
	index       int
	name        string
	zone        int
	incarnation int // grows with each start and each end

	manager        *call.Manager // nil while the controller does not run
	isShuttingDown bool          // callers send no new calls
	lastTick       Time
	nextWake       Time // due time of the event that ticks the manager
	clients        []*clientConn
	frontend       *frontend
	openAttempts   map[exchange.Attempt]*exchangeInstance
	links          exchangeLinks
	discovery      discoveryView
	overload       overloadControl
}

func newController(s *simulation, index int) *controller {
	return &controller{sim: s, index: index, name: fmt.Sprint("n", index), zone: index % s.scenario.Fleet.Zones}
}

// start starts the controller. The call manager gets the list of servers at once.
func (c *controller) start() {
	s := c.sim
	c.incarnation++
	c.isShuttingDown = false
	c.nextWake = eventqueue.Never
	c.openAttempts = make(map[exchange.Attempt]*exchangeInstance)
	c.links = newExchangeLinks()
	c.discovery = discoveryView{lastUpdateAt: s.now, isInactive: make(map[string]bool)}
	seed := s.seed*1_000_003 + uint64(c.index)*101 + uint64(c.incarnation)
	engine, err := admission.NewEngine(c.clock(), s.scenario.Settings(), seed, func(string) {})
	if err != nil {
		panic(err) // the scenario was checked
	}
	c.startManager(engine)
	c.startOverloadControl(engine, seed)
	c.scheduleTicks()
}

func (c *controller) startManager(engine *admission.Engine) {
	s := c.sim
	var decider call.Decider = engine
	if s.options.WrapDecider != nil {
		decider = s.options.WrapDecider(c.name, decider)
	}
	var backends call.Backends = (*backendConns)(c)
	if s.options.WrapBackends != nil {
		backends = s.options.WrapBackends(c.name, backends)
	}
	c.manager = call.NewManager(decider, backends, c.clock, managerLimits)
	c.frontend = &frontend{sim: s}
	c.clients = nil
	for range s.scenario.Fleet.Clients {
		c.clients = append(c.clients, &clientConn{controller: c})
	}
	var servers []admission.Server
	for _, e := range s.exchangesByPool {
		if e.state != admission.Removed {
			servers = append(servers, e.endpoint())
		}
	}
	c.manager.UpdateServers(servers, true)
}

func (c *controller) isRunning() bool { return c.manager != nil }

// isRunningAs reports whether the controller has run without interruption since it had an incarnation.
func (c *controller) isRunningAs(incarnation int) bool {
	return c.isRunning() && c.incarnation == incarnation
}

// clock returns the time on the controller's clock.
func (c *controller) clock() call.Time { return epoch + c.sim.now }

// record passes an event of this controller to the invariant checker.
func (c *controller) record(e invariant.Event) {
	e.Controller = c.name
	c.sim.record(e)
}

// schedule schedules an event that is ignored if the controller ends before it.
func (c *controller) schedule(due Time, event func()) {
	incarnation := c.incarnation
	c.sim.queue.Push(due, func() {
		if c.isRunningAs(incarnation) {
			event()
		}
	})
}

// after schedules an event after a delay. It is ignored if the controller ends before it.
func (c *controller) after(delay time.Duration, event func()) { c.schedule(c.sim.now+delay, event) }

// scheduleTicks schedules the next ticks of the call manager and the overload control. It is called after each input.
func (c *controller) scheduleTicks() {
	if !c.isRunning() {
		return
	}
	c.scheduleOverloadTick()
	deadline := c.manager.NextDeadline()
	// Ticks are at least minTickInterval apart, so that time advances even if the module always asks for one at once.
	next := max(deadline-epoch, c.sim.now, c.lastTick+minTickInterval)
	if next >= c.nextWake || deadline > maxDeadline {
		return
	}
	c.nextWake = next
	c.schedule(next, func() {
		isSuperseded := c.nextWake != next
		if isSuperseded {
			return
		}
		c.nextWake = eventqueue.Never
		c.lastTick = next
		c.manager.Tick()
		c.scheduleTicks()
	})
}

// kill ends the controller without a shutdown. The connections of its callers and to the exchanges are reset.
func (c *controller) kill() {
	if !c.isRunning() {
		return
	}
	c.incarnation++
	c.manager = nil
	c.record(invariant.Event{Kind: invariant.ControllerEnded})
	for _, e := range c.sim.exchanges {
		c.resetExchange(e)
	}
	c.sim.callers.controllerLost(c)
}

// startAfter starts the controller after a downtime, unless it is already running then.
func (c *controller) startAfter(downtime time.Duration) {
	c.sim.after(downtime, func() {
		if !c.isRunning() {
			c.start()
		}
	})
}

// restart shuts the controller down and starts it after a downtime. The shutdown waits for the open attempts.
func (c *controller) restart(downtime time.Duration) {
	if !c.isRunning() || c.isShuttingDown {
		return
	}
	c.isShuttingDown = true
	limit := c.sim.now + shutdownLimit
	var poll func()
	poll = func() {
		mustWait := len(c.openAttempts) > 0 && c.sim.now < limit
		if mustWait {
			c.after(shutdownPollInterval, poll)
			return
		}
		c.kill()
		c.startAfter(downtime)
	}
	c.after(shutdownPollInterval, poll)
}
