// Package sabourin redraws the curves of the paper that the design stands on, "Overload control in a
// distributed switching system with call priorities" (ITC-13): traffic handled against traffic offered,
// by his theory and by a run of the laboratory's exchange with his counting of calls at its door.
package sabourin

import (
	"math/rand/v2"
	"time"

	"olivedale/internal/sim/exchange"
)

// A Mix is the kinds of calls in the order in which they are turned away: non-urgent outgoing calls
// past S1, the other non-urgent ones past S2, urgent ones never.
type Mix struct {
	Share  [3]float64 // outgoing, incoming, urgent
	Reject float64    // cost of a rejected call over that of an accepted one
	S1, S2 float64    // thresholds of the load
}

// Paper is what the paper has: thresholds of 0.8 and 0.9, and costs of rejected calls of 0 (its ideal)
// and 30 to 50% of an accepted one's. Its shares of calls are not given; these are ours.
func Paper(reject float64) Mix {
	return Mix{Share: [3]float64{0.5, 0.4, 0.1}, Reject: reject, S1: 0.8, S2: 0.9}
}

// Theory is the handled and the total load for an offered one (section 3 of the paper): as long as
// rejections permit, the total load is kept at S1, then at S2, then it goes as it will.
func (m Mix) Theory(offered float64) (handled, total float64) {
	// With a share of one kind turned away the total is offered*(1 - turned*(1-Reject)).
	gone := 0.0 // share of all calls that is turned away whole
	for i, threshold := range []float64{m.S1, m.S2} {
		if total = offered * (1 - gone*(1-m.Reject)); total <= threshold {
			return offered * (1 - gone), total
		}
		if most := gone + m.Share[i]; offered*(1-most*(1-m.Reject)) <= threshold {
			turned := (1 - threshold/offered) / (1 - m.Reject)
			return offered * (1 - turned), threshold
		}
		gone += m.Share[i]
	}
	return offered * (1 - gone), offered * (1 - gone*(1-m.Reject))
}

// Collapse is the offered load from which rejections alone take more than S2: what is left is urgent
// calls, and from there the total load grows without bound.
func (m Mix) Collapse() float64 {
	gone := m.Share[0] + m.Share[1]
	return m.S2 / (1 - gone*(1-m.Reject))
}

// Figures of the paper's counting procedure (section 4.2).
const (
	period = 100 * time.Millisecond
	window = 30 // periods: 3 s
)

// Run plays a processor with that mix for so long and measures the handled and the total load. A call
// takes work on its way in only, 10 ms if it is accepted.
func (m Mix) Run(offered float64, long time.Duration, seed uint64) (handled, total float64) {
	const accepted = 10 * time.Millisecond
	set := exchange.Settings{SetUp: accepted, Reject: time.Duration(m.Reject * float64(accepted)), Lines: 1 << 30, Vary: 0.3,
		Holding: map[string]time.Duration{"": time.Millisecond}}
	x := exchange.New(set, 0, false, rand.New(rand.NewPCG(seed, 1)))
	rng := rand.New(rand.NewPCG(seed, 2))
	rate := offered / accepted.Seconds()
	var off, acc [window]float64
	at, state := 0, 0
	next := period
	var now time.Duration
	warm := long / 5
	var work0 time.Duration
	taken, taken0 := 0, 0
	for n := 0; now < long; n++ {
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		for ; next <= now; next += period {
			var o, a float64
			for i := range off {
				o, a = o+off[i], a+acc[i]
			}
			cr, ca := set.Reject.Seconds(), accepted.Seconds()
			estimate := (o*cr + a*(ca-cr)) / (window * period.Seconds())
			switch {
			case estimate > m.S2:
				state = 2
			case estimate > m.S1:
				state = 1
			default:
				state = 0
			}
			at = (at + 1) % window
			off[at], acc[at] = 0, 0
		}
		for due := x.Next(); due <= now; due = x.Next() {
			x.Tick(due)
			x.Take()
		}
		if now > warm && work0 == 0 {
			work0, taken0 = x.Work, taken
		}
		kind, draw := 0, rng.Float64()
		for kind < 2 && draw >= m.Share[kind] {
			draw -= m.Share[kind]
			kind++
		}
		off[at]++
		a := exchange.Attempt{N: n}
		if kind < state {
			x.TurnAway(now, "", a)
			continue
		}
		acc[at]++
		taken++
		x.Invite(now, "", a, "")
	}
	span := (now - warm).Seconds()
	return float64(taken-taken0) * accepted.Seconds() / span, (x.Work - work0).Seconds() / span
}
