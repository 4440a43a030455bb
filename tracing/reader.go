package tracing

import (
	"cmp"
	"context"
	"slices"

	"onyxsail/tracing/export"
	"onyxsail/tracing/record"
	"onyxsail/tracing/sample"
	"onyxsail/tracing/spool"
)

// recentTraces holds the most recently kept traces, oldest first, up to maxBytes.
// Traces are shared with readers and immutable: applyLateOutcome replaces a trace by an
// updated copy.
type recentTraces struct {
	traces   []*record.Trace
	bytes    int // size of the traces, by Trace.MemoryBytes
	maxBytes int // upper bound of bytes
}

// add adds a trace and removes the oldest traces to stay within maxBytes.
func (r *recentTraces) add(t *record.Trace) {
	r.traces = append(r.traces, t)
	r.bytes += t.MemoryBytes()
	evicted := 0
	for r.bytes > r.maxBytes {
		r.bytes -= r.traces[evicted].MemoryBytes()
		r.traces[evicted] = nil // so that the backing array does not retain the trace
		evicted++
	}
	r.traces = r.traces[evicted:]
}

// applyLateOutcome stores a late outcome in its trace, if that is still held.
func (r *recentTraces) applyLateOutcome(late record.LateOutcome) {
	for i, t := range r.traces {
		if t.ID == late.ID && t.Span == late.Span {
			updated := *t
			updated.Attempts = append([]record.Attempt(nil), t.Attempts...)
			late.Apply(&updated)
			r.traces[i] = &updated
			return
		}
	}
}

// Read returns the kept traces that match the filter, from the spool and from memory,
// without duplicates, in order of arrival, and of those the latest filter.Limit.
// unreadable lists what could not be read from the spool.
func (t *Tracer) Read(filter record.Filter) (traces []*record.Trace, unreadable []spool.Unreadable, err error) {
	t.mu.Lock()
	recent := append([]*record.Trace(nil), t.recent.traces...)
	hasSpool := t.spool != nil
	t.mu.Unlock()
	if hasSpool {
		if traces, unreadable, err = spool.Read(t.opts.Config.Dir, filter.Match, filter.Limit); err != nil {
			return nil, nil, err
		}
	}
	seen := make(map[record.SpanID]bool, len(traces))
	for _, tr := range traces {
		seen[tr.Span] = true
	}
	for _, tr := range recent {
		if !seen[tr.Span] && filter.Match(tr) {
			traces = append(traces, tr)
		}
	}
	slices.SortStableFunc(traces, func(a, b *record.Trace) int { return cmp.Compare(a.Received.UnixNano(), b.Received.UnixNano()) })
	return filter.Latest(traces), unreadable, nil
}

// Follow calls deliver with each matching trace that is kept from now on, until ctx
// ends, deliver fails or EndFollowers is called. It returns the error of deliver, else
// nil; filter.Limit does not apply. A follower that is too slow misses traces, which
// Counts reports as FollowerDrops.
func (t *Tracer) Follow(ctx context.Context, filter record.Filter, deliver func(*record.Trace) error) error {
	traces := make(chan *record.Trace, followerBuffer)
	t.mu.Lock()
	if t.followers == nil { // EndFollowers has been called
		t.mu.Unlock()
		return nil
	}
	t.followers[traces] = true
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.followers, traces)
		t.mu.Unlock()
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case tr, ok := <-traces:
			if !ok {
				return nil
			}
			if filter.Match(tr) {
				if err := deliver(tr); err != nil {
					return err
				}
			}
		}
	}
}

// EndFollowers ends all current and future calls of Follow. A broker that shuts
// down waits for its clients' streams, and a follower's stream would never end by
// itself.
func (t *Tracer) EndFollowers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for follower := range t.followers {
		close(follower)
	}
	t.followers = nil
}

// Counts holds the tracer's totals since the start and its current sizes.
type Counts struct {
	Open          int            `json:"open"`   // open queries that are traced
	Held          int            `json:"held"`   // ended queries that await the sampler's decision
	Recent        int            `json:"recent"` // most recently kept traces in memory
	Bytes         int            `json:"bytes"`  // estimated size of all traces in memory, including queued ones
	Sampled       sample.Counts  `json:"sampled"`
	Untracked     int64          `json:"unseen"`           // queries not traced because too many were open
	NoSlot        int64          `json:"no_slot"`          // queries that found no free slot in the table of open queries: not reported after a kill
	LateOutcomes  int64          `json:"late"`             // recorded outcomes that arrived after their attempt was cancelled
	Followers     int            `json:"following"`        // current calls of Follow
	FollowerDrops int64          `json:"unfollowed"`       // traces that slow followers missed
	Spool         *spool.Counts  `json:"spool,omitempty"`  // as of the last collection with anything to write; nil without a spool
	Export        *export.Counts `json:"export,omitempty"` // nil without an export
}

// Counts returns the totals since the start and the current sizes.
func (t *Tracer) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Counts{
		Open: t.openQueries.count, Held: len(t.held), Recent: len(t.recent.traces), Bytes: t.recent.bytes + t.queuedBytes,
		Sampled: t.sampler.Counts(), Untracked: t.untracked, LateOutcomes: t.lateOutcomeCount, Followers: len(t.followers), FollowerDrops: t.followerDrops,
	}
	t.openQueries.forEach(func(l *liveQuery) { c.Bytes += l.MemoryBytes() })
	for _, l := range t.held {
		c.Bytes += l.MemoryBytes()
	}
	if t.table != nil {
		c.NoSlot = t.table.Overflows()
	}
	if t.spool != nil {
		s := t.lastSpoolCounts
		c.Spool = &s
	}
	if t.exporter != nil {
		e := t.exporter.Counts()
		c.Bytes += e.Bytes
		c.Export = &e
	}
	return c
}

// ReadDir reads the matching traces of a spool directory, whether or not its broker is
// running, in order of arrival, and of those the latest filter.Limit. It also returns
// what could not be read.
func ReadDir(dir string, filter record.Filter) ([]*record.Trace, []spool.Unreadable, error) {
	return spool.Read(dir, filter.Match, filter.Limit)
}
