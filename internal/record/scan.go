package record

import (
	"bytes"
	"io"
)

// scanBufferSize is how much of a segment a scanner holds; it bounds a Reader's memory.
const scanBufferSize = 256 << 10

// A scanner reads a segment frame by frame and, after damage, finds the next that is intact.
type scanner struct {
	f    io.Reader
	buf  []byte
	start   int   // buf[lo:] is not read yet
	offset   int64 // of buf[lo] in the file
	seed uint32
	invalidBytes  int64 // bytes before it that are no frame
	eof  bool  // nothing more could be read just now
}

// readHeader reads the header.
func (s *scanner) readHeader() (Header, error) {
	for len(s.buf)-s.start < headerSize && !s.eof {
		if err := s.fill(); err != nil {
			return Header{}, err
		}
	}
	h, err := decodeHeader(s.buf[s.start:])
	if err == nil {
		s.skip(headerSize)
		s.seed = frameSeed(h.Nonce)
	}
	return h, err
}

func (s *scanner) skip(n int) {
	s.start += n
	s.offset += int64(n)
}

// fill reads on; eof is set where nothing came.
func (s *scanner) fill() error {
	if s.buf == nil {
		s.buf = make([]byte, 0, scanBufferSize)
	}
	if s.start > 0 {
		s.buf = s.buf[:copy(s.buf, s.buf[s.start:])]
		s.start = 0
	}
	n, err := s.f.Read(s.buf[len(s.buf):cap(s.buf)])
	s.buf = s.buf[:len(s.buf)+n]
	s.eof = n == 0
	if err != nil && err != io.EOF {
		return err
	}
	return nil
}

// next returns the payload of the next intact frame, valid until the next call, where it
// begins, and how many bytes before it were no frame. At the end of the file it returns
// io.EOF and stays before what may be half of a frame that is being written; it may be called
// again when the file has grown.
func (s *scanner) next() (p []byte, at, skipped int64, err error) {
	s.eof = false
	for {
		p, size, what := parseFrame(s.buf[s.start:], s.seed)
		if what == frameIncomplete && s.eof {
			// Half a frame, or damage whose length points past the end: then there may be an
			// intact frame behind it.
			ahead := s.ahead()
			if ahead == 0 {
				return nil, s.offset, 0, io.EOF
			}
			s.pass(ahead)
			continue
		}
		switch what {
		case frameIntact:
			at, skipped = s.offset, s.invalidBytes
			s.skip(size)
			s.invalidBytes = 0
			return p, at, skipped, nil
		case frameInvalid:
			i := bytes.IndexByte(s.buf[s.start+1:], frameMark0)
			if i < 0 {
				i = len(s.buf) - s.start - 1
			}
			s.pass(1 + i)
		case frameIncomplete:
			if err := s.fill(); err != nil {
				return nil, s.offset, 0, err
			}
		}
	}
}

// pass goes past bytes that are no frame.
func (s *scanner) pass(n int) {
	s.skip(n)
	s.invalidBytes += int64(n)
}

// ahead finds an intact frame behind the place in what is read, 0 if there is none.
func (s *scanner) ahead() int {
	rest := s.buf[s.start:]
	for i := 1; i < len(rest); i++ {
		if _, _, what := parseFrame(rest[i:], s.seed); what == frameIntact {
			return i
		}
	}
	return 0
}

// trailingBytes is how many bytes at the end of the file are no frame.
func (s *scanner) trailingBytes() int64 { return s.invalidBytes + int64(len(s.buf)-s.start) }
