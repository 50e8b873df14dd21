package incident

import (
	"fmt"
	"time"
)

// reportedSkew is the difference between two clocks, or the step of one, above which it is reported.
const reportedSkew = 100 * time.Millisecond

// findLosses finds instances that were killed, gaps, and set-ups without an answer.
func (r *Report) findLosses(parts []*Part) {
	for n, p := range parts {
		r.findKills(n, p)
		r.findGaps(n, p)
		r.findUnanswered(n, p)
	}
}

func (r *Report) findKills(part int, p *Part) {
	for i := range p.Starts[:max(len(p.Starts)-1, 0)] {
		s := &p.Starts[i]
		if s.Clean {
			continue
		}
		from, next := r.moment(part, i, s.To), r.moment(part, i+1, p.Starts[i+1].From)
		pause := (next.Mid() - from.Mid()).Round(time.Millisecond)
		r.add(Finding{
			Kind:       FoundKilled,
			Instance:   p.Instance,
			From:       from,
			To:         next,
			IsFault:    true,
			Incomplete: true,
			Refs:       []Ref{{p.Instance, fmt.Sprintf("%016x", s.RunID), 0}},
			Text:       fmt.Sprintf("the last record was written %v before the next start", pause),
		})
	}
}

func (r *Report) findGaps(part int, p *Part) {
	for _, g := range p.Gaps {
		if g.From == 0 {
			continue // reported as a kill
		}
		r.add(Finding{
			Kind:       FoundGap,
			Instance:   p.Instance,
			From:       r.moment(part, g.startIndex, g.Since),
			To:         r.moment(part, g.startIndex, g.Until),
			IsFault:    true,
			Incomplete: true,
			Refs:       []Ref{{p.Instance, fmt.Sprintf("%016x", p.Starts[g.startIndex].RunID), g.To}},
			Text:       fmt.Sprintf("%d records, %d to %d: %s", g.To-g.From+1, g.From, g.To, g.Cause),
		})
	}
}

func (r *Report) findUnanswered(part int, p *Part) {
	n := p.NoAnswer[ReasonUnknown]
	if n == 0 {
		return
	}
	f := Finding{
		Kind:     FoundUnanswered,
		Instance: p.Instance,
		IsFault:  true,
		Text:     fmt.Sprintf("%d: %s", n, ReasonUnknown),
	}
	for _, u := range p.Unanswered {
		if u.Reason != ReasonUnknown || len(f.Refs) >= maxUnansweredRefs {
			continue
		}
		at := r.moment(part, u.startIndex, u.At)
		if len(f.Refs) == 0 {
			f.From = at
		}
		f.To = at
		f.Refs = append(f.Refs, u.Ref)
	}
	r.add(f)
}

// findClockFaults finds clocks that were set, and clocks that certainly differ by more than reportedSkew.
func (r *Report) findClockFaults() {
	for _, i := range r.Instances {
		for _, s := range i.Starts {
			r.findClockSteps(i.Name, s)
			o := s.Offset
			if !o.Known || o.Min <= reportedSkew && o.Max >= -reportedSkew {
				continue
			}
			r.add(Finding{
				Kind:     FoundSkew,
				Instance: i.Name,
				From:     s.From,
				To:       s.To,
				Text: fmt.Sprintf("%v to %v ahead of %s; times in this report are corrected",
					o.Min.Round(time.Millisecond), o.Max.Round(time.Millisecond), o.Peer),
			})
		}
	}
}

func (r *Report) findClockSteps(instance string, s Run) {
	for _, step := range s.Steps {
		if step.By > -reportedSkew && step.By < reportedSkew {
			continue // an ordinary correction, as time synchronization makes it
		}
		at := s.Offset.moment(s.From.Source, step.At)
		r.add(Finding{
			Kind:     FoundStep,
			Instance: instance,
			From:     at,
			To:       at,
			Text: fmt.Sprintf("the system's clock was set by %v; times in this report do not follow it",
				step.By.Round(time.Millisecond)),
		})
	}
}
