package virtualtime

import (
	"cmp"
	"slices"
	"time"

	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/result"
)

// secondsAfterSlowStart is how long after its slow start the load of a cold exchange is still reported.
const secondsAfterSlowStart = 5

// result sums up a run whose load ended at end.
func (s *simulation) result(end Time) *result.Result {
	r := s.tally.Result(end)
	r.Scenario, r.Seed, r.Events = s.scenario.Name, s.seed, s.eventCount
	r.ViolationCounts = s.violationCounts()
	r.Violations = s.checker.Violations()
	s.addExchanges(r)
	r.Finish()
	return r
}

// violationCounts returns the number of violations by rule, or nil if there are none.
func (s *simulation) violationCounts() map[string]int {
	var counts map[string]int
	for _, rule := range invariant.Rules {
		n := s.checker.Count(rule)
		if n == 0 {
			continue
		}
		if counts == nil {
			counts = make(map[string]int)
		}
		counts[string(rule)] = n
	}
	return counts
}

// addExchanges adds the counters of all exchanges to a result, and the load of those that started cold.
func (s *simulation) addExchanges(r *result.Result) {
	for _, e := range s.exchanges {
		r.Exchanges.Add(&e.model.Counters)
		if !e.isColdStart {
			continue
		}
		r.SlowStarts = append(r.SlowStarts, result.SlowStart{
			Exchange: e.id,
			Start:    e.startedAt.Seconds(),
			Failed:   e.isCrashedByLoad,
			Loads:    e.relativeLoad(),
		})
	}
	slices.SortFunc(r.SlowStarts, func(a, b result.SlowStart) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Exchange, b.Exchange))
	})
}

// relativeLoad returns, for each second, the set-ups that reached a cold exchange, divided by its capacity then.
func (e *exchangeInstance) relativeLoad() (shares []float64) {
	settings := &e.sim.model
	for second := range int(settings.SlowStartPeriod/time.Second) + secondsAfterSlowStart {
		age := time.Duration(second) * time.Second
		if e.startedAt+age > e.sim.now {
			break
		}
		shares = append(shares, float64(e.setUpsBySecond[second])/(settings.Capacity()*settings.CapacityShare(age)))
	}
	return shares
}
