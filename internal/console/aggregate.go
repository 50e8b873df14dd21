package console

import (
	"maps"
	"math"
	"slices"
)

// Totals are the sums over the instances of a fleet.
type Totals struct {
	Counts       Counts
	Rates        Rates
	WithoutRates int // instances that are left out of Rates because theirs are not known
}

// Totals returns the sums over the instances. Instances that have ended have no rates and do not count as left out.
func (s *Snapshot) Totals() Totals {
	var t Totals
	for i := range s.Instances {
		instance := &s.Instances[i]
		t.Counts.add(instance.Total)
		if instance.State.isTerminal() {
			continue
		}
		if math.IsNaN(instance.Rates.Offered) {
			t.WithoutRates++
			continue
		}
		t.Rates = t.Rates.plus(instance.Rates)
	}
	return t
}

// MajorityNumbering returns the digest of the numbering table that most instances have in force, "" if none has one. Of
// two equally frequent digests it is the first in alphabetical order.
func (s *Snapshot) MajorityNumbering() string {
	instances := make(map[string]int) // by digest
	for _, i := range s.Instances {
		if i.NumberingDigest != "" {
			instances[i.NumberingDigest]++
		}
	}
	majority := ""
	for _, digest := range slices.Sorted(maps.Keys(instances)) {
		if instances[digest] > instances[majority] {
			majority = digest
		}
	}
	return majority
}

// countOtherNumbering returns how many running instances have another numbering table than the majority.
func (s *Snapshot) countOtherNumbering(majority string) int {
	count := 0
	for i := range s.Instances {
		if s.Instances[i].hasOtherNumbering(majority) {
			count++
		}
	}
	return count
}

// countInState returns how many instances are in a state.
func (s *Snapshot) countInState(state State) int {
	count := 0
	for i := range s.Instances {
		if s.Instances[i].State == state {
			count++
		}
	}
	return count
}

// Servers merges the state of each server over the instances, in the order of the names.
func (s *Snapshot) Servers() []Server {
	merged := make(map[string]*Server)
	for _, instance := range s.Instances {
		for i := range instance.Servers {
			part := &instance.Servers[i]
			server := merged[part.Name]
			if server == nil {
				server = &Server{Name: part.Name, Pool: part.Pool, Phase: part.Phase, RateLimit: math.Inf(1)}
				merged[part.Name] = server
			}
			server.merge(part)
		}
	}
	return sortedByName(merged)
}

// merge adds the state of the server at one more instance. The rate limit becomes the sum of those that are set.
func (s *Server) merge(part *Server) {
	s.KnownBy++
	if part.Phase != phaseActive {
		s.Phase = part.Phase
	}
	s.InSlowStart = s.InSlowStart || part.InSlowStart
	if part.isLimited() && !math.IsNaN(part.RateLimit) {
		if s.LimitedBy == 0 {
			s.RateLimit = 0
		}
		s.LimitedBy++
		s.RateLimit += part.RateLimit
	}
	s.Attempts += part.Attempts
	s.Established += part.Established
	s.Dropped += part.Dropped
	s.AttemptRate += part.AttemptRate
}

// isLimited reports whether the server has a rate limit.
func (s *Server) isLimited() bool { return !math.IsInf(s.RateLimit, 1) }

// Classes merges the counts of each class over the instances, in the order of the names.
func (s *Snapshot) Classes() []Class {
	merged := make(map[string]*Class)
	for _, instance := range s.Instances {
		for _, part := range instance.Classes {
			class := merged[part.Name]
			if class == nil {
				class = &Class{Name: part.Name}
				merged[part.Name] = class
			}
			class.add(part.Counts)
			class.Rates = class.Rates.plus(part.Rates)
		}
	}
	return sortedByName(merged)
}

// sortedByName returns the values of a map in the order of its keys.
func sortedByName[V any](byName map[string]*V) []V {
	all := make([]V, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		all = append(all, *byName[name])
	}
	return all
}
