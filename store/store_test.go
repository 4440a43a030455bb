package store_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/internal/testkit"
	"onyxsail/store"
)

// group is a store group of three instances on loopback.
type group struct {
	t             *testing.T
	peers         []store.Peer
	dirs          []string
	stores        []*store.Store
	diskError     atomic.Pointer[syscall.Errno]   // the error of all disk writes; nil: they succeed
	failedWrites  atomic.Int64                    // the number of failed writes
	onLogsWritten atomic.Pointer[func(index int)] // called when an instance has written log entries to its disk, before it replicates them

	shownMu sync.Mutex
	shown   map[int][]store.State // by instance, what it has reported since its start
}

// failingDisk fails writes while its group has a diskError.
type failingDisk struct {
	store.Disk
	group *group
	index int // the instance that it belongs to
}

// write runs op, or returns the group's diskError instead.
func (d failingDisk) write(op func() error) error {
	if errno := d.group.diskError.Load(); errno != nil {
		d.group.failedWrites.Add(1)
		return fmt.Errorf("writing: %w", *errno)
	}
	return op()
}

func (d failingDisk) StoreLog(l *raft.Log) error {
	return d.write(func() error { return d.Disk.StoreLog(l) })
}
func (d failingDisk) StoreLogs(l []*raft.Log) error {
	err := d.write(func() error { return d.Disk.StoreLogs(l) })
	if f := d.group.onLogsWritten.Load(); f != nil {
		(*f)(d.index)
	}
	return err
}
func (d failingDisk) DeleteRange(from, to uint64) error {
	return d.write(func() error { return d.Disk.DeleteRange(from, to) })
}
func (d failingDisk) Set(k, v []byte) error { return d.write(func() error { return d.Disk.Set(k, v) }) }
func (d failingDisk) SetUint64(k []byte, v uint64) error {
	return d.write(func() error { return d.Disk.SetUint64(k, v) })
}

// newGroup starts the instances of a group. They are stopped when the test ends.
func newGroup(t *testing.T) *group {
	g := &group{t: t, stores: make([]*store.Store, 3), shown: map[int][]store.State{}}
	var listeners []net.Listener
	for i, name := range []string{"a", "b", "c"} {
		// Each instance has a loopback address of its own, so that no other test can get its
		// port while it is down.
		l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", 1+os.Getpid()%250, i+1))
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		g.peers = append(g.peers, store.Peer{Name: name, Raft: l.Addr().String(), Flight: "flight-of-" + name})
		g.dirs = append(g.dirs, t.TempDir())
	}
	for i := range g.peers {
		g.start(i, listeners[i])
	}
	t.Cleanup(func() {
		for i := range g.stores {
			g.stop(i)
		}
	})
	return g
}

// start opens an instance, with l as its Raft listener if that is not nil, and with short
// timeouts and a log that is compacted after a few entries.
func (g *group) start(i int, l net.Listener) {
	g.t.Helper()
	g.shownMu.Lock()
	g.shown[i] = nil
	g.shownMu.Unlock()
	s, err := store.Open(store.Options{
		OnChange: func(state store.State) {
			g.shownMu.Lock()
			defer g.shownMu.Unlock()
			g.shown[i] = append(g.shown[i], state)
		},
		Name: g.peers[i].Name, Dir: g.dirs[i], Peers: g.peers, Log: zerolog.New(io.Discard), Listener: l,
		WrapDisk: func(d store.Disk) store.Disk { return failingDisk{d, g, i} },
		TuneRaft: func(c *raft.Config) {
			c.HeartbeatTimeout, c.ElectionTimeout = 150*time.Millisecond, 150*time.Millisecond
			c.LeaderLeaseTimeout, c.CommitTimeout = 100*time.Millisecond, 5*time.Millisecond
			c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = 4, 2, 20*time.Millisecond
		},
	})
	if err != nil {
		g.t.Fatal(err)
	}
	g.stores[i] = s
}

// stop closes an instance, if it runs.
func (g *group) stop(i int) {
	if g.stores[i] != nil {
		if err := g.stores[i].Close(); err != nil {
			g.t.Error(err)
		}
		g.stores[i] = nil
	}
}

// leader waits until all running instances agree on a leader and returns its index.
func (g *group) leader() (index int) {
	g.t.Helper()
	testkit.Eventually(g.t, "all instances agree on a leader", func() bool {
		index = -1
		for i, s := range g.stores {
			if s == nil {
				continue
			}
			p, ok := s.Leader()
			if !ok {
				return false
			}
			if s.Status().Role == "Leader" && p.Name == g.peers[i].Name {
				index = i
			}
		}
		if index < 0 {
			return false
		}
		for _, s := range g.stores {
			if s != nil {
				if p, _ := s.Leader(); p.Name != g.peers[index].Name {
					return false
				}
			}
		}
		return true
	})
	return index
}

// setMaxOpen retries a change until the leader accepts it and returns the new configuration.
func (g *group) setMaxOpen(maxOpen int) (c store.Config) {
	g.t.Helper()
	testkit.Eventually(g.t, "the leader accepts a write", func() bool {
		var err error
		c, err = g.stores[g.leader()].SetConfig(store.Patch{MaxOpen: &maxOpen})
		return err == nil
	})
	return c
}

// waitForMaxOpen waits until all running instances have the value.
func (g *group) waitForMaxOpen(maxOpen int) {
	g.t.Helper()
	testkit.Eventually(g.t, "all instances have the write", func() bool {
		for _, s := range g.stores {
			if s != nil && s.State().Config.MaxOpen != maxOpen {
				return false
			}
		}
		return true
	})
}

// Guards against changes or rosters that are not replicated, writes that a follower accepts,
// and invalid or conflicting changes that take effect.
func TestWritesAreReplicatedAndValidated(t *testing.T) {
	g := newGroup(t)
	leader := g.leader()
	if c := g.setMaxOpen(100); c.Version != 1 || c.MaxOpen != 100 || c.QueueLimit != store.Defaults().QueueLimit {
		t.Errorf("got %+v, want version 1 with max_open 100 and the default queue_limit", c)
	}
	g.waitForMaxOpen(100)
	follower := g.stores[(leader+1)%3]
	maxOpen := 5
	var notLeader *store.NotLeaderError
	if _, err := follower.SetConfig(store.Patch{MaxOpen: &maxOpen}); !errors.As(err, &notLeader) || notLeader.Leader != g.peers[leader] {
		t.Errorf("a follower accepted a write or did not name the leader: %v", err)
	}
	oldVersion, negative, unknownLevel := uint64(0), -1, "loud"
	if _, err := g.stores[leader].SetConfig(store.Patch{MaxOpen: &maxOpen, IfVersion: &oldVersion}); !errors.Is(err, store.ErrConflict) {
		t.Errorf("write with an old if_version: got %v, want ErrConflict", err)
	}
	for _, p := range []store.Patch{{}, {MaxOpen: &negative}, {QueueLimit: &negative}, {HandOverMs: &negative}, {LogLevel: &unknownLevel}} {
		if _, err := g.stores[leader].SetConfig(p); !errors.Is(err, store.ErrInvalid) {
			t.Errorf("%+v: got %v, want ErrInvalid", p, err)
		}
	}
	g.stores[leader].RecordRoster(store.Roster{Version: 7, Nodes: []broker.Node{{ID: "s-1", Addr: "127.0.0.1:1"}}})
	testkit.Eventually(t, "all instances have the roster", func() bool {
		for _, s := range g.stores {
			if r := s.State().Roster; r.Version != 7 || len(r.Nodes) != 1 {
				return false
			}
		}
		return true
	})
}

// The stored list must never be replaced by an older one, unless discovery began to count anew.
func TestOlderListDoesNotReplaceTheStoredOne(t *testing.T) {
	g := newGroup(t)
	leader := g.stores[g.leader()]
	roster := func(version int64) store.Roster {
		return store.Roster{Version: version, Nodes: []broker.Node{{ID: fmt.Sprintf("s-%d", version), Addr: "127.0.0.1:1"}}}
	}
	isStored := func(version int64) func() bool {
		return func() bool { return leader.State().Roster.Version == version }
	}
	leader.RecordRoster(roster(7))
	testkit.Eventually(t, "the list is stored", isStored(7))
	next := g.stores[(g.leader()+1)%len(g.stores)]
	next.RecordRoster(roster(5)) // it was told less, and leads from now on
	g.stop(g.leader())
	if g.stores[g.leader()] != next { // the third one leads: it must not have a list at all
		next = g.stores[g.leader()]
		next.RecordRoster(roster(5))
	}
	if _, err := next.SetConfig(store.Patch{MaxOpen: new(int)}); err != nil { // behind anything that it would have proposed
		t.Fatal(err)
	}
	leader = next
	time.Sleep(2 * time.Second) // two intervals of the writes of lists
	if v := leader.State().Roster.Version; v != 7 {
		t.Errorf("the new leader stored version %d, want 7 to stand", v)
	}
	leader.RecordRoster(roster(8))
	testkit.Eventually(t, "a newer list is stored", isStored(8))
	leader.RecordRoster(roster(2)) // after 8: discovery counts anew
	testkit.Eventually(t, "the list of the restarted discovery is stored", isStored(2))
}

// An instance must keep the list that its own broker had recorded over a restart, whoever leads.
func TestOwnListSurvivesARestart(t *testing.T) {
	g := newGroup(t)
	follower := (g.leader() + 1) % len(g.stores)
	g.stores[follower].RecordRoster(store.Roster{Version: 9, Nodes: []broker.Node{{ID: "s-9", Addr: "127.0.0.1:1"}}})
	testkit.Eventually(t, "the list is on disk", func() bool {
		_, err := os.Stat(filepath.Join(g.dirs[follower], "told.json"))
		return err == nil
	})
	g.stop(follower)
	g.start(follower, nil)
	if r := g.stores[follower].ToldRoster(); r.Version != 9 || len(r.Nodes) != 1 {
		t.Errorf("got %+v after the restart, want version 9 with one node", r)
	}
}

// The leader writes a change to its disk and loses its followers before it can replicate it.
// Whether the change takes effect is then unknown, as the next leader may or may not have it.
// Guards against reporting this as "not the leader", which is only for an instance that never
// accepted the change: `config set` then sent the change to the next leader again.
func TestOutcomeIsUnknownIfLeadershipIsLostDuringChange(t *testing.T) {
	g := newGroup(t)
	g.setMaxOpen(1)
	leader := g.leader()
	var once sync.Once
	stopFollowers := func(at int) {
		if at != leader {
			return
		}
		once.Do(func() {
			for i := range g.stores {
				if i != leader {
					g.stop(i)
				}
			}
		})
	}
	g.onLogsWritten.Store(&stopFollowers)
	maxOpen := 2
	_, err := g.stores[leader].SetConfig(store.Patch{MaxOpen: &maxOpen})
	var notLeader *store.NotLeaderError
	if !errors.Is(err, store.ErrOutcomeUnknown) || errors.As(err, &notLeader) {
		t.Errorf("got %v, want %v", err, store.ErrOutcomeUnknown)
	}
}

// Guards against a group that does not survive the loss of its leader, and against an
// instance that does not catch up when its missing log entries have been compacted.
func TestRestartedLeaderCatchesUpFromSnapshot(t *testing.T) {
	g := newGroup(t)
	lost := g.leader()
	g.setMaxOpen(1)
	g.stop(lost)
	for i := range 12 { // enough to compact the log, so that a snapshot must be sent
		g.setMaxOpen(100 + i)
	}
	g.waitForMaxOpen(111)
	g.start(lost, nil)
	g.waitForMaxOpen(111)
}

// Guards against losing the configuration or its version when all instances restart.
func TestStateSurvivesRestartOfAllInstances(t *testing.T) {
	g := newGroup(t)
	for i := range 7 {
		g.setMaxOpen(20 + i)
	}
	for i := range g.stores {
		g.stop(i)
	}
	for i := range g.stores {
		g.start(i, nil)
	}
	g.leader()
	g.waitForMaxOpen(26)
	if c := g.setMaxOpen(30); c.Version != 8 {
		t.Errorf("version %d after the restart, want 8", c.Version)
	}
}

// The disks of all instances fail for a while, during an election and writes. Guards against
// a change being acknowledged meanwhile, an instance ending, the group not accepting changes
// afterwards, and an acknowledged change being lost, also over a restart of all instances.
func TestTransientDiskFailureLosesNoAcknowledgedChange(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		t.Run(errno.Error(), func(t *testing.T) {
			g := newGroup(t)
			setHandOver := func(handOverMs int) error {
				_, err := g.stores[g.leader()].SetConfig(store.Patch{HandOverMs: &handOverMs})
				return err
			}
			if err := setHandOver(111); err != nil {
				t.Fatal(err)
			}
			g.diskError.Store(&errno)
			oldLeader := g.leader()
			handOverMs := 222
			if c, err := g.stores[oldLeader].SetConfig(store.Patch{HandOverMs: &handOverMs}); err == nil {
				t.Errorf("acknowledged %+v while all disks fail", c)
			}
			before := g.failedWrites.Load()
			g.stop(oldLeader) // the others elect a leader, which needs writes too
			testkit.Eventually(t, "an election fails on the disks", func() bool { return g.failedWrites.Load() > before })
			g.diskError.Store(nil)
			g.start(oldLeader, nil)
			testkit.Eventually(t, "a change is accepted", func() bool { return setHandOver(333) == nil })
			for i := range g.stores {
				g.stop(i)
			}
			for i := range g.stores {
				g.start(i, nil)
			}
			testkit.Eventually(t, "the change is there after a restart of all instances", func() bool {
				return g.stores[g.leader()].State().Config.HandOverMs == 333
			})
		})
	}
}
