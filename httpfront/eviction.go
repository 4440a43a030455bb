package httpfront

// Eviction: which connections are ended early, as their slots or their memory are needed.

import (
	"time"

	"onyxsail/internal/connlimit"
	"onyxsail/internal/membudget"
	"onyxsail/internal/netio"
)

const (
	// crowdedAcceptQueue is the number of connections that wait to be accepted from which on
	// those that send nothing more of their requests are evicted sooner.
	crowdedAcceptQueue = 64
	// minUnreadAge is how long a client must have read nothing before its responses are dropped
	// to release memory.
	minUnreadAge = 250 * time.Millisecond
	// ageDivisor is how much less the age of a request counts than the time without more of it.
	ageDivisor = 8
)

// evictionRule selects the connections of a level.
type evictionRule struct {
	state  connState
	minAge time.Duration // in the state
}

// evictionRules are the rules of the levels whose connections are evicted in the order in which they
// entered their state.
var evictionRules = map[connlimit.Level]evictionRule{
	connlimit.LevelEnding:       {stateHalfClosed, connlimit.MinEvictionAge},
	connlimit.LevelSilent:       {stateNew, connlimit.MinEvictionAge},
	connlimit.LevelIdle:         {stateIdle, connlimit.CrowdedIdleTimeout},
	connlimit.LevelRecentlyIdle: {stateIdle, connlimit.MinEvictionAge},
}

// EvictOne implements connlimit.Evictor. No idle one is evicted while too many are half-closed
// already, as those become free soon. The slot becomes free at once for a connection without a
// whole request or one that was half-closed, otherwise when the client has closed its side as
// well, or on a timeout.
func (f *Front) EvictOne(level connlimit.Level) bool {
	switch level {
	case connlimit.LevelStalled:
		return f.evictReader(f.longestStalled(f.minAge(connlimit.MinStallAge, connlimit.MinCrowdedStallAge)))
	case connlimit.LevelReading:
		return f.evictReader(f.heaviestReader(f.minAge(connlimit.MinReadingEvictionAge, connlimit.MinCrowdedReadingAge)))
	}
	rule := evictionRules[level]
	if rule.state == stateIdle && f.halfClosedCount() >= maxHalfClosed {
		return false
	}
	for _, c := range f.connsInState(rule.state, rule.minAge) {
		if c.evict(rule.state) {
			f.countEviction(rule.state)
			return true
		}
	}
	return false
}

// minAge returns the first of two ages, the second where many connections wait to be accepted.
func (f *Front) minAge(usual, crowded time.Duration) time.Duration {
	if netio.PendingConns(f.listener) >= crowdedAcceptQueue {
		return crowded
	}
	return usual
}

// evictReader ends a connection that sends a request; nil is none. It reports whether it did.
func (f *Front) evictReader(c *conn) bool {
	if c == nil || !c.evict(stateReading) {
		return false
	}
	f.countEviction(stateReading)
	return true
}

// longestStalled returns the connection that has sent nothing of the rest of its request for the
// longest, nil if there is none for minAge.
func (f *Front) longestStalled(minAge time.Duration) (longest *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := time.Now().Add(-minAge)
	for e := f.queues[stateReading].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); c.progressAt.Before(before) {
			longest, before = c, c.progressAt
		}
	}
	return longest
}

// heaviestReader returns the connection with the largest weight of those that have sent a request for
// minAge, nil if there is none. Slow clients with small requests weigh little.
func (f *Front) heaviestReader(minAge time.Duration) (heaviest *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, weight := time.Now(), 0.0
	for e := f.queues[stateReading].Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if now.Sub(c.queuedAt) < minAge {
			break
		}
		if w := c.weight(membudget.Incoming, now); w > weight {
			heaviest, weight = c, w
		}
	}
	return heaviest
}

// countEviction counts an evicted connection for the summary and the status.
func (f *Front) countEviction(state connState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evictedByState[state]++
	f.evictedTotal++
}

// halfClosedCount returns the number of connections whose sending side is closed but which the
// client has not closed yet.
func (f *Front) halfClosedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queues[stateHalfClosed].Len()
}

// connsInState returns the connections that have been in a state for at least minAge, the
// longest first.
func (f *Front) connsInState(s connState, minAge time.Duration) (all []*conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for e := f.queues[s].Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if now.Sub(c.queuedAt) < minAge {
			break
		}
		all = append(all, c)
	}
	return all
}

// Heaviest implements membudget.Holder.
func (f *Front) Heaviest(kind membudget.Kind) (weight float64, end func() bool) {
	c, weight := f.heaviest(kind)
	return weight, func() bool { return c.endForMemory(kind) }
}

// heaviest returns the connection with the largest weight of a kind, nil if there is none that may be
// ended.
func (f *Front) heaviest(kind membudget.Kind) (heaviest *conn, weight float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for s := range f.queues {
		for e := f.queues[s].Front(); e != nil; e = e.Next() {
			c := e.Value.(*conn)
			if w := c.weight(kind, now); w > weight {
				heaviest, weight = c, w
			}
		}
	}
	return heaviest, weight
}

// weight returns how much a connection holds of a kind, in bytes times seconds; 0 if it may not be
// ended for it. A large request that comes fast weighs little, one that has stopped the most. The
// front's lock is held.
func (c *conn) weight(kind membudget.Kind, now time.Time) float64 {
	waited := now.Sub(c.progressAt) + now.Sub(c.incomingSince)/ageDivisor
	if kind != membudget.Incoming {
		if waited = now.Sub(c.unreadSince); waited < minUnreadAge {
			return 0
		}
	}
	return float64(c.held[kind]) * max(waited, time.Microsecond).Seconds()
}
