package virtualtime

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/scenario"
)

const (
	answerMargin       = 5 * time.Millisecond // of the caller's patience, reserved for the delivery of the final answer
	maxBackoffDoubling = 4                    // the retry delay doubles at most this many times
)

// request is one request for a caller's call, sent to one controller.
type request struct {
	id            string
	caller        *caller
	controller    *controller
	answeredBy    *exchangeInstance // nil: none has answered
	isOver        bool              // it has its final answer, has failed, or the caller has abandoned it
	isEstablished bool
}

// sendRequest sends a request to a controller, or to the next one that accepts calls.
func (p *callerPool) sendRequest(c *caller, controllerIndex int) {
	s := p.sim
	p.lastRequest++
	r := &request{id: fmt.Sprintf("c%d", p.lastRequest), caller: c, controller: s.acceptingController(controllerIndex)}
	c.requestCount++
	s.tally.Try()
	patience := p.patience(c)
	abandonAfter := patience
	leavesEarly := s.scenario.Callers.AbandonShare > 0 && p.rng.Float64() < s.scenario.Callers.AbandonShare
	if leavesEarly {
		abandonAfter = time.Duration(p.rng.Float64() * float64(patience))
	}
	p.requests[r.id] = r
	incarnation := r.controller.incarnation
	deadline := s.now + patience
	s.after(s.scenario.Network.Client.D(), func() { p.deliverRequest(r, incarnation, deadline) })
	s.after(abandonAfter, func() { p.abandonRequest(r, incarnation) })
}

// acceptingController returns the first controller that accepts calls, starting at an index. If there is none, it
// returns the controller at the index.
func (s *simulation) acceptingController(index int) *controller {
	for offset := range s.controllers {
		c := s.controllers[(index+offset)%len(s.controllers)]
		if c.isRunning() && !c.isShuttingDown {
			return c
		}
	}
	return s.controllers[index]
}

// patience returns how long a caller waits for the final answer to a request.
func (p *callerPool) patience(c *caller) time.Duration {
	shares := p.sim.scenario.Callers.Patience
	giveUp := c.class.Deadline.D()
	patience := time.Duration(float64(giveUp) * (shares[0] + (shares[1]-shares[0])*c.patienceDraw))
	if patience <= 0 {
		return giveUp
	}
	return patience
}

// deliverRequest offers a request to the call manager of its controller. The request fails if the controller has ended
// since it was sent. The caller abandons the request at the deadline.
func (p *callerPool) deliverRequest(r *request, incarnation int, deadline Time) {
	c := r.controller
	if !c.isRunningAs(incarnation) {
		p.failRequest(r, 0)
		return
	}
	c.record(invariant.Event{Kind: invariant.CallOffered, Call: r.id, Deadline: deadline})
	var client call.Client = c.clients[p.rng.IntN(len(c.clients))]
	if wrap := p.sim.options.WrapClient; wrap != nil {
		client = wrap(c.name, client)
	}
	_ = c.manager.Offer(client, call.Request{
		ID:            r.id,
		Class:         r.caller.class.Name,
		Number:        r.caller.number,
		PreferredPool: r.caller.preferredPool,
		Deadline:      epoch + deadline - answerMargin,
		Reestablish:   r.caller.isRedial,
	})
	c.scheduleTicks()
}

// abandonRequest ends the caller's wait for the final answer and tells the controller.
func (p *callerPool) abandonRequest(r *request, incarnation int) {
	if r.isOver {
		return
	}
	s, c := p.sim, r.controller
	s.tally.Abandoned()
	p.failRequest(r, 0)
	s.after(s.scenario.Network.Client.D(), func() {
		if !c.isRunningAs(incarnation) {
			return
		}
		c.record(invariant.Event{Kind: invariant.CallAbandoned, Call: r.id})
		c.manager.ReleaseByCaller(call.UnconfirmedSource("caller"), r.id, call.CauseNormal)
		c.scheduleTicks()
	})
}

// failRequest ends a request that established no call. The caller may send another request, after retryAfter at the
// earliest.
func (p *callerPool) failRequest(r *request, retryAfter time.Duration) {
	if r.isOver {
		return
	}
	r.isOver = true
	delete(p.requests, r.id)
	c, settings := r.caller, &p.sim.scenario.Callers
	if p.isClosed || c.requestCount > settings.MaxRedials {
		return
	}
	delay := settings.RedialDelay.Draw(p.rng) << min(c.requestCount-1, maxBackoffDoubling)
	if !settings.IgnoresRetryAfter {
		delay = max(delay, retryAfter)
	}
	isTooLate := p.sim.now+delay-c.startedAt >= c.class.Deadline.D()
	if isTooLate {
		return
	}
	controllerIndex := p.drawController()
	if !settings.RedialsAnywhere {
		controllerIndex = c.homeController
	}
	p.sim.after(delay, func() {
		if !p.isClosed {
			p.sendRequest(c, controllerIndex)
		}
	})
}

// noteAnswer records which exchange has answered a request, before the answer reaches the caller.
func (p *callerPool) noteAnswer(id string, e *exchangeInstance) {
	if r := p.requests[id]; r != nil && !r.isOver {
		r.answeredBy = e
	}
}

// onRejected handles a final answer that rejects a call.
func (p *callerPool) onRejected(id string, cause int, retryAfter time.Duration) {
	r := p.requests[id]
	if r == nil || r.isOver {
		return
	}
	p.sim.tally.Rejected(cause == call.CauseNoCircuit)
	p.failRequest(r, retryAfter)
}

// onEstablished handles a final answer that establishes a call.
func (p *callerPool) onEstablished(id string) {
	r := p.requests[id]
	if r == nil || r.isOver {
		return
	}
	r.isOver, r.isEstablished = true, true
	c := r.caller
	isOtherPool := r.answeredBy != nil && r.answeredBy.pool != c.preferredPool
	p.sim.tally.Established(c.record, p.sim.now-c.startedAt, isOtherPool)
}

// onReleased handles the end of an established call. A caller whose call was dropped redials.
func (p *callerPool) onReleased(id string, cause int) {
	r := p.requests[id]
	if r == nil || !r.isEstablished {
		return
	}
	delete(p.requests, id)
	if cause == exchange.CauseNormal {
		return
	}
	p.sim.tally.Dropped(r.caller.record)
	delay := p.drawRedialDelay()
	if p.isClosed || delay <= 0 {
		return
	}
	p.sim.after(delay, func() {
		if !p.isClosed {
			p.redial(r.caller)
		}
	})
}

// drawRedialDelay draws the time until the caller of a dropped call redials.
func (p *callerPool) drawRedialDelay() time.Duration {
	delay := scenario.DefaultRedialDelay
	for _, f := range p.sim.scenario.Fault {
		if f.Kind == scenario.DropCalls && f.RedialDelay[1] > 0 {
			delay = f.RedialDelay
		}
	}
	return delay.Draw(p.rng)
}

// controllerLost fails the requests at a controller that has ended, in the order in which they were sent.
func (p *callerPool) controllerLost(c *controller) {
	var lost []*request
	for _, r := range p.requests {
		if r.controller == c && !r.isOver {
			lost = append(lost, r)
		}
	}
	slices.SortFunc(lost, func(a, b *request) int {
		return cmp.Or(cmp.Compare(len(a.id), len(b.id)), cmp.Compare(a.id, b.id))
	})
	for _, r := range lost {
		p.sim.after(p.sim.scenario.Network.Client.D(), func() { p.failRequest(r, 0) })
	}
}
