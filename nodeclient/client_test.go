package nodeclient

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
	"unicode/utf8"

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
		{name: "3 GB", in: []byte{0xb2, 0xd0, 0x5e, 0}, bad: true},
		{name: "unknown letter", in: frame("Qabc")[:5], bad: true},
		{name: "a line that does not end", in: append([]byte{0, 0, 0xea, 0x60, 'R'}, strings.Repeat("x", maxLine)...), bad: true},
		{name: "a probe's answer too long", in: []byte{0, 0, 8, 0, 'H'}, bad: true},
	} {
		letter, _, n, err := nextFrame(c.in)
		if letter != c.letter || n != c.n || (err != nil) != c.bad {
			t.Errorf("%s: got %q %d %v", c.name, letter, n, err)
		}
	}
	for in, want := range map[string]*result{
		"a.3 done 1840 -\nvalue": {"a.3", decide.OK, []byte("value")}, "a.3 full 1 -\n": {"a.3", decide.Rejected, []byte{}},
		"a.3 failed 1 -\n": {"a.3", decide.Failed, []byte{}}, "a.3 done 1 x,y\n\n": {"a.3", decide.OK, []byte("\n")},
		"a.3 done 1 \xff what is this\nv": {"a.3", decide.OK, []byte("v")}, // a report that can't be read spoils nothing
		"a.3 done 1 -":                    nil, "a.3 done\n": nil, " done 1 -\n": nil, "a.3 gone 1 -\nv": nil, "a.3 done x -\nv": nil,
		"a.3 done 1 -\nv\xff": nil, "a.3 done 1 -\nv\x00\x00\x00\x10Ra.4 done": nil,
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

func (s *sink) Outcome(id broker.AttemptID, o decide.Outcome, _ broker.Answer) {
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
	for id, want := range []decide.Outcome{decide.OK, decide.Failed, decide.Rejected, decide.ConnectionLost} {
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
	s.wait(t, 15, decide.ConnectionLost)
}

// A frame whose last byte had not left when the connection broke never ran;
// one that left whole may have.
// jammed is a node that reads nothing, with one part out there, and a second one whose
// frame waits for the full socket.
func jammed(t *testing.T) (c *Client, s *sink, peer net.Conn, big broker.Attempt) {
	t.Helper()
	c, s, peer, cn := jammedNode(t)
	big = attempt(2)
	big.Text = []byte(strings.Repeat("x", 32<<20)) // more than the sockets hold
	c.send("n", big)
	if cn.sock.Backlog() == 0 {
		t.Fatal("the big frame left whole")
	}
	return c, s, peer, big
}

// jammedNode is a node that reads nothing, with one part out there.
func jammedNode(t *testing.T) (c *Client, s *sink, peer net.Conn, cn *conn) {
	t.Helper()
	c, s = client(t, 8, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	c.Update([]broker.Node{{ID: "n", Addr: l.Addr().String()}})
	c.send("n", attempt(1))
	if peer, err = l.Accept(); err != nil { // and reads nothing
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	testkit.Eventually(t, "the first frame has left", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		cn = c.nodes["n"].conns[0]
		cn.node.usual = time.Minute // so that it does not count as silent
		return cn.sock != nil && cn.sock.Written() > 0
	})
	return c, s, peer, cn
}

// However the system words the end of a connection, what had left whole may have run.
func TestBrokenConnectionsBySystemError(t *testing.T) {
	for i, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.EPIPE, syscall.ENETUNREACH} {
		c, s := client(t, 8, 0)
		n := testkit.NewNode(t, "n", false)
		n.Always(testkit.Silent)
		c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
		c.send("n", attempt(i))
		n.Wait(t, "the part", func() bool { return len(n.Calls()) == 1 })
		c.mu.Lock()
		cn := c.nodes["n"].conns[0]
		c.mu.Unlock()
		cn.Closed(errno)
		s.wait(t, broker.AttemptID(i), decide.ConnectionLost)
	}
}

func TestPartialWriteNeverRan(t *testing.T) {
	_, s, _, _ := jammed(t)
	// The connection's bytes do not leave: it is given up, and nobody else waits on it.
	s.wait(t, 2, decide.Unreachable)
	s.wait(t, 1, decide.ConnectionLost)
}

// A frame that waits for a full socket does not leave once its part may not begin any
// more, for its class's window say, or its node's drain: the connection is closed by then,
// and a node that reads again gets no more of it.
func TestNoFrameLeavesPastItsLatestBeginning(t *testing.T) {
	for _, within := range []time.Duration{frameWithin, time.Hour} { // by its own bound, by its latest beginning alone
		c, s, peer, _ := jammedNode(t)
		c.mu.Lock()
		c.frame = within
		c.mu.Unlock()
		big := attempt(2)
		big.Text = []byte(strings.Repeat("x", 32<<20)) // more than the sockets hold
		big.Latest = time.Now().Add(2 * time.Second)
		if within == frameWithin {
			big.Latest = time.Time{}
		}
		c.send("n", big)
		s.wait(t, 2, decide.Unreachable)
		if now := time.Now(); !big.Latest.IsZero() && now.Before(big.Latest) {
			t.Errorf("given up %v before its time", big.Latest.Sub(now))
		}
		if got, err := io.CopyN(io.Discard, peer, int64(len(big.Text))); err == nil {
			t.Errorf("the node got all %d bytes of a part past its time", got)
		}
	}
}

// A part whose frame waits for a full socket does not begin once it has been given up,
// its client having left maybe: the node, which reads again at once, never gets it whole.
func TestNothingBeginsBehindAFullSocket(t *testing.T) {
	c, s, peer, big := jammed(t)
	c.Cancel("n", big.ID)
	got, err := io.CopyN(io.Discard, peer, int64(len(big.Text))) // else the connection ends, in whichever way
	if err == nil {
		t.Errorf("the node got all %d bytes of a part that had been given up", got)
	}
	s.wait(t, 1, decide.ConnectionLost)
}

// A part's frame has been taken by our system and not by the node, whose link is cut or which
// reads nothing. Its client leaves. Our system goes on to send the frame: it used to begin
// whenever the node's system took bytes again, however long after, though an attempt that
// begins 0.1 s after its client has left is a lost request (row 30 of the audit).
func TestUndeliveredPartDoesNotBegin(t *testing.T) {
	c, s, peer, cn := jammedNode(t)
	big := attempt(2)
	big.Text = []byte(strings.Repeat("x", 512<<10)) // more than a system takes that nobody reads from, less than ours holds
	c.send("n", big)
	testkit.Eventually(t, "our system has all", func() bool { return cn.sock.Backlog() == 0 })
	c.Cancel("n", big.ID)
	time.Sleep(100 * time.Millisecond) // the term's own bound
	if got, err := io.CopyN(io.Discard, peer, int64(len(big.Text))); err == nil {
		t.Errorf("the node got all %d bytes of a part whose client had left", got)
	}
	s.wait(t, 1, decide.ConnectionLost)
}

// Somebody else answers at a node's address, whose port another process has got: a web
// server, one that sends back what it reads, a Flight server. Nothing of that counts as an
// answer, and each part has its outcome.
func TestStrangerAtANodesAddress(t *testing.T) {
	for name, serve := range map[string]func(net.Conn){
		"a web server":    func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n") },
		"an echo":         func(c net.Conn) { _, _ = io.Copy(c, c) },
		"a Flight server": func(c net.Conn) { _, _ = c.Write([]byte{0, 0, 6, 4, 0, 0, 0, 0, 0, 0, 5, 0, 0, 64, 0}) }, // HTTP/2 settings
		"one that leaves": func(net.Conn) {},
	} {
		c, s := client(t, 8, 0)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() { // ends with the listener
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					_, _ = io.ReadFull(conn, make([]byte, 1))
					serve(conn)
				}()
			}
		}()
		c.Update([]broker.Node{{ID: "n", Addr: l.Addr().String()}})
		for id := range 3 {
			c.send("n", attempt(id))
			testkit.Eventually(t, name+": an outcome", func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				_, ok := s.got[broker.AttemptID(id)]
				return ok
			})
		}
		s.mu.Lock()
		for id, got := range s.got {
			if got != decide.Failed && got != decide.ConnectionLost && got != decide.Cancelled {
				t.Errorf("%s, attempt %d: %v", name, id, got)
			}
		}
		s.mu.Unlock()
	}
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
	c.send("n", attempt(8)) // no connection may be opened for it, which is not the node's fault
	s.wait(t, 8, decide.NotSent)
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

// More nodes are listed than connections may be open: the one that has rested the
// longest makes room, and each node is reached, again and again.
func TestNodesBeyondThePool(t *testing.T) {
	c, s := client(t, 2, time.Minute)
	list := make([]broker.Node, 12)
	for i := range list {
		n := testkit.NewNode(t, strconv.Itoa(i), false)
		list[i] = broker.Node{ID: n.ID, Addr: n.Addr}
	}
	c.Update(list)
	for id := range 3 * len(list) {
		c.send(list[id%len(list)].ID, attempt(id))
		s.wait(t, broker.AttemptID(id), decide.OK)
		if c.open() > 4 {
			t.Fatalf("%d connections, want 4 at most", c.open())
		}
	}
	testkit.Eventually(t, "closed connections are forgotten", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		held := 0
		for _, n := range c.nodes {
			held += len(n.conns)
		}
		return held == 4 && c.conns == 4
	})
}

// A connection that never comes up, with a time-out as long as the settings like,
// holds up no stop.
func TestCloseEndsConnectionsInTheMaking(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for i := 0; ; i++ { // nobody accepts: once the queue is full the next ones hang
		conn, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			break
		}
		defer conn.Close()
		if i > 64 {
			t.Skip("this system's queue of connections has no end")
		}
	}
	loop, err := netio.New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop()
	c := New(Options{Loop: loop, Sink: &sink{got: map[broker.AttemptID]decide.Outcome{}}, ConnectTimeout: time.Hour, MaxConns: 4,
		Log: zerolog.New(io.Discard)})
	c.Update([]broker.Node{{ID: "n", Addr: addr}})
	c.send("n", attempt(1))
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.Close()
	}()
	testkit.Eventually(t, "the client closes", func() bool {
		select {
		case <-closed:
			return true
		default:
			return false
		}
	})
}

// A spoilt answer ends its connection at once. Each part on it has its one
// outcome, all of which may have run, and only one counts as the node's fault.
func TestSpoiltAnswers(t *testing.T) {
	for name, raw := range map[string]string{
		"noise":                         "\xde\xad\xbe\xef\xde\xad\xbe\xef",
		"a letter nobody knows":         testkit.Frame('Z', "q.2 done 1 -\nv"),
		"an end nobody knows":           testkit.Frame('R', "q.2 gone 1 -\nv"),
		"an id that is not out":         testkit.Frame('R', "other.2 done 1 -\nv"),
		"a line that does not end":      testkit.Frame('R', strings.Repeat("x", 4<<10)),
		"a length that says too much":   "\x00\x00\x00\xffRq.2 done 1 -\nv",
		"a length that says too little": "\x00\x00\x00\x03Rq.2 done 1 -\nv",
		"a value of 3 GB":               "\xb2\xd0\x5e\x00Rq.2 done 1 -\n" + strings.Repeat("v", 1<<20),
		"a value swallows the next":     "\x00\x00\x00\x20Rq.2 done 1 -\nv" + testkit.Frame('R', "q.1 done 1 -\nv"),
	} {
		c, s := client(t, 8, 0)
		n := testkit.NewNode(t, "n", false)
		n.Always(testkit.Silent)
		c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
		c.send("n", attempt(1))
		n.Wait(t, "the first part", func() bool { return len(n.Calls()) == 1 })
		n.Always(testkit.Raw + raw)
		c.send("n", attempt(2))
		testkit.Eventually(t, name+": both have ended and the connection is closed", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.got) == 2 && c.open() == 0
		})
		if got := []decide.Outcome{s.got[1], s.got[2]}; s.twice ||
			!reflect.DeepEqual(got, []decide.Outcome{decide.Failed, decide.Cancelled}) &&
				!reflect.DeepEqual(got, []decide.Outcome{decide.Cancelled, decide.Failed}) {
			t.Errorf("%s: outcomes %v, twice %v", name, got, s.twice)
		}
		n.Always(testkit.Done)
		c.send("n", attempt(3))
		s.wait(t, 3, decide.OK)
	}
}

// What comes behind a good answer, or stands in its report, takes nothing from it.
func TestGoodAnswersWithMore(t *testing.T) {
	good := testkit.Frame('R', "q.1 done 1 -\nv")
	for name, raw := range map[string]string{
		"a copy":      good + good,
		"noise":       good + "\xde\xad\xbe\xef\xde\xad\xbe\xef",
		"half a copy": good + good[:9],
		"its report":  testkit.Frame('R', "q.1 done 1 \xff\xfe 7 ,,=\nv"),
	} {
		c, s := client(t, 8, 0)
		n := testkit.NewNode(t, "n", false)
		n.Always(testkit.Raw + raw)
		c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
		c.send("n", attempt(1))
		s.wait(t, 1, decide.OK)
		n.Always(testkit.Done)
		c.send("n", attempt(2))
		testkit.Eventually(t, name+": the next part ends", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.got) == 2
		})
	}
}

// A connection that answers nothing while its node speaks on another gets no
// new parts, and those on it end before their time-outs.
func TestSilentConnection(t *testing.T) {
	c, s := client(t, 8, 0)
	n := testkit.NewNode(t, "n", false)
	n.Always(testkit.Silent)
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
	c.send("n", attempt(1))
	n.Wait(t, "the first part", func() bool { return len(n.Calls()) == 1 })
	n.Always(testkit.Done)
	testkit.Eventually(t, "it counts as silent", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.nodes["n"].conns[0].silent(time.Now())
	})
	id := 2
	testkit.Eventually(t, "the silent connection is closed", func() bool {
		c.send("n", attempt(id)) // the node speaks on another
		s.wait(t, broker.AttemptID(id), decide.OK)
		id++
		s.mu.Lock()
		defer s.mu.Unlock()
		_, ended := s.got[1]
		return ended
	})
	s.wait(t, 1, decide.Cancelled)
}

// A connection that the node has closed behind its answer gets no part, though
// the end has not been read yet: the part would be lost, and may have run.
func TestClosedConnectionIsNotChosen(t *testing.T) {
	c, s := client(t, 8, 0)
	n := testkit.NewNode(t, "n", false)
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
	c.send("n", attempt(1))
	s.wait(t, 1, decide.OK)
	c.mu.Lock() // holds back the news of the end
	n.Cut()
	cn := c.nodes["n"].pick(8, []broker.Attempt{attempt(2)}, false)
	c.mu.Unlock()
	if cn != nil {
		t.Error("the closed connection was chosen")
	}
	c.send("n", attempt(2))
	s.wait(t, 2, decide.OK)
}

// Where a node has closed a connection under parts that waited together, each
// part goes on one of its own for a while.
func TestPartsGoAloneAfterABreak(t *testing.T) {
	c, s := client(t, 8, 0)
	n := testkit.NewNode(t, "n", false)
	n.Always(testkit.Silent)
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
	send := func(from int) {
		for id := from; id < from+2; id++ {
			c.send("n", attempt(id))
		}
		n.Wait(t, "both parts", func() bool { return len(n.Calls()) == from+1 })
	}
	send(1)
	if c.open() != 1 {
		t.Fatalf("%d connections for two parts, want 1", c.open())
	}
	n.Cut()
	s.wait(t, 1, decide.ConnectionLost)
	s.wait(t, 2, decide.ConnectionLost)
	send(3)
	if c.open() != 2 {
		t.Errorf("%d connections after a break, want one for each part", c.open())
	}
	for id := 5; id < 9; id++ { // where no more may be opened, they share again
		c.send("n", attempt(id))
	}
	n.Wait(t, "all parts", func() bool { return len(n.Calls()) == 8 })
}

// Whatever a node sends, each frame is whole and within its bounds, and a result has
// an id and a value that can stand in a JSON text.
func FuzzFrames(f *testing.F) {
	f.Add([]byte(testkit.Frame('R', "q.2 done 1 -\nv") + testkit.Frame('H', "done") + testkit.Frame('F', "no")))
	f.Add([]byte("\x00\x00\x00\xffRq.2 done 1 -\nv"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for {
			letter, rest, n, err := nextFrame(data)
			if err != nil || n == 0 {
				return
			}
			if n != len(rest)+5 || n > 4+maxFrame {
				t.Fatalf("%q: a frame of %d bytes with %d in it", data, n, len(rest))
			}
			if r, err := parseResult(rest); letter == 'R' && err == nil && (r.id == "" || len(r.value) > maxValue || !utf8.Valid(r.value)) {
				t.Fatalf("%q: got %+v", rest, r)
			}
			data = data[n:]
		}
	})
}
