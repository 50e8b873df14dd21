package backend

import (
	"testing"
	"time"

	"olivedale/internal/config"
)

// A release expires when the exchange has not confirmed it for confirmationTimeout on one connection. It is kept through
// an outage of any length, whether the call is known to be established or not.
func TestPendingReleasesExpireOnAConnection(t *testing.T) {
	const connectedAt = time.Hour
	p := pendingReleases{
		{id: "known"}:   {},
		{id: "unknown"}: {isUnknownCall: true},
		{id: "later"}:   {requestedAt: connectedAt + time.Second},
	}
	p.expire(connectedAt+confirmationTimeout, connectedAt)
	if len(p) != 3 {
		t.Errorf("%d releases are left within the timeout, want 3", len(p))
	}
	p.expire(connectedAt+confirmationTimeout+time.Millisecond, connectedAt)
	if len(p) != 1 {
		t.Errorf("%d releases are left after the timeout, want 1", len(p))
	}
	p.expire(connectedAt+confirmationTimeout+time.Second+time.Millisecond, connectedAt)
	if len(p) != 0 {
		t.Errorf("%d releases are left after the timeout of the last, want 0", len(p))
	}
}

// The release of an established call is sent on every new connection. The release of an unknown call is sent on the
// first one, and then at most once per unknownCallInterval.
func TestReleasesOnManyConnections(t *testing.T) {
	known, unknown := pendingRelease{sentAt: time.Second}, pendingRelease{sentAt: time.Second, isUnknownCall: true}
	if !(&pendingRelease{isUnknownCall: true}).isDue(time.Second) {
		t.Error("a release that was never sent is not due")
	}
	if !known.isDue(time.Second) {
		t.Error("the release of an established call is not due on a new connection")
	}
	if unknown.isDue(time.Second+unknownCallInterval-1) || !unknown.isDue(time.Second+unknownCallInterval) {
		t.Error("the release of an unknown call is not due exactly from unknownCallInterval on")
	}
}

// Guards against work of an earlier process that is sent to the next one at its address: when discovery lists a later
// start, releases of calls from before it are dropped, later ones are kept, and the numbering of responses is learned
// anew.
func TestReleasesEndWithTheirProcess(t *testing.T) {
	c := newTestConn()
	sip := newSIP(c)
	sip.cseqNumbering = cseqEchoed
	c.protocol = sip
	startedAt := c.set.loop.Now().Truncate(time.Millisecond)
	c.releases = pendingReleases{{id: "earlier"}: {requestedAt: startedAt - 1}, {id: "later"}: {requestedAt: startedAt}}
	c.update(config.Endpoint{ID: "s", Phase: config.PhaseReady, Started: startedAt.Milliseconds()})
	if _, isKept := c.releases[releaseKey{id: "later"}]; len(c.releases) != 1 || !isKept {
		t.Errorf("releases %v are pending, want that of the later call", c.releases)
	}
	if sip.cseqNumbering != cseqUnknown {
		t.Errorf("the numbering of the earlier process is kept: %v", sip.cseqNumbering)
	}
}
