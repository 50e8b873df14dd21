package admission

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// A call gets its final answer at its deadline even if its attempt is still open.
func TestFailAtDeadline(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	id, _ := tc.offer("read", 0)
	acts := tc.advance(3*time.Second + 5*millisecond)
	if !slices.ContainsFunc(acts, func(a Action) bool { f, ok := a.(FailCall); return ok && f.CallID == id }) {
		t.Errorf("no final answer at the deadline: %v", acts)
	}
	if acts := tc.endAttempt(id, "a", ResultTimedOut, CauseNone); len(acts) != 0 {
		t.Errorf("actions after the final answer: %v", acts)
	}
}

func TestFailOnTimeoutAtDeadline(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	id, _ := tc.offer("read", 0)
	tc.now += 3 * time.Second // the result arrives before the timer fires
	if acts := tc.endAttempt(id, "a", ResultTimedOut, CauseNone); !hasAction[FailCall](acts) {
		t.Errorf("the call did not fail after a timeout at its deadline: %v", acts)
	}
}

// Many rejected calls leave no timers and a bounded number of dialed numbers.
func TestRejectedCallsLeaveNoState(t *testing.T) {
	tc := newTestController(t, testSettings())
	for range 2 * maxDialedNumbers {
		if _, to := tc.offer("read", 0); to != "" {
			t.Fatal("call sent to", to)
		}
	}
	calls := len(tc.machine.calls.byID) + len(tc.machine.calls.byTimer)
	if n := len(tc.machine.dialedNumbers); n > maxDialedNumbers || len(tc.timers) > 1 || calls > 0 {
		t.Errorf("%d dialed numbers, %d timers and %d calls remain", n, len(tc.timers), len(tc.machine.calls.byID))
	}
}

// The first call of a controller is sent without waiting for the end of a period.
func TestFirstCallOfController(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	if _, s := tc.offer("read", 0); s != "a" {
		t.Error("the first call of a controller was rejected")
	}
}

func TestLogMessagesAreLimited(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	logs := 0
	for range 50 {
		id, s := tc.offer("read", 0)
		if s != "" {
			tc.establish(id, s, 900*millisecond)
		}
		for _, act := range tc.actions {
			if l, ok := act.(LogMessage); ok {
				logs++
				if !strings.HasPrefix(l.Text, "server a: rate limit ") {
					t.Errorf("log message %q", l.Text)
				}
			}
		}
		tc.advance(100 * millisecond)
	}
	if logs != 1 {
		t.Errorf("%d log messages in five seconds of overload, want 1", logs)
	}
}

// If the server list is watched on request, a failed watch is restarted, but not immediately.
func TestFailedWatchIsRepeated(t *testing.T) {
	settings := testSettings()
	settings.WatchServersOnRequest = true
	machine, err := NewStateMachine(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	if !hasAction[WatchServers](machine.Begin(0)) {
		t.Error("no watch was requested at the start")
	}
	tc := newTestController(t, settings, serverA)
	if acts := tc.handle(ServersUpdated{Failed: true}); hasAction[WatchServers](acts) {
		t.Error("a failed watch was restarted immediately")
	}
	if !hasAction[WatchServers](tc.advance(tc.machine.window + 5*millisecond)) {
		t.Error("a failed watch was not restarted")
	}
	if _, s := tc.offer("read", 0); s != "a" {
		t.Error("a failed watch emptied the server list")
	}
}

// The error for an invalid setting describes the problem and names the field.
func TestInvalidSettings(t *testing.T) {
	for _, c := range []struct {
		text, field string
		invalidate  func(*Settings)
	}{
		{"topology", "Topology", func(s *Settings) { s.Topology = "mesh" }},
		{"no classes", "Classes", func(s *Settings) { s.Classes = nil }},
		{"group size", "ControllerCount", func(s *Settings) { s.ControllerCount = 0 }},
		{"max attempts", "MaxAttempts", func(s *Settings) { s.MaxAttempts = 0 }},
		{"negative", "RetryGuard", func(s *Settings) { s.RetryGuard = -1 }},
		{"negative", "ResendInterval", func(s *Settings) { s.ResendInterval = -1 }},
		{"negative", "SlowStartPeriod", func(s *Settings) { s.SlowStartPeriod = -1 }},
		{"start share", "SlowStartShare", func(s *Settings) { s.SlowStartShare = math.NaN() }},
		{"class \"read\"", "Classes", func(s *Settings) { s.Classes[0].LatencyObjective = 0 }},
	} {
		t.Run(c.field, func(t *testing.T) {
			settings := testSettings()
			c.invalidate(&settings)
			_, err := NewStateMachine(settings, 1)
			if err == nil || !strings.Contains(err.Error(), c.text) {
				t.Errorf("error %v does not contain %q", err, c.text)
			}
			var invalid *SettingsError
			if !errors.As(err, &invalid) || invalid.Field != c.field {
				t.Errorf("error %v does not name the field %s", err, c.field)
			}
		})
	}
}

func TestUnknownIdentifiersAreIgnored(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	for _, e := range []Event{
		CallEstablished{CallID: "?"}, AttemptEnded{
			CallID: "?", Final: true,
		}, CallAbandoned{CallID: "?"}, TimerFired{Key: 99},
		LoadReported{Server: "?"}, ServersUpdated{Servers: []Server{{ID: "z", State: Removed}}},
	} {
		if acts := tc.handle(e); len(acts) != 0 {
			t.Errorf("%T: %v", e, acts)
		}
	}
	if acts := tc.handle(CallOffered{
		CallID: "u", Class: "?", Deadline: tc.now + time.Second,
	}); !hasAction[RejectCall](acts) {
		t.Errorf("a call of an unknown class was not rejected: %v", acts)
	}
}

// Under settings at the limits of their ranges, calls are sent for a minute without overload.
func TestExtremeSettings(t *testing.T) {
	many := make([]Server, 50)
	for i := range many {
		many[i] = Server{ID: fmt.Sprint("s", i), Pool: i}
	}
	for name, modify := range map[string]func(*Settings){
		"default":                   func(*Settings) {},
		"alone":                     func(s *Settings) { s.ControllerCount = 1 },
		"one of a thousand":         func(s *Settings) { s.ControllerCount = 1000 },
		"start share 0":             func(s *Settings) { s.SlowStartShare = 0 },
		"no slow start":             func(s *Settings) { s.SlowStartPeriod = 0 },
		"no resends":                func(s *Settings) { s.ResendInterval = 0 },
		"no retry guard":            func(s *Settings) { s.RetryGuard = 0 },
		"deadline is the objective": func(s *Settings) { s.Classes[0].Deadline = s.Classes[0].LatencyObjective },
		"no weights":                func(s *Settings) { s.Classes[0].Weight, s.Classes[1].Weight = 0, 0 },
		"one attempt":               func(s *Settings) { s.MaxAttempts = 1 },
		"may not cancel":            func(s *Settings) { s.CanCancel = false },
	} {
		for _, servers := range [][]Server{{serverA}, {serverA, serverB}, many} {
			settings := testSettings()
			modify(&settings)
			tc := newTestController(t, settings, servers...)
			offered, established := 0, 0
			for end := tc.now + time.Minute; tc.now < end; tc.advance(500 * millisecond) {
				offered++
				id, s := tc.offer("read", offered%len(servers))
				if s == "" {
					continue
				}
				established++
				tc.establish(id, s, 40*millisecond)
				tc.handle(AttemptEnded{CallID: id, Server: s, Result: ResultDelivered, Final: true})
			}
			if established < offered*9/10 {
				t.Errorf("%s, %d servers: only %d of %d calls were sent without overload",
					name, len(servers), established, offered)
			}
		}
	}
}

// Non-finite numbers, empty identifiers and a clock that goes back have no effect.
func TestInvalidEvents(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA, serverB)
	tc.offerSteadily(100*millisecond, 4*time.Second, 40*millisecond)
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		f := Optional{v, true}
		tc.handle(LoadReported{Server: "a", OK: true, Load: LoadReport{f, f, f, f, f, f}})
		id, s := tc.offer("read", 0)
		if s != "a" {
			t.Errorf("after a report of %v, a call went to %q", v, s)
		}
		tc.establish(id, s, 40*millisecond)
		tc.advance(tc.machine.period)
	}
	tc.now -= time.Hour
	if acts := tc.handle(TimerFired{}); len(acts) != 0 {
		t.Errorf("actions after the clock went back: %v", acts)
	}
	tc.now += time.Hour
	if acts := tc.handle(nil); len(acts) != 0 {
		t.Errorf("actions for a nil event: %v", acts)
	}
	tc.handle(CallEstablished{CallID: "", SetupTime: -time.Second})
	tc.handle(AttemptEnded{CallID: "", Result: AttemptResult(99), Cause: FailureCause(-1), RetryAfter: -time.Hour})
	tc.handle(ServersUpdated{Servers: []Server{{}}})
	if _, s := tc.offer("read", 0); s != "a" {
		t.Errorf("after events with empty identifiers, a call went to %q", s)
	}
}
