package jsonl

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

var samples = []*Message{
	{Verb: Start, Tag: "9b1f03aa5c7e2d41", Opts: []Opt{{"class", "voice"}, {"left", "1500"}}, Blob: []byte("a\r\n\"\\\x01\xff\xc3\xa9")},
	{Verb: Finish, Tag: "9b1f03aa5c7e2d41", RC: 34, HasRC: true, Opts: []Opt{{"wait", "250"}}},
	{Verb: Echo, Tag: "", RC: 0, HasRC: true},
}

func read(t *testing.T, pieces [][]byte) (got []*Message, err error) {
	var r Reader
	for _, p := range pieces {
		if err = r.Feed(p, func(m *Message) bool { got = append(got, m); return true }); err != nil {
			return got, err
		}
	}
	return got, nil
}

// cuts cuts a text at random places.
func cuts(rng *rand.Rand, text []byte) (pieces [][]byte) {
	for len(text) > 0 {
		n := 1 + rng.IntN(min(len(text), 40))
		pieces, text = append(pieces, bytes.Clone(text[:n])), text[n:]
	}
	return pieces
}

func TestRandomCuts(t *testing.T) {
	var text []byte
	for _, m := range samples {
		text = Append(text, m)
	}
	for seed := range uint64(200) {
		got, err := read(t, cuts(rand.New(rand.NewPCG(seed, 0)), text))
		if err != nil || len(got) != len(samples) {
			t.Fatalf("seed %d: %d messages, error %v", seed, len(got), err)
		}
		for i, m := range got {
			want := *samples[i]
			if m.Opts = append([]Opt(nil), m.Opts...); !reflect.DeepEqual(m, &want) {
				t.Fatalf("seed %d: got %+v, want %+v", seed, m, want)
			}
		}
	}
}

func TestForms(t *testing.T) {
	m, err := Parse([]byte(` { "new":[1,{"a":null},true], "opts":{"left":1500,"k":"\u00e9\ud83d\ude00\/"}, "rc":"16", "verb":"X" } `))
	if err != nil || m.Opt("left") != "1500" || m.Opt("k") != "é😀/" || m.RC != 16 {
		t.Errorf("got %+v, %v", m, err)
	}
	for _, bad := range []string{`{}`, `[]`, `{"verb":"X"} x`, `{"verb":"X","opts":{"a":true}}`, `{"verb":"\ud83d"}`, `{"verb":"X"`,
		`{"verb":"X","rc":1.5}`, `{"verb":"` + "\x01" + `"}`, `{"verb":"X","n":` + strings.Repeat("[", 100)} {
		if m, err := Parse([]byte(bad)); err == nil {
			t.Errorf("%s was read as %+v", bad, m)
		}
	}
}

func TestLongLine(t *testing.T) {
	fits := bytes.Repeat([]byte(" "), Limit-1-len(`{"verb":"X"}`))
	fits = append(append(fits, `{"verb":"X"}`...), '\n')
	if got, err := read(t, [][]byte{fits}); err != nil || len(got) != 1 {
		t.Errorf("a line of 16 KiB: %d messages, %v", len(got), err)
	}
	if _, err := read(t, [][]byte{append([]byte(" "), fits...)}); err != ErrTooLong {
		t.Errorf("a longer line: %v", err)
	}
	if _, err := read(t, [][]byte{bytes.Repeat([]byte("x"), Limit)}); err != ErrTooLong {
		t.Errorf("a line without end: %v", err)
	}
}

func FuzzReader(f *testing.F) {
	for _, m := range samples {
		f.Add(Append(nil, m), uint64(1))
	}
	f.Add([]byte(`{"verb":"X","n":[[{"a":1e5}]],"opts":{"left":1.5}}`+"\n"), uint64(2))
	f.Fuzz(func(t *testing.T, text []byte, seed uint64) {
		whole, err := read(t, [][]byte{text})
		cut, err2 := read(t, cuts(rand.New(rand.NewPCG(seed, 0)), text))
		if (err == nil) != (err2 == nil) || !reflect.DeepEqual(whole, cut) {
			t.Errorf("whole %d messages and %v, in pieces %d and %v", len(whole), err, len(cut), err2)
		}
		for _, m := range whole { // what was read can be written and read again
			again, err := Parse(bytes.TrimSuffix(Append(nil, m), []byte("\n")))
			if err != nil || again.Verb != m.Verb || again.Tag != m.Tag || !bytes.Equal(again.Blob, m.Blob) {
				t.Errorf("%+v was read back as %+v, %v", m, again, err)
			}
		}
	})
}
