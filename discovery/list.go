package discovery

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/address"
	"onyxsail/internal/strictjson"
)

// List is one answer of discovery: the full list, or the entries that have changed.
type List struct {
	Version int64 // the bits of the unsigned 64-bit number in the answer
	Full    bool
	Nodes   []broker.Node
	// AddressErrors report addresses of nodes that cannot be used; they are left out of
	// Addrs.
	AddressErrors []AddressError
}

// AddressError reports why addresses of a node cannot be used. Field is "addrs[i]" for one
// entry, "addrs" if addrs is no list or has more entries than are used, and "addr" if addr
// cannot be parsed, in which case addrs is ignored.
type AddressError struct {
	Node, Field string
	Err         error
}

// serverEntry is one node in an answer of discovery.
type serverEntry struct {
	ID      strictjson.Text `json:"id"`
	Addr    strictjson.Text `json:"addr"`
	Addrs   jsontext.Value  `json:"addrs"`
	Zone    strictjson.Text `json:"zone"`
	Kind    strictjson.Text `json:"kind"`
	Cell    int             `json:"cell"`
	State   string          `json:"state"`
	Weight  *float64        `json:"weight"`     // nil: 1
	Started float64         `json:"started_ms"` // in milliseconds since the Unix epoch; 0: unknown
}

// listMessage is an answer of discovery.
type listMessage struct {
	Version *uint64       `json:"version"`
	Full    *bool         `json:"full"`
	Servers []serverEntry `json:"servers"`
}

// ParseList decodes an answer. Zones and kinds become indexes into the given names; an unknown
// zone becomes -1 (see zoneIndex), an unknown kind 0. An invalid entry invalidates the whole
// answer, except that an unusable entry of addrs is only reported in AddressErrors.
func ParseList(data []byte, zones, kinds []string) (*List, error) {
	var message listMessage
	if err := strictjson.UnmarshalParts(data, &message); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if message.Version == nil || message.Full == nil {
		return nil, fmt.Errorf("list: version or full is missing")
	}
	list := &List{Version: int64(*message.Version), Full: *message.Full}
	for i, entry := range message.Servers {
		n := broker.Node{
			ID: string(entry.ID), Addr: string(entry.Addr), Zone: zoneIndex(zones, string(entry.Zone)), Kind: max(0, indexOf(kinds, string(entry.Kind))),
			Cell: entry.Cell, Weight: 1,
		}
		switch entry.State {
		case "in_service":
			n.State = decide.Ready
		case "terminating":
			n.State = decide.Draining
		case "terminated":
			n.State = decide.Removed
		default:
			return nil, fmt.Errorf("servers[%d].state: got %q, want in_service, terminating or terminated", i, entry.State)
		}
		_, _, err := net.SplitHostPort(strings.TrimPrefix(n.Addr, broker.FlightScheme))
		switch {
		case entry.ID == "":
			return nil, fmt.Errorf("servers[%d].id: missing", i)
		case err != nil && n.State != decide.Removed:
			return nil, fmt.Errorf("servers[%d].addr: %w", i, err)
		}
		if entry.Weight != nil {
			n.Weight = *entry.Weight
		}
		if entry.Started > 0 {
			n.Started = time.UnixMicro(int64(entry.Started * 1000))
		}
		if len(entry.Addrs) > 0 && n.State != decide.Removed {
			list.parseAddrs(&n, entry.Addrs)
		}
		list.Nodes = append(list.Nodes, n)
	}
	return list, nil
}

// maxAddrsPerNode is the maximum number of entries that are used of a node's addrs.
const maxAddrsPerNode = 16

// parseAddrs parses a node's addrs and sets n.Addrs if there is more than one distinct
// address. The node's addr goes before them, unless it is among them.
func (l *List) parseAddrs(n *broker.Node, raw jsontext.Value) {
	report := func(field string, err error) {
		l.AddressErrors = append(l.AddressErrors, AddressError{n.ID, field, err})
	}
	var texts []jsontext.Value
	if err := strictjson.UnmarshalParts(raw, &texts); err != nil {
		report("addrs", err)
		return
	}
	if len(texts) > maxAddrsPerNode {
		report("addrs", fmt.Errorf("got %d addresses, want %d at most", len(texts), maxAddrsPerNode))
		texts = texts[:maxAddrsPerNode]
	}
	primary, err := address.Parse(n.Addr)
	if err != nil { // ParseList accepts forms of addr that address.Parse does not; it is then the node's only address
		report("addr", err)
		return
	}
	distinct := []address.Address{}
	for i, raw := range texts {
		var text string
		var a address.Address
		err := strictjson.Unmarshal(raw, &text)
		if err == nil {
			a, err = address.Parse(text)
		}
		if err == nil && a.Flight != primary.Flight {
			err = errors.New("protocol differs from that of addr")
		}
		if err != nil {
			report(fmt.Sprintf("addrs[%d]", i), err)
		} else if !slices.Contains(distinct, a) {
			distinct = append(distinct, a)
		}
	}
	if !slices.Contains(distinct, primary) {
		distinct = append([]address.Address{primary}, distinct...)
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

// indexOf returns the index of name in names, -1 if it is not among them.
func indexOf(names []string, name string) int {
	for i, candidate := range names {
		if candidate == name {
			return i
		}
	}
	return -1
}
