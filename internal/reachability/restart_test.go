package reachability

import (
	"testing"
	"time"
)

const lostAt = time.Hour

// checkEnded fails the test unless the calls established before the given time are over at now; 0 means no calls.
func checkEnded(t *testing.T, d *RestartDetector, now, want Time) {
	t.Helper()
	if before, hasEnded := d.CheckEnded(now); before != want || hasEnded != (want > 0) {
		t.Errorf("at %v: calls before %v are over, %v, want before %v", now, before, hasEnded, want)
	}
}

func TestRestartDetector(t *testing.T) {
	var d RestartDetector
	checkEnded(t, &d, lostAt, 0)
	if !d.RecordRefusal(lostAt) || d.RecordRefusal(lostAt) || !d.IsSuspect() {
		t.Error("the first refusal, and only that, must make the process suspect")
	}
	checkEnded(t, &d, lostAt+RestartTimeout-1, 0)
	checkEnded(t, &d, lostAt+RestartTimeout, lostAt+1)
	checkEnded(t, &d, lostAt+2*RestartTimeout, 0)
	if d.IsSuspect() {
		t.Error("the process is suspect after its calls have ended")
	}
}

// Only the release of a call that the process had before it became suspect shows that it is the same.
func TestReleaseExcludesRestart(t *testing.T) {
	var d RestartDetector
	if d.RecordRelease(lostAt) {
		t.Error("a suspicion was cleared without any")
	}
	d.RecordRefusal(lostAt)
	if d.RecordRelease(lostAt + 1) {
		t.Error("the release of a later call cleared the suspicion")
	}
	if !d.RecordRelease(lostAt) || d.IsSuspect() {
		t.Error("the release of an earlier call did not clear the suspicion")
	}
	checkEnded(t, &d, lostAt+RestartTimeout, 0)
}

// The connection is lost and refused a second time. Calls established between the two losses are over in their turn,
// unless one of them is released.
func TestSecondRestart(t *testing.T) {
	const secondLoss = lostAt + time.Second
	for _, isReleased := range []bool{false, true} {
		var d RestartDetector
		d.RecordRefusal(lostAt)
		d.RecordRefusal(secondLoss)
		want := secondLoss + 1
		if isReleased {
			d.RecordRelease(secondLoss)
			want = 0
		}
		checkEnded(t, &d, lostAt+RestartTimeout, lostAt+1)
		checkEnded(t, &d, secondLoss+RestartTimeout, want)
	}
}
