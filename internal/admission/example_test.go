package admission_test

import (
	"fmt"
	"time"

	"olivedale/internal/admission"
)

// An access node tells its controller what happens and carries out what it says.
func Example() {
	c, err := admission.New(admission.Settings{
		GroupSize: 5, Topology: "pools", MaxAttempts: 3, MayCancel: true,
		Resend: 500 * time.Millisecond, Release: 200 * time.Millisecond, Cold: 12 * time.Second, Start: 0.3,
		Classes: []admission.Class{{Name: "balance", Aim: time.Second, Deadline: 6 * time.Second, Credit: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second // any clock that does not go backwards
	do := func(actions []admission.Action) {
		for _, a := range actions {
			fmt.Printf("%T %+v\n", a, a)
		}
	}
	do(c.Begin(now))
	do(c.Handle(now, admission.List{Full: true, Servers: []admission.Server{{ID: "core-1", Pool: 0}}}))
	do(c.Handle(now, admission.Ask{Call: "c1", Class: "balance", Number: "n1", Until: now + 2*time.Second}))
	now += 80 * time.Millisecond
	do(c.Handle(now, admission.Stands{Call: "c1", Server: "core-1", Took: 80 * time.Millisecond}))
	now += 4 * time.Second
	do(c.Handle(now, admission.Returned{Call: "c1", Server: "core-1", Code: admission.Delivered, Terminal: true}))
	// Output:
	// admission.Defer {At:10.1s Key:0}
	// admission.Send {Call:c1 Server:core-1 Wait:2s}
	// admission.Defer {At:12s Key:1}
}
