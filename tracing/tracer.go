// Package tracing records a trace of every query and keeps those that explain why
// a query went badly (tail-based sampling). A Tracer observes the broker's core as
// its Observer and the node clients as their WireObserver. The sampler decides at
// the end of a query whether its trace is kept, and one writer goroutine writes the
// kept traces to the spool and hands them to the exporter.
package tracing

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
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
	// lateOutcomeTimeout is how long, at least, the outcome of an attempt is awaited
	// after its trace was collected. maxLateAttempts bounds both the attempts awaited
	// at once and the late outcomes that wait to be written to the spool.
	lateOutcomeTimeout = 5 * time.Second
	maxLateAttempts    = 4096
	// maxOpenQueries bounds the open queries traced at once, as the core's own limit
	// may be higher or absent. Queries beyond it are not traced.
	maxOpenQueries = 1 << 14
	maxFreeQueries = 64  // discarded queries pooled for reuse
	followerBuffer = 256 // traces buffered for each follower
	// spoolRetryInterval is how often queued spool writes are retried while no trace
	// is held, and how often a spool that could not be opened is tried again.
	spoolRetryInterval = time.Second
)

// Class describes a query class to the tracer. A query refers to it by its index in
// Options.Classes.
type Class struct {
	Name         string
	Objective    time.Duration // an answer within this time is on time
	WorkFactor   float64       // multiple of the query's estimated work that is added to Objective; 0: none
	MaxObjective time.Duration // upper bound of that sum; unused if WorkFactor is 0
}

// Options configure a Tracer.
type Options struct {
	Config  Config // with defaults filled in
	Broker  string // name of the broker instance
	Classes []Class
	Log     zerolog.Logger
	// Write replaces the spool's file writes in tests of disk failures; nil means
	// the file's own Write method.
	Write func(*os.File, []byte) (int, error)
}

// liveQuery is a query that is open, or has ended and awaits the sampler's decision.
type liveQuery struct {
	record.Trace
	arrived   time.Time // with the monotonic reading, which Trace.Received lacks
	class     int       // index in Options.Classes
	tableSlot int       // index in the table of open queries; -1 if it has none
	ended     bool
}

// attemptRef refers to an attempt by its query and its index in the query's Attempts.
type attemptRef struct {
	query *liveQuery
	index int
}

// lateAttempt identifies an attempt that may still answer although its trace has been
// collected.
type lateAttempt struct {
	traceID   record.TraceID
	querySpan record.SpanID
	arrived   time.Time // when its query arrived
	expires   time.Time // removed by the first collection after this time
}

// Tracer records, samples, stores and exports the traces of a broker's queries. It
// implements broker.Observer and broker.WireObserver.
type Tracer struct {
	opts  Options
	start time.Time // origin of all times, by its monotonic reading
	stop  chan struct{}
	wake  chan struct{} // tells the writer goroutine that a trace is held or a late outcome unwritten
	done  sync.WaitGroup

	spool      *spool.Spool     // used by the writer goroutine only; nil without a spool; set under mu
	spoolQueue writeQueue       // used by the writer goroutine only
	exporter   *export.Exporter // nil if no export is configured

	mu                    sync.Mutex
	rng                   *rand.ChaCha8         // of trace and span IDs
	openQueries           directMap[*liveQuery] // by the core's broker.QueryID
	attempts              directMap[attemptRef] // of open and held queries, by the core's broker.AttemptID
	held                  map[uint64]*liveQuery // ended queries that await the sampler's decision, by its key
	lastKey               uint64                // the last key assigned for held
	freeQueries           []*liveQuery          // discarded ones, for reuse
	sampler               *sample.Sampler
	table                 *spool.QueryTable                // of open queries; nil without one
	lateAttempts          map[broker.AttemptID]lateAttempt // by the core's broker.AttemptID
	lateQueue             []broker.AttemptID               // keys of lateAttempts by expiry, including removed ones
	unwrittenLateOutcomes []record.LateOutcome             // of lateAttempts, not yet passed to the spool
	recent                recentTraces
	untracked             int64                       // queries not traced because maxOpenQueries were open
	lateOutcomeCount      int64                       // recorded outcomes that arrived after their attempt was cancelled
	lastSpoolCounts       spool.Counts                // at the end of the last collection that had anything to write
	queuedBytes           int                         // size of spoolQueue at that time
	followers             map[chan *record.Trace]bool // nil once EndFollowers was called
	followerDrops         int64                       // traces that slow followers missed
	tableLossLogged       bool                        // the failure of the table of open queries has been logged
}

// Start starts a tracer. If the spool cannot be opened, Start logs it and traces are
// kept in memory only. It fails if no random seed can be read or the exporter cannot
// be started.
func Start(opts Options) (*Tracer, error) {
	var seed [32]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("seeding the tracer: %w", err)
	}
	cfg := opts.Config
	tracer := &Tracer{
		opts: opts, start: time.Now(), stop: make(chan struct{}), wake: make(chan struct{}, 1), rng: rand.NewChaCha8(seed),
		openQueries: newDirectMap[*liveQuery](512), attempts: newDirectMap[attemptRef](2048), held: map[uint64]*liveQuery{},
		lateAttempts: map[broker.AttemptID]lateAttempt{}, followers: map[chan *record.Trace]bool{},
		recent: recentTraces{maxBytes: cfg.MemoryKB << 10 / 4},
		sampler: sample.New(sample.Config{
			MaxTraces: cfg.BudgetPerS, MaxBytes: cfg.MemoryKB << 10 / 2, GoodRate: cfg.GoodShare, MaxRequested: cfg.AskedPerS, Classes: len(opts.Classes),
			SlowQuantile: cfg.SlowQuantile, SlowMinSamples: 200, Seed: binary.LittleEndian.Uint64(seed[:]),
		}),
	}
	if cfg.Dir != "" { // the spool queue and the recent traces share one memory budget
		tracer.recent.maxBytes /= 2
		tracer.spoolQueue.maxBytes = tracer.recent.maxBytes
		if err := tracer.openSpool(); err != nil {
			opts.Log.Warn().Str("event", "trace-spool").Str("dir", cfg.Dir).Err(err).Msg("the spool cannot be opened; traces are kept in memory only until it can")
		}
	}
	if cfg.OTLP != nil {
		var err error
		tracer.exporter, err = export.New(export.Options{
			Endpoint: cfg.OTLP.Endpoint, Broker: opts.Broker, Timeout: time.Duration(cfg.OTLP.TimeoutMs) * time.Millisecond,
			Limits: export.Limits{MaxTraces: cfg.OTLP.Queue, MaxBytes: cfg.MemoryKB << 10 / 4, MaxBatch: cfg.OTLP.Batch,
				MaxBatchDelay: time.Duration(cfg.OTLP.WaitMs) * time.Millisecond, InitialBackoff: initialBackoff, MaxBackoff: maxBackoff, MaxRetryAfter: maxRetryAfter, MaxAttempts: cfg.OTLP.Tries},
			Seed: binary.LittleEndian.Uint64(seed[8:]), Log: opts.Log, Now: tracer.now,
		})
		if err != nil {
			tracer.closeSpool()
			return nil, err
		}
	}
	tracer.done.Add(1)
	go tracer.runWriter()
	return tracer, nil
}

// now returns the time since the tracer's start.
func (t *Tracer) now() time.Duration { return time.Since(t.start) }

// openSpool opens the spool directory and its table of open queries, and writes the
// traces of the queries that a killed broker left there to the spool. t.spool or
// t.table stays nil if it cannot be opened. The error is that of the spool, which another
// process may hold: the one that this process replaces, until it ends.
func (t *Tracer) openSpool() error {
	cfg, log := t.opts.Config, t.opts.Log
	opened, err := spool.Open(spool.Options{
		Dir: cfg.Dir, Log: log, Now: t.now, Write: t.opts.Write,
		Limits: spool.Limits{SegmentBytes: int64(cfg.SegmentKB) << 10, TotalBytes: int64(cfg.SpoolMB) << 20, MinBackoff: initialBackoff, MaxBackoff: maxBackoff},
	})
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.spool = opened
	t.mu.Unlock()
	table, interrupted, unreadable, err := spool.OpenQueryTable(cfg.Dir, cfg.OpenQueries)
	if err != nil {
		log.Warn().Str("event", "trace-spool").Str("dir", cfg.Dir).Err(err).
			Msg("the table of open queries cannot be opened; queries that are open when the broker is killed will not be reported")
	}
	carried := 0
	for _, trace := range interrupted {
		trace.Broker = t.opts.Broker
		trace.CompleteInterrupted()
		if t.writeTrace(trace) {
			continue
		}
		carried++ // not written to the spool: the new table keeps it for the next start
		if table != nil {
			table.CarryOver(trace)
		}
	}
	if table != nil {
		if err := table.Commit(); err != nil {
			log.Warn().Str("event", "trace-spool").Err(err).Msg("the table of open queries cannot be reset; queries that are open when the broker is killed may not be reported")
		}
		t.mu.Lock()
		t.table = table
		t.mu.Unlock()
	}
	if len(interrupted)+unreadable > 0 {
		log.Warn().Str("event", "trace-interrupted").Int("queries", len(interrupted)).Int("unreadable", unreadable).Int("carried", carried).
			Msg("the previous broker process ended with queries open; `gannetchute trace list --reason interrupted` shows them")
	}
	return nil
}

// retrySpool tries again to open the spool and, once that succeeds, writes the traces kept in memory
// to it. It reports whether it did.
func (t *Tracer) retrySpool() bool {
	if t.openSpool() != nil {
		return false
	}
	t.mu.Lock()
	recent := slices.Clone(t.recent.traces)
	t.mu.Unlock()
	t.writeToSpool(recent, nil)
	t.opts.Log.Info().Str("event", "trace-spool").Int("traces", len(recent)).Msg("the spool is open now; the traces in memory are written to it")
	return true
}

// writeTrace writes a trace to the spool, without the write queue, and reports whether
// that succeeded.
func (t *Tracer) writeTrace(tr *record.Trace) bool {
	data, err := record.Encode(tr)
	return err == nil && t.spool.Append(spool.KindTrace, data) == spool.DropNone
}

// Close ends the followers and the sampler's window, writes and sends the kept traces
// and stops the tracer. Traces that the disk does not accept are not stored. ctx bounds
// the export only. No method may be called after Close.
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

// closeSpool closes the table of open queries and the spool, if they are open.
func (t *Tracer) closeSpool() {
	if t.table != nil {
		if err := t.table.Close(); err != nil {
			t.opts.Log.Warn().Str("event", "trace-spool").Err(err).Msg("closing the table of open queries failed")
		}
	}
	if t.spool != nil {
		if err := t.spool.Close(); err != nil {
			t.opts.Log.Warn().Str("event", "trace-spool").Err(err).Msg("closing the spool failed")
		}
	}
}

// runWriter is the writer goroutine. It collects the kept traces at the end of each of
// the sampler's windows, and sleeps while no trace is held and nothing waits to be
// written. It also opens the spool if that was not possible at the start.
func (t *Tracer) runWriter() {
	defer t.done.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	armed := false              // the timer is set for the end of the window
	var reopen <-chan time.Time // nil: the spool is open, or there is none
	if t.opts.Config.Dir != "" && t.spool == nil {
		ticker := time.NewTicker(spoolRetryInterval)
		defer ticker.Stop()
		reopen = ticker.C
	}
	for {
		select {
		case <-t.stop:
			return
		case <-reopen:
			if t.retrySpool() {
				reopen = nil
			}
		case <-t.wake:
			if armed {
				continue
			}
		case <-timer.C:
			armed = false
			t.collect(false)
		}
		t.mu.Lock()
		windowEnd, waiting := t.sampler.WindowEnd()
		waiting = waiting || len(t.unwrittenLateOutcomes) > 0
		t.mu.Unlock()
		switch {
		case waiting:
			timer.Reset(max(time.Millisecond, windowEnd-t.now()))
		case len(t.spoolQueue.records) > 0:
			timer.Reset(spoolRetryInterval)
		}
		armed = waiting
	}
}

// wakeWriter wakes the writer goroutine. The caller holds t.mu.
func (t *Tracer) wakeWriter() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// collect takes the kept traces from the sampler, if its window is over, and passes
// them to the followers, the exporter and the spool. If final is set, it ends the
// window early. Slots of the table of open queries are freed only after the attempt
// to write their traces to the spool, so that a kill in between loses none. A trace
// that the disk does not accept is from then on in memory only.
func (t *Tracer) collect(final bool) {
	now := time.Now()
	t.mu.Lock()
	var selections []sample.Selection
	if final {
		selections = t.sampler.Flush()
	} else {
		selections = t.sampler.CloseDueWindow(now.Sub(t.start))
	}
	traces, tableSlots := make([]*record.Trace, 0, len(selections)), make([]int, 0, len(selections))
	for _, selection := range selections {
		query := t.held[selection.Key]
		delete(t.held, selection.Key)
		query.Reasons, query.KeepReason, query.Probability = selection.Reasons, selection.Reason, selection.Probability
		t.expectLateOutcomes(query, now)
		t.recent.add(&query.Trace)
		traces, tableSlots = append(traces, &query.Trace), append(tableSlots, query.tableSlot)
		for follower := range t.followers {
			select {
			case follower <- &query.Trace:
			default:
				t.followerDrops++
			}
		}
	}
	for len(t.lateQueue) > 0 && t.lateAttempts[t.lateQueue[0]].expires.Before(now) {
		delete(t.lateAttempts, t.lateQueue[0])
		t.lateQueue = t.lateQueue[1:]
	}
	lateOutcomes := t.unwrittenLateOutcomes
	t.unwrittenLateOutcomes = nil
	if t.table != nil && t.table.Fault() != nil && !t.tableLossLogged {
		t.tableLossLogged = true
		t.opts.Log.Warn().Str("event", "trace-spool").Err(t.table.Fault()).
			Msg("the table of open queries failed; queries that are open when the broker is killed will not be reported")
	}
	t.mu.Unlock()

	if t.exporter != nil {
		for _, tr := range traces {
			t.exporter.Enqueue(tr)
		}
	}
	queuedBefore := len(t.spoolQueue.records)
	if t.spool != nil {
		t.writeToSpool(traces, lateOutcomes)
	}
	if len(traces)+len(lateOutcomes)+queuedBefore == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.spool != nil {
		t.lastSpoolCounts, t.queuedBytes = t.spoolCounts(), t.spoolQueue.bytes
	}
	if t.table != nil {
		for _, slot := range tableSlots {
			t.table.Free(slot)
		}
	}
}

// expectLateOutcomes removes a kept trace's attempts from t.attempts and adds those
// that may still run to lateAttempts: from now on their outcomes are written as
// separate records. The caller holds t.mu.
func (t *Tracer) expectLateOutcomes(query *liveQuery, now time.Time) {
	for i := range query.Attempts {
		attempt := &query.Attempts[i]
		id := broker.AttemptID(attempt.ID)
		if ref, ok := t.attempts.get(attempt.ID); !ok || ref.query != query {
			continue
		}
		t.attempts.remove(attempt.ID)
		if attempt.MayStillRun && !attempt.LateAt.IsSet() && len(t.lateQueue) < maxLateAttempts {
			t.lateAttempts[id] = lateAttempt{query.ID, query.Span, query.arrived, now.Add(lateOutcomeTimeout)}
			t.lateQueue = append(t.lateQueue, id)
		}
	}
}

// newLiveQuery returns the initial trace of a query that the core accepted or turned
// away at time at. It reuses a pooled one if there is any. The caller holds t.mu.
func (t *Tracer) newLiveQuery(q *broker.Query, at time.Time) *liveQuery {
	var query *liveQuery
	if n := len(t.freeQueries); n > 0 {
		query = t.freeQueries[n-1]
		t.freeQueries = t.freeQueries[:n-1]
		*query = liveQuery{Trace: record.Trace{Attempts: query.Attempts[:0]}}
	} else {
		query = &liveQuery{Trace: record.Trace{Attempts: make([]record.Attempt, 0, len(q.Parts)+1)}}
	}
	query.arrived, query.tableSlot, query.class = q.ArrivedAt, -1, q.Class
	query.ID, query.Parent, query.Sampled, query.TraceState = q.Trace.TraceID, q.Trace.ParentID, q.Trace.Sampled, q.Trace.TraceState
	if query.ID == (record.TraceID{}) {
		binary.LittleEndian.PutUint64(query.ID[:], t.rng.Uint64())
		binary.LittleEndian.PutUint64(query.ID[8:], t.rng.Uint64()|1) // an all-zero ID is invalid
	}
	binary.LittleEndian.PutUint64(query.Span[:], t.rng.Uint64()|1)
	query.Broker, query.Query, query.Retry, query.Parts, query.Budget = t.opts.Broker, q.RequestID, q.Retry, len(q.Parts), q.Budget
	// The wall clock is read only when the tracer starts, so that a step of the
	// clock does not shift traces.
	query.Received = t.start.Add(q.ArrivedAt.Sub(t.start)).Round(0)
	query.Accepted = record.OffsetOf(at.Sub(q.ArrivedAt))
	query.Verdict = record.Verdict(record.VerdictOpen)
	if q.Class >= 0 && q.Class < len(t.opts.Classes) {
		class := &t.opts.Classes[q.Class]
		query.Class, query.Objective = class.Name, class.Objective
		if class.WorkFactor > 0 {
			work := 0.0
			for i := range q.Parts {
				work += q.Parts[i].EstimatedWorkMs
			}
			query.Objective = min(query.Objective+time.Duration(class.WorkFactor*work*float64(time.Millisecond)), class.MaxObjective)
		}
	}
	return query
}

// QueryReceived implements broker.Observer. It starts the trace of a query, unless too
// many are open.
func (t *Tracer) QueryReceived(id broker.QueryID, q *broker.Query, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.openQueries.count >= maxOpenQueries {
		t.untracked++
		return
	}
	query := t.newLiveQuery(q, at)
	t.openQueries.put(uint64(id), query)
	if t.table != nil {
		query.tableSlot = t.table.Add(&query.Trace)
	}
}

// QueryTurnedAway implements broker.Observer. It records a query that was refused
// because the core's queue was full.
func (t *Tracer) QueryTurnedAway(q *broker.Query, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	query := t.newLiveQuery(q, at)
	t.endQuery(query, &broker.Reply{Verdict: broker.Refused}, at)
}

// AttemptOpened implements broker.Observer. It adds an attempt to its query's trace.
func (t *Tracer) AttemptOpened(info broker.AttemptInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	query, _ := t.openQueries.get(uint64(info.QueryID))
	if query == nil {
		return
	}
	query.Attempts = append(query.Attempts, record.Attempt{
		ID: uint64(info.ID), Span: record.AttemptSpan(query.Span, uint64(info.ID)), Shard: info.Shard, Number: info.Index, Node: info.Node, Cell: info.Cell,
		Reason: record.AttemptReason(info.Reason), Suspected: info.Suspected, Opened: record.OffsetOf(info.OpenedAt.Sub(query.arrived)), Outcome: record.OutcomePending,
	})
	index := len(query.Attempts) - 1
	t.attempts.put(uint64(info.ID), attemptRef{query, index})
	if query.tableSlot >= 0 {
		t.table.PutAttempt(query.tableSlot, index, &query.Attempts[index])
	}
}

// AttemptCancelled implements broker.Observer. It records when the core cancelled an
// attempt.
func (t *Tracer) AttemptCancelled(id broker.AttemptID, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ref, ok := t.attempts.get(uint64(id)); ok {
		ref.query.Attempts[ref.index].Abandoned = record.OffsetOf(at.Sub(ref.query.arrived))
	}
}

// AttemptEnded implements broker.Observer. It records the outcome of an attempt, unless
// the query has ended before.
func (t *Tracer) AttemptEnded(id broker.AttemptID, outcome decide.Outcome, cause broker.EndCause, firstByteAt, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ref, ok := t.attempts.get(uint64(id))
	if !ok || ref.query.ended {
		return // endQuery has ended the attempt
	}
	attempt := &ref.query.Attempts[ref.index]
	if !firstByteAt.IsZero() {
		attempt.FirstByte = record.OffsetOf(firstByteAt.Sub(ref.query.arrived))
	}
	attempt.End(outcome, cause != broker.EndedByNode, record.OffsetOf(at.Sub(ref.query.arrived)))
	if ref.query.tableSlot >= 0 {
		t.table.PutOutcome(ref.query.tableSlot, ref.index, attempt)
	}
}

// NodeSuspected implements broker.Observer. It marks the open attempts at a node that
// becomes suspected.
func (t *Tracer) NodeSuspected(node string, suspected bool, _ time.Time) {
	if !suspected {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts.forEach(func(ref attemptRef) {
		if attempt := &ref.query.Attempts[ref.index]; attempt.Node == node && !attempt.Ended.IsSet() {
			attempt.Suspected = true
		}
	})
}

// QueryEnded implements broker.Observer. It ends the trace of a query.
func (t *Tracer) QueryEnded(id broker.QueryID, reply *broker.Reply, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if query, ok := t.openQueries.get(uint64(id)); ok {
		t.openQueries.remove(uint64(id))
		t.endQuery(query, reply, at)
	}
}

// endQuery ends a query and its open attempts and offers its trace to the sampler.
// The caller holds t.mu.
func (t *Tracer) endQuery(query *liveQuery, reply *broker.Reply, at time.Time) {
	query.ended = true
	query.Ended = record.OffsetOf(at.Sub(query.arrived))
	query.Verdict, query.Complete, query.RetryAfter = record.Verdict(reply.Verdict), reply.Complete, reply.RetryAfter
	for i := range query.Attempts {
		if attempt := &query.Attempts[i]; !attempt.Ended.IsSet() {
			// No answer came: the core cancels the attempt, but the node may still
			// execute it.
			attempt.End(decide.Cancelled, true, query.Ended)
		}
	}
	query.Reasons = query.DeriveReasons()
	t.lastKey++
	key, node := t.lastKey, ""
	if query.Reasons != 0 {
		node = query.WorstNode()
	}
	hold, dropped := t.sampler.Offer(sample.Query{
		Key: key, EndedAt: at.Sub(t.start), Class: query.class, Node: node, Latency: query.Ended.Duration(),
		Served: reply.Verdict == broker.Served, Reasons: query.Reasons, Requested: query.Sampled, Size: query.MemoryBytes(),
	})
	for _, droppedKey := range dropped {
		if droppedQuery := t.held[droppedKey]; droppedQuery != nil {
			delete(t.held, droppedKey)
			t.discard(droppedQuery)
		}
	}
	if !hold {
		t.discard(query)
		return
	}
	if t.held[key] = query; len(t.held) == 1 {
		t.wakeWriter()
	}
	if query.tableSlot >= 0 {
		t.table.EndQuery(query.tableSlot, &query.Trace)
	}
}

// discard frees the table slot of a query whose trace is not kept and returns the query
// to the pool. The caller holds t.mu.
func (t *Tracer) discard(query *liveQuery) {
	for i := range query.Attempts {
		t.attempts.remove(query.Attempts[i].ID)
	}
	if query.tableSlot >= 0 {
		t.table.Free(query.tableSlot)
	}
	if len(t.freeQueries) < maxFreeQueries {
		t.freeQueries = append(t.freeQueries, query)
	}
}

// PhaseReached implements broker.WireObserver. It records an attempt's address, and when
// its connection was dialed or established or its last byte sent.
func (t *Tracer) PhaseReached(id broker.AttemptID, phase broker.WirePhase, addr string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ref, ok := t.attempts.get(uint64(id))
	if !ok || ref.query.ended {
		return
	}
	attempt, offset := &ref.query.Attempts[ref.index], record.OffsetOf(at.Sub(ref.query.arrived))
	attempt.Addr = addr
	switch phase {
	case broker.WireConnecting:
		attempt.DialStarted = offset
	case broker.WireConnected:
		attempt.Connected = offset
	case broker.WireSent:
		attempt.Sent = offset
		if ref.query.tableSlot >= 0 {
			t.table.PutSent(ref.query.tableSlot, ref.index, offset)
		}
		return
	}
	if ref.query.tableSlot >= 0 {
		t.table.PutAttempt(ref.query.tableSlot, ref.index, attempt)
	}
}

// LateOutcome implements broker.WireObserver. It records an outcome that arrived after
// the attempt was cancelled: in the trace until that is collected, afterwards as a
// separate record and in the copy of the trace in memory.
func (t *Tracer) LateOutcome(id broker.AttemptID, lateOutcome decide.Outcome, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ref, ok := t.attempts.get(uint64(id)); ok {
		attempt, outcome := &ref.query.Attempts[ref.index], record.Outcome(lateOutcome)
		attempt.LateAt, attempt.LateOutcome = record.OffsetOf(at.Sub(ref.query.arrived)), &outcome
		t.lateOutcomeCount++
		return
	}
	if ref, ok := t.lateAttempts[id]; ok {
		delete(t.lateAttempts, id) // its entry in lateQueue is removed once it is the first
		late := record.LateOutcome{ID: ref.traceID, Span: ref.querySpan, Attempt: uint64(id), At: record.OffsetOf(at.Sub(ref.arrived)), Outcome: record.Outcome(lateOutcome)}
		t.recent.applyLateOutcome(late)
		t.lateOutcomeCount++
		if t.spool != nil && len(t.unwrittenLateOutcomes) < maxLateAttempts {
			t.unwrittenLateOutcomes = append(t.unwrittenLateOutcomes, late)
			t.wakeWriter()
		}
	}
}

// TraceHeaders implements broker.WireObserver. It returns the W3C trace context headers
// of an attempt's request, with the attempt as the parent; both are empty if the attempt
// is not traced.
func (t *Tracer) TraceHeaders(id broker.AttemptID) (traceparent, tracestate string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ref, ok := t.attempts.get(uint64(id))
	if !ok {
		return "", ""
	}
	return tracecontext.FormatTraceparent(ref.query.ID, ref.query.Attempts[ref.index].Span, ref.query.Sampled), ref.query.TraceState
}
