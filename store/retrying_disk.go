package store

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// diskRetryInterval is the pause before a failed write is retried.
	diskRetryInterval = 50 * time.Millisecond
	// diskLogInterval is the minimum time between two log lines about failed writes.
	diskLogInterval = 10 * time.Second
)

// errDiskFailedAtClose is the error of a write that was abandoned.
var errDiskFailedAtClose = errors.New("the store's disk failed until the store was closed")

// retryingDisk is a Disk that retries failed writes to Raft's stable store, which has its term
// and votes, until they succeed or the store closes. Raft panics if it cannot save its term, so
// a disk that is full or has I/O errors for a while would end the process. Writes to the log
// fail at once: Raft then steps down and acknowledges nothing.
type retryingDisk struct {
	Disk
	stop <-chan struct{} // closed when the store closes, which ends all retries
	log  zerolog.Logger
	// abandoned is set once a write to the stable store was abandoned because the store
	// closes. No further one is attempted, so that no vote or entry depends on the missing one.
	abandoned atomic.Bool
}

// Set implements raft.StableStore.
func (d *retryingDisk) Set(key, value []byte) error {
	return d.retry(func() error { return d.Disk.Set(key, value) })
}

// SetUint64 implements raft.StableStore. It reports success for an abandoned write, as Raft
// would panic otherwise. This is safe because a vote, which depends on the saved term, also
// needs Set, which fails.
func (d *retryingDisk) SetUint64(key []byte, value uint64) error {
	err := d.retry(func() error { return d.Disk.SetUint64(key, value) })
	if errors.Is(err, errDiskFailedAtClose) {
		return nil
	}
	return err
}

// retry calls write until it succeeds. It returns errDiskFailedAtClose if the store closes
// first.
func (d *retryingDisk) retry(write func() error) error {
	var lastLogged time.Time
	for !d.abandoned.Load() {
		err := write()
		if err == nil {
			return nil
		}
		if now := time.Now(); now.Sub(lastLogged) >= diskLogInterval {
			lastLogged = now
			d.log.Error().Str("event", "store-disk").Err(err).Msg("writing to the store's disk failed; configuration changes are delayed, queries are still served")
		}
		select {
		case <-d.stop:
			d.abandoned.Store(true)
		case <-time.After(diskRetryInterval):
		}
	}
	return errDiskFailedAtClose
}
