package virtualtime

import (
	"cmp"
	"slices"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/invariant"
)

const (
	responseTimeout = 250 * time.Millisecond // a connection without an answer for this long is given up
	dialTimeout     = 500 * time.Millisecond
	releaseRetry    = 200 * time.Millisecond // a release that was not delivered is sent again after this
)

// link is one direction of a connection. It delivers in the order of sending.
type link struct{ lastArrival Time }

// deadConn is the state of a connection that stays open and carries nothing.
type deadConn uint8

const (
	deadUndetected deadConn = iota
	deadDetected            // a new connection is dialed as soon as the network allows
)

// exchangeLinks are the connections of a controller to the exchanges.
type exchangeLinks struct {
	toExchange   map[*exchangeInstance]*link
	fromExchange map[*exchangeInstance]*link
	dead         map[*exchangeInstance]deadConn
}

func newExchangeLinks() exchangeLinks {
	return exchangeLinks{
		toExchange:   make(map[*exchangeInstance]*link),
		fromExchange: make(map[*exchangeInstance]*link),
		dead:         make(map[*exchangeInstance]deadConn),
	}
}

// isDetectedDead reports whether the controller knows that its connection carries nothing.
func (l *exchangeLinks) isDetectedDead(e *exchangeInstance) bool {
	state, isDead := l.dead[e]
	return isDead && state == deadDetected
}

// linkTo returns the link of a map, which it creates if there is none.
func linkTo(links map[*exchangeInstance]*link, e *exchangeInstance) *link {
	if links[e] == nil {
		links[e] = &link{}
	}
	return links[e]
}

// isPartitioned reports whether a network partition separates two zones.
func (s *simulation) isPartitioned(zone, other int) bool {
	partitions := s.faults.partitions
	return zone != other && (partitions[zone] > 0 || partitions[other] > 0)
}

// transmit schedules the arrival of a message on a link.
func (s *simulation) transmit(l *link, isSameZone bool, arrive func()) {
	delay := s.scenario.Network.Far
	if isSameZone {
		delay = s.scenario.Network.Near
	}
	l.lastArrival = max(s.now+s.draw(delay), l.lastArrival+1)
	s.queue.Push(l.lastArrival, arrive)
}

// transmitTo schedules the arrival of a message at an exchange.
func (c *controller) transmitTo(e *exchangeInstance, arrive func()) {
	c.sim.transmit(linkTo(c.links.toExchange, e), c.zone == e.zone, arrive)
}

// transmitFrom schedules the arrival of a message of an exchange. The message is lost if the controller has ended by
// then; one that survives a restart arrives if the controller has been started again.
func (c *controller) transmitFrom(e *exchangeInstance, survivesRestart bool, arrive func()) {
	incarnation := c.incarnation
	c.sim.transmit(linkTo(c.links.fromExchange, e), c.zone == e.zone, func() {
		isExpected := c.isRunningAs(incarnation) || survivesRestart && c.isRunning()
		if isExpected {
			arrive()
		}
	})
}

// isUnresponsive reports whether the connection to an exchange carries nothing. A connection that is known to be dead
// is replaced here once no partition is in the way.
func (c *controller) isUnresponsive(e *exchangeInstance) bool {
	isPartitioned := c.sim.isPartitioned(c.zone, e.zone)
	if c.links.isDetectedDead(e) && !isPartitioned {
		delete(c.links.dead, e)
	}
	_, isDead := c.links.dead[e]
	return isDead || isPartitioned
}

// loseSetUp handles a set-up on a connection that carries nothing. The controller detects the dead connection after
// responseTimeout; if it knows about it already, the set-up waits for a dial that times out.
func (c *controller) loseSetUp(e *exchangeInstance, a exchange.Attempt) {
	if c.links.isDetectedDead(e) {
		c.after(dialTimeout, func() { c.failUnsentAttempt(e, a, call.DialTimedOut) })
		return
	}
	c.after(responseTimeout, func() {
		if !c.links.isDetectedDead(e) && c.isUnresponsive(e) {
			c.links.dead[e] = deadDetected
			c.breakConnection(e, call.Unresponsive)
		}
	})
}

// failUnsentAttempt ends an attempt that never reached its exchange, unless it has ended already.
func (c *controller) failUnsentAttempt(e *exchangeInstance, a exchange.Attempt, end call.AttemptEnd) {
	if c.openAttempts[a] != e {
		return
	}
	c.endAttempt(invariant.AttemptRejected, e, a)
	c.manager.AttemptEnded(e.id, a.Call, a.Number, end)
	c.settle()
}

// endAttempt removes an attempt from the open ones and records its end.
func (c *controller) endAttempt(kind invariant.Kind, e *exchangeInstance, a exchange.Attempt) {
	delete(c.openAttempts, a)
	c.record(invariant.Event{Kind: kind, Call: a.Call, Server: e.id, Attempt: a.Number})
}

// breakConnection breaks the connection to an exchange. Its open attempts end.
func (c *controller) breakConnection(e *exchangeInstance, end call.AttemptEnd) {
	c.transmitFrom(e, false, func() { c.failOpenAttempts(e, end) })
	if e.model.State() != exchange.Down {
		c.resetExchange(e)
	}
}

// failOpenAttempts ends the open attempts at an exchange, in the order of their names.
func (c *controller) failOpenAttempts(e *exchangeInstance, end call.AttemptEnd) {
	var attempts []exchange.Attempt
	for a, at := range c.openAttempts {
		if at == e {
			attempts = append(attempts, a)
		}
	}
	slices.SortFunc(attempts, func(a, b exchange.Attempt) int {
		return cmp.Or(cmp.Compare(a.Call, b.Call), cmp.Compare(a.Number, b.Number))
	})
	for _, a := range attempts {
		c.endAttempt(invariant.AttemptBroken, e, a)
		c.manager.AttemptEnded(e.id, a.Call, a.Number, end)
	}
	c.settle()
}

// resetExchange lets an exchange see that its connection to the controller is lost.
func (c *controller) resetExchange(e *exchangeInstance) {
	c.transmitTo(e, func() {
		e.apply(func(x *exchange.Exchange, now Time) { x.ConnectionLost(now, c.name) })
	})
}
