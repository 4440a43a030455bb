package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/rs/zerolog"
)

const (
	applyWithin   = 3 * time.Second
	keepSnapshots = 2
	maxPool       = 3
	rosterEvery   = time.Second // between writes of the roster at most
)

// Peer is one instance.
type Peer struct {
	Name, Raft, Flight string
}

// Options make a Store.
type Options struct {
	Name  string
	Dir   string
	Peers []Peer // all instances, this one too
	// Changed is called with each new state, also while Open replays the log; it
	// must not block.
	Changed func(State)
	Log     zerolog.Logger
	// Listen, if set, takes the place of listening at this peer's Raft address.
	Listen net.Listener
	// Disk, if set, takes the place of the database on disk, in tests of one that fails.
	Disk func(Disk) Disk
	// Tune, if set, edits Raft's own configuration before it is used.
	Tune func(*raft.Config)
}

// Disk is what Raft keeps on disk beside its snapshots.
type Disk interface {
	raft.LogStore
	raft.StableStore
}

// NotLeader says that a write must go to another instance.
type NotLeader struct{ Leader Peer }

func (n *NotLeader) Error() string {
	if n.Leader.Name == "" {
		return "no leader is known now"
	}
	return fmt.Sprintf("not the leader: that is %s at %s", n.Leader.Name, n.Leader.Flight)
}

// ErrUndecided is the error of a change whose leader lost its place under it: another instance
// may have it, so it may have taken effect, or may yet.
var ErrUndecided = errors.New("the leadership was lost under the change, which may have taken effect or may yet: read the configuration")

// Status is how an instance sees the group.
type Status struct {
	Name   string `json:"name"`
	Role   string `json:"role"`
	Leader string `json:"leader"`
	Term   string `json:"term"`
	Last   uint64 `json:"last_index"`
	Config uint64 `json:"config_version"`
}

// Store is one instance.
type Store struct {
	opts    Options
	machine *machine
	raft    *raft.Raft
	close   []func() error
	stop    chan struct{}
	done    sync.WaitGroup

	mu     sync.Mutex
	roster *Roster // waits to be written
	wake   chan struct{}
}

// Open starts an instance from what its directory holds.
func Open(o Options) (*Store, error) {
	if o.Changed == nil {
		o.Changed = func(State) {}
	}
	s := &Store{
		opts: o, machine: &machine{state: State{Config: Defaults()}, changed: o.Changed},
		stop: make(chan struct{}), wake: make(chan struct{}, 1),
	}
	if err := s.open(); err != nil {
		return nil, errors.Join(fmt.Errorf("opening the store: %w", err), s.release())
	}
	s.done.Add(1)
	go s.keepRoster()
	return s, nil
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
	lines := o.Log.With().Str("event", "raft").Logger()
	log := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: lines, DisableTime: true})
	if o.Listen == nil {
		l, err := net.Listen("tcp", own.Raft)
		if err != nil {
			return err
		}
		o.Listen = l
	}
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: &layer{o.Listen}, MaxPool: maxPool, Timeout: applyWithin, Logger: log,
	})
	s.close = append(s.close, transport.Close)
	db, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(o.Dir, "raft.db")})
	if err != nil {
		return err
	}
	s.close = append(s.close, db.Close)
	disk := Disk(db)
	if o.Disk != nil {
		disk = o.Disk(disk)
	}
	disk = &patient{Disk: disk, stop: s.stop, log: o.Log}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(o.Dir, keepSnapshots, log)
	if err != nil {
		return err
	}
	cfg := raft.DefaultConfig()
	cfg.LocalID, cfg.Logger = raft.ServerID(o.Name), log
	cfg.SnapshotThreshold, cfg.TrailingLogs = 1024, 256
	if o.Tune != nil {
		o.Tune(cfg)
	}
	known, err := raft.HasExistingState(disk, disk, snaps)
	if err != nil {
		return err
	}
	if !known { // all instances begin with the same members, so each may say so itself
		if err := raft.BootstrapCluster(cfg, disk, disk, snaps, transport, servers); err != nil {
			return err
		}
	}
	s.raft, err = raft.NewRaft(cfg, s.machine, disk, disk, snaps, transport)
	return err
}

// State returns the state as this instance has it.
func (s *Store) State() State { return s.machine.get() }

// Leader returns the leader, if one is known.
func (s *Store) Leader() (Peer, bool) {
	_, id := s.raft.LeaderWithID()
	for _, p := range s.opts.Peers {
		if p.Name == string(id) {
			return p, true
		}
	}
	return Peer{}, false
}

// Status returns how this instance sees the group.
func (s *Store) Status() Status {
	leader, _ := s.Leader()
	return Status{
		Name: s.opts.Name, Role: s.raft.State().String(), Leader: leader.Name, Term: s.raft.Stats()["term"],
		Last: s.raft.LastIndex(), Config: s.State().Config.Version,
	}
}

// SetConfig validates a change, proposes it and returns the new configuration.
// It fails with a NotLeader at any instance but the leader, and with ErrUndecided where
// nobody knows whether it has taken effect.
func (s *Store) SetConfig(p Patch) (Config, error) {
	if err := p.Validate(); err != nil {
		return Config{}, err
	}
	state, err := s.propose(command{Patch: &p})
	return state.Config, err
}

func (s *Store) propose(c command) (State, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return State{}, fmt.Errorf("encoding a command: %w", err)
	}
	f := s.raft.Apply(data, applyWithin)
	if err := f.Error(); err != nil {
		if errors.Is(err, raft.ErrLeadershipLost) {
			return State{}, fmt.Errorf("proposing a command: %w", ErrUndecided)
		}
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipTransferInProgress) {
			leader, _ := s.Leader()
			return State{}, fmt.Errorf("proposing a command: %w", &NotLeader{leader})
		}
		return State{}, fmt.Errorf("proposing a command: %w", err)
	}
	switch r := f.Response().(type) {
	case State:
		return r, nil
	case error:
		return State{}, r
	default:
		return State{}, fmt.Errorf("applying a command: unexpected result %T", r)
	}
}

// Remember notes the roster that this instance's broker has. The leader writes
// the latest one, once a second at most.
func (s *Store) Remember(r Roster) {
	s.mu.Lock()
	s.roster = &r
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Store) keepRoster() {
	defer s.done.Done()
	tick := time.NewTicker(rosterEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-s.wake:
		case <-tick.C: // this instance may have become the leader
		}
		s.mu.Lock()
		r := s.roster
		s.mu.Unlock()
		if r == nil || s.raft.State() != raft.Leader || s.State().Roster.Version == r.Version {
			continue
		}
		if _, err := s.propose(command{Roster: r}); err != nil {
			s.opts.Log.Warn().Str("event", "store-roster").Err(err).Msg("the roster was not stored")
		}
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
	}
}

// Close hands the leadership on, if it is here, and ends the instance.
func (s *Store) Close() error {
	close(s.stop)
	s.done.Wait()
	if s.raft.State() == raft.Leader && len(s.opts.Peers) > 1 {
		if err := s.raft.LeadershipTransfer().Error(); err != nil {
			s.opts.Log.Info().Str("event", "store-close").Err(err).Msg("the leadership was not handed on")
		}
	}
	err := s.raft.Shutdown().Error()
	return errors.Join(err, s.release())
}

func (s *Store) release() (err error) {
	for i := len(s.close) - 1; i >= 0; i-- {
		err = errors.Join(err, s.close[i]())
	}
	return err
}

// layer lets Raft listen on a socket that is open already.
type layer struct{ net.Listener }

// Dial implements raft.StreamLayer.
func (l *layer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	return d.DialContext(context.Background(), "tcp", string(addr))
}
