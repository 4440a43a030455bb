package broker

// Final answers: how a query ends, by the module, by time or with the process.

import (
	"slices"
	"time"

	"onyxsail/decide"
)

func (c *Core) conclude(a *decide.Action, now time.Time) {
	q := c.byEvent[a.ID]
	if q == nil {
		return // it ended in this turn, or a part was named, which owes no answer
	}
	r := Reply{Verdict: Failed}
	need, floor := c.shares(q)
	switch a.Kind {
	case decide.Answer:
		if share := q.share(); share < floor || share == 0 { // never from less than the least share
			break
		}
		r.Verdict, r.Whole = Served, a.Complete
		for _, p := range q.parts {
			if p.in {
				r.Values = append(r.Values, Value{Shard: p.shard, Data: p.value})
			}
		}
		// Never call an answer whole that is missing a part a whole one needs.
		r.Whole = r.Whole && q.share() >= need
	case decide.Refuse:
		r.Verdict, r.RetryAfter = Refused, duration(a.Ms)
	case decide.Abort:
		if c.outOfTime(q, now) {
			r.Verdict = Expired
		}
	}
	c.drop(q, now)
	c.finish(q, r, now)
}

// outOfTime says whether a query's time is over, less the reserve that the module keeps.
func (c *Core) outOfTime(q *query, now time.Time) bool {
	budgetMs := float64(q.Budget.Microseconds()) / 1000
	return now.Sub(q.Came) >= duration(c.opts.Settings.GiveUpAfterMs(budgetMs))-lateTimer
}

// shareSlack is how much the parts' shares may fall short of a sum, as they are rounded.
const shareSlack = 1e-4

// shares are what a whole answer of a query's class needs, and what any answer does.
func (c *Core) shares(q *query) (need, floor float64) {
	if q.Class >= len(c.opts.Settings.Classes) {
		return 1 - shareSlack, 1 - shareSlack
	}
	class := &c.opts.Settings.Classes[q.Class]
	return class.CompleteShare - shareSlack, class.MinShare - shareSlack
}

// share is the share of the answer that is in.
func (q *query) share() (in float64) {
	for i, p := range q.parts {
		if p.in {
			in += q.Parts[i].Share
		}
	}
	return in
}

// drop forgets a query; attempts still out are given up, and each keeps its
// one outcome to come.
func (c *Core) drop(q *query, now time.Time) {
	delete(c.queries, q.id)
	delete(c.open, q.Name)
	delete(c.byEvent, q.event)
	c.held -= 1 + len(q.parts)
	c.stats.open.Add(-1) // before any node hears that its part is given up
	for _, p := range q.parts {
		for _, t := range p.tries {
			c.giveUp(t, now)
		}
		delete(c.parts, p.id)
	}
}

func (c *Core) finish(q *query, r Reply, now time.Time) {
	c.counters(q.Class).count(r.Verdict)
	switch r.Verdict {
	case Served:
		c.stats.served.Add(1)
	case Refused:
		c.stats.refused.Add(1)
	case Failed, Duplicate:
		c.stats.failed.Add(1)
	case Expired:
		c.stats.expired.Add(1)
	}
	if c.opts.Observer != nil {
		c.opts.Observer.Final(q.id, &r, now)
	}
	q.replier.Reply(q.id, r)
}

// endBy cuts a query's time to end at a moment, if one is given.
func (q *query) endBy(at time.Time) {
	if !at.IsZero() {
		q.Budget = min(q.Budget, at.Sub(q.Came))
	}
}

// endAll answers every query that is open; the module hears of it as of a client that
// has left.
func (c *Core) endAll(now time.Time) {
	for _, q := range c.queries {
		r := Reply{Verdict: Refused}
		if c.opts.Settings.Classes[q.Class].Effect == decide.Unsafe && q.mayHaveRun() {
			r.Verdict = Expired
		}
		c.events = append(c.events, decide.Event{Kind: decide.ClientDisconnected, ID: q.event})
		c.drop(q, now)
		c.finish(q, r, now)
	}
}

// mayHaveRun says whether a part of the query may have run, or may yet.
func (q *query) mayHaveRun() bool {
	for _, p := range q.parts {
		if slices.ContainsFunc(p.tries, func(t *try) bool { return !t.unrun }) {
			return true
		}
	}
	return false
}

// abandon ends every query still open when the core is stopped.
func (c *Core) abandon() {
	for _, in := range c.queue.close() {
		if in.kind == inQuery {
			c.counters(in.query.Class).count(Refused)
			in.replier.Reply(in.id, Reply{Verdict: Refused})
		}
	}
	now := time.Now()
	for _, q := range c.queries {
		c.drop(q, now)
		c.finish(q, Reply{Verdict: Failed}, now)
	}
}
