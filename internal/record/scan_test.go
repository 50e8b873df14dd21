package record

import (
	"bytes"
	"slices"
	"testing"
)

// FuzzFrames checks that the frames, the bytes skipped before them and the trailing bytes cover any file completely.
func FuzzFrames(f *testing.F) {
	b := appendHeader(nil, &Header{Name: "n0", Nonce: 5, StartTime: testStart})
	for i := range 5 {
		b = appendFrame(b, appendRecord(nil, sampleRecord(i), testStart), frameSeed(5))
	}
	f.Add(b)
	f.Add(b[:len(b)-3])
	f.Add(slices.Concat(b[:headerSize+20], b[headerSize:]))
	f.Add(appendHeader(nil, &Header{}))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := scanner{file: bytes.NewReader(b)}
		if _, err := s.readHeader(); err != nil {
			return
		}
		end := int64(headerSize)
		for {
			frame, err := s.next()
			if err != nil {
				if end+s.trailingBytes() != int64(len(b)) {
					t.Fatalf("%d bytes, but the last frame ends at %d and %d bytes remain", len(b), end, s.trailingBytes())
				}
				return
			}
			if frame.offset-frame.skippedBytes != end {
				t.Fatalf("frame at %d after %d skipped bytes, but the last one ended at %d", frame.offset, frame.skippedBytes, end)
			}
			end = frame.end()
		}
	})
}
