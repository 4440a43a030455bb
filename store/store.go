package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/rs/zerolog"
)

const (
	applyTimeout        = 3 * time.Second // for Raft to take a command, and for each operation on a connection
	retainedSnapshots   = 2               // snapshots kept on disk
	maxPooledConns      = 3               // idle connections kept to each peer
	rosterWriteInterval = time.Second     // minimum time between writes of the roster
)

// Peer is one instance of the store: its name and its addresses for Raft and Flight.
type Peer struct {
	Name, Raft, Flight string
}

// Options configure a Store.
type Options struct {
	Name  string // the name of this instance
	Dir   string // the directory of its data, created if it does not exist
	Peers []Peer // all instances, including this one
	// OnChange is called with each new state, also while Open restores a snapshot and Raft
	// replays the log. It must not block. nil: no calls.
	OnChange func(State)
	Log      zerolog.Logger
	// Listener, if set, is used instead of a new listener at this peer's Raft address.
	Listener net.Listener
	// WrapDisk, if set, wraps the database on disk, in tests of a disk that fails.
	WrapDisk func(Disk) Disk
	// TuneRaft, if set, modifies the configuration of Raft before it is used, in tests that
	// need short timeouts.
	TuneRaft func(*raft.Config)
}

// Disk is Raft's persistent storage apart from its snapshots.
type Disk interface {
	raft.LogStore
	raft.StableStore
}

// NotLeaderError reports that this instance is not the leader, which a write must go to.
// Leader is the zero Peer if no leader is known.
type NotLeaderError struct{ Leader Peer }

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader.Name == "" {
		return "no leader is known now"
	}
	return fmt.Sprintf("not the leader: that is %s at %s", e.Leader.Name, e.Leader.Flight)
}

// ErrOutcomeUnknown is the error of a change during which this instance lost the leadership.
// Another instance may have replicated the change, so it may have taken effect or may still
// do so.
var ErrOutcomeUnknown = errors.New("the leadership was lost under the change, which may have taken effect or may yet: read the configuration")

// Status is an instance's view of the group.
type Status struct {
	Name          string `json:"name"`
	Role          string `json:"role"`       // Raft's state: Follower, Candidate, Leader or Shutdown
	Leader        string `json:"leader"`     // the leader's name; empty: not known
	Term          string `json:"term"`       // Raft's term, in digits
	LastIndex     uint64 `json:"last_index"` // the index of the last log entry or snapshot
	ConfigVersion uint64 `json:"config_version"`
}

// Store is one instance of the replicated store.
type Store struct {
	opts         Options
	stateMachine *stateMachine
	raft         *raft.Raft
	startedRaft  atomic.Pointer[raft.Raft] // raft, for goroutines that run before it is set; nil until then
	disk         Disk
	snapshots    raft.SnapshotStore
	joining      *joiningMark
	closers      []func() error
	stop         chan struct{}
	wg           sync.WaitGroup

	diskErrorLoggedAt time.Time // used by maintain alone

	told          *toldRoster
	rosterChanged chan struct{}
}

// Open starts an instance with the data in its directory. It runs until Close.
func Open(o Options) (*Store, error) {
	if o.OnChange == nil {
		o.OnChange = func(State) {}
	}
	file := &jsonFile[appliedState]{filepath.Join(o.Dir, "applied.json"), "applied state"}
	s := &Store{
		opts: o, stateMachine: &stateMachine{save: file.save, onChange: o.OnChange},
		stop: make(chan struct{}), rosterChanged: make(chan struct{}, 1),
	}
	if err := s.restoreApplied(file); err != nil {
		return nil, fmt.Errorf("opening the store: %w", err)
	}
	if err := s.open(); err != nil {
		return nil, errors.Join(fmt.Errorf("opening the store: %w", err), s.closeResources())
	}
	s.told = openToldRoster(o.Dir, o.Log)
	s.wg.Go(s.maintain)
	s.wg.Go(func() { s.told.keepSaved(s.stop) })
	return s, nil
}

// restoreApplied publishes the state that this instance had applied when it was last running. Raft
// applies its log again on top of the defaults.
func (s *Store) restoreApplied(file *jsonFile[appliedState]) error {
	saved, err := file.load(appliedState{State: State{Config: Defaults()}})
	if err != nil {
		return err
	}
	s.stateMachine.applied = appliedState{State: State{Config: Defaults()}}
	s.stateMachine.published = saved
	if saved.Index > 0 {
		s.opts.OnChange(saved.State)
	}
	return nil
}

func (s *Store) open() error {
	o := &s.opts
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return err
	}
	var own Peer
	servers := raft.Configuration{}
	for _, p := range o.Peers {
		if p.Name == o.Name {
			own = p
		}
		servers.Servers = append(servers.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Raft)})
	}
	if own.Name == "" {
		return fmt.Errorf("%q is not among the peers", o.Name)
	}
	raftLogger := o.Log.With().Str("event", "raft").Logger()
	log := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: raftLogger, DisableTime: true})
	if o.Listener == nil {
		l, err := net.Listen("tcp", own.Raft)
		if err != nil {
			return err
		}
		o.Listener = l
	}
	network := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: &streamLayer{newStatusListener(o.Listener, len(o.Peers), s.answerPeer)}, MaxPool: maxPooledConns, Timeout: applyTimeout, Logger: log,
	})
	s.closers = append(s.closers, network.Close)
	db, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(o.Dir, "raft.db")})
	if err != nil {
		return err
	}
	s.closers = append(s.closers, db.Close)
	disk := Disk(db)
	if o.WrapDisk != nil {
		disk = o.WrapDisk(disk)
	}
	disk = &retryingDisk{Disk: disk, stop: s.stop, log: o.Log}
	s.disk = disk
	snaps, err := raft.NewFileSnapshotStoreWithLogger(o.Dir, retainedSnapshots, log)
	if err != nil {
		return err
	}
	cfg := raft.DefaultConfig()
	cfg.LocalID, cfg.Logger = raft.ServerID(o.Name), log
	cfg.SnapshotThreshold, cfg.TrailingLogs = 1024, 256
	if o.TuneRaft != nil {
		o.TuneRaft(cfg)
	}
	hasState, err := raft.HasExistingState(disk, disk, snaps)
	if err != nil {
		return err
	}
	s.snapshots = snaps
	if s.joining, err = loadJoiningMark(o.Dir, hasState); err != nil {
		return err
	}
	transport := newGatedTransport(network, s)
	s.closers = append(s.closers, transport.stop)
	if s.raft, err = raft.NewRaft(cfg, s.stateMachine, disk, disk, snaps, transport); err != nil {
		return err
	}
	s.startedRaft.Store(s.raft)
	s.wg.Go(s.awaitCatchUp)
	if !hasState && o.Name == o.Peers[0].Name {
		s.wg.Go(func() { s.bootstrap(servers) })
	}
	return nil
}

// State returns this instance's copy of the state, which may lag behind the leader's. It never goes
// back, over restarts too.
func (s *Store) State() State { return s.stateMachine.get() }

// Leader returns the leader, or false if none is known.
func (s *Store) Leader() (Peer, bool) {
	_, id := s.raft.LeaderWithID()
	for _, p := range s.opts.Peers {
		if p.Name == string(id) {
			return p, true
		}
	}
	return Peer{}, false
}

// Status returns this instance's view of the group.
func (s *Store) Status() Status {
	leader, _ := s.Leader()
	return Status{
		Name: s.opts.Name, Role: s.raft.State().String(), Leader: leader.Name, Term: s.raft.Stats()["term"],
		LastIndex: s.raft.LastIndex(), ConfigVersion: s.State().Config.Version,
	}
}

// SetConfig validates a change, proposes it and returns the new configuration. It returns a
// NotLeaderError at any instance but the leader, ErrInvalid or ErrConflict for a change that is
// rejected, and ErrOutcomeUnknown if it is not known whether the change has taken effect.
func (s *Store) SetConfig(patch Patch) (Config, error) {
	if err := patch.Validate(); err != nil {
		return Config{}, err
	}
	state, err := s.propose(command{Patch: &patch})
	return state.Config, err
}

// propose replicates a command and returns the state after it.
func (s *Store) propose(c command) (State, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return State{}, fmt.Errorf("encoding a command: %w", err)
	}
	future := s.raft.Apply(data, applyTimeout)
	if err := future.Error(); err != nil {
		if errors.Is(err, raft.ErrLeadershipLost) {
			return State{}, fmt.Errorf("proposing a command: %w", ErrOutcomeUnknown)
		}
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipTransferInProgress) {
			leader, _ := s.Leader()
			return State{}, fmt.Errorf("proposing a command: %w", &NotLeaderError{leader})
		}
		return State{}, fmt.Errorf("proposing a command: %w", err)
	}
	switch result := future.Response().(type) {
	case State:
		return result, nil
	case error:
		return State{}, result
	default:
		return State{}, fmt.Errorf("applying a command: unexpected result %T", result)
	}
}

// ToldRoster returns the list that this instance's broker had recorded last when it was last
// running; one without nodes if there is none.
func (s *Store) ToldRoster() Roster { return s.told.restored }

// RecordRoster sets the current roster of this instance's broker and does not block. It is saved on
// this instance's disk. While this instance is the leader, the latest roster is also written to the
// store if it is newer than the stored one, once per rosterWriteInterval at most.
func (s *Store) RecordRoster(r Roster) {
	s.told.record(r)
	select {
	case s.rosterChanged <- struct{}{}:
	default:
	}
}

// maintain proposes the latest roster while this instance is the leader, and saves an applied state
// that the disk did not take, until the store closes.
func (s *Store) maintain() {
	tick := time.NewTicker(rosterWriteInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-s.rosterChanged:
		case <-tick.C: // this instance may have become the leader in the meantime
		}
		if err := s.stateMachine.saveIfUnsaved(); err != nil {
			s.logDiskError(err)
		}
		r, stored := s.told.latest(), s.State().Roster
		if r == nil || s.raft.State() != raft.Leader || !r.replaces(&stored) {
			continue
		}
		if _, err := s.propose(command{Roster: r}); err != nil {
			s.opts.Log.Warn().Str("event", "store-roster").Err(err).Msg("failed to store the roster")
		} else {
			s.told.markStored(r)
		}
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
	}
}

// logDiskError logs, once per diskLogInterval at most, that the applied state could not be saved. Only
// maintain calls it.
func (s *Store) logDiskError(err error) {
	if now := time.Now(); now.Sub(s.diskErrorLoggedAt) >= diskLogInterval {
		s.diskErrorLoggedAt = now
		s.opts.Log.Error().Str("event", "store-disk").Err(err).Msg("saving the applied configuration failed; a restart would show an older one until a leader is known")
	}
}

// Close transfers the leadership if this instance has it, and shuts the instance down.
func (s *Store) Close() error {
	close(s.stop)
	s.wg.Wait()
	if s.raft.State() == raft.Leader && len(s.opts.Peers) > 1 {
		if err := s.raft.LeadershipTransfer().Error(); err != nil {
			s.opts.Log.Info().Str("event", "store-close").Err(err).Msg("failed to transfer the leadership")
		}
	}
	err := s.raft.Shutdown().Error()
	return errors.Join(err, s.closeResources())
}

// closeResources closes what open has opened, in reverse order.
func (s *Store) closeResources() (err error) {
	for i := len(s.closers) - 1; i >= 0; i-- {
		err = errors.Join(err, s.closers[i]())
	}
	return err
}
