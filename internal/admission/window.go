package admission

// maxWindowPeriods bounds the number of periods that a slidingCounter covers.
const maxWindowPeriods = 300

// A slidingCounter counts events over the latest periods, the current one included.
// The zero value is an empty counter.
type slidingCounter struct {
	slots   [maxWindowPeriods]uint16 // counts by period, a ring
	current int                      // slot of the current period
	periods int                      // full periods that the counter covers
	sum     int                      // events in all periods covered
}

// add counts one event in the current period.
func (s *slidingCounter) add() {
	s.slots[s.current]++
	s.sum++
}

// roll starts a new period and drops the oldest ones until fewer than limit full periods remain.
func (s *slidingCounter) roll(limit int) {
	s.current = (s.current + 1) % maxWindowPeriods
	s.slots[s.current] = 0
	s.periods++
	for s.periods >= limit {
		oldest := &s.slots[(s.current-s.periods+maxWindowPeriods)%maxWindowPeriods]
		s.sum -= int(*oldest)
		*oldest = 0
		s.periods--
	}
}
