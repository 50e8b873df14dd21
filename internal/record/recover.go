package record

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// A Recovery describes the state in which Open found a store.
type Recovery struct {
	LastSeq        uint64 // sequence number of the last record; 0: the store is new
	Clean          bool   // the previous run shut down cleanly, or there was none
	TruncatedBytes int64  // size of the torn tail that was removed
	SetAsideFile   string // segment that was set aside; empty: none
	SkippedNumbers uint64 // number of sequence numbers after LastSeq that this segment may have used

	store    uint64 // id of the store; 0: unknown
	segments []closedSegment
}

// String returns the text that is stored in the KindStart record.
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

// minFrameSize is the size of the smallest frame. It limits how many records an unreadable segment can hold.
const minFrameSize = framePrefixSize + 4

// recoverStore finds the end of a store and prepares it for further records. Only the last segment can have a torn
// tail (a partially written frame at its end): each other segment was synced before the next one was created. A torn
// tail is truncated. Damage followed by intact frames is not a torn tail: that segment is renamed (set aside), as is a
// segment that cannot be read at all. Readers still read the intact records in it, and its sequence numbers are not
// used again.
func recoverStore(dir string) (Recovery, error) {
	all, err := listSegments(dir)
	if err != nil {
		return Recovery{}, err
	}
	r := Recovery{Clean: true}
	for i := len(all) - 1; i >= 0; i-- {
		isLast, err := r.recoverSegment(dir, &all[i])
		if err != nil {
			return Recovery{}, err
		}
		if isLast {
			break
		}
	}
	if r.LastSeq == 0 && r.SetAsideFile == "" {
		r.Clean = true
	}
	r.collectSegments(dir, all)
	return r, nil
}

// recoverSegment recovers one segment and reports whether it is the last one with records. A segment that was removed
// meanwhile or is empty has none.
func (r *Recovery) recoverSegment(dir string, s *segment) (isLast bool, err error) {
	path := filepath.Join(dir, s.name)
	t, err := inspectSegment(path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("record: %s: %w", path, err)
	}
	if r.store == 0 {
		r.store = t.header.Store
	}
	if !t.endsCleanly() {
		r.Clean = false
	}
	switch {
	case t.isEmpty():
		// The previous run ended before its first record was durable.
		if err := os.Remove(path); err != nil {
			return false, fmt.Errorf("record: %w", err)
		}
		r.Clean = false
		return false, nil
	case t.headerErr != nil:
		r.LastSeq = max(r.LastSeq, t.lastSeq, s.first-1)
		return true, r.setAside(dir, s, &t)
	case t.isDamaged:
		r.LastSeq = max(r.LastSeq, t.lastSeq)
		return true, r.setAside(dir, s, &t)
	default:
		r.LastSeq = max(r.LastSeq, t.lastSeq)
		return true, r.truncateTail(path, &t)
	}
}

// setAside renames a segment, unless it was renamed earlier, and skips the sequence numbers that it may have used.
func (r *Recovery) setAside(dir string, s *segment, t *segmentTail) error {
	if !s.isSetAside {
		path := filepath.Join(dir, s.name)
		if err := os.Rename(path, path+setAsideSuffix); err != nil {
			return fmt.Errorf("record: %w", err)
		}
		s.name += setAsideSuffix
	}
	r.SetAsideFile = s.name
	r.SkippedNumbers = uint64(max(t.size-t.intactSize, 0))/minFrameSize + 1
	return nil
}

// truncateTail removes the torn tail of a segment, if it has one.
func (r *Recovery) truncateTail(path string, t *segmentTail) error {
	if t.tornBytes == 0 {
		return nil
	}
	if err := os.Truncate(path, t.intactSize); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	r.TruncatedBytes = t.tornBytes
	return nil
}

// collectSegments lists the remaining segments for retention.
func (r *Recovery) collectSegments(dir string, all []segment) {
	for _, s := range all {
		info, err := os.Stat(filepath.Join(dir, s.name))
		if err != nil {
			continue // removed by recoverSegment or another process
		}
		r.segments = append(r.segments, closedSegment{name: s.name, size: info.Size(), lastModified: info.ModTime()})
	}
}
