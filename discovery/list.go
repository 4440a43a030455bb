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

// List is one answer of discovery.
type List struct {
	Version int64 // the bits of an unsigned number, as it is told
	Full    bool
	Nodes   []broker.Node
	// Faults are addresses that cannot be used; their nodes' others stand.
	Faults []Fault
}

// Fault is one entry of a node's addrs.
type Fault struct {
	Node, Field string
	Err         error
}

type entry struct {
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

type message struct {
	Version *uint64 `json:"version"`
	Full    *bool   `json:"full"`
	Servers []entry `json:"servers"`
}

// ParseList decodes an answer. A zone or kind is its place in the settings.
func ParseList(data []byte, zones, kinds []string) (*List, error) {
	var m message
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if m.Version == nil || m.Full == nil {
		return nil, fmt.Errorf("list: version or full is missing")
	}
	l := &List{Version: int64(*m.Version), Full: *m.Full}
	for i, e := range m.Servers {
		n := broker.Node{
			ID: e.ID, Addr: e.Addr, Zone: zone(zones, e.Zone), Kind: max(0, index(kinds, e.Kind)),
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
			l.addrs(&n, e.Addrs)
		}
		l.Nodes = append(l.Nodes, n)
	}
	return l, nil
}

// maxAddrs bounds the addresses of one node.
const maxAddrs = 16

// addrs reads a node's further addresses. addr goes before them, unless it
// stands among them.
func (l *List) addrs(n *broker.Node, raw json.RawMessage) {
	fault := func(field string, err error) { l.Faults = append(l.Faults, Fault{n.ID, field, err}) }
	var texts []json.RawMessage
	if err := json.Unmarshal(raw, &texts); err != nil {
		fault("addrs", err)
		return
	}
	if len(texts) > maxAddrs {
		fault("addrs", fmt.Errorf("%d of them, want %d at most", len(texts), maxAddrs))
		texts = texts[:maxAddrs]
	}
	first, err := address.Parse(n.Addr)
	if err != nil { // the platform's form is wider: it alone counts then
		fault("addr", err)
		return
	}
	all := []address.Address{}
	for i, raw := range texts {
		var text string
		var a address.Address
		err := json.Unmarshal(raw, &text)
		if err == nil {
			a, err = address.Parse(text)
		}
		if err == nil && a.Flight != first.Flight {
			err = errors.New("speaks another protocol than addr")
		}
		if err != nil {
			fault(fmt.Sprintf("addrs[%d]", i), err)
		} else if !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	if !slices.Contains(all, first) {
		all = append([]address.Address{first}, all...)
	}
	if len(all) > 1 {
		for _, a := range all {
			n.Addrs = append(n.Addrs, a.String())
		}
	}
}

// zone is the place of a zone in the settings; -1, another one than any broker's,
// for one that they don't name; where they name none there is one alone.
func zone(zones []string, name string) int {
	if len(zones) == 0 {
		return 0
	}
	return index(zones, name)
}

func index(words []string, w string) int {
	for i, x := range words {
		if x == w {
			return i
		}
	}
	return -1
}
