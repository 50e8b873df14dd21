package incident

import "olivedale/internal/record"

// currentStart is the start that the latest record belongs to.
func (p *Part) currentStart() *Start { return &p.Starts[len(p.Starts)-1] }

// beginStart opens the account of another start.
func (p *Part) beginStart(h *record.Header, r *record.Record) {
	if n := len(p.Starts); n > 0 {
		p.endStart(n - 1)
		if n >= maxStarts { // a program that crashes in a loop
			s := p.currentStart()
			s.Boot = h.RunID
			s.Clean = false
			s.Stopping = 0
			s.Offset = Offset{}
			s.hasWallClock = false
			p.MergedStarts++
			return
		}
	}
	p.Starts = append(p.Starts, Start{Boot: h.RunID, Program: h.Program, From: r.At, To: r.At})
}

// endStart ends the account of a start that another follows: it never answers what it has not answered.
func (p *Part) endStart(n int) {
	s := &p.Starts[n]
	reason := ReasonKilled
	if s.Clean {
		reason = ReasonUnknown
	}
	p.giveUpOpenCalls(reason)
	p.closeOngoing(s.To)
	if !s.Clean {
		// Records that had not reached the disk are lost, and their number is not known.
		p.UnknownLosses++
		p.addGap(Gap{Cause: "killed", Since: s.To, Until: s.To})
	}
}

// closeOngoing ends what a start assumed of servers.
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

// noteStart takes the record that a program writes when it starts.
func (p *Part) noteStart(r *record.Record) {
	if len(p.Starts) < 2 && !r.Flag {
		// The start before this one is not in the records, and it did not end in good order.
		p.UnknownLosses++
	}
}
