package record

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// A Damage is a place in a store where records are lost or bytes are no record.
type Damage struct {
	File   string   `json:"file"`
	Offset int64    `json:"offset"`         // in bytes; -1: the whole file
	Bytes  int64    `json:"bytes"`          // that are no record
	From   uint64   `json:"from,omitempty"` // numbers that are lost; 0: none, or not known
	To     uint64   `json:"to,omitempty"`
	Cause  GapCause `json:"cause"`
	Text   string   `json:"text"`
}

// mostDamages bounds the list of them; behind it they are only counted.
const mostDamages = 1000

// A Reader reads a store's records in the order of their numbers, also while it is written.
// Where records are lost it returns gap records of its own, so that numbers never skip.
// A segment that retention removes while it is being read is a gap only if it was not read yet.
type Reader struct {
	dir    string
	queue  []segment // not read yet
	cur    *os.File
	seg    segment
	scan   scanner
	header Header
	names  internedStrings

	last    uint64 // number of the last record that was returned
	lastAt  Time   // its time
	begun   bool
	ahead   *Record // to be returned behind a gap
	cause   GapCause
	where   string
	damages []Damage
	more    int // damages past the list
	twice   uint64
	record  Record
}

// OpenDir opens a store for reading. A folder without segments is a store without records.
func OpenDir(dir string) (*Reader, error) {
	r := &Reader{dir: dir, names: internedStrings{}}
	var err error
	if r.queue, err = listSegments(dir); err != nil {
		return nil, err
	}
	return r, nil
}

// Dir is the store's folder.
func (r *Reader) Dir() string { return r.dir }

// Header is that of the segment that the last record came from.
func (r *Reader) Header() Header { return r.header }

// Damages are the places found so far where something is wrong, and how many more there were
// than the list holds.
func (r *Reader) Damages() (list []Damage, more int) { return r.damages, r.more }

// Twice is how many records were there more than once and passed over.
func (r *Reader) Twice() uint64 { return r.twice }

// Close closes the file that is open.
func (r *Reader) Close() error {
	if r.cur == nil {
		return nil
	}
	err := r.cur.Close()
	r.cur = nil
	return err
}

// Next reads the next record; it stays valid. At the end it returns io.EOF, and where the
// store is still written Next may be called again later on.
func (r *Reader) Next(rec *Record) error {
	for {
		if r.ahead != nil {
			*rec, r.ahead = *r.ahead, nil
			r.took(rec)
			return nil
		}
		if r.cur == nil {
			if err := r.open(); err != nil {
				return err
			}
		}
		p, at, skipped, err := r.scan.next()
		if errors.Is(err, io.EOF) {
			next, err := r.newer()
			if err != nil {
				return err
			}
			if !next {
				return io.EOF
			}
			// There is a later segment: nothing more comes in this one, but what came since.
			if p, at, skipped, err = r.scan.next(); errors.Is(err, io.EOF) {
				if err := r.leave(); err != nil {
					return err
				}
				continue
			} else if err != nil {
				return fmt.Errorf("record: %s: %w", r.path(), err)
			}
		} else if err != nil {
			return fmt.Errorf("record: %s: %w", r.path(), err)
		}
		if skipped > 0 {
			r.damaged(Damage{File: r.seg.name, Offset: at - skipped, Bytes: skipped, Cause: Damaged, Text: "no intact records"})
		}
		if decodeRecord(p, &r.record, r.header.Wall, r.names) != nil {
			r.damaged(Damage{File: r.seg.name, Offset: at, Bytes: int64(framePrefixSize + len(p)), Cause: Damaged, Text: "a frame that holds no record"})
			continue
		}
		if r.take(rec) {
			return nil
		}
	}
}

// take decides what becomes of r.record: it is returned, behind a gap where numbers are
// missing, or passed over if it was there before.
func (r *Reader) take(rec *Record) bool {
	first := r.record.Seq
	if r.record.Kind == KindGap {
		first = r.record.From
	}
	switch {
	case r.begun && r.record.Seq <= r.last:
		r.twice++ // written again after a failed sync
		return false
	case r.begun && r.record.Kind == KindGap && first <= r.last:
		// A gap that recovery wrote for a segment of which some is intact after all.
		r.record.From = r.last + 1
	case r.begun && first > r.last+1:
		gap := Record{Kind: KindGap, From: r.last + 1, Seq: first - 1, At: r.record.At, Since: r.lastAt, Code: uint8(Missing), Text: r.where}
		if r.cause != NoGap {
			gap.Code = uint8(r.cause)
		}
		if gap.Since > gap.At || gap.Since == 0 { // the clock was set back between two starts, or nothing is known from before
			gap.Since = gap.At
		}
		if n := len(r.damages); n > 0 && r.more == 0 && r.cause != NoGap && r.damages[n-1].From == 0 {
			r.damages[n-1].From, r.damages[n-1].To = gap.From, gap.Seq
		} else if r.cause == NoGap {
			r.damaged(Damage{File: r.seg.name, Offset: -1, From: gap.From, To: gap.Seq, Cause: Missing, Text: "the records before it are not there"})
		}
		next := r.record
		r.ahead = &next
		*rec = gap
		r.took(rec)
		return true
	}
	*rec = r.record
	r.took(rec)
	return true
}

// took notes what is returned.
func (r *Reader) took(rec *Record) {
	r.begun, r.last, r.lastAt = true, rec.Seq, rec.At
	r.cause, r.where = NoGap, ""
}

func (r *Reader) path() string { return filepath.Join(r.dir, r.seg.name) }

// damaged notes a damage and lets the next gap name it as its cause.
func (r *Reader) damaged(d Damage) {
	r.cause, r.where = d.Cause, d.File
	if len(r.damages) >= mostDamages {
		r.more++
		return
	}
	r.damages = append(r.damages, d)
}

// newer looks for segments behind the one at hand, and tells whether there are any.
func (r *Reader) newer() (bool, error) {
	if len(r.queue) > 0 {
		return true, nil
	}
	all, err := listSegments(r.dir)
	if err != nil {
		return false, err
	}
	for _, s := range all {
		if s.name > r.seg.name && !(s.first == r.seg.first && s.boot == r.seg.boot && s.index == r.seg.index) {
			r.queue = append(r.queue, s)
		}
	}
	return len(r.queue) > 0, nil
}

// leave closes the segment at hand.
func (r *Reader) leave() error {
	if n := r.scan.trailingBytes(); n > 0 {
		r.damaged(Damage{File: r.seg.name, Offset: r.scan.offset - r.scan.invalidBytes, Bytes: n, Cause: Damaged, Text: "a torn tail"})
	}
	return r.Close()
}

// Torn is how many bytes at the end of the segment at hand are no record: of a store that
// is written they may become one, of any other they are a torn tail.
func (r *Reader) Torn() (file string, offset, n int64) {
	if r.cur == nil {
		return "", 0, 0
	}
	return r.seg.name, r.scan.offset - r.scan.invalidBytes, r.scan.trailingBytes()
}

// start notes the segment at hand. The name of the first one tells where the store begins, though nothing
// of its beginning may be intact.
func (r *Reader) start(s segment) {
	r.seg = s
	if !r.begun && s.first > 0 {
		r.begun, r.last = true, s.first-1
	}
}

// open opens the next segment that can be read.
func (r *Reader) open() error {
	for {
		if len(r.queue) == 0 {
			if more, err := r.newer(); err != nil || !more {
				if err == nil {
					err = io.EOF
				}
				return err
			}
		}
		s := r.queue[0]
		f, err := os.Open(filepath.Join(r.dir, s.name))
		if errors.Is(err, os.ErrNotExist) {
			// Retention was faster, or recovery has set it aside: the list is read anew.
			r.queue = r.queue[1:]
			if f, err = os.Open(filepath.Join(r.dir, s.name+setAsideSuffix)); err != nil {
				r.seg = s
				continue
			}
			s.name += setAsideSuffix
		} else if err != nil {
			return fmt.Errorf("record: %w", err)
		} else {
			r.queue = r.queue[1:]
		}
		scan := scanner{f: f, buf: r.scan.buf[:0]}
		h, err := scan.readHeader()
		if err != nil {
			size := int64(0)
			if st, err := f.Stat(); err == nil {
				size = st.Size()
			}
			_ = f.Close()
			var newer *VersionError
			switch {
			case errors.As(err, &newer):
				r.damaged(Damage{File: s.name, Offset: -1, Bytes: size, Cause: NewerFormat, Text: newer.Error()})
			case !errors.Is(err, errNoIntactHeader):
				return fmt.Errorf("record: %s: %w", filepath.Join(r.dir, s.name), err)
			case size < headerSize && len(r.queue) == 0 && !s.isSetAside:
				// It is being made just now; it is looked at again.
				r.queue = append(r.queue, s)
				return io.EOF
			default:
				r.damaged(Damage{File: s.name, Offset: 0, Bytes: size, Cause: Damaged, Text: "no intact header"})
			}
			r.start(s)
			continue
		}
		r.start(s)
		r.cur, r.scan, r.header = f, scan, h
		return nil
	}
}
