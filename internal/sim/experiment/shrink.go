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

// Shrink removes faults from a scenario that violates an invariant with a seed, one after the other, as long as the
// same invariant is violated, and then cuts the run short after the first violation. It returns nil if the scenario
// violates no invariant. Once ctx is done it returns the smallest scenario found so far.
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

// A shrinker holds the smallest scenario that is known to violate an invariant.
type shrinker struct {
	seed      uint64
	options   virtualtime.Options
	invariant invariant.Rule

	smallest scenario.Scenario
	result   *result.Result // of the smallest scenario
}

// try plays a smaller scenario and keeps it if it still violates the invariant.
func (s *shrinker) try(candidate scenario.Scenario) bool {
	r := virtualtime.Run(&candidate, s.seed, s.options)
	if r.ViolationCounts[string(s.invariant)] == 0 {
		return false
	}
	s.smallest = candidate
	s.result = r
	return true
}

// removeFault removes the first fault without which the invariant is still violated. It reports false if every
// fault is needed.
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

// shorten ends the run in the second after the first violation, if that is early enough and suffices.
func (s *shrinker) shorten() {
	i := slices.IndexFunc(s.result.Violations, func(b *invariant.Violation) bool { return b.Rule == s.invariant })
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
