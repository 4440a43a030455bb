package nodeclient

import (
	"encoding/binary"
	"io"
	"net"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/netio"
	"onyxsail/internal/testkit"
)

func TestFrames(t *testing.T) {
	frame := func(body string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
	}
	for _, c := range []struct {
		name   string
		in     []byte
		letter byte
		n      int
		bad    bool
	}{
		{name: "nothing"},
		{name: "half a length", in: []byte{0, 0}},
		{name: "half a frame", in: frame("Rabc")[:6]},
		{name: "whole", in: frame("Rabc"), letter: 'R', n: 8},
		{name: "no letter", in: []byte{0, 0, 0, 0}, bad: true},
		{name: "too long", in: []byte{0, 16, 0, 1, 'R'}, bad: true},
	} {
		letter, _, n, err := nextFrame(c.in)
		if letter != c.letter || n != c.n || (err != nil) != c.bad {
			t.Errorf("%s: got %q %d %v", c.name, letter, n, err)
		}
	}
	for in, want := range map[string]*result{
		"a.3 done 1840 -\nvalue": {"a.3", "done", []byte("value")}, "a.3 full 1 -\n": {"a.3", "full", []byte{}},
		"a.3 done 1 x,y\n\n": {"a.3", "done", []byte("\n")}, "a.3 done 1 -": nil, "a.3 done\n": nil, " done 1 -\n": nil,
	} {
		got, err := parseResult([]byte(in))
		if (err != nil) != (want == nil) || want != nil && !reflect.DeepEqual(got, *want) {
			t.Errorf("%q: got %+v %v", in, got, err)
		}
	}
	a := broker.Attempt{Query: "9b1f", Shard: 3, Key: "5c", Text: []byte("c41e\n7d"), Wait: 240500 * time.Microsecond}
	b := broker.Attempt{Query: "9b1f", Shard: 4, Text: []byte("x"), Wait: time.Microsecond}
	want := frame("S9b1f.3 3 d=240,k=5c 7\nc41e\n7d9b1f.4 4 d=1 1\nx")
	if got := appendCall(nil, []broker.Attempt{a, b}); string(got) != string(want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := appendProbe(appendCancel(nil, "9b1f.3")); string(got) != string(frame("C9b1f.3"))+string(frame("H")) {
		t.Errorf("got %q", got)
	}
}

// sink collects outcomes.
type sink struct {
	mu     sync.Mutex
	got    map[broker.AttemptID]decide.Outcome
	twice  bool
	probes []decide.Outcome
}

func (s *sink) Outcome(id broker.AttemptID, o decide.Outcome, _ []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, had := s.got[id]
	s.got[id], s.twice = o, s.twice || had
}

func (s *sink) Probed(_ string, o decide.Outcome, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes = append(s.probes, o)
}

func (s *sink) wait(t *testing.T, id broker.AttemptID, want decide.Outcome) {
	t.Helper()
	testkit.Eventually(t, "an outcome", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, ok := s.got[id]
		return ok
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.got[id] != want || s.twice {
		t.Fatalf("attempt %d: outcome %d (twice: %v), want %d", id, s.got[id], s.twice, want)
	}
}

func client(t *testing.T, streams int, idle time.Duration) (*Client, *sink) {
	t.Helper()
	loop, err := netio.New(64 << 20)
	if err != nil {
		t.Fatal(err)
	}
	s := &sink{got: map[broker.AttemptID]decide.Outcome{}}
	c := New(Options{Loop: loop, Sink: s, StreamsPerConn: streams, ConnIdle: idle, ConnectTimeout: 200 * time.Millisecond,
		MaxConns: 4, Log: zerolog.New(io.Discard)})
	t.Cleanup(func() {
		c.Close()
		loop.Stop()
	})
	return c, s
}

func attempt(id int) broker.Attempt {
	return broker.Attempt{ID: broker.AttemptID(id), Query: "q", Shard: id, Text: []byte("x"), Wait: time.Minute}
}

func (c *Client) send(node string, a broker.Attempt) { c.Send(node, []broker.Attempt{a}) }

func (c *Client) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns
}

func TestOutcomes(t *testing.T) {
	c, s := client(t, 2, 0)
	n := testkit.NewNode(t, "n", false)
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}, {ID: "dead", Addr: dead.Addr().String()}})
	n.Work(func(call testkit.Call) string {
		return []string{testkit.Done, testkit.Fail, testkit.Full, testkit.Break, testkit.Silent}[call.Shard%5]
	})
	for id, want := range []decide.Outcome{decide.OK, decide.Failed, decide.Rejected, decide.Broken} {
		c.send("n", attempt(id))
		s.wait(t, broker.AttemptID(id), want)
	}
	c.send("dead", attempt(10))
	s.wait(t, 10, decide.Unreachable)
	c.send("unlisted", attempt(11))
	s.wait(t, 11, decide.Unreachable)
	c.Probe("n")
	testkit.Eventually(t, "the probe", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.probes) == 1 && s.probes[0] == decide.OK
	})
	// A part given up is told to the node, and its id is not used again on that
	// connection: its late answer would pass for the new attempt's.
	c.send("n", attempt(14))
	n.Wait(t, "the part", func() bool { return len(n.Calls()) == 5 })
	c.Cancel("n", 14)
	n.Wait(t, "the part given up", func() bool { return len(n.GivenUp()) == 1 })
	before := c.open()
	again := attempt(14)
	again.ID = 15
	c.send("n", again)
	if c.open() != before+1 {
		t.Errorf("%d connections, want one more than %d", c.open(), before)
	}
	n.Wait(t, "the new attempt", func() bool { return len(n.Calls()) == 6 })
	n.Cut()
	s.wait(t, 15, decide.Broken)
}

// A frame whose last byte had not left when the connection broke never ran;
// one that left whole may have.
func TestPartialWriteNeverRan(t *testing.T) {
	c, s := client(t, 8, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c.Update([]broker.Node{{ID: "n", Addr: l.Addr().String()}})
	c.send("n", attempt(1))
	peer, err := l.Accept() // and reads nothing
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	var cn *conn
	testkit.Eventually(t, "the first frame has left", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		cn = c.nodes["n"].conns[0]
		return cn.sock != nil && cn.sock.Written() > 0
	})
	big := attempt(2)
	big.Text = []byte(strings.Repeat("x", 32<<20)) // more than the sockets hold
	c.send("n", big)
	if cn.sock.Backlog() == 0 {
		t.Fatal("the big frame left whole")
	}
	// The connection's bytes do not leave: it is given up, and nobody else waits on it.
	s.wait(t, 2, decide.Unreachable)
	s.wait(t, 1, decide.Broken)
}

func TestPool(t *testing.T) {
	c, s := client(t, 2, 200*time.Millisecond)
	n := testkit.NewNode(t, "n", false)
	n.Always(testkit.Silent)
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
	for id := range 8 { // 4 connections of 2 streams
		c.send("n", attempt(id))
	}
	n.Wait(t, "all parts", func() bool { return len(n.Calls()) == 8 })
	if c.open() != 4 {
		t.Errorf("%d connections, want 4", c.open())
	}
	c.send("n", attempt(8)) // no connection may be opened for it
	s.wait(t, 8, decide.Unreachable)
	for id := range 8 {
		c.Cancel("n", broker.AttemptID(id))
	}
	// Connections close before the server would, and the node is found again at
	// another address under its id.
	testkit.Eventually(t, "idle connections close", func() bool { return c.open() == 0 })
	moved := testkit.NewNode(t, "n", false)
	c.Update([]broker.Node{{ID: "n", Addr: moved.Addr}})
	c.send("n", attempt(20))
	s.wait(t, 20, decide.OK)
	if len(moved.Calls()) != 1 {
		t.Error("the part went to the old address")
	}
}
