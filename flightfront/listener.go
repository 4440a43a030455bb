package flightfront

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/internal/connlimit"
	"onyxsail/internal/membudget"
)

// Timeouts of connections. Without them, clients that keep a connection without calls, or never
// complete one, would hold all descriptors.
const (
	handshakeTimeout      = 2 * time.Second         // for the HTTP/2 handshake of a new connection
	requestReadTimeout    = 2500 * time.Millisecond // to receive a call that has begun
	idleTimeout           = time.Minute             // between calls, while few connections are in use
	goAwayGrace           = 100 * time.Millisecond  // from telling a client to open no more calls to the end of its connection
	lingerTimeout         = time.Second             // for the client to close its side after ours was closed
	unreadResponseTimeout = 5 * time.Second         // for the client to read what is being written
	sweepInterval         = 100 * time.Millisecond  // between checks of the timeouts
	summaryInterval       = 10 * time.Second        // between log messages about evicted connections
	acceptRetryPause      = 10 * time.Millisecond   // after an accept that failed, out of descriptors say
	// maxAcceptWait bounds how long a connection's first bytes are assumed to have waited for the
	// accept. A longer time is ignored.
	maxAcceptWait = time.Minute
	// maxEnding is the number of connections that are being ended from which on no others are evicted.
	maxEnding = 16
)

// connListener accepts clients' connections as the limiter permits, follows them and ends those that
// have no calls for too long, or whose slots are needed.
type connListener struct {
	net.Listener
	slots   *connlimit.Limiter
	memory  *membudget.Budget
	paced   pacedConns
	log     zerolog.Logger
	stop    chan struct{} // closed by Close
	once    sync.Once
	sweeper sync.WaitGroup

	mu           sync.Mutex
	conns        map[*clientConn]struct{}
	draining     bool
	evicted      [stateCount]int // connections evicted since the last summary, by state
	evictedTotal int64
}

// newConnListener starts to follow the connections of a listener; stopSweeping ends that.
func newConnListener(l net.Listener, slots *connlimit.Limiter, memory *membudget.Budget, log zerolog.Logger) *connListener {
	listener := &connListener{Listener: l, slots: slots, memory: memory, log: log, stop: make(chan struct{}), conns: map[*clientConn]struct{}{}}
	memory.Register(listener)
	slots.Register(listener)
	return listener
}

// Accept implements net.Listener. It goes on after failures that pass, and where no slot is free.
func (l *connListener) Accept() (net.Conn, error) {
	for {
		if !l.waitForRoom() || !l.slots.Acquire(l.stop) {
			return nil, net.ErrClosed
		}
		conn, err := l.Listener.Accept()
		if err == nil {
			return l.follow(conn.(*net.TCPConn)), nil
		}
		l.slots.Release()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.log.Warn().Str("event", "accept").Err(err).Msg("could not accept a Flight connection")
		select {
		case <-l.stop:
		case <-time.After(acceptRetryPause):
		}
	}
}

// waitForRoom waits until the memory has room for another connection; it returns false once the listener
// is closed.
func (l *connListener) waitForRoom() bool {
	for !l.makeRoom() {
		select {
		case <-l.stop:
			return false
		case <-time.After(acceptRetryPause):
		}
	}
	return true
}

// Close implements net.Listener. Connections stay open.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.stop) })
	return l.Listener.Close()
}

// follow adds a connection that holds a slot.
func (l *connListener) follow(conn *net.TCPConn) *clientConn {
	c := newClientConn(conn, l)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

// forget removes a closed connection and releases its slot.
func (l *connListener) forget(c *clientConn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	l.slots.Release()
}

// openConns returns the open connections.
func (l *connListener) openConns() []*clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*clientConn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

// counts returns the current numbers of connections.
func (l *connListener) counts() connlimit.Counts {
	now := time.Now()
	all := l.openConns()
	l.mu.Lock()
	counts := connlimit.Counts{Open: len(all), Evicted: l.evictedTotal}
	l.mu.Unlock()
	for _, c := range all {
		if c.age(stateIdle, now) > 0 {
			counts.Idle++
		}
	}
	return counts
}

// drain makes the listener end idle connections at once.
func (l *connListener) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
}

// sweep ends connections whose timeout has passed, until done is closed.
func (l *connListener) sweep(done <-chan struct{}) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	lastSummary := time.Now()
	for {
		select {
		case <-done:
			return
		case now := <-tick.C:
			l.sweepOnce(now)
			if now.Sub(lastSummary) >= summaryInterval {
				lastSummary = now
				l.logSummary()
			}
		}
	}
}

// sweepOnce ends the connections whose timeout has passed.
func (l *connListener) sweepOnce(now time.Time) {
	l.memory.Relieve(membudget.Incoming)
	l.memory.Relieve(membudget.Responses)
	l.endExcess()
	idleLimit := l.idleLimit()
	for _, c := range l.openConns() {
		switch {
		case c.blockedFor(now) >= unreadResponseTimeout, c.age(stateHalfClosed, now) >= lingerTimeout,
			c.age(stateIdle, now) >= idleLimit+unreadResponseTimeout: // the client reads nothing, so it cannot be told
			_ = c.Close()
		case c.age(stateSilent, now) >= handshakeTimeout:
			c.endIfInState(stateSilent)
		case c.age(stateReading, now) >= requestReadTimeout:
			c.endIfInState(stateReading)
		case c.toldToGo():
			c.endIfInState(stateIdle)
		case c.age(stateIdle, now) >= idleLimit:
			c.tellToGo()
		}
	}
}

// idleLimit returns how long a connection may be idle now.
func (l *connListener) idleLimit() time.Duration {
	l.mu.Lock()
	draining := l.draining
	l.mu.Unlock()
	switch {
	case draining:
		return connlimit.MinEvictionAge
	case l.slots.UsageAbove(4):
		return connlimit.CrowdedIdleTimeout
	}
	return idleTimeout
}

// evictableStates gives the state of the connections of each level, and how long they have been in
// it at least.
var evictableStates = map[connlimit.Level]struct {
	state  connState
	minAge time.Duration
}{
	connlimit.LevelEnding:       {stateHalfClosed, connlimit.MinEvictionAge},
	connlimit.LevelSilent:       {stateSilent, connlimit.MinEvictionAge},
	connlimit.LevelStalled:      {stateReading, connlimit.MinReadingEvictionAge},
	connlimit.LevelIdle:         {stateIdle, connlimit.CrowdedIdleTimeout},
	connlimit.LevelReading:      {stateReading, connlimit.MinReadingEvictionAge},
	connlimit.LevelRecentlyIdle: {stateIdle, connlimit.MinEvictionAge},
}

// EvictOne implements connlimit.Evictor. The slot becomes free at once for a connection that was
// half-closed or never used, otherwise when the client has closed its side as well, or after
// goAwayGrace and connlimit.MinEvictionAge.
func (l *connListener) EvictOne(level connlimit.Level) bool {
	if level == connlimit.LevelSilent && l.evictUnused() {
		return true
	}
	candidate := evictableStates[level]
	oldest, ending := l.oldest(candidate.state, candidate.minAge)
	if oldest == nil || candidate.state != stateHalfClosed && ending >= maxEnding {
		return false
	}
	ended := false
	switch candidate.state {
	case stateHalfClosed:
		_ = oldest.Close()
		return true
	case stateIdle:
		ended = oldest.tellToGo() || oldest.endIfInState(stateIdle)
	case stateSilent:
		if ended = oldest.endIfInState(stateSilent); ended {
			_ = oldest.Close() // nothing was sent to it that it could still want to read
		}
	default:
		ended = oldest.endIfInState(candidate.state)
	}
	if ended {
		l.countEviction(candidate.state)
	}
	return ended
}

// evictUnused closes the connection that has been open for the longest without a call, and reports
// whether it did.
func (l *connListener) evictUnused() bool {
	var oldest *clientConn
	now, longest := time.Now(), connlimit.MinEvictionAge
	for _, c := range l.openConns() {
		if age := c.unusedFor(now); age >= longest {
			oldest, longest = c, age
		}
	}
	if oldest == nil || !oldest.endIfInState(stateIdle) {
		return false
	}
	_ = oldest.Close() // the client was told that no call was taken
	l.countEviction(stateIdle)
	return true
}

// countEviction counts an evicted connection for the summary and the status.
func (l *connListener) countEviction(state connState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evicted[state]++
	l.evictedTotal++
}

// oldest returns the connection that has been in a state for the longest, nil if there is none for
// minAge. One whose client was told to go counts only once it can be ended. ending is the number of
// connections that are being ended.
func (l *connListener) oldest(state connState, minAge time.Duration) (oldest *clientConn, ending int) {
	now := time.Now()
	longest := minAge
	for _, c := range l.openConns() {
		told := c.toldToGo()
		if told {
			ending++
		}
		if age := c.age(state, now); age >= longest && (state != stateIdle || !told || c.mayEnd(now)) {
			oldest, longest = c, age
		}
	}
	return oldest, ending
}

// logSummary logs how many connections were evicted since the last summary. Single events are not
// logged, as one faulty client could flood the log.
func (l *connListener) logSummary() {
	l.mu.Lock()
	evicted := l.evicted
	l.evicted = [stateCount]int{}
	l.mu.Unlock()
	if evicted == [stateCount]int{} {
		return
	}
	counts := l.counts()
	l.log.Warn().Str("event", "crowded").Str("front", "flight").Int("conns", counts.Open).Int("idle_now", counts.Idle).
		Int("silent", evicted[stateSilent]).Int("idle", evicted[stateIdle]).Int("reading", evicted[stateReading]).
		Msg("evicted connections to free slots for new ones")
}
