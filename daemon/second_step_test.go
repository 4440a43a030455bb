package daemon_test

import (
	"context"
	"testing"

	"onyxsail/internal/testkit"
)

// Guards against the values of a first step being marked as a whole answer: a second step was left
// out, and the client could not tell.
func TestClassWithASecondStepIsNotAnsweredAsWhole(t *testing.T) {
	withSecondStep := func(settings map[string]any) {
		settings["domain"].(map[string]any)["classFetch"] = []int{2, 0, 0, 0}
	}
	forEachProtocol(t, 2, withSecondStep, func(t *testing.T, h *harness) {
		if reply := h.ask(context.Background(), testkit.Query{Class: "screen", Shards: []int{1, 2, 3}}); reply.Outcome == "served" && reply.Complete {
			t.Errorf("got %+v, want no whole answer without the second step", reply)
		}
		if parts := h.allParts(); len(parts) > 0 {
			t.Errorf("nodes got %d parts of a query that cannot be answered", len(parts))
		}
		if reply := h.ask(context.Background(), testkit.Query{Class: "edit", ID: "e", Key: "k", Shards: []int{1}}); reply.Outcome != "served" {
			t.Errorf("a query of another class was %s, want it served", reply.Outcome)
		}
	})
}
