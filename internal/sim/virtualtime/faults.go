package virtualtime

import (
	"math"
	"time"

	"olivedale/internal/sim/scenario"
)

// activeFaults holds the effects of the faults that are currently active.
type activeFaults struct {
	lostSetUpShare       float64
	partialAnswerShare   float64 // truncated answers; they count as lost
	malformedAnswerShare float64
	duplicateAnswerShare float64
	partitions           map[int]int // by zone: number of faults that separate it from the others
	isDiscoveryDown      bool
	discoveryDelay       time.Duration
	clockSkew            time.Duration // of the exchanges
}

// inject starts a fault and schedules its end.
func (s *simulation) inject(f scenario.Fault) {
	s.tally.Fault(s.now, f)
	switch f.Kind {
	case scenario.Slow:
		s.slowExchanges(f)
	case scenario.Crash:
		s.crashExchanges(f)
	case scenario.Unreachable:
		s.isolateExchanges(f)
	case scenario.Hang:
		s.hangExchanges(f)
	case scenario.Replace:
		s.replaceExchanges(f)
	case scenario.LoseCircuits:
		s.loseCircuits(f)
	case scenario.DropCalls:
		s.dropCalls(f)
	case scenario.Burst:
		s.callers.burst(f)
	case scenario.DiscoveryUnavailable:
		s.stopDiscovery(f)
	case scenario.DiscoveryDelay:
		s.raiseDuration(f, &s.faults.discoveryDelay)
	case scenario.DiscoveryFalseRemoval:
		s.announceRemoval(f)
	case scenario.ClockSkew:
		s.raiseDuration(f, &s.faults.clockSkew)
	case scenario.Reset:
		s.resetConnections(f)
	case scenario.LoseAnswers:
		s.raiseShare(f, &s.faults.partialAnswerShare)
	case scenario.MalformAnswers:
		s.raiseShare(f, &s.faults.malformedAnswerShare)
	case scenario.DuplicateAnswers:
		s.raiseShare(f, &s.faults.duplicateAnswerShare)
	case scenario.LoseSetUps:
		s.raiseShare(f, &s.faults.lostSetUpShare)
	case scenario.DeadConnections:
		s.killConnections(f)
	case scenario.Partition:
		s.partitionZone(f)
	case scenario.RollingRestart:
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

// drawExchanges draws a share of the serving exchanges.
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

// countOf returns the share of n, rounded. A positive share gives at least one, up to n.
func countOf(n int, share float64) int {
	if share <= 0 {
		return 0
	}
	return min(max(int(math.Round(share*float64(n))), 1), n)
}
