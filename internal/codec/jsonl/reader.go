package jsonl

import (
	"bytes"
	"errors"
)

// ErrTooLong is returned for a line that is longer than MaxMessageSize.
var ErrTooLong = errors.New("jsonl: a line is longer than 16 KiB")

// A Reader reassembles messages from the chunks that a connection delivers. The zero value is ready to use.
type Reader struct {
	partial []byte // start of a line whose line feed has not been received
}

// HasPartial reports whether a partial line is buffered.
func (r *Reader) HasPartial() bool { return len(r.partial) > 0 }

// Feed processes a chunk and calls handle for each line that it completes, until handle returns false. Empty lines are
// ignored. After an error, or once handle has returned false, the reader must not be used again.
func (r *Reader) Feed(chunk []byte, handle func(*Message) bool) error {
	for len(chunk) > 0 {
		end := bytes.IndexByte(chunk, '\n')
		if end < 0 {
			return r.buffer(chunk)
		}
		if len(r.partial)+end+1 > MaxMessageSize {
			return ErrTooLong
		}
		line := r.completeLine(chunk[:end])
		chunk = chunk[end+1:]
		if len(line) == 0 {
			continue
		}
		m, err := Parse(line)
		if err != nil {
			return err
		}
		if !handle(m) {
			return nil
		}
	}
	return nil
}

// buffer stores a chunk without a line feed. It fails as soon as the line exceeds MaxMessageSize, without waiting for
// its end.
func (r *Reader) buffer(chunk []byte) error {
	if len(r.partial)+len(chunk) >= MaxMessageSize {
		return ErrTooLong
	}
	r.partial = append(r.partial, chunk...)
	return nil
}

// completeLine returns the buffered part of a line followed by last, without a trailing carriage return.
func (r *Reader) completeLine(last []byte) []byte {
	line := last
	if len(r.partial) > 0 {
		line = append(r.partial, last...)
		r.partial = nil
	}
	return bytes.TrimSuffix(line, []byte("\r"))
}
