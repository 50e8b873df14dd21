package virtualtime

import (
	"olivedale/internal/call"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/invariant"
)

// backendConns implements call.Backends for the call manager of a controller: the sending side of the connections to
// the exchanges.
type backendConns controller

// Invite implements call.Backends.
func (b *backendConns) Invite(server string, setUp call.Setup) {
	c := (*controller)(b)
	s := c.sim
	a := exchange.Attempt{Call: setUp.ID, Number: setUp.Attempt}
	c.record(invariant.Event{Kind: invariant.AttemptSent, Call: setUp.ID, Server: server, Attempt: setUp.Attempt})
	s.tally.Sent()
	e := s.exchangesByID[server]
	if e == nil {
		return // only a decision module that a test has modified sends to an unknown server
	}
	c.openAttempts[a] = e
	isRefusingConns := e.model.State() == exchange.Down && !e.isUnreachable
	switch {
	case isRefusingConns:
		c.transmitFrom(e, false, func() { c.failUnsentAttempt(e, a, call.DialRefused) })
	case c.isUnresponsive(e):
		c.loseSetUp(e, a)
	case s.occurs(s.faults.lostSetUpShare): // the set-up is lost on its way
	default:
		class := setUp.Class
		c.transmitTo(e, func() { e.receiveSetUp(c, a, class) })
	}
}

// Cancel implements call.Backends.
func (b *backendConns) Cancel(server, id string, attempt int) (unsent bool) {
	c := (*controller)(b)
	a := exchange.Attempt{Call: id, Number: attempt}
	delete(c.openAttempts, a)
	c.record(invariant.Event{Kind: invariant.AttemptCanceled, Call: id, Server: server, Attempt: attempt})
	e := c.sim.exchangesByID[server]
	isLost := e == nil || c.isUnresponsive(e) // the exchange cancels the attempt when its connection is lost
	if !isLost {
		c.send(e, func(x *exchange.Exchange, now Time) { x.Cancel(now, a) })
	}
	return false
}

// Release implements call.Backends.
func (b *backendConns) Release(server, id string, attempt, _ int) {
	c := (*controller)(b)
	e := c.sim.exchangesByID[server]
	if e == nil {
		return
	}
	c.send(e, func(x *exchange.Exchange, now Time) { x.Release(now, exchange.Attempt{Call: id, Number: attempt}) })
}

// ReleaseEverywhere implements call.Backends.
func (b *backendConns) ReleaseEverywhere(id string, _ int) {
	c := (*controller)(b)
	for _, e := range c.sim.exchangesByPool {
		c.send(e, func(x *exchange.Exchange, now Time) { x.ReleaseCall(now, id) })
	}
}

// send sends a message to an exchange. While the connection is unresponsive, it retries after releaseRetry.
func (c *controller) send(e *exchangeInstance, input func(x *exchange.Exchange, now Time)) {
	if c.isUnresponsive(e) {
		c.after(releaseRetry, func() { c.send(e, input) })
		return
	}
	c.transmitTo(e, func() { e.apply(input) })
}

// transmitFromExchange transmits a message that leaves an exchange, subject to the faults of the link.
func (c *controller) transmitFromExchange(e *exchangeInstance, m exchange.Message) {
	s := c.sim
	if c.isUnresponsive(e) {
		if m.Kind == exchange.Released {
			c.retransmitRelease(e, m)
		}
		return
	}
	isAnswer := m.Kind == exchange.Answered
	if isAnswer && s.occurs(s.faults.partialAnswerShare) {
		return
	}
	isMalformed := isAnswer && s.occurs(s.faults.malformedAnswerShare)
	isDuplicated := isAnswer && s.occurs(s.faults.duplicateAnswerShare)
	survivesRestart := m.Kind == exchange.Released
	c.transmitFrom(e, survivesRestart, func() {
		if isMalformed {
			c.breakConnection(e, call.Malformed)
			return
		}
		c.receive(e, m)
		if isDuplicated {
			c.receive(e, m)
		}
	})
}

// retransmitRelease makes an exchange resend a release after its connection was unresponsive.
func (c *controller) retransmitRelease(e *exchangeInstance, m exchange.Message) {
	c.sim.after(releaseRetry, func() {
		if !e.isUnreachable {
			c.transmitFromExchange(e, m)
		}
	})
}

// receive passes a message of an exchange to the manager.
func (c *controller) receive(e *exchangeInstance, m exchange.Message) {
	switch m.Kind {
	case exchange.Answered:
		c.endAttempt(invariant.AttemptAnswered, e, m.Attempt)
		c.sim.callers.noteAnswer(m.Call, e)
		c.manager.AttemptAnswered(e.id, m.Call, m.Number, nil)
	case exchange.ProcessorBusy:
		c.endAttempt(invariant.AttemptRejected, e, m.Attempt)
		c.manager.AttemptEnded(e.id, m.Call, m.Number, call.ProcessorBusy)
	case exchange.NoCircuit:
		c.endAttempt(invariant.AttemptRejected, e, m.Attempt)
		c.manager.AttemptEnded(e.id, m.Call, m.Number, call.NoCircuit)
	case exchange.Released:
		c.manager.BackendReleased(e.id, m.Call, m.Cause, c.frontend)
	case exchange.Canceled: // the manager no longer tracks an attempt that it canceled
	}
	c.scheduleTicks()
}
