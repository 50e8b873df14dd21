package record

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestRestarts checks that a reopened store continues with the next sequence number, and that a frame written only
// partially before the process was killed is truncated.
func TestRestarts(t *testing.T) {
	dir := t.TempDir()
	var want []string
	for start := range 4 { // each start but the first follows a partially written frame
		isFirst := start == 0
		l, recovery := openLog(t, testOptions(dir))
		if (recovery.TruncatedBytes == 0) != isFirst || recovery.Clean != isFirst || recovery.LastSeq != uint64(len(want)) {
			t.Errorf("start %d: %+v", start, recovery)
		}
		for i := range 100 {
			r := sampleRecord(i)
			l.Put(r)
			want = append(want, summary(r))
		}
		closeLog(t, l)
		appendTornFrame(t, dir)
	}
	l, recovery := openLog(t, testOptions(dir))
	l.Put(&Record{Kind: KindEnd, At: testStart})
	want = append(want, fmt.Sprintf("%d end ", len(want)+1))
	closeLog(t, l)
	if got, _ := readAll(t, dir); !slices.Equal(got, want) {
		t.Errorf("got %d lines, want %d; the last ones: %q", len(got), len(want), got[max(0, len(got)-3):])
	}
	if l, recovery = openLog(t, testOptions(dir)); !recovery.Clean || recovery.LastSeq != uint64(len(want)) {
		t.Errorf("after a clean shutdown: %+v", recovery)
	}
	closeLog(t, l)
}

// appendTornFrame appends the first 20 bytes of a frame to the last segment of a store.
func appendTornFrame(t *testing.T, dir string) {
	t.Helper()
	all, err := listSegments(dir)
	if err != nil {
		t.Fatal(err)
	}
	f, err := os.OpenFile(filepath.Join(dir, all[len(all)-1].name), os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = f.Write(appendFrame(nil, appendRecord(nil, sampleRecord(1), testStart), 1)[:20])
	_ = f.Close()
}

func TestStoreHasOneWriter(t *testing.T) {
	dir := writeStore(t, 100).dir
	l, _ := openLog(t, testOptions(dir))
	_, _, err := Open(testOptions(dir))
	if err == nil || !strings.Contains(err.Error(), "in use") || !errors.Is(err, ErrInUse) {
		t.Errorf("opened by a second writer: %v", err)
	}
	if !Live(dir) {
		t.Error("an open store is not reported as live")
	}
	closeLog(t, l)
	if Live(dir) {
		t.Error("a closed store is reported as live")
	}
}

func TestRetentionBySize(t *testing.T) {
	const records = 2000
	o := testOptions(t.TempDir())
	o.TotalBytes = 4 * o.SegmentBytes
	l, _ := openLog(t, o)
	r, err := OpenDir(o.Dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	var rec Record
	for i := range records {
		l.Put(sampleRecord(i))
		if i == 5 { // the reader opens a segment that is removed later
			waitUntil(t, "a record is read while the store is written", func() bool { return r.Next(&rec) == nil })
		}
		if i%100 == 0 {
			waitUntil(t, "the records are durable", func() bool { return l.Written() == uint64(i+1) })
			if size := directorySize(t, o.Dir); size > o.TotalBytes {
				t.Fatalf("%d bytes on disk, more than %d", size, o.TotalBytes)
			}
		}
	}
	closeLog(t, l)
	nextSeq, gaps := rec.Seq+1, 0
	for r.Next(&rec) == nil {
		if rec.Kind == KindGap {
			gaps++
			if rec.From != nextSeq || GapCause(rec.Code) != Missing {
				t.Errorf("%s, want from %d", summary(&rec), nextSeq)
			}
		} else if rec.Seq != nextSeq {
			t.Errorf("%d follows %d", rec.Seq, nextSeq-1)
		}
		nextSeq = rec.Seq + 1
	}
	if nextSeq != records+1 || gaps != 1 {
		t.Errorf("last record %d, %d gaps; want all records and 1 gap", nextSeq-1, gaps)
	}
}

// TestRetentionByAge checks that only the new segment remains if all others are too old.
func TestRetentionByAge(t *testing.T) {
	store := writeStore(t, 300)
	if len(store.segments) < 2 {
		t.Fatalf("%d segments", len(store.segments))
	}
	o := testOptions(store.dir)
	o.MaxAge = time.Nanosecond
	l, _ := openLog(t, o)
	l.Put(sampleRecord(1))
	closeLog(t, l)
	if all, err := listSegments(o.Dir); err != nil || len(all) != 1 {
		t.Errorf("%v, %v", all, err)
	}
}

// directorySize returns the size of all files in a directory.
func directorySize(t *testing.T, dir string) int64 {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var size int64
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil {
			size += info.Size()
		}
	}
	return size
}

// TestTail checks that a store is read while it is being written, record by record and across segments.
func TestTail(t *testing.T) {
	o := testOptions(t.TempDir())
	l, _ := openLog(t, o)
	r, err := OpenDir(o.Dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	for i := range 300 {
		want := sampleRecord(i)
		l.Put(want)
		var rec Record
		waitUntil(t, "the record arrives", func() bool { return r.Next(&rec) == nil })
		if summary(&rec) != summary(want) {
			t.Fatalf("got %s, want %s", summary(&rec), summary(want))
		}
	}
	closeLog(t, l)
}

func TestEmptyStores(t *testing.T) {
	if lines, _ := readAll(t, t.TempDir()); len(lines) > 0 {
		t.Error(lines)
	}
	if _, err := OpenDir(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a directory that does not exist was read")
	}
	o := testOptions(t.TempDir())
	l, _ := openLog(t, o)
	closeLog(t, l)
	l, recovery := openLog(t, o)
	if !recovery.Clean || recovery.LastSeq != 0 {
		t.Errorf("%+v", recovery)
	}
	closeLog(t, l)
}

func TestPutAllocatesNothing(t *testing.T) {
	o := testOptions(t.TempDir())
	o.QueueBytes = 8 << 20
	o.SyncInterval = time.Hour
	l, _ := openLog(t, o)
	r := sampleRecord(1)
	if n := testing.AllocsPerRun(1000, func() { l.Put(r) }); n > 0 {
		t.Errorf("%v allocations per record", n)
	}
	closeLog(t, l)
}
