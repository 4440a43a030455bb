package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// appliedFileName is the file in the store's directory with the latest state that this instance has
// applied. Raft does not keep how far an instance had applied its log, and applies it again after a
// restart only once a leader tells how much of it is committed.
const appliedFileName = "applied.json"

// appliedState is a state and the index of the log entry after which it holds.
type appliedState struct {
	Index uint64 `json:"index"` // 0: that of a snapshot which did not record it, or of no entry
	State
}

// appliedFile keeps the latest applied state on disk.
type appliedFile struct{ path string }

// newAppliedFile returns the file of an instance with its data in a directory.
func newAppliedFile(dir string) *appliedFile {
	return &appliedFile{path: filepath.Join(dir, appliedFileName)}
}

// load returns the saved state, the defaults if none has been saved.
func (f *appliedFile) load() (appliedState, error) {
	saved := appliedState{State: State{Config: Defaults()}}
	data, err := os.ReadFile(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return saved, nil
	}
	if err != nil {
		return saved, fmt.Errorf("reading the applied state: %w", err)
	}
	if err := json.Unmarshal(data, &saved); err != nil {
		return saved, fmt.Errorf("reading the applied state in %s: %w", f.path, err)
	}
	return saved, nil
}

// save replaces the saved state. A process that is killed meanwhile leaves the one before.
func (f *appliedFile) save(state appliedState) error {
	data, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("encoding the applied state: %w", err)
	}
	temporary := f.path + ".new"
	if err := writeSynced(temporary, data); err != nil {
		return fmt.Errorf("writing the applied state: %w", err)
	}
	if err := os.Rename(temporary, f.path); err != nil {
		return fmt.Errorf("replacing the applied state: %w", err)
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
