package sip

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrTooLong is returned for a message that is longer than MaxMessageSize.
var ErrTooLong = errors.New("sip: a message is longer than 16 KiB")

// ErrContentLength is returned if the data after a body cannot be the start of a message, so that Content-Length is
// wrong.
var ErrContentLength = errors.New("sip: no message begins after the body")

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// A Reader reassembles messages from the chunks that a connection delivers. The zero value is ready to use.
type Reader struct {
	buffer     []byte // received bytes that have not been consumed
	scanned    int    // length of the prefix of buffer known to contain no end of a head
	head       *Message
	bodyLength int // Content-Length of head
}

// HasPartial reports whether a partial message is buffered.
func (r *Reader) HasPartial() bool { return r.head != nil || len(r.buffer) > 0 }

// Feed processes a chunk and calls handle for each message that it completes, until handle returns false. handle may
// keep the message. After an error the reader must not be used again.
func (r *Reader) Feed(chunk []byte, handle func(*Message) bool) error {
	r.buffer = append(r.buffer, chunk...)
	// The copy releases the memory of the consumed messages.
	defer func() { r.buffer = slices.Clone(r.buffer) }()
	for {
		m, err := r.next()
		if err != nil || m == nil {
			return err
		}
		if !handle(m) {
			return nil
		}
	}
}

// next consumes and returns the first message in the buffer, or nil if it is incomplete.
func (r *Reader) next() (*Message, error) {
	if r.head == nil {
		if err := r.readHead(); err != nil {
			return nil, err
		}
	}
	if r.head == nil || len(r.buffer) < r.bodyLength {
		return nil, nil
	}
	if !mayBeginMessage(r.buffer[r.bodyLength:]) {
		return nil, ErrContentLength
	}
	m := r.head
	m.Body = bytes.Clone(r.buffer[:r.bodyLength])
	r.head = nil
	r.consume(r.bodyLength)
	return m, nil
}

// readHead consumes the first line and the header fields of a message once they are complete.
func (r *Reader) readHead() error {
	r.skipKeepAlives()
	// The end marker may start within the scanned prefix.
	start := max(0, r.scanned-len(headEnd)+1)
	end := bytes.Index(r.buffer[start:], headEnd)
	if end < 0 {
		if len(r.buffer) >= MaxMessageSize {
			return ErrTooLong
		}
		r.scanned = len(r.buffer)
		return nil
	}
	end += start
	head, bodyLength, err := parseHead(r.buffer[:end])
	if err != nil {
		return fmt.Errorf("sip: %w", err)
	}
	if end+len(headEnd)+bodyLength > MaxMessageSize {
		return ErrTooLong
	}
	r.head = head
	r.bodyLength = bodyLength
	r.consume(end + len(headEnd))
	return nil
}

// skipKeepAlives consumes the empty lines that RFC 5626 allows between messages.
func (r *Reader) skipKeepAlives() {
	for bytes.HasPrefix(r.buffer, lineEnd) {
		r.consume(len(lineEnd))
	}
}

func (r *Reader) consume(n int) {
	r.buffer = r.buffer[n:]
	r.scanned = 0
}

// mayBeginMessage reports whether b can be the prefix of a message. This check detects a Content-Length that is too
// small, which would otherwise lead to a message with a truncated body.
func mayBeginMessage(b []byte) bool {
	b = bytes.TrimLeft(b, "\r\n")
	methodLength := 0
	for methodLength < len(b) && isUpper(b[methodLength]) {
		methodLength++
	}
	if methodLength == len(b) {
		return true
	}
	isRequest := methodLength > 0 && prefixesMatch(b[methodLength:], " sip:")
	return isRequest || prefixesMatch(b, protocolVersion+" ")
}

// prefixesMatch reports whether one of b and text is a prefix of the other.
func prefixesMatch(b []byte, text string) bool {
	return strings.HasPrefix(text, string(b[:min(len(b), len(text))]))
}
