// Package nodeclient sends attempts to nodes in length-prefixed frames over TCP or Unix
// sockets. It keeps a pool of connections per node, multiplexes attempts over each of them,
// and distinguishes attempts that cannot have run from those that may have.
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
	// maxCancelledParts is the number of cancelled parts on a connection from which on it gets
	// no new parts: it keeps their ids, as their answers may still arrive.
	maxCancelledParts = 256
	// sweepInterval is the interval at which all connections are checked.
	sweepInterval = 100 * time.Millisecond
	// writeStallTimeout is how long written bytes may wait for a full socket before the
	// connection counts as broken.
	writeStallTimeout = 250 * time.Millisecond
	// frameWriteTimeout bounds the writing of a frame: if it is not written to the socket
	// whole within this time, the connection is closed.
	frameWriteTimeout = dial.RequestWriteTimeout
	// partialFrameTimeout is how long an incomplete frame may go without further bytes: one
	// whose length field is too large never ends and blocks every frame behind it.
	partialFrameTimeout = 300 * time.Millisecond
	// warnLogInterval is the minimum interval between two log lines about a full connection
	// pool, or about malformed frames from one node.
	warnLogInterval = 10 * time.Second
	// A connection counts as silent once attempts have waited on it for silenceFactor times
	// the node's smoothed latency, and at least minSilence, with nothing read.
	silenceFactor = 8
	minSilence    = 30 * time.Millisecond
	// silentConnTimeout is how long a silent connection may carry attempts while its node
	// answers on another one, and how long it stays open without any.
	silentConnTimeout = 250 * time.Millisecond
	// silentConnThreshold is the number of connections that are silent, or lead to a
	// suspected address, from which on the node itself counts as silent: opening more of
	// them would not help.
	silentConnThreshold = 2
	// exclusivePeriod is how long each part gets a connection of its own after a node has
	// closed a connection on which several parts were waiting, or any connection within
	// such a period.
	exclusivePeriod  = 5 * time.Second
	latencySmoothing = 0.1 // smoothing factor of a node's answer latency
	// idleTimeoutFraction is the fraction of the server's idle timeout after which the
	// client closes an idle connection first: a request that crosses the server's own close
	// would end in a reset.
	idleTimeoutFraction = 0.7
)

// Options configures a Client.
type Options struct {
	Loop              *netio.Loop
	Sink              broker.ResultSink
	StreamsPerConn    int                 // limit on open attempts per connection, at least 1
	ConnectTimeout    time.Duration       // 0: 250 ms
	Dialer            *netio.Dialer       // nil: the client makes its own
	ServerIdleTimeout time.Duration       // idle timeout of the servers; 0: idle connections are kept
	MaxConns          int                 // connection limit over all nodes, at least 1
	Observer          broker.WireObserver // may be nil
	ProbesSupported   bool                // nodes answer probe frames
	DisableCancel     bool                // cancel frames are not sent to nodes
	Log               zerolog.Logger
}

// Client implements broker.NodeClient.
type Client struct {
	opts        Options
	multiDialer *dial.Dialer    // connects to nodes with more than one address
	ctx         context.Context // of the sweep goroutine and of pending connects; Close cancels it
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup

	mu               sync.Mutex
	nodes            map[string]*node
	attempts         map[broker.AttemptID]*openAttempt
	openConns        int
	poolFullLoggedAt time.Time // time of the latest pool-full log line
	closed           bool
	writtenAttempts  atomic.Int64  // attempts whose frame has been written to the socket whole
	frameTimeout     time.Duration // frameWriteTimeout unless a test changes it; writeStallTimeout then changes by as much
}

// node is one node, listed or with connections still open.
type node struct {
	id, addr    string
	listed      bool
	latestStart time.Time // attempts may not begin after this; zero: no limit
	conns       []*conn
	multiAddr   bool // multiDialer has its addresses; otherwise addr is its only one

	smoothedLatency time.Duration // moving average of the time to an answer
	lastReadAt      time.Time     // time of the latest read, on any connection
	exclusiveUntil  time.Time     // until then no two parts share a connection

	malformedLoggedAt time.Time // time of the latest log line about malformed frames
	unloggedMalformed int       // malformed frames since that log line
}

// New returns a running client; Close stops it.
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
		opts: o, frameTimeout: frameWriteTimeout, nodes: map[string]*node{}, attempts: map[broker.AttemptID]*openAttempt{},
		multiDialer: dial.New(o.Dialer, o.ConnectTimeout, o.MaxConns, o.Log),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.goroutines.Add(1)
	go c.sweep()
	return c
}

// Close stops the client, closes its connections and waits for its goroutines. Attempts that
// are still open get an outcome.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	var conns []*conn
	for _, n := range c.nodes {
		conns = append(conns, n.conns...)
	}
	c.mu.Unlock()
	c.multiDialer.Close()
	c.cancel()
	for _, cn := range conns {
		cn.terminate()
	}
	c.goroutines.Wait()
}

// Update implements broker.NodeClient. Nodes are identified by id: one that reappears at
// another address keeps its state and gets new connections.
func (c *Client) Update(nodes []broker.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		n.listed = false
	}
	for _, listed := range nodes {
		n := c.nodes[listed.ID]
		if n == nil {
			n = &node{id: listed.ID}
			c.nodes[listed.ID] = n
		}
		n.addr, n.listed, n.latestStart = listed.Addr, true, listed.Latest
		n.multiAddr = c.multiDialer.SetAddrs(listed.ID, listed.Addrs)
	}
	for id, n := range c.nodes {
		if !n.listed && n.multiAddr { // it is not dialed again
			c.multiDialer.SetAddrs(id, nil)
		}
		if !n.listed && len(n.conns) == 0 {
			delete(c.nodes, id)
		}
	}
}

// Send implements broker.NodeClient.
func (c *Client) Send(id string, attempts []broker.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendTo(id, attempts, 0)
}

// sendTo starts attempts that leave in one call. resends is how often they have already been
// resent. c.mu is held.
func (c *Client) sendTo(id string, attempts []broker.Attempt, resends int) {
	n := c.nodes[id]
	if n == nil || c.closed {
		c.failUnsent(attempts, decide.Unreachable)
		return
	}
	now := time.Now()
	exclusive := now.Before(n.exclusiveUntil)
	cn := n.pickConn(c.opts.StreamsPerConn, attempts, exclusive)
	if cn == nil && exclusive && !c.makeRoom() {
		cn = n.pickConn(c.opts.StreamsPerConn, attempts, false)
	}
	if cn == nil {
		if cn = c.dial(n); cn == nil {
			c.failUnsent(attempts, decide.NotSent)
			return
		}
	}
	for i := range attempts {
		att := &openAttempt{Attempt: attempts[i], partID: partID(&attempts[i]), conn: cn, requestedAt: now, resends: resends}
		if i == 0 {
			att.pendingCall = attempts
		}
		cn.attempts[att.partID] = att
		c.attempts[att.ID] = att
		if cn.sock == nil && c.opts.Observer != nil {
			c.opts.Observer.PhaseReached(att.ID, broker.WireConnecting, cn.addr, cn.dialedAt)
		}
	}
	if cn.sock != nil {
		cn.writeCall(attempts)
	}
}

// failUnsent ends attempts that were not sent. The outcome decide.NotSent, for a full pool,
// says nothing about the node.
func (c *Client) failUnsent(attempts []broker.Attempt, outcome decide.Outcome) {
	for i := range attempts {
		c.opts.Sink.AttemptOutcome(attempts[i].ID, outcome, broker.Response{})
	}
}

// makeRoom reports whether one more connection may be opened. If the pool is full, it
// closes the connection that has been idle the longest: with more nodes listed than
// connections allowed, the nodes contacted first would otherwise shut out all others. c.mu
// is held.
func (c *Client) makeRoom() bool {
	if c.openConns < c.opts.MaxConns {
		return true
	}
	var oldest *conn
	for _, n := range c.nodes {
		for _, cn := range n.conns {
			if cn.holdsSlot && cn.isIdle() && (oldest == nil || cn.lastUsedAt.Before(oldest.lastUsedAt)) {
				oldest = cn
			}
		}
	}
	if oldest == nil {
		return false
	}
	oldest.unusable, oldest.closedLocally = true, true
	oldest.releaseSlot()
	oldest.sock.Close()
	return true
}

// dial starts to open a connection to the node and returns it; nil if the pool is full and no
// connection is idle. c.mu is held.
func (c *Client) dial(n *node) *conn {
	if !c.makeRoom() {
		if now := time.Now(); now.Sub(c.poolFullLoggedAt) >= warnLogInterval { // otherwise every part would log a line
			c.poolFullLoggedAt = now
			c.opts.Log.Warn().Str("event", "pool-full").Str("node", n.id).Int("conns", c.openConns).
				Msg("connection pool is full and no connection is idle")
		}
		return nil
	}
	multiAddr := n.multiAddr
	cn := c.newConn(n)
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		sock, err := c.connect(cn, multiAddr)
		if err == nil {
			cn.established(sock)
			return
		}
		c.opts.Log.Info().Str("event", "connect").Str("node", n.id).Str("addr", cn.addr).Err(err).
			Msg("failed to connect to a node")
		c.mu.Lock()
		cn.localFailure = netio.IsResourceExhausted(err)
		c.mu.Unlock()
		cn.terminate()
	}()
	return cn
}

// newConn returns a new connection to a node that is about to be opened, and counts it
// against MaxConns; c.mu is held.
func (c *Client) newConn(n *node) *conn {
	c.openConns++
	now := time.Now()
	cn := &conn{
		client: c, node: n, addr: n.addr, lastUsedAt: now, dialedAt: now, holdsSlot: true,
		attempts: map[string]*openAttempt{}, cancelled: map[string]broker.AttemptID{},
	}
	if n.multiAddr {
		cn.addr = "" // set once one of the addresses has connected
	}
	n.conns = append(n.conns, cn)
	return cn
}

// SetMaxConns changes the connection limit over all nodes, which is at least 1. A lowered
// limit closes no connection: those beyond it stay open until they end for another reason.
func (c *Client) SetMaxConns(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts.MaxConns = max(1, limit)
}

// WrittenAttempts returns the number of attempts so far whose frame has been written to a
// socket whole.
func (c *Client) WrittenAttempts() int64 { return c.writtenAttempts.Load() }

// Cancel implements broker.NodeClient.
func (c *Client) Cancel(_ string, id broker.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	att := c.attempts[id]
	if att == nil {
		return
	}
	cn := att.conn
	delete(c.attempts, id)
	if cn.sock != nil {
		cn.markWritten(att, time.Now())
	}
	delete(cn.attempts, att.partID)
	if att.pendingCall != nil && len(att.pendingCall) > 1 { // the other parts of the call still wait for the connection
		for i := range att.pendingCall {
			if other := cn.attempts[partID(&att.pendingCall[i])]; other != nil {
				other.pendingCall = att.pendingCall
				break
			}
		}
	}
	if att.frameEnd == 0 || cn.closed || cn.unusable {
		return
	}
	if cn.frameIsUnwanted(att) {
		cn.close()
		return
	}
	cn.abortIfUndelivered(att)
	cn.lastUsedAt = time.Now()
	if len(cn.attempts) == 0 && !cn.isSilent(cn.lastUsedAt) {
		cn.unansweredSince = time.Time{} // no answer is expected any more
	}
	cn.cancelled[att.partID] = att.ID
	if c.opts.DisableCancel {
		return
	}
	if _, err := cn.sock.Write(appendCancel(nil, att.partID)); err != nil {
		cn.sock.Close()
	}
}

// Probe implements broker.NodeClient.
func (c *Client) Probe(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[id]
	if n == nil || c.closed {
		c.opts.Sink.ProbeOutcome(id, decide.Unreachable, 0)
		return
	}
	cn := n.pickConn(c.opts.StreamsPerConn, nil, false)
	if cn == nil {
		if cn = c.dial(n); cn == nil {
			c.opts.Sink.ProbeOutcome(id, decide.NotSent, 0)
			return
		}
	}
	cn.probesSentAt = append(cn.probesSentAt, time.Now())
	cn.lastUsedAt = time.Now()
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
			if cn.isIdle() {
				cn.closedLocally = true
				cn.sock.Close()
			}
		}
	}
}

// sweep checks the state of all connections every sweepInterval, and starts the tests of
// suspected addresses that are due, until the client is closed.
func (c *Client) sweep() {
	defer c.goroutines.Done()
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case now := <-tick.C:
			c.mu.Lock()
			for _, n := range c.nodes {
				for _, cn := range n.conns {
					cn.checkState(now)
				}
				if n.multiAddr {
					c.startProbation(n)
				}
			}
			c.mu.Unlock()
		}
	}
}
