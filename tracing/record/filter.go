package record

import (
	"strings"
	"time"
)

// Filter picks traces. Zero fields pick all.
type Filter struct {
	ID     string    `json:"id,omitempty"` // the beginning of the trace's id, or a query's own id
	Class  string    `json:"class,omitempty"`
	Reason Reasons   `json:"reason,omitempty"` // any of these
	Node   string    `json:"node,omitempty"`   // that an attempt went to
	Since  time.Time `json:"since,omitzero"`
	Until  time.Time `json:"until,omitzero"`
	Longer int64     `json:"longer,omitempty"` // nanoseconds that it took at least
	Bad    bool      `json:"bad,omitempty"`    // only queries with a reason beside Asked and Usual
	Limit  int       `json:"limit,omitempty"`  // the latest so many; 0: all
}

// Match says whether a trace is picked, Limit apart.
func (f Filter) Match(t *Trace) bool {
	switch {
	case f.ID != "" && !strings.HasPrefix(t.ID.String(), f.ID) && t.Query != f.ID,
		f.Class != "" && t.Class != f.Class,
		f.Reason != 0 && t.Reasons&f.Reason == 0,
		f.Bad && t.Reasons&^(Asked|Usual) == 0,
		!f.Since.IsZero() && t.Came.Before(f.Since),
		!f.Until.IsZero() && !t.Came.Before(f.Until),
		f.Longer > 0 && int64(t.Took()) < f.Longer:
		return false
	}
	if f.Node == "" {
		return true
	}
	for i := range t.Attempts {
		if t.Attempts[i].Node == f.Node {
			return true
		}
	}
	return false
}

// Last cuts traces, in the order of their coming, to Limit.
func (f Filter) Last(traces []*Trace) []*Trace {
	if f.Limit > 0 && len(traces) > f.Limit {
		return traces[len(traces)-f.Limit:]
	}
	return traces
}
