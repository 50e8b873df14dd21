package h248

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"olivedale/internal/testutil"
)

// maxChunkSize is the maximum size in bytes of the chunks that tests pass to a framer.
const maxChunkSize = 50

// longForm is a message of four transactions with long tokens, white space and a comment.
const longForm = `MEGACO/1 [10.0.0.4]:2944 ; a panel
Transaction = 9998 {
  Context = $ { Add = panel/12 { Media { TerminationState { oc/class = resident-call, oc/number = "7f3a" },
    Remote {v=0
s={-\}
} } } } }
Reply=3{Context=7{Subtract=panel/12}, Context=8{Error=411{"no such"}}} Pending=4{} TransactionResponseAck{1-3,9}
`

// shortForm is a message of one transaction with short tokens.
const shortForm = `!/1 <gw> T=1{C=5{N=p/1{OE=1{oc/rel{cause=16}}},O-S=p/2}}`

// mustParse parses a message and fails the test if it is invalid.
func mustParse(t testing.TB, text string) *Message {
	t.Helper()
	m, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestParse(t *testing.T) {
	m := mustParse(t, longForm)
	add := m.Transactions[0].Actions[0].Commands[0]
	if m.MID != "[10.0.0.4]:2944" || len(m.Transactions) != 4 || add.Name != CommandAdd || add.Termination != "panel/12" {
		t.Fatalf("%+v", m)
	}
	if got := Find(add.Descriptors, "Media", "Remote").Octets; string(got) != "v=0\ns={-}\n" {
		t.Errorf("octets %q", got)
	}
	if got := Value(add.Descriptors, "Media", "TerminationState", "oc/number"); got != "7f3a" {
		t.Errorf("number %q", got)
	}
	if e := m.Transactions[1].Actions[1].Err; e.Code != UnknownContext || e.Text != "no such" {
		t.Errorf("%+v", e)
	}
	if !reflect.DeepEqual(m.Transactions[3].Acked, [][2]uint32{{1, 3}, {9, 9}}) {
		t.Errorf("%+v", m.Transactions[3])
	}
	c := mustParse(t, shortForm).Transactions[0].Actions[0].Commands
	if len(c) != 2 || c[0].Name != CommandNotify || c[1].Name != CommandSubtract ||
		Value(c[0].Descriptors, "ObservedEvents", "oc/rel", "cause") != "16" {
		t.Errorf("%+v", c)
	}
}

func TestParseErrorCodes(t *testing.T) {
	for text, code := range map[string]int{
		"": 400, "HELLO": 400, "MEGACO/1 ": 400, "MEGACO/9 <a> T=1{}": 406,
		"!/1 <a>": 400, "!/1 <a> X=1{}": 400, "!/1 <a> T{}": 403, "!/1 <a> T=x{}": 403,
		"!/1 <a> T=1{X}": 403, "!/1 <a> T=1{C=x{}}": 422, "!/1 <a> T=1{C=1{A}}": 442,
		"!/1 <a> T=1{C=1{Q=1}}": 443, "!/1 <a> T=1{C=1{A=": 442,
		"!/1 <a> T=1{C=1{A=p{M{R{v=0": 442, "!/1 <a> T=1{C=1{S=p}": 403,
		"!/1 <a> T=1{C=1{A=p{" + strings.Repeat("a{", 50): 442,
		"!/1 <a> T=1{C=1{A=p{M{L{\x00}}}}}":               442,
	} {
		if _, err := Parse([]byte(text)); err == nil || err.Code != code {
			t.Errorf("%.40q: got error %v, want code %d", text, err, code)
		}
	}
}

// A truncated message must be rejected at every length, and never be parsed as a shorter message.
func TestTruncatedMessages(t *testing.T) {
	text := strings.TrimRight(strings.Split(longForm, "\nReply")[0], "\n")
	for length := range text {
		if m, err := Parse([]byte(text[:length])); err == nil {
			t.Fatalf("the message truncated to %d bytes was parsed as %+v", length, m)
		}
	}
}

// encodeFrames returns the concatenated frames of messages.
func encodeFrames(t testing.TB, texts ...string) (b []byte) {
	t.Helper()
	for _, text := range texts {
		var err error
		if b, err = AppendFrame(b, mustParse(t, text)); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// readFrames passes chunks to a new framer and returns the messages that it delivers.
func readFrames(chunks ...[]byte) (texts []string, err error) {
	var f Framer
	for _, chunk := range chunks {
		err = f.Feed(chunk, func(text []byte) bool {
			texts = append(texts, string(text))
			return true
		})
		if err != nil {
			break
		}
	}
	return texts, err
}

func TestFramerWithRandomPieces(t *testing.T) {
	stream := encodeFrames(t, shortForm, shortForm, shortForm)
	for seed := range uint64(200) {
		got, err := readFrames(testutil.SplitRandomly(seed, stream, maxChunkSize)...)
		if err != nil || len(got) != 3 || !reflect.DeepEqual(mustParse(t, got[0]), mustParse(t, shortForm)) {
			t.Fatalf("seed %d: %q, %v", seed, got, err)
		}
	}
}

func TestInvalidFrames(t *testing.T) {
	for _, bad := range [][]byte{{3, 0, 0, 4}, {3, 0, 0xff, 0xff}, {4}, {3, 1}, []byte("MEGACO")} {
		if got, err := readFrames(bad); err == nil {
			t.Errorf("invalid frame % x was read as %q", bad, got)
		}
	}
	m := mustParse(t, shortForm)
	m.Transactions[0].Actions[0].Commands[0].Descriptors = []*Node{{Name: "Local", Octets: make([]byte, MaxMessageSize)}}
	if _, err := AppendFrame(nil, m); !errors.Is(err, ErrTooLong) {
		t.Errorf("a message over the maximum size: got error %v, want ErrTooLong", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(longForm), uint64(1))
	f.Add([]byte(shortForm), uint64(2))
	f.Fuzz(func(t *testing.T, text []byte, seed uint64) {
		if m, err := Parse(text); err == nil {
			b := m.appendText(nil)
			reparsed, err := Parse(b)
			if err != nil || reparsed.MID != m.MID || len(reparsed.Transactions) != len(m.Transactions) {
				t.Errorf("%q was written as %q, which was parsed with error %v", text, b, err)
			}
		}
		texts, err := readFrames(text)
		split, splitErr := readFrames(testutil.SplitRandomly(seed, text, maxChunkSize)...)
		if (err == nil) != (splitErr == nil) || !reflect.DeepEqual(texts, split) {
			t.Errorf("in one chunk: %q, error %v; in several: %q, error %v", texts, err, split, splitErr)
		}
	})
}
