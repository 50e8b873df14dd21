package sip

import (
	"strconv"
	"strings"
)

// Host part of the Request-URI and Via header of the requests that the controller sends.
const (
	requestHost = "@net"
	viaHeader   = "Via: " + protocolVersion + "/TCP olivedale\r\n"
)

// A Request is the content of a request that the controller sends.
type Request struct {
	Method  string
	Number  string // called number, which becomes the user part of the Request-URI
	CallID  string
	CSeq    int
	Headers []Header // in addition to Via, Call-ID, CSeq and Content-Length
	Body    []byte
}

// AppendRequest appends a request to b.
func AppendRequest(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, " sip:"...)
	b = append(b, r.Number...)
	b = append(b, requestHost+" "+protocolVersion+"\r\n"+viaHeader...)
	b = appendIDs(b, r.CallID, r.CSeq, r.Method)
	for _, h := range r.Headers {
		b = appendHeader(b, h)
	}
	return appendBody(b, r.Body)
}

// AppendResponse appends the response to a request to b.
func AppendResponse(b []byte, request *Message, status int, phrase string) []byte {
	b = append(b, protocolVersion+" "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, phrase...)
	b = append(b, "\r\n"...)
	for _, h := range request.Headers {
		switch h.Name {
		case "Via", "From", "To":
			b = appendHeader(b, h)
		}
	}
	b = appendIDs(b, request.CallID, request.CSeq, request.CSeqMethod)
	return appendBody(b, nil)
}

func appendHeader(b []byte, h Header) []byte {
	b = append(b, h.Name...)
	b = append(b, ": "...)
	b = append(b, h.Value...)
	return append(b, "\r\n"...)
}

func appendIDs(b []byte, callID string, cseq int, method string) []byte {
	b = appendHeader(b, Header{"Call-ID", callID})
	b = append(b, "CSeq: "...)
	b = strconv.AppendInt(b, int64(cseq), 10)
	b = append(b, ' ')
	b = append(b, method...)
	return append(b, "\r\n"...)
}

func appendBody(b, body []byte) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// IsSafeValue reports whether s may be used as a header value or as a called number. It prevents callers from injecting
// header lines or addresses into a message.
func IsSafeValue(s string) bool {
	for i := range len(s) {
		c := s[i]
		isVisibleASCII := c > ' ' && c < 0x7f
		if !isVisibleASCII || strings.IndexByte(`@<>;?"`, c) >= 0 {
			return false
		}
	}
	return s != ""
}
