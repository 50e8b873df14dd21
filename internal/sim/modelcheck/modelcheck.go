// Package modelcheck is a model checker for the call manager: it explores all sequences of events that a few calls, a
// few servers and faults between them can cause, up to a bound, and checks the invariants in each state. The decision
// module is part of the environment and may make any decision at any time, so an invariant that holds here holds with
// every decision module.
//
// The search is breadth-first over the observable states; each state is reached by replaying its events from the start.
package modelcheck

import (
	"slices"
	"strings"

	"olivedale/internal/call"
)

// Bounds limit a search.
type Bounds struct {
	Calls       int
	Servers     int
	MaxAttempts int // of each call
	MaxDepth    int // events in a sequence
	MaxStates   int // the search stops at this number and is incomplete
	// WrapBackends wraps the backends of the call manager. Tests use it to violate invariants.
	WrapBackends func(call.Backends) call.Backends
}

// Result summarizes a search.
type Result struct {
	States         int // distinct states
	Transitions    int
	Depth          int  // length of the longest sequence of events that was explored
	IsComplete     bool // all sequences within MaxDepth were explored
	Counterexample *Counterexample
}

// Counterexample is a sequence of events after which an invariant does not hold. It implements error.
type Counterexample struct {
	Violation string
	Events    []string
}

// Error implements error.
func (c *Counterexample) Error() string {
	return c.Violation + " after\n  " + strings.Join(c.Events, "\n  ")
}

// Run explores all sequences of events within the bounds. A counterexample is a shortest sequence that shows a
// violation.
func Run(bounds Bounds) Result {
	s := &search{bounds: bounds, seen: make(map[string]bool)}
	s.seen[newModel(bounds).stateKey()] = true
	s.result.States = 1
	frontier := []path{nil}
	for s.result.Depth < bounds.MaxDepth && len(frontier) > 0 {
		frontier = s.expandAll(frontier)
		if s.isStopped {
			return s.result
		}
		s.result.Depth++
	}
	s.result.IsComplete = true
	return s.result
}

// path is the sequence of events that leads to a state.
type path []event

// with returns a copy of the path with one more event.
func (p path) with(e event) path { return append(slices.Clone(p), e) }

type search struct {
	bounds    Bounds
	seen      map[string]bool // by state key
	result    Result
	isStopped bool // by a counterexample or by MaxStates
}

// replay returns a new model after the events of a path.
func (s *search) replay(p path) *model {
	m := newModel(s.bounds)
	for _, e := range p {
		m.apply(e)
	}
	return m
}

// expandAll returns the paths to all new states that are one event after a set of paths.
func (s *search) expandAll(frontier []path) (next []path) {
	for _, p := range frontier {
		for _, e := range s.replay(p).enabledEvents() {
			extended := p.with(e)
			if s.visit(extended) {
				next = append(next, extended)
			}
			if s.isStopped {
				return nil
			}
		}
	}
	return next
}

// visit checks the state after a path and reports whether the search continues from it.
func (s *search) visit(p path) bool {
	m := s.replay(p)
	s.result.Transitions++
	key := m.stateKey()
	isNew := !s.seen[key]
	violation := m.violation
	if isNew && violation == "" {
		violation = s.checkTermination(p)
	}
	if violation != "" {
		s.stopWith(violation, p)
		return false
	}
	if !isNew {
		return false
	}
	s.seen[key] = true
	if s.result.States >= s.bounds.MaxStates {
		s.isStopped = true
		return false
	}
	s.result.States++
	return true
}

// checkTermination returns the violation that occurs if only time passes after a path; "" means none.
func (s *search) checkTermination(p path) string {
	m := s.replay(p)
	m.runToCompletion()
	return m.violation
}

func (s *search) stopWith(violation string, p path) {
	s.isStopped = true
	s.result.Counterexample = &Counterexample{Violation: violation}
	for _, e := range p {
		s.result.Counterexample.Events = append(s.result.Counterexample.Events, e.String())
	}
}
