package broker

import (
	"context"
	"testing"

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
