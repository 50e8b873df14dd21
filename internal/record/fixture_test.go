package record

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"olivedale/internal/testutil"
)

// testStart is the start time of the program in tests.
const testStart = Time(1_700_000_000_000_000_000)

func TestMain(m *testing.M) { testutil.Main(m) }

// testOptions returns the options of a small store.
func testOptions(dir string) Options {
	return Options{
		Dir:          dir,
		Name:         "n0",
		Program:      "test",
		QueueBytes:   64 << 10,
		SyncInterval: 5 * time.Millisecond,
		SegmentBytes: 4 << 10,
		TotalBytes:   1 << 20,
		StartTime:    testStart,
	}
}

func openLog(t testing.TB, o Options) (*Log, Recovery) {
	t.Helper()
	l, recovery, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	return l, recovery
}

func closeLog(t testing.TB, l *Log) {
	t.Helper()
	if err := l.Close(10 * time.Second); err != nil {
		t.Fatal(err)
	}
}

// sampleRecord returns a record that is different for each index.
func sampleRecord(i int) *Record {
	return &Record{
		Kind:    Kind(int(KindCallOffered) + i%5),
		At:      testStart + Time(i)*time.Millisecond,
		Call:    fmt.Sprintf("%016x", i),
		Class:   "voice",
		Server:  fmt.Sprint("s-", i%3),
		Attempt: i%3 - 1,
		Took:    time.Duration(i) * time.Microsecond,
		Pool:    -1,
		End:     "unsent",
	}
}

// summary returns the text form of a record that tests compare.
func summary(r *Record) string {
	if r.Kind == KindGap {
		return fmt.Sprintf("gap %d-%d %v", r.From, r.Seq, GapCause(r.Code))
	}
	return fmt.Sprintf("%d %v %s", r.Seq, r.Kind, r.Call)
}

// sampleSummary returns the summary of the sample record with sequence number seq.
func sampleSummary(seq int) string {
	r := sampleRecord(seq - 1)
	r.Seq = uint64(seq)
	return summary(r)
}

// readAll returns the summaries of all records in a store, and the reader, which lists the damage.
func readAll(t testing.TB, dir string) (lines []string, r *Reader) {
	t.Helper()
	r, err := OpenDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	for {
		var rec Record
		err := r.Next(&rec)
		if errors.Is(err, io.EOF) {
			return lines, r
		}
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, summary(&rec))
	}
}

// firstDifference describes the first difference between two lists, or returns "" if they are equal.
func firstDifference(got, want []string) string {
	const context = 3
	for i := range max(len(got), len(want)) {
		if i < len(got) && i < len(want) && got[i] == want[i] {
			continue
		}
		gotPart := got[min(i, len(got)):min(i+context, len(got))]
		wantPart := want[min(i, len(want)):min(i+context, len(want))]
		return fmt.Sprintf("line %d: got %q, want %q", i, gotPart, wantPart)
	}
	return ""
}

// waitUntil waits until a condition is true, and fails the test after a timeout.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout while waiting until %s", description)
		}
	}
}

// A testStore is a store written by a test.
type testStore struct {
	dir      string
	segments []testSegment
}

// A testSegment is a segment of a testStore.
type testSegment struct {
	name   string
	data   []byte
	frames []int // offsets of the frames
}

// frameAt returns the index of the frame that contains an offset.
func (s *testSegment) frameAt(offset int) int {
	i, isStart := slices.BinarySearch(s.frames, offset)
	if !isStart {
		i--
	}
	return i
}

// frameData returns the bytes of a frame in data, a copy of the segment that may be changed but not truncated.
func (s *testSegment) frameData(data []byte, i int) []byte {
	end := len(data)
	if i+1 < len(s.frames) {
		end = s.frames[i+1]
	}
	return data[s.frames[i]:end]
}

// lastSegment returns the last segment of the store.
func (s *testStore) lastSegment() *testSegment { return &s.segments[len(s.segments)-1] }

// writeStore writes a store with the given number of sample records.
func writeStore(t testing.TB, records int) testStore {
	t.Helper()
	s := testStore{dir: t.TempDir()}
	l, _ := openLog(t, testOptions(s.dir))
	for i := range records {
		l.Put(sampleRecord(i))
	}
	closeLog(t, l)
	all, err := listSegments(s.dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range all {
		s.segments = append(s.segments, readSegment(t, filepath.Join(s.dir, file.name)))
	}
	return s
}

// readSegment reads an intact segment.
func readSegment(t testing.TB, path string) testSegment {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	h, err := decodeHeader(data)
	if err != nil {
		t.Fatal(err)
	}
	s := testSegment{name: filepath.Base(path), data: data}
	for offset := headerSize; offset < len(data); {
		s.frames = append(s.frames, offset)
		payload, status := parseFrame(data[offset:], frameSeed(h.Nonce))
		if status != frameIntact {
			t.Fatal("a newly written store is damaged")
		}
		offset += frameSize(payload)
	}
	return s
}
