package record

import (
	"errors"
	"math/rand/v2"
	"os"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// batchSize is the size in bytes at which a batch of frames is written.
	batchSize = 64 << 10

	// Delay between commits while the disk fails.
	minRetryDelay      = 50 * time.Millisecond
	maxRetryDelay      = 5 * time.Second
	retryRandomization = 0.2
)

// A writer moves payloads from the queue to the segments of a store. Only the goroutine of run uses it and its files.
type writer struct {
	options  Options
	lockFile *os.File
	queue    *ringQueue
	shared   *writerState

	header  Header      // of the open segment
	open    openSegment // the segment being written
	closed  closedSegments
	batch   []byte // frames that have not been written yet
	payload []byte // buffer of the payload being read from the queue
}

// newWriter returns a writer that appends to the recovered store.
func newWriter(o Options, lockFile *os.File, recovery *Recovery, queue *ringQueue, shared *writerState) *writer {
	return &writer{
		options:  o,
		lockFile: lockFile,
		queue:    queue,
		shared:   shared,
		header: Header{
			Name:      o.Name,
			Store:     recovery.store,
			RunID:     rand.Uint64(),
			StartTime: o.StartTime,
			Program:   o.Program,
		},
		closed:  closedSegments{files: recovery.segments},
		batch:   make([]byte, 0, batchSize+framePrefixSize+maxPayloadSize),
		payload: make([]byte, maxPayloadSize),
	}
}

// run commits at each sync interval, when the queue is half full, and a last time when the Log is closed.
func (w *writer) run() {
	defer close(w.shared.done)
	defer func() { _ = w.lockFile.Close() }()
	ticker := time.NewTicker(w.options.SyncInterval)
	defer ticker.Stop()
	retryDelay := newRetryBackOff(w.options.SyncInterval)
	var retryAt time.Time
	for {
		isClosing := w.waitForWork(ticker.C)
		if !isClosing && time.Now().Before(retryAt) {
			continue
		}
		err := w.commit()
		// Cleared only after the commit: while the queue is being drained, further records need not wake the writer.
		w.shared.wakeRequested.Store(false)
		if err != nil {
			retryAt = time.Now().Add(retryDelay.NextBackOff())
		} else {
			retryAt = time.Time{}
			retryDelay.Reset()
		}
		w.reportHealth(err)
		if isClosing {
			w.shared.closeErr = errors.Join(err, w.open.close())
			return
		}
	}
}

// waitForWork blocks until the next commit is due and reports whether the Log is being closed.
func (w *writer) waitForWork(tick <-chan time.Time) (isClosing bool) {
	select {
	case <-w.shared.wake:
		return false
	case <-tick:
		return false
	case <-w.shared.closing:
		return true
	}
}

// newRetryBackOff returns the backoff for commits while the disk fails.
func newRetryBackOff(syncInterval time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = max(syncInterval, minRetryDelay)
	b.MaxInterval = maxRetryDelay
	b.RandomizationFactor = retryRandomization
	return b
}

// reportHealth publishes the result of a commit and calls Options.OnDiskHealth when the disk starts or stops failing.
func (w *writer) reportHealth(err error) {
	cause := gapCauseOf(err)
	previous := w.shared.setFailureCause(cause)
	hasChanged := (previous == NoGap) != (cause == NoGap)
	if hasChanged && w.options.OnDiskHealth != nil {
		w.options.OnDiskHealth(err)
	}
}
