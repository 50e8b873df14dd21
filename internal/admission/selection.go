package admission

import "slices"

// selectServer returns an open server of the first pool that has one, else the better of two drawn, else nil.
func (m *StateMachine) selectServer(c *call) *server {
	open, excluded := m.openServers(c)
	for _, pool := range append([]int{c.preferredPool}, c.pools...) {
		if i := slices.IndexFunc(open, func(s *server) bool { return s.Pool == pool }); i >= 0 {
			return open[i]
		}
	}
	if len(open) == 0 {
		return excluded
	}
	first, second := m.drawServer(open), m.drawServer(open)
	if len(second.attempts.pending) < len(first.attempts.pending) {
		return second
	}
	return first
}

// openServers returns the servers open to a call and, separately, the one to which it lost the connection.
func (m *StateMachine) openServers(c *call) (open []*server, excluded *server) {
	isOverloaded := m.isOverloadedFor(c)
	m.rejectReason = ReasonNoServer
	for _, s := range m.servers {
		if !m.mayServe(s, c) {
			continue
		}
		if s.Pool == c.preferredPool && c.attempts == 0 {
			s.counts.offered.add()
			m.overloadControl.RecordOffered(m.now, s.ID, c.priority)
		}
		isExcluded := s == c.excludedServer
		switch {
		case isOverloaded, isExcluded && !c.lostConnection, m.isHeldBack(s, c):
		case isExcluded:
			excluded = s
		default:
			open = append(open, s)
		}
	}
	return open, excluded
}

// drawServer draws a server at random, weighted by the circuits in use that it reports.
func (m *StateMachine) drawServer(open []*server) *server {
	drawn, sum := open[0], 0.0
	for _, s := range open {
		weight := 1 + s.circuits.inUse
		sum += weight
		if m.rng.Float64()*sum < weight {
			drawn = s
		}
	}
	return drawn
}

// mayServe reports whether a server is active, in a permitted pool, and safe for a call that may have run.
func (m *StateMachine) mayServe(s *server, c *call) bool {
	allows := func(pools []int) bool { return pools == nil || slices.Contains(pools, s.Pool) }
	isPermitted := allows(c.class.Pools) && allows(c.pools)
	return s.State == Active && isPermitted && (c.mayHaveRunOn == nil || m.deduplicates(s, c))
}
