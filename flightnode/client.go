// Package flightnode sends attempts to nodes that speak Arrow Flight: each part is a DoGet,
// over one connection per node.
package flightnode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
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
	cancelByAttempt  map[broker.AttemptID]context.CancelFunc
	openConns        int
	poolFullLoggedAt time.Time // time of the latest pool-full log line
	closed           bool
	writtenAttempts  atomic.Int64 // attempts whose ticket has been handed to gRPC
	recoveredPanics  atomic.Int64 // attempts that panicked
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
	latestStart  time.Time              // attempts may not begin after this; zero: no limit
	multiAddr    bool                   // multiDialer has its addresses
	connAddr     atomic.Pointer[string] // with several addresses, the one connected to last; nil: none yet
	localFailure atomic.Bool            // with one address: the latest dial failed because of a failure on this machine
}

// WrittenAttempts returns the number of attempts whose ticket has been handed to gRPC so far.
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
	return &Client{opts: o, multiDialer: dial.New(o.Dialer, o.ConnectTimeout, o.MaxConns, o.Log), nodes: map[string]*node{}, cancelByAttempt: map[broker.AttemptID]context.CancelFunc{}}
}

// Close cancels all attempts, closes all connections and waits for open calls to end.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	for _, cancel := range c.cancelByAttempt {
		cancel()
	}
	for _, n := range c.nodes {
		c.closeConn(n)
	}
	c.mu.Unlock()
	c.multiDialer.Close()
	c.goroutines.Wait()
}

// closeConn closes a node's connection, if there is one; c.mu is held.
func (c *Client) closeConn(n *node) {
	if n.conn != nil {
		_ = n.conn.Close()
		n.conn = nil
		c.openConns--
	}
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
			n = &node{id: listed.ID, addr: addr}
			c.nodes[listed.ID] = n
		} else if n.addr != addr {
			c.closeConn(n)
			n.addr = addr
		}
		n.listed, n.latestStart = true, listed.Latest
		n.multiAddr = c.multiDialer.SetAddrs(listed.ID, listed.Addrs)
		if n.multiAddr { // the address of its connection may have been removed
			if at := n.connAddr.Load(); at != nil && !c.multiDialer.HasAddr(listed.ID, *at) {
				n = c.replaceConn(n)
			}
		}
	}
	for id, n := range c.nodes {
		if !n.listed && n.multiAddr { // it is not dialed again
			c.multiDialer.SetAddrs(id, nil)
		}
		if !n.listed && n.openCalls == 0 {
			c.closeConn(n)
			delete(c.nodes, id)
		}
	}
}

// replaceConn makes later calls of a node use a new connection; open calls end on the old
// one. It returns the node that later calls use. c.mu is held.
func (c *Client) replaceConn(n *node) *node {
	if n.conn == nil {
		n.connAddr.Store(nil)
		return n
	}
	replacement := &node{id: n.id, addr: n.addr, listed: n.listed, latestStart: n.latestStart, multiAddr: n.multiAddr}
	c.nodes[n.id] = replacement
	if n.openCalls == 0 {
		c.closeConn(n)
	}
	return replacement
}

// reportOutcome reports to the address planner what the outcome of an attempt shows about its
// address, and replaces the connection if the address is suspected then. c.mu is held.
func (c *Client) reportOutcome(n *node, addr string, outcome decide.Outcome, sentAt time.Time) {
	now := time.Now()
	switch outcome {
	case decide.OK, decide.Failed, decide.Rejected:
		c.multiDialer.ReportAnswer(n.id, addr, now)
	case decide.ConnectionLost:
		c.multiDialer.ReportConnectionBroken(n.id, addr, now)
	case decide.TimedOut:
		c.multiDialer.ReportSilence(n.id, addr, sentAt, now)
	}
	if c.nodes[n.id] == n && !c.closed && c.multiDialer.Suspected(n.id, addr, now) {
		c.replaceConn(n)
	}
}

// multiAddrDialOption returns the gRPC dialer of a node with several addresses.
func (c *Client) multiAddrDialOption(n *node) grpc.DialOption {
	return grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
		conn, addr, err := c.multiDialer.Dial(ctx, n.id)
		if err != nil {
			return nil, err
		}
		n.connAddr.Store(&addr)
		return &greetingCheckConn{Conn: conn, onSilence: func() { c.multiDialer.ReportSilence(n.id, addr, time.Now(), time.Now()) }}, nil
	})
}

// singleAddrDialOption returns the gRPC dialer of a node with one address.
func (c *Client) singleAddrDialOption(n *node) grpc.DialOption {
	return grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, c.opts.ConnectTimeout)
		defer cancel()
		conn, err := c.opts.Dialer.DialSoleAddress(ctx, "tcp", addr)
		n.localFailure.Store(netio.IsResourceExhausted(err))
		return conn, err
	})
}

// greetingCheckConn detects connections that are closed before the server has sent
// anything: a server begins with its SETTINGS frame (RFC 9113, section 3.4).
type greetingCheckConn struct {
	net.Conn
	received  atomic.Bool // the server has sent something
	once      sync.Once
	onSilence func() // called once by Close if nothing was received
}

// Read implements net.Conn.
func (c *greetingCheckConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *greetingCheckConn) Close() error {
	c.once.Do(func() {
		if !c.received.Load() {
			c.onSilence()
		}
	})
	return c.Conn.Close()
}

// makeRoom reports whether one more connection may be opened. If the pool is full, it
// closes the connection of the node that has been idle the longest. c.mu is held.
func (c *Client) makeRoom() bool {
	if c.openConns < c.opts.MaxConns {
		return true
	}
	var oldest *node
	for _, n := range c.nodes {
		if n.conn != nil && n.openCalls == 0 && (oldest == nil || n.idleSince.Before(oldest.idleSince)) {
			oldest = n
		}
	}
	if oldest == nil {
		return false
	}
	c.closeConn(oldest)
	return true
}

// nodeWithConn returns a node that has a gRPC connection, creating one if there is none; gRPC
// connects it later. If that is not possible, the node is nil and the outcome is that of the
// call: for a full pool NotSent, as it is not the node's fault. c.mu is held.
func (c *Client) nodeWithConn(id string) (*node, decide.Outcome) {
	n := c.nodes[id]
	if n == nil || c.closed {
		return nil, decide.Unreachable
	}
	if n.conn == nil {
		if !c.makeRoom() {
			if now := time.Now(); now.Sub(c.poolFullLoggedAt) >= warnLogInterval { // otherwise every part would log a line
				c.poolFullLoggedAt = now
				c.opts.Log.Warn().Str("event", "pool-full").Str("node", id).Int("conns", c.openConns).
					Msg("connection pool is full and no connection is idle")
			}
			return nil, decide.NotSent
		}
		options := []grpc.DialOption{
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
			grpc.WithIdleTimeout(time.Duration(idleTimeoutFraction * float64(c.opts.ServerIdleTimeout))),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)), grpc.WithMaxHeaderListSize(maxHeaderBytes),
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: time.Second},
				MinConnectTimeout: c.opts.ConnectTimeout,
			}),
		}
		if n.multiAddr {
			options = append(options, c.multiAddrDialOption(n))
		} else {
			options = append(options, c.singleAddrDialOption(n))
		}
		conn, err := grpc.NewClient("passthrough:///"+n.addr, options...)
		if err != nil {
			c.opts.Log.Error().Str("event", "connect").Str("node", id).Err(err).Msg("failed to connect to a node")
			return nil, decide.Unreachable
		}
		n.conn = conn
		c.openConns++
	}
	return n, decide.OK
}

// Send implements broker.NodeClient. Flight has no calls of several parts: each part is a
// DoGet of its own.
func (c *Client) Send(id string, attempts []broker.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, failed := c.nodeWithConn(id)
	if n != nil && len(c.cancelByAttempt)+len(attempts) > maxOpenAttempts {
		n, failed = nil, decide.NotSent
	}
	for _, a := range attempts {
		if n == nil {
			c.opts.Sink.AttemptOutcome(a.ID, failed, broker.Response{})
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
		c.cancelByAttempt[a.ID] = cancel
		n.openCalls++
		c.goroutines.Add(1)
		go func(conn *grpc.ClientConn) {
			defer c.goroutines.Done()
			sentAt := time.Now()
			outcome, answer, err := c.runAttemptGuarded(ctx, conn, n, a)
			cancel()
			if err != nil {
				c.opts.Log.Debug().Str("event", "attempt").Str("node", id).Err(err).Msg("attempt failed")
			}
			c.mu.Lock()
			delete(c.cancelByAttempt, a.ID)
			if at := n.connAddr.Load(); n.multiAddr && at != nil {
				c.reportOutcome(n, *at, outcome, sentAt)
			}
			c.release(n)
			c.mu.Unlock()
			c.opts.Sink.AttemptOutcome(a.ID, outcome, answer)
		}(n.conn)
	}
}

// release marks the end of a call of a node. With the last one it closes the connection if
// the node is no longer listed or has been replaced. c.mu is held.
func (c *Client) release(n *node) {
	n.openCalls--
	if n.openCalls > 0 {
		return
	}
	n.idleSince = time.Now()
	if c.nodes[n.id] != n {
		c.closeConn(n)
	} else if !n.listed {
		c.closeConn(n)
		delete(c.nodes, n.id)
	}
}

// waitReady waits until the connection is ready, for up to the connect timeout. Until then
// nothing has been sent on it.
func (c *Client) waitReady(ctx context.Context, conn *grpc.ClientConn) error {
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
			return fmt.Errorf("connection is not ready: %w", ctx.Err())
		}
	}
}

// errPanicked reports that the goroutine of an attempt panicked.
var errPanicked = errors.New("panic while making an attempt")

// runAttemptGuarded calls runAttempt. If that panics, the attempt has failed and may have run: a
// panic would otherwise end the process and all its queries.
func (c *Client) runAttemptGuarded(ctx context.Context, conn *grpc.ClientConn, n *node, a broker.Attempt) (outcome decide.Outcome, answer broker.Response, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			c.opts.Log.Error().Str("event", "panic").Str("node", n.id).Int64("total", c.recoveredPanics.Add(1)).
				Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Msg("an attempt panicked and counts as failed")
			outcome, answer, err = decide.Failed, broker.Response{}, errPanicked
		}
	}()
	return c.runAttempt(ctx, conn, n, a)
}

// runAttempt makes one attempt. Before the stream of DoGet is open, the attempt cannot have
// run; afterwards only the trailer, which comes from the node itself, proves that it did not.
func (c *Client) runAttempt(ctx context.Context, conn *grpc.ClientConn, n *node, a broker.Attempt) (decide.Outcome, broker.Response, error) {
	var answer broker.Response
	notify := func(p broker.WirePhase, at time.Time) {
		if c.opts.Observer != nil {
			c.opts.Observer.PhaseReached(a.ID, p, conn.Target(), at)
		}
	}
	if conn.GetState() != connectivity.Ready {
		notify(broker.WireConnecting, time.Now())
	}
	if err := c.waitReady(ctx, conn); err != nil {
		if n.localFailure.Load() {
			return decide.NotSent, answer, err
		}
		return decide.Unreachable, answer, err
	}
	notify(broker.WireConnected, time.Now())
	if c.opts.Observer != nil {
		if parent, state := c.opts.Observer.TraceHeaders(a.ID); parent != "" {
			ctx = metadata.AppendToOutgoingContext(ctx, tracecontext.TraceparentHeader, parent)
			if state != "" {
				ctx = metadata.AppendToOutgoingContext(ctx, tracecontext.TracestateHeader, state)
			}
		}
	}
	// NewStream instead of the generated DoGet client, which does not show whether an error
	// came before or after the ticket was sent.
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, "/arrow.flight.protocol.FlightService/DoGet")
	if err != nil {
		return decide.Unreachable, answer, err
	}
	// NewStream may have waited for the connection, and for the node's limit on streams.
	if latest, listed := c.latestStart(n); !listed || a.MustNotStart(latest, time.Now()) {
		return decide.NotSent, answer, errTooLate
	}
	remaining := a.Timeout // the node gets the time that remains now
	if end, ok := ctx.Deadline(); ok {
		remaining = time.Until(end)
	}
	ticket, err := flightwire.EncodeTicket(flightwire.PartTicket{
		ID: fmt.Sprintf("%s.%d", a.RequestID, a.Shard), Partition: a.Shard, WaitMs: max(1, remaining.Milliseconds()),
		Key: a.IdempotencyKey, Query: a.Text,
	})
	if err != nil {
		return decide.NotSent, answer, err
	}
	answers := &answerStream{ClientStream: stream, firstMessageAt: &answer.FirstByteAt}
	if err = stream.SendMsg(ticket); err == nil {
		err = stream.CloseSend()
	}
	if err == nil {
		c.writtenAttempts.Add(1)
		notify(broker.WireSent, time.Now())
	}
	var values []broker.Value
	if err == nil {
		_, values, err = flightwire.ReadValues(answers)
	}
	if err == nil && (len(values) != 1 || values[0].Shard != a.Shard || len(values[0].Data) > maxValueBytes) {
		return decide.Failed, answer, fmt.Errorf("got an answer of %d parts, want one part of shard %d", len(values), a.Shard)
	}
	if err == nil {
		answer.Value = values[0].Data
		return decide.OK, answer, nil
	}
	return classify(err, stream.Trailer()), answer, err
}

// errTooLate reports that an attempt got its stream when it must no longer start.
var errTooLate = errors.New("the attempt's latest start has passed, or its node is no longer listed")

// latestStart returns the time after which attempts may not begin at a node, zero if there is
// no limit, and whether the node is listed.
func (c *Client) latestStart(n *node) (latest time.Time, listed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.nodes[n.id]; current != nil { // n, or its replacement
		return current.latestStart, current.listed
	}
	return time.Time{}, false
}

// answerStream receives the messages of one answer.
type answerStream struct {
	grpc.ClientStream
	firstMessageAt *time.Time // set to when the first message arrived
}

// Recv implements flight.DataStreamReader.
func (a *answerStream) Recv() (*flight.FlightData, error) {
	m := new(flight.FlightData)
	if err := a.RecvMsg(m); err != nil {
		return nil, err
	}
	if a.firstMessageAt.IsZero() {
		*a.firstMessageAt = time.Now()
	}
	return m, nil
}

// classify returns the outcome for an error on a stream that had been opened.
func classify(err error, trailer metadata.MD) decide.Outcome {
	if ends := trailer.Get(flightwire.PartEndKey); len(ends) == 1 && ends[0] == flightwire.PartEndQueueFull {
		return decide.Rejected
	}
	if errors.Is(err, flightwire.ErrInvalidResult) {
		return decide.Failed
	}
	switch statusCode(err) {
	case codes.DeadlineExceeded:
		return decide.TimedOut
	case codes.Canceled:
		return decide.Cancelled
	case codes.Unavailable, codes.Unknown:
		return decide.ConnectionLost
	}
	return decide.Failed
}

// statusCode returns the gRPC status code of an error, Unknown if it has none.
func statusCode(err error) codes.Code {
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
	if cancel := c.cancelByAttempt[id]; cancel != nil {
		cancel()
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
