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

// ring holds the latest kept traces within a bound of bytes. They are shared
// with readers and never changed: a note makes a copy.
type ring struct {
	traces []*record.Trace
	bytes  int
	most   int
}

func (r *ring) add(t *record.Trace) {
	r.traces = append(r.traces, t)
	r.bytes += t.MemoryBytes()
	n := 0
	for r.bytes > r.most {
		r.bytes -= r.traces[n].MemoryBytes()
		r.traces[n] = nil // or the array's start would keep it
		n++
	}
	r.traces = r.traces[n:]
}

func (r *ring) note(n record.LateOutcome) {
	for i, t := range r.traces {
		if t.ID == n.ID && t.Span == n.Span {
			c := *t
			c.Attempts = append([]record.Attempt(nil), t.Attempts...)
			n.Apply(&c)
			r.traces[i] = &c
			return
		}
	}
}

// Read returns what is kept and matches: the spool's traces and those in memory,
// each once, in the order of their coming. bad names what could not be read.
func (t *Tracer) Read(f record.Filter) (traces []*record.Trace, bad []spool.Unreadable, err error) {
	t.mu.Lock()
	recent := append([]*record.Trace(nil), t.recent.traces...)
	t.mu.Unlock()
	if t.spool != nil {
		if traces, bad, err = spool.Read(t.opts.Config.Dir, f.Match, f.Limit); err != nil {
			return nil, nil, err
		}
	}
	seen := make(map[record.SpanID]bool, len(traces))
	for _, tr := range traces {
		seen[tr.Span] = true
	}
	for _, tr := range recent {
		if !seen[tr.Span] && f.Match(tr) {
			traces = append(traces, tr)
		}
	}
	slices.SortStableFunc(traces, func(a, b *record.Trace) int { return cmp.Compare(a.Received.UnixNano(), b.Received.UnixNano()) })
	return f.Latest(traces), bad, nil
}

// Follow calls f with each trace that is kept from now on and matches, until
// ctx ends, f fails or followers are ended. A reader that is too slow misses
// traces, which Counts tells.
func (t *Tracer) Follow(ctx context.Context, filter record.Filter, f func(*record.Trace) error) error {
	ch := make(chan *record.Trace, maxFollow)
	t.mu.Lock()
	if t.follow == nil { // they have been ended
		t.mu.Unlock()
		return nil
	}
	t.follow[ch] = true
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.follow, ch)
		t.mu.Unlock()
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case tr, ok := <-ch:
			if !ok {
				return nil
			}
			if filter.Match(tr) {
				if err := f(tr); err != nil {
					return err
				}
			}
		}
	}
}

// EndFollowers ends all calls of Follow, and those to come: a broker that is
// told to stop waits for its clients' streams, which these would never end.
func (t *Tracer) EndFollowers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for ch := range t.follow {
		close(ch)
	}
	t.follow = nil
}

// Counts is what the tracer tells of itself.
type Counts struct {
	Open       int            `json:"open"`
	Held       int            `json:"held"` // over, and waiting for the sampler
	Recent     int            `json:"recent"`
	Bytes      int            `json:"bytes"` // of the traces in memory
	Sampled    sample.Counts  `json:"sampled"`
	Unseen     int64          `json:"unseen"`     // queries that were not followed
	NoSlot     int64          `json:"no_slot"`    // queries that a kill would leave no evidence of
	Late       int64          `json:"late"`       // outcomes that came after all
	Following  int            `json:"following"`  // readers that follow
	Unfollowed int64          `json:"unfollowed"` // traces that a slow one missed
	Spool      *spool.Counts  `json:"spool,omitempty"`
	Export     *export.Counts `json:"export,omitempty"`
}

// Counts returns the totals since the start.
func (t *Tracer) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Counts{
		Open: t.open.n, Held: len(t.held), Recent: len(t.recent.traces), Bytes: t.recent.bytes + t.owing,
		Sampled: t.sampler.Counts(), Unseen: t.unseen, Late: t.noted, Following: len(t.follow), Unfollowed: t.missed,
	}
	t.open.each(func(l *live) { c.Bytes += l.MemoryBytes() })
	for _, l := range t.held {
		c.Bytes += l.MemoryBytes()
	}
	if t.table != nil {
		c.NoSlot = t.table.Overflows()
	}
	if t.spool != nil {
		s := t.spooled
		c.Spool = &s
	}
	if t.exporter != nil {
		e := t.exporter.Counts()
		c.Bytes += e.Bytes
		c.Export = &e
	}
	return c
}

// ReadDir reads a spool's folder, also of a broker that is dead.
func ReadDir(dir string, f record.Filter) ([]*record.Trace, []spool.Unreadable, error) {
	return spool.Read(dir, f.Match, f.Limit)
}
