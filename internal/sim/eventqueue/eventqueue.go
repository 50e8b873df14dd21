// Package eventqueue holds the future events of a simulation, ordered by due time. Events that are due at the same time
// are returned in the order in which they were pushed, so that a run is reproducible byte for byte from its seed. The
// queue has no clock and runs no events; its owner does both.
package eventqueue

import (
	"container/heap"
	"math"
	"time"
)

// Time is a reading of the owner's clock.
type Time = time.Duration

// Never is later than the due time of any event. Queue.NextTime returns it for an empty queue.
const Never = Time(math.MaxInt64)

// Queue is a priority queue of events of type T. The zero value is empty and ready to use. A Queue is not safe for
// concurrent use.
type Queue[T any] struct {
	entries  entryHeap[T]
	sequence uint64 // number of the entry that was pushed last
}

// Len returns the number of events in the queue.
func (q *Queue[T]) Len() int { return len(q.entries) }

// NextTime returns the due time of the first event, or Never if the queue is empty.
func (q *Queue[T]) NextTime() Time {
	if len(q.entries) == 0 {
		return Never
	}
	return q.entries[0].due
}

// Push adds an event that is due at the given time.
func (q *Queue[T]) Push(due Time, event T) {
	q.sequence++
	heap.Push(&q.entries, &entry[T]{due: due, sequence: q.sequence, event: event})
}

// Pop removes the first event and returns it with its due time. It panics if the queue is empty.
func (q *Queue[T]) Pop() (due Time, event T) {
	first := heap.Pop(&q.entries).(*entry[T])
	return first.due, first.event
}

type entry[T any] struct {
	due      Time
	sequence uint64
	event    T
}

// entryHeap implements heap.Interface, ordered by due time and then by sequence.
type entryHeap[T any] []*entry[T]

func (h entryHeap[T]) Len() int { return len(h) }

func (h entryHeap[T]) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].sequence < h[j].sequence
}

func (h entryHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *entryHeap[T]) Push(x any) { *h = append(*h, x.(*entry[T])) }

func (h *entryHeap[T]) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = nil // release the event to the garbage collector
	*h = (*h)[:last]
	return popped
}
