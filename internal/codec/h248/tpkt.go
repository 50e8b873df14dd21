package h248

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// MaxMessageSize is the maximum size of a message in bytes, including its TPKT header.
const MaxMessageSize = 16 << 10

// A TPKT header (RFC 1006, section 6) consists of a version byte, a reserved byte and a two-byte length of the frame,
// which includes the header.
const (
	frameHeaderSize   = 4
	frameVersion      = 3
	frameReserved     = 0
	frameLengthOffset = 2
)

// A Framer extracts messages from a stream of TPKT frames. The zero value is ready to use.
type Framer struct {
	buffer []byte // received bytes that have not been consumed
}

// HasPartial reports whether a partial frame is buffered.
func (f *Framer) HasPartial() bool { return len(f.buffer) > 0 }

// Feed processes a chunk and calls handle with the text of each message that it completes, until handle returns false.
// The text is valid only during the call. After an error the framer must not be used again.
func (f *Framer) Feed(chunk []byte, handle func(text []byte) bool) error {
	f.buffer = append(f.buffer, chunk...)
	// The copy releases the memory of the consumed messages.
	defer func() { f.buffer = slices.Clone(f.buffer) }()
	for {
		text, err := f.next()
		if err != nil || text == nil {
			return err
		}
		if !handle(text) {
			return nil
		}
	}
}

// next consumes the first frame in the buffer and returns its message, or nil if the frame is incomplete.
func (f *Framer) next() ([]byte, error) {
	if !mayBeginFrame(f.buffer) {
		return nil, fmt.Errorf("h248: invalid TPKT header: % x", f.buffer[:min(len(f.buffer), frameHeaderSize)])
	}
	if len(f.buffer) < frameHeaderSize {
		return nil, nil
	}
	length := int(binary.BigEndian.Uint16(f.buffer[frameLengthOffset:]))
	switch {
	case length > MaxMessageSize:
		return nil, ErrTooLong
	case length <= frameHeaderSize:
		return nil, fmt.Errorf("h248: invalid frame length %d", length)
	case len(f.buffer) < length:
		return nil, nil
	}
	text := f.buffer[frameHeaderSize:length]
	f.buffer = f.buffer[length:]
	return text, nil
}

// mayBeginFrame reports whether b can be the prefix of a frame. It also checks incomplete headers, so that a stream
// that is not framed is rejected immediately instead of after more bytes.
func mayBeginFrame(b []byte) bool {
	if len(b) > 0 && b[0] != frameVersion {
		return false
	}
	return len(b) < 2 || b[1] == frameReserved
}

// AppendFrame appends the frame with a message to b.
func AppendFrame(b []byte, m *Message) ([]byte, error) {
	start := len(b)
	b = append(b, frameVersion, frameReserved, 0, 0)
	b = m.appendText(b)
	length := len(b) - start
	if length > MaxMessageSize {
		return b[:start], ErrTooLong
	}
	binary.BigEndian.PutUint16(b[start+frameLengthOffset:], uint16(length))
	return b, nil
}
