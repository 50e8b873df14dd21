package incident

import (
	"cmp"
	"time"
)

// A Moment is a time by the reference's clock, as an interval that certainly contains it.
type Moment struct {
	Earliest, Latest Time
	Known            bool   // the times are by the reference's clock; otherwise by the instance's own
	Peer             string // the reference
	Source           int    // number of the start that observed it
	Own              Time   // by the clock of that start
}

// moment converts a time by the instance's own clock into one by the reference's clock.
func (o Offset) moment(source int, own Time) Moment {
	m := Moment{Earliest: own, Latest: own, Known: o.Known, Peer: o.Peer, Source: source, Own: own}
	if o.Known {
		now := o.at(own)
		m.Earliest, m.Latest = own-now.Max, own-now.Min
	}
	return m
}

// Mid returns the middle of the interval.
func (m Moment) Mid() Time { return m.Earliest + (m.Latest-m.Earliest)/2 }

// An Order is the order of two moments, as far as it is known.
type Order int

// The orders.
const (
	OrderUnknown Order = iota
	OrderBefore
	OrderAfter
)

var orderNames = [...]string{"order unknown", "before", "after"}

// String implements fmt.Stringer.
func (o Order) String() string { return orderNames[o] }

// Compare returns the order of a and b. Moments of one start are compared by the instance's own clock, others only if
// their intervals do not overlap.
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

// Delay returns the time that passed between two moments as an interval; known is false if their clocks were not
// compared with the same reference.
func Delay(from, to Moment) (lo, hi time.Duration, known bool) {
	if from.Source == to.Source {
		return to.Own - from.Own, to.Own - from.Own, true
	}
	if !from.Known || !to.Known || from.Peer != to.Peer {
		return 0, 0, false
	}
	return to.Earliest - from.Latest, to.Latest - from.Earliest, true
}

// compareMid orders moments by the middles of their intervals.
func compareMid(a, b Moment) int { return cmp.Compare(a.Mid(), b.Mid()) }
