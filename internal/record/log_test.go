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

// A store continues where it ended; a frame that was torn by a kill is truncated.
func TestRestarts(t *testing.T) {
	dir := t.TempDir()
	var want []string
	for start := range 4 { // each but the first follows a kill in the middle of a frame
		isFirst := start == 0
		l, found := openLog(t, testOptions(dir))
		if (found.TruncatedBytes == 0) != isFirst || found.Clean != isFirst || found.LastSeq != uint64(len(want)) {
			t.Errorf("start %d: %+v", start, found)
		}
		for i := range 100 {
			r := sampleRecord(i)
			l.Put(r)
			want = append(want, summary(r))
		}
		closeLog(t, l)
		appendTornFrame(t, dir)
	}
	l, found := openLog(t, testOptions(dir))
	l.Put(&Record{Kind: KindEnd, At: testStart})
	want = append(want, fmt.Sprintf("%d end ", len(want)+1))
	closeLog(t, l)
	if got, _ := readAll(t, dir); !slices.Equal(got, want) {
		t.Errorf("got %d lines, want %d: %q", len(got), len(want), got[max(0, len(got)-3):])
	}
	if l, found = openLog(t, testOptions(dir)); !found.Clean || found.LastSeq != uint64(len(want)) {
		t.Errorf("after an orderly end: %+v", found)
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
		t.Errorf("a second writer: %v", err)
	}
	if !Live(dir) {
		t.Error("a store that is open is not live")
	}
	closeLog(t, l)
	if Live(dir) {
		t.Error("a store that is closed is live")
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
		if i == 5 { // the reader has a segment open that is removed later
			waitUntil(t, "a live store is read", func() bool { return r.Next(&rec) == nil })
		}
		if i%100 == 0 {
			waitUntil(t, "they are durable", func() bool { return l.Written() == uint64(i+1) })
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
		t.Errorf("ends with %d, %d gaps", nextSeq-1, gaps)
	}
}

// If all segments are too old, the next one is the only one that remains.
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

// A store is read while it is written, record by record and across segments.
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
	l, found := openLog(t, o)
	if !found.Clean || found.LastSeq != 0 {
		t.Errorf("%+v", found)
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
		t.Errorf("%v allocations a record", n)
	}
	closeLog(t, l)
}
