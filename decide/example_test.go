package decide_test

import (
	"fmt"

	"onyxsail/decide"
)

// This example follows one query of two parts from its arrival to its answer.
func Example() {
	root := decide.New(decide.Settings{
		Roots: 1, TickMs: 5, Cells: 1, CellsPerShard: 1, Shards: 2, MaxPartsPerCall: 1,
		Classes:     []decide.Class{{ObjectiveMs: 500, DeadlineMs: 1000, Worth: 1, CompleteShare: 1, MinShare: 1}},
		MaxAttempts: 3, AllowCopies: true, AllowCancel: true,
	}, 42)

	actions := root.Step(0, []decide.Event{
		{Kind: decide.ListUpdate, List: decide.ListFull, Members: []decide.Member{{Addr: 1}, {Addr: 2}}},
		{Kind: decide.QueryArrived, ID: 10, Number: 1, TimeLeftMs: 1000, Parts: 2},
		{Kind: decide.PartArrived, ID: 11, Number: 1, TimeLeftMs: 1000, Shard: 0, Weight: 0.5},
		{Kind: decide.PartArrived, ID: 12, Number: 1, TimeLeftMs: 1000, Shard: 1, Weight: 0.5},
	}, nil)
	var answers []decide.Event
	for _, a := range actions {
		if a.Kind == decide.Send {
			fmt.Println("send part", a.ID)
			answers = append(answers, decide.Event{Kind: decide.AttemptDone, ID: a.ID, Addr: a.Addr, Outcome: decide.OK})
		}
	}
	for _, a := range root.Step(80, answers, nil) {
		if a.Kind == decide.Answer {
			fmt.Println("answer query", a.ID, "complete:", a.Complete)
		}
	}
	// Output:
	// send part 11
	// send part 12
	// answer query 10 complete: true
}
