package call

import (
	"cmp"
	"slices"

	"olivedale/internal/admission"
)

// A Manager owns all open and established calls of a process. It is not safe for concurrent use.
// Create one with NewManager. The Counters are updated as events happen.
type Manager struct {
	decider  Decider
	observer Observer // may be nil
	router   Router   // if nil, calls use their preferred pool
	backends Backends
	now      func() Time
	limits   Limits
	// reservedRoom returns the number of calls for which pending releases take room; may be nil
	reservedRoom func() int

	calls            map[string]*call
	openCalls        int            // calls without a final answer
	establishedCalls map[string]int // by server; only servers with calls
	descriptionBytes int            // total size of the open calls' descriptions
	deadlines        deadlineHeap
	completedCalls   *expiringIDs // calls that had an attempt
	rejectedCalls    *expiringIDs // calls that had none
	unknownReleases  unknownReleases

	Counters
}

// NewManager returns a Manager without calls that uses now as its clock.
func NewManager(decider Decider, backends Backends, now func() Time, limits Limits) *Manager {
	return &Manager{
		decider:          decider,
		backends:         backends,
		now:              now,
		limits:           limits,
		calls:            make(map[string]*call),
		establishedCalls: make(map[string]int),
		completedCalls:   newExpiringIDs(limits.CompletedIDs),
		rejectedCalls:    newExpiringIDs(limits.CompletedIDs),
		unknownReleases:  newUnknownReleases(limits.CompletedIDs),
	}
}

// SetObserver sets the observer of all later events; nil removes it.
func (m *Manager) SetObserver(o Observer) { m.observer = o }

// SetRouter sets the router for calls offered from now on; nil removes it.
func (m *Manager) SetRouter(r Router) { m.router = r }

// SetReservedRoom sets the function that returns the number of pending releases of known calls. They count towards
// Limits.Calls, so that a call which is accepted has room for its release.
func (m *Manager) SetReservedRoom(f func() int) { m.reservedRoom = f }

// OpenCalls returns the number of calls without a final answer.
func (m *Manager) OpenCalls() int { return m.openCalls }

// EstablishedCalls returns the number of established calls.
func (m *Manager) EstablishedCalls() int { return len(m.calls) - m.openCalls }

// EstablishedAt returns the number of calls established at a server.
func (m *Manager) EstablishedAt(server string) int { return m.establishedCalls[server] }

// Contains reports whether a call is open or established.
func (m *Manager) Contains(id string) bool { return m.calls[id] != nil }

// BackendOf returns the server of an established call, or "" if the call is not established.
func (m *Manager) BackendOf(id string) string {
	if c := m.calls[id]; c != nil && c.state == callEstablished {
		return c.attempt.server
	}
	return ""
}

// EstablishedSince returns when a call was established at a server. It reports false if the call is not established
// there.
func (m *Manager) EstablishedSince(server, id string) (Time, bool) {
	if m.BackendOf(id) != server {
		return 0, false
	}
	return m.calls[id].establishedAt, true
}

// IsCallOfOther reports whether a call is open or established for another frontend, so that clients of the given one
// must not release it.
func (m *Manager) IsCallOfOther(frontend Frontend, id string) bool {
	c := m.calls[id]
	return c != nil && c.frontend != frontend
}

// LatestAttempt returns the number of the latest attempt of a call. It reports false if that attempt is not at the
// given server, or the call is neither open nor established.
func (m *Manager) LatestAttempt(server, id string) (attempt int, ok bool) {
	c := m.calls[id]
	if c == nil || c.attempt.server != server {
		return 0, false
	}
	return c.attempt.number, true
}

// UpdateServers passes the complete list of servers to the Decider if full is set, the changed servers
// otherwise.
func (m *Manager) UpdateServers(servers []admission.Server, full bool) {
	m.decider.UpdateServers(m.now(), servers, full)
}

// LoadReported passes the load reported by a server to the Decider.
func (m *Manager) LoadReported(server string, load admission.LoadReport) {
	m.decider.Report(m.now(), admission.AttemptReport{Server: server, Kind: admission.ReportLoad, Load: load})
}

// callsWhere returns the calls that satisfy a condition in the order of their offers. The defined order
// makes simulations in virtual time reproducible.
func (m *Manager) callsWhere(condition func(*call) bool) []*call {
	var selected []*call
	for _, c := range m.calls {
		if condition(c) {
			selected = append(selected, c)
		}
	}
	slices.SortFunc(selected, func(a, b *call) int {
		return cmp.Or(cmp.Compare(a.offeredAt, b.offeredAt), cmp.Compare(a.ID, b.ID))
	})
	return selected
}

// removeCall ends a call, closes its route and keeps its id.
func (m *Manager) removeCall(c *call) {
	delete(m.calls, c.ID)
	c.releaseRoute()
	ids := m.completedCalls
	if c.attempt.number == noAttempt {
		ids = m.rejectedCalls
	}
	ids.add(c.ID, m.now()+completedCallRetention)
	c.transition(callEnded)
}
