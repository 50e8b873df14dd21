package admission

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// Rule 1: an answer by the node's own timer, though nothing returns.
func TestFailAtDeadline(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	id, _ := r.offer("read", 0)
	acts := r.advance(3*time.Second + 5*millisecond)
	if !slices.ContainsFunc(acts, func(a Action) bool { f, ok := a.(FailCall); return ok && f.CallID == id }) {
		t.Errorf("no final answer when the caller's time was up: %v", acts)
	}
	if acts := r.endAttempt(id, "a", TimedOut, CauseNone); len(acts) != 0 {
		t.Errorf("actions after the final answer: %v", acts)
	}
}

func TestFailOnTimeoutAtDeadline(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	id, _ := r.offer("read", 0)
	r.now += 3 * time.Second // the outcome comes before the timer
	if acts := r.endAttempt(id, "a", TimedOut, CauseNone); !hasAction[FailCall](acts) {
		t.Errorf("an expired attempt at the deadline left the call open: %v", acts)
	}
}

// A flood of calls that are refused leaves no timers and a bounded number of numbers.
func TestRejectedCallsLeaveNoState(t *testing.T) {
	r := newTestController(t, testSettings())
	for range 2 * maxDialedNumbers {
		if _, to := r.offer("read", 0); to != "" {
			t.Fatal("sent to", to)
		}
	}
	if n := len(r.machine.dialedNumbers); n > maxDialedNumbers || len(r.timers) > 1 || len(r.machine.calls.byID)+len(r.machine.calls.byTimer) > 0 {
		t.Errorf("%d numbers, %d timers, %d calls", n, len(r.timers), len(r.machine.calls.byID))
	}
}

// A node's first calls were refused until the first period had ended.
func TestFirstCallOfController(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	if _, s := r.offer("read", 0); s != "a" {
		t.Error("the first call of a node was refused")
	}
}

func TestLogMessagesAreLimited(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	logs := 0
	for range 50 {
		id, s := r.offer("read", 0)
		if s != "" {
			r.establish(id, s, 900*millisecond)
		}
		for _, act := range r.actions {
			if l, ok := act.(LogMessage); ok {
				logs++
				if !strings.HasPrefix(l.Text, "server a: rate limit ") {
					t.Errorf("log line %q", l.Text)
				}
			}
		}
		r.advance(100 * millisecond)
	}
	if logs != 1 {
		t.Errorf("%d log lines in five seconds of pressure, want 1", logs)
	}
}

// Where the list must be asked for, a failed call is made again, but not at once.
func TestFailedWatchIsRepeated(t *testing.T) {
	set := testSettings()
	set.WatchServersOnRequest = true
	c, err := NewStateMachine(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	if !hasAction[WatchServers](c.Begin(0)) {
		t.Error("the list was not asked for at the start")
	}
	r := newTestController(t, set, serverA)
	if acts := r.handle(ServersUpdated{Failed: true}); hasAction[WatchServers](acts) {
		t.Error("asked again at once")
	}
	if !hasAction[WatchServers](r.advance(r.machine.window + 5*millisecond)) {
		t.Error("not asked again after a failed call")
	}
	if _, s := r.offer("read", 0); s != "a" {
		t.Error("a failed call emptied the list")
	}
}

func TestInvalidSettings(t *testing.T) {
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

func TestUnknownIdentifiersAreIgnored(t *testing.T) {
	r := newTestController(t, testSettings(), serverA)
	for _, e := range []Event{
		CallEstablished{CallID: "?"}, AttemptEnded{CallID: "?", Final: true}, CallAbandoned{CallID: "?"}, TimerFired{Key: 99},
		LoadReported{Server: "?"}, ServersUpdated{Servers: []Server{{ID: "z", State: Removed}}},
	} {
		if acts := r.handle(e); len(acts) != 0 {
			t.Errorf("%T: %v", e, acts)
		}
	}
	if acts := r.handle(CallOffered{CallID: "u", Class: "?", Deadline: r.now + time.Second}); !hasAction[RejectCall](acts) {
		t.Errorf("a call of an unknown class: %v", acts)
	}
}

// TestExtremeSettings plays a calm minute under settings at the ends of what may come.
func TestExtremeSettings(t *testing.T) {
	many := make([]Server, 50)
	for i := range many {
		many[i] = Server{ID: fmt.Sprint("s", i), Pool: i}
	}
	for name, spoil := range map[string]func(*Settings){
		"as usual":            func(*Settings) {},
		"alone":               func(s *Settings) { s.ControllerCount = 1 },
		"one of a thousand":   func(s *Settings) { s.ControllerCount = 1000 },
		"start share 0":       func(s *Settings) { s.SlowStartShare = 0 },
		"never cold":          func(s *Settings) { s.SlowStartPeriod = 0 },
		"no repeats":          func(s *Settings) { s.ResendInterval = 0 },
		"no release guard":    func(s *Settings) { s.RetryGuard = 0 },
		"aim is all there is": func(s *Settings) { s.Classes[0].Deadline = s.Classes[0].LatencyObjective },
		"worthless":           func(s *Settings) { s.Classes[0].Weight, s.Classes[1].Weight = 0, 0 },
		"one attempt":         func(s *Settings) { s.MaxAttempts = 1 },
		"may not cancel":      func(s *Settings) { s.CanCancel = false },
	} {
		for _, servers := range [][]Server{{serverA}, {serverA, serverB}, many} {
			set := testSettings()
			spoil(&set)
			r := newTestController(t, set, servers...)
			asked, stood := 0, 0
			for end := r.now + time.Minute; r.now < end; r.advance(500 * millisecond) {
				asked++
				id, s := r.offer("read", asked%len(servers))
				if s == "" {
					continue
				}
				stood++
				r.establish(id, s, 40*millisecond)
				r.handle(AttemptEnded{CallID: id, Server: s, Result: Delivered, Final: true})
			}
			if stood < asked*9/10 {
				t.Errorf("%s, %d servers: %d of %d calls were sent on a calm day", name, len(servers), stood, asked)
			}
		}
	}
}

// Figures that are no figures, empty names and a clock that goes back change nothing.
func TestInvalidEvents(t *testing.T) {
	r := newTestController(t, testSettings(), serverA, serverB)
	r.offerSteadily(100*millisecond, 4*time.Second, 40*millisecond)
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		f := Optional{v, true}
		r.handle(LoadReported{Server: "a", OK: true, Load: LoadReport{f, f, f, f, f, f}})
		id, s := r.offer("read", 0)
		if s != "a" {
			t.Errorf("a report of %v sent a call to %q", v, s)
		}
		r.establish(id, s, 40*millisecond)
		r.advance(r.machine.period)
	}
	r.now -= time.Hour
	if acts := r.handle(TimerFired{}); len(acts) != 0 {
		t.Errorf("a clock that went back: %v", acts)
	}
	r.now += time.Hour
	if acts := r.handle(nil); len(acts) != 0 {
		t.Errorf("no event: %v", acts)
	}
	r.handle(CallEstablished{CallID: "", SetupTime: -time.Second})
	r.handle(AttemptEnded{CallID: "", Result: AttemptResult(99), Cause: FailureCause(-1), RetryAfter: -time.Hour})
	r.handle(ServersUpdated{Servers: []Server{{}}})
	if _, s := r.offer("read", 0); s != "a" {
		t.Errorf("empty names sent a call to %q", s)
	}
}
