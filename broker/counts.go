package broker

import (
	"context"
	"sync/atomic"
	"time"

	"onyxsail/decide"
)

// ClassCounts counts the final replies to queries of one class since the start.
type ClassCounts struct {
	// Fulfilled counts served queries, Throttled refused ones, including those that Submit
	// rejects, and Faulted those that got another reply. A query whose client disconnected
	// first is in none of them.
	Fulfilled, Throttled, Faulted int64
}

// classCounters holds the counters behind ClassCounts.
type classCounters struct{ fulfilled, throttled, faulted atomic.Int64 }

// count adds one final reply.
func (c *classCounters) count(v Verdict) {
	switch v {
	case Served:
		c.fulfilled.Add(1)
	case Refused:
		c.throttled.Add(1)
	case Failed, Expired, Duplicate:
		c.faulted.Add(1)
	}
}

// countersOf returns the counters of a class, given its index in the settings. For an index
// without a class, the result is discarded counters. It may be called from any goroutine.
func (c *Core) countersOf(class int) *classCounters {
	counters := *c.classCounters.Load()
	if uint(class) >= uint(len(counters)) {
		return &classCounters{}
	}
	return counters[class]
}

// growCounters adds counters up to classCount classes. The existing ones are kept.
func (c *Core) growCounters(classCount int) {
	var counters []*classCounters
	if existing := c.classCounters.Load(); existing != nil {
		counters = append(counters, *existing...)
	}
	for len(counters) < classCount {
		counters = append(counters, &classCounters{})
	}
	c.classCounters.Store(&counters)
}

// ClassCounts returns the counts of each class, by its index in the settings. It may be
// called from any goroutine.
func (c *Core) ClassCounts() []ClassCounts {
	counters := *c.classCounters.Load()
	counts := make([]ClassCounts, len(counters))
	for i, counter := range counters {
		counts[i] = ClassCounts{counter.fulfilled.Load(), counter.throttled.Load(), counter.faulted.Load()}
	}
	return counts
}

// RosterCounts summarizes the core's view of the list of nodes.
type RosterCounts struct {
	Listed        int // ready and draining nodes
	OutOfRotation int // of these, the draining ones and the suspected ones that got no attempts lately
}

// outOfRotationAfter is how long a suspected node must have been sent nothing to count as
// out of rotation. One that gets probation attempts does not count.
const outOfRotationAfter = 500 * time.Millisecond

// RosterCounts asks the core's goroutine for the counts. If the core has not answered when
// ctx ends, it returns the last counts received, or zeros if there are none. It may be called
// from any goroutine.
func (c *Core) RosterCounts(ctx context.Context) RosterCounts {
	result := make(chan RosterCounts, 1)
	c.queue.put(input{kind: inputRosterCounts, rosterCounts: result})
	select {
	case counts := <-result:
		c.lastRosterCounts.Store(&counts)
		return counts
	case <-ctx.Done():
	}
	if counts := c.lastRosterCounts.Load(); counts != nil {
		return *counts
	}
	return RosterCounts{}
}

// countRoster computes the result of RosterCounts.
func (c *Core) countRoster(now time.Time) (counts RosterCounts) {
	for addr, n := range c.nodes {
		if n.State == decide.Removed {
			continue
		}
		counts.Listed++
		if n.State != decide.Ready || c.root.Unhealthy(addr) && now.Sub(n.lastSentAt) > outOfRotationAfter {
			counts.OutOfRotation++
		}
	}
	return counts
}

// RosterCountsTimeout is how long a caller should let RosterCounts wait for the core. A turn
// of the core takes only milliseconds.
const RosterCountsTimeout = 300 * time.Millisecond
