package sample

import (
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"onyxsail/tracing/record"
)

// testConfig returns a configuration that keeps up to 20 traces per window.
func testConfig() Config {
	return Config{MaxTraces: 20, MaxBytes: 1 << 20, GoodRate: 0.1, MaxRequested: 3, Classes: 3, SlowQuantile: 0.99, SlowMinSamples: 100, Seed: 5}
}

// run offers queries to a sampler, ends its window and returns the selected traces by
// key. It panics if a trace that is not held is selected, or one that is held is not.
func run(s *Sampler, queries []Query) map[uint64]Selection {
	held := map[uint64]bool{}
	for _, query := range queries {
		hold, dropped := s.Offer(query)
		held[query.Key] = hold
		for _, key := range dropped {
			held[key] = false
		}
	}
	kept := map[uint64]Selection{}
	for _, selection := range s.Flush() {
		if !held[selection.Key] {
			panic("a dropped trace was selected")
		}
		held[selection.Key] = false
		kept[selection.Key] = selection
	}
	for _, still := range held {
		if still {
			panic("a held trace was neither dropped nor selected")
		}
	}
	return kept
}

// With ten times more bad queries than the budget, nearly all late, the one failure and
// the one partial answer must still be kept.
func TestRareReasonSurvivesFlood(t *testing.T) {
	s := New(testConfig())
	var queries []Query
	for i := range 200 {
		queries = append(queries, Query{Key: uint64(i), Class: i % 3, Node: "n", Reasons: record.Late, Size: 100})
	}
	queries[117].Reasons = record.Failed
	queries[42].Reasons = record.Late | record.Partial // its common reason must not hide its rare one
	kept := run(s, queries)
	if len(kept) != 20 {
		t.Errorf("kept %d traces, want the budget of 20", len(kept))
	}
	if kept[117].Reason != record.Failed || kept[117].Probability != 1 {
		t.Errorf("the failed query: got %+v, want it kept as failed with probability 1", kept[117])
	}
	if kept[42].Reason != record.Partial {
		t.Errorf("the partial answer: got %+v, want it kept as partial", kept[42])
	}
	if c := s.Counts(); c.Shed["late"] != 180 || c.Bad != 200 || c.Kept != 20 {
		t.Errorf("got counts %+v, want 200 bad, 20 kept and 180 late ones shed", c)
	}
}

// A class or node with few traces must keep them all next to one with many.
func TestSmallClassAndNodeKeepTheirTraces(t *testing.T) {
	s := New(testConfig())
	var queries []Query
	for i := range 300 {
		query := Query{Key: uint64(i), Reasons: record.Late, Node: "loud", Size: 100}
		switch {
		case i%100 == 50:
			query.Class = 1
		case i%100 == 70:
			query.Node = "quiet"
		}
		queries = append(queries, query)
	}
	keptBy := map[string]int{}
	for key := range run(s, queries) {
		keptBy[queries[key].Node+string(rune('0'+queries[key].Class))]++
	}
	if keptBy["loud1"] != 3 || keptBy["quiet0"] != 3 || keptBy["loud0"] != 14 {
		t.Errorf("kept by node and class: got %v, want loud1: 3, quiet0: 3, loud0: 14", keptBy)
	}
}

// Estimates from the kept traces, weighted by the inverse of their probability, must be
// unbiased, both for bad queries beyond the budget and for sampled good ones.
func TestEstimatesAreUnbiased(t *testing.T) {
	const rounds = 400
	var bad, good, badSeconds float64
	trueBadSeconds := 0.0
	for round := range rounds {
		cfg := testConfig()
		cfg.Seed = uint64(round)
		s := New(cfg)
		var queries []Query
		for i := range 300 {
			query := Query{Key: uint64(i), Latency: time.Duration(i) * time.Millisecond, Size: 100}
			if i%2 == 0 {
				query.Reasons = record.Late
				trueBadSeconds += query.Latency.Seconds() / rounds
			}
			queries = append(queries, query)
		}
		for key, selection := range run(s, queries) {
			if selection.Reasons == record.Late {
				bad += 1 / selection.Probability / rounds
				badSeconds += queries[key].Latency.Seconds() / selection.Probability / rounds
			} else {
				good += 1 / selection.Probability / rounds
			}
		}
	}
	// By the sample sizes, the standard error of the mean is about 1 for the number of
	// good queries and 0.6 s for the latencies of the bad ones. The estimated number of
	// bad queries is exact, apart from rounding.
	if math.Abs(bad-150) > 1e-6 || math.Abs(good-150) > 6 || math.Abs(badSeconds-trueBadSeconds) > 2.5 {
		t.Errorf("estimated %.2f bad queries (want 150), %.2f good ones (want 150), %.2f s in bad ones (want %.2f)", bad, good, badSeconds, trueBadSeconds)
	}
}

// A query must count as slow relative to the latencies of its own class, not to those
// of faster or slower classes.
func TestSlowIsRelativeToTheClass(t *testing.T) {
	s := New(testConfig())
	key := uint64(0)
	offer := func(class int, latency time.Duration) (hold bool) {
		key++
		hold, _ = s.Offer(Query{Key: key, EndedAt: time.Duration(key) * time.Millisecond, Class: class, Latency: latency, Served: true, Size: 10})
		return hold
	}
	for i := range 400 {
		offer(0, 10*time.Millisecond+time.Duration(i%10)*time.Millisecond)
		offer(1, 500*time.Millisecond+time.Duration(i%10)*time.Millisecond)
	}
	s.Flush()
	if !offer(0, 200*time.Millisecond) {
		t.Error("a query of 200 ms in a class of at most 20 ms is not held")
	}
	selections := s.Flush()
	if len(selections) != 1 || selections[0].Reasons != record.Slow {
		t.Errorf("kept %+v, want one query, as slow", selections)
	}
	offer(1, 505*time.Millisecond)
	for _, selection := range s.Flush() {
		if selection.Reasons&record.Slow != 0 {
			t.Error("a query of 505 ms in a class of 500 to 509 ms is kept as slow")
		}
	}
}

// Traces requested by callers must be kept up to their limit only. A flood of requests
// must neither displace bad queries nor count as bad.
func TestRequestedTracesAreLimited(t *testing.T) {
	cfg := testConfig()
	cfg.GoodRate = 0
	s := New(cfg)
	var queries []Query
	for i := range 100 {
		queries = append(queries, Query{Key: uint64(i), Requested: true, Served: true, Size: 100})
	}
	queries = append(queries, Query{Key: 100, Reasons: record.Expired, Requested: true, Size: 100})
	kept := run(s, queries)
	if len(kept) != 4 || kept[100].Reason != record.Expired {
		t.Errorf("kept %v, want three requested traces and the expired one", kept)
	}
	if got := s.Counts(); got.AskedOver != 98 || got.Bad != 1 {
		t.Errorf("got counts %+v, want 98 requests over the limit and one bad query", got)
	}
}

// For random queries, with times that step back and forth: the limits of traces and bytes
// must hold at any time, only held traces may be dropped or selected, and the same seed
// and inputs must give the same decisions.
func TestSamplerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			MaxTraces: rapid.IntRange(1, 12).Draw(t, "budget"), MaxBytes: rapid.IntRange(200, 3000).Draw(t, "bytes"),
			GoodRate: 0.3, MaxRequested: 2, Classes: 3, SlowQuantile: 0.9, SlowMinSamples: 5, Seed: rapid.Uint64().Draw(t, "seed"),
		}
		a, b := New(cfg), New(cfg)
		held := map[uint64]Query{}
		reason := map[uint64]record.Reasons{}
		for i := range rapid.IntRange(1, 120).Draw(t, "offers") {
			query := Query{
				Key: uint64(i), EndedAt: time.Duration(rapid.IntRange(-3000, 3000).Draw(t, "at")) * time.Millisecond,
				Class: rapid.IntRange(0, 2).Draw(t, "class"), Node: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "node"),
				Latency: time.Duration(rapid.IntRange(0, 90_000).Draw(t, "took")) * time.Millisecond, Served: rapid.Bool().Draw(t, "served"),
				Reasons: record.Reasons(rapid.IntRange(0, 1<<9-1).Draw(t, "reasons")), Requested: rapid.Bool().Draw(t, "asked"),
				Size: rapid.IntRange(50, 900).Draw(t, "size"),
			}
			hold, dropped := a.Offer(query)
			hold2, dropped2 := b.Offer(query)
			if hold != hold2 || !reflect.DeepEqual(append([]uint64{}, dropped...), append([]uint64{}, dropped2...)) {
				t.Fatal("the same inputs gave different decisions")
			}
			if hold {
				held[query.Key] = query
			}
			for _, key := range dropped {
				if _, ok := held[key]; !ok {
					t.Fatalf("dropped %d, which was not held", key)
				}
				delete(held, key)
			}
			bytes := 0
			for _, h := range held {
				bytes += h.Size
			}
			if len(held) > cfg.MaxTraces || bytes > cfg.MaxBytes || len(held) != a.held || bytes != a.bytes {
				t.Fatalf("%d traces held with %d bytes, limits are %d and %d; sampler counts %d and %d", len(held), bytes, cfg.MaxTraces, cfg.MaxBytes, a.held, a.bytes)
			}
			if rapid.IntRange(0, 20).Draw(t, "due") == 0 {
				selected := a.CloseDueWindow(query.EndedAt)
				b.CloseDueWindow(query.EndedAt)
				for _, selection := range selected {
					if _, ok := held[selection.Key]; !ok || selection.Probability <= 0 || selection.Probability > 1 || selection.Reasons&selection.Reason == 0 {
						t.Fatalf("selected %+v, want a held trace with one of its reasons and a probability above 0 and up to 1", selection)
					}
					reason[selection.Key] = selection.Reason
					delete(held, selection.Key)
				}
				if selected != nil && len(held) > 0 {
					t.Fatalf("%d traces still held after the window", len(held))
				}
			}
		}
	})
}
