package server

import (
	"container/list"
	"iter"
	"time"
)

// A roster keeps connections in the order of their last word, each in its seat, so that what is done
// for a message does not grow with their number. The zero value is empty.
type roster[T any] struct{ l list.List }

// A seat is a connection's place on a roster; nil: it has none.
type seat = *list.Element

func (r *roster[T]) len() int      { return r.l.Len() }
func (r *roster[T]) add(v T) seat  { return r.l.PushBack(v) }
func (r *roster[T]) heard(at seat) { r.l.MoveToBack(at) }

// leave gives a seat up; without one it does nothing.
func (r *roster[T]) leave(at *seat) {
	if *at != nil {
		r.l.Remove(*at)
		*at = nil
	}
}

// oldest goes through the roster from the one not heard from for longest. What it hands out may
// leave meanwhile.
func (r *roster[T]) oldest() iter.Seq[T] {
	return func(yield func(T) bool) {
		for e := r.l.Front(); e != nil; {
			next := e.Next()
			if !yield(e.Value.(T)) {
				return
			}
			e = next
		}
	}
}

// latest goes through it from the one last heard from.
func (r *roster[T]) latest() iter.Seq[T] {
	return func(yield func(T) bool) {
		for e := r.l.Back(); e != nil; {
			prev := e.Prev()
			if !yield(e.Value.(T)) {
				return
			}
			e = prev
		}
	}
}

// watch keeps a connection on a roster of those that may become overdue, in the order of the time
// since when they have been silent or half way: only its first ones need to be looked at.
func (r *roster[T]) watch(at *seat, v T, s *stream, now time.Duration) {
	switch {
	case !s.spoke: // it counts from its birth: its seat is right
	case s.half == 0:
		r.leave(at)
		return
	case s.half == now:
		r.leave(at)
	}
	if *at == nil {
		*at = r.add(v)
	}
}
