package record

import (
	"encoding/binary"
	"sync/atomic"
)

// A ring carries payloads from one goroutine, the event loop, to one other, the writer. It
// takes no lock: the loop moves tail, the writer moves head, and each only reads the
// other's. What the writer has read stays in the ring until it says that it is safe, so a
// disk that fails between write and sync loses nothing that is still in memory.
type ring struct {
	buf  []byte // its length is a power of two
	mask uint64
	head atomic.Uint64 // bytes that are safe
	tail atomic.Uint64 // bytes that were put in
}

func newRing(size int) *ring {
	n := 1
	for n < size {
		n <<= 1
	}
	return &ring{buf: make([]byte, n), mask: uint64(n - 1)}
}

// used is how many bytes are not safe yet.
func (r *ring) used() uint64 { return r.tail.Load() - r.head.Load() }

// put appends a payload and tells whether there was room.
func (r *ring) put(p []byte) bool {
	tail := r.tail.Load()
	need := uint64(2 + len(p))
	if tail+need-r.head.Load() > uint64(len(r.buf)) {
		return false
	}
	var size [2]byte
	binary.LittleEndian.PutUint16(size[:], uint16(len(p)))
	r.copyIn(tail, size[:])
	r.copyIn(tail+2, p)
	r.tail.Store(tail + need)
	return true
}

func (r *ring) copyIn(at uint64, p []byte) {
	n := copy(r.buf[at&r.mask:], p)
	copy(r.buf, p[n:])
}

func (r *ring) copyOut(at uint64, p []byte) {
	n := copy(p, r.buf[at&r.mask:])
	copy(p[n:], r.buf)
}

// at returns the payload at a position, into scratch, and the position behind it; ok is
// false at the tail. Only the writer may ask.
func (r *ring) at(pos uint64, scratch []byte) (p []byte, next uint64, ok bool) {
	if pos == r.tail.Load() {
		return nil, pos, false
	}
	var size [2]byte
	r.copyOut(pos, size[:])
	p = scratch[:binary.LittleEndian.Uint16(size[:])]
	r.copyOut(pos+2, p)
	return p, pos + 2 + uint64(len(p)), true
}
