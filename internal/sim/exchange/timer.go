package exchange

import "time"

type timerKind uint8

const (
	retransmitTimer timerKind = iota // a queued set-up is retransmitted
	answerTimer                      // the called party answers
	holdingTimer                     // the holding time of an established call ends
)

type timer struct {
	kind timerKind
	call *call
	gap  time.Duration // time since the previous transmission; set for retransmitTimer only
}

// onTimer handles a timer that is due. It ignores the timer if the call has left the phase to which it belongs.
func (x *Exchange) onTimer(now Time, t timer) {
	c := t.call
	switch {
	case t.kind == retransmitTimer && c.phase == phaseQueued:
		x.Repeats++
		x.processor.pushSetUp(retransmissionJob, c)
		x.scheduleRetransmission(now, c, 2*t.gap)
	case t.kind == answerTimer && c.phase == phaseRinging:
		c.phase = phaseAnswering
		x.processor.completions.push(job{answerJob, c})
	case t.kind == holdingTimer && c.phase == phaseEstablished:
		x.beginRelease(c)
	}
}

func (x *Exchange) scheduleRetransmission(now Time, c *call, gap time.Duration) {
	x.timers.Push(now+gap, timer{kind: retransmitTimer, call: c, gap: gap})
}

// scheduleTimer sets a timer that is due after an exponentially distributed time.
func (x *Exchange) scheduleTimer(now Time, kind timerKind, c *call, mean time.Duration) {
	x.timers.Push(now+x.randomExponential(mean), timer{kind: kind, call: c})
}
