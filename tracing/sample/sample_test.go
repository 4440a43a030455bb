package sample

import (
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"onyxsail/tracing/record"
)

func config() Config {
	return Config{MaxTraces: 20, MaxBytes: 1 << 20, GoodRate: 0.1, MaxRequested: 3, Classes: 3, SlowQuantile: 0.99, SlowMinSamples: 100, Seed: 5}
}

// play offers items and returns what is kept, by key.
func play(s *Sampler, items []Query) map[uint64]Selection {
	held := map[uint64]bool{}
	for _, it := range items {
		hold, drop := s.Offer(it)
		held[it.Key] = hold
		for _, k := range drop {
			held[k] = false
		}
	}
	kept := map[uint64]Selection{}
	for _, k := range s.Flush() {
		if !held[k.Key] {
			panic("kept what was dropped")
		}
		held[k.Key] = false
		kept[k.Key] = k
	}
	for _, still := range held {
		if still {
			panic("held and never decided")
		}
	}
	return kept
}

// Ten times more bad queries than budget, all of one reason, and one failure.
func TestRareReasonSurvivesFlood(t *testing.T) {
	s := New(config())
	var items []Query
	for i := range 200 {
		items = append(items, Query{Key: uint64(i), Class: i % 3, Node: "n", Reasons: record.Late, Size: 100})
	}
	items[117].Reasons = record.Failed
	items[42].Reasons = record.Late | record.Partial // its common reason must not hide the rare one
	kept := play(s, items)
	if len(kept) != 20 {
		t.Errorf("kept %d, want the budget of 20", len(kept))
	}
	if kept[117].Reason != record.Failed || kept[117].Probability != 1 {
		t.Errorf("the failure was lost among the late: %+v", kept[117])
	}
	if kept[42].Reason != record.Partial {
		t.Errorf("the partial answer was lost among the late: %+v", kept[42])
	}
	if c := s.Counts(); c.Shed["late"] != 180 || c.Bad != 200 || c.Kept != 20 {
		t.Errorf("counts %+v", c)
	}
}

// A class or node with few traces keeps them beside one with many.
func TestFairOverClassAndNode(t *testing.T) {
	s := New(config())
	var items []Query
	for i := range 300 {
		it := Query{Key: uint64(i), Reasons: record.Late, Node: "loud", Size: 100}
		switch {
		case i%100 == 50:
			it.Class = 1
		case i%100 == 70:
			it.Node = "quiet"
		}
		items = append(items, it)
	}
	by := map[string]int{}
	for k := range play(s, items) {
		by[items[k].Node+string(rune('0'+items[k].Class))]++
	}
	if by["loud1"] != 3 || by["quiet0"] != 3 || by["loud0"] != 14 {
		t.Errorf("kept %v", by)
	}
}

// Estimates from what is kept, weighted by 1/probability, have the truth as
// their mean, for bad queries over budget as for good ones.
func TestEstimatesAreUnbiased(t *testing.T) {
	const rounds = 400
	var bad, good, weightTook float64
	truth := 0.0
	for round := range rounds {
		c := config()
		c.Seed = uint64(round)
		s := New(c)
		var items []Query
		for i := range 300 {
			it := Query{Key: uint64(i), Latency: time.Duration(i) * time.Millisecond, Size: 100}
			if i%2 == 0 {
				it.Reasons = record.Late
				truth += it.Latency.Seconds() / rounds
			}
			items = append(items, it)
		}
		for k, v := range play(s, items) {
			if v.Reasons == record.Late {
				bad += 1 / v.Probability / rounds
				weightTook += items[k].Latency.Seconds() / v.Probability / rounds
			} else {
				good += 1 / v.Probability / rounds
			}
		}
	}
	// Standard errors of the means, by the sizes of the samples: about 1 for
	// the good ones' number, 0.6 for the time; the bad ones' number is exact.
	if math.Abs(bad-150) > 1e-6 || math.Abs(good-150) > 6 || math.Abs(weightTook-truth) > 2.5 {
		t.Errorf("estimated %.2f bad (150), %.2f good (150), %.2f s (%.2f)", bad, good, weightTook, truth)
	}
}

// One slow class among fast ones: each is judged by its own latencies.
func TestSlowForItsClass(t *testing.T) {
	s := New(config())
	key := uint64(0)
	offer := func(class int, took time.Duration) (hold bool) {
		key++
		hold, _ = s.Offer(Query{Key: key, EndedAt: time.Duration(key) * time.Millisecond, Class: class, Latency: took, Served: true, Size: 10})
		return hold
	}
	for i := range 400 {
		offer(0, 10*time.Millisecond+time.Duration(i%10)*time.Millisecond)
		offer(1, 500*time.Millisecond+time.Duration(i%10)*time.Millisecond)
	}
	s.Flush()
	if !offer(0, 200*time.Millisecond) {
		t.Error("200 ms in a class of 20 ms is not held")
	}
	k := s.Flush()
	if len(k) != 1 || k[0].Reasons != record.Slow {
		t.Errorf("kept %+v, want one slow query", k)
	}
	offer(1, 505*time.Millisecond)
	for _, k := range s.Flush() {
		if k.Reasons&record.Slow != 0 {
			t.Error("505 ms in a class of 500 ms is held for slow")
		}
	}
}

// A caller's flag is honoured within its bound, and a flood of them neither
// crowds out the bad nor is counted as such.
func TestAskedIsBounded(t *testing.T) {
	c := config()
	c.GoodRate = 0
	s := New(c)
	var items []Query
	for i := range 100 {
		items = append(items, Query{Key: uint64(i), Requested: true, Served: true, Size: 100})
	}
	items = append(items, Query{Key: 100, Reasons: record.Expired, Requested: true, Size: 100})
	kept := play(s, items)
	if len(kept) != 4 || kept[100].Reason != record.Expired {
		t.Errorf("kept %v, want three that were asked for and the expired one", kept)
	}
	if got := s.Counts(); got.AskedOver != 98 || got.Bad != 1 {
		t.Errorf("counts %+v", got)
	}
}

// Over random events: neither budget nor memory is exceeded at any moment, a
// reason loses a trace only while no other holds more, time may step, and the
// same inputs give the same verdicts.
func TestSamplerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{
			MaxTraces: rapid.IntRange(1, 12).Draw(t, "budget"), MaxBytes: rapid.IntRange(200, 3000).Draw(t, "bytes"),
			GoodRate: 0.3, MaxRequested: 2, Classes: 3, SlowQuantile: 0.9, SlowMinSamples: 5, Seed: rapid.Uint64().Draw(t, "seed"),
		}
		a, b := New(c), New(c)
		held := map[uint64]Query{}
		reason := map[uint64]record.Reasons{}
		for i := range rapid.IntRange(1, 120).Draw(t, "offers") {
			it := Query{
				Key: uint64(i), EndedAt: time.Duration(rapid.IntRange(-3000, 3000).Draw(t, "at")) * time.Millisecond,
				Class: rapid.IntRange(0, 2).Draw(t, "class"), Node: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "node"),
				Latency: time.Duration(rapid.IntRange(0, 90_000).Draw(t, "took")) * time.Millisecond, Served: rapid.Bool().Draw(t, "served"),
				Reasons: record.Reasons(rapid.IntRange(0, 1<<9-1).Draw(t, "reasons")), Requested: rapid.Bool().Draw(t, "asked"),
				Size: rapid.IntRange(50, 900).Draw(t, "size"),
			}
			hold, drop := a.Offer(it)
			hold2, drop2 := b.Offer(it)
			if hold != hold2 || !reflect.DeepEqual(append([]uint64{}, drop...), append([]uint64{}, drop2...)) {
				t.Fatal("the same inputs gave two verdicts")
			}
			if hold {
				held[it.Key] = it
			}
			for _, k := range drop {
				if _, ok := held[k]; !ok {
					t.Fatalf("dropped %d, which was not held", k)
				}
				delete(held, k)
			}
			bytes := 0
			for _, h := range held {
				bytes += h.Size
			}
			if len(held) > c.MaxTraces || bytes > c.MaxBytes || len(held) != a.held || bytes != a.bytes {
				t.Fatalf("%d held with %d bytes, of %d and %d; counted %d and %d", len(held), bytes, c.MaxTraces, c.MaxBytes, a.held, a.bytes)
			}
			if rapid.IntRange(0, 20).Draw(t, "due") == 0 {
				kept := a.CloseDueWindow(it.EndedAt)
				b.CloseDueWindow(it.EndedAt)
				for _, k := range kept {
					if _, ok := held[k.Key]; !ok || k.Probability <= 0 || k.Probability > 1 || k.Reasons&k.Reason == 0 {
						t.Fatalf("kept %+v", k)
					}
					reason[k.Key] = k.Reason
					delete(held, k.Key)
				}
				if kept != nil && len(held) > 0 {
					t.Fatalf("%d held after the window", len(held))
				}
			}
		}
	})
}
