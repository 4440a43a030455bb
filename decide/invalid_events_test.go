package decide

import (
	"math"
	"testing"
)

// Invalid events must cause no panic, and no send to a replica that was never listed.
func TestInvalidEventsCauseNoPanicOrSend(t *testing.T) {
	for _, cells := range []int{0, 1} {
		s := testSettings()
		s.Cells, s.CellsPerShard = cells, 1
		r := New(s, 1)
		now := 1000.0
		step := func(events ...Event) []Action { return r.Step(now, events, nil) } // the clock does not advance
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
			actions := step(Event{Kind: QueryArrived, ID: 1, Class: class, TimeLeftMs: 1000, Number: 1})
			if len(actions) == 0 || actions[0].Kind != Refuse {
				t.Errorf("cells %d: query of class %d: %v, want a refusal", cells, class, actions)
			}
		}
		step(Event{Kind: ListUpdate, List: ListFull, Members: []Member{{Addr: 5, State: Ready, Cell: -3}}})
		actions := step(
			Event{Kind: QueryArrived, ID: 2, TimeLeftMs: 1000, Number: 2, Tenant: -1, Parts: 2},
			Event{Kind: PartArrived, ID: 3, Number: 2, Shard: -5, Weight: 0.5},
			Event{Kind: PartArrived, ID: 4, Number: 2, Shard: 1 << 40, Weight: 0.5},
		)
		for _, a := range actions {
			if a.Kind == Send && a.Addr != 5 {
				t.Errorf("cells %d: sent to %d, which was never listed", cells, a.Addr)
			}
			if math.IsNaN(a.Ms) {
				t.Errorf("cells %d: %+v has a time that is NaN", cells, a)
			}
		}
		done := Event{Kind: AttemptDone, ID: 3, Outcome: OK}
		step(done, done, Event{Kind: AttemptDone, ID: 3, Attempt: -1, Outcome: OK})
		now += 5000
		step()
		if n := len(r.parts) + len(r.openQueries); n > 1 { // only the part whose attempt has no outcome is kept
			t.Errorf("cells %d: %d parts and queries held at the end, want 1 at most", cells, n)
		}
	}
}

// A class with an objective of zero must not make latencies NaN.
func TestZeroObjectiveKeepsLatenciesFinite(t *testing.T) {
	s := testSettings()
	s.Classes[0].ObjectiveMs = 0
	b := newTestbed(t, s, 3, 0)
	_, parts := b.addQuery(0, 2)
	b.advance(5)
	for _, p := range parts {
		if b.attemptCount[p] > 0 {
			b.endAttempt(p, 0, OK)
		}
	}
	b.advance(0)
	b.root.stalledMs = 0
	b.root.recordLatency(&attempt{part: &part{query: &query{}}, replica: b.root.replicas[1]}, 100)
	b.advance(0)
	if math.IsNaN(b.root.meanLatency) || math.IsNaN(b.root.replicas[1].rankLatency) {
		t.Errorf("mean latency %v, rank latency of a replica %v, want numbers", b.root.meanLatency, b.root.replicas[1].rankLatency)
	}
}
