package call

import "time"

// ReleaseByCaller takes a release from a caller, on any connection. It ends an established call,
// abandons an open one, and forwards the release of an unknown call to all backends, at most 256 a
// second. It reports whether the call was established as far as is known: true for an established call
// and for a release of an unknown call that is no repetition.
func (m *Manager) ReleaseByCaller(id string, cause int) (established bool) {
	c := m.calls[id]
	switch {
	case c == nil:
		return m.releaseUnknownAtBackends(id, cause)
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

// releaseUnknownAtBackends forwards a caller's release of an unknown call, which may have been
// established before a restart. It reports false if the release is a repetition. The rate is limited, or
// callers who make up ids would load the backends.
func (m *Manager) releaseUnknownAtBackends(id string, cause int) bool {
	if m.isCompleted(id) {
		return false
	}
	if !m.unknownReleases.allow(m.now()) {
		m.UnknownReleasesDropped++
		m.notifyLimit(LimitUnknownRelease, id)
		return true
	}
	m.recordUnknownRelease(id)
	m.backends.ReleaseEverywhere(id, cause)
	return true
}

// BackendReleased takes a backend's release of a call, and notifies the caller. The release of an
// unknown call, which may have been established before a restart, is forwarded to the given frontends.
// A repeated release, or one of an earlier attempt at another server, is ignored.
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
		// The release may be that of an earlier attempt at this server, whose answer was lost. The
		// attempt in progress is canceled, or the next one would run beside it.
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

// BackendRestarted drops the calls that were established at a server before a time and returns their
// ids. Its process has ended since, so it sends no releases for them.
func (m *Manager) BackendRestarted(server string, before Time) (dropped []string) {
	for _, c := range m.establishedAt(server, before) {
		m.dropEstablished(c)
		dropped = append(dropped, c.ID)
	}
	return dropped
}

// BackendLost drops all calls established at a server that is not used any more or cannot be reached, and
// returns their ids. They are released at the server as well, because it may still run.
func (m *Manager) BackendLost(server string) (dropped []string) {
	for _, c := range m.establishedAt(server, m.now()+1) {
		m.backends.Release(server, c.ID, c.attempt.number, CauseTemporaryFailure)
		m.dropEstablished(c)
		dropped = append(dropped, c.ID)
	}
	return dropped
}

// establishedAt returns the calls that were established at a server before a time.
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

// endEstablished ends an established call; it releases the call at neither side.
func (m *Manager) endEstablished(c *call, end AttemptEnd, cause int) {
	m.notifyReleased(c, end, cause)
	m.countEstablishedEnd(c.attempt.server)
	m.removeCall(c)
	m.reportAttemptEnd(c, end)
}

// countEstablishedEnd counts an established call less. A server without any is forgotten.
func (m *Manager) countEstablishedEnd(server string) {
	m.establishedCalls[server]--
	if m.establishedCalls[server] == 0 {
		delete(m.establishedCalls, server)
	}
}

// isCompleted reports whether a call is known to have ended. The releases of the two sides may cross,
// and either side may repeat its own on another connection.
func (m *Manager) isCompleted(id string) bool {
	return m.completedCalls.contains(id) || m.unknownReleases.ids.contains(id)
}

// recordUnknownRelease counts and remembers the release of an unknown call.
func (m *Manager) recordUnknownRelease(id string) {
	m.ReleasedUnknown++
	m.unknownReleases.ids.add(id, m.now()+completedCallRetention)
}

// maxUnknownReleasesPerSecond bounds the callers' releases of unknown calls that are forwarded to the
// backends. After a restart of this process during an outage all of its calls may be released at once.
const maxUnknownReleasesPerSecond = 256

// unknownReleases remembers the released calls that were never known to this process and limits the rate
// of such releases by callers.
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
