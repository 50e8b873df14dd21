package record

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// A Reader reads the records of a store in the order of their sequence numbers, also while the store is written. It
// returns gap records of its own where records are lost, so that sequence numbers never skip. A segment that
// retention removes while it is read is a gap only if it was not open yet. A Reader belongs to one goroutine.
type Reader struct {
	dir      string
	pending  []segment // segments to be read after the open one
	interned internTable

	// The segment that was opened last.
	file    *os.File // nil: closed
	segment segment
	scan    scanner
	header  Header

	position  readPosition
	decoded   Record  // the record read last, before take decides about it
	following *Record // the record behind a gap that was returned, nil: none

	damages    damageList
	duplicates uint64
}

// A readPosition is the last record that was returned.
type readPosition struct {
	isKnown bool // false: nothing was returned, and it is not known where the store begins
	seq     uint64
	at      Time
}

// OpenDir opens a store for reading. A directory without segments is a store without records.
func OpenDir(dir string) (*Reader, error) {
	pending, err := listSegments(dir)
	if err != nil {
		return nil, err
	}
	return &Reader{dir: dir, pending: pending, interned: internTable{}}, nil
}

// Dir returns the directory of the store.
func (r *Reader) Dir() string { return r.dir }

// Header returns the header of the segment that the last record came from.
func (r *Reader) Header() Header { return r.header }

// Damages returns the damages detected so far, and how many more there were than the list holds.
func (r *Reader) Damages() (list []Damage, more int) { return r.damages.list, r.damages.omitted }

// Duplicates returns how many records were ignored because they were stored more than once.
func (r *Reader) Duplicates() uint64 { return r.duplicates }

// TornTail returns the bytes at the end of the open segment that are not a record. In a store that is being written
// they may become one, in any other they are a torn tail. size is 0 if there are none.
func (r *Reader) TornTail() (file string, offset, size int64) {
	if r.file == nil {
		return "", 0, 0
	}
	return r.segment.name, r.scan.trailingOffset(), r.scan.trailingBytes()
}

// Close closes the open segment.
func (r *Reader) Close() error {
	if r.file == nil {
		return nil
	}
	err := r.file.Close()
	r.file = nil
	return err
}

// Next reads the next record into rec, which stays valid. At the end it returns io.EOF; if the store is still being
// written, Next may be called again later.
func (r *Reader) Next(rec *Record) error {
	for {
		if r.following != nil {
			*rec = *r.following
			r.following = nil
			r.setPosition(rec)
			return nil
		}
		if r.file == nil {
			if err := r.openNextSegment(); err != nil {
				return err
			}
		}
		frame, err := r.nextFrame()
		if errors.Is(err, errSegmentEnd) {
			continue
		}
		if err != nil {
			return err
		}
		if r.decode(&frame) && r.deliver(rec) {
			return nil
		}
	}
}

// errSegmentEnd is returned by nextFrame when it has closed a segment that was read to its end.
var errSegmentEnd = errors.New("record: end of the segment")

// nextFrame returns the next frame of the open segment. At its end it returns io.EOF if it is the last segment, and
// errSegmentEnd otherwise.
func (r *Reader) nextFrame() (scannedFrame, error) {
	frame, err := r.scan.next()
	if !errors.Is(err, io.EOF) {
		return frame, r.readError(err)
	}
	hasNewer, err := r.findNewerSegments()
	if err != nil {
		return scannedFrame{}, err
	}
	if !hasNewer {
		return scannedFrame{}, io.EOF
	}
	// A later segment exists, so this one does not grow any more. What was added since the first attempt counts.
	frame, err = r.scan.next()
	if !errors.Is(err, io.EOF) {
		return frame, r.readError(err)
	}
	if err := r.finishSegment(); err != nil {
		return scannedFrame{}, err
	}
	return scannedFrame{}, errSegmentEnd
}

// readError adds the path of the open segment to an error of its file.
func (r *Reader) readError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("record: %s: %w", filepath.Join(r.dir, r.segment.name), err)
}

// decode decodes a frame into r.decoded and reports whether it holds a record. It notes the damages.
func (r *Reader) decode(frame *scannedFrame) bool {
	if frame.skippedBytes > 0 {
		r.damages.add(Damage{
			File:   r.segment.name,
			Offset: frame.offset - frame.skippedBytes,
			Bytes:  frame.skippedBytes,
			Cause:  Damaged,
			Text:   "no intact records",
		})
	}
	if decodeRecord(frame.payload, &r.decoded, r.header.StartTime, r.interned) == nil {
		return true
	}
	r.damages.add(Damage{
		File:   r.segment.name,
		Offset: frame.offset,
		Bytes:  int64(frameSize(frame.payload)),
		Cause:  Damaged,
		Text:   "a frame that holds no record",
	})
	return false
}

// deliver decides about r.decoded: it is returned, or returned after a gap where sequence numbers are missing, or
// ignored if it was returned before. It reports whether rec was set.
func (r *Reader) deliver(rec *Record) bool {
	first := r.decoded.firstSeq()
	switch {
	case !r.position.isKnown:
		*rec = r.decoded
	case r.decoded.Seq <= r.position.seq:
		r.duplicates++ // written again after a failed sync
		return false
	case first > r.position.seq+1:
		*rec = r.gapBefore(first)
		following := r.decoded
		r.following = &following
	default:
		*rec = r.decoded
		if rec.Kind == KindGap {
			// Recovery wrote the gap for a segment of which a part is intact after all.
			rec.From = r.position.seq + 1
		}
	}
	r.setPosition(rec)
	return true
}

// gapBefore returns the gap between the last record returned and r.decoded, which begins with number first.
func (r *Reader) gapBefore(first uint64) Record {
	gap := Record{
		Kind:  KindGap,
		From:  r.position.seq + 1,
		Seq:   first - 1,
		At:    r.decoded.At,
		Since: r.position.at,
	}
	clockWentBack := gap.Since > gap.At // between two runs
	isStartUnknown := gap.Since == 0
	if clockWentBack || isStartUnknown {
		gap.Since = gap.At
	}
	r.damages.explainGap(&gap, r.segment.name)
	return gap
}

// setPosition notes the record that Next returns.
func (r *Reader) setPosition(rec *Record) {
	r.position = readPosition{isKnown: true, seq: rec.Seq, at: rec.At}
	r.damages.clearCause()
}
