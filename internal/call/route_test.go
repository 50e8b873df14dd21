package call

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lapiscourse"
)

// table is a Router whose word changes; it counts who holds it.
type table struct {
	pools []int
	cause int
	held  int
}

func (r *table) Route(Time, *Request) Routing {
	r.held++
	return Routing{Pools: slices.Clone(r.pools), Cause: r.cause, Table: fmt.Sprint(r.pools), Release: func() { r.held-- }}
}

// asked notes what the module is asked.
type asked struct {
	*script
	all []lapiscourse.Request
}

func (a *asked) Pick(now Time, r lapiscourse.Request) lapiscourse.Order {
	a.all = append(a.all, r)
	return a.script.Pick(now, r)
}

// A call holds its table from its set-up to its end, however it ends, and lets go once.
func TestCallsHoldTheirTable(t *testing.T) {
	b := newBench(try("s"), try("s"), try("s"), lapiscourse.Order{Move: lapiscourse.Deny})
	desk := &asked{script: &b.script}
	b.core.desk = desk
	r := &table{pools: []int{2, 1}}
	b.core.RouteBy(r)
	b.setUp("stands")
	b.core.Answered("s", "stands", 0, nil)
	b.setUp("left")
	b.setUp("lost")
	if r.held != 3 {
		t.Errorf("%d held, want 3", r.held)
	}
	if q := desk.all[0]; q.First != 2 || !slices.Equal(q.Pools, []int{2, 1}) {
		t.Errorf("the module was asked for %+v", q)
	}
	b.core.Hangup("left", CauseNormal)
	b.core.Hangup("stands", CauseNormal)
	b.core.Ended("s", "lost", 0, NoCircuit) // the module denies it
	if r.held != 0 {
		t.Errorf("%d held after their ends", r.held)
	}
	// What a number bars the module never hears of; what comes again is not started twice.
	r.cause = 21
	n := len(desk.all)
	b.said = nil
	b.setUp("barred")
	b.want(t, "refused barred 21 0s")
	if r.held != 0 || len(desk.all) != n || b.core.Barred != 1 || b.core.Open() != 0 {
		t.Errorf("%d held, %d asked, %d barred, %d open", r.held, len(desk.all)-n, b.core.Barred, b.core.Open())
	}
}

// A set-up that crossed the close of its connection and comes again is known by what the caller
// said, not by what its number led to.
func TestRepeatedSetUpOfARoutedCall(t *testing.T) {
	b := newBench(try("s"))
	b.core.RouteBy(&table{pools: []int{7}})
	b.setUp("x")
	if err := b.core.SetUp(&world{}, Request{ID: "x", Class: "c", Until: b.now + 3*time.Second}); err != nil || b.core.Repeated != 1 {
		t.Errorf("%v, %d repeated", err, b.core.Repeated)
	}
}
