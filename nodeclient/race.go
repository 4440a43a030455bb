package nodeclient

import (
	"context"
	"net"
	"time"

	"onyxsail/broker"
	"onyxsail/internal/netio"
	"onyxsail/reach"
)

// Addresses are those of the nodes that have several, the preferred one first.
func (c *Client) Addresses() map[string][]reach.AddressStatus { return c.paths.Views() }

// leads says whether a connection's address is still one of its node's.
func (cn *conn) leads() bool {
	n := cn.node
	if !n.several {
		return cn.addr == n.addr
	}
	return cn.addr == "" || cn.c.paths.Has(n.id, cn.addr) // "": still being raced for
}

// doubtful says whether the connection's address is in doubt.
func (cn *conn) doubtful(now time.Time) bool {
	return cn.node.several && cn.addr != "" && cn.c.paths.Doubtful(cn.node.id, cn.addr, now)
}

// blame tells once of a silence on the connection; c.mu is held.
func (cn *conn) blame(now time.Time) {
	if n := cn.node; n.several && !cn.blamed && cn.silent(now) {
		cn.blamed = true
		cn.c.paths.Silent(n.id, cn.addr, cn.waiting, now)
	}
}

// trials starts the trial of an address in doubt, where one is due; c.mu is held.
func (c *Client) trials(n *node) {
	if !n.listed || c.shut || c.conns >= c.opts.MaxConns {
		return
	}
	r := c.paths.Trial(n.id)
	if r == nil {
		return
	}
	cn := c.newConn(n)
	cn.trial = true
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		nc, addr, err := c.paths.Run(c.ctx, r)
		if err != nil {
			cn.fail()
			return
		}
		c.mu.Lock()
		cn.addr = addr
		c.mu.Unlock()
		if sock, err := c.opts.Loop.Attach(nc, cn, nil); err == nil {
			cn.begin(sock)
		} else {
			cn.fail()
		}
	}()
}

// try begins a trial on an open connection: a probe, where nodes answer them,
// else that it came up is all the proof there is. It says whether the connection
// goes on. c.mu is held.
func (cn *conn) try() bool {
	if !cn.c.opts.Probes {
		return cn.stand(true)
	}
	if _, err := cn.sock.Write(appendProbe(nil)); err != nil {
		cn.sock.Close()
		return false
	}
	return true
}

// stand ends a trial, and says whether the connection goes on, for parts then;
// c.mu is held.
func (cn *conn) stand(ok bool) bool {
	now := time.Now()
	cn.trial = false
	if ok {
		cn.c.paths.Proved(cn.node.id, cn.addr, now)
		return true
	}
	cn.c.paths.Silent(cn.node.id, cn.addr, cn.dialed, now)
	cn.ours = true
	cn.sock.Close()
	return false
}

// move sends a part of which nothing has left over another connection of its
// node, within the same attempt; false where it can't be. c.mu is held.
func (cn *conn) move(cl *call) bool {
	n, c := cn.node, cn.c
	a := cl.Attempt
	a.Timeout -= time.Since(cl.since)
	if !n.several || !n.listed || c.shut || cl.moves >= c.paths.Count(n.id) || a.Timeout <= 0 {
		return false
	}
	c.sendTo(n.id, []broker.Attempt{a}, cl.moves+1)
	return true
}

// connect makes a connection's socket.
func (c *Client) connect(cn *conn, several bool) (*netio.Conn, error) {
	var nc net.Conn
	var err error
	if several {
		var addr string
		if nc, addr, err = c.paths.Dial(c.ctx, cn.node.id); err == nil {
			c.mu.Lock()
			cn.addr = addr
			c.mu.Unlock()
		}
	} else {
		ctx, cancel := context.WithTimeout(c.ctx, c.opts.ConnectTimeout)
		defer cancel()
		nc, err = c.opts.Dialer.DialSoleAddress(ctx, "tcp", cn.addr)
	}
	if err != nil {
		return nil, err
	}
	return c.opts.Loop.Attach(nc, cn, nil)
}
