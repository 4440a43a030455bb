package record

import (
	"strings"
	"time"
)

// Filter selects traces. A zero field matches every trace.
type Filter struct {
	ID          string    `json:"id,omitempty"` // prefix of the trace ID, or the exact query ID
	Class       string    `json:"class,omitempty"`
	Reasons     Reasons   `json:"reason,omitempty"` // at least one of these
	AttemptNode string    `json:"node,omitempty"`   // some attempt went to this node
	Since       time.Time `json:"since,omitzero"`   // received at this time or later
	Until       time.Time `json:"until,omitzero"`   // received before this time
	MinDuration int64     `json:"longer,omitempty"` // lower bound of Elapsed, in nanoseconds
	BadOnly     bool      `json:"bad,omitempty"`    // only queries with a reason other than Requested and Baseline
	Limit       int       `json:"limit,omitempty"`  // maximum number of traces, of which the latest are returned; 0: unlimited
}

// Match reports whether a trace satisfies every condition except Limit.
func (f Filter) Match(t *Trace) bool {
	switch {
	case f.ID != "" && !strings.HasPrefix(t.ID.String(), f.ID) && t.Query != f.ID,
		f.Class != "" && t.Class != f.Class,
		f.Reasons != 0 && t.Reasons&f.Reasons == 0,
		f.BadOnly && t.Reasons&^(Requested|Baseline) == 0,
		!f.Since.IsZero() && t.Received.Before(f.Since),
		!f.Until.IsZero() && !t.Received.Before(f.Until),
		f.MinDuration > 0 && int64(t.Elapsed()) < f.MinDuration:
		return false
	}
	if f.AttemptNode == "" {
		return true
	}
	for i := range t.Attempts {
		if t.Attempts[i].Node == f.AttemptNode {
			return true
		}
	}
	return false
}

// Latest returns the last Limit of the traces, which must be in order of arrival, or all
// if Limit is 0.
func (f Filter) Latest(traces []*Trace) []*Trace {
	if f.Limit > 0 && len(traces) > f.Limit {
		return traces[len(traces)-f.Limit:]
	}
	return traces
}
