package cluster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"olivedale/internal/adminapi"
	"olivedale/internal/overload"
)

// overloadState returns the state of a controller's overload control, as read from its admin API.
func (r *Run) overloadState(ctx context.Context, name string) (*overload.State, error) {
	reply, err := r.SendCommand(ctx, name, adminapi.AuditCommand(adminapi.OverloadTermination))
	if err != nil {
		return nil, err
	}
	s := adminapi.ParseOverload(reply.Descriptors)
	if s == nil {
		return nil, fmt.Errorf("%s has no overload control", name)
	}
	return s, nil
}

// checkOneAggregator returns an error unless all controllers have selected the same aggregator and received limits from
// it. Controllers that have ejected an aggregator are skipped: they do not select it for half a minute.
func checkOneAggregator(ctx context.Context, r *Run) error {
	selected := make(map[int][]string)
	for _, n := range r.controllers {
		s, err := r.overloadState(ctx, n.name)
		if err != nil {
			return err
		}
		if s.Counters.AggregatorsEjected > 0 {
			continue
		}
		selected[s.Aggregator] = append(selected[s.Aggregator], n.name)
		if s.LastContactAge < 0 && s.Aggregator != s.Self {
			return fmt.Errorf("%s has received nothing from its aggregator", n.name)
		}
	}
	if len(selected) > 1 {
		return fmt.Errorf("different aggregators are selected: %v", selected)
	}
	return nil
}

// TestOverloadControlUnderFaults runs nine controllers at 1.5 times the capacity of the exchanges. The aggregator is
// killed, half of the controllers are partitioned from the others, 30% of the datagrams are lost and the rest are
// delayed, reordered and duplicated, a controller is paused for 3 s, and byzantine peers send forged reports of both
// kinds. The test checks that no rule is violated, calls are throttled, and all controllers finally select one
// aggregator.
func TestOverloadControlUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := &Schedule{Seed: 5, Faults: []*Fault{
		{At: seconds(2), Duration: seconds(8), Kind: FaultDatagramLoss, From: []string{"n*"}, To: []string{"n*"}, Fraction: 0.3},
		{At: seconds(2.5), Duration: seconds(3), Kind: FaultPause, From: []string{"n4"}},
		{At: seconds(3), Duration: seconds(3), Kind: FaultPartition, Name: "half", From: []string{"n0", "n2", "n6", "n8"}, To: []string{"n1", "n3", "n5", "n7"}},
		{At: seconds(5), Duration: seconds(4), Kind: FaultReorder, From: []string{"n*"}, To: []string{"n*"}, Jitter: seconds(0.7)},
		{At: seconds(5), Duration: seconds(4), Kind: FaultDatagramDuplication, From: []string{"n*"}, To: []string{"n*"}, Fraction: 0.5},
		{At: seconds(6), Duration: seconds(3), Kind: FaultByzantinePeer, From: []string{"n3"}, Fraction: 1},
		{At: seconds(7), Duration: seconds(3), Kind: FaultByzantinePeer, From: []string{"n7"}},
	}}
	o := testOptions(t, s, 16*time.Second)
	o.Scenario.Callers.Load = 1.5
	o.Topology = Topology{Controllers: 9, Exchanges: 3, Zones: 3, OverloadControl: true}
	var killed string
	killAggregator := func(ctx context.Context, r *Run) error {
		if killed == "" {
			s, err := r.overloadState(ctx, "n0")
			if err != nil {
				return err
			}
			killed = fmt.Sprint("n", s.Aggregator)
			r.injectControllerFault(ctx, &Fault{Kind: FaultKill}, r.controller(killed))
		}
		return nil
	}
	checkThrottled := func(ctx context.Context, r *Run) error {
		n := 0
		for _, name := range r.options.Topology.namesOfKind('n') {
			s, err := r.overloadState(ctx, name)
			if err != nil {
				return err
			}
			if s.Counters.Throttled > 0 {
				n++
			}
		}
		if n < len(r.controllers)*2/3 {
			return fmt.Errorf("only %d of %d controllers have throttled a call", n, len(r.controllers))
		}
		return nil
	}
	o.Conditions = []Condition{
		{Name: "one_aggregator_at_first", After: 500 * time.Millisecond, Deadline: 9 * time.Second, Check: checkOneAggregator},
		{Name: "aggregator_killed", After: 6500 * time.Millisecond, Deadline: 9 * time.Second, Check: killAggregator},
		{Name: "throttles", After: 2 * time.Second, Deadline: 15 * time.Second, Check: checkThrottled},
		{Name: "one_aggregator", After: 11 * time.Second, Deadline: 16 * time.Second, Check: checkOneAggregator},
	}
	res := playWithoutViolations(t, o)
	if killed == "" || len(res.InjectedFaults) != len(s.Faults) {
		t.Errorf("killed aggregator %q, injected %d of %d faults", killed, len(res.InjectedFaults), len(s.Faults))
	}
	for _, z := range res.Zones {
		if z.Established*10 < z.Sent*3 {
			t.Errorf("fewer than 30%% of the calls were established: %+v", z)
		}
	}
	t.Logf("%+v", res.Zones)
}
