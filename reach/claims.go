package reach

import "onyxsail/internal/address"

// Listing is a node with the addresses that its list gives it.
type Listing struct {
	ID    string
	Addrs []address.Address
}

// Claims settles which node an address belongs to where two listed ones name
// it: the newer claim, as a process that takes over a port or a path is listed
// after the one it took it from. It does no I/O.
type Claims struct {
	since map[claim]uint64 // the turn in which a listed node began to name an address
	turn  uint64
}

type claim struct {
	id   string
	addr address.Address
}

// NewClaims returns claims on nothing.
func NewClaims() *Claims { return &Claims{since: map[claim]uint64{}} }

// Lost is an address that a node names and does not get.
type Lost struct {
	ID, To string
	Addr   address.Address
}

// Update takes all nodes as they are listed now, the addresses of each in its
// order, and gives those that belong to each. Of two nodes that begin to name
// an address in one turn the later in the list has it. A node that is no longer
// listed, or no longer names an address, loses its claim, and a later one of its
// counts as new.
func (c *Claims) Update(all []Listing) (granted []Listing, lost []Lost) {
	c.turn++
	since := make(map[claim]uint64, len(c.since))
	holder := map[address.Address]claim{}
	for _, l := range all {
		for _, a := range l.Addrs {
			own := claim{l.ID, a}
			at, had := c.since[own]
			if !had {
				at = c.turn
			}
			since[own] = at
			if other, taken := holder[a]; !taken || at >= since[other] {
				holder[a] = own
			}
		}
	}
	c.since = since
	for _, l := range all {
		own := Listing{ID: l.ID}
		for _, a := range l.Addrs {
			if to := holder[a].id; to == l.ID {
				own.Addrs = append(own.Addrs, a)
			} else {
				lost = append(lost, Lost{l.ID, to, a})
			}
		}
		granted = append(granted, own)
	}
	return granted, lost
}
