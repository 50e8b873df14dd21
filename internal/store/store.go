// Package store keeps small durable state in a directory: one value per name, replaced atomically, with previous
// versions as a fallback. A crash at any moment leaves the old value or the new one, never a partial one. The package
// does not interpret the values.
package store

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

// maxVersions is the number of versions that are kept per name, including the current one.
const maxVersions = 3

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 256 << 20

// Errors of Load.
var (
	// ErrNotFound means that a name has no value.
	ErrNotFound = errors.New("store: value not found")
	// ErrNoIntactValue means that all versions of a value are damaged.
	ErrNoIntactValue = errors.New("all versions are damaged")
)

// A Store is a directory of values. Only one process and one goroutine may use it at a time.
type Store struct{ fs FS }

// A Value is one version of a named value.
type Value struct {
	Serial       uint64 // increases with each Save
	Data         []byte
	DamagedFiles []string // damaged files of newer versions, each with its error
}

// Open returns the store in a directory and creates the directory if necessary.
func Open(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return &Store{directory(dir)}, nil
}

// OpenFS returns a store on the given file system.
func OpenFS(fs FS) *Store { return &Store{fs} }

// Save stores a value and returns its serial. If it returns nil, the value is durable; if it returns an error, the
// previous value is still intact.
func (s *Store) Save(name string, data []byte) (uint64, error) {
	if !isValidName(name) {
		return 0, fmt.Errorf("store: invalid name %q: use 1 to %d lower-case letters and digits",
			name, maxNameBytes)
	}
	if len(data) > MaxValueBytes {
		return 0, fmt.Errorf("store: %s: value of %d bytes exceeds the maximum of %d", name, len(data), MaxValueBytes)
	}
	older, err := s.serials(name)
	if err != nil {
		return 0, err
	}
	serial := uint64(1)
	if len(older) > 0 {
		serial = older[0] + 1 // the serial of a damaged version is not reused
	}
	if err := s.write(name, serial, data); err != nil {
		return 0, fmt.Errorf("store: %s: %w", name, err)
	}
	s.removeOld(name, older[min(len(older), maxVersions-1):])
	return serial, nil
}

// write writes and syncs a temporary file, renames it to the final name and syncs the directory.
func (s *Store) write(name string, serial uint64, data []byte) error {
	temporary := name + temporarySuffix
	if err := s.fs.Write(temporary, encode(serial, data)); err != nil {
		return err
	}
	if err := s.fs.Rename(temporary, fileName(name, serial)); err != nil {
		return err
	}
	return s.fs.SyncDir()
}

// removeOld removes versions until the first failure, which it ignores: the new value is already durable, and the next
// Save tries again.
func (s *Store) removeOld(name string, serials []uint64) {
	for _, serial := range serials {
		if s.remove(name, serial) != nil {
			return
		}
	}
}

// remove removes one version. It is not an error if the version does not exist.
func (s *Store) remove(name string, serial uint64) error {
	err := s.fs.Remove(fileName(name, serial))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

// Load returns the newest intact version of a value. Value.DamagedFiles lists the newer files that are damaged; the
// caller must log them. The error is ErrNotFound if there is no version, and wraps ErrNoIntactValue if all are damaged.
func (s *Store) Load(name string) (Value, error) {
	var v Value
	serials, err := s.serials(name)
	if err != nil {
		return v, err
	}
	for _, serial := range serials {
		data, err := s.read(name, serial)
		if err == nil {
			v.Serial = serial
			v.Data = data
			return v, nil
		}
		v.DamagedFiles = append(v.DamagedFiles, fmt.Sprintf("%s: %v", fileName(name, serial), err))
	}
	if len(v.DamagedFiles) > 0 {
		return v, fmt.Errorf("store: %s: %w: %s", name, ErrNoIntactValue, strings.Join(v.DamagedFiles, "; "))
	}
	return v, ErrNotFound
}

// History returns the intact versions of a value that are older than the serial, newest first.
func (s *Store) History(name string, serial uint64) []Value {
	serials, err := s.serials(name)
	if err != nil {
		return nil
	}
	var older []Value
	for _, n := range serials {
		if n >= serial {
			continue
		}
		if data, err := s.read(name, n); err == nil {
			older = append(older, Value{Serial: n, Data: data})
		}
	}
	return older
}

func (s *Store) read(name string, serial uint64) ([]byte, error) {
	file, err := s.fs.Read(fileName(name, serial))
	if err != nil {
		return nil, err
	}
	return decode(file, serial)
}

// Delete removes all versions of a value.
func (s *Store) Delete(name string) error {
	serials, err := s.serials(name)
	if err != nil {
		return err
	}
	for _, serial := range serials {
		if err := s.remove(name, serial); err != nil {
			return fmt.Errorf("store: %s: %w", name, err)
		}
	}
	return nil
}

// Names returns the sorted names of all values.
func (s *Store) Names() ([]string, error) {
	files, err := s.fs.List()
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	var names []string
	for _, file := range files {
		name, isValue := nameOf(file)
		if isValue && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}
