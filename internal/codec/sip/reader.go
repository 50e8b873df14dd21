package sip

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrTooLong reports a message that is longer than Limit.
var ErrTooLong = errors.New("sip: a message is longer than 16 KiB")

// ErrLength reports a Content-Length after which no message begins.
var ErrLength = errors.New("sip: no message begins after the body")

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// A Reader assembles messages from the pieces in which a connection delivers them. Its zero value is ready to use.
type Reader struct {
	buffer     []byte // bytes that no message has consumed
	scanned    int    // length of the prefix of buffer that contains no end of a head
	head       *Message
	bodyLength int // Content-Length of head
}

// HasPartial reports whether a partial message is buffered.
func (r *Reader) HasPartial() bool { return r.head != nil || len(r.buffer) > 0 }

// Feed reads a piece and calls handle for each message that it completes, until handle returns false. The message
// belongs to handle. After an error the reader must not be used again.
func (r *Reader) Feed(piece []byte, handle func(*Message) bool) error {
	r.buffer = append(r.buffer, piece...)
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

// next consumes and returns the first message of the buffer, nil if it is incomplete.
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
		return nil, ErrLength
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
	// The end may lie across the border of the scanned prefix.
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

// mayBeginMessage reports whether b can be the prefix of a message. It detects a Content-Length that is too small,
// with which a message would be delivered with a truncated body.
func mayBeginMessage(b []byte) bool {
	b = bytes.TrimLeft(b, "\r\n")
	methodLength := 0
	for methodLength < len(b) && isUpper(b[methodLength]) {
		methodLength++
	}
	if methodLength == len(b) {
		return true
	}
	isRequest := methodLength > 0 && agreesWith(b[methodLength:], " sip:")
	return isRequest || agreesWith(b, protocolVersion+" ")
}

// agreesWith reports whether one of b and text is a prefix of the other.
func agreesWith(b []byte, text string) bool {
	return strings.HasPrefix(text, string(b[:min(len(b), len(text))]))
}
