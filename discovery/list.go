package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/address"
)

// List is one answer of discovery: the full list, or changes to it.
type List struct {
	Version int64 // the bits of the unsigned 64-bit number in the answer
	Full    bool
	Nodes   []broker.Node
	// AddressErrors are the addresses that cannot be used. The other addresses of their
	// nodes can.
	AddressErrors []AddressError
}

// AddressError is an unusable entry of a node's addrs, or an addrs that is unusable
// altogether.
type AddressError struct {
	Node, Field string
	Err         error
}

// serverEntry is one node in an answer of discovery.
type serverEntry struct {
	ID      string          `json:"id"`
	Addr    string          `json:"addr"`
	Addrs   json.RawMessage `json:"addrs"`
	Zone    string          `json:"zone"`
	Kind    string          `json:"kind"`
	Cell    int             `json:"cell"`
	State   string          `json:"state"`
	Weight  *float64        `json:"weight"`
	Started float64         `json:"started_ms"`
}

// listMessage is an answer of discovery.
type listMessage struct {
	Version *uint64       `json:"version"`
	Full    *bool         `json:"full"`
	Servers []serverEntry `json:"servers"`
}

// ParseList decodes an answer. Zones and kinds become indexes into the given names.
func ParseList(data []byte, zones, kinds []string) (*List, error) {
	var m listMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if m.Version == nil || m.Full == nil {
		return nil, fmt.Errorf("list: version or full is missing")
	}
	l := &List{Version: int64(*m.Version), Full: *m.Full}
	for i, e := range m.Servers {
		n := broker.Node{
			ID: e.ID, Addr: e.Addr, Zone: zoneIndex(zones, e.Zone), Kind: max(0, indexOf(kinds, e.Kind)),
			Cell: e.Cell, Weight: 1,
		}
		switch e.State {
		case "in_service":
			n.State = decide.Ready
		case "terminating":
			n.State = decide.Draining
		case "terminated":
			n.State = decide.Removed
		default:
			return nil, fmt.Errorf("servers[%d].state: got %q, want in_service, terminating or terminated", i, e.State)
		}
		_, _, err := net.SplitHostPort(strings.TrimPrefix(e.Addr, broker.FlightScheme))
		switch {
		case e.ID == "":
			return nil, fmt.Errorf("servers[%d].id: missing", i)
		case err != nil && n.State != decide.Removed:
			return nil, fmt.Errorf("servers[%d].addr: %w", i, err)
		}
		if e.Weight != nil {
			n.Weight = *e.Weight
		}
		if e.Started > 0 {
			n.Started = time.UnixMicro(int64(e.Started * 1000))
		}
		if len(e.Addrs) > 0 && n.State != decide.Removed {
			l.parseAddrs(&n, e.Addrs)
		}
		l.Nodes = append(l.Nodes, n)
	}
	return l, nil
}

// maxAddrsPerNode bounds the number of addresses of one node.
const maxAddrsPerNode = 16

// parseAddrs parses a node's addrs. Its addr goes before them, unless it is among them.
func (l *List) parseAddrs(n *broker.Node, raw json.RawMessage) {
	report := func(field string, err error) {
		l.AddressErrors = append(l.AddressErrors, AddressError{n.ID, field, err})
	}
	var texts []json.RawMessage
	if err := json.Unmarshal(raw, &texts); err != nil {
		report("addrs", err)
		return
	}
	if len(texts) > maxAddrsPerNode {
		report("addrs", fmt.Errorf("got %d addresses, want %d at most", len(texts), maxAddrsPerNode))
		texts = texts[:maxAddrsPerNode]
	}
	first, err := address.Parse(n.Addr)
	if err != nil { // addr may have forms that address.Parse does not accept; it is then the node's only address
		report("addr", err)
		return
	}
	distinct := []address.Address{}
	for i, raw := range texts {
		var text string
		var a address.Address
		err := json.Unmarshal(raw, &text)
		if err == nil {
			a, err = address.Parse(text)
		}
		if err == nil && a.Flight != first.Flight {
			err = errors.New("protocol differs from that of addr")
		}
		if err != nil {
			report(fmt.Sprintf("addrs[%d]", i), err)
		} else if !slices.Contains(distinct, a) {
			distinct = append(distinct, a)
		}
	}
	if !slices.Contains(distinct, first) {
		distinct = append([]address.Address{first}, distinct...)
	}
	if len(distinct) > 1 {
		for _, a := range distinct {
			n.Addrs = append(n.Addrs, a.String())
		}
	}
}

// zoneIndex returns the index of a zone in the settings. If the settings name no zones, all
// nodes are in one; a zone that they do not name is -1, which is no broker's zone.
func zoneIndex(zones []string, name string) int {
	if len(zones) == 0 {
		return 0
	}
	return indexOf(zones, name)
}

// indexOf returns the index of w in words, -1 if it is not among them.
func indexOf(words []string, w string) int {
	for i, x := range words {
		if x == w {
			return i
		}
	}
	return -1
}
