package backend

import (
	"testing"
	"time"

	"olivedale/internal/config"
)

// A release expires when the exchange has not confirmed it for confirmationTimeout and has had time to read it on the
// current connection. It is kept through an outage of any length, whether the call is known to be established or not.
func TestPendingReleasesExpireOnAConnection(t *testing.T) {
	const connectedAt, requestedAt = time.Hour, time.Hour - time.Minute
	p := pendingReleases{
		{id: "before the connection"}: {requestedAt: requestedAt, sentAt: connectedAt - 1},
		{id: "known"}:                 {requestedAt: requestedAt, sentAt: connectedAt},
		{id: "unknown"}:               {requestedAt: requestedAt, sentAt: connectedAt, isUnknownCall: true},
		{id: "later"}:                 {requestedAt: connectedAt, sentAt: connectedAt},
	}
	for _, test := range []struct {
		after time.Duration // since the connection was opened
		left  int
	}{{minConnectedTime, 4}, {minConnectedTime + 1, 2}, {confirmationTimeout, 2}, {confirmationTimeout + 1, 1}, {time.Hour, 1}} {
		p.expire(connectedAt+test.after, connectedAt)
		if len(p) != test.left {
			t.Errorf("%d releases are left %v after the connection was opened, want %d", len(p), test.after, test.left)
		}
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
