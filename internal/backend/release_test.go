package backend

import (
	"testing"
	"time"
)

// Releases of unknown calls give way to those of known calls, never the other way round.
func TestPendingReleasesAreBounded(t *testing.T) {
	p := newPendingReleases(2)
	if !p.add("unknown1", pendingRelease{isUnknownCall: true}) || !p.add("unknown2", pendingRelease{isUnknownCall: true}) {
		t.Fatal("a release within the bound was not remembered")
	}
	if p.add("unknown3", pendingRelease{isUnknownCall: true}) {
		t.Error("the release of an unknown call exceeds the bound")
	}
	if !p.add("known1", pendingRelease{}) || !p.add("known2", pendingRelease{}) {
		t.Error("the releases of unknown calls did not give way")
	}
	if p.add("known3", pendingRelease{}) || p.len() != 2 {
		t.Errorf("%d releases are remembered, want 2", p.len())
	}
	p.expire(confirmationTimeout, true)
	if p.len() != 2 {
		t.Errorf("%d releases are left within the timeout, want 2", p.len())
	}
	p.expire(confirmationTimeout+time.Millisecond, false)
	if p.len() != 2 {
		t.Errorf("%d releases are left while the exchange is away, want 2", p.len())
	}
	p.expire(confirmationTimeout+time.Millisecond, true)
	if p.len() != 0 {
		t.Errorf("%d releases are left after the timeout", p.len())
	}
}

// Releases of unknown calls expire while the exchange is away as well: their ids may be made up.
func TestReleasesOfUnknownCallsExpire(t *testing.T) {
	p := newPendingReleases(2)
	p.add("unknown", pendingRelease{isUnknownCall: true})
	p.expire(confirmationTimeout+time.Millisecond, false)
	if p.len() != 0 {
		t.Error("it is left after the timeout")
	}
}

// The release of a call that may not stand is sent on the first connection, and then not on each; that of a call that
// was established is sent on each.
func TestReleasesOnManyConnections(t *testing.T) {
	known, unknown := pendingRelease{sentAt: time.Second}, pendingRelease{sentAt: time.Second, isUnknownCall: true}
	if !(&pendingRelease{isUnknownCall: true}).isDue(time.Second) {
		t.Error("a release that was never sent is not due")
	}
	if !known.isDue(time.Second) {
		t.Error("the release of an established call is not due on a new connection")
	}
	if unknown.isDue(time.Second+unknownCallInterval-1) || !unknown.isDue(time.Second+unknownCallInterval) {
		t.Error("the release of an unknown call is not due after its interval")
	}
}
