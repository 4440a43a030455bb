// Package critical computes the critical path of a query: the part that determined its
// end, the attempts that delayed that part, and how the time divides into phases. It
// also attributes the time that bad queries lost to phases, nodes, cells and reasons of
// attempts. It does no I/O and reads no clock.
package critical

import (
	"time"

	"onyxsail/decide"
	"onyxsail/tracing/record"
)

// Phase is a category of time on the critical path.
type Phase string

// The phases, in the order in which a query passes through them.
const (
	PhaseQueue         Phase = "queue"   // from the arrival of its last byte until the core dequeued it
	PhasePlacement     Phase = "place"   // in the core, until the first attempt of the part was opened
	PhaseStalled       Phase = "stalled" // at an earlier attempt that was still pending, until the next one was opened: a copy that came too late
	PhaseFailedAttempt Phase = "lost"    // at an earlier attempt that ended without an answer
	PhaseRetryDelay    Phase = "again"   // in the core, from the end of an earlier attempt until the next one was opened
	PhaseConnect       Phase = "connect" // waiting for a connection to be established
	PhaseSend          Phase = "send"    // until the last byte of the part was sent
	PhaseNode          Phase = "node"    // at the node, until the first byte of its answer
	PhaseRead          Phase = "read"    // until the core had the complete answer
	PhaseFinish        Phase = "finish"  // in the core, from the end of the decisive attempt to the end of the query
)

// Phases returns all phases, in the order in which a query passes through them.
func Phases() []Phase {
	return []Phase{PhaseQueue, PhasePlacement, PhaseStalled, PhaseFailedAttempt, PhaseRetryDelay, PhaseConnect, PhaseSend, PhaseNode, PhaseRead, PhaseFinish}
}

// Segment is a time interval of the critical path that belongs to one phase.
type Segment struct {
	Phase   Phase         `json:"phase"`
	From    time.Duration `json:"from"` // since the arrival of the query, like To
	To      time.Duration `json:"to"`
	Attempt int           `json:"attempt"` // index into the trace's attempts, -1: none
}

// Duration returns the length of the segment.
func (s Segment) Duration() time.Duration { return s.To - s.From }

// Path is the critical path of one query. Its segments are contiguous from the
// arrival of the query to its end, and none is empty.
type Path struct {
	Shard           int       `json:"shard"`    // of the part that determined the end of the query; -1 if no attempt did
	DecisiveAttempt int       `json:"decisive"` // the attempt that determined it, as an index into the trace's attempts; -1: none
	Segments        []Segment `json:"segments"`
}

// PhaseTotal returns the total time of one phase.
func (p *Path) PhaseTotal(phase Phase) time.Duration {
	var sum time.Duration
	for _, s := range p.Segments {
		if s.Phase == phase {
			sum += s.Duration()
		}
	}
	return sum
}

// pathBuilder builds a path of contiguous segments.
type pathBuilder struct {
	path Path
	at   time.Duration // end of the path so far, since the arrival of the query
	end  time.Duration // end of the query
}

// extendTo extends the path by a segment up to a time, but not beyond the end of the
// query. A time before the end of the path adds nothing: the times were read in
// several goroutines and need not be in order.
func (b *pathBuilder) extendTo(until time.Duration, phase Phase, attempt int) {
	if until = min(until, b.end); until > b.at {
		b.path.Segments = append(b.path.Segments, Segment{phase, b.at, until, attempt})
		b.at = until
	}
}

// PathOf computes the critical path of a trace.
func PathOf(t *record.Trace) Path {
	builder := &pathBuilder{end: t.Elapsed()}
	builder.path.Shard, builder.path.DecisiveAttempt = -1, -1
	builder.extendTo(t.Accepted.Duration(), PhaseQueue, -1)
	decisiveIndex := decisiveAttempt(t, builder.end)
	if decisiveIndex < 0 {
		builder.extendTo(builder.end, PhasePlacement, -1)
		return builder.path
	}
	decisive := &t.Attempts[decisiveIndex]
	builder.path.Shard, builder.path.DecisiveAttempt = decisive.Shard, decisiveIndex
	first := true
	for i := range t.Attempts { // in the order in which they were opened
		earlier := &t.Attempts[i]
		if earlier.Shard != decisive.Shard || i == decisiveIndex || earlier.Opened > decisive.Opened {
			continue
		}
		builder.extendToOpening(earlier, first)
		first = false
		// Until the decisive attempt was opened, the part waited for this one: up
		// to its end if it had ended by then, else up to the next attempt.
		if earlier.Ended.IsSet() && earlier.Ended <= decisive.Opened {
			builder.extendTo(earlier.Ended.Duration(), PhaseFailedAttempt, i)
		} else if next := nextAttempt(t, earlier, decisive); next != nil {
			builder.extendTo(next.Opened.Duration(), PhaseStalled, i)
		}
	}
	builder.extendToOpening(decisive, first)
	if decisive.DialStarted.IsSet() {
		connected := decisive.Connected
		if !connected.IsSet() {
			connected = decisive.Ended
		}
		if connected.IsSet() {
			builder.extendTo(connected.Duration(), PhaseConnect, decisiveIndex)
		} else {
			builder.extendTo(builder.end, PhaseConnect, decisiveIndex)
		}
	}
	if decisive.Sent.IsSet() {
		builder.extendTo(decisive.Sent.Duration(), PhaseSend, decisiveIndex)
		if decisive.FirstByte.IsSet() {
			builder.extendTo(decisive.FirstByte.Duration(), PhaseNode, decisiveIndex)
		}
	}
	lastPhase := PhaseNode
	switch {
	case decisive.FirstByte.IsSet():
		lastPhase = PhaseRead
	case !decisive.Sent.IsSet():
		lastPhase = PhaseSend
	}
	if decisive.Ended.IsSet() {
		builder.extendTo(decisive.Ended.Duration(), lastPhase, decisiveIndex)
		builder.extendTo(builder.end, PhaseFinish, -1)
	} else {
		builder.extendTo(builder.end, lastPhase, decisiveIndex)
	}
	return builder.path
}

// extendToOpening extends the path to the opening of an attempt, which may be the
// first of its part.
func (b *pathBuilder) extendToOpening(a *record.Attempt, first bool) {
	phase := PhaseRetryDelay
	if first {
		phase = PhasePlacement
	}
	b.extendTo(a.Opened.Duration(), phase, -1)
}

// nextAttempt returns the attempt of the same part that follows earlier, if it was opened
// no later than the decisive one, else the decisive one.
func nextAttempt(t *record.Trace, earlier, decisive *record.Attempt) *record.Attempt {
	for i := range t.Attempts {
		if candidate := &t.Attempts[i]; candidate.Shard == earlier.Shard && candidate != earlier && candidate.Number > earlier.Number && candidate.Opened <= decisive.Opened {
			return candidate
		}
	}
	return decisive
}

// decisiveAttempt returns the index of the attempt that determined the end of the
// query, -1 if there is none. The part is the one that ended last: of the answered ones
// if the query was served, else of those without an answer, if there are any. Of that
// part it is the attempt that won or, if none did, the one that ended last. end is the
// end of the query.
func decisiveAttempt(t *record.Trace, end time.Duration) int {
	best, bestEndedAt, bestAnswered := -1, time.Duration(-1), true
	seen := map[int]bool{}
	for i := range t.Attempts {
		shard := t.Attempts[i].Shard
		if seen[shard] {
			continue
		}
		seen[shard] = true
		endedAt, index, answered := partEnd(t, shard, end)
		// A part without an answer takes precedence over any answered part, as it
		// left the query without an answer. A query that was served did not wait
		// for such a part.
		served := t.Ended.IsSet() && t.Verdict == 0
		switch {
		case served && !answered:
			continue
		case best < 0, !answered && bestAnswered, answered == bestAnswered && endedAt > bestEndedAt:
			best, bestEndedAt, bestAnswered = index, endedAt, answered
		}
	}
	return best
}

// partEnd returns when a part was answered or, if it never was, when its last attempt
// ended, the index of that attempt, and whether the part was answered. No time is later
// than end, the end of the query, which stands in for a missing end of an attempt.
func partEnd(t *record.Trace, shard int, end time.Duration) (endedAt time.Duration, index int, answered bool) {
	index, endedAt = -1, -1
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
		if index < 0 || ok && (!answered || ended < endedAt) || !ok && !answered && ended >= endedAt {
			endedAt, index, answered = ended, i, ok
		}
	}
	return endedAt, index, answered
}
