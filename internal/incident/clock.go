package incident

import (
	"math"
	"time"

	"olivedale/internal/record"
)

// Time is a Unix clock reading of some instance, or of the reference.
type Time = record.Time

// maxDriftRate bounds how fast two clocks that nobody steps drift apart: RFC 5905 takes 15 ppm for
// one that is disciplined, crystals are sold with 100 ppm.
const maxDriftRate = 100e-6

// An Offset is how far an instance's clock is ahead of the reference: no figure but an
// interval, since the way there and the way back of an exchange may have taken any share of
// its time. The zero value is not known.
type Offset struct {
	Known    bool
	Min, Max time.Duration
	At       Time // by the instance's clock, when it was tightest
	Peer     string
	Steps    int // exchanges that contradicted all before them: one of the clocks was set
}

// addExchange takes the four time stamps of an exchange, as RFC 5905, section 8, names them: the
// peer sent at T1, the instance received at T2 and sent at T3, the peer received at T4. No
// message arrives before it was sent, so T2-T1 is at least the offset and T3-T4 at most.
func (o *Offset) addExchange(peer string, t [4]int64) {
	lo, hi, at := time.Duration(t[2]-t[3]), time.Duration(t[1]-t[0]), Time(t[2])
	if lo > hi || t[0] > t[3] {
		return // time stamps that cannot be: they say nothing
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

// at is what is known of the offset at another time: less, the further away.
func (o Offset) at(t Time) Offset {
	if !o.Known {
		return o
	}
	far := t - o.At
	if far < 0 {
		far = -far
	}
	wide := time.Duration(math.Ceil(maxDriftRate * float64(far)))
	o.Min, o.Max = o.Min-wide, o.Max+wide
	return o
}

// Mid is the middle of the interval, 0 if nothing is known.
func (o Offset) Mid() time.Duration {
	if !o.Known {
		return 0
	}
	return o.Min + (o.Max-o.Min)/2
}

// A Moment is a time by the reference's clock, as far as it is known.
type Moment struct {
	Earliest, Latest Time
	Known            bool   // Lo and Hi bound it; otherwise they are the instance's own reading
	Peer             string // the reference
	Source           int    // the instance
	Own              Time   // by its own clock
}

// moment is when something happened that an instance saw at own.
func (o Offset) moment(source int, own Time) Moment {
	m := Moment{Earliest: own, Latest: own, Known: o.Known, Peer: o.Peer, Source: source, Own: own}
	if o.Known {
		now := o.at(own)
		m.Earliest, m.Latest = own-now.Max, own-now.Min
	}
	return m
}

// Mid is the middle of what is known.
func (m Moment) Mid() Time { return m.Earliest + (m.Latest-m.Earliest)/2 }

// An Order is what is known of two moments.
type Order int

// Orders.
const (
	OrderUnknown Order = iota
	OrderBefore
	OrderAfter
)

var orderNames = [...]string{"order unknown", "before", "after"}

// String implements fmt.Stringer.
func (o Order) String() string { return orderNames[o] }

// Compare tells whether a was before b: by the instance's own clock where both are of one
// start of one instance, and else only where the intervals do not overlap.
func Compare(a, b Moment) Order {
	if a.Source == b.Source {
		switch {
		case a.Own < b.Own:
			return OrderBefore
		case a.Own > b.Own:
			return OrderAfter
		}
		return OrderUnknown
	}
	switch {
	case !a.Known || !b.Known || a.Peer != b.Peer:
		return OrderUnknown
	case a.Latest < b.Earliest:
		return OrderBefore
	case b.Latest < a.Earliest:
		return OrderAfter
	}
	return OrderUnknown
}

// Delay is how long after a moment another was: an interval, if it is known at all.
func Delay(from, to Moment) (lo, hi time.Duration, known bool) {
	if from.Source == to.Source {
		return to.Own - from.Own, to.Own - from.Own, true
	}
	if !from.Known || !to.Known || from.Peer != to.Peer {
		return 0, 0, false
	}
	return to.Earliest - from.Latest, to.Latest - from.Earliest, true
}
