package record

import (
	"errors"
	"io"
	"math"
	"os"
)

// maxPlausibleSeq bounds the sequence numbers that recovery continues from: no store reaches it, and numbers behind
// it would wrap around.
const maxPlausibleSeq = math.MaxUint64 / 2

// A segmentTail describes the end of a segment.
type segmentTail struct {
	size       int64 // of the file
	header     Header
	headerErr  error  // the header is not intact, or of a newer version; nothing below is known then
	lastSeq    uint64 // sequence number of the last intact record, 0: there is none
	lastKind   Kind   // its kind
	intactSize int64  // bytes up to the first damage
	tornBytes  int64  // bytes behind it, if no frame in them is intact
	isDamaged  bool   // intact frames follow the damage
}

// isEmpty reports whether the segment has a header and no record.
func (t *segmentTail) isEmpty() bool { return t.headerErr == nil && t.lastSeq == 0 && !t.isDamaged }

// endsCleanly reports whether an orderly shutdown ended the segment.
func (t *segmentTail) endsCleanly() bool {
	return t.lastKind == KindEnd && t.tornBytes == 0 && !t.isDamaged
}

// inspectSegment reads a whole segment. A header that cannot be decoded is no error.
func inspectSegment(path string) (segmentTail, error) {
	f, err := os.Open(path)
	if err != nil {
		return segmentTail{}, err
	}
	defer func() { _ = f.Close() }()
	var t segmentTail
	if info, err := f.Stat(); err == nil {
		t.size = info.Size()
	}
	s := scanner{file: f}
	t.header, err = s.readHeader()
	if isHeaderError(err) {
		t.headerErr = err
		return t, nil
	}
	if err != nil {
		return t, err
	}
	return t, t.readFrames(&s)
}

// isHeaderError reports whether err is of decodeHeader, not of the file.
func isHeaderError(err error) bool {
	var versionErr *VersionError
	return errors.Is(err, errNoIntactHeader) || errors.As(err, &versionErr)
}

// readFrames reads the frames behind the header.
func (t *segmentTail) readFrames(s *scanner) error {
	t.intactSize = headerSize
	interned := internTable{}
	var r Record
	for {
		frame, err := s.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if frame.skippedBytes > 0 {
			t.isDamaged = true
		}
		if !t.isDamaged {
			t.intactSize = frame.end()
		}
		if decodeRecord(frame.payload, &r, 0, interned) == nil && r.Seq < maxPlausibleSeq {
			t.lastSeq = max(t.lastSeq, r.Seq)
			t.lastKind = r.Kind
		}
	}
	if !t.isDamaged {
		t.tornBytes = t.size - t.intactSize
	}
	return nil
}
