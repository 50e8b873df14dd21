// Package sip implements the subset of SIP over TCP (RFC 3261) that a call controller needs to communicate with
// exchanges.
//
// It contains the message types, the incremental reader and the writer. It keeps no transactions or dialogs and opens
// no connections. Every message must have a Content-Length.
package sip

import (
	"strconv"
	"strings"
)

// MaxMessageSize is the maximum size of a message in bytes, including its body.
const MaxMessageSize = 16 << 10

const protocolVersion = "SIP/2.0"

// A Header is one header field. Compact names are expanded to their long form.
type Header struct{ Name, Value string }

// A Message is either a request, which has a Method and a URI, or a response, which has a Status.
type Message struct {
	Method, URI string
	Status      int
	Headers     []Header
	CallID      string
	CSeq        int
	CSeqMethod  string
	Body        []byte
}

// Header returns the first value of a header field, or "" if the message has none. Names are not case-sensitive.
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

// ReleaseCause returns the Q.850 cause from the Reason header fields (RFC 3326), or 0 if there is none.
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

// q850Cause returns N from a Reason value of the form "Q.850;cause=N".
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
