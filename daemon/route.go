package daemon

import (
	"strings"

	"onyxsail/broker"
	"onyxsail/decide"
)

// router sends what is for a node to the client of its kind, which the node's
// address in the list tells. The core's goroutine alone uses it.
type router struct {
	frames, flight broker.NodeClient
	sink           broker.Sink
	kinds          map[string]broker.NodeClient
}

// Update implements broker.NodeClient.
func (r *router) Update(nodes []broker.Node) {
	kinds := make(map[string]broker.NodeClient, len(nodes))
	var frames, flight []broker.Node
	for _, n := range nodes {
		if strings.HasPrefix(n.Addr, broker.FlightScheme) {
			kinds[n.ID], flight = r.flight, append(flight, n)
		} else {
			kinds[n.ID], frames = r.frames, append(frames, n)
		}
	}
	r.kinds = kinds
	r.frames.Update(frames)
	r.flight.Update(flight)
}

// Send implements broker.NodeClient.
func (r *router) Send(node string, calls []broker.Attempt) {
	if k := r.kinds[node]; k != nil {
		k.Send(node, calls)
		return
	}
	for _, a := range calls {
		r.sink.Outcome(a.ID, decide.Unreachable, broker.Answer{})
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
	r.sink.Probed(node, decide.Unreachable, 0)
}

// CloseIdle implements broker.NodeClient.
func (r *router) CloseIdle(node string) {
	if k := r.kinds[node]; k != nil {
		k.CloseIdle(node)
	}
}
