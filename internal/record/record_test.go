package record

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"olivedale/internal/testutil"
)

const wall = Time(1_700_000_000_000_000_000)

func TestMain(m *testing.M) { testutil.Main(m) }

// options are those of a small store.
func options(dir string) Options {
	return Options{Dir: dir, Name: "n0", Program: "test", Queue: 64 << 10, Sync: 5 * time.Millisecond, Segment: 4 << 10, Total: 1 << 20, Wall: wall}
}

func open(t testing.TB, o Options) (*Log, Recovery) {
	t.Helper()
	l, r, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	return l, r
}

func shut(t testing.TB, l *Log) {
	t.Helper()
	if err := l.Close(10 * time.Second); err != nil {
		t.Fatal(err)
	}
}

// sample is a record that differs from others.
func sample(i int) *Record {
	return &Record{Kind: Kind(int(KindSetUp) + i%5), At: wall + Time(i)*time.Millisecond, Call: fmt.Sprintf("%016x", i), Class: "voice",
		Server: fmt.Sprint("s-", i%3), Attempt: i%3 - 1, Took: time.Duration(i) * time.Microsecond, Pool: -1, End: "unsent"}
}

// line is a record as a test compares it.
func line(r *Record) string {
	if r.Kind == KindGap {
		return fmt.Sprintf("gap %d-%d %v", r.From, r.Seq, GapCause(r.Code))
	}
	return fmt.Sprintf("%d %v %s", r.Seq, r.Kind, r.Call)
}

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
		lines = append(lines, line(&rec))
	}
}

func TestRecordsComeBack(t *testing.T) {
	full := Record{Seq: 7, At: wall + 5, Kind: KindClock, Call: "c", Class: "voice", Number: "+56 2", Server: "s", Text: "\xff\n", Attempt: -1,
		Code: 3, End: "cut", Cause: 41, Wait: 3, Took: 4, Pool: -1, Flag: true, Value: 1.5, Count: 9, Since: wall, T: [4]int64{-1, 2, 3, 1 << 62}, By: "agent"}
	gap := Record{Seq: 9, From: 3, At: wall + 6, Since: wall + 2, Kind: KindGap, Code: uint8(QueueFull)}
	for _, r := range []Record{full, gap} {
		var got Record
		if err := decodeRecord(appendRecord(nil, &r, wall), &got, wall, internedStrings{}); err != nil || got != r {
			t.Errorf("got  %+v, %v\nwant %+v", got, err, r)
		}
	}
	long := full
	long.Text, long.Number = strings.Repeat("x", 1<<16), strings.Repeat("y", 1<<16)
	if n := len(appendRecord(nil, &long, wall)); n > maxPayloadSize {
		t.Errorf("a record of %d bytes", n)
	}
	if got := Printable("a\n\x1b[2J\xff\u009bé"); got != "a\ufffd\ufffd[2J\ufffd\ufffdé" {
		t.Errorf("%q", got)
	}
}

// A store goes on where it ended; what was torn by a kill in the middle of a frame is cut.
func TestRestarts(t *testing.T) {
	dir := t.TempDir()
	var want []string
	for start := range 4 { // each in the middle of a frame but the first
		l, found := open(t, options(dir))
		if (found.TruncatedBytes > 0) != (start > 0) || found.Clean != (start == 0) || found.LastSeq != uint64(len(want)) {
			t.Errorf("start %d: %+v", start, found)
		}
		for i := range 100 {
			r := sample(i)
			l.Put(r)
			want = append(want, line(r))
		}
		shut(t, l)
		all, err := listSegments(dir)
		if err != nil {
			t.Fatal(err)
		}
		f, err := os.OpenFile(filepath.Join(dir, all[len(all)-1].name), os.O_WRONLY|os.O_APPEND, 0)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = f.Write(appendFrame(nil, appendRecord(nil, sample(1), wall), 1)[:20])
		_ = f.Close()
	}
	l, found := open(t, options(dir))
	l.Put(&Record{Kind: KindEnd, At: wall})
	want = append(want, fmt.Sprintf("%d end ", len(want)+1))
	shut(t, l)
	if got, _ := readAll(t, dir); !slices.Equal(got, want) {
		t.Errorf("got %d lines, want %d: %q", len(got), len(want), got[max(0, len(got)-3):])
	}
	if l, found = open(t, options(dir)); !found.Clean || found.LastSeq != uint64(len(want)) {
		t.Errorf("after an orderly end: %+v", found)
	}
	if _, _, err := Open(options(dir)); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("a second writer: %v", err)
	}
	if !Live(dir) {
		t.Error("a store that is open is not live")
	}
	shut(t, l)
	if Live(dir) {
		t.Error("a store that is closed is live")
	}
}

// faulty is a disk that fails as a test says.
type faulty struct {
	Disk
	mu     sync.Mutex
	write  func(p []byte) (int, error) // nil: works
	sync   error
	create error
	hold   chan struct{} // writes wait until it is closed
	trunc  error
}

type faultyFile struct {
	File
	d *faulty
}

func (d *faulty) set(f func(d *faulty)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d)
}

func (d *faulty) Create(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.create != nil {
		return nil, d.create
	}
	f, err := d.Disk.Create(name)
	return faultyFile{f, d}, err
}

func (f faultyFile) Write(p []byte) (int, error) {
	f.d.mu.Lock()
	write, hold := f.d.write, f.d.hold
	f.d.mu.Unlock()
	if hold != nil {
		<-hold
	}
	if write != nil {
		n, err := write(p)
		_, _ = f.File.Write(p[:n])
		return n, err
	}
	return f.File.Write(p)
}

func (f faultyFile) Sync() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.d.sync != nil {
		return f.d.sync
	}
	return f.File.Sync()
}

func (f faultyFile) Truncate(n int64) error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.d.trunc != nil {
		return f.d.trunc
	}
	return f.File.Truncate(n)
}

// eventually waits for what needs no more than a moment.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// Whatever the disk does, no number is missing without a gap that says why, what fits the
// queue is not lost, and Put goes on.
func TestDiskFails(t *testing.T) {
	half := func(err error) func(p []byte) (int, error) {
		return func(p []byte) (int, error) { return len(p) / 2, err }
	}
	for name, c := range map[string]struct {
		fail  func(d *faulty)
		cause GapCause
	}{
		"full, in the middle of a frame":     {func(d *faulty) { d.write = half(syscall.ENOSPC) }, DiskFull},
		"an I/O error that can't be cut":     {func(d *faulty) { d.write, d.trunc = half(syscall.EIO), syscall.EIO }, DiskFailed},
		"read-only":                          {func(d *faulty) { d.sync, d.create = syscall.EROFS, syscall.EROFS }, DiskReadOnly},
		"a sync that fails after a write":    {func(d *faulty) { d.sync, d.trunc = syscall.EIO, syscall.EIO }, DiskFailed},
		"slow for longer than there is room": {func(d *faulty) { d.hold = make(chan struct{}) }, QueueFull},
	} {
		for _, many := range []int{50, 5000} { // within the queue, and past it
			t.Run(fmt.Sprint(name, " ", many), func(t *testing.T) {
				o := options(t.TempDir())
				d := &faulty{Disk: directory(o.Dir)}
				o.Disk = d
				l, _ := open(t, o)
				i := 0
				put := func(n int) {
					for range n {
						l.Put(sample(i))
						i++
					}
				}
				put(20)
				eventually(t, "the first are safe", func() bool { return l.Written() == 20 })
				d.set(c.fail)
				put(20)
				if d.hold == nil {
					eventually(t, "the failure shows", func() bool { return l.Failing() == c.cause })
				}
				put(many)
				if (l.Lost() > 0) != (many == 5000) {
					t.Errorf("%d lost of %d", l.Lost(), many)
				}
				hold := d.hold
				d.set(func(d *faulty) { d.write, d.sync, d.create, d.hold, d.trunc = nil, nil, nil, nil, nil })
				if hold != nil {
					close(hold)
				}
				eventually(t, "the disk works again", func() bool { return l.Failing() == NoGap && l.queue.usedBytes() == 0 })
				put(20)
				lost := l.Lost()
				shut(t, l)
				lines, r := readAll(t, o.Dir)
				check(t, lines, i, lost, c.cause)
				// What is left of the failure is damage in a file, never records twice or out of order.
				for _, g := range r.damages.list {
					if g.From > 0 {
						t.Errorf("the reader misses records itself: %+v", g)
					}
				}
			})
		}
	}
}

// check tells whether lines hold all numbers up to n, those of one gap with its cause.
func check(t *testing.T, lines []string, n int, lost uint64, cause GapCause) {
	t.Helper()
	next, gaps := uint64(1), uint64(0)
	for _, l := range lines {
		var from, to uint64
		var why string
		if _, err := fmt.Sscanf(l, "gap %d-%d %s", &from, &to, &why); err == nil {
			if why != cause.String() {
				t.Errorf("%s, want %v", l, cause)
			}
			gaps += to - from + 1
		} else if _, err := fmt.Sscanf(l, "%d", &from); err != nil {
			t.Fatal(l)
		} else {
			to = from
			if want := line(func() *Record { r := sample(int(from - 1)); r.Seq = from; return r }()); l != want {
				t.Errorf("got %q, want %q", l, want)
			}
		}
		if from != next {
			t.Fatalf("%q follows %d", l, next-1)
		}
		next = to + 1
	}
	if next != uint64(n+1) || gaps != lost {
		t.Errorf("ends with %d of %d; %d in gaps, %d lost", next-1, n, gaps, lost)
	}
}

func TestRetention(t *testing.T) {
	o := options(t.TempDir())
	o.Total = 4 * o.Segment
	l, _ := open(t, o)
	r, err := OpenDir(o.Dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	var rec Record
	for i := range 2000 {
		l.Put(sample(i))
		if i == 5 { // a reader has a segment open that is removed under it
			eventually(t, "a live store is read", func() bool { return r.Next(&rec) == nil })
		}
		if i%100 == 0 {
			eventually(t, "they are safe", func() bool { return l.Written() == uint64(i+1) })
			size := int64(0)
			entries, err := os.ReadDir(o.Dir)
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range entries {
				if info, err := e.Info(); err == nil {
					size += info.Size()
				}
			}
			if size > o.Total {
				t.Fatalf("%d bytes on disk, more than %d", size, o.Total)
			}
		}
	}
	shut(t, l)
	next, gaps := rec.Seq+1, 0
	for r.Next(&rec) == nil {
		if rec.Kind == KindGap {
			gaps++
			if rec.From != next || GapCause(rec.Code) != Missing {
				t.Errorf("%s, want from %d", line(&rec), next)
			}
		} else if rec.Seq != next {
			t.Errorf("%d follows %d", rec.Seq, next-1)
		}
		next = rec.Seq + 1
	}
	if next != 2001 || gaps != 1 {
		t.Errorf("ends with %d, %d gaps", next-1, gaps)
	}
	// Age: with all older than allowed the next segment leaves only itself.
	o.Age = time.Nanosecond
	l, _ = open(t, o)
	l.Put(sample(1))
	shut(t, l)
	if all, err := listSegments(o.Dir); err != nil || len(all) != 1 {
		t.Errorf("%v, %v", all, err)
	}
}

// A store is read while it is written, record by record and across segments.
func TestTail(t *testing.T) {
	o := options(t.TempDir())
	l, _ := open(t, o)
	r, err := OpenDir(o.Dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	for i := range 300 {
		want := sample(i)
		l.Put(want)
		var rec Record
		eventually(t, "the record comes", func() bool { return r.Next(&rec) == nil })
		if line(&rec) != line(want) {
			t.Fatalf("got %s, want %s", line(&rec), line(want))
		}
	}
	shut(t, l)
}

// made writes a store and returns its segments' bytes and, by segment, where frames begin.
func made(t testing.TB, n int) (dir string, files []string, data [][]byte, starts [][]int) {
	t.Helper()
	dir = t.TempDir()
	l, _ := open(t, options(dir))
	for i := range n {
		l.Put(sample(i))
	}
	shut(t, l)
	all, err := listSegments(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range all {
		b, err := os.ReadFile(filepath.Join(dir, s.name))
		if err != nil {
			t.Fatal(err)
		}
		h, err := decodeHeader(b)
		if err != nil {
			t.Fatal(err)
		}
		var at []int
		for pos := headerSize; pos < len(b); {
			at = append(at, pos)
			payload, status := parseFrame(b[pos:], frameSeed(h.Nonce))
			if status != frameIntact {
				t.Fatal("a store that was written is damaged")
			}
			pos += frameSize(payload)
		}
		files, data, starts = append(files, s.name), append(data, b), append(starts, at)
	}
	return dir, files, data, starts
}

// Any flip, cut or removal yields exactly the records that are intact, and gaps for exactly
// the others that have one behind them, from the number on that the first file there names.
func TestAnyDamage(t *testing.T) {
	const n = 300
	dir, files, data, starts := made(t, n)
	rapid.Check(t, func(rt *rapid.T) {
		lost := make(map[int]bool) // by number
		first := 0                 // of the segment
		began := -1                // the least number that a file which is there names
		for s, name := range files {
			b := slices.Clone(data[s])
			frames := starts[s]
			lose := func(from, to int) { // frames of this segment
				for i := from; i < to; i++ {
					lost[first+i+1] = true
				}
			}
			// frame finds the frame that a byte is in.
			frame := func(pos int) int {
				i, ok := slices.BinarySearch(frames, pos)
				if !ok {
					i--
				}
				return i
			}
			changed := func() { // two flips may undo each other, and zeros may stand there already
				for i := range frames {
					end := len(b)
					if i+1 < len(frames) {
						end = frames[i+1]
					}
					if !slices.Equal(b[frames[i]:end], data[s][frames[i]:end]) {
						lose(i, i+1)
					}
				}
			}
			path := filepath.Join(dir, name)
			switch rapid.SampledFrom([]string{"nothing", "flip", "flips", "cut", "remove", "header", "zeros"}).Draw(rt, "damage") {
			case "flip", "flips":
				for range rapid.IntRange(1, 3).Draw(rt, "flips") {
					pos := rapid.IntRange(headerSize, len(b)-1).Draw(rt, "at")
					b[pos] ^= 1 << rapid.IntRange(0, 7).Draw(rt, "bit")
				}
				changed()
			case "cut":
				pos := rapid.IntRange(0, len(b)-1).Draw(rt, "to")
				b = b[:pos]
				if pos < headerSize {
					lose(0, len(frames))
				} else {
					lose(frame(pos), len(frames))
				}
			case "zeros":
				from := rapid.IntRange(headerSize, len(b)-1).Draw(rt, "from")
				to := rapid.IntRange(from+1, len(b)).Draw(rt, "to")
				clear(b[from:to])
				changed()
			case "header": // one copy is enough
				b[rapid.IntRange(0, headerCopySize-1).Draw(rt, "at")] ^= 1
			case "remove":
				b = nil
				lose(0, len(frames))
			}
			if b != nil && began < 0 {
				began = first + 1
			}
			first += len(frames)
			if b == nil {
				_ = os.Remove(path)
			} else if err := os.WriteFile(path, b, 0o600); err != nil {
				rt.Fatal(err)
			}
		}
		var want []string
		gap := 0
		for i := max(began, 1); i <= n; i++ {
			if lost[i] {
				if gap == 0 {
					gap = i
				}
				continue
			}
			if gap > 0 {
				want = append(want, fmt.Sprintf("gap %d-%d", gap, i-1))
			}
			gap = 0
			r := sample(i - 1)
			r.Seq = uint64(i)
			want = append(want, line(r))
		}
		got, _ := readAll(t, dir)
		for i, l := range got {
			if strings.HasPrefix(l, "gap") {
				got[i] = l[:strings.LastIndexByte(l, ' ')]
			}
		}
		for i := range max(len(got), len(want)) {
			if i >= len(got) || i >= len(want) || got[i] != want[i] {
				rt.Fatalf("line %d: got %q, want %q", i, got[min(i, len(got)):min(i+3, len(got))], want[min(i, len(want)):min(i+3, len(want))])
			}
		}
	})
}

// Recovery never cuts or hides an intact record, and numbers go on behind all that were used.
func TestRecoveryOfADamagedSegment(t *testing.T) {
	dir, files, data, starts := made(t, 20)
	last := len(files) - 1
	path := filepath.Join(dir, files[last])
	b := slices.Clone(data[last])
	b[starts[last][2]+framePrefixSize] ^= 0x10
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	l, found := open(t, options(dir))
	if found.SetAsideFile != files[last]+setAsideSuffix || found.LastSeq != 20 || found.Clean {
		t.Errorf("%+v", found)
	}
	l.Put(sample(0))
	shut(t, l)
	first := 20 - len(starts[last]) + 1
	lines, r := readAll(t, dir)
	text := strings.Join(lines, "\n")
	if !strings.Contains(text, fmt.Sprintf("gap %d-%d damaged", first+2, first+2)) || !strings.Contains(text, "\n20 ") ||
		!strings.Contains(text, "gap 21-") || !strings.Contains(text, "set_aside") {
		t.Error(text)
	}
	if d, _ := r.Damages(); len(d) != 1 || d[0].Offset != int64(starts[last][2]) || d[0].From != uint64(first+2) || d[0].To != d[0].From {
		t.Errorf("%+v", d)
	}
	// One of a newer format is left alone and told of.
	all, err := listSegments(dir)
	if err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(dir, all[len(all)-1].name)
	if b, err = os.ReadFile(path); err != nil {
		t.Fatal(err)
	}
	b[6], b[headerCopySize+6] = 2, 2
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	l, found = open(t, options(dir))
	if found.SetAsideFile == "" || found.SkippedNumbers == 0 {
		t.Errorf("%+v", found)
	}
	l.Put(sample(5))
	shut(t, l)
	if _, r = readAll(t, dir); len(r.damages.list) != 2 || r.damages.list[1].Cause != NewerFormat || !strings.Contains(r.damages.list[1].Text, "version 2") {
		t.Errorf("%+v", r.damages.list)
	}
}

func TestEmptyStores(t *testing.T) {
	if lines, _ := readAll(t, t.TempDir()); len(lines) > 0 {
		t.Error(lines)
	}
	if _, err := OpenDir(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a folder that is not there was read")
	}
	o := options(t.TempDir())
	l, _ := open(t, o)
	shut(t, l)
	if l, found := open(t, o); !found.Clean || found.LastSeq != 0 {
		t.Errorf("%+v", found)
	} else {
		shut(t, l)
	}
}

func TestPutAllocatesNothing(t *testing.T) {
	o := options(t.TempDir())
	o.Queue, o.Sync = 8<<20, time.Hour
	l, _ := open(t, o)
	r := sample(1)
	if n := testing.AllocsPerRun(1000, func() { l.Put(r) }); n > 0 {
		t.Errorf("%v allocations a record", n)
	}
	shut(t, l)
}

func FuzzFrames(f *testing.F) {
	b := appendHeader(nil, &Header{Name: "n0", Nonce: 5, Wall: wall})
	for i := range 5 {
		b = appendFrame(b, appendRecord(nil, sample(i), wall), frameSeed(5))
	}
	f.Add(b)
	f.Add(b[:len(b)-3])
	f.Add(slices.Concat(b[:headerSize+20], b[headerSize:]))
	f.Add(appendHeader(nil, &Header{}))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := scanner{file: bytes.NewReader(b)}
		if _, err := s.readHeader(); err != nil {
			return
		}
		end := int64(headerSize)
		for {
			frame, err := s.next()
			if err != nil {
				if end+s.trailingBytes() != int64(len(b)) {
					t.Fatalf("%d bytes: the last frame ends at %d, %d are left", len(b), end, s.trailingBytes())
				}
				return
			}
			if frame.offset-frame.skippedBytes != end {
				t.Fatalf("a frame at %d behind %d bytes, the last ended at %d", frame.offset, frame.skippedBytes, end)
			}
			end = frame.end()
		}
	})
}

func FuzzRecord(f *testing.F) {
	f.Add(appendRecord(nil, sample(3), wall))
	f.Add([]byte{0x08, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var r, again Record
		if decodeRecord(b, &r, 0, internedStrings{}) != nil {
			return
		}
		if err := decodeRecord(appendRecord(nil, &r, 0), &again, 0, internedStrings{}); err != nil {
			t.Fatalf("%+v: %v", r, err)
		}
	})
}

func BenchmarkPut(b *testing.B) {
	o := options(b.TempDir())
	o.Queue, o.Segment, o.Total, o.Sync = 64<<20, 64<<20, 1<<30, time.Hour
	l, _ := open(b, o)
	r := sample(1)
	b.ReportAllocs()
	for b.Loop() {
		l.Put(r)
	}
	b.ReportMetric(float64(l.Lost())/float64(b.N), "lost/op")
	_ = l.Close(time.Minute)
}

// BenchmarkWriter tells how many records a second reach the disk.
func BenchmarkWriter(b *testing.B) {
	o := options(b.TempDir())
	o.Queue, o.Segment, o.Total, o.Sync = 4<<20, 64<<20, 1<<30, 10*time.Millisecond
	l, _ := open(b, o)
	r := sample(1)
	for b.Loop() {
		for l.queue.usedBytes() > uint64(len(l.queue.buf))*3/4 {
			time.Sleep(20 * time.Microsecond)
		}
		l.Put(r)
	}
	if err := l.Close(time.Minute); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(l.Written())/b.Elapsed().Seconds(), "records/s")
}

func BenchmarkReader(b *testing.B) {
	dir, _, _, _ := made(b, 5000)
	n := 0
	for b.Loop() {
		r, err := OpenDir(dir)
		if err != nil {
			b.Fatal(err)
		}
		var rec Record
		for r.Next(&rec) == nil {
			n++
		}
		_ = r.Close()
	}
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "records/s")
}

// Copies of one store, each with other segments missing, are read as one: a record that any of
// them has is there, once.
func TestCopiesAreOne(t *testing.T) {
	const n = 300
	_, files, data, starts := made(t, n)
	rapid.Check(t, func(rt *rapid.T) {
		root, err := os.MkdirTemp("", "copies")
		if err != nil {
			rt.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(root) }()
		have := make([]bool, len(files))
		for c := range rapid.IntRange(1, 3).Draw(rt, "copies") {
			dir := filepath.Join(root, fmt.Sprint(c))
			if err := os.Mkdir(dir, 0o700); err != nil {
				rt.Fatal(err)
			}
			for i, name := range files {
				if !rapid.Bool().Draw(rt, "there") {
					continue
				}
				have[i] = true
				if err := os.WriteFile(filepath.Join(dir, name), data[i], 0o600); err != nil {
					rt.Fatal(err)
				}
			}
		}
		stores, err := Find(root)
		if err != nil {
			rt.Fatal(err)
		}
		var want, got []string
		next, first := 1, 0
		for i := range files {
			if have[i] {
				if first > 0 && first < next {
					want = append(want, fmt.Sprintf("gap %d-%d missing", first, next-1))
				}
				for j := range starts[i] {
					r := sample(next + j - 1)
					r.Seq = uint64(next + j)
					want = append(want, line(r))
				}
				first = next + len(starts[i])
			}
			next += len(starts[i])
		}
		if len(stores) > 1 {
			rt.Fatalf("%d stores", len(stores))
		}
		if len(stores) == 1 {
			u, err := OpenStore(stores[0])
			if err != nil {
				rt.Fatal(err)
			}
			defer func() { _ = u.Close() }()
			var rec Record
			for u.Next(&rec) == nil {
				got = append(got, line(&rec))
			}
			if u.Conflicts() > 0 {
				rt.Fatalf("%d conflicts", u.Conflicts())
			}
		}
		for i := range max(len(got), len(want)) {
			if i >= len(got) || i >= len(want) || got[i] != want[i] {
				rt.Fatalf("line %d: got %q, want %q", i, got[min(i, len(got)):min(i+2, len(got))], want[min(i, len(want)):min(i+2, len(want))])
			}
		}
	})
}
