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

// clientWithHeldConnects returns a client whose connects block until release is called.
func clientWithHeldConnects(t *testing.T) (c *Client, s *sink, release func()) {
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
	s = &sink{outcomes: map[broker.AttemptID]decide.Outcome{}}
	c = New(Options{Loop: loop, Sink: s, Dialer: d, StreamsPerConn: 8, ConnectTimeout: 20 * time.Second, MaxConns: 4, Log: zerolog.New(io.Discard)})
	open := false
	release = func() {
		if !open {
			open = true
			close(gate)
		}
	}
	t.Cleanup(func() {
		release()
		c.Close()
		loop.Stop()
	})
	return c, s, release
}

// A part that waits for a connection past its latest start, as a retry after its class's
// window or for a node that is draining, must not be sent and counts as never run; a part
// in the same call that may still begin is sent.
func TestPartsPastTheirLatestStartAreNotSent(t *testing.T) {
	c, s, release := clientWithHeldConnects(t)
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
	release()
	for id, want := range map[broker.AttemptID]decide.Outcome{
		1: decide.NotSent, 2: decide.OK, 3: decide.NotSent, 4: decide.Unreachable, 5: decide.Unreachable,
	} {
		s.expect(t, id, want)
	}
	if calls := n.Parts(); len(calls) != 1 || calls[0].Shard != 2 {
		t.Errorf("the node got %+v, want only the part that may still begin", calls)
	}
	for _, n := range []*testkit.Node{drained, gone, moved, elsewhere} {
		if calls := n.Parts(); len(calls) != 0 {
			t.Errorf("node %s got %+v, want nothing", n.ID, calls)
		}
	}
	late.ID = 6
	c.send("n", late) // also on an open connection
	s.expect(t, 6, decide.NotSent)
}

// A node must be given the time that remains when the frame is written, not what remained
// before the part waited for its connection.
func TestNodeGetsTheRemainingTime(t *testing.T) {
	const waited = 20 * time.Second
	c, s, release := clientWithHeldConnects(t)
	n := testkit.NewNode(t, "n", false)
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
	c.Send("n", []broker.Attempt{attempt(1), attempt(2)})
	c.mu.Lock()
	for _, att := range c.attempts {
		att.requestedAt = att.requestedAt.Add(-waited)
	}
	c.mu.Unlock()
	release()
	s.expect(t, 1, decide.OK)
	s.expect(t, 2, decide.OK)
	for _, call := range n.Parts() {
		if most := attempt(1).Timeout - waited; call.Timeout > most {
			t.Errorf("part %d: given %v, want %v at most", call.Shard, call.Timeout, most)
		}
	}
}

// A part that is cancelled while its connection is being opened, and sent again by another
// attempt to the same node, must be sent once: the call of the first attempt must not
// include it again.
func TestRepeatedPartIsSentOnceWhileConnecting(t *testing.T) {
	for range 8 { // either of the two calls may be written first
		c, s, release := clientWithHeldConnects(t)
		n := testkit.NewNode(t, "n", false)
		c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
		c.Send("n", []broker.Attempt{attempt(1), attempt(2)})
		c.Cancel("n", 1)
		again := attempt(1)
		again.ID = 3
		c.send("n", again)
		release()
		s.expect(t, 2, decide.OK)
		s.expect(t, 3, decide.OK)
		c.Probe("n") // answered after everything that was sent
		testkit.Eventually(t, "the probe is answered", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.probes) == 1
		})
		if calls := n.Parts(); len(calls) != 2 {
			t.Errorf("the node got %+v, want each of the two parts once", calls)
		}
	}
}
