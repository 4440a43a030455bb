package flightnode

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/netio"
	"onyxsail/internal/testkit"
)

// rawRequest is one request as a rawNode received it.
type rawRequest struct {
	conn     int // number of the connection, from 0
	stream   uint32
	headers  map[string]string
	cameAt   time.Time // when the headers came
	bytes    int       // of its data
	whole    bool      // its last byte has come
	withdraw bool      // the client reset it
}

// rawNode is a server of HTTP/2 frames that decides itself when it reads and what flow control
// permits. It answers no request.
type rawNode struct {
	t        *testing.T
	addr     string
	settings []http2.Setting

	mu       sync.Mutex
	changed  *sync.Cond
	paused   bool // it does not read
	conns    []net.Conn
	framers  []*http2.Framer
	ended    int // connections that the client has ended
	requests []*rawRequest
}

// newRawNode starts a rawNode whose kernel holds few unread bytes if tinyBuffer is set.
func newRawNode(t *testing.T, tinyBuffer bool, settings ...http2.Setting) *rawNode {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if !tinyBuffer {
			return nil
		}
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &rawNode{t: t, addr: broker.FlightScheme + l.Addr().String(), settings: settings}
	n.changed = sync.NewCond(&n.mu)
	var serving sync.WaitGroup
	t.Cleanup(func() {
		l.Close()
		n.setPaused(false)
		n.mu.Lock()
		for _, c := range n.conns {
			c.Close()
		}
		n.mu.Unlock()
		serving.Wait()
	})
	serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { n.serve(c) })
		}
	})
	return n
}

// update calls f with the lock held and wakes those who wait for a change.
func (n *rawNode) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	n.changed.Broadcast()
}

// setPaused makes the node stop or go on reading.
func (n *rawNode) setPaused(paused bool) { n.update(func() { n.paused = paused }) }

// serve reads one connection until its end.
func (n *rawNode) serve(c net.Conn) {
	defer c.Close()
	framer := http2.NewFramer(c, c)
	framer.ReadMetaHeaders = hpack.NewDecoder(initialHPACKTable, nil)
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	number := 0
	n.update(func() {
		number = len(n.conns)
		n.conns, n.framers = append(n.conns, c), append(n.framers, framer)
		_ = framer.WriteSettings(n.settings...)
	})
	defer n.update(func() { n.ended++ })
	for {
		n.mu.Lock()
		for n.paused {
			n.changed.Wait()
		}
		n.mu.Unlock()
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		n.update(func() { n.handle(number, framer, frame) })
	}
}

// handle records one frame; n.mu is held.
func (n *rawNode) handle(conn int, framer *http2.Framer, frame http2.Frame) {
	switch f := frame.(type) {
	case *http2.SettingsFrame:
		if !f.IsAck() {
			_ = framer.WriteSettingsAck()
		}
	case *http2.PingFrame:
		_ = framer.WritePing(true, f.Data)
	case *http2.MetaHeadersFrame:
		headers := map[string]string{}
		for _, field := range f.Fields {
			headers[field.Name] = field.Value
		}
		n.requests = append(n.requests, &rawRequest{conn: conn, stream: f.StreamID, headers: headers, cameAt: time.Now()})
	case *http2.DataFrame:
		r := n.find(conn, f.StreamID)
		r.bytes += len(f.Data())
		r.whole = r.whole || f.StreamEnded()
	case *http2.RSTStreamFrame:
		n.find(conn, f.StreamID).withdraw = true
	}
}

// find returns a request that has come; n.mu is held.
func (n *rawNode) find(conn int, stream uint32) *rawRequest {
	for _, r := range n.requests {
		if r.conn == conn && r.stream == stream {
			return r
		}
	}
	n.t.Errorf("a frame of stream %d came without headers", stream)
	return &rawRequest{}
}

// waitFor waits until a condition on the requests holds; it is called with n.mu held.
func (n *rawNode) waitFor(description string, condition func() bool) {
	n.t.Helper()
	testkit.Eventually(n.t, description, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return condition()
	})
}

// grant permits the client to send more: on the latest connection, and on all its streams.
func (n *rawNode) grant(bytes uint32) {
	n.mu.Lock()
	defer n.mu.Unlock()
	latest := len(n.framers) - 1
	_ = n.framers[latest].WriteWindowUpdate(0, bytes)
	for _, r := range n.requests {
		if r.conn == latest && !r.whole && !r.withdraw {
			_ = n.framers[latest].WriteWindowUpdate(r.stream, bytes)
		}
	}
}

// heldClient is a client whose attempts go to one rawNode.
type heldClient struct {
	*Client
	t    *testing.T
	sink *sink
	node *rawNode
}

// newHeldClient returns a client of a node. tinyBuffer bounds what its own kernel takes unread.
func newHeldClient(t *testing.T, node *rawNode, tinyBuffer bool) *heldClient {
	t.Helper()
	dialer := netio.NewDialer()
	if tinyBuffer {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096) })
		}
	}
	s := &sink{outcomes: map[broker.AttemptID][]decide.Outcome{}}
	c := &heldClient{t: t, sink: s, node: node, Client: New(Options{
		Sink: s, ConnectTimeout: 20 * time.Second, Dialer: dialer, MaxConns: 4, Log: zerolog.New(io.Discard)})}
	t.Cleanup(c.Close)
	c.list(time.Time{})
	return c
}

// list lists the node with a latest start; zero: none.
func (c *heldClient) list(latest time.Time) {
	c.Update([]broker.Node{{ID: "n", Addr: c.node.addr, Latest: latest}})
}

// send sends an attempt whose query has so many bytes.
func (c *heldClient) send(id broker.AttemptID, queryBytes int, latest time.Time) {
	c.Send("n", []broker.Attempt{{ID: id, Node: "n", RequestID: "q", Shard: int(id), Text: make([]byte, queryBytes), Timeout: time.Minute, LatestStart: latest}})
}

// outcome waits for the one outcome of an attempt.
func (c *heldClient) outcome(id broker.AttemptID) decide.Outcome {
	c.t.Helper()
	var got []decide.Outcome
	testkit.Eventually(c.t, "an outcome", func() bool {
		c.sink.mu.Lock()
		defer c.sink.mu.Unlock()
		got = c.sink.outcomes[id]
		return len(got) > 0
	})
	if len(got) != 1 {
		c.t.Errorf("attempt %d: outcomes %v, want one", id, got)
	}
	return got[0]
}

// expect waits for the outcome of an attempt and checks it.
func (c *heldClient) expect(id broker.AttemptID, want decide.Outcome) {
	c.t.Helper()
	if got := c.outcome(id); got != want {
		c.t.Errorf("attempt %d: outcome %d, want %d", id, got, want)
	}
}
