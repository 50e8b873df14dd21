package admission

import (
	"testing"
	"time"
)

func TestPreferredPool(t *testing.T) {
	r := newTestController(t, testSettings(), serverA, serverB)
	for first, want := range []string{"a", "b"} {
		if _, got := r.offer("read", first); got != want {
			t.Errorf("first choice %d went to %q, want %q", first, got, want)
		}
	}
}

func TestOverflowPrefersFewerPending(t *testing.T) {
	c := Server{ID: "c", Pool: 2}
	r := newTestController(t, testSettings(), serverA, serverB, c)
	r.machine.servers[0].backoffUntil = r.now + time.Hour // the first choice holds back
	r.machine.servers[1].attempts.pending = make([]*call, 3)
	for i := range r.machine.servers[1].attempts.pending {
		r.machine.servers[1].attempts.pending[i] = &call{sentAt: r.now}
	}
	r.machine.poolPeakRates[1] = 100
	got := map[string]int{}
	for range 200 {
		k := &call{class: r.machine.classes["read"], priority: priorityNormal}
		r.machine.servers[1].ramp.tokens, r.machine.servers[2].ramp.tokens = 2, 2
		got[r.machine.selectServer(k).ID]++
	}
	if got["c"] < 130 || got["b"] == 0 || got["a"] != 0 {
		t.Errorf("picks %v: want about three quarters at c, the rest at b", got)
	}
}

func TestRejectWithoutServers(t *testing.T) {
	r := newTestController(t, testSettings())
	if _, s := r.offer("read", 0); s != "" || !hasAction[RejectCall](r.actions) {
		t.Errorf("without servers: %v, want a refusal", r.actions)
	}
}

// Rule 3.
func TestNoAttemptToDrainingServer(t *testing.T) {
	for _, phase := range []ServerState{Draining, Removed} {
		r := newTestController(t, testSettings(), serverA)
		r.handle(ServersUpdated{Servers: []Server{{ID: "a", State: phase}}})
		if _, s := r.offer("write", 0); s != "" {
			t.Errorf("phase %v: a call was sent", phase)
		}
	}
	r := newTestController(t, testSettings(), serverA, serverB)
	r.handle(ServersUpdated{Full: true, Servers: []Server{serverB}})
	if _, s := r.offer("read", 0); s == "a" {
		t.Error("a call went to a server that a full list lacks")
	}
}

// A call goes to its permitted pools only, in their order, and to none where all of them are out.
func TestPermittedPools(t *testing.T) {
	settings := testSettings()
	c, err := NewStateMachine(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := Time(time.Hour)
	c.Begin(now)
	c.Handle(now, ServersUpdated{Full: true, Servers: []Server{{ID: "a", Pool: 0}, {ID: "b", Pool: 1}, {ID: "c", Pool: 2}}})
	ask := func(id string, pools ...int) string {
		now += 50 * time.Millisecond
		acts := c.Handle(now, CallOffered{CallID: id, Class: settings.Classes[0].Name, PreferredPool: pools[0], Pools: pools, Deadline: now + time.Second})
		for _, a := range acts {
			if s, ok := a.(SendAttempt); ok {
				c.Handle(now, CallEstablished{CallID: id, Server: s.Server, SetupTime: time.Millisecond})
				return s.Server
			}
		}
		return ""
	}
	if got := ask("1", 2, 1); got != "c" {
		t.Errorf("the preferred pool is 2, sent to %q", got)
	}
	c.Handle(now, ServersUpdated{Servers: []Server{{ID: "c", Pool: 2, State: Draining}}})
	if got := ask("2", 2, 1); got != "b" {
		t.Errorf("the next pool is 1, sent to %q", got)
	}
	c.Handle(now, ServersUpdated{Servers: []Server{{ID: "b", Pool: 1, State: Removed}}})
	if got := ask("3", 2, 1); got != "" {
		t.Errorf("all permitted pools are out, sent to %q", got)
	}
}

func TestOverflowSparesSmallServers(t *testing.T) {
	small, large := 0, 0
	full := func(r *testController, name string, free, lines float64) {
		r.handle(LoadReported{Server: name, OK: true, Load: LoadReport{FreeCircuits: Optional{free, true}, TotalCircuits: Optional{lines, true}}})
	}
	for _, r := range newTestControllers(t, 300, serverA, serverB, Server{ID: "c", Pool: 2}) {
		full(r, "a", 0, 100)
		full(r, "b", 100, 120)
		full(r, "c", 100, 280)
		switch _, s := r.offer("read", 0); s {
		case "b":
			small++
		case "c":
			large++
		default:
			t.Fatalf("a call for a server without lines went to %q", s)
		}
	}
	if small > large/4 {
		t.Errorf("overflow of 300 nodes: %d to the server with 20 calls, %d to the one with 180", small, large)
	}
}

func TestOverflowTokensOfManyControllers(t *testing.T) {
	sent := 0
	for _, r := range newTestControllers(t, 200, serverB, serverA) { // every node sends b a call in ten seconds
		for range 3 {
			id, s := r.offer("read", 1)
			r.establish(id, s, 50*millisecond)
			r.advance(10 * time.Second)
		}
		r.handle(LoadReported{Server: "a", OK: true, Load: LoadReport{FreeCircuits: Optional{0, true}}})
		for range 3 {
			if _, s := r.offer("read", 0); s == "b" {
				sent++
			}
		}
	}
	if sent == 0 || sent > 240 {
		t.Errorf("200 nodes sent %d overflow calls at once to a server that they send 20 a second", sent)
	}
}

// Small servers must not be overrun by everybody's second choices.
func TestOverflowRamp(t *testing.T) {
	r := newTestController(t, testSettings(), serverA, serverB)
	r.handle(ServersUpdated{Servers: []Server{{ID: "a", State: Draining}}})
	sent := 0
	for range 50 {
		if _, s := r.offer("read", 0); s == "b" {
			sent++
		}
	}
	if sent > burstSize {
		t.Errorf("%d second choices went to an unproven server at once", sent)
	}
}
