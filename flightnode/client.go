// Package flightnode sends attempts to nodes that speak Arrow Flight: each part is a DoGet,
// over one connection per node.
package flightnode

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/dial"
	"onyxsail/internal/netio"
	"onyxsail/reach"
)

const (
	maxMessageBytes     = 128 << 10 // limit on one received message
	maxHeaderBytes      = 16 << 10  // limit on the received headers or trailers of one call
	maxValueBytes       = 64 << 10  // limit on one part's value
	idleTimeoutFraction = 0.7       // fraction of the server's idle timeout after which an idle connection is closed
	maxOpenAttempts     = 4096      // limit on concurrent attempts over all nodes
	// warnLogInterval is the minimum interval between two log lines about a full connection
	// pool.
	warnLogInterval = 10 * time.Second
)

// Options configures a Client.
type Options struct {
	Sink              broker.ResultSink
	ConnectTimeout    time.Duration       // 0: 250 ms
	Dialer            *netio.Dialer       // nil: the client makes its own
	ServerIdleTimeout time.Duration       // idle timeout of the servers; 0: idle connections are kept
	MaxConns          int                 // connection limit over all nodes, at least 1
	Observer          broker.WireObserver // may be nil
	Log               zerolog.Logger
}

// Client implements broker.NodeClient. It holds no socket and no goroutine while no Flight
// node has work to do.
type Client struct {
	opts        Options
	multiDialer *dial.Dialer // connects to nodes with more than one address
	goroutines  sync.WaitGroup

	mu               sync.Mutex
	nodes            map[string]*node
	openConns        int
	poolFullLoggedAt time.Time // time of the latest pool-full log line
	closed           bool

	tickets         ticketTable  // of the open attempts
	writtenAttempts atomic.Int64 // attempts whose ticket has been passed to the kernel whole
	recoveredPanics atomic.Int64 // attempts that panicked
}

// node is a node that is listed or still has open calls. If its address changes while calls
// are open, or the address that it is connected to is suspected or removed, a new node of the
// same id replaces it.
type node struct {
	id, addr     string
	conn         *grpc.ClientConn // nil: none open
	openCalls    int              // attempts and probes that are open
	idleSince    time.Time        // since when it has had no open calls
	listed       bool
	startLimit   *atomic.Pointer[startLimit]  // shared with replacements of the same id
	latestConn   *atomic.Pointer[trackedConn] // the connection opened last; nil: none yet
	multiAddr    bool                         // multiDialer has its addresses
	connAddr     atomic.Pointer[string]       // with several addresses, the one connected to last; nil: none yet
	localFailure atomic.Bool                  // with one address: the latest dial failed because of a failure on this machine
}

// newNode returns a listed node without a connection. previous, if not nil, is the node of the same
// id that it replaces.
func newNode(id, addr string, previous *node) *node {
	n := &node{id: id, addr: addr, listed: true, latestConn: &atomic.Pointer[trackedConn]{}}
	if previous != nil {
		n.startLimit = previous.startLimit
	} else {
		n.startLimit = &atomic.Pointer[startLimit]{}
	}
	return n
}

// WrittenAttempts returns the number of attempts so far whose ticket has been passed to the kernel
// whole.
func (c *Client) WrittenAttempts() int64 { return c.writtenAttempts.Load() }

// New returns a client; Close stops it.
func New(o Options) *Client {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = 250 * time.Millisecond
	}
	o.MaxConns = max(1, o.MaxConns)
	if o.Dialer == nil {
		o.Dialer = netio.NewDialer()
	}
	return &Client{
		opts: o, multiDialer: dial.New(o.Dialer, o.ConnectTimeout, o.MaxConns, o.Log), nodes: map[string]*node{},
		tickets: ticketTable{byAttempt: map[broker.AttemptID]*ticket{}},
	}
}

// Close cancels all attempts, closes all connections and waits for open calls to end.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	for _, t := range c.tickets.all() {
		t.cancel()
	}
	for _, n := range c.nodes {
		c.closeConn(n)
	}
	c.mu.Unlock()
	c.multiDialer.Close()
	c.goroutines.Wait()
}

// Update implements broker.NodeClient.
func (c *Client) Update(nodes []broker.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		n.listed = false
	}
	for _, listed := range nodes {
		n := c.nodes[listed.ID]
		addr := strings.TrimPrefix(listed.Addr, broker.FlightScheme)
		if n == nil || n.addr != addr && n.openCalls > 0 { // calls open at the old address end there
			n = newNode(listed.ID, addr, n)
			c.nodes[listed.ID] = n
		} else if n.addr != addr {
			c.closeConn(n)
			n.addr = addr
		}
		n.listed = true
		n.startLimit.Store(&startLimit{listed: true, latest: listed.Latest})
		n.multiAddr = c.multiDialer.SetAddrs(listed.ID, listed.Addrs)
		if n.multiAddr { // the address of its connection may have been removed
			if at := n.connAddr.Load(); at != nil && !c.multiDialer.HasAddr(listed.ID, *at) {
				n = c.replaceConn(n)
			}
		}
	}
	for id, n := range c.nodes {
		if !n.listed {
			n.startLimit.Store(&startLimit{})
		}
		if !n.listed && n.multiAddr { // it is not dialed again
			c.multiDialer.SetAddrs(id, nil)
		}
		if !n.listed && n.openCalls == 0 {
			c.closeConn(n)
			delete(c.nodes, id)
		}
	}
	for _, t := range c.tickets.all() {
		t.applyNodeLimit()
	}
}

// Send implements broker.NodeClient. Flight has no calls of several parts: each part is a
// DoGet of its own.
func (c *Client) Send(id string, attempts []broker.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, failed := c.nodeWithConn(id)
	if n != nil && c.tickets.count()+len(attempts) > maxOpenAttempts {
		n, failed = nil, decide.NotSent
	}
	for _, a := range attempts {
		if n == nil {
			c.opts.Sink.AttemptOutcome(a.ID, failed, broker.Response{})
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
		t := c.newTicket(a, n, cancel)
		c.tickets.add(t)
		n.openCalls++
		c.goroutines.Add(1)
		go func(conn *grpc.ClientConn) {
			defer c.goroutines.Done()
			sentAt := time.Now()
			outcome, answer, err := c.runAttemptGuarded(ctx, conn, n, t)
			t.stopLimit()
			cancel()
			if err != nil {
				c.opts.Log.Debug().Str("event", "attempt").Str("node", id).Err(err).Msg("attempt failed")
			}
			c.tickets.remove(a.ID)
			c.mu.Lock()
			if at := n.connAddr.Load(); n.multiAddr && at != nil {
				c.reportOutcome(n, *at, t.addressOutcome(outcome), sentAt)
			}
			c.release(n)
			c.mu.Unlock()
			c.opts.Sink.AttemptOutcome(a.ID, outcome, answer)
		}(n.conn)
	}
}

// Cancel implements broker.NodeClient.
func (c *Client) Cancel(_ string, id broker.AttemptID) {
	if t := c.tickets.get(id); t != nil {
		t.cancel()
	}
}

// Probe implements broker.NodeClient. It requests the list of the node's actions, which is
// cheap for the node.
func (c *Client) Probe(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, failed := c.nodeWithConn(id)
	if n == nil {
		c.opts.Sink.ProbeOutcome(id, failed, 0)
		return
	}
	n.openCalls++
	c.goroutines.Add(1)
	go func(conn *grpc.ClientConn) {
		defer c.goroutines.Done()
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 4*c.opts.ConnectTimeout)
		defer cancel()
		outcome := decide.OK
		if err := c.waitReady(ctx, conn); err != nil {
			outcome = decide.Unreachable
		} else if stream, err := flight.NewFlightServiceClient(conn).ListActions(ctx, &flight.Empty{}); err != nil {
			outcome = decide.Failed
		} else if _, err := stream.Recv(); err != nil && !errors.Is(err, io.EOF) && statusCode(err) != codes.Unimplemented {
			// A node that does not implement ListActions has answered all the same.
			outcome = decide.Failed
		}
		c.mu.Lock()
		c.release(n)
		c.mu.Unlock()
		c.opts.Sink.ProbeOutcome(id, outcome, time.Since(start))
	}(n.conn)
}

// CloseIdle implements broker.NodeClient.
func (c *Client) CloseIdle(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.nodes[id]; n != nil && n.openCalls == 0 {
		c.closeConn(n)
	}
}

// Addresses returns the state of the addresses of each node that has several, the preferred
// one first.
func (c *Client) Addresses() map[string][]reach.AddressStatus { return c.multiDialer.AddressStatuses() }
