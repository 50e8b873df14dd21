package record

import (
	"errors"
	"io"
	"math"
	"os"
)

// maxPlausibleSeq limits the sequence numbers that recovery continues from: no store reaches it, and
// continuing from a greater number could wrap around.
const maxPlausibleSeq = math.MaxUint64 / 2

// A segmentTail describes where the intact part of a segment ends.
type segmentTail struct {
	size       int64 // size of the file
	header     Header
	headerErr  error  // the header is not intact or of a newer version; the fields below are not set then
	lastSeq    uint64 // sequence number of the last intact record; 0: none
	lastKind   Kind   // kind of the last intact record
	intactSize int64  // number of bytes before the first damage
	tornBytes  int64  // number of bytes after intactSize, if they contain no intact frame
	isDamaged  bool   // intact frames follow the first damage
}

// isEmpty reports whether the segment has an intact header and no records.
func (t *segmentTail) isEmpty() bool { return t.headerErr == nil && t.lastSeq == 0 && !t.isDamaged }

// endsCleanly reports whether the segment ends with a clean shutdown.
func (t *segmentTail) endsCleanly() bool {
	return t.lastKind == KindEnd && t.tornBytes == 0 && !t.isDamaged
}

// inspectSegment reads a whole segment. A header that cannot be decoded is reported as headerErr, not as an error.
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

// isHeaderError reports whether err was returned by decodeHeader and is not a file error.
func isHeaderError(err error) bool {
	var versionErr *VersionError
	return errors.Is(err, errNoIntactHeader) || errors.As(err, &versionErr)
}

// readFrames reads the frames after the header.
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
