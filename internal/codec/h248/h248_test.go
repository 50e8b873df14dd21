package h248

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

const pretty = `MEGACO/1 [10.0.0.4]:2944 ; a panel
Transaction = 9998 {
  Context = $ { Add = panel/12 { Media { TerminationState { oc/class = resident-call, oc/number = "7f3a" },
    Remote {v=0
s={-\}
} } } } }
Reply=3{Context=7{Subtract=panel/12}, Context=8{Error=411{"no such"}}} Pending=4{} TransactionResponseAck{1-3,9}
`

const compact = `!/1 <gw> T=1{C=5{N=p/1{OE=1{oc/rel{cause=16}}},O-S=p/2}}`

func sample(t testing.TB, text string) *Message {
	m, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestParse(t *testing.T) {
	m := sample(t, pretty)
	add := m.Transactions[0].Actions[0].Commands[0]
	if m.MID != "[10.0.0.4]:2944" || len(m.Transactions) != 4 || add.Name != "Add" || add.Termination != "panel/12" {
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
	c := sample(t, compact).Transactions[0].Actions[0].Commands
	if len(c) != 2 || c[0].Name != "Notify" || c[1].Name != "Subtract" || Value(c[0].Descriptors, "ObservedEvents", "oc/rel", "cause") != "16" {
		t.Errorf("%+v", c)
	}
}

func TestErrors(t *testing.T) {
	for text, code := range map[string]int{
		"": 400, "HELLO": 400, "MEGACO/1 ": 400, "MEGACO/9 <a> T=1{}": 406, "!/1 <a>": 400, "!/1 <a> X=1{}": 400,
		"!/1 <a> T{}": 403, "!/1 <a> T=x{}": 403, "!/1 <a> T=1{X}": 403, "!/1 <a> T=1{C=x{}}": 422, "!/1 <a> T=1{C=1{A}}": 442,
		"!/1 <a> T=1{C=1{Q=1}}": 443, "!/1 <a> T=1{C=1{A=": 442, "!/1 <a> T=1{C=1{A=p{M{R{v=0": 442, "!/1 <a> T=1{C=1{S=p}": 403,
		"!/1 <a> T=1{C=1{A=p{" + strings.Repeat("a{", 50): 442, "!/1 <a> T=1{C=1{A=p{M{L{\x00}}}}}": 442,
	} {
		if _, err := Parse([]byte(text)); err == nil || err.Code != code {
			t.Errorf("%.40q: %v, want %d", text, err, code)
		}
	}
}

// What is cut anywhere is an error, never a shorter message.
func TestCutMessages(t *testing.T) {
	text := strings.TrimRight(strings.Split(pretty, "\nReply")[0], "\n")
	for cut := range text {
		if m, err := Parse([]byte(text[:cut])); err == nil {
			t.Fatalf("cut at byte %d it was read as %+v", cut, m)
		}
	}
}

func frames(t testing.TB, texts ...string) (b []byte) {
	for _, text := range texts {
		var err error
		if b, err = AppendFrame(b, sample(t, text)); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

func read(pieces ...[]byte) (got []string, err error) {
	var f Framer
	for _, p := range pieces {
		if err = f.Feed(p, func(text []byte) bool { got = append(got, string(text)); return true }); err != nil {
			break
		}
	}
	return got, err
}

func cuts(rng *rand.Rand, text []byte) (pieces [][]byte) {
	for len(text) > 0 {
		n := 1 + rng.IntN(min(len(text), 50))
		pieces, text = append(pieces, bytes.Clone(text[:n])), text[n:]
	}
	return pieces
}

func TestRandomCuts(t *testing.T) {
	stream := frames(t, compact, compact, compact)
	for seed := range uint64(200) {
		got, err := read(cuts(rand.New(rand.NewPCG(seed, 0)), stream)...)
		if err != nil || len(got) != 3 || !reflect.DeepEqual(sample(t, got[0]), sample(t, compact)) {
			t.Fatalf("seed %d: %q, %v", seed, got, err)
		}
	}
}

func TestBadFrames(t *testing.T) {
	for _, bad := range [][]byte{{3, 0, 0, 4}, {3, 0, 0xff, 0xff}, {4}, {3, 1}, []byte("MEGACO")} {
		if got, err := read(bad); err == nil {
			t.Errorf("% x gave %q", bad, got)
		}
	}
	m := sample(t, compact)
	m.Transactions[0].Actions[0].Commands[0].Descriptors = []*Node{{Name: "Local", Octets: make([]byte, Limit)}}
	if _, err := AppendFrame(nil, m); err != ErrTooLong {
		t.Errorf("a long message: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(pretty), uint64(1))
	f.Add([]byte(compact), uint64(2))
	f.Fuzz(func(t *testing.T, text []byte, seed uint64) {
		if m, err := Parse(text); err == nil { // what was read can be written and read again
			b := m.append(nil)
			again, err := Parse(b)
			if err != nil || again.MID != m.MID || len(again.Transactions) != len(m.Transactions) {
				t.Errorf("%q was written as %q: %v", text, b, err)
			}
		}
		whole, err := read(text)
		cut, err2 := read(cuts(rand.New(rand.NewPCG(seed, 0)), text)...)
		if (err == nil) != (err2 == nil) || !reflect.DeepEqual(whole, cut) {
			t.Errorf("whole %q and %v, in pieces %q and %v", whole, err, cut, err2)
		}
	})
}
