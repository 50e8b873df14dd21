// Package agenda keeps things by the time at which they are due. Of two that are due at one time the
// one that was put down first comes first, so that a run repeats to the byte.
package eventqueue

import (
	"math"
	"time"
)

// A Time is a reading of whatever clock the owner keeps.
type Time = time.Duration

// Never is later than anything.
const Never = Time(math.MaxInt64)

// An Agenda is a heap. The zero value is empty.
type Agenda[T any] struct {
	all []item[T]
	seq uint64
}

type item[T any] struct {
	at  Time
	seq uint64
	v   T
}

func (x *item[T]) before(y *item[T]) bool { return x.at < y.at || x.at == y.at && x.seq < y.seq }

// Len counts what is put down.
func (a *Agenda[T]) Len() int { return len(a.all) }

// Next is when the first is due, Never if there is none.
func (a *Agenda[T]) Next() Time {
	if len(a.all) == 0 {
		return Never
	}
	return a.all[0].at
}

// Add puts something down.
func (a *Agenda[T]) Add(at Time, v T) {
	a.seq++
	a.all = append(a.all, item[T]{at, a.seq, v})
	h := a.all
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if !h[i].before(&h[up]) {
			return
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

// Pop takes the first off; there must be one.
func (a *Agenda[T]) Pop() (Time, T) {
	h := a.all
	top, last := h[0], len(h)-1
	h[0] = h[last]
	h[last] = item[T]{} // nothing is held that is over
	h = h[:last]
	a.all = h
	for i := 0; ; {
		least := 2*i + 1
		if least >= len(h) {
			return top.at, top.v
		}
		if least+1 < len(h) && h[least+1].before(&h[least]) {
			least++
		}
		if !h[least].before(&h[i]) {
			return top.at, top.v
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}
