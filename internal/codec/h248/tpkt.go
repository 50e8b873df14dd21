// Package h248 reads and writes the text form of H.248.1 (RFC 3525, Annex B) and
// its framing on TCP (TPKT, Annex D). It knows messages, not calls.
package h248

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Limit is the most bytes a message may hold, its frame's header included.
const Limit = 16 << 10

const frameHead = 4

// ErrTooLong tells of a message over Limit.
var ErrTooLong = errors.New("h248: a message is over 16 KiB")

// A Framer cuts a stream of TPKT frames into messages. Its zero value is ready.
type Framer struct{ rest []byte }

// Half tells whether part of a frame waits for the rest.
func (f *Framer) Half() bool { return len(f.rest) > 0 }

// Feed takes a piece and calls each for every message that it completes, until
// each returns false. After an error the connection is of no more use. The text
// is valid during the call only. Half a message is never handed out.
func (f *Framer) Feed(p []byte, each func(text []byte) bool) error {
	f.rest = append(f.rest, p...)
	used := 0
	defer func() { f.rest = append(f.rest[:0:0], f.rest[used:]...) }()
	for {
		rest := f.rest[used:]
		// What is there of the head is checked at once: garbage must not wait for more.
		if len(rest) > 0 && rest[0] != 3 || len(rest) > 1 && rest[1] != 0 {
			return fmt.Errorf("h248: no TPKT header: % x", rest[:min(len(rest), frameHead)])
		}
		if len(rest) < frameHead {
			return nil
		}
		n := int(binary.BigEndian.Uint16(rest[2:]))
		switch {
		case n > Limit:
			return ErrTooLong
		case n <= frameHead:
			return fmt.Errorf("h248: a frame of %d bytes", n)
		case len(rest) < n:
			return nil
		}
		used += n
		if !each(rest[frameHead:n]) {
			return nil
		}
	}
}

// AppendFrame writes a message with its frame behind b.
func AppendFrame(b []byte, m *Message) ([]byte, error) {
	from := len(b)
	b = m.append(append(b, 3, 0, 0, 0))
	n := len(b) - from
	if n > Limit {
		return b[:from], ErrTooLong
	}
	binary.BigEndian.PutUint16(b[from+2:], uint16(n))
	return b, nil
}
