// Package nodeclient carries attempts to shard servers in frames over TCP. It
// keeps a pool of connections a node, each with many calls at once, and tells
// what never ran from what may have run.
package nodeclient

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/dial"
	"onyxsail/internal/netio"
)

const (
	maxAbandoned = 256 // ids that a connection remembers as given up
	sweepEvery   = 100 * time.Millisecond
	// stuckFor is how long written bytes may wait for a full socket before the
	// connection counts as broken.
	stuckFor = 250 * time.Millisecond
	// A frame leaves whole within frameWithin, or never: the deadline that it tells and the
	// checks before it are of the moment at which it was written.
	frameWithin = 100 * time.Millisecond
	// halfFor is how long a frame that has begun may come to nothing: a length
	// that says too much never ends, and what waits behind it waits in vain.
	halfFor = 300 * time.Millisecond
	// complainEvery is how often one node's spoilt answers are logged.
	complainEvery = 10 * time.Second
	// A connection is silent once parts have waited on it for silentTimes the
	// node's usual answer, and silentLeast, with nothing read.
	silentTimes = 8
	silentLeast = 30 * time.Millisecond
	// deadFor is how long a silent connection may carry parts while its node
	// speaks on another, and how long it stays open without any.
	deadFor = 250 * time.Millisecond
	// maxSilent silent connections tell that the node is silent: more help no one.
	maxSilent = 2
	// shyFor is how long parts go alone on their connections to a node that
	// closes them under parts that wait.
	shyFor = 5 * time.Second
	smooth = 0.1 // weight of one answer in a node's usual time
	// idleShare of the server's idle time is when we close first: a request that
	// crosses the server's own close would end as a reset.
	idleShare = 0.7
)

// Options make a Client.
type Options struct {
	Loop           *netio.Loop
	Sink           broker.ResultSink
	StreamsPerConn int
	ConnectTimeout time.Duration
	Dialer         *netio.Dialer       // nil: one of its own
	ConnIdle       time.Duration       // the servers'
	MaxConns       int                 // over all nodes
	Observer       broker.WireObserver // nil: nobody is told
	Probes         bool                // nodes answer probes
	NoCancel       bool                // nodes may not be told that a part is given up
	Log            zerolog.Logger
}

// Client implements broker.NodeClient.
type Client struct {
	opts  Options
	paths *dial.Paths     // to nodes of several addresses
	ctx   context.Context // of the sweep, and of connections in the making
	end   context.CancelFunc
	done  sync.WaitGroup

	mu      sync.Mutex
	nodes   map[string]*node
	where   map[broker.AttemptID]*call
	conns   int
	full    time.Time // when want of room was logged last
	shut    bool
	relayed atomic.Int64  // attempts whose last byte has left
	frame   time.Duration // frameWithin; stuckFor is as much longer. A test may give it another value
}

type node struct {
	id, addr string
	listed   bool
	latest   time.Time // until when attempts may begin; zero: no bound
	conns    []*conn
	several  bool // paths knows its addresses; else addr is its only one

	usual time.Duration // smoothed time of an answer
	heard time.Time     // when it was last read from, on any connection
	shy   time.Time     // until when no two parts share a connection

	complained time.Time // when its spoilt answers were logged last
	unsaid     int       // how many were not since
}

// New returns a client; Close ends it.
func New(o Options) *Client {
	o.StreamsPerConn = max(1, o.StreamsPerConn)
	o.MaxConns = max(1, o.MaxConns)
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = 250 * time.Millisecond
	}
	if o.Dialer == nil {
		o.Dialer = netio.NewDialer()
	}
	c := &Client{
		opts: o, frame: frameWithin, nodes: map[string]*node{}, where: map[broker.AttemptID]*call{},
		paths: dial.New(o.Dialer, o.ConnectTimeout, o.MaxConns, o.Log),
	}
	c.ctx, c.end = context.WithCancel(context.Background())
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
	c.paths.Close()
	c.end()
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
		n.addr, n.listed, n.latest = in.Addr, true, in.Latest
		n.several = c.paths.Set(in.ID, in.Addrs)
	}
	for id, n := range c.nodes {
		if !n.listed && n.several { // never dialled again
			c.paths.Set(id, nil)
		}
		if !n.listed && len(n.conns) == 0 {
			delete(c.nodes, id)
		}
	}
}

// Send implements broker.NodeClient.
func (c *Client) Send(id string, calls []broker.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendTo(id, calls, 0)
}

// sendTo starts attempts that had been at so many addresses of the node before;
// c.mu is held.
func (c *Client) sendTo(id string, calls []broker.Attempt, moves int) {
	n := c.nodes[id]
	if n == nil || c.shut {
		c.never(calls, decide.Unreachable)
		return
	}
	now := time.Now()
	alone := now.Before(n.shy)
	cn := n.pick(c.opts.StreamsPerConn, calls, alone)
	if cn == nil && alone && !c.room() {
		cn = n.pick(c.opts.StreamsPerConn, calls, false)
	}
	if cn == nil {
		if cn = c.dial(n); cn == nil {
			c.never(calls, decide.NotSent)
			return
		}
	}
	for i := range calls {
		cl := &call{Attempt: calls[i], id: partID(&calls[i]), on: cn, since: now, moves: moves}
		if i == 0 {
			cl.mate = calls
		}
		cn.calls[cl.id] = cl
		c.where[cl.ID] = cl
		if cn.sock == nil && c.opts.Observer != nil {
			c.opts.Observer.PhaseReached(cl.ID, broker.WireConnecting, cn.addr, cn.dialed)
		}
	}
	if cn.sock != nil {
		cn.write(calls)
	}
}

// never ends attempts that were not sent. Where want of room is the cause, it is
// ours, and tells nothing of the node.
func (c *Client) never(calls []broker.Attempt, o decide.Outcome) {
	for i := range calls {
		c.opts.Sink.AttemptOutcome(calls[i].ID, o, broker.Response{})
	}
}

// room says whether one more connection may be made. Where all places are taken,
// the one that has carried nothing for the longest is closed: with more nodes on the
// list than places, those that were met first would else shut out all others.
// c.mu is held.
func (c *Client) room() bool {
	if c.conns < c.opts.MaxConns {
		return true
	}
	var oldest *conn
	for _, n := range c.nodes {
		for _, cn := range n.conns {
			if cn.counted && cn.idle() && (oldest == nil || cn.used.Before(oldest.used)) {
				oldest = cn
			}
		}
	}
	if oldest == nil {
		return false
	}
	oldest.spoilt, oldest.ours = true, true
	oldest.release()
	oldest.sock.Close()
	return true
}

func (c *Client) dial(n *node) *conn {
	if !c.room() {
		if now := time.Now(); now.Sub(c.full) >= complainEvery { // it would be a line a part
			c.full = now
			c.opts.Log.Warn().Str("event", "pool-full").Str("node", n.id).Int("conns", c.conns).
				Msg("no connection may be opened, and none is idle")
		}
		return nil
	}
	several := n.several
	cn := c.newConn(n)
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		sock, err := c.connect(cn, several)
		if err == nil {
			cn.begin(sock)
			return
		}
		c.opts.Log.Info().Str("event", "connect").Str("node", n.id).Str("addr", cn.addr).Err(err).
			Msg("a node could not be reached")
		c.mu.Lock()
		cn.local = netio.IsResourceExhausted(err)
		c.mu.Unlock()
		cn.fail()
	}()
	return cn
}

// newConn books a connection in the making; c.mu is held.
func (c *Client) newConn(n *node) *conn {
	c.conns++
	now := time.Now()
	cn := &conn{
		c: c, node: n, addr: n.addr, used: now, dialed: now, counted: true,
		calls: map[string]*call{}, abandoned: map[string]broker.AttemptID{},
	}
	if n.several {
		cn.addr = "" // the race's winner
	}
	n.conns = append(n.conns, cn)
	return cn
}

// SetMaxConns changes how many connections may be open over all nodes. Those beyond it stay
// until they rest.
func (c *Client) SetMaxConns(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts.MaxConns = max(1, limit)
}

// Relayed is how many attempts have been written whole to nodes.
func (c *Client) Relayed() int64 { return c.relayed.Load() }

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
	if cn.sock != nil {
		cn.left(cl, time.Now())
	}
	delete(cn.calls, cl.id)
	if cl.mate != nil && len(cl.mate) > 1 { // the call's other parts still wait for the connection
		for i := range cl.mate {
			if other := cn.calls[partID(&cl.mate[i])]; other != nil {
				other.mate = cl.mate
				break
			}
		}
	}
	if cl.end == 0 || cn.gone || cn.spoilt {
		return
	}
	if cn.begins(cl) {
		cn.hangUp()
		return
	}
	cn.watchDelivery(cl)
	cn.used = time.Now()
	if len(cn.calls) == 0 && !cn.silent(cn.used) {
		cn.waiting = time.Time{} // the node may answer nothing more, rightly
	}
	cn.abandoned[cl.id] = cl.ID
	if c.opts.NoCancel {
		return
	}
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
		c.opts.Sink.ProbeOutcome(id, decide.Unreachable, 0)
		return
	}
	cn := n.pick(c.opts.StreamsPerConn, nil, false)
	if cn == nil {
		if cn = c.dial(n); cn == nil {
			c.opts.Sink.ProbeOutcome(id, decide.NotSent, 0)
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
				cn.ours = true
				cn.sock.Close()
			}
		}
	}
}

// sweep closes connections that stood idle, that lead to an address the node
// has left, or whose bytes do not leave.
func (c *Client) sweep() {
	defer c.done.Done()
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case now := <-tick.C:
			c.mu.Lock()
			for _, n := range c.nodes {
				for _, cn := range n.conns {
					cn.look(now)
				}
				if n.several {
					c.trials(n)
				}
			}
			c.mu.Unlock()
		}
	}
}
