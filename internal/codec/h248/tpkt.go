package h248

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// MaxMessageSize is the largest size of a message in bytes, the header of its TPKT frame included.
const MaxMessageSize = 16 << 10

// The header of a TPKT frame (RFC 1006, section 6) is a version, a reserved byte and the length of the frame in two
// bytes, the header included.
const (
	frameHeaderSize   = 4
	frameVersion      = 3
	frameReserved     = 0
	frameLengthOffset = 2
)

// A Framer extracts messages from a stream of TPKT frames. Its zero value is ready to use.
type Framer struct {
	buffer []byte // bytes that no message has consumed
}

// HasPartial reports whether a partial frame is buffered.
func (f *Framer) HasPartial() bool { return len(f.buffer) > 0 }

// Feed reads a piece and calls handle with the text of each message that it completes, until handle returns false. The
// text is valid during the call only. After an error the framer must not be used again.
func (f *Framer) Feed(piece []byte, handle func(text []byte) bool) error {
	f.buffer = append(f.buffer, piece...)
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

// next consumes the first frame of the buffer and returns its message, nil if it is incomplete.
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

// mayBeginFrame reports whether b can be the prefix of a frame. It checks an incomplete header too, so that a stream
// without frames fails at once instead of waiting for more bytes.
func mayBeginFrame(b []byte) bool {
	if len(b) > 0 && b[0] != frameVersion {
		return false
	}
	return len(b) < 2 || b[1] == frameReserved
}

// AppendFrame appends a message in its frame to b.
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
