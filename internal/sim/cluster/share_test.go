package cluster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"olivedale/internal/adminapi"
	"olivedale/internal/overload"
)

// shares asks a controller what it shares.
func (r *Run) shares(ctx context.Context, name string) (*overload.State, error) {
	reply, err := r.Ask(ctx, name, adminapi.AuditCommand(adminapi.OverloadTermination))
	if err != nil {
		return nil, err
	}
	s := adminapi.ParseOverload(reply.Descriptors)
	if s == nil {
		return nil, fmt.Errorf("%s shares nothing", name)
	}
	return s, nil
}

// one tells whether all controllers obey one teller, and have heard it; all but those that hold a teller for
// wrong, who pass it over for half a minute.
func one(ctx context.Context, r *Run) error {
	tellers := make(map[int][]string)
	for _, n := range r.controllers {
		s, err := r.shares(ctx, n.name)
		if err != nil {
			return err
		}
		if s.Counters.AggregatorsEjected > 0 {
			continue
		}
		tellers[s.Aggregator] = append(tellers[s.Aggregator], n.name)
		if s.LimitsAge < 0 && s.Aggregator != s.Self {
			return fmt.Errorf("%s has heard nothing of its teller", n.name)
		}
	}
	if len(tellers) > 1 {
		return fmt.Errorf("they obey %v", tellers)
	}
	return nil
}

// Nine processes that share, offered half as much again as the exchanges can do: their teller is killed, halves
// do not hear each other, three in ten datagrams get lost and the rest come late, in any order and twice, one is
// stopped for 3 s, and a hostile one that has the keys tells lies of both kinds. No rule is broken, they hold calls
// back by the fleet's word, and obey one teller again in the end.
func TestSharingUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := &Schedule{Seed: 5, Step: []*Fault{
		{At: at(2), Duration: at(8), Kind: FaultDatagramLoss, From: []string{"n*"}, To: []string{"n*"}, Fraction: 0.3},
		{At: at(2.5), Duration: at(3), Kind: FaultPause, From: []string{"n4"}},
		{At: at(3), Duration: at(3), Kind: FaultPartition, Name: "half", From: []string{"n0", "n2", "n6", "n8"}, To: []string{"n1", "n3", "n5", "n7"}},
		{At: at(5), Duration: at(4), Kind: FaultReorder, From: []string{"n*"}, To: []string{"n*"}, Jitter: at(0.7)},
		{At: at(5), Duration: at(4), Kind: FaultDatagramDuplication, From: []string{"n*"}, To: []string{"n*"}, Fraction: 0.5},
		{At: at(6), Duration: at(3), Kind: FaultByzantinePeer, From: []string{"n3"}, Fraction: 1},
		{At: at(7), Duration: at(3), Kind: FaultByzantinePeer, From: []string{"n7"}},
	}}
	o := options(t, s, 16*time.Second)
	o.Scenario.Callers.Load = 1.5
	o.Topology = Topology{Controllers: 9, Exchanges: 3, Zones: 3, Share: true}
	var killed string
	kill := func(ctx context.Context, r *Run) error { // the teller, whoever it is
		if killed == "" {
			s, err := r.shares(ctx, "n0")
			if err != nil {
				return err
			}
			killed = fmt.Sprint("n", s.Aggregator)
			r.injectProcessFault(ctx, &Fault{Kind: FaultKill}, killed)
		}
		return nil
	}
	held := func(ctx context.Context, r *Run) error {
		n := 0
		for _, name := range r.options.Topology.namesOfKind('n') {
			s, err := r.shares(ctx, name)
			if err != nil {
				return err
			}
			if s.Counters.Throttled > 0 {
				n++
			}
		}
		if n < len(r.controllers)*2/3 {
			return fmt.Errorf("%d of %d have held a call back by the fleet's word", n, len(r.controllers))
		}
		return nil
	}
	o.Conditions = []Condition{
		{Name: "one_teller_at_first", After: 500 * time.Millisecond, Deadline: 9 * time.Second, Check: one},
		{Name: "teller_killed", After: 6500 * time.Millisecond, Deadline: 9 * time.Second, Check: kill},
		{Name: "holds_back", After: 2 * time.Second, Deadline: 15 * time.Second, Check: held},
		{Name: "one_teller", After: 11 * time.Second, Deadline: 16 * time.Second, Check: one},
	}
	res := unbroken(t, o)
	if killed == "" || len(res.Struck) != len(s.Step) {
		t.Errorf("%q was killed, %d of %d faults struck", killed, len(res.Struck), len(s.Step))
	}
	for _, z := range res.Zones {
		if z.Established*10 < z.Sent*3 {
			t.Errorf("%+v", z)
		}
	}
	t.Logf("%+v", res.Zones)
}
