package flightnode

// The connections to the nodes: dialing, the limit on their number, and their end.

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"

	"onyxsail/decide"
	"onyxsail/internal/netio"
)

// closeConn closes a node's connection, if there is one; c.mu is held.
func (c *Client) closeConn(n *node) {
	if n.conn != nil {
		_ = n.conn.Close()
		n.conn = nil
		c.openConns--
	}
}

// replaceConn makes later calls of a node use a new connection; open calls end on the old
// one. It returns the node that later calls use. c.mu is held.
func (c *Client) replaceConn(n *node) *node {
	if n.conn == nil {
		n.connAddr.Store(nil)
		return n
	}
	replacement := newNode(n.id, n.addr, n)
	replacement.listed, replacement.multiAddr = n.listed, n.multiAddr
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
		checked := &greetingCheckConn{Conn: conn, onSilence: func() { c.multiDialer.ReportSilence(n.id, addr, time.Now(), time.Now()) }}
		return c.trackConn(n, checked, conn), nil
	})
}

// singleAddrDialOption returns the gRPC dialer of a node with one address.
func (c *Client) singleAddrDialOption(n *node) grpc.DialOption {
	return grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, c.opts.ConnectTimeout)
		defer cancel()
		conn, err := c.opts.Dialer.DialSoleAddress(ctx, "tcp", addr)
		n.localFailure.Store(netio.IsResourceExhausted(err))
		if err != nil {
			return nil, err
		}
		return c.trackConn(n, conn, conn), nil
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
			grpc.WithDefaultCallOptions(
				grpc.MaxCallRecvMsgSize(maxMessageBytes),
				grpc.MaxRetryRPCBufferSize(0), // a ticket is never sent again by the library
			),
			grpc.WithMaxHeaderListSize(maxHeaderBytes),
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
