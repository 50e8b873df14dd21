package virtualtime

import (
	"math"
	"time"

	"olivedale/internal/sim/scenario"
)

const (
	minDowntime    = 100 * time.Millisecond // of a controller that is restarted
	minDrainPeriod = 5 * time.Second        // of an exchange that is replaced
	minResetShare  = 0.001                  // a reset without a share hits one exchange
	rollBatches    = 10                     // a rolling restart takes the controllers in so many batches
)

// activeFaults are the faults of the environment that are in effect.
type activeFaults struct {
	lostSetUpShare       float64
	partialAnswerShare   float64 // answers that never arrive whole, which is as good as lost
	malformedAnswerShare float64
	duplicateAnswerShare float64
	partitions           map[int]int // by zone: number of faults that separate it from the others
	isDiscoveryDown      bool
	discoveryDelay       time.Duration
	clockSkew            time.Duration // of the exchanges
}

// inject begins a fault and schedules its end.
func (s *simulation) inject(f scenario.Fault) {
	s.tally.Fault(s.now, f)
	switch f.Kind {
	case scenario.Slow, scenario.Crash, scenario.Vanish, scenario.Hang, scenario.Replace, scenario.LoseLines,
		scenario.Cut, scenario.Burst:
		s.injectLoadFault(f)
	case scenario.NamesLost, scenario.NamesLate, scenario.NamesLie, scenario.Skew:
		s.injectDiscoveryFault(f)
	case scenario.Reset, scenario.Half, scenario.Spoil, scenario.Twice, scenario.Lost, scenario.Dead, scenario.Sever:
		s.injectLinkFault(f)
	case scenario.Roll:
		s.restartControllers(f)
	case scenario.Kill:
		s.killControllers(f)
	}
}

// afterFault schedules the end of a fault. A fault without a duration does not end.
func (s *simulation) afterFault(f scenario.Fault, end func()) {
	if f.For > 0 {
		s.after(f.For.D(), end)
	}
}

// raiseShare adds the share of a fault to a value while the fault lasts.
func (s *simulation) raiseShare(f scenario.Fault, value *float64) {
	*value += f.Share
	s.afterFault(f, func() { *value -= f.Share })
}

// raiseDuration adds the duration By of a fault to a value while the fault lasts.
func (s *simulation) raiseDuration(f scenario.Fault, value *time.Duration) {
	*value += f.By.D()
	s.afterFault(f, func() { *value -= f.By.D() })
}

// drawExchanges draws a share of the exchanges that serve.
func (s *simulation) drawExchanges(share float64) (drawn []*exchangeInstance) {
	var candidates []*exchangeInstance
	for _, e := range s.exchangesByPool {
		if e.isServing() {
			candidates = append(candidates, e)
		}
	}
	for range countOf(len(candidates), share) {
		i, last := s.rng.IntN(len(candidates)), len(candidates)-1
		drawn = append(drawn, candidates[i])
		candidates[i] = candidates[last]
		candidates = candidates[:last]
	}
	return drawn
}

// countOf returns the share of n, rounded. A positive share is at least one.
func countOf(n int, share float64) int {
	if share <= 0 {
		return 0
	}
	return min(max(int(math.Round(share*float64(n))), 1), n)
}

// restartControllers shuts all controllers down and starts them again, in batches over the duration of the fault.
func (s *simulation) restartControllers(f scenario.Fault) {
	for i, c := range s.controllers {
		batch := time.Duration(i * rollBatches / len(s.controllers))
		s.after(batch*f.For.D()/rollBatches, func() { c.restart(max(f.By.D(), minDowntime)) })
	}
}

// killControllers kills a share of the controllers and starts them again after a downtime.
func (s *simulation) killControllers(f scenario.Fault) {
	for range countOf(len(s.controllers), f.Share) {
		c := s.controllers[s.rng.IntN(len(s.controllers))]
		c.kill()
		c.startAfter(max(f.By.D(), minDowntime))
	}
}
