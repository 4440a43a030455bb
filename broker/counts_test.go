package broker

import (
	"context"
	"testing"
	"time"

	"onyxsail/decide"
)

// Each final reply must count once, for its own class. Adding classes must not reset or mix
// up the counts of the existing ones.
func TestVerdictsAreCountedPerClass(t *testing.T) {
	c := New(Options{Settings: decide.Settings{Classes: make([]decide.Class, 2)}})
	verdicts := []Verdict{Served, Served, Refused, Failed, Expired, Duplicate, ClientLeft}
	for _, v := range verdicts {
		c.countersOf(1).count(v)
	}
	c.growCounters(3)
	c.countersOf(2).count(Served)
	c.countersOf(1).count(Served)
	c.countersOf(7).count(Served) // no such class
	got, want := c.ClassCounts(), []ClassCounts{{}, {3, 1, 3}, {1, 0, 0}}
	if len(got) != len(want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("class %d: got %+v, want %+v", i, got[i], want[i])
		}
	}
}

// If the core does not answer in time, RosterCounts returns the last result rather than zeros.
func TestRosterCountsReturnsLastResultWhenCoreIsBusy(t *testing.T) {
	c := New(Options{Settings: decide.Settings{Classes: make([]decide.Class, 1)}}) // its Run is not started
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	if got := c.RosterCounts(expired); got != (RosterCounts{}) {
		t.Errorf("before any result: got %+v, want zeros", got)
	}
	c.lastRosterCounts.Store(&RosterCounts{Listed: 3, OutOfRotation: 1})
	if got := c.RosterCounts(expired); got != (RosterCounts{3, 1}) {
		t.Errorf("got %+v, want the last result", got)
	}
}

// A suspected node counts as out of rotation only when it has been sent nothing for a while,
// as probation attempts keep it in rotation. A draining node counts at once, and one that is
// gone is not listed.
func TestSuspectedNodeIsOutOfRotationOnlyWhenIdle(t *testing.T) {
	class := decide.Class{ObjectiveMs: 1000, DeadlineMs: 3000, Effect: decide.Safe, Worth: 1, CompleteShare: 1, MinShare: 1}
	c := New(Options{Settings: decide.Settings{Roots: 1, TickMs: 1, Cells: 1, CellsPerShard: 1, MaxAttempts: 3, Classes: []decide.Class{class}}})
	now := time.Now()
	for addr, state := range map[decide.Addr]decide.State{1: decide.Ready, 2: decide.Draining, 3: decide.Removed} {
		c.nodes[addr] = &nodeState{Node: Node{State: state}, lastSentAt: now}
	}
	c.root.Step(1000, []decide.Event{
		{Kind: decide.ListUpdate, List: decide.ListFull, Members: []decide.Member{{Addr: 1, Size: 1}}},
		{Kind: decide.QueryArrived, ID: 10, TimeLeftMs: 2000, Number: 10, Parts: 1},
		{Kind: decide.PartArrived, ID: 11, TimeLeftMs: 2000, Number: 10, Weight: 1},
	}, nil)
	c.root.Step(1001, []decide.Event{{Kind: decide.AttemptDone, ID: 11, Addr: 1, Outcome: decide.Rejected, ElapsedMs: 1}}, nil)
	if !c.root.Unhealthy(1) {
		t.Fatal("a failing node is not suspected")
	}
	for sinceSent, wantOut := range map[time.Duration]int{0: 1, outOfRotationAfter: 1, outOfRotationAfter + time.Millisecond: 2} {
		if got := c.countRoster(now.Add(sinceSent)); got != (RosterCounts{Listed: 2, OutOfRotation: wantOut}) {
			t.Errorf("%v after an attempt: %+v, want %d out of rotation", sinceSent, got, wantOut)
		}
	}
}

// BenchmarkQueryCounters measures what counting adds to a query with four parts: one final
// reply and four attempts. A query costs the core some 60 microseconds.
func BenchmarkQueryCounters(b *testing.B) {
	c := New(Options{Settings: decide.Settings{Classes: make([]decide.Class, 4)}})
	for b.Loop() {
		c.countersOf(2).count(Served)
		for range 4 {
			c.stats.attempts.Add(1)
		}
	}
}
