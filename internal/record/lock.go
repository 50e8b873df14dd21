package record

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// lockFileName is the file that the process writing to a store holds locked.
const lockFileName = "lock"

// ErrInUse is wrapped by the error that Open returns if another process writes to the store.
var ErrInUse = errors.New("in use by another process")

// lockStore acquires the writer's lock on a store. The lock is held until the returned file is
// closed.
func lockStore(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFileName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("record: %s is %w; each instance needs its own directory: %w", dir, ErrInUse, err)
	}
	return f, nil
}

// Live reports whether a process is writing to a store, that is, holds the writer's lock.
func Live(dir string) bool {
	f, err := os.OpenFile(filepath.Join(dir, lockFileName), os.O_RDONLY, 0)
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }()
	return syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) != nil
}

// hasLockFile reports whether a directory contains a lock file. A store has one even before its first segment.
func hasLockFile(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, lockFileName))
	return err == nil
}
