package record

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"
)

// A diskFailure describes how a faultyDisk fails. The zero value is a working disk.
type diskFailure struct {
	write    func(p []byte) (int, error) // replaces File.Write
	sync     error
	create   error
	truncate error
	hang     chan struct{} // if not nil, writes block until it is closed
}

// A faultyDisk is a Disk with failures that a test injects.
type faultyDisk struct {
	Disk
	mu      sync.Mutex
	failure diskFailure
}

// setFailure sets the failure of all following operations.
func (d *faultyDisk) setFailure(f diskFailure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failure = f
}

func (d *faultyDisk) currentFailure() diskFailure {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failure
}

func (d *faultyDisk) Create(name string) (File, error) {
	if err := d.currentFailure().create; err != nil {
		return nil, err
	}
	f, err := d.Disk.Create(name)
	return faultyFile{f, d}, err
}

// A faultyFile is a file of a faultyDisk.
type faultyFile struct {
	File
	disk *faultyDisk
}

func (f faultyFile) Write(p []byte) (int, error) {
	failure := f.disk.currentFailure()
	if failure.hang != nil {
		<-failure.hang
	}
	if failure.write != nil {
		n, err := failure.write(p)
		_, _ = f.File.Write(p[:n])
		return n, err
	}
	return f.File.Write(p)
}

func (f faultyFile) Sync() error {
	if err := f.disk.currentFailure().sync; err != nil {
		return err
	}
	return f.File.Sync()
}

func (f faultyFile) Truncate(size int64) error {
	if err := f.disk.currentFailure().truncate; err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// writeHalf returns a write function that writes half of the bytes and returns err.
func writeHalf(err error) func(p []byte) (int, error) {
	return func(p []byte) (int, error) { return len(p) / 2, err }
}

// TestDiskFails checks that for every kind of disk failure each missing sequence number is in a gap with the right
// cause, records that fit in the queue are not lost, and Put still accepts records.
func TestDiskFails(t *testing.T) {
	for name, c := range map[string]struct {
		failure diskFailure
		cause   GapCause
	}{
		"full in the middle of a frame": {diskFailure{write: writeHalf(syscall.ENOSPC)}, DiskFull},
		"I/O error and truncate fails":  {diskFailure{write: writeHalf(syscall.EIO), truncate: syscall.EIO}, DiskFailed},
		"read-only":                     {diskFailure{sync: syscall.EROFS, create: syscall.EROFS}, DiskReadOnly},
		"sync fails after a write":      {diskFailure{sync: syscall.EIO, truncate: syscall.EIO}, DiskFailed},
		"hangs until the queue is full": {diskFailure{hang: make(chan struct{})}, QueueFull},
	} {
		for _, records := range []int{50, 5000} { // fits in the queue, exceeds the queue
			t.Run(fmt.Sprint(name, " ", records), func(t *testing.T) {
				failure := c.failure
				if failure.hang != nil {
					failure.hang = make(chan struct{})
				}
				testDiskFailure(t, failure, c.cause, records)
			})
		}
	}
}

// TestUnwrittenBatchStaysInTheQueue checks that records that the writer has read from the queue but not written yet are
// not released, so that a failed write does not lose them. The batch is larger than the quarter of the queue after
// which the writer syncs: a sync of a batch that is not flushed would release its records.
func TestUnwrittenBatchStaysInTheQueue(t *testing.T) {
	const records = 400
	o := testOptions(t.TempDir())
	o.SegmentBytes = 1 << 20
	o.SyncInterval = 100 * time.Millisecond
	disk := &faultyDisk{Disk: directory(o.Dir)}
	o.Disk = disk
	disk.setFailure(diskFailure{write: func(p []byte) (int, error) {
		if len(p) == headerSize {
			return len(p), nil
		}
		return 0, syscall.EIO
	}})
	l, _ := openLog(t, o)
	for i := range records {
		l.Put(sampleRecord(i))
	}
	if used := l.queue.usedBytes(); used <= l.queue.size()/4 || used >= batchSize {
		t.Fatalf("%d bytes used of a queue of %d, want more than a quarter and less than a batch", used, l.queue.size())
	}
	waitUntil(t, "the failure is reported", func() bool { return l.FailureCause() == DiskFailed })
	if l.Written() > 0 {
		t.Errorf("%d records are reported as durable, but none was written", l.Written())
	}
	disk.setFailure(diskFailure{})
	waitUntil(t, "the disk works again", func() bool { return l.FailureCause() == NoGap && l.queue.usedBytes() == 0 })
	if l.Written() != records {
		t.Errorf("%d records are reported as durable, want %d", l.Written(), records)
	}
	closeLog(t, l)
	lines, _ := readAll(t, o.Dir)
	checkComplete(t, lines, records, 0, NoGap)
}

// testDiskFailure puts records before, during and after a disk failure, and checks the stored records.
func testDiskFailure(t *testing.T, failure diskFailure, cause GapCause, records int) {
	o := testOptions(t.TempDir())
	disk := &faultyDisk{Disk: directory(o.Dir)}
	o.Disk = disk
	l, _ := openLog(t, o)
	total := 0
	put := func(n int) {
		for range n {
			l.Put(sampleRecord(total))
			total++
		}
	}
	put(20)
	waitUntil(t, "the first records are durable", func() bool { return l.Written() == 20 })
	disk.setFailure(failure)
	put(20)
	if failure.hang == nil {
		waitUntil(t, "the failure is reported", func() bool { return l.FailureCause() == cause })
	}
	put(records)
	if (l.Lost() > 0) != (records == 5000) {
		t.Errorf("lost %d of %d records", l.Lost(), records)
	}
	disk.setFailure(diskFailure{})
	if failure.hang != nil {
		close(failure.hang)
	}
	waitUntil(t, "the disk works again", func() bool { return l.FailureCause() == NoGap && l.queue.usedBytes() == 0 })
	put(20)
	lost := l.Lost()
	closeLog(t, l)
	lines, r := readAll(t, o.Dir)
	checkComplete(t, lines, total, lost, cause)
	// The failure may leave damage in a file, but all lost records must be in gaps written by the log.
	for _, damage := range r.damages.list {
		if damage.From > 0 {
			t.Errorf("records lost without a gap written by the log: %+v", damage)
		}
	}
}

// checkComplete checks that the lines contain all sequence numbers up to total, as sample records or in gaps with the
// given cause, and that the gaps cover as many records as were lost.
func checkComplete(t *testing.T, lines []string, total int, lost uint64, wantCause GapCause) {
	t.Helper()
	next, inGaps := uint64(1), uint64(0)
	for _, line := range lines {
		var from, to uint64
		var cause string
		if _, err := fmt.Sscanf(line, "gap %d-%d %s", &from, &to, &cause); err == nil {
			if cause != wantCause.String() {
				t.Errorf("%s, want %v", line, wantCause)
			}
			inGaps += to - from + 1
		} else if _, err := fmt.Sscanf(line, "%d", &from); err != nil {
			t.Fatal(line)
		} else {
			to = from
			if want := sampleSummary(int(from)); line != want {
				t.Errorf("got %q, want %q", line, want)
			}
		}
		if from != next {
			t.Fatalf("%q follows %d", line, next-1)
		}
		next = to + 1
	}
	if next != uint64(total+1) || inGaps != lost {
		t.Errorf("last record %d, want %d; %d records in gaps, want %d", next-1, total, inGaps, lost)
	}
}
