package record

import (
	"strings"
	"testing"
)

func TestRecordIsDecodedAsEncoded(t *testing.T) {
	full := Record{
		Seq: 7, At: testStart + 5, Kind: KindClock, Call: "c", Class: "voice", Number: "+56 2", Server: "s", Text: "\xff\n",
		Attempt: -1, Code: 3, End: "cut", Cause: 41, Wait: 3, Took: 4, Pool: -1, Flag: true, Value: 1.5, Count: 9,
		Since: testStart, T: [4]int64{-1, 2, 3, 1 << 62}, By: "agent",
	}
	gap := Record{Seq: 9, From: 3, At: testStart + 6, Since: testStart + 2, Kind: KindGap, Code: uint8(QueueFull)}
	for _, r := range []Record{full, gap} {
		var got Record
		err := decodeRecord(appendRecord(nil, &r, testStart), &got, testStart, internTable{})
		if err != nil || got != r {
			t.Errorf("got  %+v, %v\nwant %+v", got, err, r)
		}
	}
	long := full
	long.Text = strings.Repeat("x", 1<<16)
	long.Number = strings.Repeat("y", 1<<16)
	if n := len(appendRecord(nil, &long, testStart)); n > maxPayloadSize {
		t.Errorf("a record of %d bytes", n)
	}
}

func TestPrintableReplacesControlCharacters(t *testing.T) {
	if got := Printable("a\n\x1b[2J\xff\u009bé"); got != "a\ufffd\ufffd[2J\ufffd\ufffdé" {
		t.Errorf("%q", got)
	}
	if got := Printable("\u009b2J"); got != "\ufffd2J" { // CSI in an otherwise printable string
		t.Errorf("%q", got)
	}
}

func FuzzRecord(f *testing.F) {
	f.Add(appendRecord(nil, sampleRecord(3), testStart))
	f.Add([]byte{0x08, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var decoded, decodedAgain Record
		if decodeRecord(b, &decoded, 0, internTable{}) != nil {
			return
		}
		encoded := appendRecord(nil, &decoded, 0)
		if err := decodeRecord(encoded, &decodedAgain, 0, internTable{}); err != nil {
			t.Fatalf("%+v: %v", decoded, err)
		}
	})
}
