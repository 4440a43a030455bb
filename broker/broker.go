package broker

import (
	"container/heap"
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/decide"
)

// timerTolerance is how late a timer must fire for the core to conclude that the process
// was stalled. A query's time budget may also count as exhausted that much too early.
//
// settleDelay is how long the core waits after a stall for the socket goroutines to read what
// arrived during it, so that the module receives buffered answers before it judges parts
// whose answers have merely not been read yet.
const (
	timerTolerance = 10 * time.Millisecond
	settleDelay    = time.Millisecond
)

// Options configures a Core.
type Options struct {
	Settings decide.Settings
	Seed     uint64 // of the module's random choices
	Limits   Limits
	Nodes    NodeClient
	Lister   Lister   // nil: the list of nodes is pushed without being asked for
	Observer Observer // nil: no observer
	Log      zerolog.Logger
}

// Stats holds counts since the start, except for Open, the number of queries open now.
// Queries counts those that the core has taken from its queue; those that Submit rejects are
// in none of the counts. Served, Refused, Failed (with duplicates) and Expired count replies
// by verdict, and Left counts queries whose clients disconnected first.
type Stats struct {
	Queries, Served, Refused, Failed, Expired, Left, Attempts, Turns int64
	Open                                                             int64
}

// Core owns the decision module, its timers and the tables of queries and attempts. Only
// the goroutine of Run accesses them.
type Core struct {
	opts    Options
	root    *decide.Root
	queue   *inputQueue
	start   time.Time // has the monotonic clock reading that all times are relative to
	startMs float64   // start in Unix milliseconds

	addrByNodeID       map[string]decide.Addr // the module's identifiers of nodes
	lastAddr           decide.Addr            // last one assigned
	nodes              map[decide.Addr]*nodeState
	queries            map[QueryID]*queryState
	queriesByRequestID map[string]*queryState // by the client's request ID
	queriesByModuleID  map[uint64]*queryState // by the ID in the module's events
	mayHaveRun         *recentIDs             // request IDs of ended queries that may not be repeated
	parts              map[uint64]*partState  // by the ID in the module's events
	attempts           map[AttemptID]*attemptState
	timers             timerHeap
	startTimes         startTimeEstimator
	answerDeadline     time.Time // every query must be answered by then; zero: no common deadline
	lastModuleID       uint64
	lastAttemptID      AttemptID
	lastQueryNumber    float64                          // Number of the last query in the module's events
	heldCount          int                              // open queries and their parts
	events             []decide.Event                   // of the current turn
	actions            []decide.Action                  // of the current turn
	sendBatch          []Attempt                        // opened in the current turn, not yet handed to the node client
	classCounters      atomic.Pointer[[]*classCounters] // by class index
	lastRosterCounts   atomic.Pointer[RosterCounts]     // last result of RosterCounts
	stats              struct {
		queries, served, refused, failed, expired, left, attempts, turns, open atomic.Int64
	}
}

// queryState is an open query.
type queryState struct {
	Query
	id           QueryID
	moduleID     uint64 // its ID in the module's events
	replier      Replier
	client       DisconnectChecker // the replier if it implements DisconnectChecker, else nil
	clientSeenAt time.Time         // when the client was last known to be connected
	parts        []*partState
}

// partState is one part of an open query.
type partState struct {
	id       uint64 // its ID in the module's events
	query    *queryState
	shard    int
	attempts []*attemptState
	value    []byte
	answered bool
}

// New returns a core. It takes inputs at once, but processes them only while Run runs.
func New(opts Options) *Core {
	if opts.Limits.QueueLimit <= 0 {
		opts.Limits.QueueLimit = 4096
	}
	now := time.Now()
	c := &Core{
		opts: opts, root: decide.New(opts.Settings, opts.Seed), queue: newInputQueue(opts.Limits.QueueLimit),
		start: now, startMs: float64(now.UnixMicro()) / 1000, startTimes: startTimeEstimator{warmUp: durationFromMs(opts.Settings.WarmUpMs)},
		addrByNodeID: map[string]decide.Addr{}, nodes: map[decide.Addr]*nodeState{},
		queries: map[QueryID]*queryState{}, queriesByRequestID: map[string]*queryState{}, queriesByModuleID: map[uint64]*queryState{},
		mayHaveRun: newRecentIDs(now), parts: map[uint64]*partState{}, attempts: map[AttemptID]*attemptState{},
	}
	c.growCounters(len(opts.Settings.Classes))
	return c
}

// Submit hands a query to the core. If it returns false, the queue is full or closed and the
// front must refuse the query itself; otherwise replier gets exactly one Reply, unless Leave
// is called first. Submit, Leave and the methods that deliver other inputs may be called from
// any goroutine.
func (c *Core) Submit(q *Query, replier Replier) (QueryID, bool) {
	id, ok := c.queue.offer(input{kind: inputQuery, query: q, replier: replier})
	if !ok {
		c.TurnAway(q)
	}
	return id, ok
}

// TurnAway counts a query that a front refuses instead of submitting it.
func (c *Core) TurnAway(q *Query) {
	c.countersOf(q.Class).count(Refused)
	if c.opts.Observer != nil {
		c.opts.Observer.QueryTurnedAway(q, time.Now())
	}
}

// Leave tells the core that the client of a query has disconnected. No Reply follows, unless
// the core has ended the query before it processes this input.
func (c *Core) Leave(id QueryID) { c.queue.put(input{kind: inputClientLeft, queryID: id}) }

// AttemptOutcome implements ResultSink.
func (c *Core) AttemptOutcome(id AttemptID, outcome decide.Outcome, response Response) {
	c.queue.put(input{kind: inputAttemptOutcome, attemptID: id, outcome: outcome, response: response})
}

// ProbeOutcome implements ResultSink.
func (c *Core) ProbeOutcome(node string, outcome decide.Outcome, took time.Duration) {
	c.queue.put(input{kind: inputProbeOutcome, nodeID: node, outcome: outcome, took: took})
}

// UpdateRoster hands an update of the list of nodes to the core, which applies it in its next
// turn.
func (c *Core) UpdateRoster(roster Roster) { c.queue.put(input{kind: inputRoster, roster: roster}) }

// SetAnswerDeadline sets the time by which every open query and every later one must have
// its final reply, even if its client would wait longer, as the process may be killed then.
func (c *Core) SetAnswerDeadline(deadline time.Time) {
	c.queue.put(input{kind: inputAnswerDeadline, deadline: deadline})
}

// Reconfigure adds classes and changes the limit of attempts per part (0: unlimited). Both
// apply to queries that are submitted after it returns; the limit applies to open queries
// too. Classes keep their indexes: classes must begin with those that the core has,
// unchanged. Calls must not be concurrent.
func (c *Core) Reconfigure(classes []decide.Class, maxAttempts int) {
	c.growCounters(len(classes))
	c.queue.put(input{kind: inputReconfigure, classes: classes, maxAttempts: maxAttempts})
}

// SetLimits changes the limits from the next turn on.
func (c *Core) SetLimits(limits Limits) { c.queue.put(input{kind: inputLimits, limits: limits}) }

// Stats returns the current counts. It may be called from any goroutine.
func (c *Core) Stats() Stats {
	s := &c.stats
	return Stats{
		Queries: s.queries.Load(), Served: s.served.Load(), Refused: s.refused.Load(), Failed: s.failed.Load(),
		Expired: s.expired.Load(), Left: s.left.Load(), Attempts: s.attempts.Load(), Turns: s.turns.Load(),
		Open: s.open.Load(),
	}
}

// Run is the core's event loop. In each turn it collects the waiting inputs, passes them to
// the module in one Step and executes the returned actions. When ctx ends, it replies to
// every query that is still queued or open and returns.
func (c *Core) Run(ctx context.Context) {
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		if len(c.timers) > 0 {
			wake.Reset(time.Until(c.timers[0].at))
		} else {
			wake.Reset(time.Hour)
		}
		select {
		case <-ctx.Done():
			c.shutDown()
			return
		case <-c.queue.ready:
		case <-wake.C:
		}
		if len(c.timers) > 0 && time.Since(c.timers[0].at) > timerTolerance {
			time.Sleep(settleDelay)
		}
		c.runTurn()
	}
}

// runTurn processes the waiting inputs and the timers that are due. If they have no event for
// the module, the module is not called.
func (c *Core) runTurn() {
	now := time.Now()
	c.events = c.events[:0]
	for _, in := range c.queue.takeAll() {
		c.handleInput(in, now)
	}
	for len(c.timers) > 0 && !c.timers[0].at.After(now) {
		fired := heap.Pop(&c.timers).(timer)
		if fired.answerDeadline {
			c.answerAllOpen(now)
		} else if fired.attemptID == 0 {
			c.events = append(c.events, decide.Event{Kind: decide.TimerFired, Token: fired.token})
		} else if attempt := c.attempts[fired.attemptID]; attempt != nil {
			c.opts.Nodes.Cancel(attempt.nodeID, attempt.id)
			c.endAttempt(attempt, decide.TimedOut, EndedByTimeout, time.Time{}, now)
		}
	}
	if len(c.events) == 0 {
		return
	}
	c.stats.turns.Add(1)
	c.actions = c.root.Step(c.moduleTimeMs(now), c.events, c.actions[:0])
	for i := range c.actions {
		c.executeAction(&c.actions[i], now)
	}
	c.flushSendBatch()
}

// moduleTimeMs converts a time to the module's clock: Unix milliseconds counted from the
// core's start by the monotonic clock, so that steps of the wall clock have no effect.
func (c *Core) moduleTimeMs(t time.Time) float64 {
	return c.startMs + float64(t.Sub(c.start).Microseconds())/1000
}

// handleInput updates the core's tables by one input and queues its events for the module.
func (c *Core) handleInput(in input, now time.Time) {
	switch in.kind {
	case inputQuery:
		c.admitQuery(in, now)
	case inputClientLeft:
		if q := c.queries[in.queryID]; q != nil {
			c.stats.left.Add(1)
			c.events = append(c.events, decide.Event{Kind: decide.ClientDisconnected, ID: q.moduleID})
			c.removeQuery(q, now)
			if c.opts.Observer != nil {
				c.opts.Observer.QueryEnded(q.id, &Reply{Verdict: ClientLeft}, now)
			}
		}
	case inputAttemptOutcome:
		if attempt := c.attempts[in.attemptID]; attempt != nil {
			if in.outcome == decide.OK && !attempt.part.answered {
				attempt.part.answered, attempt.part.value = true, in.response.Value
			}
			cause := EndedByNode
			if in.fromCore {
				cause = EndedByCore
			}
			c.endAttempt(attempt, in.outcome, cause, in.response.FirstByteAt, now)
		}
	case inputProbeOutcome:
		if addr, ok := c.addrByNodeID[in.nodeID]; ok {
			c.events = append(c.events, decide.Event{Kind: decide.ProbeDone, Addr: addr, Outcome: in.outcome,
				ElapsedMs: float64(in.took.Microseconds()) / 1000})
		}
	case inputRoster:
		c.applyRoster(in.roster, now)
	case inputAnswerDeadline:
		c.answerDeadline = in.deadline
		for _, q := range c.queries {
			q.capBudget(c.answerDeadline)
		}
		heap.Push(&c.timers, timer{at: in.deadline, answerDeadline: true})
	case inputReconfigure:
		c.opts.Settings.Classes, c.opts.Settings.MaxAttempts = in.classes, in.maxAttempts
		c.root.Reconfigure(in.classes, in.maxAttempts)
	case inputRosterCounts:
		in.rosterCounts <- c.countRoster(now)
	case inputLimits:
		c.opts.Limits = in.limits
		c.queue.setLimit(in.limits.QueueLimit)
		c.root.SetProcesses(in.limits.Processes)
	}
}

// admitQuery turns a query into events for the module. Some queries get their reply before
// they reach the module: those with the request ID of an open query or of one that may have run, those over the MaxOpen
// limit, which the settings prescribe, and those without any time left.
func (c *Core) admitQuery(in input, now time.Time) {
	c.stats.queries.Add(1)
	q := &queryState{Query: *in.query, id: in.queryID, replier: in.replier, clientSeenAt: in.query.ArrivedAt}
	q.client, _ = in.replier.(DisconnectChecker)
	if c.opts.Observer != nil {
		c.opts.Observer.QueryReceived(q.id, &q.Query, now)
	}
	q.capBudget(c.answerDeadline)
	remaining := q.Budget - now.Sub(q.ArrivedAt)
	// Part IDs are derived from the request ID, so the answers of two open queries with the
	// same ID could be mixed up. Only the later query is rejected, as is one that would run again.
	if c.queriesByRequestID[q.RequestID] != nil || c.mayHaveRun.has(q.RequestID, now) {
		c.sendReply(q, Reply{Verdict: Duplicate}, now)
		return
	}
	if maxOpen := c.opts.Limits.MaxOpen; maxOpen > 0 && c.heldCount+1+len(q.Parts) > maxOpen {
		c.sendReply(q, Reply{Verdict: Refused}, now)
		return
	}
	if remaining <= 0 {
		verdict := Expired
		if !c.answerDeadline.IsZero() && !now.Before(c.answerDeadline) { // no part was sent, so it is safe to ask another broker
			verdict = Refused
		}
		c.sendReply(q, Reply{Verdict: verdict}, now)
		return
	}
	c.heldCount += 1 + len(q.Parts)
	c.stats.open.Add(1)
	c.queries[q.id], c.queriesByRequestID[q.RequestID] = q, q
	c.lastQueryNumber++
	c.lastModuleID++
	q.moduleID = c.lastModuleID
	c.queriesByModuleID[q.moduleID] = q
	event := decide.Event{
		Kind: decide.QueryArrived, ID: q.moduleID, Class: q.Class, Number: c.lastQueryNumber, Retry: q.Retry,
		TimeLeftMs: float64(remaining.Microseconds()) / 1000, Parts: len(q.Parts), HasEstimate: true,
	}
	for _, p := range q.Parts {
		event.EstimatedWorkMs += p.EstimatedWorkMs
		event.HasEstimate = event.HasEstimate && p.HasEstimate
	}
	if !event.HasEstimate {
		event.EstimatedWorkMs = 0
	}
	c.events = append(c.events, event)
	for _, p := range q.Parts {
		c.lastModuleID++
		part := &partState{id: c.lastModuleID, query: q, shard: p.Shard}
		c.parts[part.id] = part
		q.parts = append(q.parts, part)
		event.Kind, event.ID, event.Parts, event.Shard, event.Weight, event.Key = decide.PartArrived, part.id, 0, p.Shard, p.Share, p.Route
		event.EstimatedWorkMs, event.HasEstimate = p.EstimatedWorkMs, p.HasEstimate
		c.events = append(c.events, event)
	}
}

// executeAction executes one action of the module. The module of a broker returns no
// MessagePeer.
func (c *Core) executeAction(action *decide.Action, now time.Time) {
	switch action.Kind {
	case decide.Send:
		c.openAttempt(action, now)
	case decide.Cancel:
		if p := c.parts[action.ID]; p != nil && action.Attempt < len(p.attempts) {
			c.cancelAttempt(p.attempts[action.Attempt], now)
		}
	case decide.Timer:
		heap.Push(&c.timers, timer{at: now.Add(durationFromMs(action.Ms)), token: action.Token})
	case decide.Answer, decide.Refuse, decide.Abort:
		c.applyFinalAction(action, now)
	case decide.Probe:
		if n := c.nodes[action.Addr]; n != nil {
			c.opts.Nodes.Probe(n.ID)
		}
	case decide.CloseIdle:
		if n := c.nodes[action.Addr]; n != nil {
			c.opts.Nodes.CloseIdle(n.ID)
		}
	case decide.Log:
		c.opts.Log.Info().Str("event", "decision").Msg(action.Text)
		if n := c.nodes[action.Addr]; n != nil && c.opts.Observer != nil {
			c.opts.Observer.NodeSuspected(n.ID, action.Unhealthy, now)
		}
	case decide.Subscribe:
		if c.opts.Lister != nil {
			c.opts.Lister.Subscribe(action.Complete)
		}
	case decide.FetchList:
		if c.opts.Lister != nil {
			c.opts.Lister.Fetch()
		}
	}
}

// durationFromMs converts milliseconds, the module's unit of time, to a duration.
func durationFromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
