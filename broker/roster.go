package broker

// The list of nodes, as the core has it.

import (
	"time"

	"onyxsail/decide"
)

// drainGuard is how long after its drain was told a node may still be sent
// work, whatever the module says, or half of what the settings allow if that is
// less: the frame has its way to go. The module stops at once.
const drainGuard = 250 * time.Millisecond

// forgetAfter is when a node that has left is forgotten: no attempt lives so
// long, and on a long day each release brings new ids.
const forgetAfter = 30 * time.Second

type node struct {
	Node
	left    time.Time // when it was told to be draining or gone
	readyAt float64   // its start on the core's clock
	sent    time.Time // when an attempt was last sent there
}

func (c *Core) roster(r Roster, now time.Time) {
	e := decide.Event{Kind: decide.ListUpdate, List: r.Kind}
	if r.Kind == decide.ListFailed {
		c.events = append(c.events, e)
		return
	}
	if r.Kind != decide.ListDelta {
		listed := make(map[string]bool, len(r.Nodes))
		for _, n := range r.Nodes {
			listed[n.ID] = true
		}
		for _, n := range c.nodes {
			if !listed[n.ID] {
				n.depart(decide.Removed, now)
			}
		}
	}
	dated := c.dateStarts(&r, now)
	for i, n := range r.Nodes {
		addr, ok := c.names[n.ID]
		if !ok {
			c.named++
			addr = c.named
			c.names[n.ID] = addr
			c.nodes[addr] = &node{}
		}
		own := c.nodes[addr]
		left := own.left
		own.Node, own.left, own.readyAt = n, time.Time{}, dated[i]
		if n.State != decide.Ready {
			own.left = left
			own.depart(n.State, now)
		}
		e.Members = append(e.Members, decide.Member{
			Addr: addr, Zone: n.Zone, Kind: n.Kind, Cell: n.Cell, State: n.State, Size: n.Weight, ReadyAt: dated[i],
		})
	}
	c.events = append(c.events, e)
	var all []Node
	for addr, n := range c.nodes {
		switch {
		case n.State != decide.Removed:
			if n.Latest = (time.Time{}); !n.left.IsZero() {
				n.Latest = n.left.Add(c.drainGuard())
			}
			all = append(all, n.Node)
		case now.Sub(n.left) > forgetAfter: // each release brings new ids: the old must not pile up
			c.starts.remember(n)
			delete(c.names, n.ID)
			delete(c.nodes, addr)
		}
	}
	c.opts.Nodes.Update(all)
	c.opts.Log.Info().Str("event", "roster").Int64("version", r.Version).Int("changed", len(r.Nodes)).
		Int("listed", len(all)).Msg("list of nodes changed")
}

func (c *Core) drainGuard() time.Duration {
	return min(drainGuard, duration(c.opts.Settings.DrainGraceMs/2))
}

func (n *node) depart(s decide.State, now time.Time) {
	n.State = s
	if n.left.IsZero() {
		n.left = now
	}
}
