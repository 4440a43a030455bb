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

// Frames are split off and results parsed only if they are well-formed and within bounds,
// and the frames sent have the bytes of the protocol.
func TestFramesAreParsedWithinBounds(t *testing.T) {
	frame := func(body string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
	}
	for _, c := range []struct {
		name      string
		in        []byte
		frameType byte
		n         int
		bad       bool
	}{
		{name: "nothing"},
		{name: "truncated length", in: []byte{0, 0}},
		{name: "truncated frame", in: frame("Rabc")[:6]},
		{name: "complete frame", in: frame("Rabc"), frameType: 'R', n: 8},
		{name: "no type", in: []byte{0, 0, 0, 0}, bad: true},
		{name: "length above the limit", in: []byte{0, 16, 0, 1, 'R'}, bad: true},
		{name: "length of 3 GB", in: []byte{0xb2, 0xd0, 0x5e, 0}, bad: true},
		{name: "unknown type", in: frame("Qabc")[:5], bad: true},
		{name: "line without an end", in: append([]byte{0, 0, 0xea, 0x60, 'R'}, strings.Repeat("x", maxLineBytes)...), bad: true},
		{name: "probe answer too long", in: []byte{0, 0, 8, 0, 'H'}, bad: true},
	} {
		frameType, _, n, err := nextFrame(c.in)
		if frameType != c.frameType || n != c.n || (err != nil) != c.bad {
			t.Errorf("%s: got frame type %q, %d bytes consumed, error %v", c.name, frameType, n, err)
		}
	}
	for in, want := range map[string]*result{
		"a.3 done 1840 -\nvalue": {"a.3", decide.OK, []byte("value")}, "a.3 full 1 -\n": {"a.3", decide.Rejected, []byte{}},
		"a.3 failed 1 -\n": {"a.3", decide.Failed, []byte{}}, "a.3 done 1 x,y\n\n": {"a.3", decide.OK, []byte("\n")},
		"a.3 done 1 \xff what is this\nv": {"a.3", decide.OK, []byte("v")}, // an unparseable report is ignored
		"a.3 done 1 -":                    nil, "a.3 done\n": nil, " done 1 -\n": nil, "a.3 gone 1 -\nv": nil, "a.3 done x -\nv": nil,
		"a.3 done 1 -\nv\xff": nil, "a.3 done 1 -\nv\x00\x00\x00\x10Ra.4 done": nil,
	} {
		got, err := parseResult([]byte(in))
		if (err != nil) != (want == nil) || want != nil && !reflect.DeepEqual(got, *want) {
			t.Errorf("parseResult(%q): got %+v, error %v", in, got, err)
		}
	}
	a := broker.Attempt{RequestID: "9b1f", Shard: 3, IdempotencyKey: "5c", Text: []byte("c41e\n7d"), Timeout: 240500 * time.Microsecond}
	b := broker.Attempt{RequestID: "9b1f", Shard: 4, Text: []byte("x"), Timeout: time.Microsecond}
	want := frame("S9b1f.3 3 d=240,k=5c 7\nc41e\n7d9b1f.4 4 d=1 1\nx")
	if got := appendCall(nil, []broker.Attempt{a, b}); string(got) != string(want) {
		t.Errorf("call frame: got %q, want %q", got, want)
	}
	if got := appendProbe(appendCancel(nil, "9b1f.3")); string(got) != string(frame("C9b1f.3"))+string(frame("H")) {
		t.Errorf("cancel and probe frames: got %q", got)
	}
}

// sink records the outcomes of attempts and probes.
type sink struct {
	mu        sync.Mutex
	outcomes  map[broker.AttemptID]decide.Outcome
	duplicate bool
	probes    []decide.Outcome
}

func (s *sink) AttemptOutcome(id broker.AttemptID, o decide.Outcome, _ broker.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ended := s.outcomes[id]
	s.outcomes[id], s.duplicate = o, s.duplicate || ended
}

func (s *sink) ProbeOutcome(_ string, o decide.Outcome, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes = append(s.probes, o)
}

func (s *sink) expect(t *testing.T, id broker.AttemptID, want decide.Outcome) {
	t.Helper()
	testkit.Eventually(t, "an outcome", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, ok := s.outcomes[id]
		return ok
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcomes[id] != want || s.duplicate {
		t.Fatalf("attempt %d: outcome %d (duplicate: %v), want %d", id, s.outcomes[id], s.duplicate, want)
	}
}

// newClient returns a client of 4 connections at most, with a connect timeout of 200 ms,
// and its sink. Each connection carries up to streams attempts; idleTimeout is that of the
// servers.
func newClient(t *testing.T, streams int, idleTimeout time.Duration) (*Client, *sink) {
	t.Helper()
	loop, err := netio.New(64 << 20)
	if err != nil {
		t.Fatal(err)
	}
	s := &sink{outcomes: map[broker.AttemptID]decide.Outcome{}}
	c := New(Options{Loop: loop, Sink: s, StreamsPerConn: streams, ServerIdleTimeout: idleTimeout, ConnectTimeout: 200 * time.Millisecond,
		MaxConns: 4, Log: zerolog.New(io.Discard)})
	t.Cleanup(func() {
		c.Close()
		loop.Stop()
	})
	return c, s
}

// attempt returns an attempt whose id and shard are the given number.
func attempt(id int) broker.Attempt {
	return broker.Attempt{ID: broker.AttemptID(id), RequestID: "q", Shard: id, Text: []byte("x"), Timeout: time.Minute}
}

// send sends one attempt in a call of its own.
func (c *Client) send(node string, a broker.Attempt) { c.Send(node, []broker.Attempt{a}) }

// connCount returns the number of connections that count against MaxConns.
func (c *Client) connCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openConns
}

// Each way in which a part or probe can end is reported as its own outcome.
func TestEachResultGetsItsOutcome(t *testing.T) {
	c, s := newClient(t, 2, 0)
	n := testkit.NewNode(t, "n", false)
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}, {ID: "dead", Addr: dead.Addr().String()}})
	n.SetResponder(func(call testkit.Part) string {
		return []string{testkit.Done, testkit.Failed, testkit.Full, testkit.Disconnect, testkit.NeverAnswer}[call.Shard%5]
	})
	for id, want := range []decide.Outcome{decide.OK, decide.Failed, decide.Rejected, decide.ConnectionLost} {
		c.send("n", attempt(id))
		s.expect(t, broker.AttemptID(id), want)
	}
	c.send("dead", attempt(10))
	s.expect(t, 10, decide.Unreachable)
	c.send("unlisted", attempt(11))
	s.expect(t, 11, decide.Unreachable)
	c.Probe("n")
	testkit.Eventually(t, "the probe", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.probes) == 1 && s.probes[0] == decide.OK
	})
	// Cancelling a part notifies the node, and its id is not reused on that connection: the
	// late answer would be taken for the new attempt's.
	c.send("n", attempt(14))
	n.WaitFor(t, "the part", func() bool { return len(n.Parts()) == 5 })
	c.Cancel("n", 14)
	n.WaitFor(t, "the part is cancelled", func() bool { return len(n.Cancelled()) == 1 })
	before := c.connCount()
	again := attempt(14)
	again.ID = 15
	c.send("n", again)
	if c.connCount() != before+1 {
		t.Errorf("%d connections, want one more than %d, as the part is still cancelled on the first", c.connCount(), before)
	}
	n.WaitFor(t, "the new attempt", func() bool { return len(n.Parts()) == 6 })
	n.ResetConnections()
	s.expect(t, 15, decide.ConnectionLost)
}

// clientWithBlockedFrame returns the client of a node that reads nothing, with one part
// open there and a second one whose frame waits for the full socket.
func clientWithBlockedFrame(t *testing.T) (c *Client, s *sink, peer net.Conn, big broker.Attempt) {
	t.Helper()
	c, s, peer, cn := clientOfNonReadingNode(t)
	big = attempt(2)
	big.Text = []byte(strings.Repeat("x", 32<<20)) // more than the socket buffers hold
	c.send("n", big)
	if cn.sock.Backlog() == 0 {
		t.Fatal("the big frame was written whole")
	}
	return c, s, peer, big
}

// clientOfNonReadingNode returns the client of a node that reads nothing, with one part
// open there.
func clientOfNonReadingNode(t *testing.T) (c *Client, s *sink, peer net.Conn, cn *conn) {
	t.Helper()
	c, s = newClient(t, 8, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	c.Update([]broker.Node{{ID: "n", Addr: l.Addr().String()}})
	c.send("n", attempt(1))
	if peer, err = l.Accept(); err != nil { // never read from
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	testkit.Eventually(t, "the first frame is written", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		cn = c.nodes["n"].conns[0]
		cn.node.smoothedLatency = time.Minute // so that the connection does not count as silent
		return cn.sock != nil && cn.sock.Written() > 0
	})
	return c, s, peer, cn
}

// Whatever error the system reports for the end of a connection, a frame that was written
// whole may have run.
func TestPartsMayHaveRunWhateverTheSystemError(t *testing.T) {
	for i, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.EPIPE, syscall.ENETUNREACH} {
		c, s := newClient(t, 8, 0)
		n := testkit.NewNode(t, "n", false)
		n.SetResponse(testkit.NeverAnswer)
		c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
		c.send("n", attempt(i))
		n.WaitFor(t, "the part", func() bool { return len(n.Parts()) == 1 })
		c.mu.Lock()
		cn := c.nodes["n"].conns[0]
		c.mu.Unlock()
		cn.Closed(errno)
		s.expect(t, broker.AttemptID(i), decide.ConnectionLost)
	}
}

// The part of a frame whose last byte had not been written when the connection broke never
// ran; one whose frame was written whole may have run.
func TestPartiallyWrittenFrameCountsAsNeverRan(t *testing.T) {
	_, s, _, _ := clientWithBlockedFrame(t)
	// The socket takes no more of the big frame, so the connection is closed.
	s.expect(t, 2, decide.Unreachable)
	s.expect(t, 1, decide.ConnectionLost)
}

// A frame that waits for a full socket must not be written once its part may not begin any
// more, because the class's window is over or the node is draining: the connection is
// closed by then, and a node that reads again gets no more of the frame.
func TestNoFrameIsWrittenPastItsLatestStart(t *testing.T) {
	for _, frameTimeout := range []time.Duration{frameWriteTimeout, time.Hour} { // by the frame timeout, and by the latest start alone
		c, s, peer, _ := clientOfNonReadingNode(t)
		c.mu.Lock()
		c.frameTimeout = frameTimeout
		c.mu.Unlock()
		big := attempt(2)
		big.Text = []byte(strings.Repeat("x", 32<<20)) // more than the socket buffers hold
		big.LatestStart = time.Now().Add(2 * time.Second)
		if frameTimeout == frameWriteTimeout {
			big.LatestStart = time.Time{}
		}
		c.send("n", big)
		s.expect(t, 2, decide.Unreachable)
		if now := time.Now(); !big.LatestStart.IsZero() && now.Before(big.LatestStart) {
			t.Errorf("the connection was closed %v before the latest start", big.LatestStart.Sub(now))
		}
		if got, err := io.CopyN(io.Discard, peer, int64(len(big.Text))); err == nil {
			t.Errorf("the node got all %d bytes of a part past its latest start", got)
		}
	}
}

// A part whose frame waits for a full socket must not begin once it has been cancelled, for
// example because its client has left: the node, which reads again at once, never gets it
// whole.
func TestCancelledPartBehindAFullSocketDoesNotRun(t *testing.T) {
	c, s, peer, big := clientWithBlockedFrame(t)
	c.Cancel("n", big.ID)
	got, err := io.CopyN(io.Discard, peer, int64(len(big.Text))) // otherwise the connection ends, cleanly or by a reset
	if err == nil {
		t.Errorf("the node got all %d bytes of a cancelled part", got)
	}
	s.expect(t, 1, decide.ConnectionLost)
}

// A part must not begin if its client leaves after the local kernel has taken the frame but
// before the node has, because its link is down or it reads nothing. The kernel goes on
// sending the frame, so without a reset of the connection the part would begin whenever the
// node's kernel accepts bytes again, however much later. An attempt that begins more than
// 0.1 s after its client has left counts as a lost request.
func TestUndeliveredCancelledPartDoesNotRun(t *testing.T) {
	c, s, peer, cn := clientOfNonReadingNode(t)
	big := attempt(2)
	big.Text = []byte(strings.Repeat("x", 512<<10)) // more than the receive buffer of a node that reads nothing, less than the local send buffer
	c.send("n", big)
	testkit.Eventually(t, "the local kernel has the whole frame", func() bool { return cn.sock.Backlog() == 0 })
	c.Cancel("n", big.ID)
	time.Sleep(100 * time.Millisecond) // the time within which an attempt may begin after its client has left
	if got, err := io.CopyN(io.Discard, peer, int64(len(big.Text))); err == nil {
		t.Errorf("the node got all %d bytes of a part whose client had left", got)
	}
	s.expect(t, 1, decide.ConnectionLost)
}

// Another server may answer at a node's address once another process uses the port, such as a
// web server, an echo server or a Flight server. Nothing that it sends may count as an answer,
// and each part gets an outcome.
func TestForeignServerAtANodesAddress(t *testing.T) {
	for name, serve := range map[string]func(net.Conn){
		"web server":     func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n") },
		"echo server":    func(c net.Conn) { _, _ = io.Copy(c, c) },
		"Flight server":  func(c net.Conn) { _, _ = c.Write([]byte{0, 0, 6, 4, 0, 0, 0, 0, 0, 0, 5, 0, 0, 64, 0}) }, // an HTTP/2 SETTINGS frame
		"closing server": func(net.Conn) {},
	} {
		c, s := newClient(t, 8, 0)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() { // ends when the listener is closed
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
				_, ok := s.outcomes[broker.AttemptID(id)]
				return ok
			})
		}
		s.mu.Lock()
		for id, got := range s.outcomes {
			if got != decide.Failed && got != decide.ConnectionLost && got != decide.Cancelled {
				t.Errorf("%s, attempt %d: outcome %v, want failed, connection lost or cancelled", name, id, got)
			}
		}
		s.mu.Unlock()
	}
}

// The pool opens no more connections than its limit, idle ones are closed before the server
// would do so, and a node that has moved is reached at its new address.
func TestPoolLimitAndIdleClose(t *testing.T) {
	c, s := newClient(t, 2, 200*time.Millisecond)
	n := testkit.NewNode(t, "n", false)
	n.SetResponse(testkit.NeverAnswer)
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
	for id := range 8 { // fills 4 connections of 2 streams
		c.send("n", attempt(id))
	}
	n.WaitFor(t, "all parts", func() bool { return len(n.Parts()) == 8 })
	if c.connCount() != 4 {
		t.Errorf("%d connections for 8 parts of 2 per connection, want 4", c.connCount())
	}
	c.send("n", attempt(8)) // the pool is full, which is not the node's fault
	s.expect(t, 8, decide.NotSent)
	for id := range 8 {
		c.Cancel("n", broker.AttemptID(id))
	}
	// Connections close before the server would close them, and the node is reached under
	// its id at another address.
	testkit.Eventually(t, "idle connections are closed", func() bool { return c.connCount() == 0 })
	moved := testkit.NewNode(t, "n", false)
	c.Update([]broker.Node{{ID: "n", Addr: moved.Addr}})
	c.send("n", attempt(20))
	s.expect(t, 20, decide.OK)
	if len(moved.Parts()) != 1 {
		t.Error("the part went to the old address")
	}
}

// With more nodes listed than connections allowed, the connection that has been idle the
// longest is closed to make room, and each node is reached time and again.
func TestMoreNodesThanConnections(t *testing.T) {
	c, s := newClient(t, 2, time.Minute)
	list := make([]broker.Node, 12)
	for i := range list {
		n := testkit.NewNode(t, strconv.Itoa(i), false)
		list[i] = broker.Node{ID: n.ID, Addr: n.Addr}
	}
	c.Update(list)
	for id := range 3 * len(list) {
		c.send(list[id%len(list)].ID, attempt(id))
		s.expect(t, broker.AttemptID(id), decide.OK)
		if c.connCount() > 4 {
			t.Fatalf("%d connections, want 4 at most", c.connCount())
		}
	}
	testkit.Eventually(t, "closed connections are no longer tracked", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		tracked := 0
		for _, n := range c.nodes {
			tracked += len(n.conns)
		}
		return tracked == 4 && c.openConns == 4
	})
}

// A connect that never completes, with a connect timeout of an hour, must not delay Close.
func TestCloseAbortsPendingConnects(t *testing.T) {
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
	for i := 0; ; i++ { // nobody accepts: once the backlog is full further connects hang
		conn, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			break
		}
		defer conn.Close()
		if i > 64 {
			t.Skip("the listen backlog of this system does not fill up")
		}
	}
	loop, err := netio.New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop()
	c := New(Options{Loop: loop, Sink: &sink{outcomes: map[broker.AttemptID]decide.Outcome{}}, ConnectTimeout: time.Hour, MaxConns: 4,
		Log: zerolog.New(io.Discard)})
	c.Update([]broker.Node{{ID: "n", Addr: addr}})
	c.send("n", attempt(1))
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.Close()
	}()
	testkit.Eventually(t, "the client is closed", func() bool {
		select {
		case <-closed:
			return true
		default:
			return false
		}
	})
}

// A malformed answer closes its connection at once. Each part on it gets exactly one
// outcome, all of them may have run, and only one counts as the node's fault.
func TestMalformedAnswerClosesItsConnection(t *testing.T) {
	for name, raw := range map[string]string{
		"random bytes":                  "\xde\xad\xbe\xef\xde\xad\xbe\xef",
		"unknown frame type":            testkit.Frame('Z', "q.2 done 1 -\nv"),
		"unknown outcome word":          testkit.Frame('R', "q.2 gone 1 -\nv"),
		"id of no open part":            testkit.Frame('R', "other.2 done 1 -\nv"),
		"line without an end":           testkit.Frame('R', strings.Repeat("x", 4<<10)),
		"length too large":              "\x00\x00\x00\xffRq.2 done 1 -\nv",
		"length too small":              "\x00\x00\x00\x03Rq.2 done 1 -\nv",
		"value of 3 GB":                 "\xb2\xd0\x5e\x00Rq.2 done 1 -\n" + strings.Repeat("v", 1<<20),
		"length that takes in the next": "\x00\x00\x00\x20Rq.2 done 1 -\nv" + testkit.Frame('R', "q.1 done 1 -\nv"),
	} {
		c, s := newClient(t, 8, 0)
		n := testkit.NewNode(t, "n", false)
		n.SetResponse(testkit.NeverAnswer)
		c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
		c.send("n", attempt(1))
		n.WaitFor(t, "the first part", func() bool { return len(n.Parts()) == 1 })
		n.SetResponse(testkit.RawResponse + raw)
		c.send("n", attempt(2))
		testkit.Eventually(t, name+": both parts end and the connection is closed", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.outcomes) == 2 && c.connCount() == 0
		})
		if got := []decide.Outcome{s.outcomes[1], s.outcomes[2]}; s.duplicate ||
			!reflect.DeepEqual(got, []decide.Outcome{decide.Failed, decide.Cancelled}) &&
				!reflect.DeepEqual(got, []decide.Outcome{decide.Cancelled, decide.Failed}) {
			t.Errorf("%s: outcomes %v, duplicate %v", name, got, s.duplicate)
		}
		n.SetResponse(testkit.Done)
		c.send("n", attempt(3))
		s.expect(t, 3, decide.OK)
	}
}

// Bytes that follow a valid answer, or an unparseable report in it, do not invalidate it.
func TestValidAnswerSurvivesWhatFollowsIt(t *testing.T) {
	good := testkit.Frame('R', "q.1 done 1 -\nv")
	for name, raw := range map[string]string{
		"duplicate answer":    good + good,
		"random bytes":        good + "\xde\xad\xbe\xef\xde\xad\xbe\xef",
		"truncated duplicate": good + good[:9],
		"unparseable report":  testkit.Frame('R', "q.1 done 1 \xff\xfe 7 ,,=\nv"),
	} {
		c, s := newClient(t, 8, 0)
		n := testkit.NewNode(t, "n", false)
		n.SetResponse(testkit.RawResponse + raw)
		c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
		c.send("n", attempt(1))
		s.expect(t, 1, decide.OK)
		n.SetResponse(testkit.Done)
		c.send("n", attempt(2))
		testkit.Eventually(t, name+": the next part ends", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.outcomes) == 2
		})
	}
}

// A connection without answers gets no new parts while its node answers on another one, and
// the parts on it end before their time-outs.
func TestSilentConnectionIsClosed(t *testing.T) {
	c, s := newClient(t, 8, 0)
	n := testkit.NewNode(t, "n", false)
	n.SetResponse(testkit.NeverAnswer)
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
	c.send("n", attempt(1))
	n.WaitFor(t, "the first part", func() bool { return len(n.Parts()) == 1 })
	n.SetResponse(testkit.Done)
	testkit.Eventually(t, "the connection counts as silent", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.nodes["n"].conns[0].isSilent(time.Now())
	})
	id := 2
	testkit.Eventually(t, "the silent connection is closed", func() bool {
		c.send("n", attempt(id)) // the node answers on another connection
		s.expect(t, broker.AttemptID(id), decide.OK)
		id++
		s.mu.Lock()
		defer s.mu.Unlock()
		_, ended := s.outcomes[1]
		return ended
	})
	s.expect(t, 1, decide.Cancelled)
}

// A connection that the node has closed after its answer gets no part, even before the
// close has been read: the part would be lost and might have run.
func TestClosedConnectionIsNotChosen(t *testing.T) {
	c, s := newClient(t, 8, 0)
	n := testkit.NewNode(t, "n", false)
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
	c.send("n", attempt(1))
	s.expect(t, 1, decide.OK)
	c.mu.Lock() // keeps the client from processing the close
	n.ResetConnections()
	cn := c.nodes["n"].pickConn(8, []broker.Attempt{attempt(2)}, false)
	c.mu.Unlock()
	if cn != nil {
		t.Error("a connection that the node has closed was chosen")
	}
	c.send("n", attempt(2))
	s.expect(t, 2, decide.OK)
}

// After a node has closed a connection on which several parts were waiting, each part gets
// a connection of its own for a while.
func TestPartsGetOwnConnectionsAfterABreak(t *testing.T) {
	c, s := newClient(t, 8, 0)
	n := testkit.NewNode(t, "n", false)
	n.SetResponse(testkit.NeverAnswer)
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
	send := func(firstID int) {
		for id := firstID; id < firstID+2; id++ {
			c.send("n", attempt(id))
		}
		n.WaitFor(t, "both parts", func() bool { return len(n.Parts()) == firstID+1 })
	}
	send(1)
	if c.connCount() != 1 {
		t.Fatalf("%d connections for two parts before the break, want 1", c.connCount())
	}
	n.ResetConnections()
	s.expect(t, 1, decide.ConnectionLost)
	s.expect(t, 2, decide.ConnectionLost)
	send(3)
	if c.connCount() != 2 {
		t.Errorf("%d connections after a break, want one for each part", c.connCount())
	}
	for id := 5; id < 9; id++ { // once the pool is full, parts share connections again
		c.send("n", attempt(id))
	}
	n.WaitFor(t, "all parts", func() bool { return len(n.Parts()) == 8 })
}

// Whatever bytes a node sends, each frame that is split off is complete and within bounds,
// and each result has an id and a value that is valid in a JSON text.
func FuzzFrames(f *testing.F) {
	f.Add([]byte(testkit.Frame('R', "q.2 done 1 -\nv") + testkit.Frame('H', "done") + testkit.Frame('F', "no")))
	f.Add([]byte("\x00\x00\x00\xffRq.2 done 1 -\nv"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for {
			frameType, body, n, err := nextFrame(data)
			if err != nil || n == 0 {
				return
			}
			if n != len(body)+5 || n > 4+maxFrameBytes {
				t.Fatalf("%q: frame of %d bytes with a body of %d", data, n, len(body))
			}
			if r, err := parseResult(body); frameType == 'R' && err == nil && (r.partID == "" || len(r.value) > maxValueBytes || !utf8.Valid(r.value)) {
				t.Fatalf("%q: got %+v", body, r)
			}
			data = data[n:]
		}
	})
}
