package admission

import (
	"testing"
	"time"
)

func TestPreferredPool(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA, serverB)
	for pool, want := range []string{"a", "b"} {
		if _, got := tc.offer("read", pool); got != want {
			t.Errorf("a call that prefers pool %d went to %q, want %q", pool, got, want)
		}
	}
}

func TestOverflowPrefersFewerPending(t *testing.T) {
	c := Server{ID: "c", Pool: 2}
	tc := newTestController(t, testSettings(), serverA, serverB, c)
	tc.machine.servers[0].backoffUntil = tc.now + time.Hour // the preferred pool accepts no calls
	tc.machine.servers[1].attempts.pending = make([]*call, 3)
	for i := range tc.machine.servers[1].attempts.pending {
		tc.machine.servers[1].attempts.pending[i] = &call{sentAt: tc.now}
	}
	tc.machine.poolPeakRates[1] = 100
	got := map[string]int{}
	for range 200 {
		nextCall := &call{class: tc.machine.classes["read"], priority: priorityNormal}
		tc.machine.servers[1].ramp.tokens, tc.machine.servers[2].ramp.tokens = 2, 2
		got[tc.machine.selectServer(nextCall).ID]++
	}
	if got["c"] < 130 || got["b"] == 0 || got["a"] != 0 {
		t.Errorf("got %v, want about three quarters at c and the rest at b", got)
	}
}

func TestRejectWithoutServers(t *testing.T) {
	tc := newTestController(t, testSettings())
	if _, s := tc.offer("read", 0); s != "" || !hasAction[RejectCall](tc.actions) {
		t.Errorf("got %v without servers, want a rejection", tc.actions)
	}
}

// Draining and removed servers receive no attempt.
func TestNoAttemptToDrainingServer(t *testing.T) {
	for _, state := range []ServerState{Draining, Removed} {
		tc := newTestController(t, testSettings(), serverA)
		tc.handle(ServersUpdated{Servers: []Server{{ID: "a", State: state}}})
		if _, s := tc.offer("write", 0); s != "" {
			t.Errorf("state %v: a call was sent", state)
		}
	}
	tc := newTestController(t, testSettings(), serverA, serverB)
	tc.handle(ServersUpdated{Full: true, Servers: []Server{serverB}})
	if _, s := tc.offer("read", 0); s == "a" {
		t.Error("a call went to a server that is missing from a full list")
	}
}

// A call goes only to its permitted pools, in their order, and is not sent if none of them is active.
func TestPermittedPools(t *testing.T) {
	settings := testSettings()
	machine, err := NewStateMachine(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := Time(time.Hour)
	machine.Begin(now)
	machine.Handle(now, ServersUpdated{
		Full: true, Servers: []Server{{ID: "a", Pool: 0}, {ID: "b", Pool: 1}, {ID: "c", Pool: 2}},
	})
	place := func(id string, pools ...int) string {
		now += 50 * time.Millisecond
		acts := machine.Handle(now, CallOffered{
			CallID: id, Class: settings.Classes[0].Name, PreferredPool: pools[0], Pools: pools,
			Deadline: now + time.Second,
		})
		for _, a := range acts {
			if s, ok := a.(SendAttempt); ok {
				machine.Handle(now, CallEstablished{CallID: id, Server: s.Server, SetupTime: time.Millisecond})
				return s.Server
			}
		}
		return ""
	}
	if got := place("1", 2, 1); got != "c" {
		t.Errorf("call with preferred pool 2 went to %q, want c", got)
	}
	machine.Handle(now, ServersUpdated{Servers: []Server{{ID: "c", Pool: 2, State: Draining}}})
	if got := place("2", 2, 1); got != "b" {
		t.Errorf("call with pool 1 as the next one went to %q, want b", got)
	}
	machine.Handle(now, ServersUpdated{Servers: []Server{{ID: "b", Pool: 1, State: Removed}}})
	if got := place("3", 2, 1); got != "" {
		t.Errorf("call without an active permitted pool went to %q", got)
	}
}

func TestOverflowSparesSmallServers(t *testing.T) {
	small, large := 0, 0
	reportCircuits := func(tc *testController, name string, free, total float64) {
		tc.handle(LoadReported{
			Server: name, OK: true,
			Load: LoadReport{FreeCircuits: Optional{free, true}, TotalCircuits: Optional{total, true}},
		})
	}
	for _, tc := range newTestControllers(t, 300, serverA, serverB, Server{ID: "c", Pool: 2}) {
		reportCircuits(tc, "a", 0, 100)
		reportCircuits(tc, "b", 100, 120)
		reportCircuits(tc, "c", 100, 280)
		switch _, s := tc.offer("read", 0); s {
		case "b":
			small++
		case "c":
			large++
		default:
			t.Fatalf("a call that prefers a server without circuits went to %q", s)
		}
	}
	if small > large/4 {
		t.Errorf("overflow of 300 controllers: %d calls to the server with 20 calls, %d to the one with 180", small, large)
	}
}

func TestOverflowTokensOfManyControllers(t *testing.T) {
	sent := 0
	for _, tc := range newTestControllers(t, 200, serverB, serverA) { // each sends one call per ten seconds to b
		for range 3 {
			id, s := tc.offer("read", 1)
			tc.establish(id, s, 50*millisecond)
			tc.advance(10 * time.Second)
		}
		tc.handle(LoadReported{Server: "a", OK: true, Load: LoadReport{FreeCircuits: Optional{0, true}}})
		for range 3 {
			if _, s := tc.offer("read", 0); s == "b" {
				sent++
			}
		}
	}
	if sent == 0 || sent > 240 {
		t.Errorf("200 controllers sent %d overflow calls at once to a server that gets 20 calls per second from them", sent)
	}
}

// The combined overflow of all controllers must not overload a small server.
func TestOverflowRamp(t *testing.T) {
	tc := newTestController(t, testSettings(), serverA, serverB)
	tc.handle(ServersUpdated{Servers: []Server{{ID: "a", State: Draining}}})
	sent := 0
	for range 50 {
		if _, s := tc.offer("read", 0); s == "b" {
			sent++
		}
	}
	if sent > burstSize {
		t.Errorf("%d overflow calls went to an unproven server at once", sent)
	}
}
