package critical

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"onyxsail/decide"
	"onyxsail/tracing/record"
)

func at(ms int) record.Offset { return record.OffsetOf(time.Duration(ms) * time.Millisecond) }

const ok = record.Outcome(decide.OK)

// attempt is one that went over an open connection at once.
func attempt(shard, n int, node string, why record.AttemptReason, opened, answer, ended int, o record.Outcome) record.Attempt {
	a := record.Attempt{ID: uint64(100*shard + n), Shard: shard, Number: n, Node: node, Reason: why, Opened: at(opened), Sent: at(opened), Outcome: o}
	if answer > 0 {
		a.FirstByte = at(answer)
	}
	if ended > 0 {
		a.Ended = at(ended)
	}
	return a
}

func trace(ended int, v record.Verdict, attempts ...record.Attempt) *record.Trace {
	return &record.Trace{Class: "screen", Accepted: at(1), Ended: at(ended), Verdict: v, Probability: 1, Attempts: attempts}
}

func text(p Path) string {
	s := ""
	for _, g := range p.Segments {
		s += fmt.Sprintf("%s %d@%d ", g.Phase, g.Took().Milliseconds(), g.Attempt)
	}
	return s
}

func TestPaths(t *testing.T) {
	dialed := attempt(1, 0, "a", 0, 2, 80, 90, ok)
	dialed.DialStarted, dialed.Connected, dialed.Sent = at(0), at(30), at(35)
	stuck := attempt(1, 0, "a", 0, 2, 0, 0, record.OutcomePending)
	stuck.Sent = 0
	for _, c := range []struct {
		name  string
		trace *record.Trace
		want  string
	}{
		{"refused before any attempt", trace(5, 1), "queue 1@-1 place 4@-1 "},
		{"the part that ended last decides", trace(70, 0, attempt(1, 0, "a", 0, 2, 10, 12, ok), attempt(2, 0, "b", 0, 2, 60, 65, ok)),
			"queue 1@-1 place 1@-1 node 58@1 read 5@1 finish 5@-1 "},
		{"a connection was made first", trace(95, 0, dialed), "queue 1@-1 place 1@-1 connect 28@0 send 5@0 node 45@0 read 10@0 finish 5@-1 "},
		{"a copy wins: the wait for it was lost to the first", trace(130, 0,
			attempt(1, 0, "a", 0, 2, 0, 130, record.Outcome(decide.Cancelled)), attempt(1, 1, "b", 1, 100, 120, 125, ok)),
			"queue 1@-1 place 1@-1 stalled 98@0 node 20@1 read 5@1 finish 5@-1 "},
		{"a copy loses: nothing hung on it", trace(130, 0,
			attempt(1, 0, "a", 0, 2, 120, 125, ok), attempt(1, 1, "b", 1, 100, 0, 130, record.Outcome(decide.Cancelled))),
			"queue 1@-1 place 1@-1 node 118@0 read 5@0 finish 5@-1 "},
		{"a further try after a failure", trace(90, 0,
			attempt(1, 0, "a", 0, 2, 30, 30, record.Outcome(decide.Failed)), attempt(1, 1, "b", 2, 40, 80, 85, ok)),
			"queue 1@-1 place 1@-1 lost 28@0 again 10@-1 node 40@1 read 5@1 finish 5@-1 "},
		{"an attempt that never answers", trace(500, 3, attempt(1, 0, "a", 0, 2, 10, 12, ok), attempt(2, 0, "b", 0, 2, 0, 480, record.Outcome(decide.TimedOut))),
			"queue 1@-1 place 1@-1 node 478@1 finish 20@-1 "},
		{"its last byte never left", trace(500, 3, stuck), "queue 1@-1 place 1@-1 send 498@0 "},
	} {
		if got := text(Of(c.trace)); got != c.want {
			t.Errorf("%s:\n got %s\nwant %s", c.name, got, c.want)
		}
	}
}

// Whatever the offsets are, the segments follow each other and add up to the
// query's time.
func TestPathIsWhole(t *testing.T) {
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
		p, now := Of(tr), time.Duration(0)
		for _, s := range p.Segments {
			if s.From != now || s.To <= s.From || s.Attempt >= len(tr.Attempts) {
				t.Fatalf("segment %+v at %v", s, now)
			}
			now = s.To
		}
		if now != tr.Elapsed() {
			t.Fatalf("the path ends at %v, the query took %v", now, tr.Elapsed())
		}
	})
}

// Lost time is what goes beyond the usual, counted by the probability of
// keeping, and lands at the node that had it.
func TestWhy(t *testing.T) {
	usual := trace(22, 0, attempt(1, 0, "a", 0, 2, 18, 20, ok))
	usual.Reasons = record.Baseline
	late := trace(222, 0, attempt(1, 0, "b", 0, 2, 218, 220, ok))
	late.Attempts[0].Cell = 2
	late.Reasons, late.Probability = record.Late, 0.25
	table := Why([]*record.Trace{usual, late})
	if table.Traces != 2 || table.Bad != 1 || table.Usual != 1 || table.Queries != 4 || table.Lost != 800*time.Millisecond {
		t.Fatalf("got %+v", table)
	}
	top := table.Top[0]
	if top.Node != "b" || top.Phase != Node || top.Cell != "2" || top.Why != "first" || top.Lost != 800*time.Millisecond || top.Share != 1 {
		t.Errorf("top %+v", top)
	}
	if table.Reasons["late"] != 1 || len(table.Nodes) != 1 || table.Cells[0].Queries != 4 {
		t.Errorf("got %+v", table)
	}
}
