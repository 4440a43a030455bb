// Package store is the daemon's replicated store. It keeps a versioned configuration and the
// last roster, replicated by Raft among a few instances. It does not hold the load and
// health of nodes, which brokers do not share.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"onyxsail/broker"
)

// Config is the configuration that operators may change while the brokers run. Version 0 means
// that none has been set yet.
type Config struct {
	Version    uint64 `json:"version"`
	QueueLimit int    `json:"queue_limit"` // number of inputs waiting for a turn at which new queries are refused
	MaxOpen    int    `json:"max_open"`    // maximum number of open queries and parts; 0: the value in the settings
	LogLevel   string `json:"log_level"`   // debug, info, warn or error
	HandOverMs int    `json:"hand_over_ms"`
}

// Defaults returns the configuration before any was set, with version 0.
func Defaults() Config {
	return Config{QueueLimit: 4096, LogLevel: "info", HandOverMs: 550}
}

// Patch is a change of some fields of the configuration; nil leaves a field as it is. If
// IfVersion is set, the change applies only to that version.
type Patch struct {
	IfVersion  *uint64 `json:"if_version,omitempty"`
	QueueLimit *int    `json:"queue_limit,omitempty"`
	MaxOpen    *int    `json:"max_open,omitempty"`
	LogLevel   *string `json:"log_level,omitempty"`
	HandOverMs *int    `json:"hand_over_ms,omitempty"`
}

// ErrInvalid is the error of a change that is invalid in any state.
var ErrInvalid = errors.New("invalid configuration")

// ErrConflict is the error of a change whose IfVersion is not the current version.
var ErrConflict = errors.New("the configuration has another version")

// Validate checks the fields that the patch sets. Its errors wrap ErrInvalid: a field is out of
// range, or none is set.
func (p *Patch) Validate() error {
	check := func(field string, v *int, low, high int) error {
		if v != nil && (*v < low || *v > high) {
			return fmt.Errorf("%w: %s: got %d, want %d to %d", ErrInvalid, field, *v, low, high)
		}
		return nil
	}
	if p.QueueLimit == nil && p.MaxOpen == nil && p.LogLevel == nil && p.HandOverMs == nil {
		return fmt.Errorf("%w: no field is set", ErrInvalid)
	}
	if p.LogLevel != nil {
		switch *p.LogLevel {
		case "debug", "info", "warn", "error":
		default:
			return fmt.Errorf("%w: log_level: got %q, want debug, info, warn or error", ErrInvalid, *p.LogLevel)
		}
	}
	return errors.Join(check("queue_limit", p.QueueLimit, 16, 1<<16), check("max_open", p.MaxOpen, 0, 1<<20),
		check("hand_over_ms", p.HandOverMs, 0, 10000))
}

// apply returns c with the change applied and its version incremented.
func (p *Patch) apply(c Config) Config {
	setIfPresent(&c.QueueLimit, p.QueueLimit)
	setIfPresent(&c.MaxOpen, p.MaxOpen)
	setIfPresent(&c.LogLevel, p.LogLevel)
	setIfPresent(&c.HandOverMs, p.HandOverMs)
	c.Version++
	return c
}

// setIfPresent sets the target to the value unless the value is nil.
func setIfPresent[T any](target *T, value *T) {
	if value != nil {
		*target = *value
	}
}

// Roster is a list of nodes that a broker has recorded.
type Roster struct {
	Version int64         `json:"version"` // the bits of discovery's unsigned number
	Nodes   []broker.Node `json:"nodes"`
	// Restarted says that discovery's versions began anew since the list that the broker had
	// recorded before.
	Restarted bool `json:"restarted,omitempty"`
}

// Newer reports whether r is newer than another list.
func (r *Roster) Newer(other *Roster) bool {
	return len(other.Nodes) == 0 || uint64(r.Version) > uint64(other.Version)
}

// replaces reports whether r may take the place of another list in the replicated state.
func (r *Roster) replaces(other *Roster) bool {
	return r.Newer(other) || r.Restarted && r.Version != other.Version
}

// State is the replicated state of the store.
type State struct {
	Config Config `json:"config"`
	Roster Roster `json:"roster"`
}

// command is one entry of the Raft log. Exactly one field is set.
type command struct {
	Patch  *Patch  `json:"patch,omitempty"`
	Roster *Roster `json:"roster,omitempty"`
}

// appliedState is a state and the index of the log entry after which it holds. Each instance saves
// the latest that it has applied: Raft does not keep how far that was, and applies the log again
// after a restart only once a leader tells how much of it is committed.
type appliedState struct {
	Index uint64 `json:"index"` // 0: that of a snapshot which did not record it, or of no entry
	State
}

// stateMachine is the state machine to which Raft applies the log. After a restart Raft applies
// again what this instance had applied before: until that is done, the state that it had then is
// the one that is published, so that the configuration never goes back.
type stateMachine struct {
	saving    sync.Mutex // held while a state is saved; taken before mu
	mu        sync.Mutex
	applied   appliedState // after the latest entry that Raft applied
	published appliedState // what this instance shows
	unsaved   bool         // published is not on disk yet
	save      func(appliedState) error
	onChange  func(State)
}

// get returns the published state.
func (m *stateMachine) get() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.published.State
}

// setApplied sets the state after an entry, or of a snapshot, and publishes it if it is newer than
// the published one. Raft calls it from one goroutine.
func (m *stateMachine) setApplied(state appliedState) {
	m.mu.Lock()
	m.applied = state
	newer := m.isNewer(state)
	m.mu.Unlock()
	if newer {
		m.publish(state)
		m.onChange(state.State)
	}
}

// isNewer reports whether a state comes after the published one; m.mu is held. A snapshot of an
// earlier release has no index.
func (m *stateMachine) isNewer(state appliedState) bool {
	if state.Index == 0 {
		return state.Config.Version > m.published.Config.Version
	}
	return state.Index > m.published.Index
}

// publish saves a state and then publishes it. If the disk does not take it, saveIfUnsaved does so
// later.
func (m *stateMachine) publish(state appliedState) {
	m.saving.Lock()
	defer m.saving.Unlock()
	err := m.save(state)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.published, m.unsaved = state, err != nil
}

// saveIfUnsaved saves the published state if that has not been possible yet. It returns the error of
// the attempt.
func (m *stateMachine) saveIfUnsaved() error {
	m.saving.Lock()
	defer m.saving.Unlock()
	m.mu.Lock()
	state, unsaved := m.published, m.unsaved
	m.mu.Unlock()
	if !unsaved {
		return nil
	}
	if err := m.save(state); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unsaved = false
	return nil
}

// Apply implements raft.FSM. It returns the new State, or an error that leaves the state as it
// was. It must have the same result on every instance, so it depends only on the state and the
// command.
func (m *stateMachine) Apply(l *raft.Log) any {
	var c command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return fmt.Errorf("log entry %d: %w", l.Index, err)
	}
	m.mu.Lock()
	s := m.applied.State
	m.mu.Unlock()
	switch {
	case c.Patch != nil:
		if v := c.Patch.IfVersion; v != nil && *v != s.Config.Version {
			return fmt.Errorf("%w: %d, not %d", ErrConflict, s.Config.Version, *v)
		}
		s.Config = c.Patch.apply(s.Config)
	case c.Roster != nil && c.Roster.replaces(&s.Roster): // a new leader may propose before it has applied all entries
		s.Roster = *c.Roster
	}
	m.setApplied(appliedState{Index: l.Index, State: s})
	return s
}

// Snapshot implements raft.FSM.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return snapshot(m.applied), nil
}

// Restore implements raft.FSM.
func (m *stateMachine) Restore(r io.ReadCloser) error {
	defer r.Close()
	var s appliedState
	if err := json.NewDecoder(r).Decode(&s); err != nil {
		return fmt.Errorf("reading a snapshot: %w", err)
	}
	m.setApplied(s)
	return nil
}

// snapshot is a copy of the state that Raft writes to disk or sends to a follower.
type snapshot appliedState

// Persist implements raft.FSMSnapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(appliedState(s)); err != nil {
		_ = sink.Cancel()
		return fmt.Errorf("writing a snapshot: %w", err)
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (snapshot) Release() {}
