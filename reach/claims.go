package reach

import "onyxsail/internal/address"

// NodeAddresses is a listed node with its addresses, in the order of the list.
type NodeAddresses struct {
	ID    string
	Addrs []address.Address
}

// Claims resolves which node owns an address that several listed nodes name. The newest claim
// wins, as a process that takes over a port or socket path is listed after the process that
// it took it from. It does no I/O.
type Claims struct {
	claimedAt  map[claim]uint64 // generation of the update in which a node began to name an address
	generation uint64           // number of updates so far
}

// claim is the claim of a node to an address.
type claim struct {
	nodeID string
	addr   address.Address
}

// NewClaims returns an empty set of claims.
func NewClaims() *Claims { return &Claims{claimedAt: map[claim]uint64{}} }

// LostClaim is an address that a node names but that is granted to another node.
type LostClaim struct {
	NodeID, WinnerID string
	Addr             address.Address
}

// Update takes all nodes as they are listed now and returns the addresses granted to each,
// in the node's order, and the claims that lost. A node without any granted address is
// returned as well. If two nodes begin to name an address in the same update, the later one in
// the list wins. A node that is no longer listed, or no longer names an address, loses its
// claim; if it names the address again, that is a new claim.
func (c *Claims) Update(nodes []NodeAddresses) (granted []NodeAddresses, lost []LostClaim) {
	c.generation++
	claimedAt := make(map[claim]uint64, len(c.claimedAt))
	winners := map[address.Address]claim{}
	for _, node := range nodes {
		for _, a := range node.Addrs {
			own := claim{node.ID, a}
			claimedIn, had := c.claimedAt[own]
			if !had {
				claimedIn = c.generation
			}
			claimedAt[own] = claimedIn
			if rival, taken := winners[a]; !taken || claimedIn >= claimedAt[rival] {
				winners[a] = own
			}
		}
	}
	c.claimedAt = claimedAt
	for _, node := range nodes {
		own := NodeAddresses{ID: node.ID}
		for _, a := range node.Addrs {
			if winnerID := winners[a].nodeID; winnerID == node.ID {
				own.Addrs = append(own.Addrs, a)
			} else {
				lost = append(lost, LostClaim{node.ID, winnerID, a})
			}
		}
		granted = append(granted, own)
	}
	return granted, lost
}
