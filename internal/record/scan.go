package record

import (
	"bytes"
	"io"
)

// window is how much of a segment a scanner holds; it bounds a Reader's memory.
const window = 256 << 10

// A scanner reads a segment frame by frame and, after damage, finds the next that is intact.
type scanner struct {
	f    io.Reader
	buf  []byte
	lo   int   // buf[lo:] is not read yet
	at   int64 // of buf[lo] in the file
	seed uint32
	bad  int64 // bytes before it that are no frame
	eof  bool  // nothing more could be read just now
}

// begin reads the header.
func (s *scanner) begin() (Header, error) {
	for len(s.buf)-s.lo < headerSize && !s.eof {
		if err := s.more(); err != nil {
			return Header{}, err
		}
	}
	h, err := decodeHeader(s.buf[s.lo:])
	if err == nil {
		s.skip(headerSize)
		s.seed = frameSeed(h.Nonce)
	}
	return h, err
}

func (s *scanner) skip(n int) {
	s.lo += n
	s.at += int64(n)
}

// more reads on; eof is set where nothing came.
func (s *scanner) more() error {
	if s.buf == nil {
		s.buf = make([]byte, 0, window)
	}
	if s.lo > 0 {
		s.buf = s.buf[:copy(s.buf, s.buf[s.lo:])]
		s.lo = 0
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
		p, size, what := frameAt(s.buf[s.lo:], s.seed)
		if what == short && s.eof {
			// Half a frame, or damage whose length points past the end: then there may be an
			// intact frame behind it.
			ahead := s.ahead()
			if ahead == 0 {
				return nil, s.at, 0, io.EOF
			}
			s.pass(ahead)
			continue
		}
		switch what {
		case intact:
			at, skipped = s.at, s.bad
			s.skip(size)
			s.bad = 0
			return p, at, skipped, nil
		case broken:
			i := bytes.IndexByte(s.buf[s.lo+1:], markA)
			if i < 0 {
				i = len(s.buf) - s.lo - 1
			}
			s.pass(1 + i)
		case short:
			if err := s.more(); err != nil {
				return nil, s.at, 0, err
			}
		}
	}
}

// pass goes past bytes that are no frame.
func (s *scanner) pass(n int) {
	s.skip(n)
	s.bad += int64(n)
}

// ahead finds an intact frame behind the place in what is read, 0 if there is none.
func (s *scanner) ahead() int {
	rest := s.buf[s.lo:]
	for i := 1; i < len(rest); i++ {
		if _, _, what := frameAt(rest[i:], s.seed); what == intact {
			return i
		}
	}
	return 0
}

// rest is how many bytes at the end of the file are no frame.
func (s *scanner) rest() int64 { return s.bad + int64(len(s.buf)-s.lo) }
