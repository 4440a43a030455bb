// Package dial makes connections to nodes that have several addresses. It is
// what the two node clients share: package reach decides, this one has the
// sockets and the clock. A node with one address has no place here.
package dial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/internal/address"
	"onyxsail/internal/netio"
	"onyxsail/reach"
)

// switchEvery is how often one node's change of its preferred address is
// logged.
const switchEvery = 10 * time.Second

// Paths are the ways to all nodes of several addresses. Its methods may be
// called from any goroutine and, Dial apart, do not block.
type Paths struct {
	dialer  *netio.Dialer
	timeout time.Duration
	log     zerolog.Logger
	start   time.Time
	ctx     context.Context
	end     context.CancelFunc

	mu      sync.Mutex
	planner *reach.Planner
	nodes   map[string]*node
}

type node struct {
	addrs    map[string]address.Address // by their text
	told     time.Time                  // when a switch was logged last
	switches int                        // not logged since
}

// New returns paths to no node. timeout is that of a connection, over all its
// addresses; conns is how many connections there may be in all.
func New(d *netio.Dialer, timeout time.Duration, conns int, log zerolog.Logger) *Paths {
	p := &Paths{dialer: d, timeout: timeout, log: log, start: time.Now(), planner: reach.New(reach.DefaultLimits(conns)), nodes: map[string]*node{}}
	p.ctx, p.end = context.WithCancel(context.Background())
	return p
}

// Close breaks off all dials; each Dial returns.
func (p *Paths) Close() { p.end() }

func (p *Paths) at(t time.Time) time.Duration { return t.Sub(p.start) }

// Set tells a node's addresses, and says whether it has several. With fewer it
// is forgotten: it is dialled here no more.
func (p *Paths) Set(id string, texts []string) (several bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.nodes[id]
	if len(texts) < 2 {
		if n != nil {
			p.planner.SetAddresses(id, nil)
			delete(p.nodes, id)
		}
		return false
	}
	if n == nil {
		n = &node{}
		p.nodes[id] = n
	}
	n.addrs = make(map[string]address.Address, len(texts))
	var all []address.Address
	for _, text := range texts {
		a, err := address.Parse(text)
		if err != nil { // the list's reader has checked them
			p.log.Error().Str("event", "address").Str("node", id).Err(err).Msg("an address cannot be used")
			continue
		}
		n.addrs[text] = a
		all = append(all, a)
	}
	p.planner.SetAddresses(id, all)
	return true
}

// Has says whether an address is one of a node's.
func (p *Paths) Has(id, text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.find(id, text)
	return ok
}

// Count is how many addresses a node has.
func (p *Paths) Count(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.nodes[id]; n != nil {
		return len(n.addrs)
	}
	return 0
}

func (p *Paths) find(id, text string) (a address.Address, ok bool) {
	if n := p.nodes[id]; n != nil {
		a, ok = n.addrs[text]
	}
	return a, ok
}

// Doubtful says whether an address is in doubt.
func (p *Paths) Doubtful(id, text string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.find(id, text)
	return ok && p.planner.Suspected(id, a, p.at(now))
}

// Answered says that a node spoke over an address.
func (p *Paths) Answered(id, text string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.find(id, text)
	if !ok || !p.planner.Answered(id, a, p.at(now)) {
		return
	}
	n := p.nodes[id]
	if n.switches++; now.Sub(n.told) >= switchEvery {
		p.log.Info().Str("event", "address-switch").Str("node", id).Str("addr", text).Int("times", n.switches).
			Msg("another address of a node is preferred now")
		n.told, n.switches = now, 0
	}
}

// Silent says that an address keeps parts without a word.
func (p *Paths) Silent(id, text string, since, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a, ok := p.find(id, text); ok {
		p.planner.Unresponsive(id, a, p.at(since), p.at(now))
	}
}

// Reset says that a connection over an address broke.
func (p *Paths) Reset(id, text string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a, ok := p.find(id, text); ok {
		p.planner.ConnectionBroken(id, a, p.at(now))
	}
}

// Views are the addresses of all nodes here, the preferred one first.
func (p *Paths) Views() map[string][]reach.AddressStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string][]reach.AddressStatus, len(p.nodes))
	for id := range p.nodes {
		all[id] = p.planner.AddressStatuses(id, p.at(time.Now()))
	}
	return all
}

// ended is what one dial of a race came to.
type ended struct {
	addr address.Address
	conn net.Conn
	err  error
	took time.Duration
}

// Dial makes a connection to a node: it dials the addresses as the planner says,
// takes the first that comes up, and breaks the others off. When it returns all
// its dials have ended. text is the address that it leads to.
func (p *Paths) Dial(ctx context.Context, id string) (conn net.Conn, text string, err error) {
	p.mu.Lock()
	r := p.planner.BeginRace(id, p.at(time.Now()))
	p.mu.Unlock()
	if r == nil {
		return nil, "", errors.New("dialling a node: it has no address, or too many dials are out")
	}
	return p.Run(ctx, r)
}

// Trial names an address in doubt that is due to be tried beside the work, as a
// race that Run must end; nil where none is.
func (p *Paths) Trial(id string) *reach.Race {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planner.BeginProbation(id, p.at(time.Now()))
}

// Proved says that an address has stood its trial.
func (p *Paths) Proved(id, text string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a, ok := p.find(id, text); ok {
		p.planner.ProbationPassed(id, a, p.at(now))
	}
}

// Run runs a race to its end, as Dial does.
func (p *Paths) Run(ctx context.Context, r *reach.Race) (conn net.Conn, text string, err error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	results := make(chan ended) // each dial is waited for
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for out := 0; ; {
		p.mu.Lock()
		now := p.at(time.Now())
		if ctx.Err() != nil {
			r.Stop()
		}
		s := r.Next(now)
		p.mu.Unlock()
		if s.Dial != (address.Address{}) {
			out++
			go func() {
				start := time.Now()
				c, err := p.dialer.Dial(ctx, s.Dial.Network(), s.Dial.Target)
				results <- ended{s.Dial, c, err, time.Since(start)}
			}()
			continue
		}
		if out == 0 {
			break
		}
		timer.Reset(time.Hour)
		if s.WakeAt > 0 {
			timer.Reset(max(0, s.WakeAt-now))
		}
		select {
		case <-timer.C:
		case e := <-results:
			out--
			switch {
			case p.book(r, e):
				conn, text = e.conn, e.addr.String()
				cancel() // the others
			case e.err != nil:
				err = e.err
			}
		}
	}
	if conn != nil {
		return conn, text, nil
	}
	if err == nil {
		err = errors.New("no address was left")
	}
	return nil, "", fmt.Errorf("dialling a node at its addresses: %w", err)
}

// book takes the end of a dial in, and says whether its connection is the one.
func (p *Paths) book(r *reach.Race, e ended) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.at(time.Now())
	switch {
	case e.err == nil:
		if r.Connected(e.addr, e.took, now) {
			return true
		}
		_ = e.conn.Close()
	case errors.Is(e.err, context.Canceled), netio.IsResourceExhausted(e.err):
		r.DialCancelled(e.addr, now)
	case errors.Is(e.err, context.DeadlineExceeded), errors.Is(e.err, os.ErrDeadlineExceeded), errors.Is(e.err, syscall.ETIMEDOUT):
		r.DialFailed(e.addr, reach.DialTimedOut, now)
	default:
		r.DialFailed(e.addr, reach.DialRefused, now)
	}
	return false
}
