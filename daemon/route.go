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

// router is the core's node client. It dispatches to the frame client or the Flight client
// by the scheme of the node's address. Only the core's goroutine uses it.
type router struct {
	frameClient, flightClient broker.NodeClient
	sink                      broker.ResultSink
	clientByNode              map[string]broker.NodeClient
	claims                    *reach.Claims // nil until a node with several addresses is listed
	log                       zerolog.Logger
}

// usesFlight reports whether parts are sent to a node over Flight.
func usesFlight(n broker.Node) bool {
	return strings.HasPrefix(n.Addr, "grpc+") // grpc+tcp:, grpc+unix:
}

// Update implements broker.NodeClient.
func (r *router) Update(nodes []broker.Node) {
	nodes = r.resolveAddressClaims(nodes)
	clientByNode := make(map[string]broker.NodeClient, len(nodes))
	var frameNodes, flightNodes []broker.Node
	for _, n := range nodes {
		if usesFlight(n) {
			clientByNode[n.ID], flightNodes = r.flightClient, append(flightNodes, n)
		} else {
			clientByNode[n.ID], frameNodes = r.frameClient, append(frameNodes, n)
		}
	}
	r.clientByNode = clientByNode
	r.frameClient.Update(frameNodes)
	r.flightClient.Update(flightNodes)
}

// resolveAddressClaims returns the nodes with the addresses that they may use: once any node
// has listed several, each address is assigned to a single node. A node that is left without
// an address is dropped, as it cannot be reached.
func (r *router) resolveAddressClaims(nodes []broker.Node) []broker.Node {
	if r.claims == nil {
		if !slices.ContainsFunc(nodes, func(n broker.Node) bool { return len(n.Addrs) > 0 }) {
			return nodes
		}
		r.claims = reach.NewClaims()
	}
	listings := make([]reach.NodeAddresses, len(nodes))
	for i, n := range nodes {
		listings[i].ID = n.ID
		addrs := n.Addrs
		if len(addrs) == 0 {
			addrs = []string{n.Addr}
		}
		for _, addr := range addrs {
			if a, err := address.Parse(addr); err == nil {
				listings[i].Addrs = append(listings[i].Addrs, a)
			}
		}
	}
	// Claims made in the same update are resolved by the order of the nodes, which must not
	// depend on the iteration order of a map.
	slices.SortStableFunc(listings, func(a, b reach.NodeAddresses) int { return strings.Compare(a.ID, b.ID) })
	granted, lost := r.claims.Update(listings)
	for _, l := range lost {
		r.log.Warn().Str("event", "address-claim").Str("node", l.NodeID).Str("addr", l.Addr.String()).Str("to", l.WinnerID).
			Msg("two nodes are listed with the same address; the newer claim wins")
	}
	grantedAddrs := make(map[string][]string, len(granted))
	for _, g := range granted {
		for _, a := range g.Addrs {
			grantedAddrs[g.ID] = append(grantedAddrs[g.ID], a.String())
		}
	}
	reachable := nodes[:0:0]
	for _, n := range nodes {
		addrs := grantedAddrs[n.ID]
		if len(addrs) == 0 {
			continue
		}
		if !slices.Contains(addrs, n.Addr) && len(n.Addrs) > 0 || len(addrs) == 1 {
			n.Addr = addrs[0]
		}
		if n.Addrs = nil; len(addrs) > 1 {
			n.Addrs = addrs
		}
		reachable = append(reachable, n)
	}
	return reachable
}

// Send implements broker.NodeClient.
func (r *router) Send(node string, attempts []broker.Attempt) {
	if client := r.clientByNode[node]; client != nil {
		client.Send(node, attempts)
		return
	}
	for _, a := range attempts {
		r.sink.AttemptOutcome(a.ID, decide.Unreachable, broker.Response{})
	}
}

// Cancel implements broker.NodeClient. The node may have left the list since the attempt
// was sent, so both clients are called; the one that does not know the attempt ignores it.
func (r *router) Cancel(node string, id broker.AttemptID) {
	r.frameClient.Cancel(node, id)
	r.flightClient.Cancel(node, id)
}

// Probe implements broker.NodeClient.
func (r *router) Probe(node string) {
	if client := r.clientByNode[node]; client != nil {
		client.Probe(node)
		return
	}
	r.sink.ProbeOutcome(node, decide.Unreachable, 0)
}

// CloseIdle implements broker.NodeClient.
func (r *router) CloseIdle(node string) {
	if client := r.clientByNode[node]; client != nil {
		client.CloseIdle(node)
	}
}
