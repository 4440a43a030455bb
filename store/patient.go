package store

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// diskAgain is the pause before a write that failed is tried again.
	diskRetryInterval = 50 * time.Millisecond
	// diskToldEvery is how often that is logged.
	diskLogInterval = 10 * time.Second
)

var errDiskFailedAtClose = errors.New("the store is closing over a disk that fails")

// patient is a Disk whose stable writes wait for a disk that fails for a while, full or
// with input and output errors: Raft ends the process where it cannot save its term. Log
// writes fail at once, as Raft steps back then and acknowledges nothing.
type retryingDisk struct {
	Disk
	stop <-chan struct{} // closed when the store closes: nothing waits then
	log  zerolog.Logger
	// given up: a stable write was left out while the store closes. Nothing more is
	// written, so that no vote or entry is granted on top of it.
	abandoned atomic.Bool
}

// Set implements raft.StableStore.
func (d *retryingDisk) Set(key, value []byte) error {
	return d.retry(func() error { return d.Disk.Set(key, value) })
}

// SetUint64 implements raft.StableStore. It says yes to what is given up, as Raft would
// end the process else; what counts on it, a vote, needs Set as well, which fails.
func (d *retryingDisk) SetUint64(key []byte, value uint64) error {
	err := d.retry(func() error { return d.Disk.SetUint64(key, value) })
	if errors.Is(err, errDiskFailedAtClose) {
		return nil
	}
	return err
}

func (d *retryingDisk) retry(write func() error) error {
	var lastLogged time.Time
	for !d.abandoned.Load() {
		err := write()
		if err == nil {
			return nil
		}
		if now := time.Now(); now.Sub(lastLogged) >= diskLogInterval {
			lastLogged = now
			d.log.Error().Str("event", "store-disk").Err(err).Msg("the store's disk fails; configuration waits, serving goes on")
		}
		select {
		case <-d.stop:
			d.abandoned.Store(true)
		case <-time.After(diskRetryInterval):
		}
	}
	return errDiskFailedAtClose
}
