package discovery

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"onyxsail/broker"
	"onyxsail/decide"
)

// List is one answer of discovery.
type List struct {
	Version int64
	Full    bool
	Nodes   []broker.Node
}

type entry struct {
	ID      string   `json:"id"`
	Addr    string   `json:"addr"`
	Zone    string   `json:"zone"`
	Kind    string   `json:"kind"`
	Cell    int      `json:"cell"`
	State   string   `json:"state"`
	Weight  *float64 `json:"weight"`
	Started float64  `json:"started_ms"`
}

type message struct {
	Version *int64  `json:"version"`
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
	l := &List{Version: *m.Version, Full: *m.Full}
	for i, e := range m.Servers {
		n := broker.Node{
			ID: e.ID, Addr: e.Addr, Zone: index(zones, e.Zone), Kind: max(0, index(kinds, e.Kind)),
			Cell: e.Cell, Weight: 1,
		}
		switch e.State {
		case "in_service":
			n.State = decide.Ready
		case "terminating":
			n.State = decide.Draining
		case "terminated":
			n.State = decide.Gone
		default:
			return nil, fmt.Errorf("servers[%d].state: got %q, want in_service, terminating or terminated", i, e.State)
		}
		_, _, err := net.SplitHostPort(strings.TrimPrefix(e.Addr, broker.FlightScheme))
		switch {
		case e.ID == "":
			return nil, fmt.Errorf("servers[%d].id: missing", i)
		case err != nil && n.State != decide.Gone:
			return nil, fmt.Errorf("servers[%d].addr: %w", i, err)
		case n.Zone < 0:
			return nil, fmt.Errorf("servers[%d].zone: got %q, want one of %v", i, e.Zone, zones)
		}
		if e.Weight != nil {
			n.Weight = *e.Weight
		}
		if e.Started > 0 {
			n.Started = time.UnixMicro(int64(e.Started * 1000))
		}
		l.Nodes = append(l.Nodes, n)
	}
	return l, nil
}

func index(words []string, w string) int {
	for i, x := range words {
		if x == w {
			return i
		}
	}
	return -1
}
