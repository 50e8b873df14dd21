// Package virtualtime runs a scenario as a discrete-event simulation in virtual time. One process with one clock
// simulates a fleet of call controllers, each with the product's own call.Manager and admission.Engine, and models the
// exchanges, the links, service discovery, the callers and the injected faults.
//
// A run is deterministic: the same scenario and seed give the same result byte for byte. Therefore all events come from
// one queue, all random numbers come from seeded sources, and nothing depends on the iteration order of a map. Package
// invariant checks the invariants from the messages on the links. The package starts no goroutine and opens no socket.
package virtualtime

import (
	"fmt"
	"math/rand/v2"
	"time"

	"olivedale/internal/sim/eventqueue"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
)

// Time is the time since the start of the run.
type Time = time.Duration

// epoch is the reading of the controllers' clocks at the start of a run. In the product they show Unix time. A server
// that started before the epoch has completed its slow start.
const epoch = 1000 * time.Hour

// Streams of random numbers. The stream is the second word of a generator's seed.
const (
	environmentStream   = 1    // links, discovery and faults
	callerStream        = 2    // the callers
	firstExchangeStream = 1000 // the first exchange; each further one has the next stream
)

type simulation struct {
	scenario    *scenario.Scenario
	options     Options
	seed        uint64
	model       exchange.Settings // of every exchange
	plannedRate float64           // calls a second at load 1

	now        Time
	queue      eventqueue.Queue[func()]
	eventCount uint64
	rng        *rand.Rand // environmentStream

	controllers       []*controller
	controllersByName map[string]*controller
	exchanges         []*exchangeInstance // all of the run, in the order of their start
	exchangesByID     map[string]*exchangeInstance
	exchangesByPool   []*exchangeInstance // the instance that started last in each pool
	callers           *callerPool
	faults            activeFaults

	checker *invariant.Checker
	tally   *result.Tally
}

// Run simulates a scenario, which must be valid, and returns the result.
func Run(sc *scenario.Scenario, seed uint64, opt Options) *result.Result {
	s := newSimulation(sc, seed, opt)
	end := sc.Length.D()
	if opt.Until > 0 {
		end = min(end, opt.Until)
	}
	s.runUntil(end)
	// The remaining calls get their final answers, or the checker reports that they do not.
	s.callers.isClosed = true
	s.runUntil(end + s.callers.maxCallDuration())
	s.checker.Finish(s.now)
	return s.result(end)
}

func newSimulation(sc *scenario.Scenario, seed uint64, opt Options) *simulation {
	s := &simulation{
		scenario:          sc,
		options:           opt,
		seed:              seed,
		model:             sc.ExchangeSettings(),
		plannedRate:       sc.Rate(),
		rng:               rand.New(rand.NewPCG(seed, environmentStream)),
		controllersByName: make(map[string]*controller),
		exchangesByID:     make(map[string]*exchangeInstance),
		faults:            activeFaults{partitions: make(map[int]int)},
		checker:           invariant.New(invariant.DefaultLimits()),
		tally:             result.NewTally(sc),
	}
	for pool := range sc.Fleet.Exchanges {
		e := s.startExchange(fmt.Sprint("x", pool), pool, false)
		s.exchangesByPool = append(s.exchangesByPool, e)
	}
	for i := range sc.Fleet.Controllers {
		c := newController(s, i)
		s.controllers = append(s.controllers, c)
		s.controllersByName[c.name] = c
	}
	for _, c := range s.controllers {
		c.start()
	}
	s.callers = newCallerPool(s)
	for _, f := range sc.Fault {
		s.queue.Push(f.At.D(), func() { s.inject(f) })
	}
	return s
}

// runUntil runs all events that are due by end.
func (s *simulation) runUntil(end Time) {
	for s.queue.NextTime() <= end {
		due, event := s.queue.Pop()
		s.now = due
		s.eventCount++
		event()
	}
	s.now = end
}

// after schedules an event after a delay. A negative delay counts as 0.
func (s *simulation) after(delay time.Duration, event func()) {
	s.queue.Push(s.now+max(delay, 0), event)
}

// draw draws a duration from a range, with the random numbers of the environment.
func (s *simulation) draw(span scenario.DurationRange) time.Duration { return span.Draw(s.rng) }

// occurs draws whether an event of the given probability happens. It uses no random number if the probability is 0.
func (s *simulation) occurs(probability float64) bool {
	return probability > 0 && s.rng.Float64() < probability
}

// record passes an event to the invariant checker.
func (s *simulation) record(e invariant.Event) {
	e.At = s.now
	s.checker.Record(e)
	if s.options.Watch != nil {
		s.options.Watch(e)
	}
}
