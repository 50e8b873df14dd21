package sip

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

func sample() []byte {
	b := AppendRequest(nil, &Request{Method: "INVITE", Number: "7f3a", CallID: "9b1f03aa5c7e2d41", CSeq: 1,
		Headers: []Header{{"X-Cos", "voice"}}, Body: []byte("v=0\r\n\r\n\x00\xff")})
	b = append(b, "\r\n"...) // keep-alive
	bye := &Message{Headers: []Header{{"Via", "SIP/2.0/TCP peer"}}, CallID: "9b1f03aa5c7e2d41", CSeq: 2, CSeqMethod: "BYE"}
	b = AppendResponse(b, bye, 200, "OK")
	return append(b, "BYE sip:7f3a@net SIP/2.0\r\ni: x\r\nCSeq:  3 BYE\r\nReason: SIP;cause=200\r\nReason: Q.850\r\n ;cause=41\r\nl: 0\r\n\r\n"...)
}

func read(pieces ...[]byte) (got []*Message, err error) {
	var r Reader
	for _, p := range pieces {
		if err = r.Feed(p, func(m *Message) bool { got = append(got, m); return true }); err != nil {
			break
		}
	}
	return got, err
}

func cuts(rng *rand.Rand, text []byte) (pieces [][]byte) {
	for len(text) > 0 {
		n := 1 + rng.IntN(min(len(text), 60))
		pieces, text = append(pieces, bytes.Clone(text[:n])), text[n:]
	}
	return pieces
}

func TestRandomCuts(t *testing.T) {
	for seed := range uint64(200) {
		got, err := read(cuts(rand.New(rand.NewPCG(seed, 0)), sample())...)
		if err != nil || len(got) != 3 {
			t.Fatalf("seed %d: %d messages, %v", seed, len(got), err)
		}
		invite, ok, bye := got[0], got[1], got[2]
		if invite.Method != "INVITE" || invite.User() != "7f3a" || invite.Header("x-cos") != "voice" || string(invite.Body) != "v=0\r\n\r\n\x00\xff" {
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

func TestBadMessages(t *testing.T) {
	const head = "BYE sip:a@net SIP/2.0\r\n"
	for _, bad := range []string{
		"\x00\r\n\r\n", "HELLO\r\n\r\n", "SIP/2.0 99 No\r\n\r\n", head + "Call-ID: x\r\nCSeq: 1 BYE\r\n\r\n",
		head + "CSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n", head + "Call-ID: x\r\nCSeq: BYE\r\nContent-Length: 0\r\n\r\n",
		head + "Call-ID: x\r\nCSeq: 1 BYE\r\nContent-Length: -1\r\n\r\n", head + "no colon\r\n\r\n",
	} {
		if got, err := read([]byte(bad)); err == nil {
			t.Errorf("%q was read as %+v", bad, got)
		}
	}
	short := "SIP/2.0 200 OK\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\nContent-Length: 4\r\n\r\nv=0\r\nc=IN IP4 10.1.1.1\r\n"
	for _, cut := range []int{0, 4, 11, 13, 16} { // so much more of the body belongs to it than its length tells
		text := strings.Replace(short, ": 4", fmt.Sprint(": ", cut), 1)
		if got, err := read([]byte(text)); !errors.Is(err, ErrLength) || len(got) > 0 {
			t.Errorf("%d bytes of the body were handed out: %v", cut, err)
		}
	}
	long := head + "Call-ID: x\r\nCSeq: 1 BYE\r\nContent-Length: 16384\r\n\r\n"
	for _, text := range []string{long, strings.Repeat("x", Limit)} {
		if _, err := read([]byte(text)); err != ErrTooLong {
			t.Errorf("%.30q: %v", text, err)
		}
	}
}

func TestClean(t *testing.T) {
	for text, want := range map[string]bool{"resident-call": true, "7f3a": true, "": false, "a\r\nX: y": false, "a b": false, "a@b": false} {
		if Clean(text) != want {
			t.Errorf("%q", text)
		}
	}
}

func FuzzReader(f *testing.F) {
	f.Add(sample(), uint64(1))
	f.Add([]byte("SIP/2.0 200\r\nCall-ID: x\r\nCSeq: 1 A\r\nContent-Length: 1\r\n\r\n"), uint64(2))
	f.Fuzz(func(t *testing.T, text []byte, seed uint64) {
		whole, err := read(text)
		cut, err2 := read(cuts(rand.New(rand.NewPCG(seed, 0)), text)...)
		if errors.Is(err, ErrLength) {
			return // what is behind a message may come too late to tell
		}
		if (err == nil) != (err2 == nil) || !reflect.DeepEqual(whole, cut) {
			t.Errorf("whole %d messages and %v, in pieces %d and %v", len(whole), err, len(cut), err2)
		}
	})
}
