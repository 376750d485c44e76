package segment

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// FS is a directory of files.
type FS interface {
	// List returns the files with their sizes.
	List() (map[string]int64, error)
	// Create makes a new file for appending; one that exists is an error.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (File, error)
	Remove(name string) error
	// Sync makes sure that created and removed names are on disk.
	Sync() error
}

// File is a file of an FS.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	// Sync returns once all that was written is on disk.
	Sync() error
}

// Dir is an FS in a directory of the operating system.
type Dir string

// MkDir makes the directory if it is not there, and returns it as an FS.
func MkDir(path string) (Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return "", err
	}
	return Dir(path), nil
}

// List returns the files with their sizes.
func (d Dir) List() (map[string]int64, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	out := map[string]int64{}
	for _, e := range entries {
		info, err := e.Info()
		if errors.Is(err, fs.ErrNotExist) {
			continue // removed meanwhile
		}
		if err != nil {
			return nil, err
		}
		if info.Mode().IsRegular() {
			out[e.Name()] = info.Size()
		}
	}
	return out, nil
}

// Create makes a new file for appending.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(string(d), name), os.O_CREATE|os.O_EXCL|os.O_RDWR|os.O_APPEND, 0o600)
}

// Open opens a file for reading.
func (d Dir) Open(name string) (File, error) { return os.Open(filepath.Join(string(d), name)) }

// Remove deletes a file.
func (d Dir) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// Sync syncs the directory.
func (d Dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
