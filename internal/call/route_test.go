package call

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"olivedale/internal/admission"
)

// table is a Router whose word changes; it counts who holds it.
type table struct {
	pools  []int
	cause  int
	urgent bool
	held   int
}

func (r *table) Route(Time, *Request) Route {
	r.held++
	return Route{Pools: slices.Clone(r.pools), Cause: r.cause, Emergency: r.urgent, Table: fmt.Sprint(r.pools), Release: func() { r.held-- }}
}

// asked notes what the module is asked.
type asked struct {
	*script
	all []admission.Request
}

func (a *asked) Place(now Time, r admission.Request) admission.Decision {
	a.all = append(a.all, r)
	return a.script.Place(now, r)
}

// A call holds its table from its set-up to its end, however it ends, and lets go once.
func TestCallsHoldTheirTable(t *testing.T) {
	b := newBench(try("s"), try("s"), try("s"), admission.Decision{Kind: admission.Reject})
	desk := &asked{script: &b.script}
	b.core.decider = desk
	r := &table{pools: []int{2, 1}}
	b.core.SetRouter(r)
	b.setUp("stands")
	b.core.AttemptAnswered("s", "stands", 0, nil)
	b.setUp("left")
	b.setUp("lost")
	if r.held != 3 {
		t.Errorf("%d held, want 3", r.held)
	}
	if q := desk.all[0]; q.PreferredPool != 2 || !slices.Equal(q.Pools, []int{2, 1}) {
		t.Errorf("the module was asked for %+v", q)
	}
	if r.urgent = true; desk.all[0].Emergency {
		t.Error("an ordinary call was urgent to the module")
	}
	b.core.ReleaseByCaller("left", CauseNormal)
	b.core.ReleaseByCaller("stands", CauseNormal)
	b.core.AttemptEnded("s", "lost", 0, NoCircuit) // the module denies it
	if r.held != 0 {
		t.Errorf("%d held after their ends", r.held)
	}
	b.setUp("emergency")
	if !desk.all[len(desk.all)-1].Emergency {
		t.Error("an emergency was not urgent to the module")
	}
	b.core.ReleaseByCaller("emergency", CauseNormal)
	// What a number bars the module never hears of; what comes again is not started twice.
	r.cause = 21
	n := len(desk.all)
	b.said = nil
	b.setUp("barred")
	b.want(t, "refused barred 21 0s")
	if r.held != 0 || len(desk.all) != n || b.core.ByPolicy != 1 || b.core.OpenCalls() != 0 {
		t.Errorf("%d held, %d asked, %d barred, %d open", r.held, len(desk.all)-n, b.core.ByPolicy, b.core.OpenCalls())
	}
}

// A set-up that crossed the close of its connection and comes again is known by what the caller
// said, not by what its number led to.
func TestRepeatedSetUpOfARoutedCall(t *testing.T) {
	b := newBench(try("s"))
	b.core.SetRouter(&table{pools: []int{7}})
	b.setUp("x")
	if err := b.core.Offer(&world{}, Request{ID: "x", Class: "c", Deadline: b.now + 3*time.Second}); err != nil || b.core.Repeated != 1 {
		t.Errorf("%v, %d repeated", err, b.core.Repeated)
	}
}

// pending is a Router that decides later.
type pending struct{ held int }

func (r *pending) Route(Time, *Request) Route {
	r.held++
	return Route{Pending: true, Release: func() { r.held-- }}
}

// A call whose number is looked up is owed one answer like any other: it goes on with the word, is
// refused by it, or ends before; whatever comes after that changes nothing.
func TestCallsWaitForTheWord(t *testing.T) {
	b := newBench(try("s"))
	desk := &asked{script: &b.script}
	b.core.decider = desk
	r := &pending{}
	b.core.SetRouter(r)
	b.setUp("goes on")
	if len(desk.all) != 0 || r.held != 1 || b.core.OpenCalls() != 1 {
		t.Errorf("%d asked, %d held, %d open", len(desk.all), r.held, b.core.OpenCalls())
	}
	b.core.RouteResolved("goes on", Route{Pools: []int{3}})
	b.core.RouteResolved("goes on", Route{Cause: 1}) // a second word
	b.core.AttemptAnswered("s", "goes on", 0, nil)
	b.want(t, "invite s goes on 0", "stands goes on ")
	if desk.all[0].PreferredPool != 3 || r.held != 1 {
		t.Errorf("%+v, %d held", desk.all[0], r.held)
	}
	b.core.ReleaseByCaller("goes on", CauseNormal)
	b.said = nil

	b.setUp("refused")
	b.core.RouteResolved("refused", Route{Cause: 34, RetryAfter: 2 * time.Second})
	b.setUp("left")
	b.core.ReleaseByCaller("left", CauseNormal)
	b.core.RouteResolved("left", Route{Pools: []int{1}})
	b.setUp("closed")
	b.core.CallerDisconnected(b.world)
	b.core.RouteResolved("closed", Route{Pools: []int{1}})
	b.core.RouteResolved("nobody", Route{Pools: []int{1}})
	b.want(t, "refused refused 34 2s", "waived left", "waived closed")
	if r.held != 0 || len(desk.all) != 1 || len(b.progress) != 2 { // it stood, and ended
		t.Errorf("%d held, %d asked, %+v", r.held, len(desk.all), b.progress)
	}

	// Of a look-up nothing is heard any more: the caller is answered when its time is over.
	b.setUp("forgotten")
	b.now += 3 * time.Second
	b.core.Tick()
	b.want(t, "refused forgotten 41 0s")
	b.setUp("stop")
	b.core.RejectOpenCalls()
	b.want(t, "refused stop 34 0s")
	if r.held != 0 || b.core.OpenCalls() != 0 {
		t.Errorf("%d held, %d open", r.held, b.core.OpenCalls())
	}
}
