package broker

// Attempts: opening, sending in calls, cancelling and ending them.

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"onyxsail/decide"
)

// attemptState is an attempt as the core tracks it.
type attemptState struct {
	id        AttemptID
	part      *partState
	index     int // number of earlier attempts of the part
	addr      decide.Addr
	nodeID    string
	sentAt    time.Time
	cancelled bool // its Cancelled outcome is queued
	// neverRan is set if the attempt has ended with an outcome that proves that it never ran.
	neverRan bool
}

// endAttempt ends an attempt and reports its single outcome to the module and the observer.
// firstByteAt is as in Observer.AttemptEnded.
func (c *Core) endAttempt(attempt *attemptState, outcome decide.Outcome, cause EndCause, firstByteAt, now time.Time) {
	delete(c.attempts, attempt.id)
	attempt.neverRan = outcome == decide.Rejected || outcome == decide.Unreachable || outcome == decide.NotSent
	if c.opts.Observer != nil {
		c.opts.Observer.AttemptEnded(attempt.id, outcome, cause, firstByteAt, now)
	}
	c.events = append(c.events, decide.Event{
		Kind: decide.AttemptDone, ID: attempt.part.id, Attempt: attempt.index, Addr: attempt.addr, Outcome: outcome,
		ElapsedMs: float64(now.Sub(attempt.sentAt).Microseconds()) / 1000,
	})
}

// openAttempt opens an attempt and queues it for flushSendBatch. The core enforces the
// sending rules itself, whatever the module asks for: nothing is sent for a query that has
// ended or whose client has left, after the attempt's latest start, beyond MaxAttempts, to an
// unlisted node, or to a node whose drain was announced too long ago. A forbidden attempt
// ends with an outcome that proves that it never ran, in a later turn. An action for a part
// of a query that has ended is ignored.
func (c *Core) openAttempt(action *decide.Action, now time.Time) {
	part := c.parts[action.ID]
	if part == nil {
		return
	}
	c.lastAttemptID++
	attempt := &attemptState{id: c.lastAttemptID, part: part, index: len(part.attempts), addr: action.Addr, sentAt: now}
	part.attempts = append(part.attempts, attempt)
	c.attempts[attempt.id] = attempt
	node, q := c.nodes[action.Addr], part.query
	remaining := q.Budget - now.Sub(q.ArrivedAt)
	if c.opts.Observer != nil {
		c.notifyAttemptOpened(attempt, node, action.Unhealthy, min(remaining, cmp.Or(durationFromMs(action.Ms), remaining)))
	}
	maxAttempts := c.opts.Settings.MaxAttempts
	latestStart := c.latestStart(attempt, now.Add(remaining))
	switch {
	case c.queries[q.id] != q, !now.Before(latestStart), maxAttempts > 0 && attempt.index >= maxAttempts, c.clientGone(q, now):
		c.queue.put(input{kind: inputAttemptOutcome, attemptID: attempt.id, outcome: decide.NotSent, fromCore: true})
		return
	case node == nil, !node.leftAt.IsZero() && now.Sub(node.leftAt) > c.drainSendWindow():
		c.queue.put(input{kind: inputAttemptOutcome, attemptID: attempt.id, outcome: decide.Unreachable, fromCore: true})
		return
	}
	timeout := remaining
	if action.Ms > 0 {
		timeout = min(timeout, durationFromMs(action.Ms))
	}
	attempt.nodeID, node.lastSentAt = node.ID, now
	c.stats.attempts.Add(1)
	heap.Push(&c.timers, timer{at: now.Add(timeout), attemptID: attempt.id})
	c.sendBatch = append(c.sendBatch, Attempt{
		ID: attempt.id, Node: node.ID, RequestID: q.RequestID, Shard: part.shard, IdempotencyKey: q.IdempotencyKey,
		Text: q.Text, Timeout: timeout, LatestStart: latestStart, SentAt: now, Client: q.client,
	})
}

// clientGone reports whether the query's client has disconnected, even if the front has not
// called Leave yet. In that case it calls Leave itself, and the query ends in the next turn.
func (c *Core) clientGone(q *queryState, now time.Time) bool {
	if q.client == nil || now.Sub(q.clientSeenAt) <= clientPresenceTTL {
		return false
	}
	if q.client.ClientGone() {
		c.Leave(q.id)
		return true
	}
	q.clientSeenAt = now
	return false
}

// latestStart returns the latest time at which an attempt may start running: within the
// query's time budget and, if an earlier attempt of the part may have run or may still run,
// within the deduplication window of a keyed class, less one tick. In an unsafe class such an
// attempt must not start at all, and the result is the zero time, which lies in the past. The
// limit is needed because the wait for a connection can take longer than the window.
func (c *Core) latestStart(attempt *attemptState, queryDeadline time.Time) time.Time {
	q := attempt.part.query
	if q.Class >= len(c.opts.Settings.Classes) {
		return queryDeadline
	}
	class := &c.opts.Settings.Classes[q.Class]
	for _, earlier := range attempt.part.attempts[:attempt.index] {
		if earlier.neverRan {
			continue
		}
		switch class.Effect {
		case decide.Unsafe:
			return time.Time{}
		case decide.Keyed:
			if windowEnd := earlier.sentAt.Add(durationFromMs(class.DedupWindowMs - c.opts.Settings.TickMs)); windowEnd.Before(queryDeadline) {
				return windowEnd
			}
		}
	}
	return queryDeadline
}

// notifyAttemptOpened notifies the observer of an attempt that is being opened. node is nil
// if it is not known any more.
func (c *Core) notifyAttemptOpened(attempt *attemptState, node *nodeState, suspected bool, timeout time.Duration) {
	info := AttemptInfo{
		ID: attempt.id, QueryID: attempt.part.query.id, Shard: attempt.part.shard, Index: attempt.index, Suspected: suspected,
		Timeout: timeout, OpenedAt: attempt.sentAt,
	}
	if node != nil {
		info.Node, info.Cell = node.ID, node.Cell
	}
	switch {
	case attempt.index == 0 && suspected:
		info.Reason = ReasonProbation
	case attempt.index > 0:
		info.Reason = ReasonRetry
		for _, earlier := range attempt.part.attempts[:attempt.index] {
			if c.attempts[earlier.id] == earlier && !earlier.cancelled {
				info.Reason = ReasonCopy
			}
		}
	}
	c.opts.Observer.AttemptOpened(info)
}

// flushSendBatch hands this turn's attempts to the node client, grouped by node into calls
// of at most MaxPartsPerCall parts.
func (c *Core) flushSendBatch() {
	maxPerCall := max(1, c.opts.Settings.MaxPartsPerCall)
	pending := slices.DeleteFunc(c.sendBatch, func(a Attempt) bool { // cancelled in the turn that opened it
		t := c.attempts[a.ID]
		return t == nil || t.cancelled
	})
	for i := range pending {
		if pending[i].ID == 0 { // already in an earlier call
			continue
		}
		call := []Attempt{pending[i]}
		for j := i + 1; j < len(pending) && len(call) < maxPerCall; j++ {
			if pending[j].ID != 0 && pending[j].Node == pending[i].Node {
				call = append(call, pending[j])
				pending[j].ID = 0
			}
		}
		c.opts.Nodes.Send(call[0].Node, call)
	}
	clear(pending)
	c.sendBatch = c.sendBatch[:0]
}

// cancelAttempt cancels an attempt, unless it has ended or is cancelled already. Its Cancelled
// outcome is queued and reaches the module in a later turn.
func (c *Core) cancelAttempt(attempt *attemptState, now time.Time) {
	if c.attempts[attempt.id] != attempt || attempt.cancelled {
		return
	}
	attempt.cancelled = true
	if c.opts.Observer != nil {
		c.opts.Observer.AttemptCancelled(attempt.id, now)
	}
	c.opts.Nodes.Cancel(attempt.nodeID, attempt.id)
	c.queue.put(input{kind: inputAttemptOutcome, attemptID: attempt.id, outcome: decide.Cancelled, fromCore: true})
}
