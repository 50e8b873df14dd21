package record

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
)

// A Disk is what a Log needs of a file system; names are without a folder. Tests put
// failing ones in place of the real one.
type Disk interface {
	Create(name string) (File, error) // fails if the name is there
	Remove(name string) error
	SyncDir() error
}

// A File is a segment that is written.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// directory is a Disk on a real folder.
type directory string

func (d directory) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(string(d), name), os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
}

func (d directory) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

func (d directory) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// gapCauseOf sorts an error of the disk.
func gapCauseOf(err error) GapCause {
	switch {
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		return DiskFull
	case errors.Is(err, syscall.EROFS):
		return DiskReadOnly
	}
	return DiskFailed
}

// Names of files in a store.
const (
	segmentSuffix   = ".rec"
	setAsideSuffix    = ".aside" // behind suffix: a segment that recovery has set aside
	lockFileName = "lock"
)

// A segment is a file of a store as its name tells.
type segment struct {
	name  string
	first uint64
	boot  uint64
	index uint64
	isSetAside bool
}

// segmentName names a segment: names sort as their records do.
func segmentName(first, boot, index uint64) string {
	return fmt.Sprintf("%020d-%016x-%06d%s", first, boot, index, segmentSuffix)
}

func parseSegmentName(name string) (s segment, ok bool) {
	s.name = name
	base, set := strings.CutSuffix(name, setAsideSuffix)
	s.isSetAside = set
	base, ok = strings.CutSuffix(base, segmentSuffix)
	parts := strings.Split(base, "-")
	if !ok || len(parts) != 3 || len(parts[0]) != 20 {
		return s, false
	}
	var errs [3]error
	s.first, errs[0] = strconv.ParseUint(parts[0], 10, 64)
	s.boot, errs[1] = strconv.ParseUint(parts[1], 16, 64)
	s.index, errs[2] = strconv.ParseUint(parts[2], 10, 64)
	return s, errors.Join(errs[:]...) == nil
}

// listSegments lists a store's listSegments in the order of their records.
func listSegments(dir string) ([]segment, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	var all []segment
	for _, e := range entries {
		if s, ok := parseSegmentName(e.Name()); ok && e.Type().IsRegular() {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b segment) int { return strings.Compare(a.name, b.name) })
	return all, nil
}

// lockStore makes a store this process's own until the file is closed.
func lockStore(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFileName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("record: %s is in use by another process; each instance needs a folder of its own: %w", dir, err)
	}
	return f, nil
}

// Live tells whether a process is writing to a store.
func Live(dir string) bool {
	f, err := os.OpenFile(filepath.Join(dir, lockFileName), os.O_RDONLY, 0)
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }()
	return syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) != nil
}
