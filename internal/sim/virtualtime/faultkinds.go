package virtualtime

import (
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/scenario"
)

// injectLoadFault begins a fault of the exchanges or of the call rate.
func (s *simulation) injectLoadFault(f scenario.Fault) {
	switch f.Kind {
	case scenario.Slow:
		s.slowExchanges(f)
	case scenario.Crash:
		s.crashExchanges(f)
	case scenario.Vanish:
		s.isolateExchanges(f)
	case scenario.Hang:
		s.hangExchanges(f)
	case scenario.Replace:
		s.replaceExchanges(f)
	case scenario.LoseLines:
		s.loseCircuits(f)
	case scenario.Cut:
		s.dropCalls(f)
	case scenario.Burst:
		s.callers.burstFactor *= f.Factor
		s.afterFault(f, func() { s.callers.burstFactor /= f.Factor })
	}
}

func (s *simulation) slowExchanges(f scenario.Fault) {
	slowed := s.drawExchanges(f.Share)
	for _, e := range slowed {
		e.model.Slow(f.Factor)
	}
	s.afterFault(f, func() {
		for _, e := range slowed {
			e.model.Slow(1)
		}
	})
}

func (s *simulation) crashExchanges(f scenario.Fault) {
	for _, e := range s.drawExchanges(f.Share) {
		e.crash()
		hasReplacement := f.By > 0
		if hasReplacement {
			s.after(f.By.D(), func() { s.replace(e) })
		}
	}
}

func (s *simulation) isolateExchanges(f scenario.Fault) {
	isolated := s.drawExchanges(f.Share)
	for _, e := range isolated {
		e.isUnreachable = true
	}
	s.afterFault(f, func() {
		for _, e := range isolated {
			e.isUnreachable = false
			e.flush()
		}
	})
}

func (s *simulation) hangExchanges(f scenario.Fault) {
	hung := s.drawExchanges(f.Share)
	for _, e := range hung {
		e.apply(func(x *exchange.Exchange, now Time) { x.Hang(now, true) })
	}
	s.afterFault(f, func() {
		for _, e := range hung {
			e.apply(func(x *exchange.Exchange, now Time) { x.Hang(now, false) })
		}
	})
}

// replaceExchanges deploys replacements one after the other, over the duration of the fault.
func (s *simulation) replaceExchanges(f scenario.Fault) {
	replaced := s.drawExchanges(f.Share)
	for i, e := range replaced {
		delay := f.For.D() * time.Duration(i) / time.Duration(len(replaced))
		s.after(delay, func() { s.deploy(e, max(f.By.D(), minDrainPeriod)) })
	}
}

// loseCircuits takes circuits of all exchanges of one zone out of service.
func (s *simulation) loseCircuits(f scenario.Fault) {
	zone := s.rng.IntN(s.scenario.Fleet.Zones)
	for _, e := range s.exchangesByPool {
		if e.zone != zone || !e.isRunning() {
			continue
		}
		e.apply(func(x *exchange.Exchange, now Time) { x.SetCircuitShare(now, f.Keep) })
		s.afterFault(f, func() {
			e.apply(func(x *exchange.Exchange, now Time) { x.SetCircuitShare(now, 1) })
		})
	}
}

func (s *simulation) dropCalls(f scenario.Fault) {
	for _, e := range s.exchangesByPool {
		e.apply(func(x *exchange.Exchange, now Time) { x.Cutting(now, countOf(x.Standing(), f.Share)) })
	}
}

// injectDiscoveryFault begins a fault of service discovery.
func (s *simulation) injectDiscoveryFault(f scenario.Fault) {
	switch f.Kind {
	case scenario.NamesLost:
		s.faults.isDiscoveryDown = true
		s.afterFault(f, s.endDiscoveryOutage)
	case scenario.NamesLate:
		s.raiseDuration(f, &s.faults.discoveryDelay)
	case scenario.NamesLie:
		s.announceRemoval(f)
	case scenario.Skew:
		s.raiseDuration(f, &s.faults.clockSkew)
	}
}

func (s *simulation) endDiscoveryOutage() {
	s.faults.isDiscoveryDown = false
	for _, c := range s.controllers {
		c.receiveMissedUpdates()
	}
}

// announceRemoval removes exchanges that run from discovery.
func (s *simulation) announceRemoval(f scenario.Fault) {
	removed := s.drawExchanges(f.Share)
	for _, e := range removed {
		e.setState(admission.Removed)
	}
	s.afterFault(f, func() {
		for _, e := range removed {
			if e.isRunning() {
				e.setState(admission.Active)
			}
		}
	})
}

// injectLinkFault begins a fault of the connections between controllers and exchanges.
func (s *simulation) injectLinkFault(f scenario.Fault) {
	switch f.Kind {
	case scenario.Reset:
		s.resetConnections(f)
	case scenario.Half:
		s.raiseShare(f, &s.faults.partialAnswerShare)
	case scenario.Spoil:
		s.raiseShare(f, &s.faults.malformedAnswerShare)
	case scenario.Twice:
		s.raiseShare(f, &s.faults.duplicateAnswerShare)
	case scenario.Lost:
		s.raiseShare(f, &s.faults.lostSetUpShare)
	case scenario.Dead:
		s.killConnections(f)
	case scenario.Sever:
		s.partitionZone(f)
	}
}

func (s *simulation) resetConnections(f scenario.Fault) {
	for _, e := range s.drawExchanges(max(f.Share, minResetShare)) {
		for _, c := range s.controllers {
			c.breakConnection(e, call.ConnectionReset)
		}
	}
}

// killConnections makes connections carry nothing while they stay open, until the controllers detect it.
func (s *simulation) killConnections(f scenario.Fault) {
	for _, e := range s.drawExchanges(f.Share) {
		for _, c := range s.controllers {
			if c.isRunning() {
				c.links.dead[e] = deadUndetected
			}
		}
	}
}

// partitionZone separates one zone from the others.
func (s *simulation) partitionZone(f scenario.Fault) {
	zone := s.rng.IntN(s.scenario.Fleet.Zones)
	s.faults.partitions[zone]++
	s.afterFault(f, func() { s.faults.partitions[zone]-- })
}
