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
	responseTimeout = 250 * time.Millisecond // a connection without a response for this long counts as dead
	dialTimeout     = 500 * time.Millisecond
	releaseRetry    = 200 * time.Millisecond // delay before an undelivered release is sent again
)

// link is one direction of a connection. It delivers in the order of sending.
type link struct{ lastArrival Time }

// deadConn is the state of a connection that stays open but delivers no messages.
type deadConn uint8

const (
	deadUndetected deadConn = iota
	deadDetected            // a new connection is dialed once no partition prevents it
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

// isDetectedDead reports whether the controller has detected that its connection is dead.
func (l *exchangeLinks) isDetectedDead(e *exchangeInstance) bool {
	state, isDead := l.dead[e]
	return isDead && state == deadDetected
}

// linkTo returns the link to an exchange and creates it if there is none.
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

// isUnresponsive reports whether the connection to an exchange delivers no messages. It replaces a connection that was
// detected dead once no partition prevents that.
func (c *controller) isUnresponsive(e *exchangeInstance) bool {
	isPartitioned := c.sim.isPartitioned(c.zone, e.zone)
	if c.links.isDetectedDead(e) && !isPartitioned {
		delete(c.links.dead, e)
	}
	_, isDead := c.links.dead[e]
	return isDead || isPartitioned
}

// loseSetUp handles a set-up on an unresponsive connection. The controller detects the dead connection after
// responseTimeout; if it has detected it before, the set-up waits for a dial that times out.
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

// failUnsentAttempt ends an attempt that did not reach its exchange, unless it has already ended.
func (c *controller) failUnsentAttempt(e *exchangeInstance, a exchange.Attempt, end call.AttemptEnd) {
	if c.openAttempts[a] != e {
		return
	}
	c.endAttempt(invariant.AttemptRejected, e, a)
	c.manager.AttemptEnded(e.id, a.Call, a.Number, end)
	c.scheduleTicks()
}

// endAttempt removes an attempt from openAttempts and records its end.
func (c *controller) endAttempt(kind invariant.Kind, e *exchangeInstance, a exchange.Attempt) {
	delete(c.openAttempts, a)
	c.record(invariant.Event{Kind: kind, Call: a.Call, Server: e.id, Attempt: a.Number})
}

// breakConnection breaks the connection to an exchange, which ends the open attempts at the exchange.
func (c *controller) breakConnection(e *exchangeInstance, end call.AttemptEnd) {
	c.transmitFrom(e, false, func() { c.failOpenAttempts(e, end) })
	if e.model.State() != exchange.Down {
		c.resetExchange(e)
	}
}

// failOpenAttempts ends the open attempts at an exchange, ordered by call ID and attempt number.
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
	c.scheduleTicks()
}

// resetExchange notifies an exchange that its connection to the controller is lost.
func (c *controller) resetExchange(e *exchangeInstance) {
	c.transmitTo(e, func() {
		e.apply(func(x *exchange.Exchange, now Time) { x.ConnectionLost(now, c.name) })
	})
}
