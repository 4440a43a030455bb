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

// refusingAddr returns an address at which connects are refused, as nobody listens there.
func refusingAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "[::1]:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	return l.Addr().String()
}

// blackHoleAddr returns an address at which connects hang, as the listen backlog is full.
func blackHoleAddr(t *testing.T) string {
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
	t.Fatal("the listen backlog does not fill up")
	return ""
}

// silentAddr returns an address that accepts connections and never answers, and the count
// of bytes received there.
func silentAddr(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "[::1]:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	received := &atomic.Int64{}
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
					received.Add(int64(k))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), received
}

// setAddrs gives the client one node with these addresses.
func (c *Client) setAddrs(addrs ...string) {
	c.Update([]broker.Node{{ID: "n", Addr: addrs[0], Addrs: addrs}})
}

// A first address that refuses connects, drops them or is a stale socket path must delay a
// part only briefly and not make it run twice; the working address is preferred from then on.
func TestDeadFirstAddressIsSkipped(t *testing.T) {
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
		"refuses": refusingAddr(t), "black hole": blackHoleAddr(t), "stale path": "unix:" + stale, "plain file": "unix:" + plain, "no path": "unix:" + dir + "/none",
	} {
		t.Run(name, func(t *testing.T) {
			c, s := newClient(t, 1, 0)
			n := testkit.NewNode(t, "n", false)
			good := n.AddAddress(t, "unix", filepath.Join(t.TempDir(), "n"))
			c.setAddrs(first, good, n.Addr)
			for id := 1; id <= 3; id++ {
				c.send("n", attempt(id))
				s.expect(t, broker.AttemptID(id), decide.OK)
			}
			if calls := n.Parts(); len(calls) != 3 {
				t.Errorf("%d parts ran, want 3", len(calls))
			}
			if statuses := c.Addresses()["n"]; statuses[0].Text == first || statuses[0].Reason != "last-good" {
				t.Errorf("the dead address is still preferred: %+v", statuses)
			}
		})
	}
}

// A node all of whose addresses were down is reached again once one of them is back, and
// the failed connects no longer count against the pool.
func TestAddressBackAfterAllWereDown(t *testing.T) {
	c, s := newClient(t, 1, 0)
	path := filepath.Join(t.TempDir(), "n")
	c.setAddrs(refusingAddr(t), "unix:"+path)
	c.send("n", attempt(1))
	s.expect(t, 1, decide.Unreachable)
	n := testkit.NewNode(t, "n", false)
	n.AddAddress(t, "unix", path)
	c.send("n", attempt(2))
	s.expect(t, 2, decide.OK)
	if c.connCount() != 1 {
		t.Errorf("%d connections count against the pool, want 1", c.connCount())
	}
}

// A part sent to an address that accepts and then stalls is not sent again within its
// attempt, as it may have run, and later parts go to another address.
func TestStalledAddressIsAvoided(t *testing.T) {
	c, s := newClient(t, 1, 0)
	n := testkit.NewNode(t, "n", false)
	stalled, received := silentAddr(t)
	c.setAddrs(stalled, n.Addr)
	c.send("n", attempt(1))
	testkit.Eventually(t, "the part arrives at the stalled address", func() bool { return received.Load() > 0 })
	testkit.Eventually(t, "the silence is reported", func() bool {
		c.mu.Lock()
		silent := len(c.nodes["n"].conns) > 0 && c.nodes["n"].conns[0].silenceReported
		c.mu.Unlock()
		return silent
	})
	for id := 2; id <= 5; id++ {
		c.send("n", attempt(id))
		s.expect(t, broker.AttemptID(id), decide.OK)
	}
	for _, call := range n.Parts() {
		if call.Shard == 1 {
			t.Error("the part that may have run was sent again")
		}
	}
	// The node answers elsewhere: the attempts on the silent connection are cancelled.
	testkit.Eventually(t, "the first part ends", func() bool {
		c.send("n", attempt(100+int(time.Now().UnixNano()%1e6)))
		s.mu.Lock()
		defer s.mu.Unlock()
		outcome, ok := s.outcomes[1]
		return ok && outcome == decide.Cancelled
	})
}

// An address that is removed from the list gets no more parts, and a node that is removed
// is not dialed.
func TestRemovedAddressGetsNoParts(t *testing.T) {
	c, s := newClient(t, 1, 0)
	old, n := testkit.NewNode(t, "n", false), testkit.NewNode(t, "n", false)
	second := n.AddAddress(t, "tcp", "[::1]:0")
	c.setAddrs(old.Addr, second)
	c.send("n", attempt(1))
	s.expect(t, 1, decide.OK)
	c.setAddrs(n.Addr, second)
	for id := 2; id <= 4; id++ {
		c.send("n", attempt(id))
		s.expect(t, broker.AttemptID(id), decide.OK)
	}
	if len(old.Parts()) != 1 || len(n.Parts()) != 3 {
		t.Errorf("%d parts at the removed address, %d at the others", len(old.Parts()), len(n.Parts()))
	}
	c.Update(nil)
	c.send("n", attempt(5))
	s.expect(t, 5, decide.Unreachable)
	testkit.Eventually(t, "its connections are closed", func() bool { return c.connCount() == 0 })
	if statuses := c.Addresses()["n"]; statuses != nil {
		t.Errorf("the removed node still has addresses: %+v", statuses)
	}
}

// A node with one address must not be passed to the address planner.
func TestSingleAddressNodeBypassesThePlanner(t *testing.T) {
	c, s := newClient(t, 1, 0)
	n := testkit.NewNode(t, "n", false)
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
	c.send("n", attempt(1))
	s.expect(t, 1, decide.OK)
	if len(c.Addresses()) > 0 {
		t.Error("the planner has addresses")
	}
}

// A suspected address is tested by probes while the node is served over another one; it is
// trusted again once it answers, and carries no part until then.
func TestSuspectedAddressIsTestedByProbes(t *testing.T) {
	c, s := newClient(t, 1, 0)
	c.mu.Lock()
	c.opts.ProbesSupported = true
	c.mu.Unlock()
	n := testkit.NewNode(t, "n", false)
	path := filepath.Join(t.TempDir(), "n")
	c.setAddrs("unix:"+path, n.Addr) // nobody listens on the path yet
	c.send("n", attempt(1))
	s.expect(t, 1, decide.OK)
	if statuses := c.Addresses()["n"]; statuses[1].Reason != "in-doubt" {
		t.Fatalf("the address at which nobody listens is not suspected: %+v", statuses)
	}
	n.AddAddress(t, "unix", path)
	testkit.Eventually(t, "the suspected address passes its test", func() bool { return c.Addresses()["n"][1].Reason == "proven" })
	if statuses := c.Addresses()["n"]; statuses[0].Text != n.Addr || len(n.Parts()) != 1 {
		t.Errorf("got addresses %+v after %d parts, want the working one first and 1 part", statuses, len(n.Parts()))
	}
	c.send("n", attempt(2))
	s.expect(t, 2, decide.OK)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.probes) != 0 {
		t.Errorf("%d address tests were reported to the decision module as probes", len(s.probes))
	}
}
