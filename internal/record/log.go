package record

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/encoding/protowire"
)

// Options of a Log. All sizes are bytes and bounds; the caller has checked them
// (config.Records).
type Options struct {
	Dir     string
	Name    string // of the instance
	Program string // its version
	Queue   int    // memory between the loop and the disk; a power of two at least as large is taken
	Sync    time.Duration
	Segment int64
	Total   int64
	Age     time.Duration // 0: never
	Wall    Time          // Unix clock at the start of the program, that At counts from
	Trouble func(error)   // told of the first failure of the disk after a success, and nil when it works again; from any goroutine
	Disk    Disk          // nil: the folder Dir
}

// A Log appends to a store. Put is for one goroutine, the event loop, and never waits;
// a goroutine of the Log's own owns the files.
type Log struct {
	// The loop's.
	queue  *ringQueue
	next  uint64 // number of the next record
	from  uint64 // first of those that found no room, 0: none
	since Time
	cause GapCause
	last  Time
	base  Time
	buf   []byte
	n     uint64 // records of this start

	// Shared.
	failing atomic.Uint32 // a GapCause while the disk fails
	lost    atomic.Uint64 // records that a gap stands for
	written atomic.Uint64 // that are safe on disk
	full    atomic.Bool   // the writer has been woken
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}
	left    error // of the last commit, once done is closed

	w writer
}

// Open makes the folder a store or recovers the one in it (see recover.go), and starts the
// writer. It fails only where the folder cannot be used at all; a disk that is merely full
// is a gap later on.
func Open(o Options) (*Log, Recovery, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, Recovery{}, fmt.Errorf("record: %w", err)
	}
	held, err := lockStore(o.Dir)
	if err != nil {
		return nil, Recovery{}, err
	}
	found, err := recoverStore(o.Dir)
	if err != nil {
		_ = held.Close()
		return nil, Recovery{}, err
	}
	if o.Disk == nil {
		o.Disk = directory(o.Dir)
	}
	if found.store == 0 {
		found.store = rand.Uint64()
	}
	l := &Log{queue: newRingQueue(o.Queue), next: found.LastSeq + 1, base: o.Wall, buf: make([]byte, 0, maxPayloadSize+256),
		wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	l.w = writer{l: l, o: o, held: held, kept: found.kept, batch: make([]byte, 0, batchSize+framePrefixSize+maxPayloadSize), scratch: make([]byte, maxPayloadSize),
		header: Header{Name: o.Name, Store: found.store, Boot: rand.Uint64(), Wall: o.Wall, Program: o.Program}}
	if found.SkippedNumbers > 0 { // numbers that the part set aside may have used
		l.next += found.SkippedNumbers
		l.push(&Record{Kind: KindGap, From: found.LastSeq + 1, Seq: l.next - 1, At: o.Wall, Since: o.Wall, Code: uint8(SetAside), Text: found.SetAsideFile})
		l.lost.Add(found.SkippedNumbers)
	}
	go l.w.run()
	return l, found, nil
}

// Put appends a record; its Seq is set. It takes no lock, does not wait and allocates
// nothing. When the queue is full the record is dropped, and a gap record with the exact
// range takes the place of all that are, as soon as there is room.
func (l *Log) Put(r *Record) {
	r.Seq = l.next
	l.next++
	l.n++
	l.last = r.At
	if l.from > 0 && !l.fill() || !l.push(r) {
		l.drop(r)
	}
	if l.queue.usedBytes() > uint64(len(l.queue.buf))/2 && l.full.CompareAndSwap(false, true) {
		select {
		case l.wake <- struct{}{}:
		default: // it has been woken and has not got up yet
		}
	}
}

// push encodes a record and queues it.
func (l *Log) push(r *Record) bool {
	l.buf = appendRecord(l.buf[:0], r, l.base)
	return l.queue.append(l.buf)
}

// drop counts a record that found no room.
func (l *Log) drop(r *Record) {
	l.lost.Add(1)
	if l.from > 0 {
		return
	}
	l.from, l.since, l.cause = r.Seq, r.At, QueueFull
	if c := GapCause(l.failing.Load()); c != NoGap {
		l.cause = c
	}
}

// fill puts the gap record in the place of what was dropped up to here, if there is room.
func (l *Log) fill() bool {
	// The current record's number has been given out already; the gap ends before it.
	ok := l.push(&Record{Kind: KindGap, From: l.from, Seq: l.next - 2, At: l.last, Since: l.since, Code: uint8(l.cause)})
	if ok {
		l.from = 0
	}
	return ok
}

// Lost is how many records gaps stand for since the start.
func (l *Log) Lost() uint64 { return l.lost.Load() }

// Written is how many records are safe on disk.
func (l *Log) Written() uint64 { return l.written.Load() }

// Records is how many were put; only the loop may ask.
func (l *Log) Records() uint64 { return l.n }

// Failing is why the disk fails at the moment, NoGap if it does not.
func (l *Log) Failing() GapCause { return GapCause(l.failing.Load()) }

// Close writes what is queued and ends the writer. It waits for the disk no longer than
// patience: a disk that hangs must not hold up an orderly stop. Put may not be called any more.
func (l *Log) Close(patience time.Duration) error {
	if l.from > 0 {
		l.next++
		if l.fill(); l.from > 0 {
			l.next--
		}
	}
	close(l.closing)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-l.done:
		return l.left
	case <-timer.C:
		return errors.New("record: the disk did not take the last records in time")
	}
}

// batchSize is how much goes to the disk in one write, about.
const batchSize = 64 << 10

// mostFiles bounds the segments of a store: one that restarts every second must not make
// a folder of a million small files.
const mostFiles = 1024

// A writer is the goroutine that owns the files.
type writer struct {
	l       *Log
	o       Options
	held    *os.File // the lock
	header  Header
	file    File
	name    string
	size    int64 // written
	safe    int64 // written and synced
	seed    uint32
	kept    []keptFile // closed segments, the oldest first
	batch   []byte
	scratch []byte
	last    uint64 // number of the last record that is safe
}

// A keptFile is a closed segment.
type keptFile struct {
	name string
	size int64
	at   time.Time // last written
}

func (w *writer) run() {
	defer close(w.l.done)
	defer func() { _ = w.held.Close() }()
	ticker := time.NewTicker(w.o.Sync)
	defer ticker.Stop()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval, pause.RandomizationFactor = max(w.o.Sync, 50*time.Millisecond), 5*time.Second, 0.2
	var notBefore time.Time
	for {
		last := false
		select {
		case <-w.l.wake:
		case <-ticker.C:
		case <-w.l.closing:
			last = true
		}
		if !last && time.Now().Before(notBefore) {
			continue
		}
		err := w.commit()
		// Only now: until the queue is emptier a record more does not make it worth waking.
		w.l.full.Store(false)
		if err != nil {
			notBefore = time.Now().Add(pause.NextBackOff())
		} else {
			notBefore = time.Time{}
			pause.Reset()
		}
		w.tell(err)
		if last {
			if w.file != nil {
				err = errors.Join(err, w.file.Close())
			}
			w.l.left = err
			return
		}
	}
}

// tell passes a change between failing and working on.
func (w *writer) tell(err error) {
	cause := NoGap
	if err != nil {
		cause = gapCauseOf(err)
	}
	was := GapCause(w.l.failing.Swap(uint32(cause)))
	if w.o.Trouble != nil && (was == NoGap) != (cause == NoGap) {
		w.o.Trouble(err)
	}
}

// commit brings all that is queued to the disk and syncs it. After an error the file is
// left behind, cut to what is known to be safe, and the next commit begins another with all
// that is not: after a failed sync nobody knows what of the rest the disk has, and a second
// sync that succeeds does not tell either. What is there twice a Reader passes over.
func (w *writer) commit() error {
	ring := w.l.queue
	pos := ring.released.Load()
	if pos == ring.appended.Load() {
		return nil
	}
	records, last := uint64(0), w.last
	for {
		p, next, ok := ring.read(pos, w.scratch)
		if ok {
			seq := seqOf(p)
			if full := w.size + int64(len(w.batch)); w.file != nil && full > headerSize && full+int64(framePrefixSize+len(p)) > w.o.Segment {
				if err := w.flush(); err != nil {
					return w.fail(err)
				}
				if err := w.sync(pos, records, last); err != nil {
					return w.fail(err)
				}
				records = 0
				if err := w.finish(); err != nil {
					return w.fail(err)
				}
			}
			if w.file == nil {
				if err := w.begin(seq); err != nil {
					return w.fail(err)
				}
			}
			w.batch = appendFrame(w.batch, p, w.seed)
			pos, last = next, seq
			records++
		}
		if !ok || len(w.batch) >= batchSize {
			if err := w.flush(); err != nil {
				return w.fail(err)
			}
		}
		// The queue is emptied while it is filled: sync by portions, or it would never be safe.
		if !ok || pos-ring.released.Load() > uint64(len(ring.buf))/4 {
			if err := w.sync(pos, records, last); err != nil {
				return w.fail(err)
			}
			records = 0
		}
		if !ok {
			return nil
		}
	}
}

// seqOf reads the first number that a payload stands for; fields come in the order of
// their numbers, and only a gap has the second.
func seqOf(p []byte) uint64 {
	seq, n := protowire.ConsumeVarint(p[1:])
	if rest := p[1+n:]; len(rest) > 1 && rest[0] == byte(fFrom)<<3 {
		from, _ := protowire.ConsumeVarint(rest[1:])
		return from
	}
	return seq
}

// flush writes the batch.
func (w *writer) flush() error {
	if len(w.batch) == 0 {
		return nil
	}
	n, err := w.file.Write(w.batch)
	w.size += int64(n)
	w.batch = w.batch[:0]
	return err
}

// sync makes what was written safe and frees its room in the queue.
func (w *writer) sync(pos, records, last uint64) error {
	if w.file == nil || w.size == w.safe {
		return nil
	}
	if err := w.file.Sync(); err != nil {
		return err
	}
	w.safe, w.last = w.size, last
	w.l.written.Add(records)
	w.l.queue.released.Store(pos)
	return nil
}

// begin opens the next segment, for records from first on.
func (w *writer) begin(first uint64) error {
	if err := w.retire(); err != nil {
		return err
	}
	w.header.Nonce, w.header.First = rand.Uint64(), first
	name := segmentName(first, w.header.Boot, w.header.Index)
	w.header.Index++
	f, err := w.o.Disk.Create(name)
	if err != nil {
		return err
	}
	w.file, w.name, w.size, w.safe, w.seed = f, name, 0, 0, frameSeed(w.header.Nonce)
	n, err := f.Write(appendHeader(nil, &w.header))
	w.size = int64(n)
	if err != nil {
		return err
	}
	return w.o.Disk.SyncDir()
}

// finish closes a segment that is full.
func (w *writer) finish() error {
	err := w.file.Close()
	w.kept = append(w.kept, keptFile{w.name, w.size, time.Now()})
	w.file = nil
	return err
}

// fail leaves a file behind after an error. What is not safe stays in the queue.
func (w *writer) fail(err error) error {
	w.batch = w.batch[:0]
	if w.file == nil {
		return err
	}
	// The best that can be done with what is half written; where that fails too, a Reader
	// finds the damage and, in the next segment, the records.
	cut := w.safe
	if w.file.Truncate(cut) != nil {
		cut = w.size
	}
	_ = w.file.Close()
	w.file = nil
	if cut > headerSize || w.o.Disk.Remove(w.name) != nil {
		w.kept = append(w.kept, keptFile{w.name, max(cut, w.size), time.Now()})
	}
	return err
}

// retire removes the oldest segments until there is room for a whole one more.
func (w *writer) retire() error {
	total := w.o.Segment
	for _, k := range w.kept {
		total += k.size
	}
	now := time.Now()
	for len(w.kept) > 0 {
		k := w.kept[0]
		if total <= w.o.Total && len(w.kept) < mostFiles && (w.o.Age == 0 || now.Sub(k.at) <= w.o.Age) {
			break
		}
		if err := w.o.Disk.Remove(k.name); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err // nothing is written past the bound
		}
		total -= k.size
		w.kept = w.kept[1:]
	}
	return nil
}
