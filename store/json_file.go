package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// jsonFile keeps a value on disk, as JSON.
type jsonFile[T any] struct {
	path string
	what string // the value, for errors
}

// load returns the saved value, the given one if none has been saved.
func (f *jsonFile[T]) load(value T) (T, error) {
	data, err := os.ReadFile(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return value, nil
	}
	if err != nil {
		return value, fmt.Errorf("reading the %s: %w", f.what, err)
	}
	if err := json.Unmarshal(data, &value); err != nil {
		return value, fmt.Errorf("reading the %s in %s: %w", f.what, f.path, err)
	}
	return value, nil
}

// save replaces the saved value. A process that is killed meanwhile leaves the one before.
func (f *jsonFile[T]) save(value T) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encoding the %s: %w", f.what, err)
	}
	temporary := f.path + ".new"
	if err := writeSynced(temporary, data); err != nil {
		return fmt.Errorf("writing the %s: %w", f.what, err)
	}
	if err := os.Rename(temporary, f.path); err != nil {
		return fmt.Errorf("replacing the %s: %w", f.what, err)
	}
	return syncDir(filepath.Dir(f.path))
}

// writeSynced writes a file and waits until it is on disk.
func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// syncDir waits until the names in a directory are on disk.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
