// Package invariant checks the guarantees of a call controller against the messages on its connections: one final
// answer for each call, in time; at most one open attempt for each call; no attempts at a server that drains; no
// overload of a server during its slow start; no attempt within the retry guard.
//
// The package shares no code with the controller and makes no assumption on how the controller decides.
package invariant

import (
	"fmt"
	"slices"
	"time"

	"olivedale/internal/sim/eventqueue"
)

const (
	// maxKeptViolations bounds the violations that are kept with their events. Further ones are only counted.
	maxKeptViolations = 100
	// retention is how long the state of a call is kept after its deadline, to detect a second final answer.
	retention = 10 * time.Second
)

// Checker checks a stream of events that are sorted by time. It is not safe for concurrent use.
type Checker struct {
	limits        Limits
	calls         map[callKey]*callState
	inactiveSince map[serverKey]Time // when a controller learned that a server drains or is removed
	isPaused      map[string]bool    // by controller
	deadlines     eventqueue.Queue[callKey]
	notifications eventqueue.Queue[callKey] // deadlines of the notification of callers
	violations    []*Violation
	counts        map[Rule]int
	eventCount    int
}

type callKey struct{ controller, call string }

type serverKey struct{ controller, server string }

// New returns a Checker without events.
func New(limits Limits) *Checker {
	return &Checker{
		limits:        limits,
		calls:         make(map[callKey]*callState),
		inactiveSince: make(map[serverKey]Time),
		isPaused:      make(map[string]bool),
		counts:        make(map[Rule]int),
	}
}

// EventCount returns the number of recorded events.
func (c *Checker) EventCount() int { return c.eventCount }

// Violations returns the first violations, 100 at most, in the order of their detection.
func (c *Checker) Violations() []*Violation { return c.violations }

// Count returns how often a rule was violated.
func (c *Checker) Count(r Rule) int { return c.counts[r] }

// Total returns the number of violations of all rules.
func (c *Checker) Total() int {
	total := 0
	for _, n := range c.counts {
		total += n
	}
	return total
}

// report counts a violation and keeps it while there is room. The call is nil if the event belongs to no known call.
func (c *Checker) report(r Rule, e Event, call *callState, format string, args ...any) {
	c.counts[r]++
	if len(c.violations) >= maxKeptViolations {
		return
	}
	events := []Event{e}
	if call != nil {
		events = slices.Clone(call.events)
	}
	c.violations = append(c.violations, &Violation{
		Rule:       r,
		At:         e.At,
		Controller: e.Controller,
		Call:       e.Call,
		Server:     e.Server,
		Text:       fmt.Sprintf(format, args...),
		Events:     events,
	})
}

// Record checks an event. Deadlines that passed before it are checked first.
func (c *Checker) Record(e Event) {
	c.eventCount++
	c.expire(e.At)
	switch e.Kind {
	case ServerUpdated:
		c.updateServer(e)
	case ServerCrashed:
		c.report(SlowStartRespected, e, nil, "%s crashed by overload during its slow start", e.Server)
	case ControllerPaused:
		c.pause(e)
	case ControllerEnded:
		c.forgetController(e.Controller)
	case CallOffered, CallEstablished, CallRejected, CallAbandoned, AttemptSent, AttemptCanceled, AttemptUnsent,
		AttemptAnswered, AttemptRejected, AttemptBroken, CallEnded, CallerNotified, CallerReleased,
		CallStillEstablished:
		c.checkCallEvent(e)
	}
}

// updateServer records when the controller learned that a server is inactive, or that it is active again.
func (c *Checker) updateServer(e Event) {
	key := serverKey{e.Controller, e.Server}
	_, isKnown := c.inactiveSince[key]
	switch {
	case !e.IsSet:
		delete(c.inactiveSince, key)
	case !isKnown:
		c.inactiveSince[key] = e.At
	}
}

// pause allows late answers to the calls that are open while a controller is paused. Endpoint updates that it could
// not read meanwhile count from the time at which it continues.
func (c *Checker) pause(e Event) {
	c.isPaused[e.Controller] = e.IsSet
	for key, call := range c.calls {
		if key.controller == e.Controller && call.answer.isDue {
			call.answer.mayBeLate = true
		}
	}
	for key, since := range c.inactiveSince {
		if key.controller == e.Controller && !e.IsSet {
			c.inactiveSince[key] = max(since, e.At)
		}
	}
}

// forgetController drops the state of a controller that has ended.
func (c *Checker) forgetController(controller string) {
	delete(c.isPaused, controller)
	for key := range c.calls {
		if key.controller == controller {
			delete(c.calls, key)
		}
	}
	for key := range c.inactiveSince {
		if key.controller == controller {
			delete(c.inactiveSince, key)
		}
	}
}

// expire reports the calls whose final answer or release notification is missing at its deadline, and drops the state
// of calls after their retention.
func (c *Checker) expire(now Time) {
	c.expireNotifications(now)
	for c.deadlines.NextTime() < now {
		due, key := c.deadlines.Pop()
		call := c.calls[key]
		if call == nil {
			continue
		}
		if call.answer.isDue {
			c.recordMissingAnswer(due, key, call)
		}
		if due >= call.answer.deadline+retention && !c.retainsForRelease(call) {
			delete(c.calls, key)
			continue
		}
		c.deadlines.Push(max(due, call.answer.deadline)+retention+c.limits.Slack, key)
	}
}

// recordMissingAnswer handles a final answer that was not given by the deadline.
func (c *Checker) recordMissingAnswer(deadline Time, key callKey, call *callState) {
	call.answer.isDue = false
	call.answer.isMissed = true
	if call.answer.mayBeLate {
		return // not over: a paused controller learns late that the caller has left, and may still send attempts
	}
	call.answer.isOver = true
	e := Event{At: deadline, Controller: key.controller, Call: key.call}
	c.report(InTime, e, call, "%s has no final answer at its caller's deadline", key.call)
}

// Finish checks the calls that are open at the end of the events.
func (c *Checker) Finish(now Time) { c.expire(now + retention + time.Minute) }
