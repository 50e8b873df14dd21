// Package store keeps small durable state: one value under a name, saved whole, with the values
// before it to fall back on. A crash at any moment leaves the old value or the new one, never a
// part of either. The package does not know the meaning of what it keeps.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// keep is how many values of a name are there: the one in force and those to fall back on.
const keep = 3

// MaxValueBytes bounds a value.
const MaxValueBytes = 256 << 20

// A FS is what a Store needs of a file system; names are without a folder. Tests put one in its
// place that crashes.
type FS interface {
	Write(name string, data []byte) error // makes or empties the file, writes and syncs it
	Rename(from, to string) error
	Remove(name string) error
	Read(name string) ([]byte, error)
	List() ([]string, error)
	SyncDir() error
}

// Layout of a file: magic 8, serial 8, length 8, CRC32C of all that and the data 4, data.
const headSize = 28

var (
	magic      = [8]byte{'O', 'L', 'V', 'S', 'T', 'O', 'R', 1}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

const (
	suffix = ".value"
	aside  = ".writing"
)

// ErrNotFound tells that no value is kept under a name.
var ErrNotFound = errors.New("store: nothing is kept under that name")

// A Store is a folder of values. It is for one process and one goroutine at a time.
type Store struct{ fs FS }

// Open makes the folder if it is not there.
func Open(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return &Store{folder(dir)}, nil
}

// OpenFS makes a Store on another file system.
func OpenFS(fs FS) *Store { return &Store{fs} }

// A Value is what is kept.
type Value struct {
	Serial uint64 // grows with each Save
	Data   []byte
	Bad    []string // later files that were torn or damaged and passed over
}

func fileName(name string, serial uint64) string {
	return fmt.Sprintf("%s-%020d%s", name, serial, suffix)
}

// usable names are plain: one must not lead out of the folder, nor look like another's file.
func usable(name string) bool {
	return name != "" && len(name) < 64 && !strings.ContainsFunc(name, func(c rune) bool { return (c < 'a' || c > 'z') && (c < '0' || c > '9') })
}

// serials are those of a name's files, the latest first.
func (s *Store) serials(name string) ([]uint64, error) {
	files, err := s.fs.List()
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	var all []uint64
	for _, f := range files {
		if rest, ok := strings.CutPrefix(f, name+"-"); ok {
			if digits, ok := strings.CutSuffix(rest, suffix); ok && len(digits) == 20 {
				if n, err := strconv.ParseUint(digits, 10, 64); err == nil {
					all = append(all, n)
				}
			}
		}
	}
	slices.Sort(all)
	slices.Reverse(all)
	return all, nil
}

// Save keeps a value. When it returns nil the value survives a crash; when it returns an error the
// value before it is still there. The steps: written aside and synced, switched by a rename, the
// folder synced; only then do values past those to fall back on go.
func (s *Store) Save(name string, data []byte) (uint64, error) {
	if !usable(name) {
		return 0, fmt.Errorf("store: %q can't be a name: small letters and digits, at most 63", name)
	}
	if len(data) > MaxValueBytes {
		return 0, fmt.Errorf("store: %s: %d bytes are more than %d", name, len(data), MaxValueBytes)
	}
	all, err := s.serials(name)
	if err != nil {
		return 0, err
	}
	serial := uint64(1)
	if len(all) > 0 {
		serial = all[0] + 1 // also behind one that is damaged: its number is not used again
	}
	tmp := name + aside
	if err := s.fs.Write(tmp, encode(serial, data)); err != nil {
		return 0, fmt.Errorf("store: %s: %w", name, err)
	}
	if err := s.fs.Rename(tmp, fileName(name, serial)); err != nil {
		return 0, fmt.Errorf("store: %s: %w", name, err)
	}
	if err := s.fs.SyncDir(); err != nil {
		return 0, fmt.Errorf("store: %s: %w", name, err)
	}
	for _, old := range all[min(len(all), keep-1):] {
		if err := s.fs.Remove(fileName(name, old)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return serial, nil //nolint:nilerr // the value is safe; what is too much goes next time
		}
	}
	return serial, nil
}

// Load finds the latest value that is whole. Files that are not are passed over and named: who
// loads must say so loudly.
func (s *Store) Load(name string) (v Value, err error) {
	all, err := s.serials(name)
	if err != nil {
		return v, err
	}
	for _, serial := range all {
		file := fileName(name, serial)
		b, err := s.fs.Read(file)
		if err == nil {
			if v.Data, err = decode(b, serial); err == nil {
				v.Serial = serial
				return v, nil
			}
		}
		v.Bad = append(v.Bad, fmt.Sprintf("%s: %v", file, err))
	}
	if len(v.Bad) > 0 {
		return v, fmt.Errorf("store: %s: no value is whole: %s", name, strings.Join(v.Bad, "; "))
	}
	return v, ErrNotFound
}

// History finds the values of a name that are whole and older than a serial, the latest first.
func (s *Store) History(name string, serial uint64) (all []Value) {
	serials, err := s.serials(name)
	if err != nil {
		return nil
	}
	for _, n := range serials {
		if n >= serial {
			continue
		}
		if b, err := s.fs.Read(fileName(name, n)); err == nil {
			if data, err := decode(b, n); err == nil {
				all = append(all, Value{Serial: n, Data: data})
			}
		}
	}
	return all
}

// Delete removes all values of a name.
func (s *Store) Delete(name string) error {
	all, err := s.serials(name)
	if err != nil {
		return err
	}
	for _, n := range all {
		if err := s.fs.Remove(fileName(name, n)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("store: %s: %w", name, err)
		}
	}
	return nil
}

// Names are those that values are kept under.
func (s *Store) Names() ([]string, error) {
	files, err := s.fs.List()
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	var all []string
	for _, f := range files {
		if name, _, ok := strings.Cut(f, "-"); ok && strings.HasSuffix(f, suffix) && usable(name) && !slices.Contains(all, name) {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all, nil
}

func encode(serial uint64, data []byte) []byte {
	b := make([]byte, headSize, headSize+len(data))
	copy(b, magic[:])
	binary.LittleEndian.PutUint64(b[8:], serial)
	binary.LittleEndian.PutUint64(b[16:], uint64(len(data)))
	binary.LittleEndian.PutUint32(b[24:], sum(b, data))
	return append(b, data...)
}

func sum(head, data []byte) uint32 {
	return crc32.Update(crc32.Checksum(head[:24], castagnoli), castagnoli, data)
}

func decode(b []byte, serial uint64) ([]byte, error) {
	switch {
	case len(b) < headSize || [8]byte(b) != magic:
		return nil, errors.New("no value of this program")
	case binary.LittleEndian.Uint64(b[16:]) != uint64(len(b)-headSize):
		return nil, fmt.Errorf("torn: %d bytes of %d", len(b)-headSize, binary.LittleEndian.Uint64(b[16:]))
	case binary.LittleEndian.Uint64(b[8:]) != serial:
		return nil, errors.New("under another's name")
	case binary.LittleEndian.Uint32(b[24:]) != sum(b, b[headSize:]):
		return nil, errors.New("damaged")
	}
	return b[headSize:], nil
}

// folder is the real file system.
type folder string

func (f folder) at(name string) string { return filepath.Join(string(f), name) }

func (f folder) Write(name string, data []byte) error {
	file, err := os.OpenFile(f.at(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

func (f folder) Rename(from, to string) error { return os.Rename(f.at(from), f.at(to)) }
func (f folder) Remove(name string) error     { return os.Remove(f.at(name)) }

func (f folder) Read(name string) ([]byte, error) {
	st, err := os.Stat(f.at(name))
	if err != nil {
		return nil, err
	}
	if st.Size() > MaxValueBytes+headSize { // no value of ours; it must not fill memory
		return nil, fmt.Errorf("%d bytes are too much", st.Size())
	}
	return os.ReadFile(f.at(name))
}

func (f folder) List() ([]string, error) {
	entries, err := os.ReadDir(string(f))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

func (f folder) SyncDir() error {
	d, err := os.Open(string(f))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
