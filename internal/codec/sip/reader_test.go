package sip

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"olivedale/internal/testutil"
)

// maxChunkSize is the maximum size in bytes of the chunks that tests pass to a reader.
const maxChunkSize = 60

// compactBye is a BYE with compact header names, a folded line and two Reason header fields.
const compactBye = "BYE sip:7f3a@net SIP/2.0\r\ni: x\r\nCSeq:  3 BYE\r\n" +
	"Reason: SIP;cause=200\r\nReason: Q.850\r\n ;cause=41\r\nl: 0\r\n\r\n"

// sampleStream returns a stream of an INVITE, a keep-alive, a response and a BYE.
func sampleStream() []byte {
	b := AppendRequest(nil, &Request{Method: "INVITE", Number: "7f3a", CallID: "9b1f03aa5c7e2d41", CSeq: 1,
		Headers: []Header{{"X-Cos", "voice"}}, Body: []byte("v=0\r\n\r\n\x00\xff")})
	b = append(b, "\r\n"...)
	bye := &Message{
		Headers: []Header{{"Via", "SIP/2.0/TCP peer"}},
		CallID:  "9b1f03aa5c7e2d41", CSeq: 2, CSeqMethod: "BYE",
	}
	b = AppendResponse(b, bye, 200, "OK")
	return append(b, compactBye...)
}

// readAll passes chunks to a new reader and returns the messages that it delivers.
func readAll(chunks ...[]byte) ([]*Message, error) {
	var r Reader
	return testutil.FeedAll(r.Feed, chunks...)
}

func TestReaderWithRandomPieces(t *testing.T) {
	for seed := range uint64(200) {
		got, err := readAll(testutil.SplitRandomly(seed, sampleStream(), maxChunkSize)...)
		if err != nil || len(got) != 3 {
			t.Fatalf("seed %d: %d messages, %v", seed, len(got), err)
		}
		invite, ok, bye := got[0], got[1], got[2]
		if invite.Method != "INVITE" || invite.User() != "7f3a" || invite.Header("x-cos") != "voice" ||
			string(invite.Body) != "v=0\r\n\r\n\x00\xff" {
			t.Fatalf("seed %d: %+v", seed, invite)
		}
		if ok.Status != 200 || ok.CSeqMethod != "BYE" || ok.Header("Via") == "" {
			t.Fatalf("seed %d: %+v", seed, ok)
		}
		if bye.CallID != "x" || bye.CSeq != 3 || bye.ReleaseCause() != 41 {
			t.Fatalf("seed %d: %+v", seed, bye)
		}
	}
}

func TestInvalidMessages(t *testing.T) {
	const head = "BYE sip:a@net SIP/2.0\r\n"
	for _, bad := range []string{
		"\x00\r\n\r\n", "HELLO\r\n\r\n", "SIP/2.0 99 No\r\n\r\n", head + "Call-ID: x\r\nCSeq: 1 BYE\r\n\r\n",
		head + "CSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n", head + "Call-ID: x\r\nCSeq: BYE\r\nContent-Length: 0\r\n\r\n",
		head + "Call-ID: x\r\nCSeq: 1 BYE\r\nContent-Length: -1\r\n\r\n", head + "no colon\r\n\r\n",
	} {
		if got, err := readAll([]byte(bad)); err == nil {
			t.Errorf("invalid message %q was parsed as %+v", bad, got)
		}
	}
	tooShort := "SIP/2.0 200 OK\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\nContent-Length: 4\r\n\r\nv=0\r\nc=IN IP4 10.1.1.1\r\n"
	for _, length := range []int{0, 4, 11, 13, 16} { // each is shorter than the actual body
		text := strings.Replace(tooShort, ": 4", fmt.Sprint(": ", length), 1)
		if got, err := readAll([]byte(text)); !errors.Is(err, ErrContentLength) || len(got) > 0 {
			t.Errorf("Content-Length %d: got error %v, want ErrContentLength and no message", length, err)
		}
	}
	tooLong := head + "Call-ID: x\r\nCSeq: 1 BYE\r\nContent-Length: 16384\r\n\r\n"
	for _, text := range []string{tooLong, strings.Repeat("x", MaxMessageSize)} {
		if _, err := readAll([]byte(text)); !errors.Is(err, ErrTooLong) {
			t.Errorf("%.30q: got error %v, want ErrTooLong", text, err)
		}
	}
}

func TestIsSafeValue(t *testing.T) {
	tests := map[string]bool{
		"resident-call": true, "7f3a": true, "": false, "a\r\nX: y": false, "a b": false, "a@b": false,
	}
	for text, want := range tests {
		if IsSafeValue(text) != want {
			t.Errorf("IsSafeValue(%q) is wrong", text)
		}
	}
}

func FuzzReader(f *testing.F) {
	f.Add(sampleStream(), uint64(1))
	f.Add([]byte("SIP/2.0 200\r\nCall-ID: x\r\nCSeq: 1 A\r\nContent-Length: 1\r\n\r\n"), uint64(2))
	f.Fuzz(func(t *testing.T, text []byte, seed uint64) {
		messages, err := readAll(text)
		split, splitErr := readAll(testutil.SplitRandomly(seed, text, maxChunkSize)...)
		if errors.Is(err, ErrContentLength) {
			return // in several chunks, a message may be delivered before the data after it is checked
		}
		if (err == nil) != (splitErr == nil) || !reflect.DeepEqual(messages, split) {
			t.Errorf("in one chunk: %d messages, error %v; in several: %d messages, error %v",
				len(messages), err, len(split), splitErr)
		}
	})
}
