package broker

import (
	"container/heap"
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/decide"
)

// lateTimer is how late a timer must fire for the core to take itself as
// having stood still; settleFor is how long it then lets the socket goroutines
// read what came meanwhile, so that the module sees stored answers before it
// judges parts that are merely unread.
const (
	lateTimer = 10 * time.Millisecond
	settleFor = time.Millisecond
)

// Options make a Core.
type Options struct {
	Settings decide.Settings
	Seed     uint64
	Limits   Limits
	Nodes    NodeClient
	Lister   Lister   // nil: the list comes on its own
	Observer Observer // nil: nobody is told
	Log      zerolog.Logger
}

// Stats are counts since the start.
type Stats struct {
	Queries, Served, Refused, Failed, Expired, Left, Attempts, Turns int64
	Open                                                             int64
}

// Core owns the decision module, its timers and the tables of queries and
// attempts. One goroutine, Run, touches them.
type Core struct {
	opts    Options
	root    *decide.Root
	queue   *queue
	start   time.Time // with the monotonic reading that all times are taken from
	startMs float64

	names    map[string]decide.Addr // node ids, interned
	named    decide.Addr            // the latest of them
	nodes    map[decide.Addr]*node
	queries  map[QueryID]*query
	open     map[string]*query // by the client's id
	byEvent  map[uint64]*query // by the module's id
	parts    map[uint64]*part
	tries    map[AttemptID]*try
	timers   timers
	starts   startTimes
	endBy    time.Time // when all that is open must have its answer; zero: each in its own time
	lastID   uint64
	lastTry  AttemptID
	number   float64
	held     int // queries and parts
	events   []decide.Event
	actions  []decide.Action
	batch    []Attempt
	classes  atomic.Pointer[[]*classCounters] // by the class's index
	surveyed atomic.Pointer[Survey]           // the latest one
	stats    struct {
		queries, served, refused, failed, expired, left, attempts, turns, open atomic.Int64
	}
}

type query struct {
	Query
	id      QueryID
	event   uint64 // the module's id of it
	replier Replier
	client  Departure // replier, where it can tell of its client
	there   time.Time // when the client was there for certain
	parts   []*part
}

type part struct {
	id    uint64
	q     *query
	shard int
	tries []*try
	value []byte
	in    bool
}

// New returns a core that Run starts.
func New(o Options) *Core {
	if o.Limits.QueueLimit <= 0 {
		o.Limits.QueueLimit = 4096
	}
	now := time.Now()
	c := &Core{
		opts: o, root: decide.New(o.Settings, o.Seed), queue: newQueue(o.Limits.QueueLimit),
		start: now, startMs: float64(now.UnixMicro()) / 1000, starts: startTimes{warmUp: duration(o.Settings.WarmUpMs)},
		names: map[string]decide.Addr{}, nodes: map[decide.Addr]*node{},
		queries: map[QueryID]*query{}, open: map[string]*query{}, byEvent: map[uint64]*query{}, parts: map[uint64]*part{}, tries: map[AttemptID]*try{},
	}
	c.growCounters(len(o.Settings.Classes))
	return c
}

// Submit hands a query to the core. If it returns false, the core has not
// taken the query, and the front refuses it; otherwise r gets one Reply.
func (c *Core) Submit(q *Query, r Replier) (QueryID, bool) {
	id, ok := c.queue.offer(input{kind: inQuery, query: q, replier: r})
	if !ok {
		c.counters(q.Class).count(Refused)
	}
	if !ok && c.opts.Observer != nil {
		c.opts.Observer.TurnedAway(q, time.Now())
	}
	return id, ok
}

// Leave says that the client of a query has gone. No Reply follows unless one
// is on its way.
func (c *Core) Leave(id QueryID) { c.queue.put(input{kind: inLeave, id: id}) }

// Outcome implements Sink.
func (c *Core) Outcome(id AttemptID, o decide.Outcome, a Answer) {
	c.queue.put(input{kind: inOutcome, attempt: id, outcome: o, answer: a})
}

// Probed implements Sink.
func (c *Core) Probed(node string, o decide.Outcome, took time.Duration) {
	c.queue.put(input{kind: inProbed, node: node, outcome: o, took: took})
}

// Roster hands news of the list to the core.
func (c *Core) Roster(r Roster) { c.queue.put(input{kind: inRoster, roster: r}) }

// EndBy tells by when all that is open, and what comes from now on, must have its final
// answer, though its client would wait longer: the process may be killed then.
func (c *Core) EndBy(at time.Time) { c.queue.put(input{kind: inEndBy, at: at}) }

// Reconfigure takes further classes and another limit of attempts into use: for what is
// submitted once it has returned, and the limit for what is under way too. Classes keep
// their places: all begins with those that the core has, unchanged. One caller at a time.
func (c *Core) Reconfigure(all []decide.Class, maxAttempts int) {
	c.growCounters(len(all))
	c.queue.put(input{kind: inReconfigure, classes: all, attempts: maxAttempts})
}

// SetLimits changes the limits at the next turn's boundary.
func (c *Core) SetLimits(l Limits) { c.queue.put(input{kind: inLimits, limits: l}) }

// Stats returns the counts; any goroutine may call it.
func (c *Core) Stats() Stats {
	s := &c.stats
	return Stats{
		Queries: s.queries.Load(), Served: s.served.Load(), Refused: s.refused.Load(), Failed: s.failed.Load(),
		Expired: s.expired.Load(), Left: s.left.Load(), Attempts: s.attempts.Load(), Turns: s.turns.Load(),
		Open: s.open.Load(),
	}
}

// Run is the loop: it gathers what is ready, hands it to the module in one
// Step and carries out what came back, until ctx ends. Then every query still
// open gets a final answer.
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
			c.abandon()
			return
		case <-c.queue.ready:
		case <-wake.C:
		}
		if len(c.timers) > 0 && time.Since(c.timers[0].at) > lateTimer {
			time.Sleep(settleFor)
		}
		c.turn()
	}
}

func (c *Core) turn() {
	now := time.Now()
	c.events = c.events[:0]
	for _, in := range c.queue.take() {
		c.gather(in, now)
	}
	for len(c.timers) > 0 && !c.timers[0].at.After(now) {
		t := heap.Pop(&c.timers).(timer)
		if t.end {
			c.endAll(now)
		} else if t.try == 0 {
			c.events = append(c.events, decide.Event{Kind: decide.TimerFired, Token: t.token})
		} else if a := c.tries[t.try]; a != nil {
			c.opts.Nodes.Cancel(a.node, a.id)
			c.ended(a, decide.TimedOut, ByTime, time.Time{}, now)
		}
	}
	if len(c.events) == 0 {
		return
	}
	c.stats.turns.Add(1)
	c.actions = c.root.Step(c.ms(now), c.events, c.actions[:0])
	for i := range c.actions {
		c.carryOut(&c.actions[i], now)
	}
	c.flush()
}

// ms is a time on the module's clock: Unix milliseconds that never step.
func (c *Core) ms(t time.Time) float64 {
	return c.startMs + float64(t.Sub(c.start).Microseconds())/1000
}

func (c *Core) gather(in input, now time.Time) {
	switch in.kind {
	case inQuery:
		c.take(in, now)
	case inLeave:
		if q := c.queries[in.id]; q != nil {
			c.stats.left.Add(1)
			c.events = append(c.events, decide.Event{Kind: decide.ClientDisconnected, ID: q.event})
			c.drop(q, now)
			if c.opts.Observer != nil {
				c.opts.Observer.Final(q.id, &Reply{Verdict: Left}, now)
			}
		}
	case inOutcome:
		if a := c.tries[in.attempt]; a != nil {
			if in.outcome == decide.OK && !a.part.in {
				a.part.in, a.part.value = true, in.answer.Value
			}
			by := ByNode
			if in.ours {
				by = ByCore
			}
			c.ended(a, in.outcome, by, in.answer.Began, now)
		}
	case inProbed:
		if addr, ok := c.names[in.node]; ok {
			c.events = append(c.events, decide.Event{Kind: decide.ProbeDone, Addr: addr, Outcome: in.outcome,
				ElapsedMs: float64(in.took.Microseconds()) / 1000})
		}
	case inRoster:
		c.roster(in.roster, now)
	case inEndBy:
		c.endBy = in.at
		for _, q := range c.queries {
			q.endBy(c.endBy)
		}
		heap.Push(&c.timers, timer{at: in.at, end: true})
	case inReconfigure:
		c.opts.Settings.Classes, c.opts.Settings.MaxAttempts = in.classes, in.attempts
		c.root.Reconfigure(in.classes, in.attempts)
	case inSurvey:
		in.survey <- c.survey(now)
	case inLimits:
		c.opts.Limits = in.limits
		c.queue.setLimit(in.limits.QueueLimit)
		c.root.SetProcesses(in.limits.Processes)
	}
}

// take turns a query into the module's events. What the core has no room for
// is refused before the module hears of it, as the settings demand.
func (c *Core) take(in input, now time.Time) {
	c.stats.queries.Add(1)
	q := &query{Query: *in.query, id: in.id, replier: in.replier, there: in.query.Came}
	q.client, _ = in.replier.(Departure)
	if c.opts.Observer != nil {
		c.opts.Observer.Taken(q.id, &q.Query, now)
	}
	q.endBy(c.endBy)
	left := q.Budget - now.Sub(q.Came)
	// The parts' ids are made of the query's: under one id the answers of two
	// open queries could be mixed up. Only the newcomer pays for that.
	if c.open[q.Name] != nil {
		c.finish(q, Reply{Verdict: Duplicate}, now)
		return
	}
	if room := c.opts.Limits.MaxOpen; room > 0 && c.held+1+len(q.Parts) > room {
		c.finish(q, Reply{Verdict: Refused}, now)
		return
	}
	if left <= 0 {
		verdict := Expired
		if !c.endBy.IsZero() && !now.Before(c.endBy) { // nothing of it was sent: another broker may take it
			verdict = Refused
		}
		c.finish(q, Reply{Verdict: verdict}, now)
		return
	}
	c.held += 1 + len(q.Parts)
	c.stats.open.Add(1)
	c.queries[q.id], c.open[q.Name] = q, q
	c.number++
	c.lastID++
	q.event = c.lastID
	c.byEvent[q.event] = q
	e := decide.Event{
		Kind: decide.QueryArrived, ID: q.event, Class: q.Class, Number: c.number, Retry: q.Retry,
		TimeLeftMs: float64(left.Microseconds()) / 1000, Parts: len(q.Parts), HasEstimate: true,
	}
	for _, p := range q.Parts {
		e.EstimatedWorkMs += p.WorkMs
		e.HasEstimate = e.HasEstimate && p.Hinted
	}
	if !e.HasEstimate {
		e.EstimatedWorkMs = 0
	}
	c.events = append(c.events, e)
	for _, p := range q.Parts {
		c.lastID++
		own := &part{id: c.lastID, q: q, shard: p.Shard}
		c.parts[own.id] = own
		q.parts = append(q.parts, own)
		e.Kind, e.ID, e.Parts, e.Shard, e.Weight, e.Key = decide.PartArrived, own.id, 0, p.Shard, p.Share, p.Route
		e.EstimatedWorkMs, e.HasEstimate = p.WorkMs, p.Hinted
		c.events = append(c.events, e)
	}
}

func (c *Core) carryOut(a *decide.Action, now time.Time) {
	switch a.Kind {
	case decide.Send:
		c.send(a, now)
	case decide.Cancel:
		if p := c.parts[a.ID]; p != nil && a.Attempt < len(p.tries) {
			c.giveUp(p.tries[a.Attempt], now)
		}
	case decide.Timer:
		heap.Push(&c.timers, timer{at: now.Add(duration(a.Ms)), token: a.Token})
	case decide.Answer, decide.Refuse, decide.Abort:
		c.conclude(a, now)
	case decide.Probe:
		if n := c.nodes[a.Addr]; n != nil {
			c.opts.Nodes.Probe(n.ID)
		}
	case decide.CloseIdle:
		if n := c.nodes[a.Addr]; n != nil {
			c.opts.Nodes.CloseIdle(n.ID)
		}
	case decide.Log:
		c.opts.Log.Info().Str("event", "decision").Msg(a.Text)
		if n := c.nodes[a.Addr]; n != nil && c.opts.Observer != nil {
			c.opts.Observer.Doubted(n.ID, a.Unhealthy, now)
		}
	case decide.Subscribe:
		if c.opts.Lister != nil {
			c.opts.Lister.Subscribe(a.Complete)
		}
	case decide.FetchList:
		if c.opts.Lister != nil {
			c.opts.Lister.Fetch()
		}
	}
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
