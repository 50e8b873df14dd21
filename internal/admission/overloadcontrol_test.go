package admission

import (
	"testing"
	"time"
)

// fakeOverloadControl is a Fleet that says what a test has it say, and notes what it is fakeOverloadControl.
type fakeOverloadControl struct {
	throttle      func(server string, tier int, first bool) (Reason, bool)
	throttleCalls int
	offered       map[string]int
	sent          map[string]int
	unanswered    map[string]int
	overloads     int
}

func (f *fakeOverloadControl) RecordOffered(_ Time, server string, _ int) { f.offered[server]++ }
func (f *fakeOverloadControl) RecordSent(_ Time, server string, _ bool) {
	f.sent[server]++
	f.unanswered[server]++
}
func (f *fakeOverloadControl) RecordResult(_ Time, server string, _ bool, _ time.Duration) {
	f.unanswered[server]--
}
func (f *fakeOverloadControl) RecordOverload(Time, string) { f.overloads++ }
func (f *fakeOverloadControl) Throttle(_ Time, server string, tier int, first bool) (Reason, bool) {
	f.throttleCalls++
	return f.throttle(server, tier, first)
}

func newFakeOverloadControl(holds func(server string, tier int, first bool) (Reason, bool)) *fakeOverloadControl {
	return &fakeOverloadControl{throttle: holds, offered: map[string]int{}, sent: map[string]int{}, unanswered: map[string]int{}}
}

// The fleet's word holds a call back from its first choice; the call goes to another, and is refused with
// the fleet as the reason where there is none.
func TestOverloadControlHoldsBack(t *testing.T) {
	r := newTestController(t, testSettings(), Server{ID: "s0"}, Server{ID: "s1", Pool: 1})
	held := map[string]bool{"s0": true}
	f := newFakeOverloadControl(func(server string, _ int, _ bool) (Reason, bool) {
		if held[server] {
			return ReasonFleetThrottle, true
		}
		return "", true
	})
	r.machine.overloadControl = f
	if _, s := r.offer("read", 0); s != "s1" {
		t.Errorf("a call held back from s0 went to %q, want s1", s)
	}
	held["s1"] = true
	acts := r.handle(CallOffered{CallID: "x", Class: "read", Number: "9", Deadline: r.now + time.Second})
	why := Reason("none")
	for _, a := range acts {
		if a, is := a.(RejectCall); is {
			why = a.Reason
		}
	}
	if why != ReasonFleetThrottle {
		t.Errorf("a call held back from both was answered %v, want a refusal with reason %q", acts, ReasonFleetThrottle)
	}
	if f.offered["s0"] != 2 || f.sent["s1"] != 1 {
		t.Errorf("the fleet was told of %v offered and %v sent", f.offered, f.sent)
	}
}

// No word of the fleet has a set-up sent where this node's own list or evidence forbids it: it is not even
// asked.
func TestOverloadControlOpensNothing(t *testing.T) {
	all := func(string, int, bool) (Reason, bool) { return "", true }
	for _, c := range []struct {
		name string
		do   func(r *testController)
	}{
		{"draining", func(r *testController) { r.handle(ServersUpdated{Servers: []Server{{ID: "s0", State: Draining}}}) }},
		{"gone", func(r *testController) { r.handle(ServersUpdated{Servers: []Server{{ID: "s0", State: Removed}}}) }},
		{"asked to be left alone", func(r *testController) { r.machine.servers[0].backoffUntil = r.now + time.Second }},
		{"without a free line", func(r *testController) {
			r.machine.servers[0].circuits.free, r.machine.servers[0].circuits.freeUntil = 0, r.now+time.Second
		}},
		{"cold and sent its share", func(r *testController) {
			r.machine.servers[0].ramp.inSlowStart, r.machine.servers[0].ramp.tokens = true, 0
		}},
		{"flooded", func(r *testController) {
			for range 40 {
				r.offer("read", 0)
			}
		}},
	} {
		r := newTestController(t, testSettings(), Server{ID: "s0"})
		f := newFakeOverloadControl(all)
		r.machine.overloadControl = f
		c.do(r)
		f.throttleCalls = 0
		if _, s := r.offer("read", 0); s != "" || f.throttleCalls > 0 {
			t.Errorf("%s: the call went to %q, the fleet was asked %d times", c.name, s, f.throttleCalls)
		}
	}
}

// Each set-up that is sent comes back once, however it ends; slow answers are told as pressure.
func TestOverloadControlGetsEachResult(t *testing.T) {
	for seed := range uint64(10) {
		s := newRandomEvents(t, seed)
		f := newFakeOverloadControl(func(string, int, bool) (Reason, bool) { return "", false })
		s.machine.overloadControl = f
		for range 1500 {
			s.step()
		}
		s.endAll()
		for server, n := range f.unanswered {
			if n != 0 {
				t.Errorf("seed %d: %d set-ups sent to %s did not come back, or came twice", seed, n, server)
			}
		}
		if f.overloads == 0 {
			t.Errorf("seed %d: no pressure was told", seed)
		}
	}
}
