package broker

// Final replies: how a query ends, by an action of the module, at the answer deadline or when
// the core is stopped.

import (
	"slices"
	"time"

	"onyxsail/decide"
)

// applyFinalAction ends a query with the module's Answer, Refuse or Abort action. An Answer
// that falls short of the class's minimum share fails the query.
func (c *Core) applyFinalAction(action *decide.Action, now time.Time) {
	q := c.queriesByModuleID[action.ID]
	if q == nil {
		return // already ended in this turn, or the action names a part, which has no reply of its own
	}
	reply := Reply{Verdict: Failed}
	completeShare, minShare := c.requiredShares(q)
	switch action.Kind {
	case decide.Answer:
		if share := q.answeredShare(); share < minShare || share == 0 { // never answer below the class's minimum share
			break
		}
		reply.Verdict, reply.Complete = Served, action.Complete
		for _, p := range q.parts {
			if p.answered {
				reply.Values = append(reply.Values, Value{Shard: p.shard, Data: p.value})
			}
		}
		// Never report an answer as complete if it lacks a share that a complete one requires.
		reply.Complete = reply.Complete && q.answeredShare() >= completeShare
	case decide.Refuse:
		reply.Verdict, reply.RetryAfter = Refused, durationFromMs(action.Ms)
	case decide.Abort:
		if c.budgetExhausted(q, now) {
			reply.Verdict = Expired
		}
	}
	c.removeQuery(q, now)
	c.sendReply(q, reply, now)
}

// budgetExhausted reports whether the query's time budget has run out, up to timerTolerance.
// The reserve that the module holds back at the end of the budget does not count as part of
// it.
func (c *Core) budgetExhausted(q *queryState, now time.Time) bool {
	budgetMs := float64(q.Budget.Microseconds()) / 1000
	return now.Sub(q.ArrivedAt) >= durationFromMs(c.opts.Settings.GiveUpAfterMs(budgetMs))-timerTolerance
}

// shareTolerance is by how much a sum of shares may fall short of a required share, as each
// share is rounded. It is a fraction of all parts.
const shareTolerance = 1e-4

// requiredShares returns the share that a complete answer of the query's class needs and the
// minimum share that any answer needs, each less shareTolerance. A class that the settings do
// not have needs all parts.
func (c *Core) requiredShares(q *queryState) (completeShare, minShare float64) {
	if q.Class >= len(c.opts.Settings.Classes) {
		return 1 - shareTolerance, 1 - shareTolerance
	}
	class := &c.opts.Settings.Classes[q.Class]
	return class.CompleteShare - shareTolerance, class.MinShare - shareTolerance
}

// answeredShare returns the total share of the parts that have been answered.
func (q *queryState) answeredShare() (sum float64) {
	for i, p := range q.parts {
		if p.answered {
			sum += q.Parts[i].Share
		}
	}
	return sum
}

// removeQuery removes a query and cancels its outstanding attempts. The outcome of each of
// these still follows, exactly once.
func (c *Core) removeQuery(q *queryState, now time.Time) {
	delete(c.queries, q.id)
	delete(c.queriesByRequestID, q.RequestID)
	delete(c.queriesByModuleID, q.moduleID)
	if c.effectOf(q.Class) != decide.Safe && q.mayHaveRun() {
		c.mayHaveRun.add(q.RequestID, now)
	}
	c.heldCount -= 1 + len(q.parts)
	c.stats.open.Add(-1) // before any node is told that its attempt is cancelled
	for _, p := range q.parts {
		for _, t := range p.attempts {
			c.cancelAttempt(t, now)
		}
		delete(c.parts, p.id)
	}
}

// sendReply counts the verdict, notifies the observer and passes the reply to the front.
func (c *Core) sendReply(q *queryState, reply Reply, now time.Time) {
	c.countersOf(q.Class).count(reply.Verdict)
	switch reply.Verdict {
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
		c.opts.Observer.QueryEnded(q.id, &reply, now)
	}
	q.replier.Reply(q.id, reply)
}

// capBudget shortens the query's time budget so that it ends no later than deadline. A zero
// deadline has no effect.
func (q *queryState) capBudget(deadline time.Time) {
	if !deadline.IsZero() {
		q.Budget = min(q.Budget, deadline.Sub(q.ArrivedAt))
	}
}

// answerAllOpen replies to every open query at the answer deadline: refused or, in an unsafe
// class, expired if a part may have run. The module is told that the clients have left.
func (c *Core) answerAllOpen(now time.Time) {
	for _, q := range c.queries {
		reply := Reply{Verdict: Refused}
		if c.effectOf(q.Class) == decide.Unsafe && q.mayHaveRun() {
			reply.Verdict = Expired
		}
		c.events = append(c.events, decide.Event{Kind: decide.ClientDisconnected, ID: q.moduleID})
		c.removeQuery(q, now)
		c.sendReply(q, reply, now)
	}
}

// effectOf returns the effect of a class, given its index in the settings. A class that the settings do
// not have counts as one that may not be repeated.
func (c *Core) effectOf(class int) decide.Effect {
	if class >= len(c.opts.Settings.Classes) {
		return decide.Unsafe
	}
	return c.opts.Settings.Classes[class].Effect
}

// mayHaveRun reports whether a part of the query may have run or may still run.
func (q *queryState) mayHaveRun() bool {
	for _, p := range q.parts {
		if slices.ContainsFunc(p.attempts, func(t *attemptState) bool { return !t.neverRan }) {
			return true
		}
	}
	return false
}

// shutDown closes the queue, refuses the queries that are still in it and fails those that are
// open.
func (c *Core) shutDown() {
	for _, in := range c.queue.close() {
		if in.kind == inputQuery {
			c.countersOf(in.query.Class).count(Refused)
			in.replier.Reply(in.queryID, Reply{Verdict: Refused})
		}
	}
	now := time.Now()
	for _, q := range c.queries {
		c.removeQuery(q, now)
		c.sendReply(q, Reply{Verdict: Failed}, now)
	}
}
