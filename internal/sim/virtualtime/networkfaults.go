package virtualtime

import (
	"olivedale/internal/admission"
	"olivedale/internal/call"
	"olivedale/internal/sim/scenario"
)

// minResetShare makes a reset without a share affect one exchange.
const minResetShare = 0.001

// stopDiscovery holds back all endpoint updates while the fault lasts.
func (s *simulation) stopDiscovery(f scenario.Fault) {
	s.faults.isDiscoveryDown = true
	s.afterFault(f, func() {
		s.faults.isDiscoveryDown = false
		for _, c := range s.controllers {
			c.receiveMissedUpdates()
		}
	})
}

// announceRemoval removes running exchanges from discovery while the fault lasts.
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

func (s *simulation) resetConnections(f scenario.Fault) {
	for _, e := range s.drawExchanges(max(f.Share, minResetShare)) {
		for _, c := range s.controllers {
			c.breakConnection(e, call.ConnectionReset)
		}
	}
}

// killConnections makes connections to exchanges dead: they stay open but deliver no messages until the controllers
// detect it.
func (s *simulation) killConnections(f scenario.Fault) {
	for _, e := range s.drawExchanges(f.Share) {
		for _, c := range s.controllers {
			if c.isRunning() {
				c.links.dead[e] = deadUndetected
			}
		}
	}
}

// partitionZone separates one zone from the others while the fault lasts.
func (s *simulation) partitionZone(f scenario.Fault) {
	zone := s.rng.IntN(s.scenario.Fleet.Zones)
	s.faults.partitions[zone]++
	s.afterFault(f, func() { s.faults.partitions[zone]-- })
}
