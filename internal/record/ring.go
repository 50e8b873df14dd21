package record

import (
	"encoding/binary"
	"sync/atomic"
)

// lengthPrefixSize is the size in bytes of the length that precedes each payload in a ringQueue.
const lengthPrefixSize = 2

// A ringQueue is a lock-free queue of payloads in a ring buffer, with one producer, the event loop, and one consumer,
// the writer. The producer advances appended, the consumer advances released, and each only reads the position of the
// other. A payload that was read stays in the queue until its position is released, so no record is lost if the disk
// fails between write and sync.
type ringQueue struct {
	buf      []byte        // its length is a power of two
	mask     uint64        // len(buf) - 1
	released atomic.Uint64 // position up to which the buffer may be overwritten
	appended atomic.Uint64 // position after the last payload
}

// newRingQueue returns a queue of minSize bytes, rounded up to a power of two.
func newRingQueue(minSize int) *ringQueue {
	size := 1
	for size < minSize {
		size <<= 1
	}
	return &ringQueue{buf: make([]byte, size), mask: uint64(size - 1)}
}

// size returns the capacity in bytes.
func (q *ringQueue) size() uint64 { return uint64(len(q.buf)) }

// usedBytes returns how many bytes have not been released.
func (q *ringQueue) usedBytes() uint64 { return q.appended.Load() - q.released.Load() }

// append adds a payload and reports whether the queue had room for it. Only the producer may call it.
func (q *ringQueue) append(payload []byte) bool {
	position := q.appended.Load()
	end := position + uint64(lengthPrefixSize+len(payload))
	if end-q.released.Load() > q.size() {
		return false
	}
	var length [lengthPrefixSize]byte
	binary.LittleEndian.PutUint16(length[:], uint16(len(payload)))
	q.copyIn(position, length[:])
	q.copyIn(position+lengthPrefixSize, payload)
	q.appended.Store(end)
	return true
}

// read copies the payload at a position into buffer and returns it with the position of the next payload. ok is
// false at the end of the queue. Only the consumer may call it.
func (q *ringQueue) read(position uint64, buffer []byte) (payload []byte, next uint64, ok bool) {
	if position == q.appended.Load() {
		return nil, position, false
	}
	var length [lengthPrefixSize]byte
	q.copyOut(position, length[:])
	payload = buffer[:binary.LittleEndian.Uint16(length[:])]
	q.copyOut(position+lengthPrefixSize, payload)
	return payload, position + lengthPrefixSize + uint64(len(payload)), true
}

// copyIn copies b into the buffer at a position, wrapping around at its end.
func (q *ringQueue) copyIn(position uint64, b []byte) {
	n := copy(q.buf[position&q.mask:], b)
	copy(q.buf, b[n:])
}

// copyOut fills b from the buffer at a position, wrapping around at its end.
func (q *ringQueue) copyOut(position uint64, b []byte) {
	n := copy(b, q.buf[position&q.mask:])
	copy(b[n:], q.buf)
}
