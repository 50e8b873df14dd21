package virtualtime

import (
	"time"

	"olivedale/internal/sim/exchange"
	"olivedale/internal/sim/scenario"
)

// minDrainPeriod is the minimum drain period of an exchange that is replaced.
const minDrainPeriod = 5 * time.Second

func (s *simulation) slowExchanges(f scenario.Fault) {
	slowed := s.drawExchanges(f.Share)
	for _, e := range slowed {
		e.model.SetSlowdown(f.Factor)
	}
	s.afterFault(f, func() {
		for _, e := range slowed {
			e.model.SetSlowdown(1)
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
		e.apply(func(x *exchange.Exchange, now Time) { x.SetHung(now, true) })
	}
	s.afterFault(f, func() {
		for _, e := range hung {
			e.apply(func(x *exchange.Exchange, now Time) { x.SetHung(now, false) })
		}
	})
}

// replaceExchanges deploys replacements one after the other, spread over the duration of the fault.
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
		e.apply(func(x *exchange.Exchange, now Time) { x.DropCalls(now, countOf(x.EstablishedCalls(), f.Share)) })
	}
}
