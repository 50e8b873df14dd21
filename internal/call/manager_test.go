package call

import (
	"testing"
	"time"

	"olivedale/internal/admission"
)

func TestEstablishedCallIsReleasedByItsBackend(t *testing.T) {
	f := newFixture(send("s"))
	f.offer("x")
	f.manager.AttemptAnswered("s", "x", 0, []byte("sdp"))
	f.manager.AttemptAnswered("s", "x", 0, []byte("sdp")) // repeated
	f.manager.BackendReleased("s", "x", CauseNormal, f.client)
	f.manager.BackendReleased("s", "x", CauseNormal, f.client) // repeated on a new connection
	f.wantMessages(t, "invite s x 0", "established x sdp", "notify release x 16")
	if got := f.decider.lastReport(); got.Result != admission.ResultDelivered || !got.Final {
		t.Errorf("the end of the call was reported as %+v", got)
	}
}

func TestAnswerCrossingCancelIsReleased(t *testing.T) {
	f := newFixture(send("s"), admission.Decision{Kind: admission.DecisionReject, Wait: time.Second})
	f.offer("x")
	f.decider.tickDecisions = []admission.Decision{{CallID: "x", Kind: admission.DecisionCancel}}
	f.manager.Tick()
	f.manager.AttemptAnswered("s", "x", 0, []byte("sdp"))
	f.wantMessages(t, "invite s x 0", "cancel s x 0", "rejected x 34 1s", "release s x 16")
}

func TestOneAttemptAtATime(t *testing.T) {
	f := newFixture(send("s"))
	f.offer("x")
	f.decider.tickDecisions = []admission.Decision{{CallID: "x", Kind: admission.DecisionSend, Server: "t", Wait: time.Second}}
	f.manager.Tick()
	f.wantMessages(t, "invite s x 0")
}

func TestTimeoutIsReportedAndAnswered(t *testing.T) {
	f := newFixture(send("s"), admission.Decision{Kind: admission.DecisionFail})
	f.offer("x")
	f.now += 2 * time.Second
	f.manager.Tick()
	f.manager.AttemptEnded("s", "x", 0, ProcessorBusy) // after the timeout: ignored
	f.wantMessages(t, "invite s x 0", "cancel s x 0", "rejected x 41 0s")
	if got := f.decider.reports[0]; got.Result != admission.ResultTimedOut {
		t.Errorf("a timeout was reported as %+v", got)
	}
}

func TestCancelOfAnUnsentSetupProvesThatNothingRan(t *testing.T) {
	f := newFixture(send("s"), send("t"))
	f.backends.unsent = true
	f.offer("x")
	f.now += 2 * time.Second
	f.manager.Tick()
	if got := f.decider.reports[0]; got.Result != admission.ResultNotSent {
		t.Errorf("an unsent setup was reported as %+v", got)
	}
}

// A decision to send a call after its deadline is not executed: the call is answered, and Tick returns.
func TestNoAttemptAfterTheDeadlineOfTheCall(t *testing.T) {
	decisions := make([]admission.Decision, 100)
	for i := range decisions {
		decisions[i] = send("s")
	}
	f := newFixture(decisions...)
	f.offer("x")
	f.now += callTimeout
	f.manager.Tick()
	if m := f.manager; m.Attempts != 1 || m.OpenCalls() != 0 || m.Failed != 1 {
		t.Errorf("got %d attempts, %d open and %d failed calls, want 1, 0 and 1", m.Attempts, m.OpenCalls(), m.Failed)
	}
}

// A call without a decision is answered at its deadline, and the Decider is notified.
func TestCallWithoutDecisionIsAnsweredAtItsDeadline(t *testing.T) {
	f := newFixture(admission.Decision{Kind: admission.DecisionNone})
	f.offer("x")
	if next := f.manager.NextDeadline(); next != f.now+callTimeout {
		t.Errorf("the next deadline is in %v, not at the deadline of the call", next-f.now)
	}
	f.now += callTimeout
	f.manager.Tick()
	f.wantMessages(t, "rejected x 41 0s")
	if got := f.decider.lastReport(); got.Kind != admission.ReportAbandoned || f.manager.OpenCalls() != 0 {
		t.Errorf("the call was reported as %+v; %d calls are open", got, f.manager.OpenCalls())
	}
}

// If a decision is due at the deadline of the call, the decision is applied, not the deadline.
func TestDecisionAtTheDeadlineTakesPrecedence(t *testing.T) {
	f := newFixture(admission.Decision{Kind: admission.DecisionNone})
	f.offer("y")
	f.now += callTimeout
	f.decider.tickDecisions = []admission.Decision{{CallID: "y", Kind: admission.DecisionFail, Wait: time.Second}}
	f.manager.Tick()
	f.wantMessages(t, "rejected y 41 1s")
}

func TestRejectOpenCallsAnswersAll(t *testing.T) {
	f := newFixture(send("s"))
	f.offer("x")
	f.offer("waiting") // has no attempt, so a retry is safe
	f.manager.RejectOpenCalls()
	f.wantMessages(t, "invite s x 0", "rejected waiting 34 0s", "cancel s x 0", "rejected x 34 0s")
	if f.manager.OpenCalls() != 0 {
		t.Error("a call is still open")
	}
}

// At shutdown, a call that is unsafe to repeat is rejected with the cause that allows a retry only if its
// setup was not sent.
func TestRejectOpenCallsOfRepeatUnsafeCalls(t *testing.T) {
	for _, test := range []struct {
		name   string
		unsent bool
		want   string
	}{
		{name: "sent", unsent: false, want: "rejected x 41 0s"},
		{name: "unsent", unsent: true, want: "rejected x 34 0s"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(send("s"))
			f.backends.unsent = test.unsent
			r := Request{ID: "x", Class: "c", RepeatUnsafe: true, Deadline: f.now + callTimeout}
			_ = f.manager.Offer(f.client, r)
			f.manager.RejectOpenCalls()
			f.wantMessages(t, "invite s x 0", "cancel s x 0", test.want)
		})
	}
}
