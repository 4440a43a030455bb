package daemon

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"

	"onyxsail/broker"
	"onyxsail/config"
	"onyxsail/takeover"
)

// neighbours tells whether another process of this broker runs beside this one. While one
// does, each keeps to half of what the platform allows the broker.
type neighbours struct {
	mu       sync.Mutex
	before   bool // the one whose place this one takes
	next     bool // one that takes this one's place
	changed  func(beside bool)
	stopping bool // the host is being closed, or has been
}

// OnNeighbour has f called now and whenever another process of this broker begins or ends
// to run beside this one. It must not block.
func (d *Daemon) OnNeighbour(f func(beside bool)) {
	n := &d.beside
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changed = f
	f(n.processes() > 1)
}

// processes is how many of this broker this one knows to run, itself included; n.mu is held.
func (n *neighbours) processes() int {
	count := 1
	if n.before {
		count++
	}
	if n.next {
		count++
	}
	return count
}

// neighbour notes a change, and shares the descriptors anew.
func (d *Daemon) neighbour(change func(*neighbours)) {
	n := &d.beside
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
	processes := n.processes()
	beside := processes > 1
	clients, frames := d.clients, d.frames
	if beside {
		clients, frames = max(1, clients/2), max(1, frames/2)
	}
	d.front.SetMaxConns(clients)
	d.nodes.SetMaxConns(frames)
	d.mu.Lock()
	d.processes = processes
	d.applyLimits()
	d.mu.Unlock()
	if n.changed != nil {
		n.changed(beside)
	}
}

// applyLimits tells the core its limits; d.mu is held.
func (d *Daemon) applyLimits() { d.core.SetLimits(sharedLimits(d.limits, d.processes)) }

// sharedLimits are those of one of so many processes of a broker. What is sent to a node in
// slow start is shared by the module, which is told their number.
func sharedLimits(limits broker.Limits, processes int) broker.Limits {
	limits.Processes = processes
	if processes > 1 && limits.MaxOpen > 0 {
		limits.MaxOpen = max(1, limits.MaxOpen/2)
	}
	return limits
}

// Beside implements takeover.Neighbour.
func (d *Daemon) Beside(is bool) { d.neighbour(func(n *neighbours) { n.next = is }) }

// join looks for a process whose place this one is to take, and returns its listening
// socket; nil where there is none. A process that cannot be joined stops no start: this
// one then listens for itself. One of another broker does: each client would get either.
func (d *Daemon) join() (*net.TCPListener, error) {
	if !replaceable(d.cfg) {
		return nil, nil
	}
	before, err := takeover.Join(os.TempDir(), d.cfg.Listen)
	if err != nil {
		d.log.Warn().Str("event", "takeover").Err(err).Msg("the running process cannot be joined")
	}
	if before == nil {
		return nil, nil
	}
	if before.Name != "" && before.Name != d.cfg.Name {
		before.Close()
		return nil, errors.Join(before.Listener.Close(), &TakenError{Addr: d.cfg.Listen, Broker: before.Name, Own: d.cfg.Name})
	}
	d.before = before
	return before.Listener, nil
}

// TakenError says that another broker runs at the address for clients.
type TakenError struct {
	Addr        string
	Broker, Own string // the names of that broker and of this one
}

func (e *TakenError) Error() string {
	return fmt.Sprintf("listen: the broker %q runs at %s, and this one is %q", e.Broker, e.Addr, e.Own)
}

// followBefore keeps to half of the limits until the process before has ended.
func (d *Daemon) followBefore() {
	if d.before == nil {
		return
	}
	d.neighbour(func(n *neighbours) { n.before = true })
	d.wg.Go(func() {
		d.before.Wait()
		d.log.Info().Str("event", "takeover").Msg("the process before has ended")
		d.neighbour(func(n *neighbours) { n.before = false })
	})
}

// replaceable says whether another process could find this one: an address that the system
// chooses is nobody else's.
func replaceable(cfg *config.Config) bool {
	_, port, err := net.SplitHostPort(cfg.Listen)
	return err == nil && port != "0"
}

// serving begins to take clients, and to wait for the process that takes this one's place.
func (d *Daemon) serving() {
	d.openHost()
	if d.before != nil { // it may be told to stop as soon as this one says yes
		if err := d.before.Ready(); err != nil {
			d.log.Warn().Str("event", "takeover").Err(err).Msg("the process before was not told")
		}
	}
	d.front.SetReady(true)
}

// openHost waits for the process that takes this one's place.
func (d *Daemon) openHost() {
	if !replaceable(d.cfg) {
		return
	}
	host, err := takeover.NewHost(takeover.HostOptions{
		Dir: os.TempDir(), Addr: d.cfg.Listen, Name: d.cfg.Name, Listener: d.front.Listener(), Neighbour: d, Log: d.log,
	})
	if err != nil {
		d.log.Warn().Str("event", "takeover").Err(err).Msg("no process can take this one's place without a gap")
		return
	}
	d.beside.mu.Lock()
	late := d.beside.stopping
	if !late {
		d.host = host
	}
	d.beside.mu.Unlock()
	if late {
		host.Close()
	}
}

// succeeded says whether another process takes clients at the same socket.
func (d *Daemon) succeeded() bool {
	d.beside.mu.Lock()
	host := d.host
	d.beside.mu.Unlock()
	return host != nil && host.Succeeded()
}

// leave tells the other processes that this one ends.
func (d *Daemon) leave() {
	d.beside.mu.Lock()
	host := d.host
	d.host, d.beside.stopping = nil, true
	d.beside.mu.Unlock()
	if host != nil {
		host.Close()
	}
	if d.before != nil {
		d.before.Close()
	}
}
