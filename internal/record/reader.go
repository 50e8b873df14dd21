package record

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// A Reader reads the records of a store in the order of their sequence numbers, even while the store is being written.
// Where records are missing it returns gap records of its own, so that no sequence number is skipped. A segment that
// retention removes during reading results in a gap only if the Reader has not opened it yet. A Reader may be used by
// only one goroutine.
type Reader struct {
	dir      string
	pending  []segment // segments to read after the open one
	interned internTable

	// The segment that was opened last.
	file    *os.File // nil: closed
	segment segment
	scan    scanner
	header  Header

	position  readPosition
	decoded   Record  // the last record decoded, which deliver returns, defers or ignores
	following *Record // the record to return after a gap, nil: none

	damages    damageList
	duplicates uint64
}

// A readPosition identifies the last record that was returned.
type readPosition struct {
	isKnown bool // false: no record was returned, and the first sequence number is unknown
	seq     uint64
	at      Time
}

// OpenDir opens a store for reading. A directory without segments is an empty store.
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

// Damages returns the damage detected so far, and how many further places were detected but not listed.
func (r *Reader) Damages() (list []Damage, more int) { return r.damages.list, r.damages.omitted }

// Duplicates returns how many records were ignored because they were stored more than once.
func (r *Reader) Duplicates() uint64 { return r.duplicates }

// TornTail returns the position of the bytes at the end of the open segment that are not a frame. If the store is being
// written, they may be a partially written frame; otherwise they are a torn tail. size is 0 if there are none.
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

// Next reads the next record into rec, which remains valid. At the end of the store it returns io.EOF; if the store is
// still being written, Next may be called again later.
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

// errSegmentEnd is returned by nextFrame after it has read a segment to its end and closed it.
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
	// A newer segment exists, so this one no longer grows. Frames may have been appended since the first attempt.
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

// decode decodes a frame into r.decoded and reports whether it contains a valid record. It lists any damage.
func (r *Reader) decode(frame *scannedFrame) bool {
	if frame.skippedBytes > 0 {
		r.damages.add(Damage{
			File:   r.segment.name,
			Offset: frame.offset - frame.skippedBytes,
			Bytes:  frame.skippedBytes,
			Cause:  Damaged,
			Text:   "no intact frames",
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
		Text:   "a frame without a valid record",
	})
	return false
}

// deliver sets rec to r.decoded, or to a gap if sequence numbers before it are missing; r.decoded then follows the gap.
// A record that was returned before is ignored. deliver reports whether rec was set.
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
			// The gap was written by recovery for a segment of which some records could be read.
			rec.From = r.position.seq + 1
		}
	}
	r.setPosition(rec)
	return true
}

// gapBefore returns the gap between the last record returned and r.decoded, whose first sequence number is given.
func (r *Reader) gapBefore(first uint64) Record {
	gap := Record{
		Kind:  KindGap,
		From:  r.position.seq + 1,
		Seq:   first - 1,
		At:    r.decoded.At,
		Since: r.position.at,
	}
	clockWentBack := gap.Since > gap.At // the clock was set back between two runs
	isStartUnknown := gap.Since == 0
	if clockWentBack || isStartUnknown {
		gap.Since = gap.At
	}
	r.damages.explainGap(&gap, r.segment.name)
	return gap
}

// setPosition advances the position to the record that Next returns.
func (r *Reader) setPosition(rec *Record) {
	r.position = readPosition{isKnown: true, seq: rec.Seq, at: rec.At}
	r.damages.clearCause()
}
