// Package critical tells where a query's time went: the part that ended last,
// the attempts that made it late, and how that time divides into phases. It has
// no I/O and no clock.
package critical

import (
	"time"

	"onyxsail/decide"
	"onyxsail/tracing/record"
)

// Phase is a kind of time on the critical path.
type Phase string

// The phases, in the order in which a query meets them.
const (
	Queue   Phase = "queue"   // from its last byte until the core took it
	Place   Phase = "place"   // in the core, until the part's first attempt
	Stalled Phase = "stalled" // at an earlier attempt that was still out, until the copy: it came too late
	Lost    Phase = "lost"    // at an earlier attempt that ended without an answer
	Again   Phase = "again"   // in the core, from that end until the further attempt
	Connect Phase = "connect" // for a connection that was being made
	Send    Phase = "send"    // until the last byte of the part had left
	Node    Phase = "node"    // at the node, until the first byte of its answer
	Read    Phase = "read"    // until the answer was whole and the core had it
	Finish  Phase = "finish"  // in the core, from the last part to the query's end
)

// Phases are all phases in their order.
func Phases() []Phase {
	return []Phase{Queue, Place, Stalled, Lost, Again, Connect, Send, Node, Read, Finish}
}

// Segment is a stretch of the critical path.
type Segment struct {
	Phase   Phase         `json:"phase"`
	From    time.Duration `json:"from"` // since the query came, as To
	To      time.Duration `json:"to"`
	Attempt int           `json:"attempt"` // index among the trace's attempts, -1 for none
}

// Took is the segment's length.
func (s Segment) Took() time.Duration { return s.To - s.From }

// Path is the critical path of one query. Its segments follow each other
// without gaps from the query's coming to its end, and none is empty.
type Path struct {
	Shard    int       `json:"shard"`    // of the part that ended last; -1 where no part was ever placed
	Decisive int       `json:"decisive"` // the attempt that ended it, index among the trace's; -1 for none
	Segments []Segment `json:"segments"`
}

// Total is the time of one phase.
func (p *Path) Total(phase Phase) time.Duration {
	var sum time.Duration
	for _, s := range p.Segments {
		if s.Phase == phase {
			sum += s.Took()
		}
	}
	return sum
}

// builder puts segments end to end.
type builder struct {
	path Path
	at   time.Duration
	end  time.Duration
}

// to extends the path up to a moment. What lies before the path's end or
// beyond the query's adds nothing: clocks of several threads meet here.
func (b *builder) to(t time.Duration, phase Phase, attempt int) {
	if t = min(t, b.end); t > b.at {
		b.path.Segments = append(b.path.Segments, Segment{phase, b.at, t, attempt})
		b.at = t
	}
}

// Of computes the critical path of a trace.
func Of(t *record.Trace) Path {
	b := &builder{end: t.Elapsed()}
	b.path.Shard, b.path.Decisive = -1, -1
	b.to(t.Accepted.Duration(), Queue, -1)
	last := decisive(t, b.end)
	if last < 0 {
		b.to(b.end, Place, -1)
		return b.path
	}
	a := &t.Attempts[last]
	b.path.Shard, b.path.Decisive = a.Shard, last
	first := true
	for i := range t.Attempts { // in the order in which they were opened
		e := &t.Attempts[i]
		if e.Shard != a.Shard || i == last || e.Opened > a.Opened {
			continue
		}
		b.opened(e, first)
		first = false
		// Until the decisive attempt was opened the part hung on this one: to
		// its end where it had ended by then, else all the while.
		if e.Ended.IsSet() && e.Ended <= a.Opened {
			b.to(e.Ended.Duration(), Lost, i)
		} else if next := openedAfter(t, e, a); next != nil {
			b.to(next.Opened.Duration(), Stalled, i)
		}
	}
	b.opened(a, first)
	if a.DialStarted.IsSet() {
		up := a.Connected
		if !up.IsSet() {
			up = a.Ended
		}
		if up.IsSet() {
			b.to(up.Duration(), Connect, last)
		} else {
			b.to(b.end, Connect, last)
		}
	}
	if a.Sent.IsSet() {
		b.to(a.Sent.Duration(), Send, last)
		if a.FirstByte.IsSet() {
			b.to(a.FirstByte.Duration(), Node, last)
		}
	}
	rest := Node
	switch {
	case a.FirstByte.IsSet():
		rest = Read
	case !a.Sent.IsSet():
		rest = Send
	}
	if a.Ended.IsSet() {
		b.to(a.Ended.Duration(), rest, last)
		b.to(b.end, Finish, -1)
	} else {
		b.to(b.end, rest, last)
	}
	return b.path
}

// opened brings the path to an attempt's opening.
func (b *builder) opened(a *record.Attempt, first bool) {
	phase := Again
	if first {
		phase = Place
	}
	b.to(a.Opened.Duration(), phase, -1)
}

// openedAfter is the next attempt of the same part after e, a at the latest.
func openedAfter(t *record.Trace, e, a *record.Attempt) *record.Attempt {
	for i := range t.Attempts {
		if x := &t.Attempts[i]; x.Shard == e.Shard && x != e && x.Number > e.Number && x.Opened <= a.Opened {
			return x
		}
	}
	return a
}

// decisive finds the attempt on which the query's end hung: of the parts the
// one that was in, or given up, last; of its attempts the winner, or else the
// one that ended last.
func decisive(t *record.Trace, end time.Duration) int {
	best, bestAt, bestWon := -1, time.Duration(-1), true
	seen := map[int]bool{}
	for i := range t.Attempts {
		shard := t.Attempts[i].Shard
		if seen[shard] {
			continue
		}
		seen[shard] = true
		at, index, won := partEnd(t, shard, end)
		// A part that never came in outweighs any that did: without it there
		// was no answer, unless the query was served without it.
		served := t.Ended.IsSet() && t.Verdict == 0
		switch {
		case served && !won:
			continue
		case best < 0, !won && bestWon, won == bestWon && at > bestAt:
			best, bestAt, bestWon = index, at, won
		}
	}
	return best
}

// partEnd is when a part was in, or last given up, and by which attempt.
func partEnd(t *record.Trace, shard int, end time.Duration) (at time.Duration, index int, won bool) {
	index, at = -1, -1
	for i := range t.Attempts {
		a := &t.Attempts[i]
		if a.Shard != shard {
			continue
		}
		ended := end
		if a.Ended.IsSet() {
			ended = min(end, a.Ended.Duration())
		}
		ok := a.Outcome == record.Outcome(decide.OK)
		if index < 0 || ok && (!won || ended < at) || !ok && !won && ended >= at {
			at, index, won = ended, i, ok
		}
	}
	return at, index, won
}
