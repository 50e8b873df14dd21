package virtualtime

import (
	"time"

	"olivedale/internal/sim/scenario"
)

const (
	minDowntime = 100 * time.Millisecond // of a controller that is restarted
	rollBatches = 10                     // a rolling restart takes the controllers in this many batches
)

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
