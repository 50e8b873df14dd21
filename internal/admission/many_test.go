package admission

import (
	"fmt"
	"testing"
	"time"
)

// wide is a node of a fleet of a hundred, which sees few calls at each of 24 servers. It has had
// answers in good time for a while.
func wide(t *testing.T) *rig {
	t.Helper()
	set := testSettings()
	set.ControllerCount = 100
	var all []Server
	for i := range 24 {
		all = append(all, Server{ID: fmt.Sprint("s", i), Pool: i})
	}
	r := newRig(t, set, all...)
	for i := range 60 {
		if id, s := r.ask("read", i%24); s != "" {
			r.stands(id, s, 60*ms)
		}
		r.pass(250 * ms)
	}
	return r
}

// Where all servers are in a jam, a node of many servers and few calls at each does not wait until each
// of them looks slow to it: what it has out in all goes by what was answered to it in all. (Each of a
// hundred nodes once sent every server the calls that it could not know to be too many: 330 calls a
// second stood where 450 had, for 12 s after a burst of 4.)
func TestNodeOfManyServersHoldsBackInAJam(t *testing.T) {
	r := wide(t)
	sent := 0
	for i := range 24 { // a call for each in 2.4 s, and nobody answers any more
		if _, s := r.ask("read", i); s != "" {
			sent++
		}
		r.pass(100 * ms)
	}
	if most := burstSize + 1 + int(4*r.c.latencyThreshold.Seconds()+1); sent > most || sent < 2 {
		t.Errorf("%d calls were sent while none was answered, at 4/s answered before: want 2 to %d", sent, most)
	}
	if id, s := r.ask("read", 3); s != "" || !r.answered(id) {
		t.Errorf("a further call went to %q, or was not refused at once", s)
	}
	if s := r.askAs(CallOffered{CallID: "cut", Class: "read", Number: "7", PreferredPool: 3, Deadline: r.now + 3*time.Second, Reestablish: true}); s == "" {
		t.Error("a call that was cut and comes again was held back")
	}
}

// answered tells whether a call has its final answer.
func (r *rig) answered(id string) bool { return r.c.calls.byID[id] == nil }

// Servers that answer quickly are sent as many calls as ever, however many are out at once.
func TestNodeOfManyServersFollowsAQuickRise(t *testing.T) {
	r := wide(t)
	type out struct {
		id, server string
		due        Time
	}
	var under []out
	refused := 0
	for i := range 240 { // twenty calls a second where there were four
		if id, s := r.ask("read", i%24); s != "" {
			under = append(under, out{id, s, r.now + 120*ms})
		} else {
			refused++
		}
		r.pass(50 * ms)
		for len(under) > 0 && under[0].due <= r.now {
			r.stands(under[0].id, under[0].server, 120*ms)
			under = under[1:]
		}
	}
	if refused > 0 {
		t.Errorf("%d of 240 calls were refused while all were answered within 120 ms", refused)
	}
}

// A lone set-up that waits is called off while answers elsewhere are quick, as its server may be silent,
// and is left alone where they are late: there it would only add its work at the next server to what it
// has begun at the first.
func TestLoneSetUpIsLeftAloneInAJam(t *testing.T) {
	for _, c := range []struct {
		took time.Duration
		want bool
	}{{60 * ms, true}, {900 * ms, false}} {
		r := wide(t)
		for i := range 12 { // what the node has heard of late
			id, s := r.ask("write", i)
			r.pass(c.took)
			if s != "" {
				r.stands(id, s, c.took)
			}
		}
		id, s := r.ask("read", 20)
		if s != "s20" {
			t.Fatalf("answers after %v: the call went to %q", c.took, s)
		}
		off := false
		for i := range 8 { // another server answers quickly all the while, and a third as before
			other, o := r.ask("write", 12+i%4)
			third, p := r.ask("write", 16+i%4)
			for _, a := range r.pass(150 * ms) {
				x, is := a.(CancelAttempt)
				off = off || is && x.CallID == id
			}
			if o != "" {
				r.stands(other, o, 60*ms)
			}
			if p != "" {
				r.stands(third, p, c.took)
			}
		}
		if off != c.want {
			t.Errorf("answers after %v: called off %v, want %v", c.took, off, c.want)
		}
	}
}

// A ceiling of so many set-ups a window and a part of one more lets that part of the nodes send one more.
// (All rounded it down: a fleet of 300 that could send 2.2 in each window sent 2, and exchanges worked 91%
// of the time where 97% were to be had.)
func TestCeilingsOfManyNodesAddUp(t *testing.T) {
	const nodes, perWindow = 400, 2.4
	sent := 0
	for seed := range uint64(nodes) {
		set := testSettings()
		set.ControllerCount = nodes
		c, err := NewStateMachine(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, c: c, now: time.Hour}
		r.take(c.Begin(r.now))
		r.feed(ServersUpdated{Full: true, Cached: true, Servers: []Server{a}})
		r.pass(10 * c.window)
		s := c.servers[0]
		c.recordOverload(s, c.latencyThreshold*3/2)
		s.limit.rate = perWindow / highShare / c.span(s)
		for range 6 { // all at once, of top worth: the window alone holds them back
			s.limit.tokens = burstSize
			if _, to := r.ask("write", 0); to != "" {
				sent++
				s.attempts.pending, c.unansweredAttempts = nil, 0
			}
		}
	}
	if mean := float64(sent) / nodes; mean < perWindow-0.15 || mean > perWindow+0.15 {
		t.Errorf("%.2f set-ups a node in a window that may hold %.1f", mean, perWindow)
	}
}
