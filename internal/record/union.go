package record

import (
	"errors"
	"io"
)

// A Union merges the copies of one store: it returns each record that any copy contains, and a gap only where no copy
// has a record. A Union may be used by only one goroutine.
type Union struct {
	copies    []*storeCopy
	position  readPosition
	header    Header
	conflicts uint64
}

// A lookahead is the next record of an input, read in advance, with the header of its segment.
type lookahead struct {
	record  Record
	header  Header
	isValid bool // false: the next record has to be read first
}

// A storeCopy is a copy of the store that a Union reads.
type storeCopy struct {
	reader *Reader
	next   lookahead
}

// OpenStore opens all copies of a store.
func OpenStore(s Store) (*Union, error) {
	u := &Union{}
	for _, dir := range s.Dirs {
		reader, err := OpenDir(dir)
		if err != nil {
			return nil, errors.Join(err, u.Close())
		}
		u.copies = append(u.copies, &storeCopy{reader: reader})
	}
	return u, nil
}

// Close closes all copies.
func (u *Union) Close() error {
	var err error
	for _, c := range u.copies {
		err = errors.Join(err, c.reader.Close())
	}
	return err
}

// Header returns the header of the segment that the last record came from.
func (u *Union) Header() *Header { return &u.header }

// Readers returns the readers of the copies, which report the damage in them.
func (u *Union) Readers() []*Reader {
	readers := make([]*Reader, len(u.copies))
	for i, c := range u.copies {
		readers[i] = c.reader
	}
	return readers
}

// Conflicts returns how many sequence numbers have different records in two copies. This happens if a copy replaced the
// store and was written to. Next returns the records of the first copy.
func (u *Union) Conflicts() uint64 { return u.conflicts }

// Next reads the next record, like Reader.Next. It returns io.EOF at the end of all copies.
func (u *Union) Next(rec *Record) error {
	source, err := u.selectCopy()
	if err != nil {
		return err
	}
	if source == nil {
		return io.EOF
	}
	next := &source.next
	u.header = next.header
	switch first := next.record.firstSeq(); {
	case u.position.isKnown && first > u.position.seq+1:
		*rec = u.missingBefore(&next.record)
	case next.record.Kind == KindGap:
		*rec = next.record
		rec.Seq = u.endOfGap(source)
		// The rest of the gap remains in the lookahead, in case no other copy has its records.
		next.record.From = rec.Seq + 1
		next.isValid = next.record.From <= next.record.Seq
	default:
		*rec = next.record
		next.isValid = false
	}
	u.position = readPosition{isKnown: true, seq: rec.Seq, at: rec.At}
	return nil
}

// selectCopy returns the copy with the lowest next sequence number, or nil at the end of all copies. If the numbers are
// equal, a record takes precedence over a gap. It counts conflicts.
func (u *Union) selectCopy() (*storeCopy, error) {
	var selected *storeCopy
	for _, c := range u.copies {
		if err := u.readAhead(c); err != nil {
			return nil, err
		}
		if !c.next.isValid {
			continue
		}
		switch {
		case selected == nil, c.next.precedes(&selected.next):
			selected = c
		case c.next.conflictsWith(&selected.next):
			u.conflicts++
		}
	}
	return selected, nil
}

// precedes reports whether the record of l must be returned before the record of other.
func (l *lookahead) precedes(other *lookahead) bool {
	first, otherFirst := l.record.firstSeq(), other.record.firstSeq()
	if first != otherFirst {
		return first < otherFirst
	}
	return l.record.Kind != KindGap && other.record.Kind == KindGap
}

// conflictsWith reports whether two runs have stored records under the same sequence number.
func (l *lookahead) conflictsWith(other *lookahead) bool {
	haveGap := l.record.Kind == KindGap || other.record.Kind == KindGap
	return !haveGap && l.record.Seq == other.record.Seq && l.header.RunID != other.header.RunID
}

// missingBefore returns the gap before a record, for sequence numbers that no copy contains.
func (u *Union) missingBefore(next *Record) Record {
	return Record{
		Kind:  KindGap,
		From:  u.position.seq + 1,
		Seq:   next.firstSeq() - 1,
		Since: min(u.position.at, next.At),
		At:    next.At,
		Code:  uint8(Missing),
	}
}

// endOfGap returns the last sequence number up to which no other copy can fill the gap of source. The gap ends before
// the next record of another copy, or where a gap of another copy ends that begins at the same number and is shorter.
func (u *Union) endOfGap(source *storeCopy) uint64 {
	first := source.next.record.firstSeq()
	end := source.next.record.Seq
	for _, c := range u.copies {
		if c == source || !c.next.isValid {
			continue
		}
		otherFirst := c.next.record.firstSeq()
		if otherFirst == first {
			end = min(end, c.next.record.Seq)
		} else if otherFirst > first && otherFirst <= end {
			end = otherFirst - 1
		}
	}
	return end
}

// readAhead sets c.next to the copy's first record after the last one returned. At the end of the copy c.next is
// invalid.
func (u *Union) readAhead(c *storeCopy) error {
	for {
		isPassed := u.position.isKnown && c.next.record.Seq <= u.position.seq
		if c.next.isValid && !isPassed {
			break
		}
		c.next.isValid = false
		err := c.reader.Next(&c.next.record)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		c.next.header = c.reader.Header()
		c.next.isValid = true
	}
	if c.next.record.Kind == KindGap && u.position.isKnown {
		c.next.record.From = max(c.next.record.From, u.position.seq+1)
	}
	return nil
}
