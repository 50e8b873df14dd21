package call

import (
	"fmt"
	"testing"
	"time"
)

// A countingSource counts its releases that were forwarded from the queue.
type countingSource struct{ forwarded int }

func (s *countingSource) ReleaseForwarded(string) { s.forwarded++ }

// tickFor calls Tick whenever it is due within d.
func (f *fixture) tickFor(d time.Duration) {
	end := f.now + d
	for f.now < end {
		f.now = min(end, max(f.manager.NextDeadline(), f.now+time.Millisecond))
		f.manager.Tick()
	}
}

// Guards against calls that are left standing after a restart: releases above the rate limit were confirmed to their
// callers and dropped.
func TestReleasesAboveTheRateLimitAreForwardedLater(t *testing.T) {
	const releases = maxUnknownReleasesPerSecond + 100
	f := newFixture()
	source := &countingSource{}
	results := make(map[ReleaseResult]int)
	for i := range releases {
		results[f.manager.ReleaseByCaller(source, fmt.Sprint("call", i), CauseNormal)]++
	}
	if results[ReleaseForwarded] != maxUnknownReleasesPerSecond || results[ReleaseQueued] != 100 {
		t.Errorf("results %v, want %d forwarded and 100 queued", results, maxUnknownReleasesPerSecond)
	}
	if got := f.manager.ReleaseByCaller(source, fmt.Sprint("call", releases-1), CauseNormal); got != ReleaseQueued {
		t.Errorf("the repeat of a queued release has result %v, want %v", got, ReleaseQueued)
	}
	f.tickFor(time.Second)
	if len(f.client.messages) != releases || source.forwarded != 100 || f.manager.QueuedReleases() != 0 {
		t.Errorf("%d releases were forwarded, %d confirmed, and %d are queued, want %d, 100 and 0",
			len(f.client.messages), source.forwarded, f.manager.QueuedReleases(), releases)
	}
}

// The time that a release may wait bounds the queue, so a source gets an explicit refusal, not a late release.
func TestQueuedReleasesAreForwardedInTime(t *testing.T) {
	f := newFixture()
	source := &countingSource{}
	queued := 0
	for i := range 2 * maxQueuedReleases {
		if f.manager.ReleaseByCaller(source, fmt.Sprint("call", i), CauseNormal) == ReleaseQueued {
			queued++
		}
	}
	f.tickFor(maxReleaseDelay)
	if source.forwarded != queued || f.manager.QueuedReleases() != 0 {
		t.Errorf("%d of %d queued releases were forwarded within %v", source.forwarded, queued, maxReleaseDelay)
	}
}

// A source that floods the queue with invented ids delays the releases of others little, and displaces none of them.
func TestSourcesOfReleasesTakeTurns(t *testing.T) {
	f := newFixture()
	flood, other := &countingSource{}, &countingSource{}
	refused := 0
	for i := range 2 * maxQueuedReleases {
		if f.manager.ReleaseByCaller(flood, fmt.Sprint("invented", i), CauseNormal) == ReleaseRefused {
			refused++
		}
	}
	if refused == 0 || f.manager.UnknownReleasesRefused != refused {
		t.Errorf("%d releases of the flood were refused, %d counted", refused, f.manager.UnknownReleasesRefused)
	}
	for i := range 100 {
		if got := f.manager.ReleaseByCaller(other, fmt.Sprint("call", i), CauseNormal); got != ReleaseQueued {
			t.Fatalf("release %d of the other source has result %v, want %v", i, got, ReleaseQueued)
		}
	}
	f.tickFor(time.Second)
	if other.forwarded != 100 {
		t.Errorf("%d of 100 releases of the other source were forwarded within a second", other.forwarded)
	}
	f.manager.DiscardReleases(flood)
	if n := f.manager.QueuedReleases(); n != 0 {
		t.Errorf("%d releases are queued after those of the flood were discarded", n)
	}
	if got := f.manager.ReleaseByCaller(other, "last", CauseNormal); got != ReleaseForwarded && got != ReleaseQueued {
		t.Errorf("a release after the flood has result %v", got)
	}
}
