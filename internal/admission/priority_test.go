package admission

import (
	"fmt"
	"testing"
	"time"
)

// When interrupted calls are offered again all at once, a server receives only as many as it can answer in time.
func TestBurstIsHeldBack(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	tc.offerSteadily(100*millisecond, 4*time.Second, 40*millisecond)
	sent := 0
	for i := range 60 {
		id := fmt.Sprint("f", i)
		if tc.offerCall(CallOffered{
			CallID: id, Number: id, Class: "read", Deadline: tc.now + 3*time.Second,
			Reestablish: true,
		}) != "" {
			sent++
		}
	}
	if sent < 5 || sent > 14 {
		t.Errorf("%d calls were sent at once to a server that answers 10 per second, want 5 to 14", sent)
	}
}

func TestBusyDestination(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	place := func(id string) string {
		return tc.offerCall(CallOffered{CallID: id, Class: "read", Number: "busy", Deadline: tc.now + 3*time.Second})
	}
	tc.endAttempt("1", place("1"), ResultServerError, CauseDestinationBusy)
	if !hasAction[FailCall](tc.actions) {
		t.Errorf("a call to a busy destination did not fail: %v", tc.actions)
	}
	if place("2") != "" {
		t.Error("a call to a busy destination was sent")
	}
	tc.advance(tc.machine.window)
	if place("3") == "" {
		t.Error("no call probed the destination a window later")
	}
	if place("4") != "" {
		t.Error("two calls probed a busy destination within one window")
	}
}

// A redialed call that is not marked as such is recognized by its number, and is throttled before new calls.
func TestRedialIsHeldBackFirst(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	tc.offerSteadily(100*millisecond, 4*time.Second, 50*millisecond)
	tc.offerCall(CallOffered{CallID: "x1", Class: "read", Number: "n", Deadline: tc.now + millisecond})
	tc.advance(2 * time.Second)
	s := tc.machine.servers[0]
	s.limit.rate, s.limit.overloadedAt, s.limit.tokens = 20, tc.now, 1.5
	if got := tc.offerCall(CallOffered{
		CallID: "x2", Class: "read", Number: "n", Deadline: tc.now + time.Second,
	}); got != "" {
		t.Error("a redialed call was sent while capacity was reserved for new calls")
	}
	if _, got := tc.offer("read", 0); got == "" {
		t.Error("a new call was not sent")
	}
}

// The call of a rejected caller who redials within the latency objective keeps its priority.
func TestEarlyRedialKeepsPriority(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	c := &call{number: "n", class: tc.machine.classes["read"]}
	if tc.machine.isRedial(c, false) {
		t.Error("the first call to a number counts as redialed")
	}
	tc.advance(700 * millisecond)
	if tc.machine.isRedial(c, true) {
		t.Error("a call repeated within the latency objective counts as redialed")
	}
	if !tc.machine.isRedial(c, false) {
		t.Error("the third call to a number does not count as redialed")
	}
}

// Emergency calls are sent where normal calls are throttled.
func TestEmergencyPriority(t *testing.T) {
	settings := testSettings()
	for _, isEmergency := range []bool{false, true} {
		engine, err := NewEngine(Time(time.Hour), settings, 1, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		now := Time(time.Hour)
		engine.UpdateServers(now, []Server{{ID: "a", Pool: 0}}, true)
		sent := 0
		for i := range 20 { // a burst, in which normal calls are limited to the server's proven burst
			decision := engine.Place(now, Request{
				CallID: string(rune('a' + i)), Class: settings.Classes[0].Name,
				Deadline: now + time.Second, Emergency: isEmergency,
			})
			if decision.Kind == DecisionSend {
				sent++
			}
			// Later answers are slower than the first one, so the burst does not grow and the tokens run out.
			elapsed := min(time.Duration(1+99*i), 100) * time.Millisecond
			engine.Report(now, AttemptReport{
				CallID: string(rune('a' + i)), Server: "a", Kind: ReportEstablished, Elapsed: elapsed,
			})
		}
		if isEmergency != (sent == 20) {
			t.Errorf("emergency %v: %d of 20 sent", isEmergency, sent)
		}
	}
}

// Unlike a normal call, an emergency call is not rejected because its destination was busy recently.
func TestEmergencyToBusyDestination(t *testing.T) {
	now := Time(time.Hour)
	settings := testSettings()
	engine, err := NewEngine(now, settings, 1, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	engine.UpdateServers(now, []Server{{ID: "a", Pool: 0}}, true)
	place := func(id string, isEmergency bool) Decision {
		now += 5 * time.Millisecond
		return engine.Place(now, Request{
			CallID: id, Class: settings.Classes[0].Name, Number: "133", Deadline: now + time.Second,
			Emergency: isEmergency,
		})
	}
	rejectedCall := ""
	for i := range 12 { // callers find the destination busy
		id := string(rune('a' + i))
		decision := place(id, false)
		if decision.Kind == DecisionReject && decision.Reason == ReasonDestinationCongested {
			rejectedCall = id
			break
		}
		if decision.Kind == DecisionSend {
			engine.Report(now, AttemptReport{
				CallID: id, Server: decision.Server, Kind: ReportEnded, Result: ResultServerError,
				Cause: CauseDestinationBusy, Elapsed: time.Millisecond,
			})
		}
	}
	if rejectedCall == "" {
		t.Fatal("no call was rejected because of its busy destination")
	}
	if decision := place("emergency", true); decision.Kind != DecisionSend {
		t.Errorf("an emergency call to the same number: %+v", decision)
	}
}

// If all servers are overloaded, a controller with few calls at each of many servers does not wait until each one
// appears slow: its unanswered attempts are bounded by the answer rate of all servers together. Without that bound,
// a hundred controllers jointly overloaded every server, and for 12 s after a burst of 4 only 330 instead of 450
// calls per second were established.
func TestManyServersOverloaded(t *testing.T) {
	tc := newControllerOfManyServers(t)
	sent := 0
	for i := range 24 { // one call per server within 2.4 s, none of which is answered
		if _, server := tc.offer("read", i); server != "" {
			sent++
		}
		tc.advance(100 * millisecond)
	}
	if maxSent := burstSize + 1 + int(4*tc.machine.latencyThreshold.Seconds()+1); sent > maxSent || sent < 2 {
		t.Errorf("%d calls were sent while none was answered, after 4 answers per second: want 2 to %d", sent, maxSent)
	}
	if id, server := tc.offer("read", 3); server != "" || !tc.isDeleted(id) {
		t.Errorf("a further call went to %q or was not rejected immediately", server)
	}
	if server := tc.offerCall(CallOffered{
		CallID: "interrupted", Class: "read", Number: "7", PreferredPool: 3,
		Deadline: tc.now + 3*time.Second, Reestablish: true,
	}); server == "" {
		t.Error("a reestablished call was throttled")
	}
}

// Servers that answer quickly receive all calls, regardless of the number of unanswered attempts.
func TestManyServersQuickRise(t *testing.T) {
	tc := newControllerOfManyServers(t)
	type sentCall struct {
		id, server string
		due        Time
	}
	var unanswered []sentCall
	rejected := 0
	for i := range 240 { // 20 calls per second after 4 per second
		if id, s := tc.offer("read", i%24); s != "" {
			unanswered = append(unanswered, sentCall{id, s, tc.now + 120*millisecond})
		} else {
			rejected++
		}
		tc.advance(50 * millisecond)
		for len(unanswered) > 0 && unanswered[0].due <= tc.now {
			tc.establish(unanswered[0].id, unanswered[0].server, 120*millisecond)
			unanswered = unanswered[1:]
		}
	}
	if rejected > 0 {
		t.Errorf("%d of 240 calls were rejected while all were answered within 120 ms", rejected)
	}
}

// A call without a number never counts as redialed and is not recorded in the tables of numbers.
func TestCallWithoutNumber(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA)
	for i := range 5 {
		id := fmt.Sprint("x", i)
		if s := tc.offerCall(CallOffered{CallID: id, Class: "read", Deadline: tc.now + time.Second}); s != "a" {
			t.Fatalf("call %d without a number went to %q", i, s)
		}
		tc.endAttempt(id, "a", ResultServerError, CauseDestinationBusy)
		tc.advance(tc.machine.period)
	}
	if n := len(tc.machine.dialedNumbers) + len(tc.machine.busyNumbers); n != 0 {
		t.Errorf("%d numbers are recorded, want 0", n)
	}
}
