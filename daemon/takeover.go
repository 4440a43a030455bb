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

// siblingProcesses tracks the other processes of this broker during a takeover. While one
// runs, each process uses half of what the platform allows the broker.
type siblingProcesses struct {
	mu          sync.Mutex
	predecessor bool                      // the process that this one replaces is running
	successor   bool                      // a process that replaces this one is running
	onChange    func(siblingRunning bool) // nil: none
	stopping    bool                      // the takeover server is being closed, or has been
}

// OnSiblingChange calls onChange now and whenever another process of this broker starts or
// ends during a takeover. It replaces the callback of an earlier call. onChange must not block
// or call the Daemon.
func (d *Daemon) OnSiblingChange(onChange func(siblingRunning bool)) {
	siblings := &d.siblings
	siblings.mu.Lock()
	defer siblings.mu.Unlock()
	siblings.onChange = onChange
	onChange(siblings.processCount() > 1)
}

// processCount returns the number of known processes of this broker, including this one.
// s.mu must be held.
func (s *siblingProcesses) processCount() int {
	count := 1
	if s.predecessor {
		count++
	}
	if s.successor {
		count++
	}
	return count
}

// updateSiblings applies a change to the sibling processes and adjusts the limits of this
// process to it.
func (d *Daemon) updateSiblings(change func(*siblingProcesses)) {
	siblings := &d.siblings
	siblings.mu.Lock()
	defer siblings.mu.Unlock()
	change(siblings)
	processCount := siblings.processCount()
	siblingRunning := processCount > 1
	clientConns, frameConns := d.connLimits.clients, d.connLimits.frameNodes
	if siblingRunning {
		clientConns, frameConns = max(1, clientConns/2), max(1, frameConns/2)
	}
	d.clientConns.SetLimit(clientConns)
	d.frameNodes.SetMaxConns(frameConns)
	d.mu.Lock()
	d.processCount = processCount
	d.clientMemory.SetLimit(clientMemory(d.cfg.Limits.MemoryMB, siblingRunning))
	d.applyLimits()
	d.mu.Unlock()
	if siblings.onChange != nil {
		siblings.onChange(siblingRunning)
	}
}

// applyLimits sets the core's limits for this process. d.mu must be held.
func (d *Daemon) applyLimits() { d.core.SetLimits(limitsPerProcess(d.limits, d.processCount)) }

// limitsPerProcess returns the limits of each process when a broker has processCount of
// them: more than one get half of MaxOpen each. Traffic to a node in slow start is divided by
// the decision module itself, which is given the number of processes.
func limitsPerProcess(limits broker.Limits, processCount int) broker.Limits {
	limits.Processes = processCount
	if processCount > 1 && limits.MaxOpen > 0 {
		limits.MaxOpen = max(1, limits.MaxOpen/2)
	}
	return limits
}

// SiblingRunning implements takeover.SiblingObserver.
func (d *Daemon) SiblingRunning(running bool) {
	d.updateSiblings(func(s *siblingProcesses) { s.successor = running })
}

// joinPredecessor looks for a running process of this broker and returns its listening
// socket, or nil if there is none. If that process does not hand its socket over, this one
// opens its own. A process of another broker at the address is an error: each client would
// reach one of the two brokers at random.
func (d *Daemon) joinPredecessor() (*net.TCPListener, error) {
	if !takeoverPossible(d.cfg) {
		return nil, nil
	}
	predecessor, err := takeover.Connect(os.TempDir(), d.cfg.Listen)
	if err != nil {
		d.log.Warn().Str("event", "takeover").Err(err).Msg("takeover from the running process failed; opening a listening socket instead")
	}
	if predecessor == nil {
		return nil, nil
	}
	if predecessor.Name != "" && predecessor.Name != d.cfg.Name {
		predecessor.Close()
		return nil, errors.Join(predecessor.Listener.Close(), &AddressTakenError{Addr: d.cfg.Listen, OtherName: predecessor.Name, OwnName: d.cfg.Name})
	}
	d.predecessor = predecessor
	return predecessor.Listener, nil
}

// AddressTakenError reports that another broker runs at this broker's address for clients.
type AddressTakenError struct {
	Addr               string
	OtherName, OwnName string // names of that broker and of this one
}

// Error implements error.
func (e *AddressTakenError) Error() string {
	return fmt.Sprintf("listen: the broker %q runs at %s, and this one is %q", e.OtherName, e.Addr, e.OwnName)
}

// watchPredecessor halves this process's limits until the predecessor has ended. It does
// nothing without a predecessor.
func (d *Daemon) watchPredecessor() {
	if d.predecessor == nil {
		return
	}
	d.updateSiblings(func(s *siblingProcesses) { s.predecessor = true })
	d.wg.Go(func() {
		d.predecessor.Wait()
		d.log.Info().Str("event", "takeover").Msg("the predecessor process has ended")
		d.updateSiblings(func(s *siblingProcesses) { s.predecessor = false })
	})
}

// takeoverPossible reports whether processes of this broker can find each other by its listen
// address, which they cannot with a port that the system chooses.
func takeoverPossible(cfg *config.Config) bool {
	_, port, err := net.SplitHostPort(cfg.Listen)
	return err == nil && port != "0"
}

// startServing reports this process ready, to the predecessor and on /ready, and starts to
// wait for a successor process.
func (d *Daemon) startServing() {
	d.startTakeoverServer()
	if d.predecessor != nil { // it may be told to stop as soon as this process reports ready
		if err := d.predecessor.NotifyReady(); err != nil {
			d.log.Warn().Str("event", "takeover").Err(err).Msg("the predecessor process was not notified that this one is ready")
		}
	}
	d.httpFront.SetReady(true)
}

// startTakeoverServer starts to wait for a successor process, unless the broker is stopping.
// A failure is only logged, as the broker can serve clients without a takeover socket.
func (d *Daemon) startTakeoverServer() {
	if !takeoverPossible(d.cfg) {
		return
	}
	server, err := takeover.NewServer(takeover.ServerOptions{
		Dir: os.TempDir(), Addr: d.cfg.Listen, Name: d.cfg.Name, Listener: d.httpFront.Listener(), Observer: d, Log: d.log,
	})
	if err != nil {
		d.log.Warn().Str("event", "takeover").Err(err).Msg("cannot open the takeover socket; replacing this process will interrupt service")
		return
	}
	d.siblings.mu.Lock()
	stopping := d.siblings.stopping
	if !stopping {
		d.takeoverServer = server
	}
	d.siblings.mu.Unlock()
	if stopping {
		server.Close()
	}
}

// hasSuccessor reports whether another process accepts clients at the same socket.
func (d *Daemon) hasSuccessor() bool {
	d.siblings.mu.Lock()
	server := d.takeoverServer
	d.siblings.mu.Unlock()
	return server != nil && server.HasSuccessor()
}

// closeTakeover closes the connections to the other processes, which tells them that this
// one ends.
func (d *Daemon) closeTakeover() {
	d.siblings.mu.Lock()
	server := d.takeoverServer
	d.takeoverServer, d.siblings.stopping = nil, true
	d.siblings.mu.Unlock()
	if server != nil {
		server.Close()
	}
	if d.predecessor != nil {
		d.predecessor.Close()
	}
}
