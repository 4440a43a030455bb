package store_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
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

// group is three instances on loopback.
type group struct {
	t     *testing.T
	peers []store.Peer
	dirs  []string
	live  []*store.Store
	fail  atomic.Pointer[syscall.Errno] // what writes to all disks end with; nil: they work
	vain  atomic.Int64                  // writes that have failed
	wrote atomic.Pointer[func(at int)]  // called once an instance has entries on its disk, before it sends them on
}

// disk fails while its group says so.
type disk struct {
	store.Disk
	of *group
	at int // whose it is
}

func (d disk) write(f func() error) error {
	if errno := d.of.fail.Load(); errno != nil {
		d.of.vain.Add(1)
		return fmt.Errorf("writing: %w", *errno)
	}
	return f()
}

func (d disk) StoreLog(l *raft.Log) error { return d.write(func() error { return d.Disk.StoreLog(l) }) }
func (d disk) StoreLogs(l []*raft.Log) error {
	err := d.write(func() error { return d.Disk.StoreLogs(l) })
	if f := d.of.wrote.Load(); f != nil {
		(*f)(d.at)
	}
	return err
}
func (d disk) DeleteRange(from, to uint64) error {
	return d.write(func() error { return d.Disk.DeleteRange(from, to) })
}
func (d disk) Set(k, v []byte) error { return d.write(func() error { return d.Disk.Set(k, v) }) }
func (d disk) SetUint64(k []byte, v uint64) error {
	return d.write(func() error { return d.Disk.SetUint64(k, v) })
}

func newGroup(t *testing.T) *group {
	g := &group{t: t, live: make([]*store.Store, 3)}
	var ls []net.Listener
	for i, name := range []string{"a", "b", "c"} {
		// An address of its own, so that no other test is given the port while an
		// instance is down.
		l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", 1+os.Getpid()%250, i+1))
		if err != nil {
			t.Fatal(err)
		}
		ls = append(ls, l)
		g.peers = append(g.peers, store.Peer{Name: name, Raft: l.Addr().String(), Flight: "flight-of-" + name})
		g.dirs = append(g.dirs, t.TempDir())
	}
	for i := range g.peers {
		g.start(i, ls[i])
	}
	t.Cleanup(func() {
		for i := range g.live {
			g.stop(i)
		}
	})
	return g
}

func (g *group) start(i int, l net.Listener) {
	g.t.Helper()
	s, err := store.Open(store.Options{
		Name: g.peers[i].Name, Dir: g.dirs[i], Peers: g.peers, Log: zerolog.New(io.Discard), Listener: l,
		WrapDisk: func(d store.Disk) store.Disk { return disk{d, g, i} },
		TuneRaft: func(c *raft.Config) {
			c.HeartbeatTimeout, c.ElectionTimeout = 150*time.Millisecond, 150*time.Millisecond
			c.LeaderLeaseTimeout, c.CommitTimeout = 100*time.Millisecond, 5*time.Millisecond
			c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = 4, 2, 20*time.Millisecond
		},
	})
	if err != nil {
		g.t.Fatal(err)
	}
	g.live[i] = s
}

func (g *group) stop(i int) {
	if g.live[i] != nil {
		if err := g.live[i].Close(); err != nil {
			g.t.Error(err)
		}
		g.live[i] = nil
	}
}

// leader waits until all live instances name the same one.
func (g *group) leader() (at int) {
	g.t.Helper()
	testkit.Eventually(g.t, "one leader that all name", func() bool {
		at = -1
		for i, s := range g.live {
			if s == nil {
				continue
			}
			p, ok := s.Leader()
			if !ok {
				return false
			}
			if s.Status().Role == "Leader" && p.Name == g.peers[i].Name {
				at = i
			}
		}
		if at < 0 {
			return false
		}
		for _, s := range g.live {
			if s != nil {
				if p, _ := s.Leader(); p.Name != g.peers[at].Name {
					return false
				}
			}
		}
		return true
	})
	return at
}

func (g *group) set(open int) (c store.Config) {
	g.t.Helper()
	testkit.Eventually(g.t, "the leader takes a write", func() bool {
		var err error
		c, err = g.live[g.leader()].SetConfig(store.Patch{MaxOpen: &open})
		return err == nil
	})
	return c
}

func (g *group) allHave(open int) {
	g.t.Helper()
	testkit.Eventually(g.t, "all instances have the write", func() bool {
		for _, s := range g.live {
			if s != nil && s.State().Config.MaxOpen != open {
				return false
			}
		}
		return true
	})
}

func TestElectionAndWrites(t *testing.T) {
	g := newGroup(t)
	lead := g.leader()
	if c := g.set(100); c.Version != 1 || c.MaxOpen != 100 || c.QueueLimit != store.Defaults().QueueLimit {
		t.Errorf("got %+v", c)
	}
	g.allHave(100)
	other := g.live[(lead+1)%3]
	open := 5
	var not *store.NotLeaderError
	if _, err := other.SetConfig(store.Patch{MaxOpen: &open}); !errors.As(err, &not) || not.Leader != g.peers[lead] {
		t.Errorf("a follower took a write or did not name the leader: %v", err)
	}
	old, low, words := uint64(0), -1, "loud"
	if _, err := g.live[lead].SetConfig(store.Patch{MaxOpen: &open, IfVersion: &old}); !errors.Is(err, store.ErrConflict) {
		t.Errorf("write against an old version: %v", err)
	}
	for _, p := range []store.Patch{{}, {MaxOpen: &low}, {QueueLimit: &low}, {HandOverMs: &low}, {LogLevel: &words}} {
		if _, err := g.live[lead].SetConfig(p); !errors.Is(err, store.ErrInvalid) {
			t.Errorf("%+v: %v", p, err)
		}
	}
	g.live[lead].RecordRoster(store.Roster{Version: 7, Nodes: []broker.Node{{ID: "s-1", Addr: "127.0.0.1:1"}}})
	testkit.Eventually(t, "the roster is everywhere", func() bool {
		for _, s := range g.live {
			if r := s.State().Roster; r.Version != 7 || len(r.Nodes) != 1 {
				return false
			}
		}
		return true
	})
}

// The leader has a change on its disk and loses the others before it can send it on. Whether
// the change takes effect is open: the next leader may have it or not. That was told as "not
// the leader", the one outcome for an instance that never took the change, and `config set`
// went on to send it to the next leader as if nothing had been done.
func TestChangeUnderALostLeadershipIsUndecided(t *testing.T) {
	g := newGroup(t)
	g.set(1)
	lead := g.leader()
	var once sync.Once
	cut := func(at int) {
		if at != lead {
			return
		}
		once.Do(func() {
			for i := range g.live {
				if i != lead {
					g.stop(i)
				}
			}
		})
	}
	g.wrote.Store(&cut)
	open := 2
	_, err := g.live[lead].SetConfig(store.Patch{MaxOpen: &open})
	var not *store.NotLeaderError
	if !errors.Is(err, store.ErrOutcomeUnknown) || errors.As(err, &not) {
		t.Errorf("got %v, want %v", err, store.ErrOutcomeUnknown)
	}
}

func TestLeaderLossAndCatchUp(t *testing.T) {
	g := newGroup(t)
	lost := g.leader()
	g.set(1)
	g.stop(lost)
	for i := range 12 { // enough that the log before is gone and a snapshot must be sent
		g.set(100 + i)
	}
	g.allHave(111)
	g.start(lost, nil)
	g.allHave(111)
}

func TestRestartFromDisk(t *testing.T) {
	g := newGroup(t)
	for i := range 7 {
		g.set(20 + i)
	}
	for i := range g.live {
		g.stop(i)
	}
	for i := range g.live {
		g.start(i, nil)
	}
	g.leader()
	g.allHave(26)
	if c := g.set(30); c.Version != 8 {
		t.Errorf("version %d after the restart, want 8", c.Version)
	}
}

// While the disks of all instances fail, in the midst of an election and of writes, nothing
// is acknowledged and no instance ends; what was acknowledged before is there afterwards,
// also from the disks alone, and changes are taken again.
func TestDisksThatFailForAWhile(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		t.Run(errno.Error(), func(t *testing.T) {
			g := newGroup(t)
			set := func(hint int) error {
				_, err := g.live[g.leader()].SetConfig(store.Patch{HandOverMs: &hint})
				return err
			}
			if err := set(111); err != nil {
				t.Fatal(err)
			}
			g.fail.Store(&errno)
			old := g.leader()
			hint := 222
			if c, err := g.live[old].SetConfig(store.Patch{HandOverMs: &hint}); err == nil {
				t.Errorf("acknowledged %+v while no disk takes it", c)
			}
			before := g.vain.Load()
			g.stop(old) // the others elect: that has to be written too
			testkit.Eventually(t, "an election meets the failing disks", func() bool { return g.vain.Load() > before })
			g.fail.Store(nil)
			g.start(old, nil)
			testkit.Eventually(t, "a change is taken", func() bool { return set(333) == nil })
			for i := range g.live {
				g.stop(i)
			}
			for i := range g.live {
				g.start(i, nil)
			}
			testkit.Eventually(t, "it is there after a restart of all", func() bool {
				return g.live[g.leader()].State().Config.HandOverMs == 333
			})
		})
	}
}
