package call

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"olivedale/internal/admission"
)

// A script is a Decider that says what the test has written down.
type script struct {
	orders   []admission.Decision // for Pick and for reports of ends, in turn
	ticks    []admission.Decision
	progress []admission.AttemptReport
}

func (s *script) pop(id string) admission.Decision {
	if len(s.orders) == 0 {
		return admission.Decision{CallID: id}
	}
	o := s.orders[0]
	s.orders = s.orders[1:]
	o.CallID = id
	return o
}
func (s *script) Place(_ Time, r admission.Request) admission.Decision { return s.pop(r.CallID) }
func (s *script) Report(_ Time, p admission.AttemptReport) admission.Decision {
	s.progress = append(s.progress, p)
	if p.Kind != admission.ReportEnded || p.Final {
		return admission.Decision{}
	}
	return s.pop(p.CallID)
}
func (s *script) Tick(Time) []admission.Decision {
	t := s.ticks
	s.ticks = nil
	return t
}
func (s *script) NextDeadline() Time                           { return 1 << 62 }
func (s *script) UpdateServers(Time, []admission.Server, bool) {}

// world is the client, the front and the exchanges; it notes what it is told.
type world struct {
	said   []string
	unsent bool
}

func (w *world) note(format string, args ...any) {
	w.said = append(w.said, fmt.Sprintf(format, args...))
}
func (w *world) CallEstablished(id string, d []byte) { w.note("stands %s %s", id, d) }
func (w *world) CallRejected(id string, cause int, wait time.Duration) {
	w.note("refused %s %d %v", id, cause, wait)
}
func (w *world) CallForgotten(id string)                      { w.note("waived %s", id) }
func (w *world) Frontend() Frontend                           { return w }
func (w *world) NotifyRelease(_ Client, id string, cause int) { w.note("release %s %d", id, cause) }

type exchanges struct{ *world }

func (x exchanges) Invite(server string, s Setup) { x.note("invite %s %s %d", server, s.ID, s.Attempt) }
func (x exchanges) Cancel(server, id string, attempt int) bool {
	x.note("cancel %s %s %d", server, id, attempt)
	return x.unsent
}
func (x exchanges) Release(server, id string, attempt, cause int) {
	x.note("bye %s %s %d", server, id, cause)
}
func (x exchanges) ReleaseEverywhere(id string, cause int) { x.note("bye anywhere %s %d", id, cause) }

type bench struct {
	*world
	script
	core *Manager
	now  Time
}

func newBench(orders ...admission.Decision) *bench {
	b := &bench{world: &world{}, now: time.Hour}
	b.orders = orders
	b.core = NewManager(&b.script, exchanges{b.world}, func() Time { return b.now }, Limits{OpenCalls: 3, DescriptionBytes: 100, CompletedIDs: 3})
	return b
}

func (b *bench) setUp(id string) {
	_ = b.core.Offer(b.world, Request{ID: id, Class: "c", Deadline: b.now + 3*time.Second})
}

func (b *bench) want(t *testing.T, said ...string) {
	t.Helper()
	if fmt.Sprint(b.said) != fmt.Sprint(said) {
		t.Errorf("got  %q\nwant %q", b.said, said)
	}
	b.said = nil
}

func try(server string) admission.Decision {
	return admission.Decision{Kind: admission.Send, Server: server, Wait: 2 * time.Second}
}

func TestStandsAndEnds(t *testing.T) {
	b := newBench(try("s"))
	b.setUp("x")
	b.core.AttemptAnswered("s", "x", 0, []byte("sdp"))
	b.core.AttemptAnswered("s", "x", 0, []byte("sdp")) // repeated
	b.core.BackendReleased("s", "x", CauseNormal, b.world)
	b.core.BackendReleased("s", "x", CauseNormal, b.world) // again on the next connection
	b.want(t, "invite s x 0", "stands x sdp", "release x 16")
	if got := b.progress[len(b.progress)-1]; got.Result != admission.Delivered || !got.Final {
		t.Errorf("the end was reported as %+v", got)
	}
}

func TestAnswerCrossingCancelIsReleased(t *testing.T) {
	b := newBench(try("s"), admission.Decision{Kind: admission.Reject, Wait: time.Second})
	b.setUp("x")
	b.ticks = []admission.Decision{{CallID: "x", Kind: admission.Cancel}}
	b.core.Tick()
	b.core.AttemptAnswered("s", "x", 0, []byte("sdp"))
	b.want(t, "invite s x 0", "cancel s x 0", "refused x 34 1s", "bye s x 16")
}

func TestOneAttemptAtATime(t *testing.T) {
	b := newBench(try("s"))
	b.setUp("x")
	b.ticks = []admission.Decision{{CallID: "x", Kind: admission.Send, Server: "t", Wait: time.Second}}
	b.core.Tick()
	b.want(t, "invite s x 0")
}

func TestTimeoutIsToldAndAnswered(t *testing.T) {
	b := newBench(try("s"), admission.Decision{Kind: admission.Fail})
	b.setUp("x")
	b.now += 2 * time.Second
	b.core.Tick()
	b.core.AttemptEnded("s", "x", 0, ProcessorBusy) // too late
	b.want(t, "invite s x 0", "cancel s x 0", "refused x 41 0s")
	if got := b.progress[0]; got.Result != admission.TimedOut {
		t.Errorf("a time-out was reported as %+v", got)
	}
}

func TestCancelBeforeTheFirstByteProvesNothingRan(t *testing.T) {
	b := newBench(try("s"), try("t"))
	b.unsent = true
	b.setUp("x")
	b.now += 2 * time.Second
	b.core.Tick()
	if got := b.progress[0]; got.Result != admission.NotSent {
		t.Errorf("a set-up that was never written was reported as %+v", got)
	}
}

func TestCallerLeavesOnAnotherConnection(t *testing.T) {
	b := newBench(try("s"), try("s"), try("s"))
	b.setUp("x")
	if b.core.ReleaseByCaller("x", CauseNormal) {
		t.Error("an open set-up was told to have stood")
	}
	b.core.CallerDisconnected(b.world) // nothing is left to give up
	b.setUp("y")
	b.core.AttemptAnswered("s", "y", 0, nil)
	b.core.CallerDisconnected(b.world) // a call that stands belongs to no connection
	b.core.ReleaseByCaller("y", CauseNormal)
	b.core.ReleaseByCaller("y", CauseNormal)
	b.core.BackendReleased("s", "y", CauseNormal, b.world)
	b.setUp("z")
	b.core.CallerDisconnected(b.world)
	b.want(t, "invite s x 0", "cancel s x 0", "waived x", "invite s y 0", "stands y ", "bye s y 16", "invite s z 0", "cancel s z 0", "waived z")
}

func TestReleaseAfterARestart(t *testing.T) {
	b := newBench()
	b.core.BackendReleased("s", "x", CauseFailed, b.world)
	b.core.BackendReleased("s", "x", CauseFailed, b.world)
	b.core.ReleaseByCaller("y", CauseNormal)
	b.core.ReleaseByCaller("y", CauseNormal)
	b.want(t, "release x 41", "bye anywhere y 16")
}

func TestRepeatedSetUpIsAnsweredOnceOnItsNewConnection(t *testing.T) {
	b := newBench(try("s"))
	b.setUp("x")
	other := &world{}
	if err := b.core.Offer(other, Request{ID: "x", Class: "c"}); err != nil {
		t.Error(err)
	}
	b.core.CallerDisconnected(b.world)
	b.core.AttemptAnswered("s", "x", 0, []byte("sdp"))
	b.want(t, "invite s x 0", "waived x")
	if fmt.Sprint(other.said) != "[stands x sdp]" {
		t.Errorf("the new connection got %q", other.said)
	}
}

// A set-up under the id of another call gets neither that call's answer nor ends it.
func TestReusedIDs(t *testing.T) {
	b := newBench(try("s"), try("s"))
	b.setUp("x")
	other := &world{}
	for what, k := range map[string]struct {
		client Client
		r      Request
	}{
		"another description": {other, Request{ID: "x", Class: "c", Description: []byte("mine")}},
		"another number":      {other, Request{ID: "x", Class: "c", Number: "1"}},
		"twice on one":        {b.world, Request{ID: "x", Class: "c"}},
	} {
		if err := b.core.Offer(k.client, k.r); !errors.Is(err, ErrReused) {
			t.Errorf("%s: %v", what, err)
		}
	}
	b.core.CallerDisconnected(other)
	b.core.AttemptAnswered("s", "x", 0, []byte("sdp"))
	if err := b.core.Offer(other, Request{ID: "x", Class: "c"}); !errors.Is(err, ErrReused) {
		t.Errorf("a call that stands: %v", err)
	}
	b.core.ReleaseByCaller("x", CauseNormal)
	b.setUp("x")
	b.want(t, "invite s x 0", "stands x sdp", "bye s x 16", "refused x 41 0s")
	if len(other.said) > 0 {
		t.Errorf("the other caller got %q", other.said)
	}
}

// What callers send at full speed is refused past the limits, and all of it is let go.
func TestLimits(t *testing.T) {
	b := newBench(try("s"), try("s"), try("s"), try("s"))
	for _, id := range []string{"1", "2", "3", "4"} {
		b.setUp(id)
	}
	b.core.CallerDisconnected(b.world)
	if err := b.core.Offer(b.world, Request{ID: "5", Description: make([]byte, 101)}); err != nil {
		t.Error(err)
	}
	b.setUp("6")
	got := fmt.Sprint(b.said)
	if strings.Count(got, "invite") != 4 || strings.Count(got, "cancel") != 3 || strings.Count(got, "refused") != 2 ||
		!strings.Contains(got, "refused 4 34") || !strings.Contains(got, "refused 5 34") {
		t.Error(got)
	}
	b.core.CallerDisconnected(b.world)
	for i := range 50 {
		b.core.ReleaseByCaller(fmt.Sprint("alien", i), CauseNormal)
	}
	if n := len(b.core.unknownReleases.ids.entries) + len(b.core.unknownReleases.ids.queue); n > 12 {
		t.Errorf("%d entries of releases that nobody knows", n)
	}
	b.said = nil
	b.now += 2 * time.Second
	for i := range 2 * maxUnknownReleasesPerSecond {
		b.core.ReleaseByCaller(fmt.Sprint("made up", i), CauseNormal)
	}
	if len(b.said) != maxUnknownReleasesPerSecond {
		t.Errorf("%d releases of unknown calls went to the exchanges in a second", len(b.said))
	}
	b.now += completedCallRetention + 1
	b.core.Tick()
	if c := b.core; c.openCalls+c.descriptionBytes+len(c.calls)+len(c.completedCalls.entries)+len(c.unknownReleases.ids.entries) != 0 {
		t.Errorf("left: %d open, %d bytes, %d calls, %d and %d ids", c.openCalls, c.descriptionBytes, len(c.calls), len(c.completedCalls.entries), len(c.unknownReleases.ids.entries))
	}
}

func TestLostExchangeCutsWhatStoodBefore(t *testing.T) {
	b := newBench(try("s"), try("s"))
	b.setUp("x")
	b.core.AttemptAnswered("s", "x", 0, nil)
	started := b.now + time.Second
	b.now += 2 * time.Second
	b.setUp("y")
	b.core.AttemptAnswered("s", "y", 0, nil)
	b.core.BackendRestarted("s", started)
	b.want(t, "invite s x 0", "stands x ", "invite s y 0", "stands y ", "release x 41")
}

func TestStopAnswersWhatIsOpen(t *testing.T) {
	b := newBench(try("s"))
	b.setUp("x")
	b.setUp("held") // no attempt was made: trying again is harmless
	b.core.RejectOpenCalls()
	b.want(t, "invite s x 0", "refused held 34 0s", "cancel s x 0", "refused x 34 0s")
	if b.core.OpenCalls() != 0 {
		t.Error("a call is still open")
	}
	for _, unsent := range []bool{false, true} { // of a class whose calls may not run twice: it may have run if it was written
		b = newBench(try("s"))
		b.unsent = unsent
		_ = b.core.Offer(b.world, Request{ID: "x", Class: "c", RepeatUnsafe: true, Deadline: b.now + 3*time.Second})
		b.core.RejectOpenCalls()
		want := "refused x 41 0s"
		if unsent {
			want = "refused x 34 0s"
		}
		b.want(t, "invite s x 0", "cancel s x 0", want)
	}
}

// Only ends that prove that nothing ran may lead to a resend without the guard.
func TestEndsThatProveNothingRan(t *testing.T) {
	proof := map[AttemptEnd]bool{NoCircuit: true, ProcessorBusy: true, NotForwarded: true, NotSent: true,
		DialRefused: true, DialTimedOut: true, DialFailed: true}
	for _, e := range AllAttemptEnds() {
		code, _ := e.admissionResult()
		proves := code == admission.ServerBusy || code == admission.DialFailed || code == admission.NotSent
		if proves != proof[e] {
			t.Errorf("%v: told as proof %v", e, proves)
		}
		if e.String() == "" {
			t.Errorf("end %d has no name", e)
		}
	}
}

// A module that tries again past the caller's time is not followed: the call has its answer, and
// Tick comes to an end. (The laboratory's seeded defects found it running for ever.)
func TestNoAttemptPastTheCallersTime(t *testing.T) {
	orders := make([]admission.Decision, 100)
	for i := range orders {
		orders[i] = try("s")
	}
	b := newBench(orders...)
	b.setUp("x")
	b.now += 3 * time.Second // its time is over
	b.core.Tick()
	if b.core.Attempts != 1 || b.core.OpenCalls() != 0 || b.core.Failed != 1 {
		t.Errorf("%d attempts, %d open, %d failed", b.core.Attempts, b.core.OpenCalls(), b.core.Failed)
	}
}

// The release of an earlier attempt at the same exchange, whose answer was lost, ends the attempt that
// is out on the wire as well: the next would be a second one out. (The laboratory's checker found it.)
func TestReleaseBeforeAnswerGivesTheAttemptUp(t *testing.T) {
	b := newBench(try("s"), admission.Decision{Kind: admission.None})
	b.setUp("x")
	b.core.BackendReleased("s", "x", CauseNormal, b.world)
	b.want(t, "invite s x 0", "cancel s x 0")
	if got := b.progress[len(b.progress)-1]; got.Result != admission.ConnectionLost {
		t.Errorf("told as %+v", got)
	}
}

// A call that the module holds and forgets has its answer when its caller's time is over; the module is
// told. (Exploring every order of events found it answered after that.)
func TestForgottenCallIsAnswered(t *testing.T) {
	b := newBench(admission.Decision{Kind: admission.None})
	b.setUp("x")
	if next := b.core.NextDeadline(); next != b.now+3*time.Second {
		t.Errorf("looked at in %v", next-b.now)
	}
	b.now += 3 * time.Second
	b.core.Tick()
	b.want(t, "refused x 41 0s")
	if got := b.progress[len(b.progress)-1]; got.Kind != admission.ReportAbandoned || b.core.OpenCalls() != 0 {
		t.Errorf("told as %+v, %d open", got, b.core.OpenCalls())
	}
	// Where the module has its word just then, that counts.
	b = newBench(admission.Decision{Kind: admission.None})
	b.setUp("y")
	b.now += 3 * time.Second
	b.ticks = []admission.Decision{{CallID: "y", Kind: admission.Fail, Wait: time.Second}}
	b.core.Tick()
	b.want(t, "refused y 41 1s")
}
