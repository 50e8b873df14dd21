package admission

import (
	"maps"
	"math"
	"slices"
)

// newServer returns the initial state of a listed server.
func (m *StateMachine) newServer(listing Server) *server {
	s := &server{
		Server:    listing,
		counts:    attemptCounts{since: m.now},
		limit:     rateLimit{rate: math.Inf(1), tokens: burstSize, overloadedAt: m.now - m.window},
		ramp:      ramp{tokens: 1},
		responses: responseHistory{lastAnswer: m.now, minSetupTime: m.latencyThreshold},
	}
	if listing.Started > 0 && m.now-listing.Started < m.settings.SlowStartPeriod {
		s.ramp = ramp{inSlowStart: true, tokens: m.rng.Float64()}
	}
	return s
}

// findServer returns nil if the server is not listed.
func (m *StateMachine) findServer(id string) *server {
	if i := slices.IndexFunc(m.servers, func(s *server) bool { return s.ID == id }); i >= 0 {
		return m.servers[i]
	}
	return nil
}

// updateServers applies a server list or, if the watch failed, schedules a new watch.
func (m *StateMachine) updateServers(e ServersUpdated) {
	if e.Failed {
		m.emit(SetTimer{At: m.now + m.window, Key: watchRetryTimerKey})
		return
	}
	for _, s := range m.servers {
		if e.Full && !slices.ContainsFunc(e.Servers, s.isListedAs) {
			s.State = Removed
		}
	}
	for _, listing := range e.Servers {
		if listing.ID != "" {
			m.updateServer(listing, e.Full)
		}
	}
}

// updateServer adds or updates a server. A restarted server is reset except for its open attempts.
func (m *StateMachine) updateServer(listing Server, isFullList bool) {
	s := m.findServer(listing.ID)
	switch {
	case s == nil:
		if listing.Started == 0 && !isFullList {
			listing.Started = m.now
		}
		m.servers = append(m.servers, m.newServer(listing))
	case listing.Started > s.Started:
		attempts := s.attempts
		*s = *m.newServer(listing)
		s.attempts = attempts
	default:
		listing.Started = s.Started
		s.Server = listing
	}
}

func (m *StateMachine) removeExpired() {
	maps.DeleteFunc(m.dialedNumbers, func(_ string, n *dialedNumber) bool { return m.now >= n.expires })
	maps.DeleteFunc(m.busyNumbers, func(_ string, probeAt Time) bool { return m.now > probeAt+m.window })
	m.servers = slices.DeleteFunc(m.servers, func(s *server) bool {
		return s.State == Removed && s.attempts.isEmpty()
	})
}
