package critical

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"onyxsail/decide"
	"onyxsail/tracing/record"
)

// offsetMs returns the offset of an event, in milliseconds after the query's arrival.
func offsetMs(ms int) record.Offset { return record.OffsetOf(time.Duration(ms) * time.Millisecond) }

const ok = record.Outcome(decide.OK)

// newAttempt returns an attempt that was sent at once on an established connection.
// opened, answer (the first byte) and ended are in milliseconds after the query's
// arrival; an answer or ended of 0 stands for an event that did not happen.
func newAttempt(shard, number int, node string, reason record.AttemptReason, opened, answer, ended int, outcome record.Outcome) record.Attempt {
	a := record.Attempt{ID: uint64(100*shard + number), Shard: shard, Number: number, Node: node, Reason: reason, Opened: offsetMs(opened), Sent: offsetMs(opened), Outcome: outcome}
	if answer > 0 {
		a.FirstByte = offsetMs(answer)
	}
	if ended > 0 {
		a.Ended = offsetMs(ended)
	}
	return a
}

// newTrace returns the trace of a query that the core accepted after 1 ms and that ended
// after the given number of milliseconds.
func newTrace(ended int, verdict record.Verdict, attempts ...record.Attempt) *record.Trace {
	return &record.Trace{Class: "screen", Accepted: offsetMs(1), Ended: offsetMs(ended), Verdict: verdict, Probability: 1, Attempts: attempts}
}

// formatSegments returns a path as text: for each segment its phase, its duration in
// milliseconds and, after "@", the index of its attempt.
func formatSegments(p Path) string {
	text := ""
	for _, segment := range p.Segments {
		text += fmt.Sprintf("%s %d@%d ", segment.Phase, segment.Duration().Milliseconds(), segment.Attempt)
	}
	return text
}

// The path must follow the part and the attempt that determined the end of the query.
func TestPathFollowsTheDecisiveAttempt(t *testing.T) {
	dialed := newAttempt(1, 0, "a", 0, 2, 80, 90, ok)
	dialed.DialStarted, dialed.Connected, dialed.Sent = offsetMs(0), offsetMs(30), offsetMs(35)
	unsent := newAttempt(1, 0, "a", 0, 2, 0, 0, record.OutcomePending)
	unsent.Sent = 0
	for _, c := range []struct {
		name  string
		trace *record.Trace
		want  string
	}{
		{"refused before any attempt", newTrace(5, 1), "queue 1@-1 place 4@-1 "},
		{"the part that ended last is decisive", newTrace(70, 0, newAttempt(1, 0, "a", 0, 2, 10, 12, ok), newAttempt(2, 0, "b", 0, 2, 60, 65, ok)),
			"queue 1@-1 place 1@-1 node 58@1 read 5@1 finish 5@-1 "},
		{"a connection is established first", newTrace(95, 0, dialed), "queue 1@-1 place 1@-1 connect 28@0 send 5@0 node 45@0 read 10@0 finish 5@-1 "},
		{"a copy wins: the time before it counts as stalled at the first attempt", newTrace(130, 0,
			newAttempt(1, 0, "a", 0, 2, 0, 130, record.Outcome(decide.Cancelled)), newAttempt(1, 1, "b", 1, 100, 120, 125, ok)),
			"queue 1@-1 place 1@-1 stalled 98@0 node 20@1 read 5@1 finish 5@-1 "},
		{"a copy loses: it is not on the path", newTrace(130, 0,
			newAttempt(1, 0, "a", 0, 2, 120, 125, ok), newAttempt(1, 1, "b", 1, 100, 0, 130, record.Outcome(decide.Cancelled))),
			"queue 1@-1 place 1@-1 node 118@0 read 5@0 finish 5@-1 "},
		{"a retry after a failure", newTrace(90, 0,
			newAttempt(1, 0, "a", 0, 2, 30, 30, record.Outcome(decide.Failed)), newAttempt(1, 1, "b", 2, 40, 80, 85, ok)),
			"queue 1@-1 place 1@-1 lost 28@0 again 10@-1 node 40@1 read 5@1 finish 5@-1 "},
		{"an attempt that never answers", newTrace(500, 3, newAttempt(1, 0, "a", 0, 2, 10, 12, ok), newAttempt(2, 0, "b", 0, 2, 0, 480, record.Outcome(decide.TimedOut))),
			"queue 1@-1 place 1@-1 node 478@1 finish 20@-1 "},
		{"an attempt whose last byte is never sent", newTrace(500, 3, unsent), "queue 1@-1 place 1@-1 send 498@0 "},
	} {
		if got := formatSegments(PathOf(c.trace)); got != c.want {
			t.Errorf("%s:\n got %s\nwant %s", c.name, got, c.want)
		}
	}
}

// For any offsets, even contradictory ones, the segments must be contiguous and add up
// to the elapsed time of the query.
func TestPathSegmentsAreContiguousAndCoverTheQuery(t *testing.T) {
	offset := rapid.Custom(func(t *rapid.T) record.Offset { return record.Offset(rapid.Int64Range(0, 60).Draw(t, "offset")) })
	rapid.Check(t, func(t *rapid.T) {
		tr := &record.Trace{Accepted: offset.Draw(t, "taken"), Ended: offset.Draw(t, "ended"), Verdict: record.Verdict(rapid.IntRange(0, 6).Draw(t, "verdict"))}
		for range rapid.IntRange(0, 8).Draw(t, "attempts") {
			tr.Attempts = append(tr.Attempts, record.Attempt{
				Shard: rapid.IntRange(0, 2).Draw(t, "shard"), Number: rapid.IntRange(0, 2).Draw(t, "n"),
				Opened: offset.Draw(t, "opened"), DialStarted: offset.Draw(t, "dialed"), Connected: offset.Draw(t, "up"), Sent: offset.Draw(t, "gone"),
				FirstByte: offset.Draw(t, "answer"), Ended: offset.Draw(t, "end"), Outcome: record.Outcome(rapid.IntRange(0, 8).Draw(t, "outcome")),
			})
		}
		p, end := PathOf(tr), time.Duration(0)
		for _, s := range p.Segments {
			if s.From != end || s.To <= s.From || s.Attempt >= len(tr.Attempts) {
				t.Fatalf("segment %+v does not continue the path, which ends at %v", s, end)
			}
			end = s.To
		}
		if end != tr.Elapsed() {
			t.Fatalf("the path ends at %v, the query took %v", end, tr.Elapsed())
		}
	})
}

// Only time beyond the baseline may count as lost. It must be weighted by the inverse
// sampling probability and attributed to the node at which it was spent.
func TestLostTimeIsWeightedAndAttributedToItsNode(t *testing.T) {
	baseline := newTrace(22, 0, newAttempt(1, 0, "a", 0, 2, 18, 20, ok))
	baseline.Reasons = record.Baseline
	late := newTrace(222, 0, newAttempt(1, 0, "b", 0, 2, 218, 220, ok))
	late.Attempts[0].Cell = 2
	late.Reasons, late.Probability = record.Late, 0.25
	report := AttributeLostTime([]*record.Trace{baseline, late})
	if report.Traces != 2 || report.BadTraces != 1 || report.BaselineTraces != 1 || report.Queries != 4 || report.LostTime != 800*time.Millisecond {
		t.Fatalf("got report %+v, want a bad and a baseline trace, and 800 ms lost in 4 queries", report)
	}
	top := report.Combined[0]
	if top.Node != "b" || top.Phase != PhaseNode || top.Cell != "2" || top.AttemptReason != "first" || top.LostTime != 800*time.Millisecond || top.Share != 1 {
		t.Errorf("first combined row: got %+v, want all 800 ms at node b in cell 2, by a first attempt", top)
	}
	if report.Reasons["late"] != 1 || len(report.Nodes) != 1 || report.Cells[0].Queries != 4 {
		t.Errorf("got report %+v, want one late trace, a single node, and 4 queries in the first cell", report)
	}
}
