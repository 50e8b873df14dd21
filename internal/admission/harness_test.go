package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const millisecond = time.Millisecond

// testSettings returns valid settings with two classes.
func testSettings() Settings {
	return Settings{
		ControllerCount: 4, Topology: "pools", MaxAttempts: 3, CanCancel: true,
		ResendInterval: 600 * millisecond, RetryGuard: 250 * millisecond,
		SlowStartPeriod: 10 * time.Second, SlowStartShare: 0.4,
		Classes: []Class{
			{
				Name: "read", LatencyObjective: 1400 * millisecond, Deadline: 8 * time.Second,
				Weight: 1, LateWeightFactor: 0.2,
			},
			{
				Name: "write", LatencyObjective: 1000 * millisecond, Deadline: 6 * time.Second,
				Weight: 5, LateWeightFactor: 0.2,
			},
		},
	}
}

// A testController passes events to a StateMachine and manages its timers.
type testController struct {
	t            *testing.T
	machine      *StateMachine
	now          Time
	actions      []Action
	timers       []SetTimer
	offeredCalls int
}

func newTestController(t *testing.T, settings Settings, servers ...Server) *testController {
	t.Helper()
	machine, err := NewStateMachine(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	tc := &testController{t: t, machine: machine, now: time.Hour}
	tc.collect(machine.Begin(tc.now))
	tc.handle(ServersUpdated{Full: true, Cached: true, Servers: servers})
	return tc
}

// newTestControllers returns n independent controllers with the same settings and different seeds.
func newTestControllers(t *testing.T, n int, servers ...Server) []*testController {
	t.Helper()
	settings := testSettings()
	settings.ControllerCount = n
	var controllers []*testController
	for seed := range n {
		machine, err := NewStateMachine(settings, uint64(seed))
		if err != nil {
			t.Fatal(err)
		}
		tc := &testController{t: t, machine: machine, now: time.Hour}
		tc.collect(machine.Begin(tc.now))
		tc.handle(ServersUpdated{Full: true, Cached: true, Servers: servers})
		controllers = append(controllers, tc)
	}
	return controllers
}

// newControllerOfManyServers returns one of a hundred controllers, which has sent few calls to each of 24 servers
// and received timely answers for a while.
func newControllerOfManyServers(t *testing.T) *testController {
	t.Helper()
	settings := testSettings()
	settings.ControllerCount = 100
	var all []Server
	for i := range 24 {
		all = append(all, Server{ID: fmt.Sprint("s", i), Pool: i})
	}
	tc := newTestController(t, settings, all...)
	for i := range 60 {
		if id, s := tc.offer("read", i%24); s != "" {
			tc.establish(id, s, 60*millisecond)
		}
		tc.advance(250 * millisecond)
	}
	return tc
}

func (tc *testController) collect(acts []Action) []Action {
	for _, a := range acts {
		if timer, ok := a.(SetTimer); ok {
			tc.timers = append(tc.timers, timer)
			continue
		}
		tc.actions = append(tc.actions, a)
	}
	return acts
}

func (tc *testController) handle(e Event) []Action {
	tc.actions = nil
	tc.collect(tc.machine.Handle(tc.now, e))
	return tc.actions
}

// advance advances the clock in steps of 5 ms, fires the timers that are due and returns all actions.
func (tc *testController) advance(d time.Duration) []Action {
	var all []Action
	for end := tc.now + d; tc.now < end; {
		tc.now = min(tc.now+5*millisecond, end)
		due := []SetTimer{}
		tc.timers = slices.DeleteFunc(tc.timers, func(timer SetTimer) bool {
			if timer.At <= tc.now {
				due = append(due, timer)
				return true
			}
			return false
		})
		for _, timer := range due {
			all = append(all, tc.handle(TimerFired{Key: timer.Key})...)
		}
	}
	return all
}

// offer offers a new call and returns the server to which it was sent, "" if it was not sent.
func (tc *testController) offer(class string, preferredPool int) (id, server string) {
	tc.offeredCalls++
	id = fmt.Sprintf("%016x", tc.offeredCalls)
	return id, tc.offerCall(CallOffered{
		CallID: id, Class: class, Number: id, PreferredPool: preferredPool,
		Deadline: tc.now + 3*time.Second,
	})
}

func (tc *testController) offerCall(e CallOffered) string { return sentServer(tc.handle(e)) }

func sentServer(acts []Action) string {
	for _, a := range acts {
		if s, ok := a.(SendAttempt); ok {
			return s.Server
		}
	}
	return ""
}

func (tc *testController) establish(id, server string, setupTime time.Duration) {
	tc.handle(CallEstablished{CallID: id, Server: server, SetupTime: setupTime})
}

func (tc *testController) endAttempt(id, server string, result AttemptResult, cause FailureCause) []Action {
	return tc.handle(AttemptEnded{CallID: id, Server: server, Result: result, Cause: cause})
}

func hasAction[T Action](acts []Action) bool {
	return slices.ContainsFunc(acts, func(a Action) bool { _, ok := a.(T); return ok })
}

var serverA, serverB = Server{ID: "a", Pool: 0}, Server{ID: "b", Pool: 1}

// offerSteadily offers a call per interval for the given duration. Each call that is sent is established after
// setupTime and ends at once. It returns the number of calls sent.
func (tc *testController) offerSteadily(interval, duration, setupTime time.Duration) (sent int) {
	for end := tc.now + duration; tc.now < end; {
		if id, s := tc.offer("read", 0); s != "" {
			sent++
			tc.establish(id, s, setupTime)
			tc.handle(AttemptEnded{CallID: id, Server: s, Result: ResultDelivered, Final: true})
		}
		tc.advance(interval)
	}
	return sent
}

// isDeleted reports whether a call has been deleted: it has its final answer and no open attempt.
func (tc *testController) isDeleted(id string) bool { return tc.machine.calls.byID[id] == nil }
