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

// newTestClient returns a client, and a function that sends an attempt to its node "n" and
// checks the outcome.
func newTestClient(t *testing.T) (*Client, func(id broker.AttemptID, wait time.Duration, want decide.Outcome)) {
	t.Helper()
	s := &sink{outcomes: map[broker.AttemptID][]decide.Outcome{}}
	c := New(Options{Sink: s, ConnectTimeout: 200 * time.Millisecond, MaxConns: 8, Log: zerolog.New(io.Discard)})
	t.Cleanup(c.Close)
	return c, func(id broker.AttemptID, wait time.Duration, want decide.Outcome) {
		t.Helper()
		if got := sendAndWait(t, c, s, id, wait); got != want {
			t.Errorf("attempt %d: outcome %d, want %d", id, got, want)
		}
	}
}

// sendAndWait sends one attempt to node "n" and returns its outcome.
func sendAndWait(t *testing.T, c *Client, s *sink, id broker.AttemptID, wait time.Duration) decide.Outcome {
	t.Helper()
	c.Send("n", []broker.Attempt{{ID: id, RequestID: "q", Shard: int(id), Text: []byte("x"), Timeout: wait}})
	var got []decide.Outcome
	testkit.Eventually(t, "an outcome", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		got = s.outcomes[id]
		return len(got) > 0
	})
	return got[0]
}

// A node whose first address refuses connects must be reached over its Unix socket, over the
// remaining address once the list no longer has the socket, and not at all once it is removed.
func TestDeadAndRemovedAddressesAreAvoided(t *testing.T) {
	c, send := newTestClient(t)
	dead, err := net.Listen("tcp", "[::1]:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	n := testkit.NewNode(t, "n", true)
	sock := n.AddAddress(t, "unix", filepath.Join(t.TempDir(), "n"))
	refusing := broker.FlightScheme + dead.Addr().String()
	list := func(addrs ...string) {
		if len(addrs) == 0 {
			c.Update(nil)
			return
		}
		c.Update([]broker.Node{{ID: "n", Addr: addrs[0], Addrs: addrs}})
	}
	list(refusing, sock, n.Addr)
	send(1, time.Minute, decide.OK)
	if statuses := c.Addresses()["n"]; len(statuses) != 3 || statuses[0].Text != sock || statuses[0].Reason != "last-good" || statuses[2].Text != refusing {
		t.Errorf("got addresses %+v, want the Unix socket first and the dead one last", statuses)
	}
	list(refusing, n.Addr)
	send(2, time.Minute, decide.OK)
	if statuses := c.Addresses()["n"]; len(statuses) != 2 || statuses[0].Text != n.Addr {
		t.Errorf("got addresses %+v, want 2 with the TCP address of the node first", statuses)
	}
	if len(n.Parts()) != 2 {
		t.Errorf("%d parts ran, want 2", len(n.Parts()))
	}
	list()
	send(3, time.Minute, decide.Unreachable)
}

// A part sent to an address that accepts connections but never sends its SETTINGS frame
// counts as never run, and the next one goes to another address.
func TestAddressWithoutServerSettingsIsAvoided(t *testing.T) {
	c, send := newTestClient(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections, and no server reads them
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	n := testkit.NewNode(t, "n", true)
	first := broker.FlightScheme + silent.Addr().String()
	c.Update([]broker.Node{{ID: "n", Addr: first, Addrs: []string{first, n.Addr}}})
	send(1, time.Minute, decide.Unreachable)
	testkit.Eventually(t, "the address is suspected", func() bool { return c.Addresses()["n"][0].Text == n.Addr })
	id := broker.AttemptID(1)
	testkit.Eventually(t, "a part is served at the other address", func() bool { // gRPC reconnects after a backoff
		id++
		return sendAndWait(t, c, c.opts.Sink.(*sink), id, time.Minute) == decide.OK
	})
}

// An address whose server takes no ticket must be avoided like one that does not answer.
func TestAddressThatTakesNoTicketIsAvoided(t *testing.T) {
	c, _ := newTestClient(t)
	s := c.opts.Sink.(*sink)
	holding, good := newRawNode(t, false), testkit.NewNode(t, "n", true)
	c.Update([]broker.Node{{ID: "n", Addr: holding.addr, Addrs: []string{holding.addr, good.Addr}}})
	c.Send("n", []broker.Attempt{{ID: 1, RequestID: "q", Shard: 1, Text: make([]byte, largeQuery), Timeout: time.Minute}})
	testkit.Eventually(t, "the first attempt ends", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.outcomes[1]) == 1
	})
	if got := s.outcomes[1][0]; got != decide.Unreachable {
		t.Errorf("outcome %d, want one that proves that the part never ran", got)
	}
	if got := sendAndWait(t, c, s, 2, time.Minute); got != decide.OK {
		t.Errorf("the next attempt: outcome %d, want an answer from the other address", got)
	}
}

// A stall on an open stream ends the attempt as timed out; the next one goes to another
// address.
func TestStalledAddressIsAvoided(t *testing.T) {
	c, send := newTestClient(t)
	stalled, good := testkit.NewNode(t, "n", true), testkit.NewNode(t, "n", true)
	stalled.SetResponse(testkit.NeverAnswer)
	c.Update([]broker.Node{{ID: "n", Addr: stalled.Addr, Addrs: []string{stalled.Addr, good.Addr}}})
	send(1, 50*time.Millisecond, decide.TimedOut)
	send(2, time.Minute, decide.OK)
	if len(stalled.Parts()) != 1 || len(good.Parts()) != 1 {
		t.Errorf("%d parts at the stalled address and %d at the other, want one each", len(stalled.Parts()), len(good.Parts()))
	}
}
