package admission

import (
	"testing"
	"time"
)

// told is a Fleet that says what a test has it say, and notes what it is told.
type told struct {
	holds   func(server string, tier int, first bool) (Reason, bool)
	asked   int
	offered map[string]int
	sent    map[string]int
	waiting map[string]int
	pressed int
}

func (f *told) RecordOffered(_ Time, server string, _ int) { f.offered[server]++ }
func (f *told) RecordSent(_ Time, server string, _ bool) {
	f.sent[server]++
	f.waiting[server]++
}
func (f *told) RecordResult(_ Time, server string, _ bool, _ time.Duration) { f.waiting[server]-- }
func (f *told) RecordOverload(Time, string)                                 { f.pressed++ }
func (f *told) Throttle(_ Time, server string, tier int, first bool) (Reason, bool) {
	f.asked++
	return f.holds(server, tier, first)
}

func newTold(holds func(server string, tier int, first bool) (Reason, bool)) *told {
	return &told{holds: holds, offered: map[string]int{}, sent: map[string]int{}, waiting: map[string]int{}}
}

// The fleet's word holds a call back from its first choice; the call goes to another, and is refused with
// the fleet as the reason where there is none.
func TestFleetHoldsBack(t *testing.T) {
	r := newRig(t, testSettings(), Server{ID: "s0"}, Server{ID: "s1", Pool: 1})
	held := map[string]bool{"s0": true}
	f := newTold(func(server string, _ int, _ bool) (Reason, bool) {
		if held[server] {
			return ReasonFleetThrottle, true
		}
		return "", true
	})
	r.c.overloadControl = f
	if _, s := r.ask("read", 0); s != "s1" {
		t.Errorf("a call held back from s0 went to %q, want s1", s)
	}
	held["s1"] = true
	acts := r.feed(CallOffered{CallID: "x", Class: "read", Number: "9", Deadline: r.now + time.Second})
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
func TestFleetOpensNothing(t *testing.T) {
	all := func(string, int, bool) (Reason, bool) { return "", true }
	for _, c := range []struct {
		name string
		do   func(r *rig)
	}{
		{"draining", func(r *rig) { r.feed(ServersUpdated{Servers: []Server{{ID: "s0", State: Draining}}}) }},
		{"gone", func(r *rig) { r.feed(ServersUpdated{Servers: []Server{{ID: "s0", State: Removed}}}) }},
		{"asked to be left alone", func(r *rig) { r.c.servers[0].backoffUntil = r.now + time.Second }},
		{"without a free line", func(r *rig) { r.c.servers[0].circuits.free, r.c.servers[0].circuits.freeUntil = 0, r.now+time.Second }},
		{"cold and sent its share", func(r *rig) { r.c.servers[0].ramp.inSlowStart, r.c.servers[0].ramp.tokens = true, 0 }},
		{"flooded", func(r *rig) {
			for range 40 {
				r.ask("read", 0)
			}
		}},
	} {
		r := newRig(t, testSettings(), Server{ID: "s0"})
		f := newTold(all)
		r.c.overloadControl = f
		c.do(r)
		f.asked = 0
		if _, s := r.ask("read", 0); s != "" || f.asked > 0 {
			t.Errorf("%s: the call went to %q, the fleet was asked %d times", c.name, s, f.asked)
		}
	}
}

// Each set-up that is sent comes back once, however it ends; slow answers are told as pressure.
func TestFleetIsToldOfEachEnd(t *testing.T) {
	for seed := range uint64(10) {
		s := newStorm(t, seed)
		f := newTold(func(string, int, bool) (Reason, bool) { return "", false })
		s.c.overloadControl = f
		for range 1500 {
			s.step()
		}
		s.drain()
		for server, n := range f.waiting {
			if n != 0 {
				t.Errorf("seed %d: %d set-ups sent to %s did not come back, or came twice", seed, n, server)
			}
		}
		if f.pressed == 0 {
			t.Errorf("seed %d: no pressure was told", seed)
		}
	}
}
