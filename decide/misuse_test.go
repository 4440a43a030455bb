package decide

import (
	"math"
	"testing"
)

// Bad use by a caller must be harmless: no panic, and no send to a replica that
// was never listed.
func TestBadUseIsHarmless(t *testing.T) {
	for _, cells := range []int{0, 1} {
		s := settings()
		s.Cells, s.CellsPerShard = cells, 1
		r := New(s, 1)
		now := 1000.0
		step := func(events ...Event) []Action { return r.Step(now, events, nil) } // time stands still
		step(Event{Kind: ListUpdate, List: ListCached})                            // an empty list
		step(
			Event{Kind: AttemptDone, ID: 99, Attempt: 3, Outcome: OK},
			Event{Kind: ClientDisconnected, ID: 99},
			Event{Kind: PartArrived, ID: 98, Number: 7, Weight: 1},
			Event{Kind: ProbeDone, Addr: 5},
			Event{Kind: TimerFired, Token: 1},
			Event{Kind: StreamStarted, ID: 99, Addr: 5},
			Event{Kind: PeerMessage, Peer: 4},
			Event{Kind: EventKind(200)},
		)
		for _, class := range []int{len(s.Classes), -1} {
			acts := step(Event{Kind: QueryArrived, ID: 1, Class: class, TimeLeftMs: 1000, Number: 1})
			if len(acts) == 0 || acts[0].Kind != Refuse {
				t.Errorf("cells %d: query of class %d: %v, want a refusal", cells, class, acts)
			}
		}
		step(Event{Kind: ListUpdate, List: ListFull, Members: []Member{{Addr: 5, State: Ready, Cell: -3}}})
		acts := step(
			Event{Kind: QueryArrived, ID: 2, TimeLeftMs: 1000, Number: 2, Tenant: -1, Parts: 2},
			Event{Kind: PartArrived, ID: 3, Number: 2, Shard: -5, Weight: 0.5},
			Event{Kind: PartArrived, ID: 4, Number: 2, Shard: 1 << 40, Weight: 0.5},
		)
		for _, a := range acts {
			if a.Kind == Send && a.Addr != 5 {
				t.Errorf("cells %d: sent to %d, which was never listed", cells, a.Addr)
			}
			if math.IsNaN(a.Ms) {
				t.Errorf("cells %d: %+v holds no number", cells, a)
			}
		}
		done := Event{Kind: AttemptDone, ID: 3, Outcome: OK}
		step(done, done, Event{Kind: AttemptDone, ID: 3, Attempt: -1, Outcome: OK})
		now += 5000
		step()
		if n := len(r.parts) + len(r.openQueries); n > 1 { // an attempt whose outcome never came is kept
			t.Errorf("cells %d: %d parts and queries held at the end", cells, n)
		}
	}
}

// A class without an aim must not turn the latencies into no number.
func TestClassWithoutAim(t *testing.T) {
	s := settings()
	s.Classes[0].ObjectiveMs = 0
	b := start(t, s, 3, 0)
	_, parts := b.query(0, 2)
	b.step(5)
	for _, p := range parts {
		if b.out[p] > 0 {
			b.done(p, 0, OK)
		}
	}
	b.step(0)
	b.r.stalledMs = 0
	b.r.recordLatency(&attempt{part: &part{query: &query{}}, replica: b.r.replicas[1]}, 100)
	b.step(0)
	if math.IsNaN(b.r.meanLatency) || math.IsNaN(b.r.replicas[1].rankLatency) {
		t.Errorf("average latency %v, level of a replica %v", b.r.meanLatency, b.r.replicas[1].rankLatency)
	}
}
