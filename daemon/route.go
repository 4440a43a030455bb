package daemon

import (
	"slices"
	"strings"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/address"
	"onyxsail/reach"
)

// router sends what is for a node to the client of its kind, which the node's
// address in the list tells. The core's goroutine alone uses it.
type router struct {
	frames, flight broker.NodeClient
	sink           broker.ResultSink
	kinds          map[string]broker.NodeClient
	claims         *reach.Claims // nil until a node has several addresses
	log            zerolog.Logger
}

// Update implements broker.NodeClient.
func (r *router) Update(nodes []broker.Node) {
	nodes = r.settle(nodes)
	kinds := make(map[string]broker.NodeClient, len(nodes))
	var frames, flight []broker.Node
	for _, n := range nodes {
		if strings.HasPrefix(n.Addr, "grpc+") { // grpc+tcp:, grpc+unix:
			kinds[n.ID], flight = r.flight, append(flight, n)
		} else {
			kinds[n.ID], frames = r.frames, append(frames, n)
		}
	}
	r.kinds = kinds
	r.frames.Update(frames)
	r.flight.Update(flight)
}

// settle leaves each address to one node, where any has several. A node that
// keeps none cannot be reached.
func (r *router) settle(nodes []broker.Node) []broker.Node {
	if r.claims == nil {
		if !slices.ContainsFunc(nodes, func(n broker.Node) bool { return len(n.Addrs) > 0 }) {
			return nodes
		}
		r.claims = reach.NewClaims()
	}
	all := make([]reach.NodeAddresses, len(nodes))
	for i, n := range nodes {
		all[i].ID = n.ID
		texts := n.Addrs
		if len(texts) == 0 {
			texts = []string{n.Addr}
		}
		for _, text := range texts {
			if a, err := address.Parse(text); err == nil {
				all[i].Addrs = append(all[i].Addrs, a)
			}
		}
	}
	// The order among those that come in one turn must not be a map's.
	slices.SortStableFunc(all, func(a, b reach.NodeAddresses) int { return strings.Compare(a.ID, b.ID) })
	granted, lost := r.claims.Update(all)
	for _, l := range lost {
		r.log.Warn().Str("event", "address-claim").Str("node", l.NodeID).Str("addr", l.Addr.String()).Str("to", l.WinnerID).
			Msg("two nodes are listed with one address; the newer claim has it")
	}
	own := make(map[string][]string, len(granted))
	for _, g := range granted {
		for _, a := range g.Addrs {
			own[g.ID] = append(own[g.ID], a.String())
		}
	}
	out := nodes[:0:0]
	for _, n := range nodes {
		texts := own[n.ID]
		if len(texts) == 0 {
			continue
		}
		if !slices.Contains(texts, n.Addr) && len(n.Addrs) > 0 || len(texts) == 1 {
			n.Addr = texts[0]
		}
		if n.Addrs = nil; len(texts) > 1 {
			n.Addrs = texts
		}
		out = append(out, n)
	}
	return out
}

// Send implements broker.NodeClient.
func (r *router) Send(node string, calls []broker.Attempt) {
	if k := r.kinds[node]; k != nil {
		k.Send(node, calls)
		return
	}
	for _, a := range calls {
		r.sink.AttemptOutcome(a.ID, decide.Unreachable, broker.Response{})
	}
}

// Cancel implements broker.NodeClient. The node may have left the list since,
// so both clients are told; the one that does not know the attempt ignores it.
func (r *router) Cancel(node string, id broker.AttemptID) {
	r.frames.Cancel(node, id)
	r.flight.Cancel(node, id)
}

// Probe implements broker.NodeClient.
func (r *router) Probe(node string) {
	if k := r.kinds[node]; k != nil {
		k.Probe(node)
		return
	}
	r.sink.ProbeOutcome(node, decide.Unreachable, 0)
}

// CloseIdle implements broker.NodeClient.
func (r *router) CloseIdle(node string) {
	if k := r.kinds[node]; k != nil {
		k.CloseIdle(node)
	}
}
