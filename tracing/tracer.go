// Package tracing follows every query and keeps the traces that explain a bad
// one. A Tracer is the core's Observer and its node clients' WireObserver; the
// sampler decides at a query's end, and one goroutine writes what is kept to
// the spool and hands it to the exporter.
package tracing

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/tracecontext"
	"onyxsail/tracing/export"
	"onyxsail/tracing/record"
	"onyxsail/tracing/sample"
	"onyxsail/tracing/spool"
)

const (
	// lateFor is how long the outcome of an attempt is awaited after its trace
	// was written, and maxLate how many are at once.
	lateFor = 5 * time.Second
	maxLate = 4096
	// maxOpen bounds the queries that are followed at once; the core bounds them
	// closer where the settings tell a figure.
	maxOpen   = 1 << 14
	maxSpare  = 64 // traces that are kept for use again
	maxFollow = 256
	// owedEvery is how often what a disk has not taken is tried again while no trace comes.
	owedEvery = time.Second
)

// Class is what the tracer needs of a class, by its index.
type Class struct {
	Name    string
	Wanted  time.Duration // an answer within this is in time
	Stretch float64       // and this multiple of the query's own work more
	Most    time.Duration // but never later than this
}

// Options make a Tracer.
type Options struct {
	Config  Config // with its defaults
	Broker  string
	Classes []Class
	Log     zerolog.Logger
	// Write takes the place of the spool's writes, in tests of a disk that fails.
	Write func(*os.File, []byte) (int, error)
}

// live is a query that is open, or over and waiting for the sampler's verdict.
type live struct {
	record.Trace
	came  time.Time
	class int
	slot  int // in the table of open queries; -1: none
	ended bool
}

type tryRef struct {
	l *live
	i int
}

// lateRef is an attempt whose trace is written, and which may still answer.
type lateRef struct {
	id   record.TraceID
	span record.SpanID
	came time.Time
	till time.Time
}

// Tracer implements broker.Observer and broker.WireObserver.
type Tracer struct {
	opts  Options
	start time.Time // all times are told from its monotonic reading
	stop  chan struct{}
	wake  chan struct{} // something waits for the goroutine
	done  sync.WaitGroup

	spool    *spool.Spool     // the goroutine's; nil: none
	owed     owed             // the goroutine's: what the spool's disk has not taken
	exporter *export.Exporter // nil: none

	mu      sync.Mutex
	rng     *rand.ChaCha8
	open    slots[*live]     // by the core's number of the query
	byTry   slots[tryRef]    // by its number of the attempt
	held    map[uint64]*live // over, by the sampler's key
	lastKey uint64
	spare   []*live
	sampler *sample.Sampler
	table   *spool.QueryTable // nil: none
	late    map[broker.AttemptID]lateRef
	lateQ   []broker.AttemptID   // in the order of their time
	notes   []record.LateOutcome // to be written
	recent  ring
	unseen  int64 // queries that were not followed
	noted   int64 // late outcomes
	spooled spool.Counts
	owing   int // bytes of what is owed
	follow  map[chan *record.Trace]bool
	missed  int64 // traces that a reader who follows was too slow for
	lost    bool  // the loss of the table is in the log
}

// Start starts a tracer. A disk that cannot be used does not keep it from
// starting: the log says so, and traces are kept in memory alone.
func Start(o Options) (*Tracer, error) {
	var seed [32]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("seeding the tracer: %w", err)
	}
	c := o.Config
	t := &Tracer{
		opts: o, start: time.Now(), stop: make(chan struct{}), wake: make(chan struct{}, 1), rng: rand.NewChaCha8(seed),
		open: newSlots[*live](512), byTry: newSlots[tryRef](2048), held: map[uint64]*live{},
		late: map[broker.AttemptID]lateRef{}, follow: map[chan *record.Trace]bool{},
		recent: ring{most: c.MemoryKB << 10 / 4},
		sampler: sample.New(sample.Config{
			Budget: c.BudgetPerS, Bytes: c.MemoryKB << 10 / 2, Usual: c.GoodShare, Asked: c.AskedPerS, Classes: len(o.Classes),
			Slow: c.SlowQuantile, SlowLeast: 200, Seed: binary.LittleEndian.Uint64(seed[:]),
		}),
	}
	if c.Dir != "" { // what its disk does not take shares the room of the recent ones
		t.recent.most /= 2
		t.owed.most = t.recent.most
		t.openSpool()
	}
	if c.OTLP != nil {
		var err error
		t.exporter, err = export.New(export.Options{
			Endpoint: c.OTLP.Endpoint, Broker: o.Broker, Timeout: time.Duration(c.OTLP.TimeoutMs) * time.Millisecond,
			Limits: export.Limits{Queue: c.OTLP.Queue, Bytes: c.MemoryKB << 10 / 4, Batch: c.OTLP.Batch,
				Wait: time.Duration(c.OTLP.WaitMs) * time.Millisecond, Back: backFirst, Most: backMost, Longest: backLongest, Tries: c.OTLP.Tries},
			Seed: binary.LittleEndian.Uint64(seed[8:]), Log: o.Log, Now: t.now,
		})
		if err != nil {
			t.closeSpool()
			return nil, err
		}
	}
	t.done.Add(1)
	go t.run()
	return t, nil
}

func (t *Tracer) now() time.Duration { return time.Since(t.start) }

// openSpool takes the folder and reports what a killed broker left open.
func (t *Tracer) openSpool() {
	c, log := t.opts.Config, t.opts.Log
	s, err := spool.Open(spool.Options{
		Dir: c.Dir, Log: log, Now: t.now, Write: t.opts.Write,
		Limits: spool.Limits{SegmentBytes: int64(c.SegmentKB) << 10, TotalBytes: int64(c.SpoolMB) << 20, MinBackoff: backFirst, MaxBackoff: backMost},
	})
	if err != nil {
		log.Warn().Str("event", "trace-spool").Str("dir", c.Dir).Err(err).Msg("the spool cannot be used; traces are kept in memory alone")
		return
	}
	t.spool = s
	table, left, unreadable, err := spool.OpenQueryTable(c.Dir, c.OpenQueries)
	if err != nil {
		log.Warn().Str("event", "trace-spool").Str("dir", c.Dir).Err(err).
			Msg("the table of open queries cannot be used; a kill will leave no evidence of them")
	}
	carried := 0
	for _, tr := range left {
		tr.Broker = t.opts.Broker
		tr.CompleteInterrupted()
		if t.write(tr) {
			continue
		}
		carried++ // the segment took none: the new table keeps it for the next start
		if table != nil {
			table.CarryOver(tr)
		}
	}
	if table != nil {
		if err := table.Commit(); err != nil {
			log.Warn().Str("event", "trace-spool").Err(err).Msg("a kill will leave no evidence of open queries")
		}
		t.table = table
	}
	if len(left)+unreadable > 0 {
		log.Warn().Str("event", "trace-interrupted").Int("queries", len(left)).Int("unreadable", unreadable).Int("carried", carried).
			Msg("the broker before this one ended under queries; `gannetchute trace list --reason interrupted` shows them")
	}
}

// write puts a trace into the spool and says whether it is there.
func (t *Tracer) write(tr *record.Trace) bool {
	data, err := record.Encode(tr)
	return err == nil && t.spool.Append(spool.KindTrace, data) == spool.DropNone
}

// Close writes and sends what is kept, and ends the tracer. No call may come
// any more.
func (t *Tracer) Close(ctx context.Context) {
	t.EndFollowers()
	close(t.stop)
	t.done.Wait()
	t.collect(true)
	if t.exporter != nil {
		t.exporter.Close(ctx)
	}
	t.closeSpool()
}

func (t *Tracer) closeSpool() {
	if t.table != nil {
		if err := t.table.Close(); err != nil {
			t.opts.Log.Warn().Str("event", "trace-spool").Err(err).Msg("the table of open queries did not close in order")
		}
	}
	if t.spool != nil {
		if err := t.spool.Close(); err != nil {
			t.opts.Log.Warn().Str("event", "trace-spool").Err(err).Msg("the spool did not close in order")
		}
	}
}

// run collects at the end of each of the sampler's windows. While nothing is
// held it sleeps.
func (t *Tracer) run() {
	defer t.done.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	armed := false
	for {
		select {
		case <-t.stop:
			return
		case <-t.wake:
			if armed {
				continue
			}
		case <-timer.C:
			armed = false
			t.collect(false)
		}
		t.mu.Lock()
		at, held := t.sampler.Next()
		held = held || len(t.notes) > 0
		t.mu.Unlock()
		switch {
		case held:
			timer.Reset(max(time.Millisecond, at-t.now()))
		case len(t.owed.records) > 0:
			timer.Reset(owedEvery)
		}
		armed = held
	}
}

// rouse wakes the goroutine; t.mu is held.
func (t *Tracer) rouse() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// collect takes what is kept from the sampler and passes it on. Slots are given
// back only after their traces are in the spool.
func (t *Tracer) collect(all bool) {
	now := time.Now()
	t.mu.Lock()
	var kept []sample.Kept
	if all {
		kept = t.sampler.Flush()
	} else {
		kept = t.sampler.Due(now.Sub(t.start))
	}
	traces, slots := make([]*record.Trace, 0, len(kept)), make([]int, 0, len(kept))
	for _, k := range kept {
		l := t.held[k.Key]
		delete(t.held, k.Key)
		l.Reasons, l.KeepReason, l.Probability = k.Reasons, k.Reason, k.Probability
		t.awaitLate(l, now)
		t.recent.add(&l.Trace)
		traces, slots = append(traces, &l.Trace), append(slots, l.slot)
		for ch := range t.follow {
			select {
			case ch <- &l.Trace:
			default:
				t.missed++
			}
		}
	}
	for len(t.lateQ) > 0 && t.late[t.lateQ[0]].till.Before(now) {
		delete(t.late, t.lateQ[0])
		t.lateQ = t.lateQ[1:]
	}
	notes := t.notes
	t.notes = nil
	if t.table != nil && t.table.Fault() != nil && !t.lost {
		t.lost = true
		t.opts.Log.Warn().Str("event", "trace-spool").Err(t.table.Fault()).
			Msg("the table of open queries was lost; a kill will leave no evidence of them")
	}
	t.mu.Unlock()

	if t.exporter != nil {
		for _, tr := range traces {
			t.exporter.Put(tr)
		}
	}
	before := len(t.owed.records)
	if t.spool != nil {
		t.store(traces, notes)
	}
	if len(traces)+len(notes)+before == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.spool != nil {
		t.spooled, t.owing = t.spoolCounts(), t.owed.bytes
	}
	if t.table != nil {
		for _, slot := range slots {
			t.table.Free(slot)
		}
	}
}

// awaitLate moves a written trace's open attempts to where their outcomes are
// noted apart; t.mu is held.
func (t *Tracer) awaitLate(l *live, now time.Time) {
	for i := range l.Attempts {
		a := &l.Attempts[i]
		id := broker.AttemptID(a.ID)
		if ref, ok := t.byTry.get(a.ID); !ok || ref.l != l {
			continue
		}
		t.byTry.remove(a.ID)
		if a.MayStillRun && !a.LateAt.IsSet() && len(t.lateQ) < maxLate {
			t.late[id] = lateRef{l.ID, l.Span, l.came, now.Add(lateFor)}
			t.lateQ = append(t.lateQ, id)
		}
	}
}

// take returns an empty live query for a new one; t.mu is held.
func (t *Tracer) take(q *broker.Query, at time.Time) *live {
	var l *live
	if n := len(t.spare); n > 0 {
		l = t.spare[n-1]
		t.spare = t.spare[:n-1]
		*l = live{Trace: record.Trace{Attempts: l.Attempts[:0]}}
	} else {
		l = &live{Trace: record.Trace{Attempts: make([]record.Attempt, 0, len(q.Parts)+1)}}
	}
	l.came, l.slot, l.class = q.Came, -1, q.Class
	l.ID, l.Parent, l.Sampled, l.TraceState = q.Trace.ID, q.Trace.Parent, q.Trace.Sampled, q.Trace.State
	if l.ID == (record.TraceID{}) {
		binary.LittleEndian.PutUint64(l.ID[:], t.rng.Uint64())
		binary.LittleEndian.PutUint64(l.ID[8:], t.rng.Uint64()|1) // zero is no id
	}
	binary.LittleEndian.PutUint64(l.Span[:], t.rng.Uint64()|1)
	l.Broker, l.Query, l.Retry, l.Parts, l.Budget = t.opts.Broker, q.Name, q.Retry, len(q.Parts), q.Budget
	// The wall clock is read once, at the start: one that steps moves no trace.
	l.Received = t.start.Add(q.Came.Sub(t.start)).Round(0)
	l.Accepted = record.OffsetOf(at.Sub(q.Came))
	l.Verdict = record.Verdict(record.VerdictOpen)
	if q.Class >= 0 && q.Class < len(t.opts.Classes) {
		c := &t.opts.Classes[q.Class]
		l.Class, l.Objective = c.Name, c.Wanted
		if c.Stretch > 0 {
			work := 0.0
			for i := range q.Parts {
				work += q.Parts[i].WorkMs
			}
			l.Objective = min(l.Objective+time.Duration(c.Stretch*work*float64(time.Millisecond)), c.Most)
		}
	}
	return l
}

// Taken implements broker.Observer.
func (t *Tracer) Taken(id broker.QueryID, q *broker.Query, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open.n >= maxOpen {
		t.unseen++
		return
	}
	l := t.take(q, at)
	t.open.put(uint64(id), l)
	if t.table != nil {
		l.slot = t.table.Add(&l.Trace)
	}
}

// TurnedAway implements broker.Observer.
func (t *Tracer) TurnedAway(q *broker.Query, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.take(q, at)
	t.end(l, &broker.Reply{Verdict: broker.Refused}, at)
}

// Opened implements broker.Observer.
func (t *Tracer) Opened(o broker.Opening) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, _ := t.open.get(uint64(o.Query))
	if l == nil {
		return
	}
	l.Attempts = append(l.Attempts, record.Attempt{
		ID: uint64(o.ID), Span: record.AttemptSpan(l.Span, uint64(o.ID)), Shard: o.Shard, Number: o.N, Node: o.Node, Cell: o.Cell,
		Reason: record.AttemptReason(o.Why), Suspected: o.Doubt, Opened: record.OffsetOf(o.At.Sub(l.came)), Outcome: record.OutcomePending,
	})
	i := len(l.Attempts) - 1
	t.byTry.put(uint64(o.ID), tryRef{l, i})
	if l.slot >= 0 {
		t.table.PutAttempt(l.slot, i, &l.Attempts[i])
	}
}

// Cancelled implements broker.Observer.
func (t *Tracer) Cancelled(id broker.AttemptID, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ref, ok := t.byTry.get(uint64(id)); ok {
		ref.l.Attempts[ref.i].Abandoned = record.OffsetOf(at.Sub(ref.l.came))
	}
}

// Ended implements broker.Observer.
func (t *Tracer) Ended(id broker.AttemptID, o decide.Outcome, by broker.Cause, began, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ref, ok := t.byTry.get(uint64(id))
	if !ok || ref.l.ended {
		return // it was ended with its query
	}
	a := &ref.l.Attempts[ref.i]
	if !began.IsZero() {
		a.FirstByte = record.OffsetOf(began.Sub(ref.l.came))
	}
	a.End(o, by != broker.ByNode, record.OffsetOf(at.Sub(ref.l.came)))
	if ref.l.slot >= 0 {
		t.table.PutOutcome(ref.l.slot, ref.i, a)
	}
}

// Doubted implements broker.Observer: an attempt that is out at a node that
// comes into doubt was touched by it.
func (t *Tracer) Doubted(node string, doubted bool, _ time.Time) {
	if !doubted {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byTry.each(func(ref tryRef) {
		if a := &ref.l.Attempts[ref.i]; a.Node == node && !a.Ended.IsSet() {
			a.Suspected = true
		}
	})
}

// Final implements broker.Observer.
func (t *Tracer) Final(id broker.QueryID, r *broker.Reply, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.open.get(uint64(id)); ok {
		t.open.remove(uint64(id))
		t.end(l, r, at)
	}
}

// end ends a query and its attempts and asks the sampler; t.mu is held.
func (t *Tracer) end(l *live, r *broker.Reply, at time.Time) {
	l.ended = true
	l.Ended = record.OffsetOf(at.Sub(l.came))
	l.Verdict, l.Complete, l.RetryAfter = record.Verdict(r.Verdict), r.Whole, r.RetryAfter
	for i := range l.Attempts {
		if a := &l.Attempts[i]; !a.Ended.IsSet() {
			// It never answered: the core has given it up, and it may still run.
			a.End(decide.Cancelled, true, l.Ended)
		}
	}
	l.Reasons = l.DeriveReasons()
	t.lastKey++
	key, node := t.lastKey, ""
	if l.Reasons != 0 {
		node = l.WorstNode()
	}
	hold, drop := t.sampler.Offer(sample.Item{
		Key: key, At: at.Sub(t.start), Class: l.class, Node: node, Took: l.Ended.Duration(),
		Served: r.Verdict == broker.Served, Reasons: l.Reasons, Asked: l.Sampled, Size: l.MemoryBytes(),
	})
	for _, k := range drop {
		if other := t.held[k]; other != nil {
			delete(t.held, k)
			t.release(other)
		}
	}
	if !hold {
		t.release(l)
		return
	}
	if t.held[key] = l; len(t.held) == 1 {
		t.rouse()
	}
	if l.slot >= 0 {
		t.table.EndQuery(l.slot, &l.Trace)
	}
}

// release forgets a query whose trace is not kept; t.mu is held.
func (t *Tracer) release(l *live) {
	for i := range l.Attempts {
		t.byTry.remove(l.Attempts[i].ID)
	}
	if l.slot >= 0 {
		t.table.Free(l.slot)
	}
	if len(t.spare) < maxSpare {
		t.spare = append(t.spare, l)
	}
}

// Wire implements broker.WireObserver.
func (t *Tracer) Wire(id broker.AttemptID, phase broker.WirePhase, addr string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ref, ok := t.byTry.get(uint64(id))
	if !ok || ref.l.ended {
		return
	}
	a, when := &ref.l.Attempts[ref.i], record.OffsetOf(at.Sub(ref.l.came))
	a.Addr = addr
	switch phase {
	case broker.WireDialing:
		a.DialStarted = when
	case broker.WireUp:
		a.Connected = when
	case broker.WireGone:
		a.Sent = when
		if ref.l.slot >= 0 {
			t.table.PutSent(ref.l.slot, ref.i, when)
		}
		return
	}
	if ref.l.slot >= 0 {
		t.table.PutAttempt(ref.l.slot, ref.i, a)
	}
}

// Late implements broker.WireObserver.
func (t *Tracer) Late(id broker.AttemptID, o decide.Outcome, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ref, ok := t.byTry.get(uint64(id)); ok {
		a, outcome := &ref.l.Attempts[ref.i], record.Outcome(o)
		a.LateAt, a.LateOutcome = record.OffsetOf(at.Sub(ref.l.came)), &outcome
		t.noted++
		return
	}
	if ref, ok := t.late[id]; ok {
		delete(t.late, id) // lateQ forgets it in time
		n := record.LateOutcome{ID: ref.id, Span: ref.span, Attempt: uint64(id), At: record.OffsetOf(at.Sub(ref.came)), Outcome: record.Outcome(o)}
		t.recent.note(n)
		t.noted++
		if t.spool != nil && len(t.notes) < maxLate {
			t.notes = append(t.notes, n)
			t.rouse()
		}
	}
}

// Carry implements broker.WireObserver.
func (t *Tracer) Carry(id broker.AttemptID) (traceparent, tracestate string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ref, ok := t.byTry.get(uint64(id))
	if !ok {
		return "", ""
	}
	return tracecontext.Format(ref.l.ID, ref.l.Attempts[ref.i].Span, ref.l.Sampled), ref.l.TraceState
}
