package store

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// diskAgain is the pause before a write that failed is tried again.
	diskAgain = 50 * time.Millisecond
	// diskToldEvery is how often that is logged.
	diskToldEvery = 10 * time.Second
)

var errClosing = errors.New("the store is closing over a disk that fails")

// patient is a Disk whose stable writes wait for a disk that fails for a while, full or
// with input and output errors: Raft ends the process where it cannot save its term. Log
// writes fail at once, as Raft steps back then and acknowledges nothing.
type patient struct {
	Disk
	stop <-chan struct{} // closed when the store closes: nothing waits then
	log  zerolog.Logger
	// given up: a stable write was left out while the store closes. Nothing more is
	// written, so that no vote or entry is granted on top of it.
	givenUp atomic.Bool
}

// Set implements raft.StableStore.
func (p *patient) Set(key, value []byte) error {
	return p.write(func() error { return p.Disk.Set(key, value) })
}

// SetUint64 implements raft.StableStore. It says yes to what is given up, as Raft would
// end the process else; what counts on it, a vote, needs Set as well, which fails.
func (p *patient) SetUint64(key []byte, value uint64) error {
	err := p.write(func() error { return p.Disk.SetUint64(key, value) })
	if errors.Is(err, errClosing) {
		return nil
	}
	return err
}

func (p *patient) write(try func() error) error {
	var told time.Time
	for !p.givenUp.Load() {
		err := try()
		if err == nil {
			return nil
		}
		if now := time.Now(); now.Sub(told) >= diskToldEvery {
			told = now
			p.log.Error().Str("event", "store-disk").Err(err).Msg("the store's disk fails; configuration waits, serving goes on")
		}
		select {
		case <-p.stop:
			p.givenUp.Store(true)
		case <-time.After(diskAgain):
		}
	}
	return errClosing
}
