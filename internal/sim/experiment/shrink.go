package experiment

import (
	"context"
	"slices"
	"time"

	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
	"olivedale/internal/sim/virtualtime"
)

// Shrink minimizes a scenario whose run with a seed violates an invariant. It removes one fault after the other as
// long as the same invariant is still violated, and then shortens the run to end after the first violation. It returns
// nil if the run violates no invariant, and the smallest scenario so far if ctx ends.
func Shrink(
	ctx context.Context, sc *scenario.Scenario, seed uint64, options virtualtime.Options,
) *scenario.Scenario {
	first := virtualtime.Run(sc, seed, options)
	if len(first.ViolationCounts) == 0 {
		return nil
	}
	s := shrinker{
		seed:      seed,
		options:   options,
		invariant: first.Violations[0].Rule,
		smallest:  *sc,
		result:    first,
	}
	isReducible := true
	for isReducible && ctx.Err() == nil {
		isReducible = s.removeFault()
	}
	s.shorten()
	return &s.smallest
}

// A shrinker holds the smallest scenario so far that violates the invariant.
type shrinker struct {
	seed      uint64
	options   virtualtime.Options
	invariant invariant.Rule

	smallest scenario.Scenario
	result   *result.Result // of the smallest scenario
}

// try runs a smaller scenario and keeps it if it still violates the invariant.
func (s *shrinker) try(candidate scenario.Scenario) bool {
	r := virtualtime.Run(&candidate, s.seed, s.options)
	if r.ViolationCounts[string(s.invariant)] == 0 {
		return false
	}
	s.smallest = candidate
	s.result = r
	return true
}

// removeFault removes the first fault without which the invariant is still violated. It reports whether there was
// such a fault.
func (s *shrinker) removeFault() bool {
	for i := range s.smallest.Fault {
		candidate := s.smallest
		candidate.Fault = slices.Delete(slices.Clone(s.smallest.Fault), i, i+1)
		if s.try(candidate) {
			return true
		}
	}
	return false
}

// shorten ends the run at the full second after the first violation, if that is earlier than its end and the
// invariant is still violated.
func (s *shrinker) shorten() {
	i := slices.IndexFunc(s.result.Violations, func(v *invariant.Violation) bool { return v.Rule == s.invariant })
	if i < 0 {
		return
	}
	end := s.result.Violations[i].At.Truncate(time.Second) + time.Second
	candidate := s.smallest
	candidate.Length = scenario.Duration(end)
	if candidate.Length < s.smallest.Length {
		s.try(candidate)
	}
}
