package broker

import (
	"context"
	"sync/atomic"
	"time"

	"onyxsail/decide"
)

// ClassCounts are the final answers to queries of one class since the start.
type ClassCounts struct {
	// Fulfilled ended with an answer, Throttled with a refusal, Faulted in any other way but
	// that the client left.
	Fulfilled, Throttled, Faulted int64
}

// classCounters are the counters behind ClassCounts.
type classCounters struct{ fulfilled, throttled, faulted atomic.Int64 }

// count adds one final answer.
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

// counters returns the counters of a class, by its index in the settings; any goroutine
// may call it.
func (c *Core) counters(class int) *classCounters {
	all := *c.classes.Load()
	if uint(class) >= uint(len(all)) {
		return &classCounters{} // of no class that the settings have
	}
	return all[class]
}

// growCounters makes room for the classes of the settings; those that are there go on.
func (c *Core) growCounters(classes int) {
	var all []*classCounters
	if before := c.classes.Load(); before != nil {
		all = append(all, *before...)
	}
	for len(all) < classes {
		all = append(all, &classCounters{})
	}
	c.classes.Store(&all)
}

// Classes returns the counts of each class of the settings, by its index; any goroutine
// may call it.
func (c *Core) Classes() []ClassCounts {
	all := *c.classes.Load()
	counts := make([]ClassCounts, len(all))
	for i, own := range all {
		counts[i] = ClassCounts{own.fulfilled.Load(), own.throttled.Load(), own.faulted.Load()}
	}
	return counts
}

// Survey is the core's view of the list of nodes.
type Survey struct {
	Listed  int // nodes of the list that are not gone
	Avoided int // of these, the ones that drain, or are in doubt and were sent nothing lately
}

// avoidedFor is how long a node in doubt must have been sent nothing to count as avoided:
// one that gets its trials is not left out.
const avoidedFor = 500 * time.Millisecond

// Survey asks the core's goroutine for its view of the list. It returns the latest one
// that it has had where the core has not answered when ctx ends.
func (c *Core) Survey(ctx context.Context) Survey {
	answer := make(chan Survey, 1)
	c.queue.put(input{kind: inSurvey, survey: answer})
	select {
	case s := <-answer:
		c.surveyed.Store(&s)
		return s
	case <-ctx.Done():
	}
	if s := c.surveyed.Load(); s != nil {
		return *s
	}
	return Survey{}
}

// survey is the answer to Survey.
func (c *Core) survey(now time.Time) (s Survey) {
	for addr, n := range c.nodes {
		if n.State == decide.Removed {
			continue
		}
		s.Listed++
		if n.State != decide.Ready || c.root.Unhealthy(addr) && now.Sub(n.sent) > avoidedFor {
			s.Avoided++
		}
	}
	return s
}

// SurveyWithin is how long a caller should let Survey wait, in time: a turn of the core
// takes milliseconds.
const SurveyWithin = 300 * time.Millisecond
