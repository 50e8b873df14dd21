package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const millisecond = time.Millisecond

// testSettings are made up for the tests.
func testSettings() Settings {
	return Settings{
		ControllerCount: 4, Topology: "pools", MaxAttempts: 3, CanCancel: true,
		ResendInterval: 600 * millisecond, RetryGuard: 250 * millisecond,
		SlowStartPeriod: 10 * time.Second, SlowStartShare: 0.4,
		Classes: []Class{
			{Name: "read", LatencyObjective: 1400 * millisecond, Deadline: 8 * time.Second, Weight: 1, LateWeightFactor: 0.2},
			{Name: "write", LatencyObjective: 1000 * millisecond, Deadline: 6 * time.Second, Weight: 5, LateWeightFactor: 0.2},
		},
	}
}

// A testController hands events to a Controller and keeps its timers.
type testController struct {
	t            *testing.T
	machine      *StateMachine
	now          Time
	actions      []Action
	timers       []SetTimer
	offeredCalls int
}

func newTestController(t *testing.T, set Settings, servers ...Server) *testController {
	t.Helper()
	c, err := NewStateMachine(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &testController{t: t, machine: c, now: time.Hour}
	r.collect(c.Begin(r.now))
	r.handle(ServersUpdated{Full: true, Cached: true, Servers: servers})
	return r
}

// newTestControllers makes many nodes that share nothing but their settings.
func newTestControllers(t *testing.T, n int, servers ...Server) []*testController {
	t.Helper()
	set := testSettings()
	set.ControllerCount = n
	var nodes []*testController
	for seed := range n {
		c, err := NewStateMachine(set, uint64(seed))
		if err != nil {
			t.Fatal(err)
		}
		r := &testController{t: t, machine: c, now: time.Hour}
		r.collect(c.Begin(r.now))
		r.handle(ServersUpdated{Full: true, Cached: true, Servers: servers})
		nodes = append(nodes, r)
	}
	return nodes
}

// newControllerOfManyServers is a node of a fleet of a hundred, which sees few calls at each of 24 servers. It has had
// answers in good time for a while.
func newControllerOfManyServers(t *testing.T) *testController {
	t.Helper()
	set := testSettings()
	set.ControllerCount = 100
	var all []Server
	for i := range 24 {
		all = append(all, Server{ID: fmt.Sprint("s", i), Pool: i})
	}
	r := newTestController(t, set, all...)
	for i := range 60 {
		if id, s := r.offer("read", i%24); s != "" {
			r.establish(id, s, 60*millisecond)
		}
		r.advance(250 * millisecond)
	}
	return r
}

func (r *testController) collect(acts []Action) []Action {
	for _, a := range acts {
		if d, ok := a.(SetTimer); ok {
			r.timers = append(r.timers, d)
			continue
		}
		r.actions = append(r.actions, a)
	}
	return acts
}

func (r *testController) handle(e Event) []Action {
	r.actions = nil
	r.collect(r.machine.Handle(r.now, e))
	return r.actions
}

// advance lets time go by in steps of 5 ms, rings what is due and returns all actions.
func (r *testController) advance(d time.Duration) []Action {
	var all []Action
	for end := r.now + d; r.now < end; {
		r.now = min(r.now+5*millisecond, end)
		due := []SetTimer{}
		r.timers = slices.DeleteFunc(r.timers, func(b SetTimer) bool {
			if b.At <= r.now {
				due = append(due, b)
				return true
			}
			return false
		})
		for _, b := range due {
			all = append(all, r.handle(TimerFired{Key: b.Key})...)
		}
	}
	return all
}

// offer hands in a fresh call and tells the server it was sent to, "" if refused.
func (r *testController) offer(class string, first int) (id, server string) {
	r.offeredCalls++
	id = fmt.Sprintf("%016x", r.offeredCalls)
	return id, r.offerCall(CallOffered{CallID: id, Class: class, Number: id, PreferredPool: first, Deadline: r.now + 3*time.Second})
}

func (r *testController) offerCall(e CallOffered) string { return sentServer(r.handle(e)) }

func sentServer(acts []Action) string {
	for _, a := range acts {
		if s, ok := a.(SendAttempt); ok {
			return s.Server
		}
	}
	return ""
}

func (r *testController) establish(id, server string, took time.Duration) {
	r.handle(CallEstablished{CallID: id, Server: server, SetupTime: took})
}

func (r *testController) endAttempt(id, server string, code AttemptResult, cause FailureCause) []Action {
	return r.handle(AttemptEnded{CallID: id, Server: server, Result: code, Cause: cause})
}

func hasAction[T Action](acts []Action) bool {
	return slices.ContainsFunc(acts, func(a Action) bool { _, ok := a.(T); return ok })
}

var serverA, serverB = Server{ID: "a", Pool: 0}, Server{ID: "b", Pool: 1}

// offerSteadily has the first pool answer one call each gap for d.
func (r *testController) offerSteadily(gap, d, took time.Duration) (sent int) {
	for end := r.now + d; r.now < end; {
		if id, s := r.offer("read", 0); s != "" {
			sent++
			r.establish(id, s, took)
			r.handle(AttemptEnded{CallID: id, Server: s, Result: Delivered, Final: true})
		}
		r.advance(gap)
	}
	return sent
}

// isForgotten tells whether a call has its final answer.
func (r *testController) isForgotten(id string) bool { return r.machine.calls.byID[id] == nil }
