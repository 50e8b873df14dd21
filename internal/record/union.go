package record

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// A Store is one instance's store as found on disk: a folder, or several that are copies of
// one another made at different times.
type Store struct {
	Name  string
	ID    uint64
	Dirs  []string
	Files int
	Bytes int64
	Live  bool
}

// Find finds the stores that are, or lie directly in, the given folders. Copies of one store
// are found by its id and become one Store. A folder in which nothing can be read is a store
// without a name: its damage is told when it is read.
func Find(paths ...string) ([]Store, error) {
	var dirs []string
	for _, path := range paths {
		all, err := listSegments(path)
		if err != nil {
			return nil, err
		}
		if len(all) > 0 {
			dirs = append(dirs, path)
			continue
		}
		entries, err := os.ReadDir(path)
		if err != nil {
			return nil, fmt.Errorf("record: %w", err)
		}
		found := len(dirs)
		for _, e := range entries {
			sub := filepath.Join(path, e.Name())
			if st, err := os.Stat(sub); err != nil || !st.IsDir() {
				continue
			}
			if all, err := listSegments(sub); err == nil && (len(all) > 0 || hasLockFile(sub)) {
				dirs = append(dirs, sub)
			} else if nested := filepath.Join(sub, "records"); hasLockFile(nested) { // as the agent lays instances out
				dirs = append(dirs, nested)
			}
		}
		if found == len(dirs) && hasLockFile(path) {
			dirs = append(dirs, path)
		}
	}
	return groupCopies(dirs)
}

// hasLockFile tells whether a folder is a store, though it may have no segment yet.
func hasLockFile(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, lockFileName))
	return err == nil
}

func groupCopies(dirs []string) ([]Store, error) {
	var stores []Store
	seen := make(map[string]bool)
	for _, dir := range dirs {
		if real, err := filepath.EvalSymlinks(dir); err == nil {
			if seen[real] {
				continue // named twice
			}
			seen[real] = true
		}
		s := Store{Dirs: []string{dir}, Live: Live(dir)}
		all, err := listSegments(dir)
		if err != nil {
			return nil, err
		}
		for _, g := range all {
			if st, err := os.Stat(filepath.Join(dir, g.name)); err == nil {
				s.Files++
				s.Bytes += st.Size()
			}
			if s.ID == 0 {
				s.Name, s.ID = readStoreIdentity(filepath.Join(dir, g.name))
			}
		}
		i := slices.IndexFunc(stores, func(o Store) bool { return s.ID != 0 && o.ID == s.ID })
		if i < 0 {
			stores = append(stores, s)
			continue
		}
		o := &stores[i]
		o.Dirs = append(o.Dirs, dir)
		o.Files, o.Bytes, o.Live = o.Files+s.Files, o.Bytes+s.Bytes, o.Live || s.Live
	}
	slices.SortStableFunc(stores, func(a, b Store) int { return cmp.Compare(a.Name, b.Name) })
	return stores, nil
}

// readStoreIdentity reads a segment's header.
func readStoreIdentity(path string) (name string, id uint64) {
	f, err := os.Open(path)
	if err != nil {
		return "", 0
	}
	defer func() { _ = f.Close() }()
	var b [headerSize]byte
	if _, err := io.ReadFull(f, b[:]); err != nil {
		return "", 0
	}
	h, err := decodeHeader(b[:])
	if err != nil {
		return "", 0
	}
	return h.Name, h.Store
}

// A Union reads the copies of one store as one: a record that any of them has is there, and
// a gap is left only where all of them have one.
type Union struct {
	from      []*storeCopy
	last      uint64
	lastAt    Time
	begun     bool
	header    Header
	conflicts uint64
}

type storeCopy struct {
	r    *Reader
	head Record
	h    Header
	full bool
}

// OpenStore opens all copies of a store.
func OpenStore(s Store) (*Union, error) {
	u := &Union{}
	for _, dir := range s.Dirs {
		r, err := OpenDir(dir)
		if err != nil {
			return nil, errors.Join(err, u.Close())
		}
		u.from = append(u.from, &storeCopy{r: r})
	}
	return u, nil
}

// Close closes all copies.
func (u *Union) Close() (err error) {
	for _, c := range u.from {
		err = errors.Join(err, c.r.Close())
	}
	return err
}

// Header is that of the segment that the last record came from.
func (u *Union) Header() *Header { return &u.header }

// Readers are those of the copies, for their damages.
func (u *Union) Readers() []*Reader {
	all := make([]*Reader, len(u.from))
	for i, c := range u.from {
		all[i] = c.r
	}
	return all
}

// Conflicts is how many numbers two copies had different records under: a copy that was put
// in the place of the store and written on. The first copy's are taken.
func (u *Union) Conflicts() uint64 { return u.conflicts }

// first is the least number that a record stands for.
func (r *Record) first() uint64 {
	if r.Kind == KindGap {
		return r.From
	}
	return r.Seq
}

// Next reads the next record, io.EOF at the end of all copies, as Reader.Next.
func (u *Union) Next(rec *Record) error {
	var best *storeCopy
	for _, c := range u.from {
		if err := u.fill(c); err != nil {
			return err
		}
		if !c.full {
			continue
		}
		switch {
		case best == nil, c.head.first() < best.head.first(),
			c.head.first() == best.head.first() && best.head.Kind == KindGap && c.head.Kind != KindGap:
			best = c
		case c.head.Seq == best.head.Seq && c.head.Kind != KindGap && best.head.Kind != KindGap && c.h.Boot != best.h.Boot:
			u.conflicts++
		}
	}
	if best == nil {
		return io.EOF
	}
	*rec = best.head
	u.header = best.h
	switch first := best.head.first(); {
	case u.begun && first > u.last+1:
		// One copy ends before the next begins.
		*rec = Record{Kind: KindGap, From: u.last + 1, Seq: first - 1, Since: min(u.lastAt, best.head.At), At: best.head.At, Code: uint8(Missing)}
	case best.head.Kind == KindGap:
		for _, c := range u.from { // another copy may have some of it
			if n := c.head.first(); c != best && c.full && n > first && n <= rec.Seq {
				rec.Seq = n - 1
			} else if c.full && n == first {
				rec.Seq = min(rec.Seq, c.head.Seq) // it has what is behind a shorter gap
			}
		}
		if best.head.From = rec.Seq + 1; best.head.From > best.head.Seq {
			best.full = false
		}
	default:
		best.full = false
	}
	u.begun, u.last, u.lastAt = true, rec.Seq, rec.At
	return nil
}

// fill reads a copy's next record that is not passed yet.
func (u *Union) fill(c *storeCopy) error {
	for {
		if c.full && u.begun && c.head.Seq <= u.last {
			c.full = false
		}
		if c.full {
			if c.head.Kind == KindGap && u.begun {
				c.head.From = max(c.head.From, u.last+1)
			}
			return nil
		}
		err := c.r.Next(&c.head)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		c.full, c.h = true, c.r.Header()
	}
}

// A Merger reads several stores as one, in the order of their own clocks: what two instances'
// clocks say of an order between them is for internal/incident to judge.
type Merger struct {
	from []*storeInput
}

type storeInput struct {
	u    *Union
	head Record
	h    Header
	full bool
}

// OpenStores opens stores to be read as one.
func OpenStores(stores []Store) (*Merger, error) {
	m := &Merger{}
	for _, s := range stores {
		u, err := OpenStore(s)
		if err != nil {
			return nil, errors.Join(err, m.Close())
		}
		m.from = append(m.from, &storeInput{u: u})
	}
	return m, nil
}

// Close closes all stores.
func (m *Merger) Close() (err error) {
	for _, s := range m.from {
		err = errors.Join(err, s.u.Close())
	}
	return err
}

// Next reads the next record and the header that it came under, io.EOF at the end of all.
func (m *Merger) Next(rec *Record, h *Header) error {
	var best *storeInput
	for _, s := range m.from {
		if !s.full {
			err := s.u.Next(&s.head)
			if errors.Is(err, io.EOF) {
				continue
			}
			if err != nil {
				return err
			}
			s.full, s.h = true, s.u.header
		}
		if best == nil || s.head.At < best.head.At {
			best = s
		}
	}
	if best == nil {
		return io.EOF
	}
	*rec, *h, best.full = best.head, best.h, false
	return nil
}

// Unix is a Time as a time.Time in UTC.
func Unix(t Time) time.Time { return time.Unix(0, int64(t)).UTC() }
