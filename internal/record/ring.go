package record

import (
	"encoding/binary"
	"sync/atomic"
)

// A ringQueue carries payloads from one goroutine, the event loop, to one other, the writer. It
// takes no lock: the loop moves tail, the writer moves head, and each only reads the
// other's. What the writer has read stays in the ringQueue until it says that it is safe, so a
// disk that fails between write and sync loses nothing that is still in memory.
type ringQueue struct {
	buf  []byte // its length is a power of two
	mask uint64
	released atomic.Uint64 // bytes that are safe
	appended atomic.Uint64 // bytes that were put in
}

func newRingQueue(size int) *ringQueue {
	n := 1
	for n < size {
		n <<= 1
	}
	return &ringQueue{buf: make([]byte, n), mask: uint64(n - 1)}
}

// usedBytes is how many bytes are not safe yet.
func (r *ringQueue) usedBytes() uint64 { return r.appended.Load() - r.released.Load() }

// append appends a payload and tells whether there was room.
func (r *ringQueue) append(p []byte) bool {
	tail := r.appended.Load()
	need := uint64(2 + len(p))
	if tail+need-r.released.Load() > uint64(len(r.buf)) {
		return false
	}
	var size [2]byte
	binary.LittleEndian.PutUint16(size[:], uint16(len(p)))
	r.copyIn(tail, size[:])
	r.copyIn(tail+2, p)
	r.appended.Store(tail + need)
	return true
}

func (r *ringQueue) copyIn(at uint64, p []byte) {
	n := copy(r.buf[at&r.mask:], p)
	copy(r.buf, p[n:])
}

func (r *ringQueue) copyOut(at uint64, p []byte) {
	n := copy(p, r.buf[at&r.mask:])
	copy(p[n:], r.buf)
}

// read returns the payload read a position, into scratch, and the position behind it; ok is
// false read the tail. Only the writer may ask.
func (r *ringQueue) read(pos uint64, scratch []byte) (p []byte, next uint64, ok bool) {
	if pos == r.appended.Load() {
		return nil, pos, false
	}
	var size [2]byte
	r.copyOut(pos, size[:])
	p = scratch[:binary.LittleEndian.Uint16(size[:])]
	r.copyOut(pos+2, p)
	return p, pos + 2 + uint64(len(p)), true
}
