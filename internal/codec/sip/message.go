// Package sip is the codec of the exchanges' protocol: SIP over TCP (RFC 3261), as far as a call controller needs it.
//
// It owns the message types, the incremental reader and the writer. It keeps no transactions or dialogs and never opens
// a connection. Every message carries Content-Length.
package sip

import (
	"strconv"
	"strings"
)

// MaxMessageSize is the largest size of a message in bytes, its body included.
const MaxMessageSize = 16 << 10

const protocolVersion = "SIP/2.0"

// A Header is one header field. Its name is in the long form.
type Header struct{ Name, Value string }

// A Message is a request, which has a Method and a URI, or a response, which has a Status.
type Message struct {
	Method, URI string
	Status      int
	Headers     []Header
	CallID      string
	CSeq        int
	CSeqMethod  string
	Body        []byte
}

// Header returns the first value of a header field, "" if the message has none. Names are not case-sensitive.
func (m *Message) Header(name string) string {
	for _, h := range m.Headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// User returns the user part of the Request-URI.
func (m *Message) User() string {
	user, _, _ := strings.Cut(strings.TrimPrefix(m.URI, "sip:"), "@")
	return user
}

// ReleaseCause returns the Q.850 cause of the Reason header fields (RFC 3326), 0 if there is none.
func (m *Message) ReleaseCause() int {
	for _, h := range m.Headers {
		if !strings.EqualFold(h.Name, "Reason") {
			continue
		}
		if cause, ok := q850Cause(h.Value); ok {
			return cause
		}
	}
	return 0
}

// q850Cause returns N of a Reason value "Q.850;cause=N".
func q850Cause(reason string) (cause int, ok bool) {
	parts := strings.Split(reason, ";")
	if !strings.EqualFold(strings.TrimSpace(parts[0]), "Q.850") {
		return 0, false
	}
	for _, parameter := range parts[1:] {
		name, value, _ := strings.Cut(parameter, "=")
		if !strings.EqualFold(strings.TrimSpace(name), "cause") {
			continue
		}
		if cause, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return cause, true
		}
	}
	return 0, false
}
