package record

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
)

// A Recovery tells what a start found in its store.
type Recovery struct {
	LastSeq  uint64 // number of the last record, 0: the store is new
	Clean bool   // the last start had ended in good order, or there was none
	TruncatedBytes   int64  // bytes of a torn tail that were cut off
	SetAsideFile string // segment that was set aside
	SkippedNumbers  uint64 // numbers that it may have used beyond Last

	store uint64
	kept  []keptFile
}

// String implements fmt.Stringer.
func (r Recovery) String() string {
	s := fmt.Sprintf("last record %d", r.LastSeq)
	if r.LastSeq == 0 {
		s = "a new store"
	} else if !r.Clean {
		s += "; the last start did not end in good order"
	}
	if r.TruncatedBytes > 0 {
		s += fmt.Sprintf("; cut a torn tail of %d bytes", r.TruncatedBytes)
	}
	if r.SetAsideFile != "" {
		s += "; set aside " + r.SetAsideFile
	}
	return s
}

// minFrameSize is the least that a record takes, by which a segment that cannot be read bounds
// how many it held.
const minFrameSize = framePrefixSize + 4

// recoverStore finds where a store ended and makes it fit to go on. Only the last segment can be
// torn: all others were synced before the next began. A torn tail is cut off. Damage with
// intact frames behind it is no torn tail: the segment is set aside under another name, where
// Readers still find what is intact, and so is one that cannot be read at all. Its numbers are
// not used again.
func recoverStore(dir string) (r Recovery, err error) {
	all, err := listSegments(dir)
	if err != nil {
		return r, err
	}
	r.Clean = true
	for i := len(all) - 1; i >= 0; i-- {
		s := all[i]
		path := filepath.Join(dir, s.name)
		size, tail, err := inspect(path)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return r, fmt.Errorf("record: %s: %w", path, err)
		}
		if r.store == 0 {
			r.store = tail.header.Store
		}
		r.Clean = r.Clean && tail.kind == KindEnd && tail.torn == 0 && !tail.damaged
		switch {
		case tail.unreadable == nil && tail.last == 0 && !tail.damaged:
			// A start that ended before its first record was safe: the header is all there is.
			if err := os.Remove(path); err != nil {
				return r, fmt.Errorf("record: %w", err)
			}
			r.Clean = false
			continue
		case tail.unreadable != nil || tail.damaged:
			r.LastSeq = max(r.LastSeq, tail.last)
			if tail.unreadable != nil {
				r.LastSeq = max(r.LastSeq, s.first-1)
			}
			if !s.isSetAside {
				if err := os.Rename(path, path+setAsideSuffix); err != nil {
					return r, fmt.Errorf("record: %w", err)
				}
				s.name += setAsideSuffix
			}
			r.SetAsideFile = s.name
			r.SkippedNumbers = uint64(max(size-tail.good, 0))/minFrameSize + 1
		default:
			r.LastSeq = max(r.LastSeq, tail.last)
			if tail.torn > 0 {
				if err := os.Truncate(path, tail.good); err != nil {
					return r, fmt.Errorf("record: %w", err)
				}
				r.TruncatedBytes = tail.torn
			}
		}
		all[i].name = s.name
		all = all[:i+1]
		break
	}
	if r.LastSeq == 0 && r.SetAsideFile == "" {
		r.Clean = true
	}
	for _, s := range all {
		st, err := os.Stat(filepath.Join(dir, s.name))
		if err == nil {
			r.kept = append(r.kept, keptFile{s.name, st.Size(), st.ModTime()})
		}
	}
	return r, nil
}

// A tail is what the end of a segment looks like.
type tail struct {
	header     Header
	unreadable error  // the header is not intact, or of a newer version
	last       uint64 // number of the last intact record
	kind       Kind   // of it
	good       int64  // bytes up to the first damage
	torn       int64  // bytes behind, with nothing intact in them
	damaged    bool   // there are intact frames behind the damage
}

// inspect reads a whole segment.
func inspect(path string) (size int64, t tail, err error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, t, err
	}
	defer func() { _ = f.Close() }()
	if st, err := f.Stat(); err == nil {
		size = st.Size()
	}
	s := scanner{f: f}
	if t.header, err = s.readHeader(); err != nil {
		var newer *VersionError
		if errors.Is(err, errNoIntactHeader) || errors.As(err, &newer) {
			t.unreadable = err
			return size, t, nil
		}
		return size, t, err
	}
	t.good = headerSize
	var r Record
	known := internedStrings{}
	hole := false
	for {
		p, at, skipped, err := s.next()
		if errors.Is(err, io.EOF) {
			t.torn = size - t.good
			if t.damaged {
				t.torn = 0
			}
			return size, t, nil
		}
		if err != nil {
			return size, t, err
		}
		if hole = hole || skipped > 0; hole {
			t.damaged = true
		}
		if decodeRecord(p, &r, 0, known) == nil && r.Seq < math.MaxUint64/2 {
			t.last, t.kind = max(t.last, r.Seq), r.Kind
		}
		if !hole {
			t.good = at + int64(framePrefixSize+len(p))
		}
	}
}
