package record

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// A Disk is the part of a file system that a Log writes to. Names have no directory. Tests replace it to inject
// failures.
type Disk interface {
	// Create creates a file for appending and fails if it exists.
	Create(name string) (File, error)
	// Remove removes a file.
	Remove(name string) error
	// SyncDir makes created and removed names durable.
	SyncDir() error
}

// A File is a segment that is being written.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// A directory is a Disk in a directory of the operating system.
type directory string

// Create implements Disk.
func (d directory) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(string(d), name), os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
}

// Remove implements Disk.
func (d directory) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// SyncDir implements Disk.
func (d directory) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// gapCauseOf classifies an error of a Disk or File.
func gapCauseOf(err error) GapCause {
	switch {
	case err == nil:
		return NoGap
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		return DiskFull
	case errors.Is(err, syscall.EROFS):
		return DiskReadOnly
	default:
		return DiskFailed
	}
}
