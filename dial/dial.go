// Package dial connects to nodes that have several addresses, on behalf of the node clients
// (packages nodeclient and flightnode). Package reach decides which addresses are dialed and
// when; this package has the sockets and the clock. Nodes with a single address are not
// handled here.
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

// switchLogInterval is the minimum interval between two log lines about a change of one
// node's preferred address.
const switchLogInterval = 10 * time.Second

// Dialer connects to the nodes that have several addresses. Its methods may be called from
// any goroutine and, except for Dial and RunRace, do not block. The texts of addresses that
// they take and return are in the form of address.Address.String.
type Dialer struct {
	dialer  *netio.Dialer
	timeout time.Duration
	log     zerolog.Logger
	start   time.Time       // origin of the times given to planner
	ctx     context.Context // parent of all dials; Close cancels it
	cancel  context.CancelFunc

	mu      sync.Mutex
	planner *reach.Planner
	nodes   map[string]*node
}

// node is one node with several addresses.
type node struct {
	addrs            map[string]address.Address // by address text
	switchLoggedAt   time.Time                  // time of the latest log line about a change of the preferred address
	unloggedSwitches int                        // changes since then that were not logged
}

// New returns a dialer without nodes. timeout bounds connecting to a node, over all its
// addresses; maxConns is the limit on connections to all nodes together.
func New(netDialer *netio.Dialer, timeout time.Duration, maxConns int, log zerolog.Logger) *Dialer {
	d := &Dialer{dialer: netDialer, timeout: timeout, log: log, start: time.Now(), planner: reach.New(reach.DefaultLimits(maxConns)), nodes: map[string]*node{}}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Close cancels all dials; each Dial and RunRace then returns.
func (d *Dialer) Close() { d.cancel() }

// sinceStart converts a time to the planner's clock.
func (d *Dialer) sinceStart(t time.Time) time.Duration { return t.Sub(d.start) }

// SetAddrs sets a node's addresses in the order of the list, and reports whether there are
// several, including unusable ones, which are logged and left out. With fewer than two the
// node is removed and no longer dialed here.
func (d *Dialer) SetAddrs(id string, texts []string) (several bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.nodes[id]
	if len(texts) < 2 {
		if n != nil {
			d.planner.SetAddresses(id, nil)
			delete(d.nodes, id)
		}
		return false
	}
	if n == nil {
		n = &node{}
		d.nodes[id] = n
	}
	n.addrs = make(map[string]address.Address, len(texts))
	var all []address.Address
	for _, text := range texts {
		a, err := address.Parse(text)
		if err != nil { // unexpected, as package discovery has checked them
			d.log.Error().Str("event", "address").Str("node", id).Err(err).Msg("ignoring an unusable address of a node")
			continue
		}
		n.addrs[text] = a
		all = append(all, a)
	}
	d.planner.SetAddresses(id, all)
	return true
}

// HasAddr reports whether the text is one of the node's addresses; false for a node that is
// not known here.
func (d *Dialer) HasAddr(id, text string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.findAddr(id, text)
	return ok
}

// AddrCount returns the number of a node's addresses, 0 for a node that is not known here.
func (d *Dialer) AddrCount(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.nodes[id]; n != nil {
		return len(n.addrs)
	}
	return 0
}

// findAddr looks up one of a node's addresses by its text; d.mu is held.
func (d *Dialer) findAddr(id, text string) (a address.Address, ok bool) {
	if n := d.nodes[id]; n != nil {
		a, ok = n.addrs[text]
	}
	return a, ok
}

// Suspected reports whether an address of a node is suspected, that is, whether its failures
// have raised its suspicion level above the planner's threshold.
func (d *Dialer) Suspected(id, text string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.findAddr(id, text)
	return ok && d.planner.Suspected(id, a, d.sinceStart(now))
}

// ReportAnswer records that a node answered at an address, which clears its suspicion and
// makes it the preferred one.
func (d *Dialer) ReportAnswer(id, text string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.findAddr(id, text)
	if !ok || !d.planner.Answered(id, a, d.sinceStart(now)) {
		return
	}
	n := d.nodes[id]
	if n.unloggedSwitches++; now.Sub(n.switchLoggedAt) >= switchLogInterval {
		d.log.Info().Str("event", "address-switch").Str("node", id).Str("addr", text).Int("times", n.unloggedSwitches).
			Msg("preferred address of a node changed")
		n.switchLoggedAt, n.unloggedSwitches = now, 0
	}
}

// ReportSilence records that attempts sent to an address have had no answer since the given
// time.
func (d *Dialer) ReportSilence(id, text string, since, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a, ok := d.findAddr(id, text); ok {
		d.planner.Unresponsive(id, a, d.sinceStart(since), d.sinceStart(now))
	}
}

// ReportConnectionBroken records that a connection to an address broke.
func (d *Dialer) ReportConnectionBroken(id, text string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a, ok := d.findAddr(id, text); ok {
		d.planner.ConnectionBroken(id, a, d.sinceStart(now))
	}
}

// AddressStatuses returns the state of the addresses of each node known here, the preferred
// one first.
func (d *Dialer) AddressStatuses() map[string][]reach.AddressStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	statuses := make(map[string][]reach.AddressStatus, len(d.nodes))
	for id := range d.nodes {
		statuses[id] = d.planner.AddressStatuses(id, d.sinceStart(time.Now()))
	}
	return statuses
}

// dialResult is the result of one dial of a race.
type dialResult struct {
	addr    address.Address
	conn    net.Conn
	err     error
	elapsed time.Duration
}

// Dial connects to a node: it dials the addresses as the planner decides, takes the first
// connection that is established, and cancels the other dials. All dials have ended when it
// returns. text is the address that was reached. Dial fails at once if the node is not known
// here or too many dials are in progress.
func (d *Dialer) Dial(ctx context.Context, id string) (conn net.Conn, text string, err error) {
	d.mu.Lock()
	race := d.planner.BeginRace(id, d.sinceStart(time.Now()))
	d.mu.Unlock()
	if race == nil {
		return nil, "", errors.New("dialing a node: it has no address, or too many dials are in progress")
	}
	return d.RunRace(ctx, race)
}

// StartProbation returns a race that dials one suspected address, which is due to be tested
// while the node is reached at another one; nil if none is due. The caller must pass it to
// RunRace.
func (d *Dialer) StartProbation(id string) *reach.Race {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.planner.BeginProbation(id, d.sinceStart(time.Now()))
}

// ReportProbationPassed records that a suspected address has passed its test.
func (d *Dialer) ReportProbationPassed(id, text string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a, ok := d.findAddr(id, text); ok {
		d.planner.ProbationPassed(id, a, d.sinceStart(now))
	}
}

// RunRace dials the addresses of a race as the planner decides, until one connects, none is
// left or the dialer's timeout is over, and waits for all dials to end. text is the address
// that was reached.
func (d *Dialer) RunRace(ctx context.Context, race *reach.Race) (conn net.Conn, text string, err error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	defer context.AfterFunc(d.ctx, cancel)()
	results := make(chan dialResult) // unbuffered, as the loop receives the result of each dial
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for pending := 0; ; {
		d.mu.Lock()
		now := d.sinceStart(time.Now())
		if ctx.Err() != nil {
			race.Stop()
		}
		step := race.Next(now)
		d.mu.Unlock()
		if step.Dial != (address.Address{}) {
			pending++
			go func() {
				start := time.Now()
				c, err := d.dialer.Dial(ctx, step.Dial.Network(), step.Dial.Target)
				results <- dialResult{step.Dial, c, err, time.Since(start)}
			}()
			continue
		}
		if pending == 0 {
			break
		}
		timer.Reset(time.Hour)
		if step.WakeAt > 0 {
			timer.Reset(max(0, step.WakeAt-now))
		}
		select {
		case <-timer.C:
		case result := <-results:
			pending--
			switch {
			case d.recordResult(race, result):
				conn, text = result.conn, result.addr.String()
				cancel() // cancels the other dials
			case result.err != nil:
				err = result.err
			}
		}
	}
	if conn != nil {
		return conn, text, nil
	}
	if err == nil {
		err = errors.New("no address left to dial")
	}
	return nil, "", fmt.Errorf("dialing a node at its addresses: %w", err)
}

// recordResult records the result of a dial, and reports whether its connection is the one
// to use; any other is closed. A dial that failed for lack of local resources is recorded as
// cancelled, as that says nothing about its address.
func (d *Dialer) recordResult(race *reach.Race, result dialResult) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.sinceStart(time.Now())
	switch {
	case result.err == nil:
		if race.Connected(result.addr, result.elapsed, now) {
			return true
		}
		_ = result.conn.Close()
	case errors.Is(result.err, context.Canceled), netio.IsResourceExhausted(result.err):
		race.DialCancelled(result.addr, now)
	case errors.Is(result.err, context.DeadlineExceeded), errors.Is(result.err, os.ErrDeadlineExceeded), errors.Is(result.err, syscall.ETIMEDOUT):
		race.DialFailed(result.addr, reach.DialTimedOut, now)
	default:
		race.DialFailed(result.addr, reach.DialRefused, now)
	}
	return false
}
