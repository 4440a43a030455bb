package nodeclient

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"onyxsail/broker"
	"onyxsail/internal/address"
	"onyxsail/internal/netio"
	"onyxsail/reach"
)

// switchEvery is how often one node's change of its preferred address is
// logged.
const switchEvery = 10 * time.Second

// paths are the addresses of a node that has several; such a node alone has a
// place in the planner. c.mu guards it.
type paths struct {
	addrs    map[string]address.Address // by their text
	told     time.Time                  // when a switch was logged last
	switches int                        // not logged since
}

// setPaths takes a node's addresses over, nil where it has one. c.mu is held.
func (c *Client) setPaths(n *node, texts []string) {
	if len(texts) < 2 {
		if n.paths != nil {
			c.planner.Set(n.id, nil)
			n.paths = nil
		}
		return
	}
	p := &paths{addrs: make(map[string]address.Address, len(texts))}
	if n.paths != nil {
		p.told, p.switches = n.paths.told, n.paths.switches
	}
	var all []address.Address
	for _, text := range texts {
		a, err := address.Parse(text)
		if err != nil { // the list's reader has checked them
			c.opts.Log.Error().Str("event", "address").Str("node", n.id).Err(err).Msg("an address cannot be used")
			continue
		}
		p.addrs[text] = a
		all = append(all, a)
	}
	n.paths = p
	c.planner.Set(n.id, all)
}

// Addresses are those of the nodes that have several, the preferred one first.
func (c *Client) Addresses() map[string][]reach.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string][]reach.View{}
	for id, n := range c.nodes {
		if n.paths != nil {
			all[id] = c.planner.Order(id, c.now(time.Now()))
		}
	}
	return all
}

// now is the planner's time.
func (c *Client) now(t time.Time) time.Duration { return t.Sub(c.start) }

// leads says whether a connection's address is still one of its node's.
func (cn *conn) leads() bool {
	n := cn.node
	if n.paths == nil {
		return cn.addr == n.addr
	}
	if cn.addr == "" {
		return true // still being raced for
	}
	_, ok := n.paths.addrs[cn.addr]
	return ok
}

// doubtful says whether the connection's address is in doubt.
func (cn *conn) doubtful(now time.Time) bool {
	n := cn.node
	if n.paths == nil || cn.addr == "" {
		return false
	}
	a, ok := n.paths.addrs[cn.addr]
	return ok && cn.c.planner.Doubtful(n.id, a, cn.c.now(now))
}

// answered tells the planner that the node spoke on this connection; c.mu is
// held.
func (cn *conn) answered(now time.Time) {
	n, c := cn.node, cn.c
	if n.paths == nil {
		return
	}
	a, ok := n.paths.addrs[cn.addr]
	if !ok || !c.planner.Answered(n.id, a, c.now(now)) {
		return
	}
	if n.paths.switches++; now.Sub(n.paths.told) >= switchEvery {
		c.opts.Log.Info().Str("event", "address-switch").Str("node", n.id).Str("addr", cn.addr).Int("times", n.paths.switches).
			Msg("another address of a node is preferred now")
		n.paths.told, n.paths.switches = now, 0
	}
}

// blame tells the planner once of a silence on the connection; c.mu is held.
func (cn *conn) blame(now time.Time) {
	n := cn.node
	if n.paths == nil || cn.blamed || !cn.silent(now) {
		return
	}
	if a, ok := n.paths.addrs[cn.addr]; ok {
		cn.blamed = true
		cn.c.planner.Silent(n.id, a, cn.c.now(cn.waiting), cn.c.now(now))
	}
}

// reset tells the planner that the connection broke; c.mu is held.
func (cn *conn) reset(now time.Time) {
	n := cn.node
	if n.paths == nil {
		return
	}
	if a, ok := n.paths.addrs[cn.addr]; ok {
		cn.c.planner.Reset(n.id, a, cn.c.now(now))
	}
}

// move sends a part of which nothing has left over another connection of its
// node, within the same attempt; false where it can't be. c.mu is held.
func (cn *conn) move(cl *call) bool {
	n, c := cn.node, cn.c
	a := cl.Attempt
	a.Wait -= time.Since(cl.since)
	if n.paths == nil || !n.listed || c.shut || cl.moves >= len(n.paths.addrs) || a.Wait <= 0 {
		return false
	}
	c.sendTo(n.id, []broker.Attempt{a}, cl.moves+1)
	return true
}

// dialed is what one dial of a race came to.
type dialed struct {
	addr address.Address
	nc   net.Conn
	err  error
	took time.Duration
}

// race makes a connection to a node of several addresses: it dials them as the
// planner says, takes the first that comes up, and breaks the others off. It
// ends with all its dials.
func (c *Client) race(cn *conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.ConnectTimeout)
	defer cancel()
	stop := context.AfterFunc(c.ctx, cancel)
	defer stop()
	results := make(chan dialed) // each dial is waited for
	out := 0
	c.mu.Lock()
	r := c.planner.Begin(cn.node.id, c.now(time.Now()))
	c.mu.Unlock()
	if r == nil {
		return nil, errors.New("no address, or too many dials are out")
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	var won net.Conn
	var last error
	for {
		c.mu.Lock()
		now := c.now(time.Now())
		if ctx.Err() != nil {
			r.Stop()
		}
		s := r.Next(now)
		c.mu.Unlock()
		if s.Dial != (address.Address{}) {
			out++
			go func() {
				d := net.Dialer{KeepAlive: -1}
				start := time.Now()
				nc, err := d.DialContext(ctx, s.Dial.Network(), s.Dial.Target)
				results <- dialed{s.Dial, nc, err, time.Since(start)}
			}()
			continue
		}
		if out == 0 {
			break
		}
		timer.Reset(time.Hour)
		if s.Wait > 0 {
			timer.Reset(max(0, s.Wait-now))
		}
		select {
		case <-timer.C:
			continue
		case d := <-results:
			out--
			if nc := c.take(cn, r, d); nc != nil {
				won = nc
				cancel() // the others
			} else if d.err != nil && won == nil {
				last = d.err
			}
		}
	}
	if won == nil && last == nil {
		last = errors.New("no address is left")
	}
	if won != nil {
		last = nil
	}
	return won, last
}

// take books the end of one dial and returns the connection if it is the one.
func (c *Client) take(cn *conn, r *reach.Race, d dialed) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now(time.Now())
	switch {
	case d.err == nil:
		if r.Up(d.addr, d.took, now) {
			cn.addr = d.addr.String()
			return d.nc
		}
		_ = d.nc.Close()
	case errors.Is(d.err, context.Canceled):
		r.Dropped(d.addr, now)
	case errors.Is(d.err, context.DeadlineExceeded), errors.Is(d.err, os.ErrDeadlineExceeded), errors.Is(d.err, syscall.ETIMEDOUT):
		r.Failed(d.addr, reach.TimedOut, now)
	default:
		r.Failed(d.addr, reach.Refused, now)
	}
	return nil
}

// connect makes a connection's socket.
func (c *Client) connect(cn *conn, several bool) (*netio.Conn, error) {
	var nc net.Conn
	var err error
	if several {
		nc, err = c.race(cn)
	} else {
		d := net.Dialer{Timeout: c.opts.ConnectTimeout, KeepAlive: -1}
		nc, err = d.DialContext(context.Background(), "tcp", cn.addr)
	}
	if err != nil {
		return nil, err
	}
	return c.opts.Loop.Attach(nc, cn, nil)
}
