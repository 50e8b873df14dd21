package eventloop

import (
	"container/list"
	"iter"
	"time"
)

// An IdleList keeps connections in the order of their latest message, least recently used first. What it costs to
// handle a message does not grow with their number. The zero value is empty.
type IdleList[T any] struct{ elements list.List }

// An Element is a connection's place on an IdleList; nil: it is on none.
type Element = *list.Element

// Len returns the number of connections.
func (l *IdleList[T]) Len() int { return l.elements.Len() }

// Add appends a connection as the most recently used.
func (l *IdleList[T]) Add(v T) Element { return l.elements.PushBack(v) }

// Touch makes a connection the most recently used.
func (l *IdleList[T]) Touch(e Element) { l.elements.MoveToBack(e) }

// Remove takes a connection off the list and clears its element; on a nil element it does nothing.
func (l *IdleList[T]) Remove(e *Element) {
	if *e != nil {
		l.elements.Remove(*e)
		*e = nil
	}
}

// Oldest iterates from the least recently used connection. The one handed out may be removed meanwhile.
func (l *IdleList[T]) Oldest() iter.Seq[T] {
	return func(yield func(T) bool) {
		for e := l.elements.Front(); e != nil; {
			next := e.Next()
			if !yield(e.Value.(T)) {
				return
			}
			e = next
		}
	}
}

// Latest iterates from the most recently used connection. The one handed out may be removed meanwhile.
func (l *IdleList[T]) Latest() iter.Seq[T] {
	return func(yield func(T) bool) {
		for e := l.elements.Back(); e != nil; {
			previous := e.Prev()
			if !yield(e.Value.(T)) {
				return
			}
			e = previous
		}
	}
}

// UpdateOverdue keeps a connection on a list of those that may become overdue, after RecordInput at now. The list is
// in the order of the time since when they have been silent or within a message: only its first ones need to be
// looked at.
func (l *IdleList[T]) UpdateOverdue(e *Element, v T, c *Conn, now time.Duration) {
	switch {
	case !c.input.hasMessage: // its time counts from the opening: its place is right
	case c.input.partialSince == 0:
		l.Remove(e)
		return
	case c.input.partialSince == now:
		l.Remove(e)
	}
	if *e == nil {
		*e = l.Add(v)
	}
}
