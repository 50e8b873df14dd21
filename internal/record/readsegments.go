package record

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// openNextSegment opens the next segment that can be read. It returns io.EOF if there is none.
func (r *Reader) openNextSegment() error {
	for {
		hasNext, err := r.findNewerSegments()
		if err != nil {
			return err
		}
		if !hasNext {
			return io.EOF
		}
		file, s, err := r.openPendingSegment()
		if errors.Is(err, os.ErrNotExist) {
			r.segment = s
			continue
		}
		if err != nil {
			return err
		}
		scan := scanner{file: file, buf: r.scan.buf[:0]}
		header, err := scan.readHeader()
		if err != nil {
			if err := r.skipSegment(file, s, err); err != nil {
				return err
			}
			continue
		}
		r.enterSegment(s)
		r.file = file
		r.scan = scan
		r.header = header
		return nil
	}
}

// findNewerSegments adds the segments after the last one to the pending ones if there are none. It reports whether any
// are pending.
func (r *Reader) findNewerSegments() (bool, error) {
	if len(r.pending) > 0 {
		return true, nil
	}
	all, err := listSegments(r.dir)
	if err != nil {
		return false, err
	}
	for _, s := range all {
		isNewer := s.name > r.segment.name
		if isNewer && !s.isSameAs(r.segment) {
			r.pending = append(r.pending, s)
		}
	}
	return len(r.pending) > 0, nil
}

// openPendingSegment opens the first pending segment and removes it from the list. If the file does not exist, it tries
// the name that recovery gives to a segment set aside; if that fails as well, for instance because retention has
// removed the segment, it returns os.ErrNotExist. After any other error the segment remains pending.
func (r *Reader) openPendingSegment() (*os.File, segment, error) {
	s := r.pending[0]
	path := filepath.Join(r.dir, s.name)
	file, err := os.Open(path)
	if err == nil {
		r.pending = r.pending[1:]
		return file, s, nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return nil, s, fmt.Errorf("record: %w", err)
	}
	r.pending = r.pending[1:]
	file, err = os.Open(path + setAsideSuffix)
	if err != nil {
		return nil, s, os.ErrNotExist
	}
	s.name += setAsideSuffix
	return file, s, nil
}

// skipSegment closes a segment whose header cannot be read and lists the damage. It returns io.EOF if the segment is
// just being created and has to be opened again later, and any error of the file.
func (r *Reader) skipSegment(file *os.File, s segment, headerErr error) error {
	var size int64
	if info, err := file.Stat(); err == nil {
		size = info.Size()
	}
	_ = file.Close()
	var versionErr *VersionError
	isNewerFormat := errors.As(headerErr, &versionErr)
	if !isNewerFormat && !errors.Is(headerErr, errNoIntactHeader) {
		return fmt.Errorf("record: %s: %w", filepath.Join(r.dir, s.name), headerErr)
	}
	isBeingCreated := !isNewerFormat && size < headerSize && len(r.pending) == 0 && !s.isSetAside
	if isBeingCreated {
		r.pending = append(r.pending, s)
		return io.EOF
	}
	damage := Damage{File: s.name, Bytes: size, Cause: Damaged, Text: headerErr.Error()}
	if isNewerFormat {
		damage.Cause = NewerFormat
		damage.Offset = wholeFile
	}
	r.damages.add(damage)
	r.enterSegment(s)
	return nil
}

// enterSegment makes s the segment being read. The first sequence number of the store is taken from the name of the
// first segment, even if its first frames are not intact.
func (r *Reader) enterSegment(s segment) {
	r.segment = s
	if !r.position.isKnown && s.first > 0 {
		r.position.isKnown = true
		r.position.seq = s.first - 1
	}
}

// finishSegment closes the open segment, which no longer grows, and lists its torn tail as damage.
func (r *Reader) finishSegment() error {
	if size := r.scan.trailingBytes(); size > 0 {
		r.damages.add(Damage{
			File:   r.segment.name,
			Offset: r.scan.trailingOffset(),
			Bytes:  size,
			Cause:  Damaged,
			Text:   "a torn tail",
		})
	}
	return r.Close()
}
