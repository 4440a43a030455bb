package nodeclient

import (
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/netio"
	"onyxsail/internal/testkit"
)

// held is a client whose connects wait until they are let go.
func held(t *testing.T) (c *Client, s *sink, letGo func()) {
	t.Helper()
	loop, err := netio.New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	gate := make(chan struct{})
	d := netio.NewDialer()
	d.Control = func(string, string, syscall.RawConn) error {
		<-gate
		return nil
	}
	s = &sink{got: map[broker.AttemptID]decide.Outcome{}}
	c = New(Options{Loop: loop, Sink: s, Dialer: d, StreamsPerConn: 8, ConnectTimeout: 20 * time.Second, MaxConns: 4, Log: zerolog.New(io.Discard)})
	open := false
	letGo = func() {
		if !open {
			open = true
			close(gate)
		}
	}
	t.Cleanup(func() {
		letGo()
		c.Close()
		loop.Stop()
	})
	return c, s, letGo
}

// What waits for a connection past the time in which it may begin, a repeat past its
// class's window or the work for a node whose drain has been told, is not sent and
// never ran; what goes with it in one call is.
func TestNothingBeginsLate(t *testing.T) {
	c, s, letGo := held(t)
	n, drained, gone, moved := testkit.NewNode(t, "n", false), testkit.NewNode(t, "drained", false),
		testkit.NewNode(t, "gone", false), testkit.NewNode(t, "moved", false)
	list := []broker.Node{{ID: "n", Addr: n.Addr}, {ID: "drained", Addr: drained.Addr}, {ID: "gone", Addr: gone.Addr}, {ID: "moved", Addr: moved.Addr}}
	c.Update(list)
	late := attempt(1)
	late.LatestStart = time.Now()
	c.Send("n", []broker.Attempt{late, attempt(2)})
	c.send("drained", attempt(3))
	c.send("gone", attempt(4))
	c.send("moved", attempt(5))
	elsewhere := testkit.NewNode(t, "moved", false)
	list[1].Latest, list[3].Addr = time.Now(), elsewhere.Addr
	c.Update([]broker.Node{list[0], list[1], list[3]})
	letGo()
	for id, want := range map[broker.AttemptID]decide.Outcome{
		1: decide.NotSent, 2: decide.OK, 3: decide.NotSent, 4: decide.Unreachable, 5: decide.Unreachable,
	} {
		s.wait(t, id, want)
	}
	if calls := n.Parts(); len(calls) != 1 || calls[0].Shard != 2 {
		t.Errorf("the node got %+v", calls)
	}
	for _, n := range []*testkit.Node{drained, gone, moved, elsewhere} {
		if calls := n.Parts(); len(calls) != 0 {
			t.Errorf("%s got %+v", n.ID, calls)
		}
	}
	late.ID = 6
	c.send("n", late) // on an open connection too
	s.wait(t, 6, decide.NotSent)
}

// A node is told the time that is left when the frame leaves, not what was left before it
// waited for its connection.
func TestNodeIsToldWhatIsLeft(t *testing.T) {
	const waited = 20 * time.Second
	c, s, letGo := held(t)
	n := testkit.NewNode(t, "n", false)
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
	c.Send("n", []broker.Attempt{attempt(1), attempt(2)})
	c.mu.Lock()
	for _, cl := range c.where {
		cl.since = cl.since.Add(-waited)
	}
	c.mu.Unlock()
	letGo()
	s.wait(t, 1, decide.OK)
	s.wait(t, 2, decide.OK)
	for _, call := range n.Parts() {
		if most := attempt(1).Timeout - waited; call.Timeout > most {
			t.Errorf("part %d: told %v, want %v at most", call.Shard, call.Timeout, most)
		}
	}
}

// A part that is given up while it waits, and sent again by another attempt to the same
// node, leaves once: what went with the first attempt must not take it along.
func TestPartSentAnewWhileItsConnectionIsMade(t *testing.T) {
	for range 8 { // whichever of the two calls leaves first
		c, s, letGo := held(t)
		n := testkit.NewNode(t, "n", false)
		c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
		c.Send("n", []broker.Attempt{attempt(1), attempt(2)})
		c.Cancel("n", 1)
		again := attempt(1)
		again.ID = 3
		c.send("n", again)
		letGo()
		s.wait(t, 2, decide.OK)
		s.wait(t, 3, decide.OK)
		c.Probe("n") // answered behind all that has left
		testkit.Eventually(t, "the probe is answered", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.probes) == 1
		})
		if calls := n.Parts(); len(calls) != 2 {
			t.Errorf("the node got %+v", calls)
		}
	}
}
