package flightnode

import (
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/testkit"
)

func start(t *testing.T) (*Client, func(id broker.AttemptID, wait time.Duration, want decide.Outcome)) {
	t.Helper()
	s := &sink{got: map[broker.AttemptID][]decide.Outcome{}}
	c := New(Options{Sink: s, ConnectTimeout: 200 * time.Millisecond, MaxConns: 8, Log: zerolog.New(io.Discard)})
	t.Cleanup(c.Close)
	return c, func(id broker.AttemptID, wait time.Duration, want decide.Outcome) {
		t.Helper()
		if got := ask(t, c, s, id, wait); got != want {
			t.Errorf("attempt %d: outcome %d, want %d", id, got, want)
		}
	}
}

// ask sends one attempt and returns its one outcome.
func ask(t *testing.T, c *Client, s *sink, id broker.AttemptID, wait time.Duration) decide.Outcome {
	t.Helper()
	c.Send("n", []broker.Attempt{{ID: id, RequestID: "q", Shard: int(id), Text: []byte("x"), Timeout: wait}})
	var got []decide.Outcome
	testkit.Eventually(t, "an outcome", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		got = s.got[id]
		return len(got) > 0
	})
	return got[0]
}

// A node whose first address is dead is served over its Unix socket; when the
// list takes that away, over what is left, and not at all once it is gone.
func TestSeveralAddresses(t *testing.T) {
	c, send := start(t)
	dead, err := net.Listen("tcp", "[::1]:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	n := testkit.NewNode(t, "n", true)
	sock := n.AddAddress(t, "unix", filepath.Join(t.TempDir(), "n"))
	gone := broker.FlightScheme + dead.Addr().String()
	list := func(addrs ...string) {
		if len(addrs) == 0 {
			c.Update(nil)
			return
		}
		c.Update([]broker.Node{{ID: "n", Addr: addrs[0], Addrs: addrs}})
	}
	list(gone, sock, n.Addr)
	send(1, time.Minute, decide.OK)
	if views := c.Addresses()["n"]; len(views) != 3 || views[0].Text != sock || views[0].Reason != "last-good" || views[2].Text != gone {
		t.Errorf("order %+v", views)
	}
	list(gone, n.Addr)
	send(2, time.Minute, decide.OK)
	if views := c.Addresses()["n"]; len(views) != 2 || views[0].Text != n.Addr {
		t.Errorf("order %+v", views)
	}
	if len(n.Parts()) != 2 {
		t.Errorf("%d parts ran, want 2", len(n.Parts()))
	}
	list()
	send(3, time.Minute, decide.Unreachable)
}

// An address that accepts and never greets runs nothing: the part goes back as
// one that never ran, and the next goes elsewhere.
func TestAddressThatNeverGreets(t *testing.T) {
	c, send := start(t)
	mute, err := net.Listen("tcp", "127.0.0.1:0") // its kernel accepts, and nobody speaks
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	n := testkit.NewNode(t, "n", true)
	first := broker.FlightScheme + mute.Addr().String()
	c.Update([]broker.Node{{ID: "n", Addr: first, Addrs: []string{first, n.Addr}}})
	send(1, time.Minute, decide.Unreachable)
	testkit.Eventually(t, "the doubt", func() bool { return c.Addresses()["n"][0].Text == n.Addr })
	id := broker.AttemptID(1)
	testkit.Eventually(t, "a part that is served at the other address", func() bool { // gRPC comes back after a pause
		id++
		return ask(t, c, c.opts.Sink.(*sink), id, time.Minute) == decide.OK
	})
}

// A stall behind an open stream is the attempt's own time-out; what comes next
// takes another address.
func TestStallLeavesTheAddress(t *testing.T) {
	c, send := start(t)
	stalled, good := testkit.NewNode(t, "n", true), testkit.NewNode(t, "n", true)
	stalled.SetResponse(testkit.NeverAnswer)
	c.Update([]broker.Node{{ID: "n", Addr: stalled.Addr, Addrs: []string{stalled.Addr, good.Addr}}})
	send(1, 50*time.Millisecond, decide.TimedOut)
	send(2, time.Minute, decide.OK)
	if len(stalled.Parts()) != 1 || len(good.Parts()) != 1 {
		t.Errorf("%d and %d parts, want one each", len(stalled.Parts()), len(good.Parts()))
	}
}
