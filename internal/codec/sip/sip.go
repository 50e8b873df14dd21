// Package sip reads and writes the exchanges' dialect: SIP over TCP (RFC 3261),
// as far as a call controller needs it. Every message carries Content-Length.
package sip

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Limit is the most bytes a message may hold, its body included.
const Limit = 16 << 10

// ErrTooLong tells of a message over Limit.
var ErrTooLong = errors.New("sip: a message is over 16 KiB")

// ErrLength tells of a Content-Length behind which no message begins.
var ErrLength = errors.New("sip: no message begins behind the body")

// A Header is one header line, its name in the long form.
type Header struct{ Name, Value string }

// A Message is a request (Method and URI are set) or a response (Status is).
type Message struct {
	Method, URI string
	Status      int
	Headers     []Header
	CallID      string
	CSeq        int
	CSeqMethod  string
	Body        []byte
}

// Header returns the first value of a header, "" if there is none.
func (m *Message) Header(name string) string {
	for _, h := range m.Headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// User returns the user part of the address in the first line.
func (m *Message) User() string {
	user, _, _ := strings.Cut(strings.TrimPrefix(m.URI, "sip:"), "@")
	return user
}

// ReleaseCause returns N of 'Reason: Q.850;cause=N', 0 if there is none.
func (m *Message) ReleaseCause() int {
	for _, h := range m.Headers {
		if !strings.EqualFold(h.Name, "Reason") {
			continue
		}
		parts := strings.Split(h.Value, ";")
		if !strings.EqualFold(strings.TrimSpace(parts[0]), "Q.850") {
			continue
		}
		for _, p := range parts[1:] {
			name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
			if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && strings.EqualFold(strings.TrimSpace(name), "cause") {
				return n
			}
		}
	}
	return 0
}

// A Reader puts messages together from the pieces that arrive. Its zero value is ready.
type Reader struct {
	rest    []byte
	scanned int // so much of rest holds no end of the head
	head    *Message
	length  int // of the body of head
}

// Half tells whether part of a message waits for the rest.
func (r *Reader) Half() bool { return r.head != nil || len(r.rest) > 0 }

var crlf2 = []byte("\r\n\r\n")

// Feed takes a piece and calls each for every message that it completes, until
// each returns false. After an error the connection is of no more use. The
// message's body is the callee's to keep.
func (r *Reader) Feed(p []byte, each func(*Message) bool) error {
	r.rest = append(r.rest, p...)
	used := 0
	defer func() { r.rest = append(r.rest[:0:0], r.rest[used:]...) }()
	for {
		rest := r.rest[used:]
		if r.head == nil {
			for bytes.HasPrefix(rest, crlf2[:2]) { // keep-alive of RFC 5626, perhaps in pieces
				used += 2
				rest, r.scanned = r.rest[used:], 0
			}
			i := bytes.Index(rest[max(0, r.scanned-3):], crlf2)
			if i < 0 {
				if len(rest) >= Limit {
					return ErrTooLong
				}
				r.scanned = len(rest)
				return nil
			}
			i += max(0, r.scanned-3)
			m, length, err := parseHead(rest[:i])
			if err != nil {
				return fmt.Errorf("sip: %w", err)
			}
			if i+len(crlf2)+length > Limit {
				return ErrTooLong
			}
			r.head, r.length, r.scanned = m, length, 0
			used += i + len(crlf2)
			rest = r.rest[used:]
		}
		if len(rest) < r.length {
			return nil
		}
		if !plausible(rest[r.length:]) {
			return ErrLength
		}
		m := r.head
		m.Body = bytes.Clone(rest[:r.length])
		r.head = nil
		used += r.length
		if !each(m) {
			return nil
		}
	}
}

// plausible tells whether a message may begin with b, as far as it has come. It guards
// against a body whose length was told too short, which would be handed on cut off.
func plausible(b []byte) bool {
	b = bytes.TrimLeft(b, "\r\n")
	i := 0
	for i < len(b) && b[i] >= 'A' && b[i] <= 'Z' {
		i++
	}
	begins := func(b []byte, with string) bool { return strings.HasPrefix(with, string(b[:min(len(b), len(with))])) }
	return i == len(b) || begins(b, "SIP/2.0 ") || i > 0 && begins(b[i:], " sip:")
}

// long gives the long form of a compact header name.
var long = map[string]string{"i": "Call-ID", "l": "Content-Length", "v": "Via", "f": "From", "t": "To", "m": "Contact"}

func parseHead(text []byte) (m *Message, length int, err error) {
	lines := strings.Split(string(text), "\r\n")
	m = &Message{}
	if err := m.firstLine(lines[0]); err != nil {
		return nil, 0, err
	}
	for _, line := range lines[1:] {
		if n := len(m.Headers); n > 0 && line != "" && (line[0] == ' ' || line[0] == '\t') {
			m.Headers[n-1].Value += " " + strings.TrimSpace(line) // a folded line
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		name = strings.TrimRight(name, " \t")
		if !ok || !token(name) {
			return nil, 0, fmt.Errorf("a header line %.40q", line)
		}
		if full, ok := long[strings.ToLower(name)]; ok {
			name = full
		}
		m.Headers = append(m.Headers, Header{name, strings.TrimSpace(value)})
	}
	m.CallID = m.Header("Call-ID")
	if m.CallID == "" {
		return nil, 0, errors.New("no Call-ID")
	}
	number, method, ok := strings.Cut(m.Header("CSeq"), " ")
	if m.CSeq, err = strconv.Atoi(number); err != nil || !ok || m.CSeq < 0 {
		return nil, 0, fmt.Errorf("CSeq %.40q", m.Header("CSeq"))
	}
	if m.CSeqMethod = strings.TrimSpace(method); !token(m.CSeqMethod) {
		return nil, 0, fmt.Errorf("CSeq %.40q", m.Header("CSeq"))
	}
	text1 := m.Header("Content-Length")
	if length, err = strconv.Atoi(text1); err != nil || length < 0 || length > Limit {
		return nil, 0, fmt.Errorf("Content-Length %.40q", text1)
	}
	return m, length, nil
}

func (m *Message) firstLine(line string) error {
	parts := strings.SplitN(line, " ", 3)
	if parts[0] == "SIP/2.0" && len(parts) >= 2 {
		n, err := strconv.Atoi(parts[1])
		if err != nil || n < 100 || n > 699 {
			return fmt.Errorf("a status line %.40q", line)
		}
		m.Status = n
		return nil
	}
	if len(parts) != 3 || parts[2] != "SIP/2.0" || !token(parts[0]) || parts[1] == "" {
		return fmt.Errorf("a first line %.40q", line)
	}
	m.Method, m.URI = parts[0], parts[1]
	return nil
}

// token tells whether a text is a token of RFC 3261.
func token(s string) bool {
	for i := range len(s) {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' ||
			strings.IndexByte("-.!%*_+`'~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

// A Request is what a request of ours says.
type Request struct {
	Method  string
	Number  string // the number called
	CallID  string
	CSeq    int
	Headers []Header // beside those that every request has
	Body    []byte
}

// AppendRequest writes a request behind b.
func AppendRequest(b []byte, r *Request) []byte {
	b = append(append(append(b, r.Method...), " sip:"...), r.Number...)
	b = append(b, "@net SIP/2.0\r\nVia: SIP/2.0/TCP olivedale\r\n"...)
	b = appendIDs(b, r.CallID, r.CSeq, r.Method)
	for _, h := range r.Headers {
		b = appendHeader(b, h)
	}
	return appendBody(b, r.Body)
}

// AppendResponse writes the response to a request behind b.
func AppendResponse(b []byte, to *Message, status int, phrase string) []byte {
	b = strconv.AppendInt(append(b, "SIP/2.0 "...), int64(status), 10)
	b = append(append(append(b, ' '), phrase...), "\r\n"...)
	for _, h := range to.Headers {
		switch h.Name {
		case "Via", "From", "To":
			b = appendHeader(b, h)
		}
	}
	return appendBody(appendIDs(b, to.CallID, to.CSeq, to.CSeqMethod), nil)
}

func appendHeader(b []byte, h Header) []byte {
	b = append(append(b, h.Name...), ": "...)
	return append(append(b, h.Value...), "\r\n"...)
}

func appendIDs(b []byte, callID string, cseq int, method string) []byte {
	b = append(append(append(b, "Call-ID: "...), callID...), "\r\nCSeq: "...)
	b = append(strconv.AppendInt(b, int64(cseq), 10), ' ')
	return append(append(b, method...), "\r\n"...)
}

func appendBody(b, body []byte) []byte {
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

// Clean tells whether a text may stand in a header or as a number called: it
// guards against callers who would smuggle lines or addresses into a message.
func Clean(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte(`@<>;?"`, c) >= 0 {
			return false
		}
	}
	return s != ""
}
