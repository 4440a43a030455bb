// Package reach decides at which of its addresses a node is reached: in which
// order they are tried, when the next one is tried beside the last, which one is
// preferred, and when one in doubt is tried again. It does no I/O and reads no
// clock: what dials and connections did goes in, with its time, and what to do
// comes out. The same inputs give the same answers.
//
// Attempts are staggered in the manner of Happy Eyeballs (RFC 8305): the next
// address is dialled when the last one has failed, or has taken longer than its
// own connects usually do. The cost of an operation grows with the addresses of
// one node, never with the number of nodes.
package reach

import (
	"slices"
	"time"

	"onyxsail/internal/address"
)

// Limits bound a Planner.
type Limits struct {
	// Delay between two dials of one race: the first for an address that never
	// connected, the others bound what is learned.
	DelayFirst, DelayLeast, DelayMost time.Duration
	// PerNode and All bound the dials that are out, at one node and over all.
	PerNode, All int
	// Fade is the half-life of evidence against an address.
	Fade time.Duration
	// TrialFirst is the pause before an address in doubt is tried again; it
	// doubles up to TrialMost. TrialEvery lies between two trials over all.
	TrialFirst, TrialMost, TrialEvery time.Duration
}

// Defaults are the limits of a broker with so many connections to nodes.
func Defaults(conns int) Limits {
	return Limits{
		DelayFirst: 25 * time.Millisecond, DelayLeast: 5 * time.Millisecond, DelayMost: 40 * time.Millisecond,
		PerNode: 3, All: max(3, conns/8), Fade: 10 * time.Second,
		TrialFirst: 500 * time.Millisecond, TrialMost: 30 * time.Second, TrialEvery: 50 * time.Millisecond,
	}
}

// Weights of evidence, and where doubt begins.
const (
	refusedWeight = 0.6 // an answer that nobody listens: one is enough for doubt
	timeoutWeight = 0.6
	silentWeight  = 0.55
	resetWeight   = 0.3 // a connection that broke: two close together
	doubtAt       = 0.5
	smooth        = 0.2 // weight of one connect in an address's usual time
	spread        = 4   // deviations over the mean until a connect is late (RFC 6298, section 2)
)

// Failure is why a dial came to nothing.
type Failure uint8

// The failures of a dial.
const (
	Refused  Failure = iota // nobody listens, or there is no way
	TimedOut                // it never came up
)

// Step is what a race wants next.
type Step struct {
	Dial   address.Address // if not zero: dial this, and ask again
	Wait   time.Duration   // if not zero: ask again then, or when a dial ends
	GiveUp bool            // no address is left to try
}

// Reason says why addresses stand in their order.
type Reason string

// The reasons, as `status` shows them.
const (
	LastGood  Reason = "last-good" // it answered last
	ProvenFor Reason = "proven"    // it has answered before
	Untried   Reason = "untried"
	InDoubt   Reason = "in-doubt"
)

// View is one address as the planner sees it.
type View struct {
	Addr    address.Address `json:"-"`
	Text    string          `json:"addr"`
	Why     Reason          `json:"why"`
	Against float64         `json:"against"` // evidence against it, 0 to 1
	Delay   time.Duration   `json:"delay"`   // until the next address is tried beside it
}

// Planner holds what is known of all nodes. It is not safe for concurrent use.
type Planner struct {
	limits  Limits
	nodes   map[string]*node
	out     int           // dials that are out
	trialAt time.Duration // when the next trial may go
}

type node struct {
	states []*state
	last   *state // answered last
	out    int
	answer time.Duration // when any address last answered
}

// state is one address of a node.
type state struct {
	addr      address.Address
	bad       float64 // evidence against it at badAt
	badAt     time.Duration
	connected bool
	answered  bool
	mean, dev time.Duration // of its connects
	trialAt   time.Duration
	trialGap  time.Duration
	gone      bool // no longer of the node
}

// New returns a planner that knows no node.
func New(l Limits) *Planner { return &Planner{limits: l, nodes: map[string]*node{}} }

// Set tells a node's addresses, in the order of preference that its list gives.
// What is known of those that stay is kept; races over one that went do not
// dial it any more. No address: the node is gone.
func (p *Planner) Set(id string, addrs []address.Address) {
	n := p.nodes[id]
	if n == nil {
		if len(addrs) == 0 {
			return
		}
		n = &node{}
		p.nodes[id] = n
	}
	old := n.states
	n.states = nil
	for _, a := range addrs {
		if n.find(a) != nil {
			continue
		}
		i := slices.IndexFunc(old, func(s *state) bool { return s.addr == a })
		if i >= 0 {
			n.states = append(n.states, old[i])
		} else {
			n.states = append(n.states, &state{addr: a})
		}
	}
	for _, s := range old {
		if s.gone = n.find(s.addr) == nil; s.gone && n.last == s {
			n.last = nil
		}
	}
	if len(addrs) == 0 {
		delete(p.nodes, id)
	}
}

func (n *node) find(a address.Address) *state {
	for _, s := range n.states {
		if s.addr == a {
			return s
		}
	}
	return nil
}

// against is the evidence against an address, faded.
func (p *Planner) against(s *state, now time.Duration) float64 {
	if s.bad == 0 {
		return 0
	}
	// Half-lives by halving: exact enough, and no floating power on this path.
	bad, age := s.bad, max(0, now-s.badAt)
	for ; age >= p.limits.Fade && bad > 1e-6; age -= p.limits.Fade {
		bad /= 2
	}
	return bad * (1 - 0.5*float64(min(age, p.limits.Fade))/float64(p.limits.Fade))
}

func (p *Planner) blame(s *state, now time.Duration, weight float64) {
	bad := p.against(s, now)
	before := bad > doubtAt
	s.bad, s.badAt = bad+weight*(1-bad), now
	if s.bad > doubtAt {
		if !before {
			s.trialGap = p.limits.TrialFirst
		} else {
			s.trialGap = min(2*max(s.trialGap, p.limits.TrialFirst), p.limits.TrialMost)
		}
		s.trialAt = now + s.trialGap
	}
}

// order gives a node's addresses as they are to be tried: those in doubt last,
// the one that answered last first, then a Unix socket that has proved good,
// then the families in turn, each in the list's order (RFC 8305, section 4).
func (p *Planner) order(n *node, now time.Duration) []*state {
	var good, doubt []*state
	for _, s := range n.states {
		if p.against(s, now) > doubtAt {
			doubt = append(doubt, s)
		} else {
			good = append(good, s)
		}
	}
	slices.SortStableFunc(doubt, func(a, b *state) int {
		switch x, y := p.against(a, now), p.against(b, now); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return append(interleave(good, n.last), doubt...)
}

func interleave(in []*state, last *state) []*state {
	var out []*state
	var families [4][]*state
	var turn []address.Family // in the order of their first address
	for _, s := range in {
		switch {
		case s == last:
			out = append([]*state{s}, out...)
		case s.addr.Family == address.Unix && s.answered:
			out = append(out, s)
		default:
			if families[s.addr.Family] == nil {
				turn = append(turn, s.addr.Family)
			}
			families[s.addr.Family] = append(families[s.addr.Family], s)
		}
	}
	for more := true; more; {
		more = false
		for _, f := range turn {
			if len(families[f]) > 0 {
				out, families[f], more = append(out, families[f][0]), families[f][1:], true
			}
		}
	}
	return out
}

// delay is how long a connect to an address is awaited alone.
func (p *Planner) delay(s *state) time.Duration {
	if !s.connected {
		return p.limits.DelayFirst
	}
	return min(max(s.mean+spread*s.dev, p.limits.DelayLeast), p.limits.DelayMost)
}

// Order is how a node's addresses stand, the preferred one first.
func (p *Planner) Order(id string, now time.Duration) []View {
	n := p.nodes[id]
	if n == nil {
		return nil
	}
	var views []View
	for _, s := range p.order(n, now) {
		v := View{Addr: s.addr, Text: s.addr.String(), Against: p.against(s, now), Delay: p.delay(s), Why: Untried}
		switch {
		case v.Against > doubtAt:
			v.Why = InDoubt
		case s == n.last:
			v.Why = LastGood
		case s.answered:
			v.Why = ProvenFor
		}
		views = append(views, v)
	}
	return views
}

// Race is the search for one connection to a node. It ends with Up, with Stop,
// or when it has given up and no dial is out; each dial that Next asked for
// ends exactly once, in Up, Failed or Dropped.
type Race struct {
	p     *Planner
	n     *node
	order []*state
	next  int
	out   []*state
	began time.Duration // of the last dial
	over  bool
}

// Begin starts a race; nil where the node has no address, or as many dials are
// out as may be.
func (p *Planner) Begin(id string, now time.Duration) *Race {
	n := p.nodes[id]
	if n == nil || p.out >= p.limits.All || n.out >= p.limits.PerNode {
		return nil
	}
	return &Race{p: p, n: n, order: p.order(n, now)}
}

// Next says what to do.
func (r *Race) Next(now time.Duration) Step {
	if r.over {
		return Step{GiveUp: true}
	}
	for r.next < len(r.order) && r.order[r.next].gone {
		r.next++
	}
	if r.next == len(r.order) {
		return Step{GiveUp: len(r.out) == 0}
	}
	if len(r.out) > 0 {
		due := r.began + r.p.delay(r.out[len(r.out)-1])
		if now < due {
			return Step{Wait: due}
		}
		if r.n.out >= r.p.limits.PerNode || r.p.out >= r.p.limits.All {
			return Step{} // a dial that ends makes room
		}
	} else if r.n.out >= r.p.limits.PerNode || r.p.out >= r.p.limits.All {
		return Step{GiveUp: true}
	}
	s := r.order[r.next]
	r.next++
	r.out = append(r.out, s)
	r.began = now
	r.n.out++
	r.p.out++
	if r.p.against(s, now) > doubtAt { // it counts as its trial
		s.trialAt = now + s.trialGap
	}
	return Step{Dial: s.addr}
}

// ended takes a dial off the books and returns its address's state, nil where
// no such dial is out.
func (r *Race) ended(a address.Address) *state {
	for i, s := range r.out {
		if s.addr == a {
			r.out = slices.Delete(r.out, i, i+1)
			r.n.out--
			r.p.out--
			return s
		}
	}
	return nil
}

// Up says that a dial came up, so long after it began, and ends the race: the
// dials that are still out are to be broken off, and Dropped told of each. use
// is false where the address is no longer the node's: the connection is to be
// closed, and the race goes on.
func (r *Race) Up(a address.Address, took, now time.Duration) (use bool) {
	s := r.ended(a)
	if s == nil {
		return false
	}
	if s.connected {
		s.dev += time.Duration(smooth * float64((took-s.mean).Abs()-s.dev))
		s.mean += time.Duration(smooth * float64(took-s.mean))
	} else {
		s.connected, s.mean, s.dev = true, took, took/2
	}
	if s.gone || r.over {
		return false
	}
	r.over = true
	return true
}

// Failed says that a dial came to nothing.
func (r *Race) Failed(a address.Address, f Failure, now time.Duration) {
	if s := r.ended(a); s != nil {
		weight := refusedWeight
		if f == TimedOut {
			weight = timeoutWeight
		}
		r.p.blame(s, now, weight)
	}
}

// Dropped says that a dial was broken off, which tells nothing of its address
// unless it had been outrun for long.
func (r *Race) Dropped(a address.Address, now time.Duration) {
	if s := r.ended(a); s != nil && now-r.began > 2*r.p.limits.DelayMost {
		r.p.blame(s, now, silentWeight)
	}
}

// Stop ends the race; Dropped is told of each dial that is out.
func (r *Race) Stop() { r.over = true }

// Out is the addresses whose dials are out.
func (r *Race) Out() []address.Address {
	var all []address.Address
	for _, s := range r.out {
		all = append(all, s.addr)
	}
	return all
}

func (p *Planner) state(id string, a address.Address) (*node, *state) {
	if n := p.nodes[id]; n != nil {
		return n, n.find(a)
	}
	return nil, nil
}

// Answered says that a node has answered over an address: that clears it, and
// makes it the preferred one. switched says that another one was before.
func (p *Planner) Answered(id string, a address.Address, now time.Duration) (switched bool) {
	n, s := p.state(id, a)
	if s == nil {
		return false
	}
	s.bad, s.answered, s.trialGap = 0, true, 0
	n.answer = now
	switched = n.last != nil && n.last != s
	n.last = s
	return switched
}

// Doubtful says whether an address is in doubt.
func (p *Planner) Doubtful(id string, a address.Address, now time.Duration) bool {
	_, s := p.state(id, a)
	return s != nil && p.against(s, now) > doubtAt
}

// Silent says that an address of a node keeps parts without a word. Where
// another address answers, that is evidence against this one, and the node is
// not to be blamed; where none does, the node itself is silent.
func (p *Planner) Silent(id string, a address.Address, since, now time.Duration) (node bool) {
	n, s := p.state(id, a)
	if s == nil {
		return true
	}
	p.blame(s, now, silentWeight)
	return len(n.states) == 1 || n.answer <= since
}

// Reset says that a connection over an address broke.
func (p *Planner) Reset(id string, a address.Address, now time.Duration) {
	if _, s := p.state(id, a); s != nil {
		p.blame(s, now, resetWeight)
	}
}

// Proved says that an address in doubt has stood its trial. The preferred one
// stays: work moves only when that fails.
func (p *Planner) Proved(id string, a address.Address, _ time.Duration) {
	if _, s := p.state(id, a); s != nil {
		s.bad, s.answered, s.trialGap = 0, true, 0
	}
}

// Trial starts a race for an address in doubt that is due to be tried beside
// the work, at a bounded rate over all; nil where none is. Only a node that can
// be reached otherwise has trials: else its races try all it has.
func (p *Planner) Trial(id string, now time.Duration) *Race {
	n := p.nodes[id]
	if n == nil || now < p.trialAt || n.last == nil || p.out >= p.limits.All || n.out >= p.limits.PerNode {
		return nil
	}
	for _, s := range n.states {
		if s != n.last && p.against(s, now) > doubtAt && now >= s.trialAt {
			s.trialAt = now + s.trialGap // a failure sets it anew, and longer
			p.trialAt = now + p.limits.TrialEvery
			return &Race{p: p, n: n, order: []*state{s}}
		}
	}
	return nil
}
