package admission

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings are made up for the tests.
func testSettings() Settings {
	return Settings{
		ControllerCount: 4, Topology: "pools", MaxAttempts: 3, CanCancel: true,
		ResendInterval: 600 * ms, RetryGuard: 250 * ms,
		SlowStartPeriod: 10 * time.Second, SlowStartShare: 0.4,
		Classes: []Class{
			{Name: "read", LatencyObjective: 1400 * ms, Deadline: 8 * time.Second, Weight: 1, LateWeightFactor: 0.2},
			{Name: "write", LatencyObjective: 1000 * ms, Deadline: 6 * time.Second, Weight: 5, LateWeightFactor: 0.2},
		},
	}
}

// A rig hands events to a Controller and keeps its timers.
type rig struct {
	t     *testing.T
	c     *StateMachine
	now   Time
	acts  []Action
	bells []SetTimer
	calls int
}

func newRig(t *testing.T, set Settings, servers ...Server) *rig {
	t.Helper()
	c, err := NewStateMachine(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, c: c, now: time.Hour}
	r.take(c.Begin(r.now))
	r.feed(ServersUpdated{Full: true, Cached: true, Servers: servers})
	return r
}

func (r *rig) take(acts []Action) []Action {
	for _, a := range acts {
		if d, ok := a.(SetTimer); ok {
			r.bells = append(r.bells, d)
			continue
		}
		r.acts = append(r.acts, a)
	}
	return acts
}

func (r *rig) feed(e Event) []Action {
	r.acts = nil
	r.take(r.c.Handle(r.now, e))
	return r.acts
}

// pass lets time go by in steps of 5 ms, rings what is due and returns all actions.
func (r *rig) pass(d time.Duration) []Action {
	var all []Action
	for end := r.now + d; r.now < end; {
		r.now = min(r.now+5*ms, end)
		due := []SetTimer{}
		r.bells = slices.DeleteFunc(r.bells, func(b SetTimer) bool {
			if b.At <= r.now {
				due = append(due, b)
				return true
			}
			return false
		})
		for _, b := range due {
			all = append(all, r.feed(TimerFired{Key: b.Key})...)
		}
	}
	return all
}

// ask hands in a fresh call and tells the server it was sent to, "" if refused.
func (r *rig) ask(class string, first int) (id, server string) {
	r.calls++
	id = fmt.Sprintf("%016x", r.calls)
	return id, r.askAs(CallOffered{CallID: id, Class: class, Number: id, PreferredPool: first, Deadline: r.now + 3*time.Second})
}

func (r *rig) askAs(e CallOffered) string { return sentTo(r.feed(e)) }

func sentTo(acts []Action) string {
	for _, a := range acts {
		if s, ok := a.(SendAttempt); ok {
			return s.Server
		}
	}
	return ""
}

func (r *rig) stands(id, server string, took time.Duration) {
	r.feed(CallEstablished{CallID: id, Server: server, SetupTime: took})
}

func (r *rig) returned(id, server string, code AttemptResult, cause FailureCause) []Action {
	return r.feed(AttemptEnded{CallID: id, Server: server, Result: code, Cause: cause})
}

func has[T Action](acts []Action) bool {
	return slices.ContainsFunc(acts, func(a Action) bool { _, ok := a.(T); return ok })
}

var a, b = Server{ID: "a", Pool: 0}, Server{ID: "b", Pool: 1}

// steady has the first pool answer one call each gap for d.
func (r *rig) steady(gap, d, took time.Duration) (sent int) {
	for end := r.now + d; r.now < end; {
		if id, s := r.ask("read", 0); s != "" {
			sent++
			r.stands(id, s, took)
			r.feed(AttemptEnded{CallID: id, Server: s, Result: Delivered, Final: true})
		}
		r.pass(gap)
	}
	return sent
}

func TestFirstChoice(t *testing.T) {
	r := newRig(t, testSettings(), a, b)
	for first, want := range []string{"a", "b"} {
		if _, got := r.ask("read", first); got != want {
			t.Errorf("first choice %d went to %q, want %q", first, got, want)
		}
	}
}

func TestCeilingRefusesCheapFirst(t *testing.T) {
	r := newRig(t, testSettings(), a)
	r.steady(100*ms, 4*time.Second, 50*ms)
	id, s := r.ask("read", 0)
	r.returned(id, s, ServerBusy, CauseProcessorBusy)
	if c := r.c.servers[0].limit.rate; math.IsInf(c, 1) || c > 10 {
		t.Fatalf("ceiling after 'processor full' is %v, want at most the recent rate of 10", c)
	}
	r.c.servers[0].limit.rate = 14
	reads, writes := 0, 0
	for range 12 {
		if _, s := r.ask("read", 0); s != "" {
			reads++
		}
	}
	if _, s := r.ask("write", 0); s != "" {
		writes++
	}
	if reads > burstSize || writes != 1 {
		t.Errorf("under the ceiling %d reads and %d writes went out, want at most %d and 1", reads, writes, burstSize)
	}
}

// A pool whose lines all stand is not a pressed processor.
func TestNoLineSetsNoCeiling(t *testing.T) {
	r := newRig(t, testSettings(), a, b)
	id, s := r.ask("read", 0)
	if acts := r.returned(id, s, ServerBusy, CauseNoCircuit); sentTo(acts) != "b" {
		t.Errorf("a call that found no line was not sent elsewhere: %v", acts)
	}
	if !math.IsInf(r.c.servers[0].limit.rate, 1) {
		t.Error("a pool without a free line got a ceiling")
	}
	if _, s := r.ask("read", 0); s == "a" {
		t.Error("a pool without a free line was tried again at once")
	}
	r.feed(LoadReported{Server: "a", OK: true, Load: LoadReport{FreeCircuits: Optional{3, true}}})
	if _, s := r.ask("read", 0); s != "a" {
		t.Error("a pool that has lines again was not used")
	}
	if _, s := r.ask("read", 0); s == "a" {
		t.Error("three free lines for four nodes: this one took two")
	}
}

// When lines run short they must not go to calls that are worth little.
func TestShortOfLinesTakesNoRepeats(t *testing.T) {
	r := newRig(t, testSettings(), a)
	r.feed(LoadReported{Server: "a", OK: true, Load: LoadReport{FreeCircuits: Optional{3, true}}})
	e := CallOffered{CallID: "x", Class: "read", Number: "x", Deadline: r.now + time.Second, Redialed: true}
	if s := r.askAs(e); s != "" {
		t.Error("a call dialled again took one of the last lines")
	}
	if _, s := r.ask("read", 0); s != "a" {
		t.Error("a fresh call got no line")
	}
}

// An idle server that turns a few calls away at random must not be left by all.
func TestFullAgainstQuickAnswers(t *testing.T) {
	r := newRig(t, testSettings(), a)
	r.steady(100*ms, 4*time.Second, 40*ms)
	id, s := r.ask("read", 0)
	r.feed(AttemptEnded{CallID: id, Server: s, Result: ServerBusy, Cause: CauseProcessorBusy, RetryAfter: 2 * time.Second})
	srv := r.c.servers[0]
	if math.IsInf(srv.limit.rate, 1) || srv.limit.rate < 9 || srv.backoffUntil > r.now {
		t.Errorf("ceiling %v, left alone for %v: want about the recent rate of 10, and no wait", srv.limit.rate, srv.backoffUntil-r.now)
	}
}

// Calls that were cut come again all at once; more than can stand in time only jam the server.
func TestFloodIsHeld(t *testing.T) {
	r := newRig(t, testSettings(), a)
	r.steady(100*ms, 4*time.Second, 40*ms)
	sent := 0
	for i := range 60 {
		id := fmt.Sprint("f", i)
		if r.askAs(CallOffered{CallID: id, Number: id, Class: "read", Deadline: r.now + 3*time.Second, Reestablish: true}) != "" {
			sent++
		}
	}
	if sent < 5 || sent > 14 {
		t.Errorf("%d calls sent at once to a server that answers 10 a second, want 5 to 14", sent)
	}
}

func TestCeilingLapsesAfterCleanWindow(t *testing.T) {
	r := newRig(t, testSettings(), a)
	r.steady(200*ms, 4*time.Second, 50*ms)
	id, s := r.ask("read", 0)
	r.returned(id, s, ServerBusy, CauseProcessorBusy)
	r.steady(500*ms, 3*r.c.window, 50*ms)
	if c := r.c.servers[0].limit.rate; !math.IsInf(c, 1) {
		t.Errorf("ceiling %v still stands after clean windows", c)
	}
}

// A ceiling that lapses while callers queue for it lets the jam back in.
func TestCeilingStaysWhileItHoldsBack(t *testing.T) {
	r := newRig(t, testSettings(), a)
	r.steady(200*ms, 4*time.Second, 50*ms)
	id, s := r.ask("read", 0)
	r.returned(id, s, ServerBusy, CauseProcessorBusy)
	r.pass(r.c.window - 500*ms)
	r.steady(10*ms, time.Second, 50*ms)
	if c := r.c.servers[0].limit.rate; math.IsInf(c, 1) {
		t.Error("the ceiling lapsed though it held calls back")
	}
}

// After a pause all nodes would send their whole window at once.
func TestPacedUnderCeiling(t *testing.T) {
	r := newRig(t, testSettings(), a)
	r.steady(100*ms, 4*time.Second, 50*ms)
	r.pass(time.Second)
	id, s := r.ask("read", 0)
	r.returned(id, s, ServerBusy, CauseProcessorBusy)
	r.pass(r.c.window - 200*ms)
	sent := 0
	for range 20 {
		if id, s := r.ask("read", 0); s != "" {
			sent++
			r.stands(id, s, 50*ms)
		}
	}
	if sent == 0 || sent > burstSize {
		t.Errorf("%d calls went out at once under a ceiling, want 1 to %d", sent, burstSize)
	}
}

func TestSlowAnswerSetsCeiling(t *testing.T) {
	r := newRig(t, testSettings(), a)
	id, s := r.ask("read", 0)
	r.stands(id, s, 900*ms)
	if math.IsInf(r.c.servers[0].limit.rate, 1) {
		t.Error("a call that stood late set no ceiling")
	}
}

func TestPoolPickFewestUnanswered(t *testing.T) {
	c := Server{ID: "c", Pool: 2}
	r := newRig(t, testSettings(), a, b, c)
	r.c.servers[0].backoffUntil = r.now + time.Hour // the first choice holds back
	r.c.servers[1].attempts.pending = make([]*call, 3)
	for i := range r.c.servers[1].attempts.pending {
		r.c.servers[1].attempts.pending[i] = &call{sentAt: r.now}
	}
	r.c.poolPeakRates[1] = 100
	got := map[string]int{}
	for range 200 {
		k := &call{class: r.c.classes["read"], priority: priorityNormal}
		r.c.servers[1].ramp.tokens, r.c.servers[2].ramp.tokens = 2, 2
		got[r.c.selectServer(k).ID]++
	}
	if got["c"] < 130 || got["b"] == 0 || got["a"] != 0 {
		t.Errorf("picks %v: want about three quarters at c, the rest at b", got)
	}
}

func TestRefusedWhenNoneRemains(t *testing.T) {
	r := newRig(t, testSettings())
	if _, s := r.ask("read", 0); s != "" || !has[RejectCall](r.acts) {
		t.Errorf("without servers: %v, want a refusal", r.acts)
	}
}

// Rule 1: an answer by the node's own timer, though nothing returns.
func TestAnswerByOwnTimer(t *testing.T) {
	r := newRig(t, testSettings(), a)
	id, _ := r.ask("read", 0)
	acts := r.pass(3*time.Second + 5*ms)
	if !slices.ContainsFunc(acts, func(a Action) bool { f, ok := a.(FailCall); return ok && f.CallID == id }) {
		t.Errorf("no final answer when the caller's time was up: %v", acts)
	}
	if acts := r.returned(id, "a", TimedOut, CauseNone); len(acts) != 0 {
		t.Errorf("actions after the final answer: %v", acts)
	}
}

func TestAnswerOnLateExpired(t *testing.T) {
	r := newRig(t, testSettings(), a)
	id, _ := r.ask("read", 0)
	r.now += 3 * time.Second // the outcome comes before the timer
	if acts := r.returned(id, "a", TimedOut, CauseNone); !has[FailCall](acts) {
		t.Errorf("an expired attempt at the deadline left the call open: %v", acts)
	}
}

// Rule 3.
func TestNothingToDraining(t *testing.T) {
	for _, phase := range []ServerState{Draining, Removed} {
		r := newRig(t, testSettings(), a)
		r.feed(ServersUpdated{Servers: []Server{{ID: "a", State: phase}}})
		if _, s := r.ask("write", 0); s != "" {
			t.Errorf("phase %v: a call was sent", phase)
		}
	}
	r := newRig(t, testSettings(), a, b)
	r.feed(ServersUpdated{Full: true, Servers: []Server{b}})
	if _, s := r.ask("read", 0); s == "a" {
		t.Error("a call went to a server that a full list lacks")
	}
}

// Rule 4: a node that knows nothing sends a cold server next to nothing.
func TestColdServerClimbs(t *testing.T) {
	r := newRig(t, testSettings())
	r.feed(ServersUpdated{Servers: []Server{{ID: "n", Pool: 0, Started: r.now - time.Second}}})
	if sent := r.steady(10*ms, 2*time.Second, 50*ms); sent > 4 {
		t.Errorf("%d set-ups in the first 2 s to a cold server, want at most 4", sent)
	}
	if sent := r.steady(10*ms, 6*time.Second, 50*ms); sent < 6 {
		t.Errorf("%d set-ups in the next 6 s, want the climb to go on", sent)
	}
}

// A new id without a start time, seen as a change, has just started.
func TestUnknownNewServerIsCold(t *testing.T) {
	r := newRig(t, testSettings(), a)
	r.feed(ServersUpdated{Servers: []Server{b}})
	if !r.c.servers[1].ramp.inSlowStart {
		t.Error("a server that appeared among changes counts as warm")
	}
}

// The cold share of what the pool carried goes to its replacement at once.
func TestColdServerInheritsPool(t *testing.T) {
	r := newRig(t, testSettings(), a)
	r.steady(20*ms, 4*time.Second, 30*ms)
	r.feed(ServersUpdated{Servers: []Server{{ID: "a", State: Removed}, {ID: "n", Pool: 0, Started: r.now}}})
	sent := r.steady(10*ms, 2*time.Second, 30*ms)
	if sent < 15 || sent > 60 {
		t.Errorf("%d set-ups in 2 s to the successor of a server that carried 50 a second, want 15 to 60", sent)
	}
}

// Rule 5.
func TestReleaseGuard(t *testing.T) {
	for _, code := range []AttemptResult{TimedOut, ConnectionLost, Canceled} {
		r := newRig(t, testSettings(), a, b)
		id, s := r.ask("write", 0)
		r.pass(100 * ms)
		if acts := r.returned(id, s, code, CauseNone); has[SendAttempt](acts) {
			t.Errorf("code %v: sent again at once", code)
		}
		if acts := r.pass(245 * ms); has[SendAttempt](acts) {
			t.Errorf("code %v: sent again within the guard", code)
		}
		if acts := r.pass(10 * ms); sentTo(acts) != "b" {
			t.Errorf("code %v: not sent again after the guard: %v", code, acts)
		}
	}
}

// The module keeps pace with its deployment: where all its times are a quarter, what is left
// of its calls finds its way to the second choice in a quarter of the time.
func TestPaceFollowsTheSettings(t *testing.T) {
	taken := func(scale time.Duration) (sent int) {
		set := testSettings()
		set.ResendInterval, set.RetryGuard, set.SlowStartPeriod = set.ResendInterval/scale, set.RetryGuard/scale, set.SlowStartPeriod/scale
		for i := range set.Classes {
			set.Classes[i].LatencyObjective, set.Classes[i].Deadline = set.Classes[i].LatencyObjective/scale, set.Classes[i].Deadline/scale
		}
		r := newRig(t, set, a, b)
		r.steady(80*ms/scale, 8*time.Second/scale, 80*ms/scale)
		r.feed(ServersUpdated{Servers: []Server{{ID: "a", State: Draining}}})
		return r.steady(80*ms/scale, 16*time.Second/scale, 80*ms/scale)
	}
	slow, fast := taken(1), taken(4)
	if slow < 50 || fast < slow*9/10 || fast > slow*11/10 {
		t.Errorf("%d calls to the second choice, %d where all times are a quarter", slow, fast)
	}
}

// A node that has just started learns from its first answers what its servers can have at
// once, not only when a whole window has passed.
func TestStartLearnsFromFirstAnswers(t *testing.T) {
	r := newRig(t, testSettings(), a)
	r.steady(100*ms, 800*ms, 50*ms)
	sent := 0
	for range 10 {
		if _, to := r.ask("read", 0); to == "a" {
			sent++
		}
	}
	if sent <= burstSize || sent == 10 {
		t.Errorf("%d of 10 calls sent at once", sent)
	}
}

// A flood of calls that are refused leaves no timers and a bounded number of numbers.
func TestFloodLeavesLittle(t *testing.T) {
	r := newRig(t, testSettings())
	for range 2 * maxDialedNumbers {
		if _, to := r.ask("read", 0); to != "" {
			t.Fatal("sent to", to)
		}
	}
	if n := len(r.c.dialedNumbers); n > maxDialedNumbers || len(r.bells) > 1 || len(r.c.calls.byID)+len(r.c.calls.byTimer) > 0 {
		t.Errorf("%d numbers, %d timers, %d calls", n, len(r.bells), len(r.c.calls.byID))
	}
}

// A small server that has become slow must not be kept so by calls that find it out.
func TestTrickleIsAPartOfWhatIsCarried(t *testing.T) {
	ceiling := func(gap time.Duration) float64 {
		r := newRig(t, testSettings(), a)
		r.steady(gap, 8*time.Second, 30*ms)
		s := r.c.servers[0]
		for range 60 { // it answers nothing any more
			r.ask("write", 0)
			r.pass(100 * ms)
		}
		return s.limit.rate
	}
	least := 1 / 0.5 / 4.0
	if small := ceiling(1500 * ms); small > least/2 {
		t.Errorf("a small server still gets %.2f calls a second of %.2f", small, least)
	}
	if large := ceiling(20 * ms); large < least {
		t.Errorf("a large server gets %.2f calls a second of %.2f", large, least)
	}
}

// Lost set-ups must not keep a server from all calls for as long as they last: another goes
// and tells, whatever the ceiling, and what the silence has cost is given back.
func TestScoutTellsOfLostSetUps(t *testing.T) {
	for lost := 1; lost <= 2; lost++ {
		r := newRig(t, testSettings(), a)
		r.steady(20*ms, 4*time.Second, 30*ms)
		s := r.c.servers[0]
		for range lost { // they are never answered
			if _, to := r.ask("write", 0); to != "a" {
				t.Fatal("a steady server is not sent to")
			}
		}
		r.pass(1200 * ms)
		if math.IsInf(s.limit.rate, 1) {
			t.Fatal("a silent server is not pressed")
		}
		id, to := r.ask("read", 0)
		if to != "a" {
			t.Fatalf("%d lost: no scout goes", lost)
		}
		if _, to := r.ask("read", 0); to != "" {
			t.Errorf("%d lost: two scouts at once", lost)
		}
		r.pass(30 * ms)
		r.stands(id, to, 30*ms)
		if !math.IsInf(s.limit.rate, 1) || len(s.attempts.pending) > 0 {
			t.Errorf("%d lost: ceiling %v, %d pending", lost, s.limit.rate, len(s.attempts.pending))
		}
	}
}

// Answers to set-ups sent with a lost one tell nothing of it; one sent later that is not late
// does. A 'processor full' is never excused.
func TestSilenceOfALostSetUpStaysOpen(t *testing.T) {
	for _, full := range []bool{false, true} {
		r := newRig(t, testSettings(), a)
		r.steady(20*ms, 4*time.Second, 30*ms)
		s := r.c.servers[0]
		var ids []string
		for range 3 { // the first is lost
			id, to := r.ask("write", 0)
			if to != "a" {
				t.Fatal("a steady server is not sent to")
			}
			ids = append(ids, id)
			r.pass(95 * ms)
		}
		for i := 0; math.IsInf(s.limit.rate, 1); i++ {
			if i > 100 {
				t.Fatal("a silent server is not pressed")
			}
			r.pass(5 * ms)
		}
		if full {
			r.returned(ids[1], "a", ServerBusy, CauseProcessorBusy)
		} else {
			r.stands(ids[1], "a", 450*ms)
		}
		r.stands(ids[2], "a", 400*ms)
		if excused := math.IsInf(s.limit.rate, 1); excused == full {
			t.Errorf("processor full %v: excused %v", full, excused)
		}
	}
}

// What a server's silence has cost it is given back when its connection turns out to have
// failed, and its calls may go there again once the guard has passed.
func TestDeadConnectionIsExcused(t *testing.T) {
	r := newRig(t, testSettings(), a)
	r.steady(20*ms, 4*time.Second, 30*ms)
	s := r.c.servers[0]
	var out []string
	for range 3 {
		id, to := r.ask("write", 0)
		if to != "a" {
			t.Fatal("a steady server is not sent to")
		}
		out = append(out, id)
	}
	r.pass(700 * ms)
	if math.IsInf(s.limit.rate, 1) || s.limit.provenBurst > 0 {
		t.Fatal("a silent server is not pressed")
	}
	for _, id := range out {
		r.returned(id, "a", ConnectionLost, CauseConnectionUnresponsive)
	}
	if !math.IsInf(s.limit.rate, 1) {
		t.Errorf("ceiling %v after the connection failed", s.limit.rate)
	}
	if acts := r.pass(255 * ms); sentTo(acts) != "a" {
		t.Errorf("not sent again: %v", acts)
	}
}

// A node's first calls were refused until the first period had ended.
func TestFirstCallOfANode(t *testing.T) {
	r := newRig(t, testSettings(), a)
	if _, s := r.ask("read", 0); s != "a" {
		t.Error("the first call of a node was refused")
	}
}

func TestFaultIsTriedAgain(t *testing.T) {
	r := newRig(t, testSettings(), a, b)
	id, s := r.ask("read", 0)
	if acts := r.returned(id, s, ServerError, CauseNone); sentTo(acts) != "b" {
		t.Errorf("a signalling fault was not tried elsewhere: %v", acts)
	}
}

func TestMaxAttempts(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 1
	r := newRig(t, set, a, b)
	id, s := r.ask("write", 0)
	if acts := r.returned(id, s, DialFailed, CauseNone); has[SendAttempt](acts) || !has[FailCall](acts) {
		t.Errorf("with one attempt allowed: %v", acts)
	}
}

func TestCrowdedNumber(t *testing.T) {
	r := newRig(t, testSettings(), a)
	ask := func(id string) string {
		return r.askAs(CallOffered{CallID: id, Class: "read", Number: "crowd", Deadline: r.now + 3*time.Second})
	}
	r.returned("1", ask("1"), ServerError, CauseDestinationBusy)
	if !has[FailCall](r.acts) {
		t.Errorf("a busy number is the end of the call: %v", r.acts)
	}
	if ask("2") != "" {
		t.Error("a call to a busy number was sent")
	}
	r.pass(r.c.window)
	if ask("3") == "" {
		t.Error("a window later no call finds out whether a line is free")
	}
	if ask("4") != "" {
		t.Error("two calls went to a busy number in a window")
	}
}

// Unmarked calls dialled again are known by their number.
func TestDialledAgainComesLast(t *testing.T) {
	r := newRig(t, testSettings(), a)
	r.steady(100*ms, 4*time.Second, 50*ms)
	r.askAs(CallOffered{CallID: "x1", Class: "read", Number: "n", Deadline: r.now + ms})
	r.pass(2 * time.Second)
	s := r.c.servers[0]
	s.limit.rate, s.limit.overloadedAt, s.limit.tokens = 20, r.now, 1.5
	if got := r.askAs(CallOffered{CallID: "x2", Class: "read", Number: "n", Deadline: r.now + time.Second}); got != "" {
		t.Error("a call dialled again took room from fresh ones")
	}
	if _, got := r.ask("read", 0); got == "" {
		t.Error("a fresh call found no room")
	}
}

// A caller who was refused and is back within the wanted time is as good as new.
func TestBackWithinAimKeepsTier(t *testing.T) {
	r := newRig(t, testSettings(), a)
	k := &call{number: "n", class: r.c.classes["read"]}
	if r.c.isRedial(k, false) {
		t.Error("a first call counts as dialled again")
	}
	r.pass(700 * ms)
	if r.c.isRedial(k, true) {
		t.Error("back within the wanted time, it counts as late")
	}
	if !r.c.isRedial(k, false) {
		t.Error("a third call for a number is not taken for a crowd")
	}
}

// A set-up that was overtaken is lost; it must not look like a wait, and is sent again.
func TestLostSetUp(t *testing.T) {
	r := newRig(t, testSettings(), a)
	lost, s := r.ask("read", 0)
	r.pass(300 * ms)
	if n := r.steady(100*ms, 400*ms, 40*ms); n != 4 {
		t.Errorf("%d of 4 calls passed beside a lost one", n)
	}
	r.ask("read", 0)
	if !math.IsInf(r.c.servers[0].limit.rate, 1) {
		t.Error("a lost set-up set a ceiling")
	}
	if r.pass(200 * ms); !r.c.calls.byID[lost].isCanceled {
		t.Error("a lost set-up was not called off")
	}
	r.returned(lost, s, Canceled, CauseNone)
	if acts := r.pass(260 * ms); sentTo(acts) != "a" {
		t.Errorf("a lost set-up was not sent again: %v", acts)
	}
}

// A node that sends little must find out too whether a single set-up was lost.
func TestSingleLostSetUpDoesNotBlock(t *testing.T) {
	r := newRig(t, testSettings(), a)
	r.steady(100*ms, 4*time.Second, 40*ms)
	r.ask("read", 0)
	r.pass(700 * ms)
	if _, s := r.ask("read", 0); s != "a" {
		t.Error("one unanswered set-up at a server that was quick holds all calls back")
	}
}

// Answers that waited for a node that stood still are not slow servers.
func TestNodeThatStoodStill(t *testing.T) {
	r := newRig(t, testSettings(), a)
	r.steady(100*ms, 4*time.Second, 40*ms)
	one, s := r.ask("read", 0)
	two, _ := r.ask("read", 0)
	r.now += 1500 * ms // no timer was rung meanwhile
	r.stands(one, s, 1500*ms)
	r.stands(two, s, 1500*ms)
	if c := r.c.servers[0].limit.rate; !math.IsInf(c, 1) {
		t.Errorf("the node's own pause set a ceiling of %v", c)
	}
}

// A server that takes set-ups and answers none is left, and its calls are moved.
func TestHungServerIsLeft(t *testing.T) {
	r := newRig(t, testSettings(), a, b)
	r.steady(100*ms, 4*time.Second, 50*ms)
	r.c.servers[1].ramp.tokens = 2
	id, s := r.ask("read", 0)
	r.ask("read", 0)
	acts := r.pass(800 * ms)
	if has[CancelAttempt](acts) {
		t.Error("a call was called off though no other server is known to answer quickly")
	}
	other, _ := r.ask("read", 1)
	r.stands(other, "b", 40*ms)
	acts = r.pass(100 * ms)
	if !slices.Contains(acts, Action(CancelAttempt{CallID: id, Attempt: 0, Reason: ReasonServerUnresponsive})) {
		t.Fatalf("the call at a silent server was not called off: %v", acts)
	}
	if _, s := r.ask("write", 0); s == "a" {
		t.Error("a new call went to a silent server")
	}
	r.returned(id, s, Canceled, CauseNone)
	r.c.servers[1].ramp.tokens = 1
	if acts := r.pass(300 * ms); sentTo(acts) != "b" {
		t.Errorf("the call was not moved: %v", acts)
	}
}

// Small servers must not be overrun by everybody's second choices.
func TestOverflowClimbs(t *testing.T) {
	r := newRig(t, testSettings(), a, b)
	r.feed(ServersUpdated{Servers: []Server{{ID: "a", State: Draining}}})
	sent := 0
	for range 50 {
		if _, s := r.ask("read", 0); s == "b" {
			sent++
		}
	}
	if sent > burstSize {
		t.Errorf("%d second choices went to an unproven server at once", sent)
	}
}

func TestLogLinesAreLimited(t *testing.T) {
	r := newRig(t, testSettings(), a)
	logs := 0
	for range 50 {
		id, s := r.ask("read", 0)
		if s != "" {
			r.stands(id, s, 900*ms)
		}
		for _, act := range r.acts {
			if l, ok := act.(LogMessage); ok {
				logs++
				if !strings.HasPrefix(l.Text, "server a: rate limit ") {
					t.Errorf("log line %q", l.Text)
				}
			}
		}
		r.pass(100 * ms)
	}
	if logs != 1 {
		t.Errorf("%d log lines in five seconds of pressure, want 1", logs)
	}
}

// Where the list must be asked for, a failed call is made again, but not at once.
func TestListIsAskedFor(t *testing.T) {
	set := testSettings()
	set.WatchServersOnRequest = true
	c, err := NewStateMachine(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	if !has[WatchServers](c.Begin(0)) {
		t.Error("the list was not asked for at the start")
	}
	r := newRig(t, set, a)
	if acts := r.feed(ServersUpdated{Failed: true}); has[WatchServers](acts) {
		t.Error("asked again at once")
	}
	if !has[WatchServers](r.pass(r.c.window + 5*ms)) {
		t.Error("not asked again after a failed call")
	}
	if _, s := r.ask("read", 0); s != "a" {
		t.Error("a failed call emptied the list")
	}
}

func TestNewRejects(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"topology":       func(s *Settings) { s.Topology = "mesh" },
		"no classes":     func(s *Settings) { s.Classes = nil },
		"group size":     func(s *Settings) { s.ControllerCount = 0 },
		"max attempts":   func(s *Settings) { s.MaxAttempts = 0 },
		"negative":       func(s *Settings) { s.RetryGuard = -1 },
		"start share":    func(s *Settings) { s.SlowStartShare = math.NaN() },
		"class \"read\"": func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
	} {
		set := testSettings()
		spoil(&set)
		if _, err := NewStateMachine(set, 1); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v does not name it", name, err)
		}
	}
}

func TestUnknownNamesAreIgnored(t *testing.T) {
	r := newRig(t, testSettings(), a)
	for _, e := range []Event{
		CallEstablished{CallID: "?"}, AttemptEnded{CallID: "?", Final: true}, CallAbandoned{CallID: "?"}, TimerFired{Key: 99},
		LoadReported{Server: "?"}, ServersUpdated{Servers: []Server{{ID: "z", State: Removed}}},
	} {
		if acts := r.feed(e); len(acts) != 0 {
			t.Errorf("%T: %v", e, acts)
		}
	}
	if acts := r.feed(CallOffered{CallID: "u", Class: "?", Deadline: r.now + time.Second}); !has[RejectCall](acts) {
		t.Errorf("a call of an unknown class: %v", acts)
	}
}

// A storm draws odd but legal orders of events and checks the rules on every action.
type storm struct {
	*rig
	rng   *rand.Rand
	until map[string]Time
	done  map[string]bool
	out   map[string]SendAttempt
	leg   map[string]int
	stood map[string]bool
	free  map[string]Time // release guard
	shut  map[string]bool
	trace []Action
}

func (s *storm) check(acts []Action) {
	s.trace = append(s.trace, acts...)
	for _, act := range acts {
		switch x := act.(type) {
		case SendAttempt:
			if s.done[x.CallID] {
				s.t.Fatalf("%v: sent after the end", x)
			}
			if _, ok := s.out[x.CallID]; ok {
				s.t.Fatalf("%v: two attempts out", x)
			}
			if s.now < s.free[x.CallID] {
				s.t.Fatalf("%v: sent within the release guard", x)
			}
			if s.shut[x.Server] {
				s.t.Fatalf("%v: sent to a draining or gone server", x)
			}
			s.out[x.CallID] = x
			s.leg[x.CallID]++
		case RejectCall:
			s.end(x.CallID)
		case FailCall:
			s.end(x.CallID)
		}
	}
}

func (s *storm) end(id string) {
	if s.done[id] {
		s.t.Fatalf("call %s: two final answers", id)
	}
	s.done[id] = true
}

func (s *storm) step() {
	s.check(s.pass(time.Duration(s.rng.IntN(8)) * 5 * ms))
	ids := make([]string, 0, len(s.out))
	for id := range s.out {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	switch n := s.rng.IntN(10); {
	case n < 4:
		s.calls++
		id := fmt.Sprint("c", s.calls)
		s.until[id] = s.now + time.Duration(200+s.rng.IntN(3000))*ms
		s.check(s.feed(CallOffered{CallID: id, Class: []string{"read", "write"}[s.rng.IntN(2)], PreferredPool: s.rng.IntN(4),
			Number: fmt.Sprint(s.rng.IntN(300)), Deadline: s.until[id], Reestablish: s.rng.IntN(9) == 0}))
	case n < 8 && len(ids) > 0:
		s.settle(ids[s.rng.IntN(len(ids))])
	case n == 8:
		id := fmt.Sprint("s", s.rng.IntN(4))
		phase := ServerState(s.rng.IntN(3))
		l := Server{ID: id, Pool: int(id[1] - '0'), State: phase}
		if phase == Active && s.shut[id] {
			l.Started = s.now
		}
		s.shut[id] = phase != Active
		s.check(s.feed(ServersUpdated{Servers: []Server{l}}))
	case len(ids) > 0 && s.rng.IntN(4) == 0:
		id := ids[s.rng.IntN(len(ids))]
		s.done[id] = true
		s.check(s.feed(CallAbandoned{CallID: id}))
	}
}

// settle lets an attempt stand or end.
func (s *storm) settle(id string) {
	x := s.out[id]
	if !s.stood[id] && !s.done[id] && s.rng.IntN(2) == 0 {
		s.stood[id], s.done[id] = true, true
		s.check(s.feed(CallEstablished{CallID: id, Server: x.Server, Attempt: s.leg[id] - 1, SetupTime: time.Duration(s.rng.IntN(2000)) * ms}))
		return
	}
	delete(s.out, id)
	e := AttemptEnded{CallID: id, Server: x.Server, Attempt: s.leg[id] - 1, Result: AttemptResult(s.rng.IntN(8)), Final: s.done[id]}
	if e.Result == Delivered {
		e.Final = true
		s.done[id] = true
	}
	if e.Result == TimedOut || e.Result == ConnectionLost || e.Result == Canceled {
		s.free[id] = s.now + s.c.settings.RetryGuard
	}
	s.check(s.feed(e))
}

// drain ends all attempts, and those that the release guard had put off.
func (s *storm) drain() {
	for s.check(s.pass(10 * time.Second)); len(s.out) > 0; s.check(s.pass(10 * time.Second)) {
		for _, id := range slices.Sorted(maps.Keys(s.out)) {
			s.settle(id)
		}
	}
}

func newStorm(t *testing.T, seed uint64) *storm {
	return &storm{
		rig: newRig(t, testSettings(), Server{ID: "s0"}, Server{ID: "s1", Pool: 1}, Server{ID: "s2", Pool: 2}),
		rng: rand.New(rand.NewPCG(seed, 7)), until: map[string]Time{}, done: map[string]bool{},
		out: map[string]SendAttempt{}, leg: map[string]int{}, stood: map[string]bool{}, free: map[string]Time{}, shut: map[string]bool{},
	}
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(40) {
		s := newStorm(t, seed)
		for range 1500 {
			s.step()
			for id, until := range s.until {
				if s.now > until+20*ms && !s.done[id] {
					t.Fatalf("seed %d: call %s has no answer in time", seed, id)
				}
			}
		}
		s.drain()
		if n := len(s.c.calls.byID) + len(s.c.calls.byTimer) + len(s.c.dialedNumbers) + len(s.c.busyNumbers) + s.c.unansweredAttempts; n != 0 {
			t.Errorf("seed %d: %d records and unanswered set-ups are left after all calls ended", seed, n)
		}
		for _, srv := range s.c.servers {
			if len(srv.attempts.pending)+len(srv.attempts.lost) != 0 {
				t.Errorf("seed %d: server %s still has %d set-ups unanswered", seed, srv.ID, len(srv.attempts.pending))
			}
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []Action {
		s := newStorm(t, 5)
		for range 1500 {
			s.step()
		}
		return s.trace
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Error("the same events gave other actions")
	}
}
