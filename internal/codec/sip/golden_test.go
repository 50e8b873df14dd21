package sip

import (
	"fmt"
	"strings"
	"testing"

	"olivedale/internal/goldentest"
)

// goldenMessages returns all requests and responses that the controller sends, and some that exchanges send.
func goldenMessages() []goldentest.Message {
	request := func(method string, cseq int, body string, headers ...Header) []byte {
		return AppendRequest(nil, &Request{Method: method, Number: "7f3a", CallID: "9b1f03aa5c7e2d41", CSeq: cseq,
			Headers: headers, Body: []byte(body)})
	}
	bye := &Message{
		Headers: []Header{{"Via", "SIP/2.0/TCP peer"}, {"From", "<sip:a@net>"}, {"To", "<sip:b@net>;tag=1"},
			{"Reason", "Q.850;cause=16"}},
		CallID: "00000000000000aa", CSeq: 90, CSeqMethod: "BYE",
	}
	info := &Message{CallID: "x", CSeqMethod: "INFO"}
	const ids = "Call-ID: 00000000000000aa\r\nCSeq: 2 INVITE\r\n"
	return []goldentest.Message{
		{Name: "invite", Bytes: request("INVITE", 1, "v=0\r\n\r\n\x00\xff",
			Header{"X-Cos", "voice"}, Header{"X-Timer-Ms", "2990"})},
		{Name: "second attempt without a body", Bytes: request("INVITE", 2, "",
			Header{"X-Cos", "resident-call"}, Header{"X-Timer-Ms", "1"})},
		{Name: "cancel", Bytes: request("CANCEL", 1, "")},
		{Name: "ack", Bytes: request("ACK", 1, "")},
		{Name: "bye", Bytes: request("BYE", 2, "", Header{"Reason", "Q.850;cause=16"})},
		{Name: "bye with the largest numbers", Bytes: request("BYE", 1<<31-1, "", Header{"Reason", "Q.850;cause=127"})},
		{Name: "ok", Bytes: AppendResponse(nil, bye, 200, "OK")},
		{Name: "method not allowed", Bytes: AppendResponse(nil, info, 405, "Method Not Allowed")},
		{Name: "received ringing", Bytes: []byte("SIP/2.0 180 Ringing\r\n" + ids + "Content-Length: 0\r\n\r\n")},
		{Name: "received answer", Bytes: []byte("SIP/2.0 200 OK\r\n" + ids + "Content-Length: 5\r\n\r\nv=0\r\n")},
		{Name: "received refusal", Bytes: []byte("SIP/2.0 503 X\r\n" + ids +
			"X-Diagnosis: all_trunks_busy\r\nContent-Length: 0\r\n\r\n")},
		{Name: "received compact bye", Bytes: []byte("\r\n" + compactBye)},
	}
}

// TestGoldenMessages compares encoded messages and their parsed form with the golden files.
func TestGoldenMessages(t *testing.T) {
	var dump strings.Builder
	for _, m := range goldentest.CompareMessages(t, "messages.txt", goldenMessages()) {
		got, err := readAll(m.Bytes)
		_, _ = fmt.Fprintf(&dump, "== %s: %d messages, error %v\n", m.Name, len(got), err)
		for _, m := range got {
			_, _ = fmt.Fprintf(&dump,
				"method %q uri %q user %q status %d call-id %q cseq %d cseq-method %q cause %d body %q\n",
				m.Method, m.URI, m.User(), m.Status, m.CallID, m.CSeq, m.CSeqMethod, m.ReleaseCause(), m.Body)
			for _, h := range m.Headers {
				_, _ = fmt.Fprintf(&dump, "  header %q value %q\n", h.Name, h.Value)
			}
		}
	}
	goldentest.Compare(t, "parsed.txt", dump.String())
}
