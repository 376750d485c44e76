// Package wholefile writes files that are there whole or not at all.
package wholefile

import (
	"errors"
	"io"
	"os"
	"path/filepath"
)

// Write puts what fill writes in the place of a file. After an error the file is
// what it was before. The new one is on disk, and readable by its owner only.
func Write(path string, fill func(io.Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return err
	}
	err = fill(f)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	return os.Rename(f.Name(), path)
}
