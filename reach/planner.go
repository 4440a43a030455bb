// Package reach selects the address at which a node is contacted: in which order its addresses
// are dialed, when the next one is dialed in parallel, which one is preferred, and when a
// suspected one is tried again. It does no I/O and reads no clock: the results of dials and
// connections are passed in with their times, and the next step is returned. Times are given
// as durations since a moment that the caller chooses once. The package is deterministic.
//
// Dials are staggered as in Happy Eyeballs (RFC 8305): the next address is dialed when the
// previous one has failed or has taken longer than its connects usually do. The cost of an
// operation grows with the number of addresses of one node, not with the number of nodes.
package reach

import (
	"slices"
	"time"

	"onyxsail/internal/address"
)

// Limits configures a Planner.
type Limits struct {
	// InitialDelay is how long a race waits for a connect to an address that has never
	// connected before it dials the next one in parallel. MinDelay and MaxDelay bound the
	// same wait for other addresses, which is derived from their measured connect times.
	InitialDelay, MinDelay, MaxDelay time.Duration
	// MaxDialsPerNode and MaxDials bound the dials in progress, per node and in total.
	MaxDialsPerNode, MaxDials int
	// SuspicionHalfLife is the time in which an address's suspicion level halves.
	SuspicionHalfLife time.Duration
	// InitialProbationBackoff is how long after the failure that made it suspected an address
	// is tried again. The time doubles with each failure while it is suspected, up to
	// MaxProbationBackoff.
	// ProbationInterval is the minimum time between two probation dials to any nodes.
	InitialProbationBackoff, MaxProbationBackoff, ProbationInterval time.Duration
}

// DefaultLimits returns the limits for a broker with the given number of connections to
// nodes.
func DefaultLimits(conns int) Limits {
	return Limits{
		InitialDelay: 25 * time.Millisecond, MinDelay: 5 * time.Millisecond, MaxDelay: 40 * time.Millisecond,
		MaxDialsPerNode: 3, MaxDials: max(3, conns/8), SuspicionHalfLife: 10 * time.Second,
		InitialProbationBackoff: 500 * time.Millisecond, MaxProbationBackoff: 30 * time.Second, ProbationInterval: 50 * time.Millisecond,
	}
}

// The weights of failures, the threshold of suspicion, and the parameters of the connect time
// estimate. A failure raises the suspicion level of an address, from 0 to 1, by its weight times
// the distance to 1; an address whose level exceeds the threshold is suspected.
const (
	dialRefusedWeight  = 0.6 // connection refused: a single one exceeds the threshold
	dialTimeoutWeight  = 0.6
	unresponsiveWeight = 0.55 // parts get no answer, or a dial takes long and is cancelled
	connBrokenWeight   = 0.3  // a connection broke: two within a short time exceed the threshold
	suspicionThreshold = 0.5
	smoothingFactor    = 0.2 // weight of the latest connect in the moving averages
	deviationFactor    = 4   // a connect is late after the mean plus this many deviations (RFC 6298, section 2)
)

// DialFailure is why a dial failed.
type DialFailure uint8

// The failures of a dial.
const (
	DialRefused  DialFailure = iota // nothing listens, or there is no route
	DialTimedOut                    // not established in time
)

// RaceStep is what the caller of a race must do next. The zero value means: call Next again
// when a dial ends.
type RaceStep struct {
	Dial   address.Address // if not zero: dial this address and call Next again
	WakeAt time.Duration   // if not zero: call Next again at this time or when a dial ends
	GiveUp bool            // the race has ended, or nothing can be dialed and no dial is in progress
}

// OrderReason is why an address has its place in the order.
type OrderReason string

// The reasons for an address's place, as shown by `status`.
const (
	LastGood  OrderReason = "last-good" // the node last answered at it
	Proven    OrderReason = "proven"    // the node has answered at it before
	Untried   OrderReason = "untried"   // the node has never answered at it
	Suspected OrderReason = "in-doubt"  // its suspicion level exceeds the threshold
)

// AddressStatus is the planner's state of one address.
type AddressStatus struct {
	Addr      address.Address `json:"-"`
	Text      string          `json:"addr"`
	Reason    OrderReason     `json:"why"`
	Suspicion float64         `json:"against"` // suspicion level, 0 to 1
	Delay     time.Duration   `json:"delay"`   // until the next address is dialed in parallel; nanoseconds in JSON
}

// Planner holds the state of all nodes and their addresses. It is not safe for concurrent use.
type Planner struct {
	limits          Limits
	nodes           map[string]*node
	dialsOut        int           // dials in progress
	nextProbationAt time.Duration // earliest time of the next probation dial
}

// node is a node with its addresses, in the order of the list.
type node struct {
	addrs        []*addrState
	lastGood     *addrState // address at which the node last answered
	dialsOut     int
	lastAnswerAt time.Duration // when the node last answered at any address
}

// addrState is the state of one address of a node.
type addrState struct {
	addr                    address.Address
	suspicion               float64 // suspicion level at suspicionAt
	suspicionAt             time.Duration
	connected               bool          // a connect has succeeded
	answered                bool          // the node has answered at it
	connectMean, connectDev time.Duration // moving averages of its connect times and of their deviation
	probationAt             time.Duration // earliest time of its next probation dial
	probationBackoff        time.Duration // 0: not suspected since it last worked
	removed                 bool          // the node no longer has this address
}

// New returns a planner without nodes.
func New(limits Limits) *Planner { return &Planner{limits: limits, nodes: map[string]*node{}} }

// SetAddresses sets a node's addresses, in the list's order of preference. The state of
// remaining addresses is kept, and running races no longer dial removed ones. Repeated
// addresses count once. Without addresses, the node is removed.
func (p *Planner) SetAddresses(id string, addrs []address.Address) {
	n := p.nodes[id]
	if n == nil {
		if len(addrs) == 0 {
			return
		}
		n = &node{}
		p.nodes[id] = n
	}
	previous := n.addrs
	n.addrs = nil
	for _, a := range addrs {
		if n.find(a) != nil {
			continue
		}
		i := slices.IndexFunc(previous, func(s *addrState) bool { return s.addr == a })
		if i >= 0 {
			n.addrs = append(n.addrs, previous[i])
		} else {
			n.addrs = append(n.addrs, &addrState{addr: a})
		}
	}
	for _, s := range previous {
		if s.removed = n.find(s.addr) == nil; s.removed && n.lastGood == s {
			n.lastGood = nil
		}
	}
	if len(addrs) == 0 {
		delete(p.nodes, id)
	}
}

// find returns the state of one of the node's addresses, or nil if the node does not have it.
func (n *node) find(a address.Address) *addrState {
	for _, s := range n.addrs {
		if s.addr == a {
			return s
		}
	}
	return nil
}

// suspicion returns the suspicion level of an address, decayed to now.
func (p *Planner) suspicion(s *addrState, now time.Duration) float64 {
	if s.suspicion == 0 {
		return 0
	}
	// Halves once per half-life and interpolates linearly: accurate enough, and avoids
	// math.Pow on this path.
	suspicion, age := s.suspicion, max(0, now-s.suspicionAt)
	for ; age >= p.limits.SuspicionHalfLife && suspicion > 1e-6; age -= p.limits.SuspicionHalfLife {
		suspicion /= 2
	}
	return suspicion * (1 - 0.5*float64(min(age, p.limits.SuspicionHalfLife))/float64(p.limits.SuspicionHalfLife))
}

// addSuspicion raises the suspicion level of an address after a failure. If that exceeds the
// threshold, it schedules the next probation dial.
func (p *Planner) addSuspicion(s *addrState, now time.Duration, weight float64) {
	suspicion := p.suspicion(s, now)
	wasSuspected := suspicion > suspicionThreshold
	s.suspicion, s.suspicionAt = suspicion+weight*(1-suspicion), now
	if s.suspicion > suspicionThreshold {
		if !wasSuspected {
			s.probationBackoff = p.limits.InitialProbationBackoff
		} else {
			s.probationBackoff = min(2*max(s.probationBackoff, p.limits.InitialProbationBackoff), p.limits.MaxProbationBackoff)
		}
		s.probationAt = now + s.probationBackoff
	}
}

// rank returns a node's addresses in the order in which they are dialed: first the one at which
// the node last answered, then Unix sockets at which it has answered before, then the address
// families alternately, each in the list's order (RFC 8305, section 4), and last the suspected
// ones, the least suspected first.
func (p *Planner) rank(n *node, now time.Duration) []*addrState {
	var good, suspected []*addrState
	for _, s := range n.addrs {
		if p.suspicion(s, now) > suspicionThreshold {
			suspected = append(suspected, s)
		} else {
			good = append(good, s)
		}
	}
	slices.SortStableFunc(suspected, func(a, b *addrState) int {
		switch x, y := p.suspicion(a, now), p.suspicion(b, now); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return append(interleave(good, n.lastGood), suspected...)
}

// interleave returns the addresses that are not suspected in the order that rank describes.
func interleave(addrs []*addrState, lastGood *addrState) []*addrState {
	var ranked []*addrState
	var families [4][]*addrState
	var familyOrder []address.Family // by first occurrence
	for _, s := range addrs {
		switch {
		case s == lastGood:
			ranked = append([]*addrState{s}, ranked...)
		case s.addr.Family == address.Unix && s.answered:
			ranked = append(ranked, s)
		default:
			if families[s.addr.Family] == nil {
				familyOrder = append(familyOrder, s.addr.Family)
			}
			families[s.addr.Family] = append(families[s.addr.Family], s)
		}
	}
	for more := true; more; {
		more = false
		for _, f := range familyOrder {
			if len(families[f]) > 0 {
				ranked, families[f], more = append(ranked, families[f][0]), families[f][1:], true
			}
		}
	}
	return ranked
}

// attemptDelay returns how long to wait for a connect to an address before the next address
// is dialed in parallel.
func (p *Planner) attemptDelay(s *addrState) time.Duration {
	if !s.connected {
		return p.limits.InitialDelay
	}
	return min(max(s.connectMean+deviationFactor*s.connectDev, p.limits.MinDelay), p.limits.MaxDelay)
}

// AddressStatuses returns the status of a node's addresses in the order in which they are
// dialed, or nil if the node is not known.
func (p *Planner) AddressStatuses(id string, now time.Duration) []AddressStatus {
	n := p.nodes[id]
	if n == nil {
		return nil
	}
	var statuses []AddressStatus
	for _, s := range p.rank(n, now) {
		status := AddressStatus{
			Addr: s.addr, Text: s.addr.String(), Suspicion: p.suspicion(s, now), Delay: p.attemptDelay(s), Reason: Untried,
		}
		switch {
		case status.Suspicion > suspicionThreshold:
			status.Reason = Suspected
		case s == n.lastGood:
			status.Reason = LastGood
		case s.answered:
			status.Reason = Proven
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// Race establishes one connection to a node by dialing its addresses. It ends with Connected,
// with Stop, or when it has given up and no dial is in progress. Each dial requested by Next
// must be ended exactly once, by Connected, DialFailed or DialCancelled.
type Race struct {
	planner       *Planner
	node          *node
	candidates    []*addrState
	nextCandidate int
	dialing       []*addrState
	lastDialAt    time.Duration // when the last dial began
	done          bool
}

// BeginRace starts a race. It returns nil if the node has no address or the limit of dials in
// progress is reached.
func (p *Planner) BeginRace(id string, now time.Duration) *Race {
	n := p.nodes[id]
	if n == nil || p.dialsOut >= p.limits.MaxDials || n.dialsOut >= p.limits.MaxDialsPerNode {
		return nil
	}
	return &Race{planner: p, node: n, candidates: p.rank(n, now)}
}

// Next returns the race's next step. If a limit of dials keeps it from dialing, it waits for
// one of its own dials to end, and gives up if it has none.
func (r *Race) Next(now time.Duration) RaceStep {
	if r.done {
		return RaceStep{GiveUp: true}
	}
	for r.nextCandidate < len(r.candidates) && r.candidates[r.nextCandidate].removed {
		r.nextCandidate++
	}
	if r.nextCandidate == len(r.candidates) {
		return RaceStep{GiveUp: len(r.dialing) == 0}
	}
	if len(r.dialing) > 0 {
		due := r.lastDialAt + r.planner.attemptDelay(r.dialing[len(r.dialing)-1])
		if now < due {
			return RaceStep{WakeAt: due}
		}
		if r.node.dialsOut >= r.planner.limits.MaxDialsPerNode || r.planner.dialsOut >= r.planner.limits.MaxDials {
			return RaceStep{} // wait until a dial ends
		}
	} else if r.node.dialsOut >= r.planner.limits.MaxDialsPerNode || r.planner.dialsOut >= r.planner.limits.MaxDials {
		return RaceStep{GiveUp: true}
	}
	s := r.candidates[r.nextCandidate]
	r.nextCandidate++
	r.dialing = append(r.dialing, s)
	r.lastDialAt = now
	r.node.dialsOut++
	r.planner.dialsOut++
	if r.planner.suspicion(s, now) > suspicionThreshold { // counts as its probation dial
		s.probationAt = now + s.probationBackoff
	}
	return RaceStep{Dial: s.addr}
}

// removeDial removes a dial from those in progress and returns the state of its address, or
// nil if there is no such dial.
func (r *Race) removeDial(a address.Address) *addrState {
	for i, s := range r.dialing {
		if s.addr == a {
			r.dialing = slices.Delete(r.dialing, i, i+1)
			r.node.dialsOut--
			r.planner.dialsOut--
			return s
		}
	}
	return nil
}

// Connected reports that a dial succeeded after took. If use is true, the race has ended: the
// caller uses the connection, cancels the other dials and calls DialCancelled for each. If use
// is false, the caller must close the connection: either the race had ended before, or the node
// no longer has the address and the race goes on.
func (r *Race) Connected(a address.Address, took, now time.Duration) (use bool) {
	s := r.removeDial(a)
	if s == nil {
		return false
	}
	if s.connected {
		s.connectDev += time.Duration(smoothingFactor * float64((took-s.connectMean).Abs()-s.connectDev))
		s.connectMean += time.Duration(smoothingFactor * float64(took-s.connectMean))
	} else {
		s.connected, s.connectMean, s.connectDev = true, took, took/2
	}
	if s.removed || r.done {
		return false
	}
	r.done = true
	return true
}

// DialFailed reports that a dial failed.
func (r *Race) DialFailed(a address.Address, failure DialFailure, now time.Duration) {
	if s := r.removeDial(a); s != nil {
		weight := dialRefusedWeight
		if failure == DialTimedOut {
			weight = dialTimeoutWeight
		}
		r.planner.addSuspicion(s, now, weight)
	}
}

// DialCancelled reports that a dial was cancelled. This counts against its address only if the
// last dial of the race began more than twice MaxDelay ago: until then another address may
// merely have been faster.
func (r *Race) DialCancelled(a address.Address, now time.Duration) {
	if s := r.removeDial(a); s != nil && now-r.lastDialAt > 2*r.planner.limits.MaxDelay {
		r.planner.addSuspicion(s, now, unresponsiveWeight)
	}
}

// Stop ends the race. The caller must call DialCancelled for each dial in progress.
func (r *Race) Stop() { r.done = true }

// Dialing returns the addresses whose dials are in progress.
func (r *Race) Dialing() []address.Address {
	var addrs []address.Address
	for _, s := range r.dialing {
		addrs = append(addrs, s.addr)
	}
	return addrs
}

// lookup returns a node and the state of one of its addresses. Either is nil if it is not
// known.
func (p *Planner) lookup(id string, a address.Address) (*node, *addrState) {
	if n := p.nodes[id]; n != nil {
		return n, n.find(a)
	}
	return nil, nil
}

// Answered reports that a node has answered at an address. This clears the address's
// suspicion and makes it the preferred one. switched is true if another one was preferred
// before. An address that is not known is ignored.
func (p *Planner) Answered(id string, a address.Address, now time.Duration) (switched bool) {
	n, s := p.lookup(id, a)
	if s == nil {
		return false
	}
	s.suspicion, s.answered, s.probationBackoff = 0, true, 0
	n.lastAnswerAt = now
	switched = n.lastGood != nil && n.lastGood != s
	n.lastGood = s
	return switched
}

// Suspected reports whether an address is suspected. One that is not known is not.
func (p *Planner) Suspected(id string, a address.Address, now time.Duration) bool {
	_, s := p.lookup(id, a)
	return s != nil && p.suspicion(s, now) > suspicionThreshold
}

// Unresponsive reports that a node owes an answer at an address and has given none there since
// unansweredSince. It raises the address's suspicion. blameNode is false if the node has
// several addresses and has answered later than unansweredSince at any of them, as then the
// address is at fault. Otherwise, and if the address is not known, the node itself counts as
// unresponsive.
func (p *Planner) Unresponsive(id string, a address.Address, unansweredSince, now time.Duration) (blameNode bool) {
	n, s := p.lookup(id, a)
	if s == nil {
		return true
	}
	p.addSuspicion(s, now, unresponsiveWeight)
	return len(n.addrs) == 1 || n.lastAnswerAt <= unansweredSince
}

// ConnectionBroken reports that a connection to an address broke.
func (p *Planner) ConnectionBroken(id string, a address.Address, now time.Duration) {
	if _, s := p.lookup(id, a); s != nil {
		p.addSuspicion(s, now, connBrokenWeight)
	}
}

// ProbationPassed reports that a suspected address has worked again on probation. The
// preferred address does not change: traffic moves only when that one fails.
func (p *Planner) ProbationPassed(id string, a address.Address, _ time.Duration) {
	if _, s := p.lookup(id, a); s != nil {
		s.suspicion, s.answered, s.probationBackoff = 0, true, 0
	}
}

// BeginProbation starts a race that dials only a suspected address whose probation dial is due,
// beside the regular traffic and at a limited rate over all nodes. It returns nil if none is
// due or the limit of dials in progress is reached. Only nodes that have answered at another
// address have probation dials, as the races of the others dial all addresses anyway.
func (p *Planner) BeginProbation(id string, now time.Duration) *Race {
	n := p.nodes[id]
	if n == nil || now < p.nextProbationAt || n.lastGood == nil || p.dialsOut >= p.limits.MaxDials || n.dialsOut >= p.limits.MaxDialsPerNode {
		return nil
	}
	for _, s := range n.addrs {
		if s != n.lastGood && p.suspicion(s, now) > suspicionThreshold && now >= s.probationAt {
			s.probationAt = now + s.probationBackoff // a failure postpones it further
			p.nextProbationAt = now + p.limits.ProbationInterval
			return &Race{planner: p, node: n, candidates: []*addrState{s}}
		}
	}
	return nil
}
