package record

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"
)

// Options configure a Log. Sizes are in bytes. The caller validates them (config.Records).
type Options struct {
	Dir          string
	Name         string // name of the instance
	Program      string // program version
	QueueBytes   int    // size of the queue of records to be written, rounded up to a power of two
	SyncInterval time.Duration
	SegmentBytes int64         // maximum size of a segment
	TotalBytes   int64         // maximum size of the store
	MaxAge       time.Duration // maximum age of a segment; 0: unlimited
	StartTime    Time          // start of the program; stored times are relative to it
	// OnDiskHealth is called with the first error of the disk after a success, and with nil when the disk works
	// again. It is called from the writer's goroutine.
	OnDiskHealth func(error)
	Disk         Disk // nil: the directory Dir of the file system
}

// ErrCloseTimeout is returned by Log.Close if the last records could not be written before the timeout.
var ErrCloseTimeout = errors.New("record: timeout while writing the last records")

// A Log appends records to a store. Put and Close may only be called from one goroutine, the event loop. Put does not
// wait for the disk. The other methods may be called from any goroutine unless their comment says otherwise. The files
// are owned by the writer, a goroutine that Open starts and Close stops.
type Log struct {
	// Owned by the event loop.
	nextSeq  uint64
	putCount uint64 // number of calls of Put
	lastTime Time   // time of the last record passed to Put
	baseTime Time   // Options.StartTime
	dropped  droppedRange
	encoded  []byte // buffer for the encoded record

	lost   atomic.Uint64 // lost records, whose ranges are in gaps written by this Log
	queue  *ringQueue
	shared *writerState
}

// A droppedRange is a range of records that were dropped because the queue was full. It ends before the next record
// that is queued.
type droppedRange struct {
	from  uint64 // first dropped sequence number; 0: no record was dropped
	since Time   // time of the first dropped record
	cause GapCause
}

func (d *droppedRange) isEmpty() bool { return d.from == 0 }

// Open creates a store in Options.Dir or recovers the existing one (see recoverStore), and starts the writer. It fails
// only if the directory is unusable or in use by another process: a full disk appears as a gap later.
func Open(o Options) (*Log, Recovery, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, Recovery{}, fmt.Errorf("record: %w", err)
	}
	lockFile, err := lockStore(o.Dir)
	if err != nil {
		return nil, Recovery{}, err
	}
	recovery, err := recoverStore(o.Dir)
	if err != nil {
		_ = lockFile.Close()
		return nil, Recovery{}, err
	}
	if o.Disk == nil {
		o.Disk = directory(o.Dir)
	}
	if recovery.store == 0 {
		recovery.store = rand.Uint64()
	}
	l := &Log{
		nextSeq:  recovery.LastSeq + 1,
		baseTime: o.StartTime,
		encoded:  make([]byte, 0, maxPayloadSize+256),
		queue:    newRingQueue(o.QueueBytes),
		shared:   newWriterState(),
	}
	l.queueRecoveryGap(&recovery)
	w := newWriter(o, lockFile, &recovery, l.queue, l.shared)
	go w.run()
	return l, recovery, nil
}

// queueRecoveryGap skips the sequence numbers that a segment set aside by recovery may have used, and queues a gap
// record for them.
func (l *Log) queueRecoveryGap(recovery *Recovery) {
	if recovery.SkippedNumbers == 0 {
		return
	}
	l.nextSeq += recovery.SkippedNumbers
	l.enqueue(&Record{
		Kind:  KindGap,
		From:  recovery.LastSeq + 1,
		Seq:   l.nextSeq - 1,
		At:    l.baseTime,
		Since: l.baseTime,
		Code:  uint8(SetAside),
		Text:  recovery.SetAsideFile,
	})
	l.lost.Add(recovery.SkippedNumbers)
}

// Put appends a record and sets its Seq. It takes no lock, does not block and does not allocate. If the queue is full,
// the record is dropped. As soon as there is room again, one gap record with the exact range replaces all records
// dropped until then.
func (l *Log) Put(r *Record) {
	r.Seq = l.nextSeq
	l.nextSeq++
	l.putCount++
	l.lastTime = r.At
	hasRoom := l.dropped.isEmpty() || l.enqueueDroppedGap(r.Seq-1)
	if !hasRoom || !l.enqueue(r) {
		l.drop(r)
	}
	if l.queue.usedBytes() > l.queue.size()/2 {
		l.shared.wakeWriter()
	}
}

// enqueue encodes and queues a record. It reports whether the queue had room for it.
func (l *Log) enqueue(r *Record) bool {
	l.encoded = appendRecord(l.encoded[:0], r, l.baseTime)
	return l.queue.append(l.encoded)
}

// enqueueDroppedGap queues the gap record for the dropped records up to lastSeq. It reports whether the queue had room
// for it.
func (l *Log) enqueueDroppedGap(lastSeq uint64) bool {
	gap := Record{
		Kind:  KindGap,
		From:  l.dropped.from,
		Seq:   lastSeq,
		At:    l.lastTime,
		Since: l.dropped.since,
		Code:  uint8(l.dropped.cause),
	}
	if !l.enqueue(&gap) {
		return false
	}
	l.dropped = droppedRange{}
	return true
}

// drop counts a dropped record. The first one begins a droppedRange, which includes all that follow.
func (l *Log) drop(r *Record) {
	l.lost.Add(1)
	if !l.dropped.isEmpty() {
		return
	}
	l.dropped = droppedRange{from: r.Seq, since: r.At, cause: QueueFull}
	if cause := l.FailureCause(); cause != NoGap {
		l.dropped.cause = cause
	}
}

// Lost returns how many records were lost since the start; gap records give their ranges.
func (l *Log) Lost() uint64 { return l.lost.Load() }

// Written returns how many records have been made durable since the start.
func (l *Log) Written() uint64 { return l.shared.written.Load() }

// Records returns how many records were passed to Put. Only the event loop may call it.
func (l *Log) Records() uint64 { return l.putCount }

// FailureCause returns why the disk is failing, or NoGap if it works.
func (l *Log) FailureCause() GapCause { return l.shared.failureCause() }

// Close writes the queued records and stops the writer. It waits at most for the timeout, so that a hanging disk does
// not delay a clean shutdown, and then returns ErrCloseTimeout. Put must not be called after Close.
func (l *Log) Close(timeout time.Duration) error {
	if !l.dropped.isEmpty() {
		l.enqueueDroppedGap(l.nextSeq - 1)
	}
	close(l.shared.closing)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-l.shared.done:
		return l.shared.closeErr
	case <-timer.C:
		return ErrCloseTimeout
	}
}
