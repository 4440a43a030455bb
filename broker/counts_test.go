package broker

import (
	"context"
	"testing"
	"time"

	"onyxsail/decide"
)

// Each final answer counts once for its class; classes that come later have counts of their
// own, and the ones before go on.
func TestClassCounts(t *testing.T) {
	c := New(Options{Settings: decide.Settings{Classes: make([]decide.Class, 2)}})
	answers := []Verdict{Served, Served, Refused, Failed, Expired, Duplicate, Left}
	for _, v := range answers {
		c.counters(1).count(v)
	}
	c.growCounters(3)
	c.counters(2).count(Served)
	c.counters(1).count(Served)
	c.counters(7).count(Served) // no class of the settings
	got, want := c.Classes(), []ClassCounts{{}, {3, 1, 3}, {1, 0, 0}}
	if len(got) != len(want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("class %d: got %+v, want %+v", i, got[i], want[i])
		}
	}
}

// A survey that the core does not answer returns the latest one.
func TestSurveyOfABusyCore(t *testing.T) {
	c := New(Options{Settings: decide.Settings{Classes: make([]decide.Class, 1)}}) // Run is not called
	over, cancel := context.WithCancel(context.Background())
	cancel()
	if got := c.Survey(over); got != (Survey{}) {
		t.Errorf("before any: %+v", got)
	}
	c.surveyed.Store(&Survey{Listed: 3, Avoided: 1})
	if got := c.Survey(over); got != (Survey{3, 1}) {
		t.Errorf("got %+v", got)
	}
}

// A node in doubt counts as avoided once it has been sent nothing for a while; one that
// drains does at once, and one that is gone is not on the list.
func TestSurvey(t *testing.T) {
	safe := decide.Class{ObjectiveMs: 1000, DeadlineMs: 3000, Effect: decide.Safe, Worth: 1, CompleteShare: 1, MinShare: 1}
	c := New(Options{Settings: decide.Settings{Roots: 1, TickMs: 1, Cells: 1, CellsPerShard: 1, MaxAttempts: 3, Classes: []decide.Class{safe}}})
	now := time.Now()
	for addr, state := range map[decide.Addr]decide.State{1: decide.Ready, 2: decide.Draining, 3: decide.Removed} {
		c.nodes[addr] = &node{Node: Node{State: state}, sent: now}
	}
	c.root.Step(1000, []decide.Event{
		{Kind: decide.ListUpdate, List: decide.ListFull, Members: []decide.Member{{Addr: 1, Size: 1}}},
		{Kind: decide.QueryArrived, ID: 10, TimeLeftMs: 2000, Number: 10, Parts: 1},
		{Kind: decide.PartArrived, ID: 11, TimeLeftMs: 2000, Number: 10, Weight: 1},
	}, nil)
	c.root.Step(1001, []decide.Event{{Kind: decide.AttemptDone, ID: 11, Addr: 1, Outcome: decide.Rejected, ElapsedMs: 1}}, nil)
	if !c.root.Unhealthy(1) {
		t.Fatal("a node that fails is not in doubt")
	}
	for ago, avoided := range map[time.Duration]int{0: 1, avoidedFor: 1, avoidedFor + time.Millisecond: 2} {
		if got := c.survey(now.Add(ago)); got != (Survey{Listed: 2, Avoided: avoided}) {
			t.Errorf("%v after an attempt: %+v, want %d avoided", ago, got, avoided)
		}
	}
}

// BenchmarkMetrics is what the counts add to a query: its one final answer and one attempt
// for each of four parts. A query costs the core some 60 microseconds.
func BenchmarkMetrics(b *testing.B) {
	c := New(Options{Settings: decide.Settings{Classes: make([]decide.Class, 4)}})
	for b.Loop() {
		c.counters(2).count(Served)
		for range 4 {
			c.stats.attempts.Add(1)
		}
	}
}
