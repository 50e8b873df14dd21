package admission_test

import (
	"fmt"
	"time"

	"olivedale/internal/admission"
)

// The host passes events to the state machine and executes the returned actions.
func Example() {
	machine, err := admission.NewStateMachine(admission.Settings{
		ControllerCount: 5, Topology: "pools", MaxAttempts: 3, CanCancel: true,
		ResendInterval: 500 * time.Millisecond, RetryGuard: 200 * time.Millisecond,
		SlowStartPeriod: 12 * time.Second, SlowStartShare: 0.3,
		Classes: []admission.Class{{
			Name: "balance", LatencyObjective: time.Second, Deadline: 6 * time.Second, Weight: 1,
		}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second // any monotonic clock
	show := func(actions []admission.Action) {
		for _, a := range actions {
			fmt.Printf("%T %+v\n", a, a)
		}
	}
	show(machine.Begin(now))
	show(machine.Handle(now, admission.ServersUpdated{Full: true, Servers: []admission.Server{{ID: "core-1", Pool: 0}}}))
	show(machine.Handle(now, admission.CallOffered{
		CallID: "c1", Class: "balance", Number: "n1", Deadline: now + 2*time.Second,
	}))
	now += 80 * time.Millisecond
	show(machine.Handle(now, admission.CallEstablished{CallID: "c1", Server: "core-1", SetupTime: 80 * time.Millisecond}))
	now += 4 * time.Second
	show(machine.Handle(now, admission.AttemptEnded{
		CallID: "c1", Server: "core-1", Result: admission.ResultDelivered, Final: true,
	}))
	// Output:
	// admission.SetTimer {At:10.1s Key:0}
	// admission.SendAttempt {CallID:c1 Server:core-1 Timeout:2s}
	// admission.SetTimer {At:12s Key:1}
}
