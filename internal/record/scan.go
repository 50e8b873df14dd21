package record

import (
	"bytes"
	"errors"
	"io"
)

// scanBufferSize is the size in bytes of a scanner's buffer. It must exceed the size of the largest frame.
const scanBufferSize = 256 << 10

// A scanner reads a segment frame by frame. It skips damage up to the next intact frame.
type scanner struct {
	file         io.Reader
	buf          []byte
	start        int   // buf[start:] has not been consumed
	offset       int64 // offset of buf[start] in the file
	seed         uint32
	invalidBytes int64 // bytes between the last frame and offset that are not a frame
	isAtEnd      bool  // the last read returned nothing
}

// A scannedFrame is an intact frame of a segment.
type scannedFrame struct {
	payload      []byte // valid until the next call of a method of the scanner
	offset       int64  // offset of the frame in the file
	skippedBytes int64  // bytes before the frame that are not a frame
}

// end returns the offset after the frame.
func (f *scannedFrame) end() int64 { return f.offset + int64(frameSize(f.payload)) }

// readHeader reads the header. It returns an error of decodeHeader or of the file.
func (s *scanner) readHeader() (Header, error) {
	for len(s.buf)-s.start < headerSize && !s.isAtEnd {
		if err := s.fill(); err != nil {
			return Header{}, err
		}
	}
	h, err := decodeHeader(s.buf[s.start:])
	if err != nil {
		return h, err
	}
	s.consume(headerSize)
	s.seed = frameSeed(h.Nonce)
	return h, nil
}

// next returns the next intact frame. At the end of the file it returns io.EOF without consuming bytes that may be
// a partially written frame, so it may be called again after the file has grown.
func (s *scanner) next() (scannedFrame, error) {
	s.isAtEnd = false
	for {
		payload, status := parseFrame(s.buf[s.start:], s.seed)
		switch {
		case status == frameIntact:
			frame := scannedFrame{payload: payload, offset: s.offset, skippedBytes: s.invalidBytes}
			s.consume(frameSize(payload))
			s.invalidBytes = 0
			return frame, nil
		case status == frameInvalid:
			s.skipInvalid(s.distanceToMark())
		case s.isAtEnd:
			// Either an incomplete frame, or damage that was parsed as a size beyond the end of the file. Damage may
			// be followed by an intact frame.
			distance := s.distanceToIntactFrame()
			if distance == 0 {
				return scannedFrame{}, io.EOF
			}
			s.skipInvalid(distance)
		default:
			if err := s.fill(); err != nil {
				return scannedFrame{}, err
			}
		}
	}
}

// trailingBytes returns how many bytes at the end of the file are not a frame.
func (s *scanner) trailingBytes() int64 { return s.invalidBytes + int64(len(s.buf)-s.start) }

// trailingOffset returns the offset of the trailing bytes in the file.
func (s *scanner) trailingOffset() int64 { return s.offset - s.invalidBytes }

// fill reads more of the file into the buffer. It sets isAtEnd if the file has no more bytes.
func (s *scanner) fill() error {
	if s.buf == nil {
		s.buf = make([]byte, 0, scanBufferSize)
	}
	if s.start > 0 {
		s.buf = s.buf[:copy(s.buf, s.buf[s.start:])]
		s.start = 0
	}
	n, err := s.file.Read(s.buf[len(s.buf):cap(s.buf)])
	s.buf = s.buf[:len(s.buf)+n]
	s.isAtEnd = n == 0
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// consume advances by n bytes.
func (s *scanner) consume(n int) {
	s.start += n
	s.offset += int64(n)
}

// skipInvalid advances by n bytes that are not a frame.
func (s *scanner) skipInvalid(n int) {
	s.consume(n)
	s.invalidBytes += int64(n)
}

// distanceToMark returns the distance to the next byte that may be the start of a frame, or to the end of the buffer.
func (s *scanner) distanceToMark() int {
	following := s.buf[s.start+1:]
	i := bytes.IndexByte(following, frameMarkByte0)
	if i < 0 {
		i = len(following)
	}
	return 1 + i
}

// distanceToIntactFrame returns the distance to the next intact frame in the buffer, or 0 if there is none.
func (s *scanner) distanceToIntactFrame() int {
	unread := s.buf[s.start:]
	for i := 1; i < len(unread); i++ {
		if _, status := parseFrame(unread[i:], s.seed); status == frameIntact {
			return i
		}
	}
	return 0
}
