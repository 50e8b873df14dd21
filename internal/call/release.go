package call

import "time"

// ReleaseByCaller handles a release from a caller on any connection. It ends an established call, abandons
// an open one, and forwards the release of an unknown call to all backends, at most 256 per second. It
// reports whether the call was established, as far as is known: it returns true for an established call
// and for a release of an unknown call that is not a repetition.
func (m *Manager) ReleaseByCaller(id string, cause int) (established bool) {
	c := m.calls[id]
	switch {
	case c == nil:
		return m.ReleaseUnknown(id, cause) != UnknownRepeated
	case c.isOpen():
		m.abandonCall(c)
		return false
	default:
		m.ReleasedByCaller++
		m.backends.Release(c.attempt.server, id, c.attempt.number, cause)
		m.endEstablished(c, CallerReleased, cause)
		return true
	}
}

// An UnknownRelease is the result of a caller's release of an unknown call.
type UnknownRelease int

// The results.
const (
	UnknownForwarded UnknownRelease = iota // the release was sent to all backends
	UnknownRepeated                        // the call is known to have ended
	UnknownOverLimit                       // the release was dropped: there are too many
)

// ReleaseUnknown forwards a caller's release of a call that is neither open nor established, to all backends. The call
// may have been established before a restart. The rate is limited to 256 per second so that callers that send invented
// ids cannot overload the backends.
func (m *Manager) ReleaseUnknown(id string, cause int) UnknownRelease {
	if m.isCompleted(id) {
		return UnknownRepeated
	}
	if !m.unknownReleases.allow(m.now()) {
		m.UnknownReleasesDropped++
		m.notifyLimit(LimitUnknownRelease, id)
		return UnknownOverLimit
	}
	m.recordUnknownRelease(id)
	m.backends.ReleaseEverywhere(id, cause)
	return UnknownForwarded
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

// BackendLost drops all calls established at a server that was removed or is unreachable, and returns their
// ids. They are also released at the server, because it may still be running.
func (m *Manager) BackendLost(server string) (dropped []string) {
	for _, c := range m.establishedAt(server, m.now()+1) {
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
	return m.completedCalls.contains(id) || m.unknownReleases.ids.contains(id)
}

// recordUnknownRelease counts the release of an unknown call and keeps its id.
func (m *Manager) recordUnknownRelease(id string) {
	m.ReleasedUnknown++
	m.unknownReleases.ids.add(id, m.now()+completedCallRetention)
}

// maxUnknownReleasesPerSecond limits the callers' releases of unknown calls that are forwarded to the
// backends. After a restart of this process during an outage, all of its calls may be released at once.
const maxUnknownReleasesPerSecond = 256

// unknownReleases holds the ids of released calls that this process has not known, and limits the rate of
// such releases by callers.
type unknownReleases struct {
	ids         *expiringIDs
	windowStart Time
	inWindow    int // releases since windowStart
}

// allow counts a release and reports whether it is within the rate limit.
func (u *unknownReleases) allow(now Time) bool {
	if now-u.windowStart > time.Second {
		u.windowStart = now
		u.inWindow = 0
	}
	u.inWindow++
	return u.inWindow <= maxUnknownReleasesPerSecond
}
