package broker

// The core's copy of the list of nodes.

import (
	"time"

	"onyxsail/decide"
)

// maxDrainSendWindow is the longest time after the announcement of its drain for which a node
// may still be sent attempts, whatever the module asks for; see drainSendWindow. The rest of
// the drain grace is left for the frame to reach the node. The module itself stops sending at
// once.
const maxDrainSendWindow = 250 * time.Millisecond

// nodeRetention is how long the core keeps a node that was removed from the list. It is longer
// than any attempt lasts. Such nodes cannot be kept for ever, as each release of the nodes
// brings new IDs.
const nodeRetention = 30 * time.Second

// nodeState is a node as the core tracks it.
type nodeState struct {
	Node
	leftAt     time.Time // when it was first reported as draining or removed; zero: it is ready
	readyAtMs  float64   // its start on the module's clock; 0: long ago
	lastSentAt time.Time // when the last attempt was sent to it
}

// applyRoster updates the core's list of nodes, and passes the update to the module and the new
// list to the node client. If a node has several entries, the last one counts.
func (c *Core) applyRoster(roster Roster, now time.Time) {
	event := decide.Event{Kind: decide.ListUpdate, List: roster.Kind}
	if roster.Kind == decide.ListFailed {
		c.events = append(c.events, event)
		return
	}
	if roster.Kind != decide.ListDelta {
		listedIDs := make(map[string]bool, len(roster.Nodes))
		for _, n := range roster.Nodes {
			listedIDs[n.ID] = true
		}
		for _, n := range c.nodes {
			if !listedIDs[n.ID] {
				n.markUnavailable(decide.Removed, now)
			}
		}
	}
	readyAtMs := c.startTimesOf(&roster, now)
	for i, n := range roster.Nodes {
		addr, ok := c.addrByNodeID[n.ID]
		if !ok {
			c.lastAddr++
			addr = c.lastAddr
			c.addrByNodeID[n.ID] = addr
			c.nodes[addr] = &nodeState{}
		}
		known := c.nodes[addr]
		prevLeftAt := known.leftAt
		known.Node, known.leftAt, known.readyAtMs = n, time.Time{}, readyAtMs[i]
		if n.State != decide.Ready {
			known.leftAt = prevLeftAt
			known.markUnavailable(n.State, now)
		}
		event.Members = append(event.Members, decide.Member{
			Addr: addr, Zone: n.Zone, Kind: n.Kind, Cell: n.Cell, State: n.State, Size: n.Weight, ReadyAt: readyAtMs[i],
		})
	}
	c.events = append(c.events, event)
	var listedNodes []Node
	for addr, n := range c.nodes {
		switch {
		case n.State != decide.Removed:
			if n.Latest = (time.Time{}); !n.leftAt.IsZero() {
				n.Latest = n.leftAt.Add(c.drainSendWindow())
			}
			listedNodes = append(listedNodes, n.Node)
		case now.Sub(n.leftAt) > nodeRetention:
			c.startTimes.remember(n)
			delete(c.addrByNodeID, n.ID)
			delete(c.nodes, addr)
		}
	}
	c.opts.Nodes.Update(listedNodes)
	c.opts.Log.Info().Str("event", "roster").Int64("version", roster.Version).Int("changed", len(roster.Nodes)).
		Int("listed", len(listedNodes)).Msg("list of nodes changed")
}

// drainSendWindow returns how long after the announcement of its drain a node may still be
// sent attempts: half of the drain grace, but at most maxDrainSendWindow.
func (c *Core) drainSendWindow() time.Duration {
	return min(maxDrainSendWindow, durationFromMs(c.opts.Settings.DrainGraceMs/2))
}

// markUnavailable sets the state Draining or Removed. leftAt keeps the time of the first such
// report.
func (n *nodeState) markUnavailable(state decide.State, now time.Time) {
	n.State = state
	if n.leftAt.IsZero() {
		n.leftAt = now
	}
}
