package record

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"
)

// Options of a Log. Sizes are in bytes. The caller has checked them (config.Records).
type Options struct {
	Dir          string
	Name         string // name of the instance
	Program      string // program version
	QueueBytes   int    // size of the queue to the writer, rounded up to a power of two
	SyncInterval time.Duration
	SegmentBytes int64         // maximum size of a segment
	TotalBytes   int64         // maximum size of the store
	MaxAge       time.Duration // maximum age of a segment; 0: unbounded
	StartTime    Time          // start of the program; stored times are relative to it
	// OnDiskHealth is called with the first failure of the disk after a success, and with nil when the disk works
	// again. It runs on the writer's goroutine.
	OnDiskHealth func(error)
	Disk         Disk // nil: the directory Dir
}

// ErrCloseTimeout is returned by Log.Close if the disk did not take the last records in time.
var ErrCloseTimeout = errors.New("record: the disk did not take the last records in time")

// A Log appends records to a store. Put and Close belong to one goroutine, the event loop, and do not wait for the
// disk; the other methods may be called from any goroutine unless they say otherwise. A goroutine that Open starts
// and Close ends owns the files (writer).
type Log struct {
	// Owned by the event loop.
	nextSeq  uint64
	putCount uint64 // records put since the start
	lastTime Time   // time of the last record put
	baseTime Time   // Options.Wall
	dropped  droppedRange
	encoded  []byte // buffer of the record being queued

	lost   atomic.Uint64 // records that gaps written by this Log stand for
	queue  *ringQueue
	shared *writerState
}

// A droppedRange is the range of records that found no room in the queue. It ends before the next record that finds
// room.
type droppedRange struct {
	from  uint64 // first dropped sequence number; 0: nothing was dropped
	since Time   // time of the first dropped record
	cause GapCause
}

func (d *droppedRange) isEmpty() bool { return d.from == 0 }

// Open creates the store in a directory or recovers the one that is there (see recoverStore), and starts the writer.
// It fails only if the directory cannot be used at all: a full disk appears as a gap later.
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

// queueRecoveryGap skips the sequence numbers that a segment set aside may have used.
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

// Put appends a record and sets its Seq. It takes no lock, does not wait and allocates nothing. If the queue is full,
// the record is dropped. As soon as there is room again, one gap record with the exact range replaces the records
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

// enqueue encodes a record, queues it and reports whether there was room.
func (l *Log) enqueue(r *Record) bool {
	l.encoded = appendRecord(l.encoded[:0], r, l.baseTime)
	return l.queue.append(l.encoded)
}

// enqueueDroppedGap queues the gap record for the dropped records up to lastSeq and reports whether there was room.
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

// drop counts a record that found no room.
func (l *Log) drop(r *Record) {
	l.lost.Add(1)
	if !l.dropped.isEmpty() {
		return
	}
	l.dropped = droppedRange{from: r.Seq, since: r.At, cause: QueueFull}
	if cause := l.Failing(); cause != NoGap {
		l.dropped.cause = cause
	}
}

// Lost returns how many records gaps stand for since the start.
func (l *Log) Lost() uint64 { return l.lost.Load() }

// Written returns how many records are durable.
func (l *Log) Written() uint64 { return l.shared.written.Load() }

// Records returns how many records were put. Only the event loop may call it.
func (l *Log) Records() uint64 { return l.putCount }

// Failing returns why the disk fails at present, NoGap if it works.
func (l *Log) Failing() GapCause { return l.shared.failureCause() }

// Close writes the queued records and ends the writer. It waits at most timeout, so that a hanging disk does not
// delay an orderly shutdown, and then returns ErrCloseTimeout. Put must not be called any more.
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
