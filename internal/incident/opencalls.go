package incident

import (
	"fmt"
	"time"
)

// openCalls are the calls whose final answer is awaited.
type openCalls struct {
	byID  map[string]openCall
	order []string // in the order in which they were offered; it may name calls that are answered
}

// An openCall is a call whose final answer is awaited.
type openCall struct {
	class     string
	offeredAt Time
	seq       uint64 // of its record
}

// add adds a call; a second one under the same id takes the place of the first.
func (o *openCalls) add(id string, c openCall) {
	if _, ok := o.byID[id]; !ok {
		o.order = append(o.order, id)
	}
	o.byID[id] = c
}

// giveUpOpenCalls ends the wait for the answers of all open calls.
func (p *Part) giveUpOpenCalls(reason string) {
	for _, id := range p.open.order {
		if c, ok := p.open.byID[id]; ok {
			p.addUnanswered(id, c, reason)
		}
	}
	clear(p.open.byID)
	p.open.order = p.open.order[:0]
}

// expireOpenCalls ends the wait for calls that are open for longer than any call may be, and for the oldest ones if
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

// addUnanswered counts a call without a final answer. A gap since its set-up explains it, whatever the reason given.
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
		Ref:        Ref{p.Instance, fmt.Sprintf("%016x", p.currentStart().Boot), c.seq},
		startIndex: len(p.Starts) - 1,
	})
}
