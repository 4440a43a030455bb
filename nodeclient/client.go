// Package nodeclient carries attempts to shard servers in frames over TCP. It
// keeps a pool of connections a node, each with many calls at once, and tells
// what never ran from what may have run.
package nodeclient

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/netio"
)

const (
	maxAbandoned = 256 // ids that a connection remembers as given up
	sweepEvery   = 100 * time.Millisecond
	// stuckFor is how long written bytes may wait for a full socket before the
	// connection counts as broken.
	stuckFor = 250 * time.Millisecond
	// idleShare of the server's idle time is when we close first: a request that
	// crosses the server's own close would end as a reset.
	idleShare = 0.7
)

// Options make a Client.
type Options struct {
	Loop           *netio.Loop
	Sink           broker.Sink
	StreamsPerConn int
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // the servers'
	MaxConns       int           // over all nodes
	Log            zerolog.Logger
}

// Client implements broker.NodeClient.
type Client struct {
	opts Options
	stop chan struct{}
	done sync.WaitGroup

	mu    sync.Mutex
	nodes map[string]*node
	where map[broker.AttemptID]*call
	conns int
	shut  bool
}

type node struct {
	id, addr string
	listed   bool
	conns    []*conn
}

type conn struct {
	c         *Client
	node      *node
	addr      string
	sock      *netio.Conn // nil while it is being made
	gone      bool
	buf       []byte
	calls     map[string]*call    // by the part's id
	abandoned map[string]struct{} // given up; an answer may still come
	probes    []time.Time
	used      time.Time
	stuck     time.Time // since when bytes have waited
}

// call is one attempt that is out.
type call struct {
	broker.Attempt
	id   string
	on   *conn
	end  int64 // position of its frame's last byte, 0 before it is queued
	mate []broker.Attempt
}

// New returns a client; Close ends it.
func New(o Options) *Client {
	o.StreamsPerConn = max(1, o.StreamsPerConn)
	o.MaxConns = max(1, o.MaxConns)
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = 250 * time.Millisecond
	}
	c := &Client{opts: o, nodes: map[string]*node{}, where: map[broker.AttemptID]*call{}, stop: make(chan struct{})}
	c.done.Add(1)
	go c.sweep()
	return c
}

// Close ends the client and its connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.shut = true
	var all []*conn
	for _, n := range c.nodes {
		all = append(all, n.conns...)
	}
	c.mu.Unlock()
	close(c.stop)
	for _, cn := range all {
		cn.fail()
	}
	c.done.Wait()
}

// Update implements broker.NodeClient. Nodes are told apart by id: one that
// comes back at another address keeps its name and gets new connections.
func (c *Client) Update(nodes []broker.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		n.listed = false
	}
	for _, in := range nodes {
		n := c.nodes[in.ID]
		if n == nil {
			n = &node{id: in.ID}
			c.nodes[in.ID] = n
		}
		n.addr, n.listed = in.Addr, true
	}
	for id, n := range c.nodes {
		if !n.listed && len(n.conns) == 0 {
			delete(c.nodes, id)
		}
	}
}

// Send implements broker.NodeClient.
func (c *Client) Send(id string, calls []broker.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[id]
	if n == nil || c.shut {
		c.never(calls)
		return
	}
	cn := n.choose(c.opts.StreamsPerConn, calls)
	if cn == nil {
		if cn = c.dial(n); cn == nil {
			c.never(calls)
			return
		}
	}
	for i := range calls {
		cl := &call{Attempt: calls[i], id: partID(&calls[i]), on: cn}
		if i == 0 {
			cl.mate = calls
		}
		cn.calls[cl.id] = cl
		c.where[cl.ID] = cl
	}
	if cn.sock != nil {
		cn.write(calls)
	}
}

func (c *Client) never(calls []broker.Attempt) {
	for i := range calls {
		c.opts.Sink.Outcome(calls[i].ID, decide.Unreachable, nil)
	}
}

// choose finds a connection with room, an open one before one in the making.
// One that has given up the same part, or still carries it, would mix up the
// answers; one with bytes waiting may be cut off.
func (n *node) choose(streams int, calls []broker.Attempt) *conn {
	var best *conn
	for _, cn := range n.conns {
		if cn.gone || cn.addr != n.addr || len(cn.calls)+len(calls) > max(streams, len(calls)) ||
			len(cn.abandoned) >= maxAbandoned || cn.sock != nil && cn.sock.Backlog() > 0 {
			continue
		}
		clash := false
		for i := range calls {
			id := partID(&calls[i])
			_, off := cn.abandoned[id]
			clash = clash || off || cn.calls[id] != nil
		}
		if !clash && (best == nil || best.sock == nil && cn.sock != nil) {
			best = cn
		}
	}
	return best
}

func (c *Client) dial(n *node) *conn {
	if c.conns >= c.opts.MaxConns {
		c.opts.Log.Warn().Str("event", "pool-full").Str("node", n.id).Int("conns", c.conns).
			Msg("no connection may be opened")
		return nil
	}
	c.conns++
	cn := &conn{
		c: c, node: n, addr: n.addr, used: time.Now(),
		calls: map[string]*call{}, abandoned: map[string]struct{}{},
	}
	n.conns = append(n.conns, cn)
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		d := net.Dialer{Timeout: c.opts.ConnectTimeout, KeepAlive: -1}
		nc, err := d.DialContext(context.Background(), "tcp", cn.addr)
		var sock *netio.Conn
		if err == nil {
			sock, err = c.opts.Loop.Attach(nc, cn, nil)
		}
		if err == nil {
			cn.begin(sock)
			return
		}
		c.opts.Log.Info().Str("event", "connect").Str("node", n.id).Str("addr", cn.addr).Err(err).
			Msg("a node could not be reached")
		cn.fail()
	}()
	return cn
}

// begin sends what waited for the connection.
func (cn *conn) begin(sock *netio.Conn) {
	cn.c.mu.Lock()
	defer cn.c.mu.Unlock()
	if cn.gone {
		sock.Close()
		return
	}
	cn.sock = sock
	for range cn.probes {
		if _, err := cn.sock.Write(appendProbe(nil)); err != nil {
			return
		}
	}
	for _, cl := range cn.calls {
		if cl.end == 0 && cl.mate != nil {
			cn.write(cl.mate)
		}
	}
}

// write queues one call. An error closes the socket, and its Closed then ends
// the attempts by what had left.
func (cn *conn) write(calls []broker.Attempt) {
	out := calls[:0:0]
	for i := range calls {
		if cn.calls[partID(&calls[i])] != nil { // else given up while it waited
			out = append(out, calls[i])
		}
	}
	if len(out) == 0 {
		return
	}
	cn.used = time.Now()
	end, err := cn.sock.Write(appendCall(nil, out))
	for i := range out {
		if cl := cn.calls[partID(&out[i])]; cl != nil {
			cl.end, cl.mate = end, nil
		}
	}
	if err != nil {
		cn.sock.Close()
	}
}

// Cancel implements broker.NodeClient.
func (c *Client) Cancel(_ string, id broker.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cl := c.where[id]
	if cl == nil {
		return
	}
	cn := cl.on
	delete(c.where, id)
	delete(cn.calls, cl.id)
	if cl.mate != nil && len(cl.mate) > 1 { // the call's other parts still wait for the connection
		for i := range cl.mate {
			if other := cn.calls[partID(&cl.mate[i])]; other != nil {
				other.mate = cl.mate
				break
			}
		}
	}
	if cl.end == 0 || cn.gone {
		return
	}
	cn.used = time.Now()
	cn.abandoned[cl.id] = struct{}{}
	if _, err := cn.sock.Write(appendCancel(nil, cl.id)); err != nil {
		cn.sock.Close()
	}
}

// Probe implements broker.NodeClient.
func (c *Client) Probe(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[id]
	if n == nil || c.shut {
		c.opts.Sink.Probed(id, decide.Unreachable, 0)
		return
	}
	cn := n.choose(c.opts.StreamsPerConn, nil)
	if cn == nil {
		if cn = c.dial(n); cn == nil {
			c.opts.Sink.Probed(id, decide.Unreachable, 0)
			return
		}
	}
	cn.probes = append(cn.probes, time.Now())
	cn.used = time.Now()
	if cn.sock != nil {
		if _, err := cn.sock.Write(appendProbe(nil)); err != nil {
			cn.sock.Close()
		}
	}
}

// CloseIdle implements broker.NodeClient.
func (c *Client) CloseIdle(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.nodes[id]; n != nil {
		for _, cn := range n.conns {
			if cn.idle() {
				cn.sock.Close()
			}
		}
	}
}

func (cn *conn) idle() bool {
	return cn.sock != nil && !cn.gone && len(cn.calls) == 0 && len(cn.probes) == 0
}

// Data implements netio.Handler.
func (cn *conn) Data(b []byte) {
	cn.c.mu.Lock()
	defer cn.c.mu.Unlock()
	if cn.gone {
		return
	}
	cn.used = time.Now()
	cn.buf = append(cn.buf, b...)
	for {
		letter, rest, n, err := nextFrame(cn.buf)
		if err == nil && n == 0 {
			break
		}
		if err == nil {
			err = cn.frame(letter, rest)
			cn.buf = cn.buf[n:]
		}
		if err != nil {
			cn.c.opts.Log.Warn().Str("event", "frame").Str("node", cn.node.id).Err(err).
				Msg("a node sent what cannot be read; its connection is closed")
			cn.sock.Close()
			return
		}
	}
	if len(cn.buf) == 0 {
		cn.buf = nil
	}
}

func (cn *conn) frame(letter byte, rest []byte) error {
	switch letter {
	case 'R':
		r, err := parseResult(rest)
		if err != nil {
			return err
		}
		delete(cn.abandoned, r.id)
		cl := cn.calls[r.id]
		if cl == nil {
			return nil // it was given up
		}
		delete(cn.calls, r.id)
		delete(cn.c.where, cl.ID)
		outcome := decide.Failed
		switch r.end {
		case "done":
			outcome = decide.OK
		case "full":
			outcome = decide.Rejected
		}
		cn.c.opts.Sink.Outcome(cl.ID, outcome, r.value)
	case 'H', 'M':
		if len(cn.probes) > 0 {
			sent := cn.probes[0]
			cn.probes = cn.probes[1:]
			outcome := decide.Failed
			if string(rest) == "done" {
				outcome = decide.OK
			}
			cn.c.opts.Sink.Probed(cn.node.id, outcome, time.Since(sent))
		}
	case 'F':
		cn.c.opts.Log.Error().Str("event", "refused-frame").Str("node", cn.node.id).Bytes("words", rest).
			Msg("a node could not use a frame of ours")
	default:
		return errFrame
	}
	return nil
}

// Closed implements netio.Handler.
func (cn *conn) Closed(error) { cn.fail() }

// fail ends a connection and all that is out on it. A frame whose last byte
// the kernel had not taken cannot have been read whole, so it never ran; any
// other may have.
func (cn *conn) fail() {
	cn.c.mu.Lock()
	defer cn.c.mu.Unlock()
	if cn.gone {
		return
	}
	cn.gone = true
	cn.c.conns--
	for i, other := range cn.node.conns {
		if other == cn {
			cn.node.conns = append(cn.node.conns[:i], cn.node.conns[i+1:]...)
			break
		}
	}
	written := int64(0)
	if cn.sock != nil {
		written = cn.sock.Written()
		cn.sock.Close()
	}
	for _, cl := range cn.calls {
		delete(cn.c.where, cl.ID)
		outcome := decide.Broken
		if cl.end == 0 || cl.end > written {
			outcome = decide.Unreachable
		}
		cn.c.opts.Sink.Outcome(cl.ID, outcome, nil)
	}
	for _, sent := range cn.probes {
		cn.c.opts.Sink.Probed(cn.node.id, decide.Unreachable, time.Since(sent))
	}
	cn.calls, cn.probes = nil, nil
}

// sweep closes connections that stood idle, that lead to an address the node
// has left, or whose bytes do not leave.
func (c *Client) sweep() {
	defer c.done.Done()
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-tick.C:
			c.mu.Lock()
			for _, n := range c.nodes {
				for _, cn := range n.conns {
					cn.look(now)
				}
			}
			c.mu.Unlock()
		}
	}
}

func (cn *conn) look(now time.Time) {
	if cn.sock == nil || cn.gone {
		return
	}
	if cn.sock.Backlog() == 0 {
		cn.stuck = time.Time{}
	} else if cn.stuck.IsZero() {
		cn.stuck = now
	}
	idle := time.Duration(idleShare * float64(cn.c.opts.ConnIdle))
	old := cn.addr != cn.node.addr || !cn.node.listed || idle > 0 && now.Sub(cn.used) > idle ||
		len(cn.abandoned) >= maxAbandoned
	if !cn.stuck.IsZero() && now.Sub(cn.stuck) > stuckFor || cn.idle() && old {
		cn.sock.Close()
	}
}
