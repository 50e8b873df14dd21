package incident

import (
	"fmt"
	"time"
)

// openCalls holds the calls that have no final answer yet.
type openCalls struct {
	byID  map[string]openCall
	order []string // ids in the order of the offers; some may be of calls that are answered meanwhile
}

// An openCall is a call that has no final answer yet.
type openCall struct {
	class     string
	offeredAt Time
	seq       uint64 // of its record
}

// add adds a call; a second one with the same id replaces the first.
func (o *openCalls) add(id string, c openCall) {
	if _, ok := o.byID[id]; !ok {
		o.order = append(o.order, id)
	}
	o.byID[id] = c
}

// closeOpenCalls counts all open calls as unanswered.
func (p *Part) closeOpenCalls(reason string) {
	for _, id := range p.open.order {
		if c, ok := p.open.byID[id]; ok {
			p.addUnanswered(id, c, reason)
		}
	}
	clear(p.open.byID)
	p.open.order = p.open.order[:0]
}

// expireOpenCalls counts calls as unanswered that are open for longer than any deadline allows, and the oldest ones if
// there are too many.
func (p *Part) expireOpenCalls(now Time) {
	timeout := defaultAnswerTimeout
	if p.settings.longestDeadline > 0 {
		timeout = 2*p.settings.longestDeadline + time.Second
	}
	for len(p.open.order) > 0 {
		id := p.open.order[0]
		c, ok := p.open.byID[id]
		mayWait := now-c.offeredAt < timeout && len(p.open.byID) < maxOpenCalls
		if ok && mayWait {
			return
		}
		p.open.order = p.open.order[1:]
		if ok {
			delete(p.open.byID, id)
			p.addUnanswered(id, c, ReasonUnknown)
		}
	}
}

// addUnanswered counts a call without a final answer. If records are lost since its set-up, the reason is ReasonGap
// instead of the given one.
func (p *Part) addUnanswered(id string, c openCall, reason string) {
	if p.lastGapEnd >= c.offeredAt {
		reason = ReasonGap
	}
	p.NoAnswer[reason]++
	if len(p.Unanswered) >= maxUnanswered {
		p.OmittedEntries++
		return
	}
	p.Unanswered = append(p.Unanswered, UnansweredCall{
		Call:       id,
		Class:      c.class,
		At:         c.offeredAt,
		Reason:     reason,
		Ref:        Ref{p.Instance, fmt.Sprintf("%016x", p.currentStart().RunID), c.seq},
		startIndex: len(p.Starts) - 1,
	})
}
