package record

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// A Store is the store of one instance as found on disk: a directory, or several directories that are copies of the
// store made at different times.
type Store struct {
	Name  string   // name of the instance; "": unknown
	ID    uint64   // Header.Store; 0: unknown
	Dirs  []string // directories of the copies
	Files int      // number of segments in all copies
	Bytes int64    // total size of these segments
	Live  bool     // a process is writing to one of the copies
}

// agentStoreDir is the subdirectory of an instance's directory in which the agent stores the records.
const agentStoreDir = "records"

// Find returns the stores in the given directories, sorted by name. Each directory is a store or contains stores as
// subdirectories. Copies of one store are recognized by its id and returned as one Store. A store without a readable
// header has no name; reading it reports the damage.
func Find(paths ...string) ([]Store, error) {
	var dirs []string
	for _, path := range paths {
		found, err := findStoreDirs(path)
		if err != nil {
			return nil, err
		}
		dirs = append(dirs, found...)
	}
	return groupCopies(dirs)
}

// findStoreDirs returns path if it contains segments, otherwise the stores in its subdirectories, or path if there are
// none and it is a store without segments.
func findStoreDirs(path string) ([]string, error) {
	own, err := listSegments(path)
	if err != nil {
		return nil, err
	}
	if len(own) > 0 {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	var found []string
	for _, entry := range entries {
		subdirectory := filepath.Join(path, entry.Name())
		if dir, isStore := storeDirIn(subdirectory); isStore {
			found = append(found, dir)
		}
	}
	if len(found) == 0 && hasLockFile(path) {
		return []string{path}, nil
	}
	return found, nil
}

// storeDirIn returns dir if it is a store, or else the subdirectory that the agent uses if that one is a store.
func storeDirIn(dir string) (storeDir string, isStore bool) {
	info, err := os.Stat(dir)
	if err != nil || !info.IsDir() {
		return "", false
	}
	own, err := listSegments(dir)
	if err == nil && (len(own) > 0 || hasLockFile(dir)) {
		return dir, true
	}
	nested := filepath.Join(dir, agentStoreDir)
	return nested, hasLockFile(nested)
}

// groupCopies returns the stores in the directories. Directories with the same store id become one Store.
func groupCopies(dirs []string) ([]Store, error) {
	var stores []Store
	seen := make(map[string]bool) // directories with symbolic links resolved
	for _, dir := range dirs {
		resolved, err := filepath.EvalSymlinks(dir)
		if err == nil && seen[resolved] {
			continue
		}
		if err == nil {
			seen[resolved] = true
		}
		s, err := describeStore(dir)
		if err != nil {
			return nil, err
		}
		i := slices.IndexFunc(stores, func(other Store) bool { return s.ID != 0 && other.ID == s.ID })
		if i < 0 {
			stores = append(stores, s)
		} else {
			stores[i].addCopy(&s)
		}
	}
	slices.SortStableFunc(stores, func(a, b Store) int { return cmp.Compare(a.Name, b.Name) })
	return stores, nil
}

// addCopy adds the directories of another copy of the store.
func (s *Store) addCopy(other *Store) {
	s.Dirs = append(s.Dirs, other.Dirs...)
	s.Files += other.Files
	s.Bytes += other.Bytes
	s.Live = s.Live || other.Live
}

// describeStore returns the store in one directory.
func describeStore(dir string) (Store, error) {
	s := Store{Dirs: []string{dir}, Live: Live(dir)}
	all, err := listSegments(dir)
	if err != nil {
		return Store{}, err
	}
	for _, file := range all {
		path := filepath.Join(dir, file.name)
		if info, err := os.Stat(path); err == nil {
			s.Files++
			s.Bytes += info.Size()
		}
		if s.ID == 0 {
			s.Name, s.ID = readStoreIdentity(path)
		}
	}
	return s, nil
}

// readStoreIdentity returns the instance's name and the store's id from the header of a segment, or zero values if the
// header cannot be read.
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
