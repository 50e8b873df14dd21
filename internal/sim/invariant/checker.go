// Package invariant checks what a call controller must guarantee, by the messages on its connections: one final answer
// for each call, in time; at most one open attempt for each call; no attempts at a server that drains; no overload of a
// server during its slow start; no attempt within the retry guard.
//
// The package shares no code with the controller and does not know how the controller decides.
package invariant

import (
	"fmt"
	"slices"
	"time"

	"olivedale/internal/sim/eventqueue"
)

const (
	// maxKeptViolations bounds the violations that are kept. Further ones are only counted.
	maxKeptViolations = 100
	// retention is how long a call is remembered after its deadline, to detect a second final answer.
	retention = 10 * time.Second
)

// Checker checks a stream of events in the order of time. It is not safe for concurrent use.
type Checker struct {
	limits        Limits
	calls         map[callKey]*callState
	inactiveSince map[serverKey]Time // since when a controller knows that a server drains or is removed
	isPaused      map[string]bool    // by controller
	deadlines     eventqueue.Queue[callKey]
	releases      eventqueue.Queue[callKey] // deadlines of the notification of callers
	breaches      []*Violation
	counts        map[Rule]int
	eventCount    int
}

type callKey struct{ controller, call string }

type serverKey struct{ controller, server string }

// New returns a Checker that has seen no event.
func New(limits Limits) *Checker {
	return &Checker{
		limits:        limits,
		calls:         make(map[callKey]*callState),
		inactiveSince: make(map[serverKey]Time),
		isPaused:      make(map[string]bool),
		counts:        make(map[Rule]int),
	}
}

// EventCount returns the number of events.
func (c *Checker) EventCount() int { return c.eventCount }

// Violations returns the first violations in the order in which they were found, 100 at most.
func (c *Checker) Violations() []*Violation { return c.breaches }

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

// report counts a violation. The call is nil if the event belongs to no known call.
func (c *Checker) report(r Rule, e Event, call *callState, format string, args ...any) {
	c.counts[r]++
	if len(c.breaches) >= maxKeptViolations {
		return
	}
	around := []Event{e}
	if call != nil {
		around = slices.Clone(call.events)
	}
	c.breaches = append(c.breaches, &Violation{
		Rule:       r,
		At:         e.At,
		Controller: e.Controller,
		Call:       e.Call,
		Server:     e.Server,
		Text:       fmt.Sprintf(format, args...),
		Events:     around,
	})
}

// Record checks an event.
func (c *Checker) Record(e Event) {
	c.eventCount++
	c.expire(e.At)
	switch e.Kind {
	case ServerUpdated:
		c.updateServer(e)
	case ServerCrashed:
		c.report(SlowStartRespected, e, nil, "%s was pushed over while it was cold", e.Server)
	case ControllerPaused:
		c.pause(e)
	case ControllerEnded:
		c.forgetController(e.Controller)
	case CallOffered, CallEstablished, CallRejected, CallAbandoned, AttemptSent, AttemptCanceled, AttemptUnsent,
		AttemptAnswered, AttemptRejected, AttemptBroken, CallEnded, CallerNotified, CallerReleased, CallStanding:
		c.seeCall(e)
	}
}

// updateServer records since when the controller knows that a server is inactive.
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

// pause excuses late answers to the calls that are open while a controller is paused. Endpoint updates that it could
// not read count from the time at which it continues.
func (c *Checker) pause(e Event) {
	c.isPaused[e.Controller] = e.IsSet
	for key, call := range c.calls {
		if key.controller == e.Controller && call.answer.isDue {
			call.answer.isExcused = true
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

// expire reports the calls whose answer or release is missing at its deadline, and forgets calls after their retention.
func (c *Checker) expire(now Time) {
	c.expireReleases(now)
	for c.deadlines.NextTime() < now {
		due, key := c.deadlines.Pop()
		call := c.calls[key]
		if call == nil {
			continue
		}
		if call.answer.isDue {
			c.missAnswer(due, key, call)
		}
		if due >= call.answer.deadline+retention && !c.keepsForRelease(call) {
			delete(c.calls, key)
			continue
		}
		c.deadlines.Push(max(due, call.answer.deadline)+retention+c.limits.Slack, key)
	}
}

// missAnswer handles an answer that was not given by the deadline.
func (c *Checker) missAnswer(deadline Time, key callKey, call *callState) {
	call.answer.isDue = false
	call.answer.isMissed = true
	if call.answer.isExcused {
		return // not over: a controller that was paused learns late that the caller has gone, and may send attempts
	}
	call.answer.isOver = true
	e := Event{At: deadline, Controller: key.controller, Call: key.call}
	c.report(InTime, e, call, "%s has no answer when its caller gives up", key.call)
}

// Finish checks the calls that are open at the end of the events.
func (c *Checker) Finish(now Time) { c.expire(now + retention + time.Minute) }
