package admission

import (
	"testing"
	"time"
)

// A fakeOverloadControl throttles by a function of the test and counts the recorded events.
type fakeOverloadControl struct {
	throttle      func(server string, priority Priority, preferred bool) (Reason, bool)
	throttleCalls int
	offered       map[string]int
	sent          map[string]int
	unanswered    map[string]int
	overloads     int
}

func (f *fakeOverloadControl) RecordOffered(_ Time, server string, _ Priority) { f.offered[server]++ }
func (f *fakeOverloadControl) RecordSent(_ Time, server string, _ bool) {
	f.sent[server]++
	f.unanswered[server]++
}
func (f *fakeOverloadControl) RecordResult(_ Time, server string, _ bool, _ time.Duration) {
	f.unanswered[server]--
}
func (f *fakeOverloadControl) RecordOverload(Time, string) { f.overloads++ }
func (f *fakeOverloadControl) Throttle(_ Time, server string, priority Priority, preferred bool) (Reason, bool) {
	f.throttleCalls++
	return f.throttle(server, priority, preferred)
}

func newFakeOverloadControl(throttle func(server string, priority Priority, preferred bool) (Reason, bool)) *fakeOverloadControl {
	return &fakeOverloadControl{
		throttle: throttle, offered: map[string]int{}, sent: map[string]int{},
		unanswered: map[string]int{},
	}
}

// A call that the overload control withholds from its preferred server goes to another server, or is rejected with
// ReasonFleetThrottle if there is none.
func TestOverloadControlHoldsBack(t *testing.T) {
	tc := newTestController(t, testSettings(), Server{ID: "s0"}, Server{ID: "s1", Pool: 1})
	held := map[string]bool{"s0": true}
	f := newFakeOverloadControl(func(server string, _ Priority, _ bool) (Reason, bool) {
		if held[server] {
			return ReasonFleetThrottle, true
		}
		return "", true
	})
	tc.machine.overloadControl = f
	if _, s := tc.offer("read", 0); s != "s1" {
		t.Errorf("a call withheld from s0 went to %q, want s1", s)
	}
	held["s1"] = true
	acts := tc.handle(CallOffered{CallID: "x", Class: "read", Number: "9", Deadline: tc.now + time.Second})
	reason := Reason("none")
	for _, a := range acts {
		if a, is := a.(RejectCall); is {
			reason = a.Reason
		}
	}
	if reason != ReasonFleetThrottle {
		t.Errorf("a call withheld from both servers led to %v, want a rejection with reason %q",
			acts, ReasonFleetThrottle)
	}
	if f.offered["s0"] != 2 || f.sent["s1"] != 1 {
		t.Errorf("the overload control recorded offered calls %v and sent attempts %v", f.offered, f.sent)
	}
}

// The overload control is not consulted about servers that are unavailable by the server list or by the controller's
// own observations.
func TestOverloadControlOpensNothing(t *testing.T) {
	admitAll := func(string, Priority, bool) (Reason, bool) { return "", true }
	for _, c := range []struct {
		name string
		do   func(tc *testController)
	}{
		{
			"draining",
			func(tc *testController) { tc.handle(ServersUpdated{Servers: []Server{{ID: "s0", State: Draining}}}) },
		},
		{
			"removed",
			func(tc *testController) { tc.handle(ServersUpdated{Servers: []Server{{ID: "s0", State: Removed}}}) },
		},
		{"backing off", func(tc *testController) { tc.machine.servers[0].backoffUntil = tc.now + time.Second }},
		{"without a free circuit", func(tc *testController) {
			tc.machine.servers[0].circuits.free, tc.machine.servers[0].circuits.freeUntil = 0, tc.now+time.Second
		}},
		{"in slow start without a token", func(tc *testController) {
			tc.machine.servers[0].ramp.inSlowStart, tc.machine.servers[0].ramp.tokens = true, 0
		}},
		{"with a full queue", func(tc *testController) {
			for range 40 {
				tc.offer("read", 0)
			}
		}},
	} {
		tc := newTestController(t, testSettings(), Server{ID: "s0"})
		f := newFakeOverloadControl(admitAll)
		tc.machine.overloadControl = f
		c.do(tc)
		f.throttleCalls = 0
		if _, s := tc.offer("read", 0); s != "" || f.throttleCalls > 0 {
			t.Errorf("%s: the call went to %q, and Throttle was called %d times", c.name, s, f.throttleCalls)
		}
	}
}

// Exactly one result is recorded for each attempt, and late answers are recorded as overload.
func TestOverloadControlGetsEachResult(t *testing.T) {
	for seed := range uint64(10) {
		s := newRandomEvents(t, seed)
		f := newFakeOverloadControl(func(string, Priority, bool) (Reason, bool) { return "", false })
		s.machine.overloadControl = f
		for range 1500 {
			s.step()
		}
		s.endAll()
		for server, n := range f.unanswered {
			if n != 0 {
				t.Errorf("seed %d: attempts minus results is %d for server %s, want 0", seed, n, server)
			}
		}
		if f.overloads == 0 {
			t.Errorf("seed %d: no overload was recorded", seed)
		}
	}
}
