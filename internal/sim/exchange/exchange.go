// Package exchange models a telephone exchange (a call server) as a queueing system: a large number of circuits, and
// one processor with a queue, which spends work on set-ups, answers, releases, rejections and retransmissions. It also
// models slow start, crashes by overload and injected faults.
//
// An Exchange is a deterministic state machine: its inputs are messages, the time and a seeded source of random
// numbers, its outputs are messages. It starts no goroutine, reads no clock and does no input or output, so that the
// same model runs in virtual time and behind sockets. It does not depend on how call controllers decide.
package exchange

import (
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"olivedale/internal/sim/eventqueue"
)

// Time is a reading of the clock of the program that runs the model.
type Time = time.Duration

// Counters count calls and processor time since the start. The JSON keys are part of the --json output.
type Counters struct {
	SetUps      int `json:"SetUps"`   // set-ups received
	Repeats     int `json:"Repeats"`  // retransmissions of queued set-ups
	Rejected    int `json:"Rejected"` // set-ups rejected because the processor was overloaded
	NoCircuit   int `json:"NoLines"`  // set-ups rejected because no circuit was free
	Canceled    int `json:"GivenUp"`  // set-ups canceled, or lost with the controller's connection
	Established int `json:"Stood"`    // calls established
	Ended       int `json:"Ended"`    // established calls that ended for any reason
	Dropped     int `json:"Cut"`      // established calls that a fault ended

	Work               time.Duration `json:"Work"`   // processor time of all jobs
	Wasted             time.Duration `json:"Wasted"` // processor time of attempts that were not established
	TotalQueueingDelay time.Duration `json:"Waited"` // queueing delay of all set-ups that were served
	Served             int           `json:"Served"` // set-ups that the processor started
}

// State is the state of an Exchange.
type State uint8

// States of an Exchange.
const (
	Running State = iota
	Hung          // accepts messages and handles none
	Down          // crashed or stopped, and does not return
)

// Exchange is the model of one exchange. It is not safe for concurrent use.
type Exchange struct {
	Counters
	settings Settings
	rng      *rand.Rand
	gamma    distuv.Gamma // distribution of work, with mean 1; used if Settings.WorkVariation is positive

	state        State
	startedAt    Time
	isColdStart  bool
	slowdown     float64 // jobs take this many times longer
	recentSetUps []Time  // arrivals within the last Settings.CrashWindow; recorded during slow start only

	calls         map[Attempt]*call
	established   []*call // in no particular order; faults select from it at random
	circuits      int     // circuits that are in service
	circuitsInUse int
	processor     processor
	timers        eventqueue.Queue[timer]
	outbox        []Message
}

// New returns a running exchange that started at startedAt. With isColdStart it begins with Settings.SlowStartShare of
// its capacity and warms up; otherwise it has its full capacity.
func New(settings Settings, startedAt Time, isColdStart bool, rng *rand.Rand) *Exchange {
	x := &Exchange{
		settings:    settings,
		rng:         rng,
		startedAt:   startedAt,
		isColdStart: isColdStart,
		slowdown:    1,
		calls:       make(map[Attempt]*call),
		circuits:    settings.Circuits,
	}
	x.processor.settings = &x.settings
	if settings.WorkVariation > 0 {
		shape := 1 / (settings.WorkVariation * settings.WorkVariation)
		x.gamma = distuv.Gamma{Alpha: shape, Beta: shape, Src: rng}
	}
	return x
}

// State returns the state of the exchange.
func (x *Exchange) State() State { return x.state }

// EstablishedCalls returns the number of established calls.
func (x *Exchange) EstablishedCalls() int { return len(x.established) }

// Contains reports whether an attempt, or the call that it established, is in progress at the exchange.
func (x *Exchange) Contains(a Attempt) bool { return x.calls[a] != nil }

// Speed returns the processor's speed; 1 is the full speed of a warm processor.
func (x *Exchange) Speed(now Time) float64 {
	speed := 1 / x.slowdown
	if x.isColdStart {
		speed *= x.settings.CapacityShare(now - x.startedAt)
	}
	return speed
}

// QueueingDelay returns the time that a set-up received now waits for the processor.
func (x *Exchange) QueueingDelay(now Time) time.Duration {
	delay := time.Duration(float64(x.processor.setUpBacklog) / x.Speed(now))
	if x.processor.isBusy {
		delay += max(x.processor.finishesAt-now, 0)
	}
	return delay
}

// randomWork returns a random time that a job of a kind takes if it starts now.
func (x *Exchange) randomWork(kind jobKind, now Time) time.Duration {
	work := x.settings.meanWork(kind)
	if x.settings.WorkVariation > 0 {
		work = time.Duration(float64(work) * x.gamma.Rand())
	}
	return time.Duration(float64(work) / x.Speed(now))
}

func (x *Exchange) randomExponential(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * x.rng.ExpFloat64())
}

// NextDeadline returns the time at which Tick must be called next, or eventqueue.Never.
func (x *Exchange) NextDeadline() Time {
	switch {
	case x.state != Running:
		return eventqueue.Never
	case x.processor.isBusy:
		return min(x.timers.NextTime(), x.processor.finishesAt)
	default:
		return x.timers.NextTime()
	}
}

// Tick handles all jobs and timers that are due, in chronological order.
func (x *Exchange) Tick(now Time) {
	for x.state == Running {
		nextTimer := x.timers.NextTime()
		finishesAt := x.processor.finishesAt
		jobIsDue := x.processor.isBusy && finishesAt <= now && finishesAt <= nextTimer
		switch {
		case jobIsDue:
			x.processor.isBusy = false
			x.finishJob(finishesAt, x.processor.current)
			x.startNextJob(finishesAt)
		case nextTimer <= now:
			due, t := x.timers.Pop()
			x.onTimer(due, t)
			x.startNextJob(due)
		default:
			return
		}
	}
}

// TakeMessages returns the messages sent since the previous call of TakeMessages. The slice is valid until the next
// call of any other method.
func (x *Exchange) TakeMessages() []Message {
	messages := x.outbox
	x.outbox = x.outbox[:0]
	return messages
}

func (x *Exchange) send(c *call, kind Kind, cause int) {
	x.outbox = append(x.outbox, Message{To: c.controller, Kind: kind, Attempt: c.Attempt, Cause: cause})
}
