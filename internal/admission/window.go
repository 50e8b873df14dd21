package admission

// maxWindowPeriods is the maximum number of periods that a slidingCounter covers.
const maxWindowPeriods = 300

// A slidingCounter counts events over the latest periods, including the current one.
// The zero value is an empty counter.
type slidingCounter struct {
	slots   [maxWindowPeriods]uint16 // ring buffer of counts per period
	current int                      // slot of the current period
	periods int                      // number of full periods covered
	sum     int                      // number of events in all periods covered
}

// add counts an event in the current period.
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
