package jsonl

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"olivedale/internal/testutil"
)

// maxChunkSize is the maximum size in bytes of the chunks that tests pass to a reader.
const maxChunkSize = 40

var samples = []*Message{
	{Verb: Start, Tag: "9b1f03aa5c7e2d41", Options: []Option{{"class", "voice"}, {"left", "1500"}},
		Blob: []byte("a\r\n\"\\\x01\xff\xc3\xa9")},
	{Verb: Finish, Tag: "9b1f03aa5c7e2d41", ResultCode: 34, HasResultCode: true, Options: []Option{{"wait", "250"}}},
	{Verb: Echo, Tag: "", ResultCode: 0, HasResultCode: true},
}

// readAll passes chunks to a new reader and returns the messages that it delivers.
func readAll(chunks ...[]byte) ([]*Message, error) {
	var r Reader
	return testutil.FeedAll(r.Feed, chunks...)
}

func TestReaderWithRandomPieces(t *testing.T) {
	var text []byte
	for _, m := range samples {
		text = Append(text, m)
	}
	for seed := range uint64(200) {
		got, err := readAll(testutil.SplitRandomly(seed, text, maxChunkSize)...)
		if err != nil || len(got) != len(samples) {
			t.Fatalf("seed %d: %d messages, error %v", seed, len(got), err)
		}
		for i, m := range got {
			want := *samples[i]
			m.Options = append([]Option(nil), m.Options...)
			if !reflect.DeepEqual(m, &want) {
				t.Fatalf("seed %d: got %+v, want %+v", seed, m, want)
			}
		}
	}
}

func TestParse(t *testing.T) {
	line := ` { "new":[1,{"a":null},true], "opts":{"left":1500,"k":"\u00e9\ud83d\ude00\/"}, "rc":"16", "verb":"X" } `
	m, err := Parse([]byte(line))
	if err != nil || m.Option("left") != "1500" || m.Option("k") != "é😀/" || m.ResultCode != 16 {
		t.Errorf("got %+v, %v", m, err)
	}
	for _, bad := range []string{
		`{}`, `[]`, `{"verb":"X"} x`, `{"verb":"X","opts":{"a":true}}`, `{"verb":"\ud83d"}`, `{"verb":"X"`,
		`{"verb":"X","rc":1.5}`, `{"verb":"` + "\x01" + `"}`, `{"verb":"X","n":` + strings.Repeat("[", 100),
	} {
		if m, err := Parse([]byte(bad)); err == nil {
			t.Errorf("invalid message %s was parsed as %+v", bad, m)
		}
	}
}

func TestMaxMessageSize(t *testing.T) {
	fits := bytes.Repeat([]byte(" "), MaxMessageSize-1-len(`{"verb":"X"}`))
	fits = append(append(fits, `{"verb":"X"}`...), '\n')
	if got, err := readAll(fits); err != nil || len(got) != 1 {
		t.Errorf("a line of 16 KiB: got %d messages, error %v", len(got), err)
	}
	if _, err := readAll(append([]byte(" "), fits...)); !errors.Is(err, ErrTooLong) {
		t.Errorf("a longer line: got error %v, want ErrTooLong", err)
	}
	if _, err := readAll(bytes.Repeat([]byte("x"), MaxMessageSize)); !errors.Is(err, ErrTooLong) {
		t.Errorf("a line without a line feed: got error %v, want ErrTooLong", err)
	}
}

func FuzzReader(f *testing.F) {
	for _, m := range samples {
		f.Add(Append(nil, m), uint64(1))
	}
	f.Add([]byte(`{"verb":"X","n":[[{"a":1e5}]],"opts":{"left":1.5}}`+"\n"), uint64(2))
	f.Fuzz(func(t *testing.T, text []byte, seed uint64) {
		messages, err := readAll(text)
		split, splitErr := readAll(testutil.SplitRandomly(seed, text, maxChunkSize)...)
		if (err == nil) != (splitErr == nil) || !reflect.DeepEqual(messages, split) {
			t.Errorf("in one chunk: %d messages, error %v; in several: %d messages, error %v",
				len(messages), err, len(split), splitErr)
		}
		for _, m := range messages {
			reparsed, err := Parse(bytes.TrimSuffix(Append(nil, m), []byte("\n")))
			if err != nil || reparsed.Verb != m.Verb || reparsed.Tag != m.Tag || !bytes.Equal(reparsed.Blob, m.Blob) {
				t.Errorf("%+v was written and then parsed as %+v, error %v", m, reparsed, err)
			}
		}
	})
}
