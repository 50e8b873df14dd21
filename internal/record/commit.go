package record

import "math/rand/v2"

// A commitProgress tracks how far a commit has read the queue.
type commitProgress struct {
	position uint64 // position in the queue after the last payload read
	records  uint64 // payloads read since the last sync
}

// commit writes and syncs all queued records. After an error it truncates the segment to what is known to be durable
// and abandons it; the next commit writes all other records to a new segment. The segment is not reused because after a
// failed sync it is unknown which pages reached the disk, and a later sync may succeed although pages were lost. A
// Reader ignores records that are stored twice.
func (w *writer) commit() error {
	progress := commitProgress{position: w.queue.released.Load()}
	if progress.position == w.queue.appended.Load() {
		return nil
	}
	err := w.drainQueue(&progress)
	if err != nil {
		w.abandonSegment()
	}
	return err
}

// drainQueue writes and syncs until the queue is empty.
func (w *writer) drainQueue(progress *commitProgress) error {
	for {
		payload, next, ok := w.queue.read(progress.position, w.payload)
		if !ok {
			break
		}
		if err := w.prepareSegment(payload, progress); err != nil {
			return err
		}
		w.batch = appendFrame(w.batch, payload, w.open.seed)
		progress.position = next
		progress.records++
		if len(w.batch) >= batchSize {
			if err := w.flush(); err != nil {
				return err
			}
		}
		// The producer keeps filling the queue while it is drained. Without syncs in between, the loop might never end
		// and nothing would become durable.
		if progress.position-w.queue.released.Load() > w.queue.size()/4 {
			if err := w.flushAndSync(progress); err != nil {
				return err
			}
		}
	}
	return w.flushAndSync(progress)
}

// prepareSegment ensures that a segment with room for the payload is open.
func (w *writer) prepareSegment(payload []byte, progress *commitProgress) error {
	if w.open.isOpen() && w.isFullFor(payload) {
		if err := w.flushAndSync(progress); err != nil {
			return err
		}
		if err := w.finishSegment(); err != nil {
			return err
		}
	}
	if w.open.isOpen() {
		return nil
	}
	return w.beginSegment(firstSeqOf(payload))
}

// isFullFor reports whether the payload does not fit in the open segment. A segment holds at least one record.
func (w *writer) isFullFor(payload []byte) bool {
	size := w.open.size + int64(len(w.batch))
	return size > headerSize && size+int64(frameSize(payload)) > w.options.SegmentBytes
}

// flushAndSync makes all records read from the queue durable.
func (w *writer) flushAndSync(progress *commitProgress) error {
	if err := w.flush(); err != nil {
		return err
	}
	return w.sync(progress)
}

// flush writes the batch to the open segment.
func (w *writer) flush() error {
	if len(w.batch) == 0 {
		return nil
	}
	err := w.open.write(w.batch)
	w.batch = w.batch[:0]
	return err
}

// sync makes the written records durable and releases their space in the queue. The batch must have been flushed.
func (w *writer) sync(progress *commitProgress) error {
	records := progress.records
	progress.records = 0
	if !w.open.isOpen() || w.open.size == w.open.durableSize {
		return nil
	}
	if err := w.open.sync(); err != nil {
		return err
	}
	w.shared.written.Add(records)
	w.queue.released.Store(progress.position)
	return nil
}

// beginSegment creates the next segment; first is the sequence number of its first record.
func (w *writer) beginSegment(first uint64) error {
	if err := w.closed.makeRoom(&w.options); err != nil {
		return err
	}
	w.header.Nonce = rand.Uint64()
	w.header.First = first
	name := segmentName(first, w.header.RunID, w.header.Index)
	w.header.Index++ // the index in the file name starts at 0, the one in the stored header at 1
	file, err := w.options.Disk.Create(name)
	if err != nil {
		return err
	}
	w.open = openSegment{file: file, name: name, seed: frameSeed(w.header.Nonce)}
	if err := w.open.write(appendHeader(nil, &w.header)); err != nil {
		return err
	}
	return w.options.Disk.SyncDir()
}

// finishSegment closes the open segment, which is full and durable.
func (w *writer) finishSegment() error {
	w.closed.add(w.open.name, w.open.size)
	return w.open.close()
}

// abandonSegment closes the open segment after an error. Records that are not durable stay in the queue.
func (w *writer) abandonSegment() {
	w.batch = w.batch[:0]
	if !w.open.isOpen() {
		return
	}
	// Truncation removes partially written frames. If it fails too, a Reader detects the damage and finds the records
	// in the next segment.
	remaining := w.open.durableSize
	if w.open.file.Truncate(remaining) != nil {
		remaining = w.open.size
	}
	abandoned := w.open
	_ = w.open.close()
	if remaining > headerSize || w.options.Disk.Remove(abandoned.name) != nil {
		w.closed.add(abandoned.name, abandoned.size)
	}
}
