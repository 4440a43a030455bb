package nodeclient

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/testkit"
)

// refusing is an address at which nobody listens.
func refusing(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "[::1]:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	return l.Addr().String()
}

// blackHole is an address at which connections never come up: its queue of
// those that wait to be accepted is full.
func blackHole(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
	for range 16 {
		nc, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = nc.Close() })
	}
	t.Fatal("the queue takes all")
	return ""
}

// mute is an address that accepts and never says a word; it counts what came.
func mute(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "[::1]:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	n := &atomic.Int64{}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = nc.Close() })
			go func() {
				b := make([]byte, 1<<10)
				for {
					k, err := nc.Read(b)
					n.Add(int64(k))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), n
}

// list tells the client of one node with these addresses.
func (c *Client) list(addrs ...string) {
	c.Update([]broker.Node{{ID: "n", Addr: addrs[0], Addrs: addrs}})
}

// A first address that refuses, black-holes or is a stale path costs a part
// little and no second run; the good one is preferred from then on.
func TestFirstAddressIsDead(t *testing.T) {
	dir := t.TempDir()
	stale, plain := filepath.Join(dir, "stale"), filepath.Join(dir, "plain")
	l, err := net.Listen("unix", stale)
	if err != nil {
		t.Fatal(err)
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	l.Close()
	if err := os.WriteFile(plain, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, first := range map[string]string{
		"refuses": refusing(t), "black hole": blackHole(t), "stale path": "unix:" + stale, "plain file": "unix:" + plain, "no path": "unix:" + dir + "/none",
	} {
		t.Run(name, func(t *testing.T) {
			c, s := client(t, 1, 0)
			n := testkit.NewNode(t, "n", false)
			good := n.AddAddress(t, "unix", filepath.Join(t.TempDir(), "n"))
			c.list(first, good, n.Addr)
			for id := 1; id <= 3; id++ {
				c.send("n", attempt(id))
				s.wait(t, broker.AttemptID(id), decide.OK)
			}
			if calls := n.Parts(); len(calls) != 3 {
				t.Errorf("%d parts ran, want 3", len(calls))
			}
			if views := c.Addresses()["n"]; views[0].Text == first || views[0].Reason != "last-good" {
				t.Errorf("order %+v", views)
			}
		})
	}
}

// All addresses down, then one back.
func TestAllDownThenOneBack(t *testing.T) {
	c, s := client(t, 1, 0)
	path := filepath.Join(t.TempDir(), "n")
	c.list(refusing(t), "unix:"+path)
	c.send("n", attempt(1))
	s.wait(t, 1, decide.Unreachable)
	n := testkit.NewNode(t, "n", false)
	n.AddAddress(t, "unix", path)
	c.send("n", attempt(2))
	s.wait(t, 2, decide.OK)
	if c.open() != 1 {
		t.Errorf("%d connections are counted, want 1", c.open())
	}
}

// An address that accepts and stalls: what was sent there is not sent again
// within its attempt, and later parts go over another address.
func TestAcceptsAndStalls(t *testing.T) {
	c, s := client(t, 1, 0)
	n := testkit.NewNode(t, "n", false)
	stalls, got := mute(t)
	c.list(stalls, n.Addr)
	c.send("n", attempt(1))
	testkit.Eventually(t, "the part at the stalled address", func() bool { return got.Load() > 0 })
	testkit.Eventually(t, "a part that is served", func() bool {
		c.mu.Lock()
		silent := len(c.nodes["n"].conns) > 0 && c.nodes["n"].conns[0].blamed
		c.mu.Unlock()
		return silent
	})
	for id := 2; id <= 5; id++ {
		c.send("n", attempt(id))
		s.wait(t, broker.AttemptID(id), decide.OK)
	}
	for _, call := range n.Parts() {
		if call.Shard == 1 {
			t.Error("the part that may have run was sent again")
		}
	}
	// The node speaks elsewhere: what waits on the silent connection is called off.
	testkit.Eventually(t, "the end of the first part", func() bool {
		c.send("n", attempt(100+int(time.Now().UnixNano()%1e6)))
		s.mu.Lock()
		defer s.mu.Unlock()
		o, ok := s.got[1]
		return ok && o == decide.Cancelled
	})
}

// A node that loses an address in the list gets nothing there any more, and
// one that leaves is not dialled.
func TestAddressesChange(t *testing.T) {
	c, s := client(t, 1, 0)
	old, n := testkit.NewNode(t, "n", false), testkit.NewNode(t, "n", false)
	second := n.AddAddress(t, "tcp", "[::1]:0")
	c.list(old.Addr, second)
	c.send("n", attempt(1))
	s.wait(t, 1, decide.OK)
	c.list(n.Addr, second)
	for id := 2; id <= 4; id++ {
		c.send("n", attempt(id))
		s.wait(t, broker.AttemptID(id), decide.OK)
	}
	if len(old.Parts()) != 1 || len(n.Parts()) != 3 {
		t.Errorf("%d parts at the address that went, %d at the others", len(old.Parts()), len(n.Parts()))
	}
	c.Update(nil)
	c.send("n", attempt(5))
	s.wait(t, 5, decide.Unreachable)
	testkit.Eventually(t, "the end of its connections", func() bool { return c.open() == 0 })
	if views := c.Addresses()["n"]; views != nil {
		t.Errorf("still known: %v", views)
	}
}

// A node with one address has no place in the planner.
func TestOneAddressAsBefore(t *testing.T) {
	c, s := client(t, 1, 0)
	n := testkit.NewNode(t, "n", false)
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
	c.send("n", attempt(1))
	s.wait(t, 1, decide.OK)
	if len(c.Addresses()) > 0 {
		t.Error("the planner knows it")
	}
}

// An address in doubt is tried beside the work, by a probe; once it answers it
// is trusted again, and while it does not it carries no part.
func TestTrialsBesideTheWork(t *testing.T) {
	c, s := client(t, 1, 0)
	c.mu.Lock()
	c.opts.Probes = true
	c.mu.Unlock()
	n := testkit.NewNode(t, "n", false)
	path := filepath.Join(t.TempDir(), "n")
	c.list("unix:"+path, n.Addr) // nobody listens at the path yet
	c.send("n", attempt(1))
	s.wait(t, 1, decide.OK)
	if views := c.Addresses()["n"]; views[1].Reason != "in-doubt" {
		t.Fatalf("order %+v", views)
	}
	n.AddAddress(t, "unix", path)
	testkit.Eventually(t, "the trial", func() bool { return c.Addresses()["n"][1].Reason == "proven" })
	if views := c.Addresses()["n"]; views[0].Text != n.Addr || len(n.Parts()) != 1 {
		t.Errorf("order %+v after %d parts", views, len(n.Parts()))
	}
	c.send("n", attempt(2))
	s.wait(t, 2, decide.OK)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.probes) != 0 {
		t.Errorf("the module heard of %d trials as probes", len(s.probes))
	}
}
