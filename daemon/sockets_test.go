package daemon

import (
	"fmt"
	"testing"

	"onyxsail/broker"
	"onyxsail/discovery"
)

// Guards against clients that are not read while others wait for nodes that hang: they may hold a
// third of the descriptors with requests, and a long list of nodes left them a quarter. All shares
// and the program's own sixteenth must fit into the descriptors.
func TestClientsKeepAThirdOfTheDescriptors(t *testing.T) {
	for _, sockets := range []int{128, 256, 384, 512, 1024} {
		for _, nodeCount := range []int{0, 10, 132, 200, 3200} {
			for _, flightCount := range []int{0, 5} {
				list := &discovery.List{}
				for i := range nodeCount {
					n := broker.Node{ID: fmt.Sprint(i), Addr: "127.0.0.1:1"}
					if i < flightCount {
						n.Addr = broker.FlightScheme + n.Addr
					}
					list.Nodes = append(list.Nodes, n)
				}
				limits := splitSockets(sockets, list)
				own := sockets / 16
				if limits.clients <= sockets/3 || limits.clients+limits.frameNodes+limits.flightNodes+own > sockets {
					t.Errorf("%d descriptors, %d nodes, %d of Flight: got %+v, want more than a third for clients, and %d left", sockets, nodeCount, flightCount, limits, own)
				}
				if flightCount > 0 && nodeCount > 0 && limits.flightNodes < sockets/8 {
					t.Errorf("%d descriptors, %d nodes, %d of Flight: got %+v, want an eighth for Flight nodes", sockets, nodeCount, flightCount, limits)
				}
			}
		}
	}
}
