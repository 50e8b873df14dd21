package call

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"olivedale/internal/admission"
)

// A fixedRouter is a Router whose decision is set by the test. It counts the routes that are not closed yet.
type fixedRouter struct {
	pools      []int
	cause      int
	emergency  bool
	openRoutes int
}

func (r *fixedRouter) Route(Time, *Request) Route {
	r.openRoutes++
	return Route{
		Pools:     slices.Clone(r.pools),
		Cause:     r.cause,
		Emergency: r.emergency,
		Table:     fmt.Sprint(r.pools),
		Close:     func() { r.openRoutes-- },
	}
}

// A call keeps its route from its offer to its end and closes it exactly once, however the call ends.
func TestCallsHoldTheirRoute(t *testing.T) {
	f := newFixture(send("s"), send("s"), send("s"), admission.Decision{Kind: admission.DecisionReject})
	router := &fixedRouter{pools: []int{2, 1}}
	f.manager.SetRouter(router)
	f.offer("established")
	f.manager.AttemptAnswered("s", "established", 0, nil)
	f.offer("abandoned")
	f.offer("rejected")
	if router.openRoutes != 3 {
		t.Errorf("%d open routes, want 3", router.openRoutes)
	}
	if r := f.decider.placed[0]; r.PreferredPool != 2 || !slices.Equal(r.Pools, []int{2, 1}) {
		t.Errorf("the decider received the request %+v", r)
	}
	router.emergency = true
	if f.decider.placed[0].Emergency {
		t.Error("an ordinary call was placed as an emergency")
	}
	f.manager.ReleaseByCaller(f.client, "abandoned", CauseNormal)
	f.manager.ReleaseByCaller(f.client, "established", CauseNormal)
	f.manager.AttemptEnded("s", "rejected", 0, NoCircuit) // the decider rejects it
	if router.openRoutes != 0 {
		t.Errorf("%d routes are open after the end of their calls", router.openRoutes)
	}
	f.now += minCompletedCallRetention + 1 // the ids of these calls may be displaced
	f.offer("emergency")
	if placed := f.decider.placed; !placed[len(placed)-1].Emergency {
		t.Error("an emergency call was not placed as an emergency")
	}
	f.manager.ReleaseByCaller(f.client, "emergency", CauseNormal)
	// A call that the router rejects is not passed to the decider.
	router.cause = 21
	placedBefore := len(f.decider.placed)
	f.client.messages = nil
	f.offer("disallowed")
	f.wantMessages(t, "rejected disallowed 21 0s")
	placed := len(f.decider.placed) - placedBefore
	if router.openRoutes != 0 || placed != 0 || f.manager.ByPolicy != 1 || f.manager.OpenCalls() != 0 {
		t.Errorf("%d open routes, %d placed calls, %d rejected by policy, %d open calls",
			router.openRoutes, placed, f.manager.ByPolicy, f.manager.OpenCalls())
	}
}

// A repeated offer is recognized by the content of the caller's request, not by the route of its number.
func TestRepeatedOfferOfARoutedCall(t *testing.T) {
	f := newFixture(send("s"))
	f.manager.SetRouter(&fixedRouter{pools: []int{7}})
	f.offer("x")
	err := f.manager.Offer(&recordingClient{}, Request{ID: "x", Class: "c", Deadline: f.now + callTimeout})
	if err != nil || f.manager.Repeated != 1 {
		t.Errorf("error %v, %d repeated offers, want none and 1", err, f.manager.Repeated)
	}
}

// A pendingRouter is a Router whose routes are all pending. It counts the routes that are not closed yet.
type pendingRouter struct{ openRoutes int }

func (r *pendingRouter) Route(Time, *Request) Route {
	r.openRoutes++
	return Route{Pending: true, Close: func() { r.openRoutes-- }}
}

// A call with a pending number lookup gets one answer: it is placed or rejected when the route is resolved,
// or ends before that. A result that arrives later changes nothing.
func TestCallsWaitForTheirRoute(t *testing.T) {
	f := newFixture(send("s"))
	router := &pendingRouter{}
	f.manager.SetRouter(router)
	f.offer("placed")
	if len(f.decider.placed) != 0 || router.openRoutes != 1 || f.manager.OpenCalls() != 1 {
		t.Errorf("%d placed calls, %d open routes, %d open calls",
			len(f.decider.placed), router.openRoutes, f.manager.OpenCalls())
	}
	f.manager.RouteResolved("placed", Route{Pools: []int{3}})
	f.manager.RouteResolved("placed", Route{Cause: 1}) // a second decision
	f.manager.AttemptAnswered("s", "placed", 0, nil)
	f.wantMessages(t, "invite s placed 0", "established placed ")
	if f.decider.placed[0].PreferredPool != 3 || router.openRoutes != 1 {
		t.Errorf("placed as %+v, %d open routes", f.decider.placed[0], router.openRoutes)
	}
	f.manager.ReleaseByCaller(f.client, "placed", CauseNormal)
	f.client.messages = nil

	f.offer("rejected")
	f.manager.RouteResolved("rejected", Route{Cause: 34, RetryAfter: 2 * time.Second})
	f.offer("abandoned")
	f.manager.ReleaseByCaller(f.client, "abandoned", CauseNormal)
	f.manager.RouteResolved("abandoned", Route{Pools: []int{1}})
	f.offer("disconnected")
	f.manager.CallerDisconnected(f.client)
	f.manager.RouteResolved("disconnected", Route{Pools: []int{1}})
	f.manager.RouteResolved("unknown", Route{Pools: []int{1}})
	f.wantMessages(t, "rejected rejected 34 2s", "withdrawn abandoned", "withdrawn disconnected")
	// Both reports are about the first call: established and ended.
	if router.openRoutes != 0 || len(f.decider.placed) != 1 || len(f.decider.reports) != 2 {
		t.Errorf("%d open routes, %d placed calls, reports %+v",
			router.openRoutes, len(f.decider.placed), f.decider.reports)
	}
}

// A call whose lookup never completes is answered at its deadline or at shutdown.
func TestPendingRouteEndsWithItsCall(t *testing.T) {
	f := newFixture()
	router := &pendingRouter{}
	f.manager.SetRouter(router)
	f.offer("overdue")
	f.now += callTimeout
	f.manager.Tick()
	f.wantMessages(t, "rejected overdue 41 0s")
	f.offer("open")
	f.manager.RejectOpenCalls()
	f.wantMessages(t, "rejected open 34 0s")
	if router.openRoutes != 0 || f.manager.OpenCalls() != 0 {
		t.Errorf("%d open routes, %d open calls", router.openRoutes, f.manager.OpenCalls())
	}
}
