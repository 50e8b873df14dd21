package call

// A ReleaseResult is the result of a caller's release.
type ReleaseResult int

// The results.
const (
	ReleaseForwarded ReleaseResult = iota // the release was sent to the call's backend, or to all backends
	ReleaseAbandoned                      // the call was open; it is canceled and has no answer
	ReleaseQueued                         // the release waits to be sent; ReleaseSource.ReleaseForwarded follows
	ReleaseRepeated                       // the call is known to have ended
	ReleaseRefused                        // there are too many releases of unknown calls; it has no effect
)

// ReleaseByCaller handles a release from a caller on any connection. It ends an established call, abandons an open one,
// and passes the release of an unknown call to ReleaseUnknown.
func (m *Manager) ReleaseByCaller(source ReleaseSource, id string, cause int) ReleaseResult {
	c := m.calls[id]
	switch {
	case c == nil:
		return m.ReleaseUnknown(source, id, cause)
	case c.isOpen():
		m.abandonCall(c)
		return ReleaseAbandoned
	default:
		m.ReleasedByCaller++
		m.backends.Release(c.attempt.server, id, c.attempt.number, cause)
		m.endEstablished(c, CallerReleased, cause)
		return ReleaseForwarded
	}
}

// BackendReleased handles a backend's release of a call and notifies the caller. The release of an unknown
// call, which may have been established before a restart, is forwarded to the given frontends. A repeated
// release is ignored, and so is the release of an earlier attempt at another server.
func (m *Manager) BackendReleased(server, id string, cause int, frontends ...Frontend) {
	c := m.calls[id]
	switch {
	case c == nil:
		m.releaseUnknownAtFrontends(id, cause, frontends)
	case c.attempt.server != server:
		return
	case c.state == callEstablished:
		m.ReleasedByBackend++
		end := EndedByFault
		if cause == CauseNormal {
			end = Completed
		}
		m.endEstablished(c, end, cause)
		c.frontend.NotifyRelease(c.client, id, cause)
	case c.state == callAttempting:
		// The release may belong to an earlier attempt at this server whose answer was lost. The attempt in
		// progress must be canceled, or the next one would run concurrently with it.
		m.cancelAtBackend(c, FailedInTransit)
		m.endAttempt(c, FailedInTransit)
	}
}

// releaseUnknownAtFrontends forwards a backend's release of an unknown call, unless it is a repetition.
func (m *Manager) releaseUnknownAtFrontends(id string, cause int, frontends []Frontend) {
	if m.isCompleted(id) {
		return
	}
	m.recordUnknownRelease(id)
	for _, f := range frontends {
		f.NotifyRelease(nil, id, cause)
	}
}

// BackendRestarted drops the calls that were established at a server before the given time and returns
// their ids. The server process that ran them has ended and sends no releases for them.
func (m *Manager) BackendRestarted(server string, before Time) (dropped []string) {
	for _, c := range m.establishedAt(server, before) {
		m.dropEstablished(c)
		dropped = append(dropped, c.ID)
	}
	return dropped
}

// BackendLost drops the calls that were established before the given time at a server that was removed, is
// unreachable or seems to have ended, and returns their ids. They are also released at the server, because it may still
// be running.
func (m *Manager) BackendLost(server string, before Time) (dropped []string) {
	for _, c := range m.establishedAt(server, before) {
		m.backends.Release(server, c.ID, c.attempt.number, CauseTemporaryFailure)
		m.dropEstablished(c)
		dropped = append(dropped, c.ID)
	}
	return dropped
}

// establishedAt returns the calls that were established at a server before the given time.
func (m *Manager) establishedAt(server string, before Time) []*call {
	return m.callsWhere(func(c *call) bool {
		return c.attempt.server == server && c.state == callEstablished && c.establishedAt < before
	})
}

// dropEstablished ends an established call whose backend is lost and notifies the caller.
func (m *Manager) dropEstablished(c *call) {
	m.endEstablished(c, BackendLost, CauseTemporaryFailure)
	c.frontend.NotifyRelease(c.client, c.ID, CauseTemporaryFailure)
}

// endEstablished ends an established call without sending a release to either side.
func (m *Manager) endEstablished(c *call, end AttemptEnd, cause int) {
	m.notifyReleased(c, end, cause)
	m.countEstablishedEnd(c.attempt.server)
	m.removeCall(c)
	m.reportAttemptEnd(c, end)
}

// countEstablishedEnd decrements the number of calls established at a server and removes an entry that
// reaches 0.
func (m *Manager) countEstablishedEnd(server string) {
	m.establishedCalls[server]--
	if m.establishedCalls[server] == 0 {
		delete(m.establishedCalls, server)
	}
}

// isCompleted reports whether a call is known to have ended. The releases of both sides may cross, and
// either side may repeat its release on another connection.
func (m *Manager) isCompleted(id string) bool {
	return m.completedCalls.contains(id) || m.rejectedCalls.contains(id) || m.unknownReleases.ids.contains(id)
}
