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

// findNewerSegments makes sure that segments behind the last one are pending, and reports whether there are any.
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

// openPendingSegment opens the first pending segment and takes it off the list. A segment that retention has removed
// or that cannot be opened under the name of one set aside yields an error that wraps os.ErrNotExist. After any other
// error the segment stays pending.
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

// skipSegment closes a segment whose header cannot be read and notes the damage. It returns io.EOF if the segment is
// being created at present and is to be opened again later, and any error of the file.
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

// enterSegment makes s the segment being read. The name of the first segment says where the store begins, also if
// nothing at its beginning is intact.
func (r *Reader) enterSegment(s segment) {
	r.segment = s
	if !r.position.isKnown && s.first > 0 {
		r.position.isKnown = true
		r.position.seq = s.first - 1
	}
}

// finishSegment closes the open segment, which does not grow any more, and notes its torn tail.
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
