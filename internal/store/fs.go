package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// An FS is the directory of a Store. File names have no directory part. Tests use an implementation that simulates
// crashes.
type FS interface {
	// Write creates or truncates a file, writes its content and syncs it.
	Write(name string, data []byte) error
	Rename(from, to string) error
	Remove(name string) error
	Read(name string) ([]byte, error)
	// List returns the names of all files, in any order.
	List() ([]string, error)
	// SyncDir makes renames and removals durable.
	SyncDir() error
}

// A directory is an FS in a directory of the operating system.
type directory string

func (d directory) path(name string) string { return filepath.Join(string(d), name) }

func (d directory) Write(name string, data []byte) error {
	file, err := os.OpenFile(d.path(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

func (d directory) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

func (d directory) Remove(name string) error { return os.Remove(d.path(name)) }

// Read rejects files that are larger than any value, so that an unrelated file cannot exhaust the memory.
func (d directory) Read(name string) ([]byte, error) {
	info, err := os.Stat(d.path(name))
	if err != nil {
		return nil, err
	}
	if info.Size() > MaxValueBytes+headerBytes {
		return nil, fmt.Errorf("file of %d bytes exceeds the maximum size of a value", info.Size())
	}
	return os.ReadFile(d.path(name))
}

func (d directory) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

func (d directory) SyncDir() error {
	file, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}
