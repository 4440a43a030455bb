package broker

// Attempts: how they are opened, sent in calls, given up and ended.

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"onyxsail/decide"
)

type try struct {
	id   AttemptID
	part *part
	n    int
	addr decide.Addr
	node string
	sent time.Time
	off  bool // given up: its outcome is on its way to the module
	// unrun: its outcome proves that it never ran.
	unrun bool
}

// ended gives the module the one outcome of an attempt.
func (c *Core) ended(a *try, o decide.Outcome, by Cause, began, now time.Time) {
	delete(c.tries, a.id)
	a.unrun = o == decide.Rejected || o == decide.Unreachable || o == decide.NotSent
	if c.opts.Observer != nil {
		c.opts.Observer.Ended(a.id, o, by, began, now)
	}
	c.events = append(c.events, decide.Event{
		Kind: decide.AttemptDone, ID: a.part.id, Attempt: a.n, Addr: a.addr, Outcome: o,
		ElapsedMs: float64(now.Sub(a.sent).Microseconds()) / 1000,
	})
}

// send opens an attempt. What a rule forbids is not sent and comes back as an
// outcome that proves it never ran: the core holds the rules whatever is asked.
func (c *Core) send(a *decide.Action, now time.Time) {
	p := c.parts[a.ID]
	if p == nil {
		return
	}
	c.lastTry++
	t := &try{id: c.lastTry, part: p, n: len(p.tries), addr: a.Addr, sent: now}
	p.tries = append(p.tries, t)
	c.tries[t.id] = t
	n, q := c.nodes[a.Addr], p.q
	left := q.Budget - now.Sub(q.Came)
	if c.opts.Observer != nil {
		c.observe(t, n, a.Unhealthy, min(left, cmp.Or(duration(a.Ms), left)))
	}
	attempts := c.opts.Settings.MaxAttempts
	latest := c.latest(t, now.Add(left))
	switch {
	case c.queries[q.id] != q, !now.Before(latest), attempts > 0 && t.n >= attempts, c.departed(q, now):
		c.queue.put(input{kind: inOutcome, attempt: t.id, outcome: decide.NotSent, ours: true})
		return
	case n == nil, !n.left.IsZero() && now.Sub(n.left) > c.drainGuard():
		c.queue.put(input{kind: inOutcome, attempt: t.id, outcome: decide.Unreachable, ours: true})
		return
	}
	wait := left
	if a.Ms > 0 {
		wait = min(wait, duration(a.Ms))
	}
	t.node, n.sent = n.ID, now
	c.stats.attempts.Add(1)
	heap.Push(&c.timers, timer{at: now.Add(wait), try: t.id})
	c.batch = append(c.batch, Attempt{
		ID: t.id, Node: n.ID, Query: q.Name, Shard: p.shard, Key: q.Key, Text: q.Text, Wait: wait, Latest: latest,
		Sent: now, Client: q.client,
	})
}

// departed says whether a query's client has left, though the news of it may still be on
// its way; then the query ends in the next turn.
func (c *Core) departed(q *query, now time.Time) bool {
	if q.client == nil || now.Sub(q.there) <= presentFor {
		return false
	}
	if q.client.Gone() {
		c.Leave(q.id)
		return true
	}
	q.there = now
	return false
}

// latest is until when an attempt may begin: within its query's time, and, where
// an earlier one of its part may have run or may yet, within the time in which
// the class allows a repeat. For a connection it may wait longer than that.
func (c *Core) latest(t *try, end time.Time) time.Time {
	q := t.part.q
	if q.Class >= len(c.opts.Settings.Classes) {
		return end
	}
	class := &c.opts.Settings.Classes[q.Class]
	for _, earlier := range t.part.tries[:t.n] {
		if earlier.unrun {
			continue
		}
		switch class.Effect {
		case decide.Unsafe:
			return time.Time{}
		case decide.Keyed:
			if over := earlier.sent.Add(duration(class.DedupWindowMs - c.opts.Settings.TickMs)); over.Before(end) {
				return over
			}
		}
	}
	return end
}

// observe tells the observer of an attempt that is being opened.
func (c *Core) observe(t *try, n *node, doubt bool, wait time.Duration) {
	o := Opening{ID: t.id, Query: t.part.q.id, Shard: t.part.shard, N: t.n, Doubt: doubt, Wait: wait, At: t.sent}
	if n != nil {
		o.Node, o.Cell = n.ID, n.Cell
	}
	switch {
	case t.n == 0 && doubt:
		o.Why = Trial
	case t.n > 0:
		o.Why = Retry
		for _, earlier := range t.part.tries[:t.n] {
			if c.tries[earlier.id] == earlier && !earlier.off {
				o.Why = Copy
			}
		}
	}
	c.opts.Observer.Opened(o)
}

// flush hands this turn's attempts to the node client, those of one node as
// calls of the settings' size.
func (c *Core) flush() {
	size := max(1, c.opts.Settings.MaxPartsPerCall)
	out := slices.DeleteFunc(c.batch, func(a Attempt) bool { // given up in the turn that sent it
		t := c.tries[a.ID]
		return t == nil || t.off
	})
	for i := range out {
		if out[i].ID == 0 {
			continue
		}
		calls := []Attempt{out[i]}
		for j := i + 1; j < len(out) && len(calls) < size; j++ {
			if out[j].ID != 0 && out[j].Node == out[i].Node {
				calls = append(calls, out[j])
				out[j].ID = 0
			}
		}
		c.opts.Nodes.Send(calls[0].Node, calls)
	}
	clear(out)
	c.batch = c.batch[:0]
}

// giveUp ends an attempt that is out. The module hears of it in a later turn,
// as it does of every outcome.
func (c *Core) giveUp(t *try, now time.Time) {
	if c.tries[t.id] != t || t.off {
		return
	}
	t.off = true
	if c.opts.Observer != nil {
		c.opts.Observer.Cancelled(t.id, now)
	}
	c.opts.Nodes.Cancel(t.node, t.id)
	c.queue.put(input{kind: inOutcome, attempt: t.id, outcome: decide.Cancelled, ours: true})
}
