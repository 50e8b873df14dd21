package virtualtime

import (
	"fmt"
	"math/rand/v2"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/sim/eventqueue"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/invariant"
)

// stopDelay is the time between the drop of the calls that outlast a drain and the end of the exchange.
const stopDelay = 500 * time.Millisecond

// exchangeInstance is an exchange from its start to its end. A replacement is another instance in the same pool.
type exchangeInstance struct {
	sim             *simulation
	id              string
	pool            int
	zone            int
	model           *exchange.Exchange
	startedAt       Time
	isColdStart     bool
	isUnreachable   bool                  // messages in both directions are lost
	isCrashedByLoad bool                  // it crashed because of overload during slow start
	state           admission.ServerState // according to discovery
	nextWake        Time                  // due time of the event that ticks the model
	setUpsBySecond  map[int]int           // set-ups received, by age in seconds; nil unless isColdStart
}

// startExchange starts an exchange without announcing it in discovery.
func (s *simulation) startExchange(id string, pool int, isColdStart bool) *exchangeInstance {
	rng := rand.New(rand.NewPCG(s.seed, uint64(len(s.exchanges))+firstExchangeStream))
	e := &exchangeInstance{
		sim:         s,
		id:          id,
		pool:        pool,
		zone:        pool % s.scenario.Fleet.Zones,
		model:       exchange.New(s.model, s.now, isColdStart, rng),
		startedAt:   s.now,
		isColdStart: isColdStart,
		nextWake:    eventqueue.Never,
	}
	if isColdStart {
		e.setUpsBySecond = make(map[int]int)
	}
	s.exchanges = append(s.exchanges, e)
	s.exchangesByID[id] = e
	return e
}

func (e *exchangeInstance) isRunning() bool { return e.model.State() == exchange.Running }

// isServing reports whether the exchange is running and active in discovery.
func (e *exchangeInstance) isServing() bool { return e.isRunning() && e.state == admission.Active }

// apply passes an input to the model and sends the messages that result.
func (e *exchangeInstance) apply(input func(x *exchange.Exchange, now Time)) {
	if e.isUnreachable {
		return
	}
	e.model.Tick(e.sim.now)
	input(e.model, e.sim.now)
	e.flush()
}

// flush sends the messages of the model and schedules its next tick.
func (e *exchangeInstance) flush() {
	for _, m := range e.model.TakeMessages() {
		if !e.isUnreachable {
			e.sim.controllersByName[m.To].transmitFromExchange(e, m)
		}
	}
	next := e.model.NextDeadline()
	if next >= e.nextWake {
		return
	}
	e.nextWake = next
	e.sim.queue.Push(next, func() {
		isSuperseded := e.nextWake != next
		if isSuperseded {
			return
		}
		e.nextWake = eventqueue.Never
		e.model.Tick(e.sim.now)
		e.flush()
	})
}

// receiveSetUp handles a set-up that reaches the exchange. The set-up may crash the exchange.
func (e *exchangeInstance) receiveSetUp(c *controller, a exchange.Attempt, class string) {
	if e.setUpsBySecond != nil {
		e.setUpsBySecond[int((e.sim.now-e.startedAt)/time.Second)]++
	}
	wasRunning := e.isRunning()
	e.apply(func(x *exchange.Exchange, now Time) { x.Invite(now, c.name, a, class) })
	if wasRunning && e.model.State() == exchange.Down {
		e.isCrashedByLoad = true
		c.record(invariant.Event{Kind: invariant.ServerCrashed, Server: e.id})
		e.crash()
	}
}

// crash stops the exchange. Its connections break and discovery removes it.
func (e *exchangeInstance) crash() {
	e.model.Stop()
	for _, c := range e.sim.controllers {
		c.breakConnection(e, call.ConnectionReset)
	}
	e.setState(admission.Removed)
}

// setState changes the state of the exchange in discovery.
func (e *exchangeInstance) setState(state admission.ServerState) {
	e.state = state
	e.sim.announce(e)
}

// deploy starts a replacement of an exchange and stops the exchange after its drain.
func (s *simulation) deploy(e *exchangeInstance, drainPeriod time.Duration) {
	if !e.isServing() {
		return
	}
	e.setState(admission.Draining)
	s.replace(e)
	s.after(drainPeriod, func() {
		e.apply(func(x *exchange.Exchange, now Time) { x.DropCalls(now, x.EstablishedCalls()) })
		s.after(stopDelay, e.crash)
	})
}

// replace starts a cold exchange in the pool of an old one.
func (s *simulation) replace(old *exchangeInstance) {
	id := fmt.Sprintf("x%d.%d", old.pool, len(s.exchanges))
	e := s.startExchange(id, old.pool, true)
	s.exchangesByPool[old.pool] = e
	s.announce(e)
}
