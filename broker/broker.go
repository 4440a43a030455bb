package broker

import (
	"cmp"
	"container/heap"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/decide"
)

// drainGuard is how long after its drain was told a node may still be sent
// work, whatever the module says, or half of what the settings allow if that is
// less: the frame has its way to go. The module stops at once.
const drainGuard = 250 * time.Millisecond

// forgetAfter is when a node that has left is forgotten: no attempt lives so
// long, and on a long day each release brings new ids.
const forgetAfter = 30 * time.Second

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

type node struct {
	Node
	left    time.Time // when it was told to be draining or gone
	readyAt float64   // its start on the core's clock
	sent    time.Time // when an attempt was last sent there
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

// New returns a core that Run starts.
func New(o Options) *Core {
	if o.Limits.QueueLimit <= 0 {
		o.Limits.QueueLimit = 4096
	}
	now := time.Now()
	c := &Core{
		opts: o, root: decide.New(o.Settings, o.Seed), queue: newQueue(o.Limits.QueueLimit),
		start: now, startMs: float64(now.UnixMicro()) / 1000, starts: startTimes{warmUp: duration(o.Settings.ColdMs)},
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
			c.events = append(c.events, decide.Event{Kind: decide.ClientLeft, ID: q.event})
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
				TookMs: float64(in.took.Microseconds()) / 1000})
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
		c.root.Beside(in.limits.Processes)
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
		Kind: decide.QueryCame, ID: q.event, Class: q.Class, Number: c.number, Retry: q.Retry,
		LeftMs: float64(left.Microseconds()) / 1000, Parts: len(q.Parts), Hinted: true,
	}
	for _, p := range q.Parts {
		e.WorkMs += p.WorkMs
		e.Hinted = e.Hinted && p.Hinted
	}
	if !e.Hinted {
		e.WorkMs = 0
	}
	c.events = append(c.events, e)
	for _, p := range q.Parts {
		c.lastID++
		own := &part{id: c.lastID, q: q, shard: p.Shard}
		c.parts[own.id] = own
		q.parts = append(q.parts, own)
		e.Kind, e.ID, e.Parts, e.Shard, e.Weight, e.Key = decide.PartCame, own.id, 0, p.Shard, p.Share, p.Route
		e.WorkMs, e.Hinted = p.WorkMs, p.Hinted
		c.events = append(c.events, e)
	}
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
		TookMs: float64(now.Sub(a.sent).Microseconds()) / 1000,
	})
}

func (c *Core) roster(r Roster, now time.Time) {
	e := decide.Event{Kind: decide.ListNews, List: r.Kind}
	if r.Kind == decide.ListFailed {
		c.events = append(c.events, e)
		return
	}
	if r.Kind != decide.ListDelta {
		listed := make(map[string]bool, len(r.Nodes))
		for _, n := range r.Nodes {
			listed[n.ID] = true
		}
		for _, n := range c.nodes {
			if !listed[n.ID] {
				n.depart(decide.Gone, now)
			}
		}
	}
	dated := c.dateStarts(&r, now)
	for i, n := range r.Nodes {
		addr, ok := c.names[n.ID]
		if !ok {
			c.named++
			addr = c.named
			c.names[n.ID] = addr
			c.nodes[addr] = &node{}
		}
		own := c.nodes[addr]
		left := own.left
		own.Node, own.left, own.readyAt = n, time.Time{}, dated[i]
		if n.State != decide.Ready {
			own.left = left
			own.depart(n.State, now)
		}
		e.Members = append(e.Members, decide.Member{
			Addr: addr, Zone: n.Zone, Kind: n.Kind, Cell: n.Cell, State: n.State, Size: n.Weight, ReadyAt: dated[i],
		})
	}
	c.events = append(c.events, e)
	var all []Node
	for addr, n := range c.nodes {
		switch {
		case n.State != decide.Gone:
			if n.Latest = (time.Time{}); !n.left.IsZero() {
				n.Latest = n.left.Add(c.drainGuard())
			}
			all = append(all, n.Node)
		case now.Sub(n.left) > forgetAfter: // each release brings new ids: the old must not pile up
			c.starts.remember(n)
			delete(c.names, n.ID)
			delete(c.nodes, addr)
		}
	}
	c.opts.Nodes.Update(all)
	c.opts.Log.Info().Str("event", "roster").Int64("version", r.Version).Int("changed", len(r.Nodes)).
		Int("listed", len(all)).Msg("list of nodes changed")
}

func (c *Core) drainGuard() time.Duration {
	return min(drainGuard, duration(c.opts.Settings.DrainMs/2))
}

func (n *node) depart(s decide.State, now time.Time) {
	n.State = s
	if n.left.IsZero() {
		n.left = now
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
			c.opts.Observer.Doubted(n.ID, a.Doubt, now)
		}
	case decide.Subscribe:
		if c.opts.Lister != nil {
			c.opts.Lister.Subscribe(a.Whole)
		}
	case decide.FetchList:
		if c.opts.Lister != nil {
			c.opts.Lister.Fetch()
		}
	}
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
		c.observe(t, n, a.Doubt, min(left, cmp.Or(duration(a.Ms), left)))
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
			if over := earlier.sent.Add(duration(class.WindowMs - c.opts.Settings.TickMs)); over.Before(end) {
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
	size := max(1, c.opts.Settings.BundleMax)
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
		r.Verdict, r.Whole = Served, a.Whole
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
	return now.Sub(q.Came) >= duration(c.opts.Settings.GivenUpAfter(budgetMs))-lateTimer
}

// shareSlack is how much the parts' shares may fall short of a sum, as they are rounded.
const shareSlack = 1e-4

// shares are what a whole answer of a query's class needs, and what any answer does.
func (c *Core) shares(q *query) (need, floor float64) {
	if q.Class >= len(c.opts.Settings.Classes) {
		return 1 - shareSlack, 1 - shareSlack
	}
	class := &c.opts.Settings.Classes[q.Class]
	return class.Need - shareSlack, class.Floor - shareSlack
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
		c.events = append(c.events, decide.Event{Kind: decide.ClientLeft, ID: q.event})
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

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

type timer struct {
	at    time.Time
	token uint64
	try   AttemptID // 0: the module's own
	end   bool      // that of Core.endBy
}

// timers is a heap by time.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}
