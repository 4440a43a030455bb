// Package connlimit shares out the connections of clients: all fronts take their slots from one
// Limiter, and where none is free the least useful connection of any front is evicted.
package connlimit

import (
	"sync"
	"time"
)

// The least time that a connection has been in a state before it may be evicted from it.
const (
	// MinEvictionAge is that of connections whose first request may have arrived without having
	// been read yet.
	MinEvictionAge        = 100 * time.Millisecond
	MinReadingEvictionAge = time.Second // of connections that send a request
	// MinStallAge is how long a connection has sent nothing of the rest of its request before it
	// may be evicted.
	MinStallAge = 500 * time.Millisecond
	// The same two where many connections wait to be accepted.
	MinCrowdedReadingAge  = 250 * time.Millisecond
	MinCrowdedStallAge    = 50 * time.Millisecond
	CrowdedIdleTimeout    = 2 * time.Second // of connections between requests, where others can be evicted
	evictionRetryInterval = 5 * time.Millisecond
)

// Level is a kind of connection that may be evicted. Lower levels are evicted first.
type Level uint8

// The levels, by what the connections wait for.
const (
	LevelEnding       Level = iota // the client to close its side; ours is closed
	LevelSilent                    // the first byte of the client
	LevelStalled                   // the rest of a request, of which nothing has come lately
	LevelIdle                      // the next request, for CrowdedIdleTimeout at least
	LevelReading                   // the rest of a request
	LevelRecentlyIdle              // the next request
)

// Levels returns all levels, the first to be evicted first.
func Levels() []Level {
	return []Level{LevelEnding, LevelSilent, LevelStalled, LevelIdle, LevelReading, LevelRecentlyIdle}
}

// Counts are the connections of a front.
type Counts struct {
	Open    int   `json:"open"`    // all that are open now
	Idle    int   `json:"idle"`    // those of them that wait for the next request
	Evicted int64 `json:"evicted"` // since the start
}

// Evictor is a front whose connections may be evicted.
type Evictor interface {
	// EvictOne ends one connection of a level and reports whether it did. The slot becomes free
	// when the connection is closed.
	EvictOne(Level) bool
}

// Limiter bounds the number of open connections. The limit may change at run time: if it falls
// below the number in use, no slot is granted until enough have been released.
type Limiter struct {
	mu       sync.Mutex
	acquired int
	limit    int
	evictors []Evictor
	freed    chan struct{} // capacity 1; signals that a slot was released or the limit was changed
}

// New returns a limiter with all slots free; the minimum limit is 1.
func New(limit int) *Limiter {
	return &Limiter{limit: max(1, limit), freed: make(chan struct{}, 1)}
}

// Register adds a front whose connections may be evicted. The limit is at least the number of
// fronts, as each of them holds a slot for the connection that it accepts next.
func (l *Limiter) Register(e Evictor) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictors = append(l.evictors, e)
	l.limit = max(l.limit, len(l.evictors))
}

// Acquire waits for a slot; it returns false once stop is closed. If all slots are in use it
// evicts the least useful connection: clients that send one request and keep the connection open,
// or never send anything, would otherwise lock out all others. While no connection can be
// evicted, new ones wait in the accept queue.
func (l *Limiter) Acquire(stop <-chan struct{}) bool {
	for !l.TryAcquire() {
		l.Evict()
		select {
		case <-stop:
			return false
		case <-l.freed:
		case <-time.After(evictionRetryInterval):
		}
	}
	return true
}

// TryAcquire takes a slot if one is free and reports whether it did.
func (l *Limiter) TryAcquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acquired >= l.limit {
		return false
	}
	l.acquired++
	return true
}

// Evict ends one connection without open requests and reports whether it did. There may be none
// that is old enough.
func (l *Limiter) Evict() bool {
	l.mu.Lock()
	evictors := l.evictors
	l.mu.Unlock()
	for _, level := range Levels() {
		for _, e := range evictors {
			if e.EvictOne(level) {
				return true
			}
		}
	}
	return false
}

// Release returns a slot.
func (l *Limiter) Release() {
	l.mu.Lock()
	l.acquired--
	l.mu.Unlock()
	l.notify()
}

// SetLimit changes the limit; the minimum is 1, or the number of fronts.
func (l *Limiter) SetLimit(limit int) {
	l.mu.Lock()
	l.limit = max(1, len(l.evictors), limit)
	l.mu.Unlock()
	l.notify()
}

// notify wakes a goroutine that waits for a slot; a pending signal is enough.
func (l *Limiter) notify() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// UsageAbove reports whether more than the given number of eighths of the limit is in use.
func (l *Limiter) UsageAbove(eighths int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acquired > l.limit*eighths/8
}

// Limit returns the limit.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit
}

// InUse returns the number of slots in use.
func (l *Limiter) InUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acquired
}

// Excess returns by how many slots the limit is exceeded.
func (l *Limiter) Excess() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.acquired-l.limit)
}
