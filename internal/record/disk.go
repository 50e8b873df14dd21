package record

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// A Disk is the subset of file system operations that a Log uses for its segments. Names do not include a directory.
// Tests replace it to inject failures.
type Disk interface {
	// Create creates a file for appending. It fails if the file exists.
	Create(name string) (File, error)
	// Remove removes a file.
	Remove(name string) error
	// SyncDir makes the creation and removal of files durable.
	SyncDir() error
}

// A File is a segment that is being written.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// A directory is the path of an operating system directory that implements Disk.
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

// gapCauseOf returns the gap cause for an error of a Disk or File.
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
