package admission

import (
	"fmt"
	"testing"
	"time"
)

// After an attempt that may have run, a NonRepeatable call is neither retried nor rejected. A Deduplicated call is
// retried within its window at servers that recognize the repeat, and rejected only if all servers recognize it.
func TestCallsThatMayNotRunTwice(t *testing.T) {
	servers := []Server{{ID: "a", Pool: 0, Zone: "n"}, {ID: "b", Pool: 1, Zone: "n"}, {ID: "c", Pool: 2, Zone: "s"}}
	cases := []struct {
		name        string
		class       Class
		result      AttemptResult
		resultAfter time.Duration
		permitted   string // servers that may receive the second attempt, or "fail" or "reject" if there is none
	}{
		{"idempotent", Class{}, ResultTimedOut, 0, "bc"},
		{"non-repeatable, never ran", Class{Repeatability: NonRepeatable}, ResultServerBusy, 0, "bc"},
		{"non-repeatable, dial failed", Class{Repeatability: NonRepeatable}, ResultDialFailed, 0, "bc"},
		{"non-repeatable, not sent", Class{Repeatability: NonRepeatable}, ResultNotSent, 0, "abc"},
		{"non-repeatable, timed out", Class{Repeatability: NonRepeatable}, ResultTimedOut, 0, "fail"},
		{"non-repeatable, connection lost", Class{Repeatability: NonRepeatable}, ResultConnectionLost, 0, "fail"},
		{"non-repeatable, canceled", Class{Repeatability: NonRepeatable}, ResultCanceled, 0, "fail"},
		{"non-repeatable, server error", Class{Repeatability: NonRepeatable}, ResultServerError, 0, "fail"},
		{
			"deduplicated by the fleet",
			Class{Repeatability: Deduplicated, DeduplicationWindow: time.Second}, ResultTimedOut, 0, "bc",
		},
		{
			"deduplicated by the zone",
			Class{Repeatability: Deduplicated, DeduplicationScope: ScopeZone, DeduplicationWindow: time.Second},
			ResultTimedOut, 0, "b",
		},
		{
			"deduplicated by the pool",
			Class{Repeatability: Deduplicated, DeduplicationScope: ScopePool, DeduplicationWindow: time.Second},
			ResultTimedOut, 0, "fail",
		},
		{
			"deduplicated by the zone, never ran",
			Class{Repeatability: Deduplicated, DeduplicationScope: ScopeZone, DeduplicationWindow: time.Second},
			ResultServerBusy, 0, "bc",
		},
		{
			"deduplicated by the fleet, too late",
			Class{Repeatability: Deduplicated, DeduplicationWindow: time.Second}, ResultTimedOut,
			2 * time.Second, "reject",
		},
		{
			"deduplicated by the zone, too late",
			Class{Repeatability: Deduplicated, DeduplicationScope: ScopeZone, DeduplicationWindow: time.Second},
			ResultTimedOut, 2 * time.Second, "fail",
		},
	}
	for _, tc := range cases {
		seen := make(map[string]bool)
		for seed := range uint64(60) {
			class := tc.class
			class.Name, class.LatencyObjective, class.Deadline, class.Weight = "k", 2*time.Second, 20*time.Second, 1
			machine, err := NewStateMachine(Settings{
				ControllerCount: 1, Topology: "pools", Classes: []Class{class}, MaxAttempts: 4, CanCancel: true,
				RetryGuard: 300 * time.Millisecond, SlowStartPeriod: time.Second, SlowStartShare: 0.5}, seed)
			if err != nil {
				t.Fatal(err)
			}
			now := Time(time.Hour)
			var acts []Action
			run := func(e Event) { acts = append(acts, machine.Handle(now, e)...) }
			machine.Begin(now)
			run(ServersUpdated{Full: true, Cached: true, Servers: servers})
			// The ramps of the other servers gain tokens in this time.
			for range 30 {
				now += 100 * time.Millisecond
				run(TimerFired{Key: 0})
			}
			acts = nil
			run(CallOffered{CallID: "x", Class: "k", PreferredPool: 0, Deadline: now + 15*time.Second})
			if s, ok := acts[0].(SendAttempt); !ok || s.Server != "a" {
				t.Fatalf("%s: the first attempt was not sent to a: %+v", tc.name, acts)
			}
			for end := now + tc.resultAfter; now < end; {
				now += 100 * time.Millisecond
				run(TimerFired{Key: 0})
			}
			acts = nil
			run(AttemptEnded{CallID: "x", Server: "a", Result: tc.result})
			now += 400 * time.Millisecond
			for _, a := range acts {
				if d, ok := a.(SetTimer); ok && d.Key > 0 {
					run(TimerFired{Key: d.Key})
				}
			}
			what := "nothing"
			for _, a := range acts {
				switch a := a.(type) {
				case SendAttempt:
					what = a.Server
				case RejectCall:
					what = "reject"
				case FailCall:
					what = "fail"
				}
			}
			seen[what] = true
		}
		want := make(map[string]bool)
		if tc.permitted == "fail" || tc.permitted == "reject" {
			want[tc.permitted] = true
		} else {
			for _, s := range tc.permitted {
				want[string(s)] = true
			}
		}
		for what := range seen {
			if !want[what] {
				t.Errorf("%s: got %v, want only %v", tc.name, seen, want)
				break
			}
		}
		if len(seen) == 0 || tc.permitted != "fail" && tc.permitted != "reject" && fmt.Sprint(seen) == "map[]" {
			t.Errorf("%s: no outcome", tc.name)
		}
	}
}

// A lost attempt of a NonRepeatable call is not canceled, because only its answer can still establish the call.
func TestNonRepeatableIsNotCanceled(t *testing.T) {
	for _, repeatability := range []Repeatability{Idempotent, NonRepeatable} {
		machine, err := NewStateMachine(Settings{
			ControllerCount: 1, Topology: "pools", MaxAttempts: 4, CanCancel: true,
			RetryGuard: 300 * time.Millisecond, SlowStartPeriod: time.Second, SlowStartShare: 0.5,
			Classes: []Class{{
				Name: "k", LatencyObjective: time.Second, Deadline: 9 * time.Second, Weight: 1,
				Repeatability: repeatability,
			}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, cancellations := Time(time.Hour), 0
		run := func(e Event) {
			for _, a := range machine.Handle(now, e) {
				if _, ok := a.(CancelAttempt); ok {
					cancellations++
				}
			}
		}
		machine.Begin(now)
		run(ServersUpdated{Full: true, Cached: true, Servers: []Server{{ID: "a", Pool: 0}, {ID: "b", Pool: 1}}})
		run(CallOffered{CallID: "lost", Class: "k", Deadline: now + 8*time.Second})
		now += 200 * time.Millisecond
		run(CallOffered{CallID: "next", Class: "k", Deadline: now + 8*time.Second})
		now += 20 * time.Millisecond
		run(CallEstablished{CallID: "next", Server: "a", SetupTime: 20 * time.Millisecond}) // overtakes the first call
		for range 30 {
			now += 100 * time.Millisecond
			run(TimerFired{Key: 0})
		}
		if (cancellations > 0) != (repeatability == Idempotent) {
			t.Errorf("repeatability %v: canceled %d times", repeatability, cancellations)
		}
	}
}
