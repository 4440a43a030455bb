package decide

import "testing"

// Queries of a class that is added while others are open must be sent to replicas that the
// root already knows, and a lower limit of attempts must also apply to open parts.
func TestReconfigureTakesEffectAtOnce(t *testing.T) {
	safe := Class{ObjectiveMs: 1000, DeadlineMs: 3000, Effect: Safe, Worth: 1, CompleteShare: 1, MinShare: 1}
	r := New(Settings{
		Roots: 1, TickMs: 1, Cells: 1, CellsPerShard: 1, Shards: 4, MaxAttempts: 3, Classes: []Class{safe},
	}, 1)
	list := Event{Kind: ListUpdate, List: ListFull, Members: []Member{{Addr: 1, Size: 1}, {Addr: 2, Size: 1}}}
	addQuery := func(now float64, id uint64, class int) (sent []Action) {
		part := Event{Kind: PartArrived, ID: id + 1, Class: class, TimeLeftMs: 2000, Number: float64(id), Weight: 1}
		query := Event{Kind: QueryArrived, ID: id, Class: class, TimeLeftMs: 2000, Number: float64(id), Parts: 1}
		return r.Step(now, []Event{query, part}, nil)
	}
	count := func(actions []Action, kind ActionKind) (n int) {
		for _, a := range actions {
			if a.Kind == kind {
				n++
			}
		}
		return n
	}
	r.Step(1000, []Event{list}, nil)
	if got := addQuery(1001, 10, 0); count(got, Send) != 1 {
		t.Fatalf("before the change: %+v, want one part sent", got)
	}
	if got := addQuery(1002, 20, 1); count(got, Refuse) != 1 {
		t.Errorf("query of an unknown class: %+v, want one refusal", got)
	}
	keyed := safe
	keyed.Effect, keyed.DedupWindowMs = Keyed, 1200
	r.Reconfigure([]Class{safe, keyed, safe}, 1)
	for class := range 3 {
		if got := addQuery(1003, uint64(30+10*class), class); count(got, Send) != 1 {
			t.Errorf("class %d after the change: %+v, want one part sent", class, got)
		}
	}
	if r.Unhealthy(1) || r.Unhealthy(99) {
		t.Error("a replica is unhealthy without a failure")
	}
	failed := Event{Kind: AttemptDone, ID: 11, Addr: 1, Outcome: Rejected, ElapsedMs: 1}
	if got := r.Step(1004, []Event{failed}, nil); count(got, Send) != 0 {
		t.Errorf("further attempt beyond the new limit: %+v", got)
	}
}
