package eventloop

import (
	"container/list"
	"iter"
	"time"
)

// An IdleList keeps connections ordered by their latest message, least recently used first. All operations except
// iteration take constant time, so the cost per message does not depend on the number of connections. The zero value
// is an empty list.
type IdleList[T any] struct{ elements list.List }

// An Element is the position of a connection in an IdleList, or nil if the connection is not in a list.
type Element = *list.Element

// Len returns the number of connections.
func (l *IdleList[T]) Len() int { return l.elements.Len() }

// Add appends a connection as the most recently used.
func (l *IdleList[T]) Add(v T) Element { return l.elements.PushBack(v) }

// Touch makes a connection the most recently used.
func (l *IdleList[T]) Touch(e Element) { l.elements.MoveToBack(e) }

// Remove removes a connection from the list and sets its element to nil. It does nothing if the element is nil.
func (l *IdleList[T]) Remove(e *Element) {
	if *e != nil {
		l.elements.Remove(*e)
		*e = nil
	}
}

// Oldest iterates over the connections, least recently used first. The current connection may be removed during the
// iteration.
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

// Latest iterates over the connections, most recently used first. The current connection may be removed during the
// iteration.
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

// UpdateOverdue updates the position of a connection in a list of connections that may become overdue, after a call of
// RecordInput at time now. The list is ordered by the time since when the connections have been without a complete
// message or within a partial one, so overdue connections are at its front.
func (l *IdleList[T]) UpdateOverdue(e *Element, v T, c *Conn, now time.Duration) {
	switch {
	case !c.input.hasMessage: // the timeout runs from the opening, so the position is unchanged
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
