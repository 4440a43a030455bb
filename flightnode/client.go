// Package flightnode carries attempts to nodes that speak Arrow Flight: one
// DoGet a part, one connection a node.
package flightnode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/dial"
	"onyxsail/internal/flightwire"
	"onyxsail/internal/netio"
	"onyxsail/internal/tracecontext"
	"onyxsail/reach"
)

const (
	maxAnswer = 128 << 10 // of one message
	maxValue  = 64 << 10
	idleShare = 0.7
	maxCalls  = 4096 // attempts out at once, over all nodes
	// complainEvery is how often want of room is logged.
	complainEvery = 10 * time.Second
)

// Options make a Client.
type Options struct {
	Sink           broker.Sink
	ConnectTimeout time.Duration
	Dialer         *netio.Dialer // nil: one of its own
	ConnIdle       time.Duration
	MaxConns       int
	Observer       broker.WireObserver // nil: nobody is told
	Log            zerolog.Logger
}

// Client implements broker.NodeClient. It holds no socket and no goroutine
// while no Flight node has work.
type Client struct {
	opts  Options
	paths *dial.Paths // to nodes of several addresses
	done  sync.WaitGroup

	mu      sync.Mutex
	nodes   map[string]*node
	calls   map[broker.AttemptID]context.CancelFunc
	conns   int
	full    time.Time // when want of room was logged last
	shut    bool
	relayed atomic.Int64 // attempts whose ticket has left
}

type node struct {
	id, addr string
	conn     *grpc.ClientConn // nil until it is needed
	out      int              // attempts and probes
	rests    time.Time        // since when none is out
	listed   bool
	latest   time.Time              // until when attempts may begin; zero: no bound
	several  bool                   // paths knows its addresses
	at       atomic.Pointer[string] // of several, the address that its connection leads to
	local    atomic.Bool            // its latest dial failed for want of something on this machine
}

// Relayed is how many attempts have been written whole to nodes.
func (c *Client) Relayed() int64 { return c.relayed.Load() }

// New returns a client; Close ends it.
func New(o Options) *Client {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = 250 * time.Millisecond
	}
	o.MaxConns = max(1, o.MaxConns)
	if o.Dialer == nil {
		o.Dialer = netio.NewDialer()
	}
	return &Client{opts: o, paths: dial.New(o.Dialer, o.ConnectTimeout, o.MaxConns, o.Log), nodes: map[string]*node{}, calls: map[broker.AttemptID]context.CancelFunc{}}
}

// Close ends the client and waits for what it has out.
func (c *Client) Close() {
	c.mu.Lock()
	c.shut = true
	for _, cancel := range c.calls {
		cancel()
	}
	for _, n := range c.nodes {
		c.hangUp(n)
	}
	c.mu.Unlock()
	c.paths.Close()
	c.done.Wait()
}

func (c *Client) hangUp(n *node) {
	if n.conn != nil {
		_ = n.conn.Close()
		n.conn = nil
		c.conns--
	}
}

// Update implements broker.NodeClient.
func (c *Client) Update(nodes []broker.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		n.listed = false
	}
	for _, in := range nodes {
		n := c.nodes[in.ID]
		addr := strings.TrimPrefix(in.Addr, broker.FlightScheme)
		if n == nil || n.addr != addr && n.out > 0 { // what is out at the old address ends there
			n = &node{id: in.ID, addr: addr}
			c.nodes[in.ID] = n
		} else if n.addr != addr {
			c.hangUp(n)
			n.addr = addr
		}
		n.listed, n.latest = true, in.Latest
		n.several = c.paths.Set(in.ID, in.Addrs)
		if n.several { // what its connection leads to may have gone from the list
			if at := n.at.Load(); at != nil && !c.paths.Has(in.ID, *at) {
				n = c.renew(n)
			}
		}
	}
	for id, n := range c.nodes {
		if !n.listed && n.several { // never dialled again
			c.paths.Set(id, nil)
		}
		if !n.listed && n.out == 0 {
			c.hangUp(n)
			delete(c.nodes, id)
		}
	}
}

// renew gives a node a new connection for what comes next; what is out ends on
// the old one. c.mu is held.
func (c *Client) renew(n *node) *node {
	if n.conn == nil {
		n.at.Store(nil)
		return n
	}
	fresh := &node{id: n.id, addr: n.addr, listed: n.listed, latest: n.latest, several: n.several}
	c.nodes[n.id] = fresh
	if n.out == 0 {
		c.hangUp(n)
	}
	return fresh
}

// learn tells the paths what an attempt's end says of its address, and leaves
// an address that is in doubt then. c.mu is held.
func (c *Client) learn(n *node, at string, o decide.Outcome, sent time.Time) {
	now := time.Now()
	switch o {
	case decide.OK, decide.Failed, decide.Rejected:
		c.paths.Answered(n.id, at, now)
	case decide.ConnectionLost:
		c.paths.Reset(n.id, at, now)
	case decide.TimedOut:
		c.paths.Silent(n.id, at, sent, now)
	}
	if c.nodes[n.id] == n && !c.shut && c.paths.Doubtful(n.id, at, now) {
		c.renew(n)
	}
}

// dialer is how gRPC reaches a node of several addresses.
func (c *Client) dialer(n *node) grpc.DialOption {
	return grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
		conn, at, err := c.paths.Dial(ctx, n.id)
		if err != nil {
			return nil, err
		}
		n.at.Store(&at)
		return &greeted{Conn: conn, mute: func() { c.paths.Silent(n.id, at, time.Now(), time.Now()) }}, nil
	})
}

// only is how gRPC reaches a node of one address.
func (c *Client) only(n *node) grpc.DialOption {
	return grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, c.opts.ConnectTimeout)
		defer cancel()
		conn, err := c.opts.Dialer.DialOnly(ctx, "tcp", addr)
		n.local.Store(netio.LocalFailure(err))
		return conn, err
	})
}

// greeted notices a connection that ends before the other side has said a
// word: HTTP/2 begins with its settings (RFC 9113, section 3.4).
type greeted struct {
	net.Conn
	heard atomic.Bool
	once  sync.Once
	mute  func()
}

// Read implements net.Conn.
func (g *greeted) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	if n > 0 {
		g.heard.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (g *greeted) Close() error {
	g.once.Do(func() {
		if !g.heard.Load() {
			g.mute()
		}
	})
	return g.Conn.Close()
}

// room says whether one more connection may be made. Where all places are taken,
// that of the node which has rested the longest is closed. c.mu is held.
func (c *Client) room() bool {
	if c.conns < c.opts.MaxConns {
		return true
	}
	var oldest *node
	for _, n := range c.nodes {
		if n.conn != nil && n.out == 0 && (oldest == nil || n.rests.Before(oldest.rests)) {
			oldest = n
		}
	}
	if oldest == nil {
		return false
	}
	c.hangUp(oldest)
	return true
}

// reach returns the node and its connection, made if need be; else what came of
// it: want of room is no fault of the node's.
func (c *Client) reach(id string) (*node, decide.Outcome) {
	n := c.nodes[id]
	if n == nil || c.shut {
		return nil, decide.Unreachable
	}
	if n.conn == nil {
		if !c.room() {
			if now := time.Now(); now.Sub(c.full) >= complainEvery { // it would be a line a part
				c.full = now
				c.opts.Log.Warn().Str("event", "pool-full").Str("node", id).Int("conns", c.conns).
					Msg("no connection may be opened, and none is idle")
			}
			return nil, decide.NotSent
		}
		options := []grpc.DialOption{
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
			grpc.WithIdleTimeout(time.Duration(idleShare * float64(c.opts.ConnIdle))),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxAnswer)),
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: time.Second},
				MinConnectTimeout: c.opts.ConnectTimeout,
			}),
		}
		if n.several {
			options = append(options, c.dialer(n))
		} else {
			options = append(options, c.only(n))
		}
		conn, err := grpc.NewClient("passthrough:///"+n.addr, options...)
		if err != nil {
			c.opts.Log.Error().Str("event", "connect").Str("node", id).Err(err).Msg("a node could not be reached")
			return nil, decide.Unreachable
		}
		n.conn = conn
		c.conns++
	}
	return n, decide.OK
}

// Send implements broker.NodeClient. Flight has no calls of many parts: each
// part is a DoGet.
func (c *Client) Send(id string, calls []broker.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, failed := c.reach(id)
	if n != nil && len(c.calls)+len(calls) > maxCalls {
		n, failed = nil, decide.NotSent
	}
	for _, a := range calls {
		if n == nil {
			c.opts.Sink.Outcome(a.ID, failed, broker.Answer{})
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), a.Wait)
		c.calls[a.ID] = cancel
		n.out++
		c.done.Add(1)
		go func(conn *grpc.ClientConn) {
			defer c.done.Done()
			sent := time.Now()
			outcome, answer, err := c.call(ctx, conn, n, a)
			cancel()
			if err != nil {
				c.opts.Log.Debug().Str("event", "attempt").Str("node", id).Err(err).Msg("an attempt was not served")
			}
			c.mu.Lock()
			delete(c.calls, a.ID)
			if at := n.at.Load(); n.several && at != nil {
				c.learn(n, *at, outcome, sent)
			}
			c.release(n)
			c.mu.Unlock()
			c.opts.Sink.Outcome(a.ID, outcome, answer)
		}(n.conn)
	}
}

// release closes a node's connection with its last call once the node is no
// longer listed, or is listed at another address.
func (c *Client) release(n *node) {
	n.out--
	if n.out > 0 {
		return
	}
	n.rests = time.Now()
	if c.nodes[n.id] != n {
		c.hangUp(n)
	} else if !n.listed {
		c.hangUp(n)
		delete(c.nodes, n.id)
	}
}

// up waits for an open connection. Nothing has been sent before it is up.
func (c *Client) up(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ConnectTimeout)
	defer cancel()
	for {
		s := conn.GetState()
		switch s {
		case connectivity.Ready:
			return nil
		case connectivity.Idle:
			conn.Connect()
		case connectivity.TransientFailure, connectivity.Shutdown:
			return fmt.Errorf("connection is in state %v", s)
		}
		if !conn.WaitForStateChange(ctx, s) {
			return fmt.Errorf("connection not up: %w", ctx.Err())
		}
	}
}

// call makes one attempt. Until DoGet's stream is open nothing has run; from
// then on only the node's own word, in the trailer, proves that it did not.
func (c *Client) call(ctx context.Context, conn *grpc.ClientConn, n *node, a broker.Attempt) (decide.Outcome, broker.Answer, error) {
	var answer broker.Answer
	tell := func(p broker.WirePhase, at time.Time) {
		if c.opts.Observer != nil {
			c.opts.Observer.Wire(a.ID, p, conn.Target(), at)
		}
	}
	if conn.GetState() != connectivity.Ready {
		tell(broker.WireDialing, time.Now())
	}
	if err := c.up(ctx, conn); err != nil {
		if n.local.Load() {
			return decide.NotSent, answer, err
		}
		return decide.Unreachable, answer, err
	}
	tell(broker.WireUp, time.Now())
	if c.opts.Observer != nil {
		if parent, state := c.opts.Observer.Carry(a.ID); parent != "" {
			ctx = metadata.AppendToOutgoingContext(ctx, tracecontext.ParentKey, parent)
			if state != "" {
				ctx = metadata.AppendToOutgoingContext(ctx, tracecontext.StateKey, state)
			}
		}
	}
	// The raw stream and not the client's DoGet, which hides whether an error
	// came before the ticket left or after.
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, "/arrow.flight.protocol.FlightService/DoGet")
	if err != nil {
		return decide.Unreachable, answer, err
	}
	// It may have waited for the connection, and for the node to allow one more stream.
	if latest, listed := c.latest(n); !listed || a.Late(latest, time.Now()) {
		return decide.NotSent, answer, errLate
	}
	left := a.Wait // the node is told what is left now
	if end, ok := ctx.Deadline(); ok {
		left = time.Until(end)
	}
	ticket, err := flightwire.Encode(flightwire.PartTicket{
		ID: fmt.Sprintf("%s.%d", a.Query, a.Shard), Partition: a.Shard, WaitMs: max(1, left.Milliseconds()),
		Key: a.Key, Query: a.Text,
	})
	if err != nil {
		return decide.NotSent, answer, err
	}
	get := &answers{ClientStream: stream, began: &answer.Began}
	if err = stream.SendMsg(ticket); err == nil {
		err = stream.CloseSend()
	}
	if err == nil {
		c.relayed.Add(1)
		tell(broker.WireGone, time.Now())
	}
	var values []broker.Value
	if err == nil {
		_, values, err = flightwire.ReadValues(get)
	}
	if err == nil && (len(values) != 1 || values[0].Shard != a.Shard || len(values[0].Data) > maxValue) {
		return decide.Failed, answer, fmt.Errorf("answer of %d parts, want the one of shard %d", len(values), a.Shard)
	}
	if err == nil {
		answer.Value = values[0].Data
		return decide.OK, answer, nil
	}
	return outcome(err, stream.Trailer()), answer, err
}

// errLate is the end of an attempt that came to its stream when it might not begin
// any more.
var errLate = errors.New("the time in which it might begin was over")

// latest is until when attempts may begin at a node, and whether they may at all.
func (c *Client) latest(n *node) (latest time.Time, listed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.nodes[n.id]; now != nil { // n, or what has taken its place
		return now.latest, now.listed
	}
	return time.Time{}, false
}

// answers are the messages of one answer.
type answers struct {
	grpc.ClientStream
	began *time.Time // when the first came
}

// Recv implements flight.DataStreamReader.
func (a *answers) Recv() (*flight.FlightData, error) {
	m := new(flight.FlightData)
	if err := a.RecvMsg(m); err != nil {
		return nil, err
	}
	if a.began.IsZero() {
		*a.began = time.Now()
	}
	return m, nil
}

// outcome classifies what ended a stream that had been opened.
func outcome(err error, trailer metadata.MD) decide.Outcome {
	if ends := trailer.Get(flightwire.EndKey); len(ends) == 1 && ends[0] == flightwire.EndFull {
		return decide.Rejected
	}
	switch code(err) {
	case codes.DeadlineExceeded:
		return decide.TimedOut
	case codes.Canceled:
		return decide.Cancelled
	case codes.Unavailable, codes.Unknown:
		return decide.ConnectionLost
	}
	return decide.Failed
}

func code(err error) codes.Code {
	var s interface{ GRPCStatus() *status.Status }
	if errors.As(err, &s) {
		return s.GRPCStatus().Code()
	}
	return codes.Unknown
}

// Cancel implements broker.NodeClient.
func (c *Client) Cancel(_ string, id broker.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.calls[id]; cancel != nil {
		cancel()
	}
}

// Probe implements broker.NodeClient: it asks for the node's actions, which
// costs it next to nothing.
func (c *Client) Probe(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, failed := c.reach(id)
	if n == nil {
		c.opts.Sink.Probed(id, failed, 0)
		return
	}
	n.out++
	c.done.Add(1)
	go func(conn *grpc.ClientConn) {
		defer c.done.Done()
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 4*c.opts.ConnectTimeout)
		defer cancel()
		outcome := decide.OK
		if err := c.up(ctx, conn); err != nil {
			outcome = decide.Unreachable
		} else if stream, err := flight.NewFlightServiceClient(conn).ListActions(ctx, &flight.Empty{}); err != nil {
			outcome = decide.Failed
		} else if _, err := stream.Recv(); err != nil && !errors.Is(err, io.EOF) && code(err) != codes.Unimplemented {
			// A node that has no actions has answered all the same.
			outcome = decide.Failed
		}
		c.mu.Lock()
		c.release(n)
		c.mu.Unlock()
		c.opts.Sink.Probed(id, outcome, time.Since(start))
	}(n.conn)
}

// CloseIdle implements broker.NodeClient.
func (c *Client) CloseIdle(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.nodes[id]; n != nil && n.out == 0 {
		c.hangUp(n)
	}
}

// Addresses are those of the nodes that have several, the preferred one first.
func (c *Client) Addresses() map[string][]reach.View { return c.paths.Views() }
