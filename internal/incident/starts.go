package incident

import "olivedale/internal/record"

// currentStart returns the start that the latest record belongs to.
func (p *Part) currentStart() *Start { return &p.Starts[len(p.Starts)-1] }

// beginStart begins another start, or merges it into the last one if there are too many.
func (p *Part) beginStart(h *record.Header, r *record.Record) {
	if n := len(p.Starts); n > 0 {
		p.endStart(n - 1)
		if n >= maxStarts { // a program in a crash loop
			s := p.currentStart()
			s.RunID = h.RunID
			s.Clean = false
			s.Stopping = 0
			s.Offset = Offset{}
			s.hasWallClock = false
			p.MergedStarts++
			return
		}
	}
	p.Starts = append(p.Starts, Start{RunID: h.RunID, Program: h.Program, From: r.At, To: r.At})
}

// endStart ends a start that is followed by another: its open calls will not be answered any more.
func (p *Part) endStart(n int) {
	s := &p.Starts[n]
	reason := ReasonKilled
	if s.Clean {
		reason = ReasonUnknown
	}
	p.closeOpenCalls(reason)
	p.closeOngoing(s.To)
	if !s.Clean {
		// Records that had not been written to disk are lost, and their number is not known.
		p.UnknownLosses++
		p.addGap(Gap{Cause: "killed", Since: s.To, Until: s.To})
	}
}

// closeOngoing ends the overload periods, drains and cold starts of a start, and its counters.
func (p *Part) closeOngoing(at Time) {
	for _, i := range p.ongoing.overloads {
		if p.OverloadPeriods[i].To == 0 {
			p.OverloadPeriods[i].To = at
		}
	}
	clear(p.ongoing.overloads)
	clear(p.ongoing.drains)
	clear(p.ongoing.coldStarts)
	clear(p.lastCounters)
}

// checkStart counts a loss if the first start in the records follows one that is missing and was not shut down in
// order.
func (p *Part) checkStart(r *record.Record) {
	if len(p.Starts) < 2 && !r.Flag {
		// The flag is not set: the start before this one had no orderly shutdown, and it is not in the records.
		p.UnknownLosses++
	}
}
