package record

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"olivedale/internal/goldentest"
)

var goldenStore = filepath.Join("testdata", "golden", "store")

// Fixed values for the numbers that a writer generates randomly.
const (
	goldenStoreID    = 0x5707_0000_0000_0001
	goldenFirstRunID = 0xb007_0000_0000_0001
	goldenNonce      = 0x4053_0000_0000_0001
)

const (
	goldenCall   = "0123456789abcdef"
	goldenServer = "s-1"
)

// goldenRuns returns the records of two runs of one instance. They contain all kinds, all codes of the kinds that have
// codes, and a kind and codes that are unknown, as a newer program may write them.
func goldenRuns() [][]Record {
	var first []Record
	add := func(records ...Record) {
		for _, r := range records {
			r.At = testStart + Time(len(first))*1_234_567
			first = append(first, r)
		}
	}
	add(goldenConfiguration()...)
	add(goldenCalls()...)
	add(goldenMeasurements()...)
	for code := range uint8(len(gapCauseNames) + 1) {
		add(Record{Kind: KindGap, From: uint64(len(first) + 1), Since: testStart + 1, Code: code, Text: "set aside"})
	}
	add(Record{Kind: Kind(200), By: "a kind of a newer program"})
	add(Record{Kind: KindStopping})
	add(Record{Kind: KindEnd, Count: uint64(len(first) + 1)})
	later := testStart + 10*time.Second
	second := []Record{
		{Kind: KindStart, At: later, Flag: true, Text: fmt.Sprint("last record ", len(first))},
		{Kind: KindEnd, At: later + time.Second, Count: 2},
	}
	return [][]Record{first, second}
}

func goldenConfiguration() []Record {
	records := []Record{
		{Kind: KindStart, Flag: true, Text: "a new store"},
		{Kind: KindConfig, By: "class", Class: "voice", Wait: time.Second, Took: 3 * time.Second},
		{Kind: KindConfig, By: "cold", Wait: 30 * time.Second, Value: 0.25},
		{Kind: KindConfig, By: "settings", Text: `{"groupSize":1}`},
	}
	for code := range uint8(len(serverStateNames) + 1) {
		records = append(records, Record{
			Kind: KindServer, Server: goldenServer, Code: code, Pool: int(code) - 1, Flag: code == 0,
			Since: testStart - time.Minute, Text: "127.0.0.1:9",
		})
	}
	return records
}

func goldenCalls() []Record {
	records := []Record{
		{
			Kind: KindCallOffered, Call: goldenCall, Class: "voice", Number: "+56 2 2555 0100", Pool: -1, Wait: 3 * time.Second,
			Text: "7b3cbfb4b82e4e7b",
		},
		{Kind: KindCallOffered, Call: "c-2", Class: "alarm", Number: "133\xff", Pool: 2, Flag: true},
	}
	for code := range uint8(len(decisionNames) + 1) {
		records = append(records, Record{
			Kind: KindDecision, Call: goldenCall, Code: code, Server: goldenServer, Wait: 500 * time.Millisecond,
			Text: "no_server",
		})
	}
	records = append(records,
		Record{Kind: KindAttemptStarted, Call: goldenCall, Server: goldenServer, Attempt: 1, Wait: 500 * time.Millisecond},
		Record{
			Kind: KindAttemptEnded, Call: goldenCall, Server: goldenServer, Attempt: 1, End: "connected",
			Took: 1500 * time.Microsecond,
		},
	)
	for code := range uint8(len(outcomeNames) + 1) {
		records = append(records, Record{
			Kind: KindAnswer, Call: goldenCall, Class: "voice", Code: code, Cause: 41, Wait: time.Second,
			Took: 20 * time.Millisecond, Server: goldenServer, Attempt: -1,
		})
	}
	return append(records, Record{
		Kind: KindRelease, Call: goldenCall, Class: "voice", Server: goldenServer, Cause: 16, End: "completed",
		Took: time.Hour,
	})
}

func goldenMeasurements() []Record {
	return []Record{
		{Kind: KindRateLimit, Server: goldenServer, Text: "pressed", Value: 12.5},
		{Kind: KindRateLimit, Server: goldenServer, Text: "lapsed", Value: math.Inf(1)},
		{Kind: KindLimitReached, By: "calls", Count: 3, Call: "c-3"},
		{Kind: KindClock, By: "agent", T: [4]int64{int64(testStart), int64(testStart) + 2, -3, math.MaxInt64}},
		{Kind: KindClock, T: [4]int64{int64(testStart) + 5, int64(testStart)}},
		{Kind: KindNote, Text: "a line with \"quotes\", \x1b[2J, \xff and é", Server: goldenServer},
		{Kind: KindCounter, By: "requests", Count: math.MaxUint64},
	}
}

// TestGoldenStoreIsWrittenTheSame checks that the records are encoded as the same bytes as in the golden store.
func TestGoldenStoreIsWrittenTheSame(t *testing.T) {
	written, fixed := t.TempDir(), t.TempDir()
	for i, records := range goldenRuns() {
		o := testOptions(written)
		o.SegmentBytes = 1 << 10
		o.StartTime = records[0].At
		l, recovery := openLog(t, o)
		if !recovery.Clean {
			t.Errorf("start %d: %v", i, recovery)
		}
		for _, r := range records {
			l.Put(&r)
		}
		closeLog(t, l)
	}
	replaceRandomIDs(t, written, fixed)
	goldentest.CompareDir(t, goldenStore, fixed)
}

// TestGoldenStoreIsRead checks that the golden store is decoded to the original records, and that these are printed as
// the golden text and JSON.
func TestGoldenStoreIsRead(t *testing.T) {
	r, err := OpenDir(goldenStore)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	var asJSON, lines []byte
	seq := uint64(0)
	for _, records := range goldenRuns() {
		for _, want := range records {
			seq++
			want.Seq = seq
			var got Record
			if err := r.Next(&got); err != nil || got != want {
				t.Fatalf("record %d: %v\n got %+v\nwant %+v", seq, err, got, want)
			}
			h := r.Header()
			if asJSON, err = got.AppendJSON(asJSON, &h); err != nil {
				t.Fatal(err)
			}
			lines = append(append(lines, got.Line(&h)...), '\n')
		}
	}
	if err := r.Next(&Record{}); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
	if damages, more := r.Damages(); len(damages) > 0 || more > 0 {
		t.Errorf("damages %+v and %d more", damages, more)
	}
	if got := r.Header().Store; got != goldenStoreID {
		t.Errorf("store %x", got)
	}
	goldentest.CompareFile(t, filepath.Join("testdata", "golden", "records.jsonl"), asJSON)
	goldentest.CompareFile(t, filepath.Join("testdata", "golden", "records.txt"), lines)
}

// replaceRandomIDs copies a store and replaces the random numbers of its writer with fixed ones.
func replaceRandomIDs(t *testing.T, from, to string) {
	t.Helper()
	all, err := listSegments(from)
	if err != nil {
		t.Fatal(err)
	}
	runIDs := make(map[uint64]uint64)
	for i, s := range all {
		raw, err := os.ReadFile(filepath.Join(from, s.name))
		if err != nil {
			t.Fatal(err)
		}
		h, err := decodeHeader(raw)
		if err != nil {
			t.Fatal(err)
		}
		if h.First != s.first || h.RunID != s.runID {
			t.Errorf("header of %s has first record %d and run id %x", s.name, h.First, h.RunID)
		}
		if !bytes.Equal(reframe(t, raw, &h), raw) {
			t.Errorf("%s contains bytes besides its header and frames", s.name)
		}
		if _, ok := runIDs[h.RunID]; !ok {
			runIDs[h.RunID] = goldenFirstRunID + uint64(len(runIDs))
		}
		h.Store, h.RunID, h.Nonce = goldenStoreID, runIDs[h.RunID], goldenNonce+uint64(i)
		path := filepath.Join(to, segmentName(h.First, h.RunID, s.index))
		if err := os.WriteFile(path, reframe(t, raw, &h), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// reframe returns a segment with the payloads of raw under another header.
func reframe(t *testing.T, raw []byte, h *Header) []byte {
	t.Helper()
	old, err := decodeHeader(raw)
	if err != nil {
		t.Fatal(err)
	}
	out := appendHeader(nil, h)
	for rest := raw[headerSize:]; len(rest) > 0; {
		payload, status := parseFrame(rest, frameSeed(old.Nonce))
		if status != frameIntact {
			t.Fatalf("no intact frame %d bytes before the end", len(rest))
		}
		out = appendFrame(out, payload, frameSeed(h.Nonce))
		rest = rest[frameSize(payload):]
	}
	return out
}
