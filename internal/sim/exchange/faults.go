package exchange

import (
	"math"

	"olivedale/internal/sim/eventqueue"
)

// minSlowdown keeps the speed of the processor finite.
const minSlowdown = 0.01

// SetSlowdown multiplies the time of all jobs that start from now on by factor; 1 ends the fault.
func (x *Exchange) SetSlowdown(factor float64) { x.slowdown = max(factor, minSlowdown) }

// SetHung makes a running exchange accept messages without handling them, or makes a hung one continue.
func (x *Exchange) SetHung(now Time, isHung bool) {
	switch {
	case x.state == Down:
	case isHung:
		x.state = Hung
	case x.state == Hung:
		x.state = Running
		x.startNextJob(now)
	}
}

// Stop ends the exchange without a message to its controllers. It cannot be started again.
func (x *Exchange) Stop() {
	x.state = Down
	x.calls = make(map[Attempt]*call)
	x.established = nil
	x.circuitsInUse = 0
	x.processor = processor{settings: &x.settings}
	x.timers = eventqueue.Queue[timer]{}
}

// SetCircuitShare sets the share of circuits that are in service, from 0 to 1. The same share of calls as of circuits
// that are out of service is dropped.
func (x *Exchange) SetCircuitShare(now Time, share float64) {
	x.circuits = int(math.Round(share * float64(x.settings.Circuits)))
	dropped := 0
	if share < 1 {
		dropped = int(math.Round((1 - share) * float64(len(x.established))))
	}
	x.DropCalls(now, dropped)
}

// DropCalls drops n random established calls, or all if there are fewer.
func (x *Exchange) DropCalls(now Time, n int) {
	for range min(n, len(x.established)) {
		c := x.established[x.rng.IntN(len(x.established))]
		c.isDropped = true
		x.beginRelease(c)
	}
	x.startNextJob(now)
}
