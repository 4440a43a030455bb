package nodeclient

import (
	"context"
	"net"
	"time"

	"onyxsail/broker"
	"onyxsail/internal/netio"
	"onyxsail/reach"
)

// Addresses returns the state of the addresses of each node that has several, the preferred
// one first.
func (c *Client) Addresses() map[string][]reach.AddressStatus { return c.multiDialer.AddressStatuses() }

// addrIsListed reports whether the connection's address is still one of its node's.
func (cn *conn) addrIsListed() bool {
	n := cn.node
	if !n.multiAddr {
		return cn.addr == n.addr
	}
	return cn.addr == "" || cn.client.multiDialer.HasAddr(n.id, cn.addr) // "": still connecting to several
}

// addrIsSuspected reports whether the connection's address is suspected.
func (cn *conn) addrIsSuspected(now time.Time) bool {
	return cn.node.multiAddr && cn.addr != "" && cn.client.multiDialer.Suspected(cn.node.id, cn.addr, now)
}

// reportSilence reports to the address planner that the connection is silent, once for each
// silence; the client's mu is held.
func (cn *conn) reportSilence(now time.Time) {
	if n := cn.node; n.multiAddr && !cn.silenceReported && cn.isSilent(now) {
		cn.silenceReported = true
		cn.client.multiDialer.ReportSilence(n.id, cn.addr, cn.unansweredSince, now)
	}
}

// startProbation starts to open a connection that tests a suspected address, if the test of
// one is due and MaxConns allows it; c.mu is held.
func (c *Client) startProbation(n *node) {
	if !n.listed || c.closed || c.openConns >= c.opts.MaxConns {
		return
	}
	race := c.multiDialer.StartProbation(n.id)
	if race == nil {
		return
	}
	cn := c.newConn(n)
	cn.onProbation = true
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		netConn, addr, err := c.multiDialer.RunRace(c.ctx, race)
		if err != nil {
			cn.terminate()
			return
		}
		c.mu.Lock()
		cn.addr = addr
		c.mu.Unlock()
		if sock, err := c.opts.Loop.Attach(netConn, cn, nil); err == nil {
			cn.established(sock)
		} else {
			cn.terminate()
		}
	}()
}

// beginProbation begins to test the address over an open connection, by a probe. If nodes do
// not answer probes, the established connection alone passes the test. It reports whether the
// connection is kept. The client's mu is held.
func (cn *conn) beginProbation() bool {
	if !cn.client.opts.ProbesSupported {
		return cn.endProbation(true)
	}
	if _, err := cn.sock.Write(appendProbe(nil)); err != nil {
		cn.sock.Close()
		return false
	}
	return true
}

// endProbation ends the test of an address with its result. It reports whether the connection
// is kept, in which case it carries parts from now on. The client's mu is held.
func (cn *conn) endProbation(ok bool) bool {
	now := time.Now()
	cn.onProbation = false
	if ok {
		cn.client.multiDialer.ReportProbationPassed(cn.node.id, cn.addr, now)
		return true
	}
	cn.client.multiDialer.ReportSilence(cn.node.id, cn.addr, cn.dialedAt, now)
	cn.closedLocally = true
	cn.sock.Close()
	return false
}

// resend sends a part of which nothing was written over another connection to its node,
// within the same attempt. It reports false, and does nothing, if the node has a single
// address or is no longer listed, if the client is closed, or if no time or no resend is left.
// The client's mu is held.
func (cn *conn) resend(att *openAttempt) bool {
	n, c := cn.node, cn.client
	a := att.Attempt
	a.Timeout -= time.Since(att.requestedAt)
	if !n.multiAddr || !n.listed || c.closed || att.resends >= c.multiDialer.AddrCount(n.id) || a.Timeout <= 0 {
		return false
	}
	c.sendTo(n.id, []broker.Attempt{a}, att.resends+1)
	return true
}

// connect opens the socket of a connection, and sets its address if the node has several.
func (c *Client) connect(cn *conn, multiAddr bool) (*netio.Conn, error) {
	var netConn net.Conn
	var err error
	if multiAddr {
		var addr string
		if netConn, addr, err = c.multiDialer.Dial(c.ctx, cn.node.id); err == nil {
			c.mu.Lock()
			cn.addr = addr
			c.mu.Unlock()
		}
	} else {
		ctx, cancel := context.WithTimeout(c.ctx, c.opts.ConnectTimeout)
		defer cancel()
		netConn, err = c.opts.Dialer.DialSoleAddress(ctx, "tcp", cn.addr)
	}
	if err != nil {
		return nil, err
	}
	return c.opts.Loop.Attach(netConn, cn, nil)
}
