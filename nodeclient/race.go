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
func (c *Client) Addresses() map[string][]reach.View { return c.paths.Views() }

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

// move sends a part of which nothing has left over another connection of its
// node, within the same attempt; false where it can't be. c.mu is held.
func (cn *conn) move(cl *call) bool {
	n, c := cn.node, cn.c
	a := cl.Attempt
	a.Wait -= time.Since(cl.since)
	if !n.several || !n.listed || c.shut || cl.moves >= c.paths.Count(n.id) || a.Wait <= 0 {
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
		if nc, addr, err = c.paths.Dial(context.Background(), cn.node.id); err == nil {
			c.mu.Lock()
			cn.addr = addr
			c.mu.Unlock()
		}
	} else {
		d := net.Dialer{Timeout: c.opts.ConnectTimeout, KeepAlive: -1}
		nc, err = d.DialContext(context.Background(), "tcp", cn.addr)
	}
	if err != nil {
		return nil, err
	}
	return c.opts.Loop.Attach(nc, cn, nil)
}
