package call

import (
	"testing"
	"time"

	"olivedale/internal/admission"
)

func TestCallerReleasesOnAnotherConnection(t *testing.T) {
	f := newFixture(send("s"), send("s"), send("s"))
	f.offer("x")
	if f.manager.ReleaseByCaller(f.client, "x", CauseNormal) != ReleaseAbandoned {
		t.Error("an open call was reported as established")
	}
	f.manager.CallerDisconnected(f.client) // it has no open calls left
	f.offer("y")
	f.manager.AttemptAnswered("s", "y", 0, nil)
	f.manager.CallerDisconnected(f.client) // the established call stays up
	f.manager.ReleaseByCaller(f.client, "y", CauseNormal)
	f.manager.ReleaseByCaller(f.client, "y", CauseNormal)
	f.manager.BackendReleased("s", "y", CauseNormal, f.client)
	f.offer("z")
	f.manager.CallerDisconnected(f.client)
	f.wantMessages(t,
		"invite s x 0", "cancel s x 0", "withdrawn x",
		"invite s y 0", "established y ", "release s y 16",
		"invite s z 0", "cancel s z 0", "withdrawn z")
}

// Releases of unknown calls, for instance after a restart, are forwarded once.
func TestReleaseOfAnUnknownCall(t *testing.T) {
	f := newFixture()
	f.manager.BackendReleased("s", "x", CauseTemporaryFailure, f.client)
	f.manager.BackendReleased("s", "x", CauseTemporaryFailure, f.client)
	f.manager.ReleaseByCaller(f.client, "y", CauseNormal)
	f.manager.ReleaseByCaller(f.client, "y", CauseNormal)
	f.wantMessages(t, "notify release x 41", "release everywhere y 16")
}

func TestBackendRestartDropsCallsEstablishedBefore(t *testing.T) {
	f := newFixture(send("s"), send("s"))
	f.offer("x")
	f.manager.AttemptAnswered("s", "x", 0, nil)
	restartedAt := f.now + time.Second
	f.now += 2 * time.Second
	f.offer("y")
	f.manager.AttemptAnswered("s", "y", 0, nil)
	f.manager.BackendRestarted("s", restartedAt)
	f.wantMessages(t, "invite s x 0", "established x ", "invite s y 0", "established y ", "notify release x 41")
}

// A release may belong to an earlier attempt at the same server whose answer was lost. It cancels the
// attempt in progress, because the next attempt would run concurrently with it.
func TestReleaseBeforeTheAnswerCancelsTheAttempt(t *testing.T) {
	f := newFixture(send("s"), admission.Decision{Kind: admission.DecisionNone})
	f.offer("x")
	f.manager.BackendReleased("s", "x", CauseNormal, f.client)
	f.wantMessages(t, "invite s x 0", "cancel s x 0")
	if got := f.decider.lastReport(); got.Result != admission.ResultConnectionLost {
		t.Errorf("the end of the attempt was reported as %+v", got)
	}
}

// The number of calls established at a server stays correct however the calls end.
func TestEstablishedAt(t *testing.T) {
	f := newFixture(send("s"), send("s"), send("s"), send("s"), send("t"))
	want := func(s, other int) {
		t.Helper()
		if got, gotOther := f.manager.EstablishedAt("s"), f.manager.EstablishedAt("t"); got != s || gotOther != other {
			t.Errorf("%d and %d calls are established at s and t, want %d and %d", got, gotOther, s, other)
		}
	}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		f.offer(id)
		server := "s"
		if id == "e" {
			server = "t"
		}
		f.manager.AttemptAnswered(server, id, 0, nil)
	}
	want(4, 1)
	f.manager.ReleaseByCaller(f.client, "a", CauseNormal)
	want(3, 1)
	f.manager.BackendReleased("s", "b", CauseNormal)
	f.manager.BackendReleased("s", "b", CauseNormal) // repeated
	want(2, 1)
	if dropped := f.manager.BackendRestarted("s", f.now+1); len(dropped) != 2 || dropped[0] != "c" || dropped[1] != "d" {
		t.Errorf("dropped %v", dropped)
	}
	want(0, 1)
	if dropped := f.manager.BackendLost("t", f.now+1); len(dropped) != 1 {
		t.Errorf("dropped %v", dropped)
	}
	want(0, 0)
	if len(f.manager.establishedCalls) != 0 {
		t.Error("servers without calls still have entries")
	}
}
