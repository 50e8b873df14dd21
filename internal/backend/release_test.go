package backend

import (
	"testing"
	"time"
)

// When the table is full, releases of unknown calls are evicted in favour of those of known calls, never the reverse.
func TestPendingReleasesAreBounded(t *testing.T) {
	p := newPendingReleases(2)
	if !p.add("unknown1", pendingRelease{isUnknownCall: true}) || !p.add("unknown2", pendingRelease{isUnknownCall: true}) {
		t.Fatal("a release within the limit was not stored")
	}
	if p.add("unknown3", pendingRelease{isUnknownCall: true}) {
		t.Error("the release of an unknown call was stored beyond the limit")
	}
	if !p.add("known1", pendingRelease{}) || !p.add("known2", pendingRelease{}) {
		t.Error("the releases of unknown calls were not evicted")
	}
	if p.add("known3", pendingRelease{}) || p.len() != 2 {
		t.Errorf("%d releases are stored, want 2", p.len())
	}
	p.expire(confirmationTimeout, true)
	if p.len() != 2 {
		t.Errorf("%d releases are left within the timeout, want 2", p.len())
	}
	p.expire(confirmationTimeout+time.Millisecond, false)
	if p.len() != 2 {
		t.Errorf("%d releases are left while the exchange is disconnected, want 2", p.len())
	}
	p.expire(confirmationTimeout+time.Millisecond, true)
	if p.len() != 0 {
		t.Errorf("%d releases are left after the timeout, want 0", p.len())
	}
}

// Releases of unknown calls expire even while the exchange is disconnected, because their ids may be made up.
func TestReleasesOfUnknownCallsExpire(t *testing.T) {
	p := newPendingReleases(2)
	p.add("unknown", pendingRelease{isUnknownCall: true})
	p.expire(confirmationTimeout+time.Millisecond, false)
	if p.len() != 0 {
		t.Error("the release is left after the timeout")
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
