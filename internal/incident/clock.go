package incident

import (
	"math"
	"time"

	"olivedale/internal/record"
)

// Time is a Unix clock reading, of an instance or of the reference.
type Time = record.Time

// maxDriftRate bounds how fast two clocks that are not stepped drift apart: RFC 5905 assumes 15 ppm for a disciplined
// clock; crystals are sold with 100 ppm.
const maxDriftRate = 100e-6

// An Offset is how far an instance's clock is ahead of the reference. It is an interval, since the delay of an exchange
// may be divided in any way between its two directions. The zero value is unknown.
type Offset struct {
	Known    bool
	Min, Max time.Duration
	At       Time // time by the instance's clock to which Min and Max refer
	Peer     string
	Steps    int // exchanges that are inconsistent with all earlier ones: one of the clocks was set
}

// addExchange adds the four time stamps of an exchange, named as in RFC 5905, section 8: the peer sent at T1, the
// instance received at T2 and sent at T3, the peer received at T4. No message arrives before it was sent, so the offset
// is at most T2-T1 and at least T3-T4.
func (o *Offset) addExchange(peer string, t [4]int64) {
	lo, hi, at := time.Duration(t[2]-t[3]), time.Duration(t[1]-t[0]), Time(t[2])
	if lo > hi || t[0] > t[3] {
		return // the time stamps contradict each other
	}
	if !o.Known || o.Peer != peer {
		*o = Offset{Known: true, Min: lo, Max: hi, At: at, Peer: peer, Steps: o.Steps}
		return
	}
	old := o.at(at)
	if max(lo, old.Min) > min(hi, old.Max) {
		*o = Offset{Known: true, Min: lo, Max: hi, At: at, Peer: peer, Steps: o.Steps + 1}
		return
	}
	o.Min, o.Max, o.At = max(lo, old.Min), min(hi, old.Max), at
}

// at returns the offset at another time. The interval widens by maxDriftRate with the time between the two.
func (o Offset) at(t Time) Offset {
	if !o.Known {
		return o
	}
	elapsed := t - o.At
	if elapsed < 0 {
		elapsed = -elapsed
	}
	drift := time.Duration(math.Ceil(maxDriftRate * float64(elapsed)))
	o.Min, o.Max = o.Min-drift, o.Max+drift
	return o
}

// Mid returns the middle of the interval, 0 if the offset is unknown.
func (o Offset) Mid() time.Duration {
	if !o.Known {
		return 0
	}
	return o.Min + (o.Max-o.Min)/2
}
