package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// testbed drives one root and checks on every turn that no action has a NaN, that parts are sent only to ready
// replicas and only for open queries, and that no query ends twice.
type testbed struct {
	t            *testing.T
	root         *Root
	now          float64
	lastID       uint64
	lastNumber   float64
	states       map[Addr]State
	attemptCount map[uint64]int        // by part
	sentTo       map[uint64][]Addr     // by part: the replica of each attempt
	ends         map[uint64]ActionKind // by query: the action that ended it; 0 in a message: none did
	complete     map[uint64]bool       // by query: whether its answer was complete
	queryOf      map[uint64]uint64     // by part
	events       []Event               // for the next turn
	actions      []Action              // of the turns of the last advance
}

// testSettings returns the settings of a single root with one Safe class and no partial answers.
func testSettings() Settings {
	return Settings{
		Roots: 1, TickMs: 5, Cells: 1, CellsPerShard: 1, Shards: 4, MaxPartsPerCall: 1,
		Classes: []Class{{
			ObjectiveMs: 1000, DeadlineMs: 3000, LateWorthShare: 0.1, Worth: 1, CompleteShare: 1, MinShare: 1,
		}},
		MaxAttempts: 3, AllowCopies: true, AllowCancel: true, SendRetryAfter: true, MaxRetryAfterMs: 1000,
		ColdCapacityShare: 0.2, WarmUpMs: 10000, ColdOverloadFactor: 2, ColdOverloadMs: 2000,
	}
}

// newTestbed returns a testbed whose root knows replicas 1 to n, all warm. Unless latencyMs is 0, it has
// measured that latency at each of them.
func newTestbed(t *testing.T, s Settings, n int, latencyMs float64) *testbed {
	b := &testbed{
		t: t, root: New(s, 1), now: 1000, states: map[Addr]State{}, attemptCount: map[uint64]int{},
		sentTo: map[uint64][]Addr{}, ends: map[uint64]ActionKind{}, complete: map[uint64]bool{},
		queryOf: map[uint64]uint64{},
	}
	var members []Member
	for i := range n {
		members = append(members, Member{Addr: Addr(i + 1), State: Ready})
	}
	b.updateList(ListCached, members...)
	b.advance(0)
	for range 4 * n {
		if latencyMs == 0 {
			break
		}
		q, parts := b.addQuery(0, 4)
		b.advance(0)
		for i, p := range parts {
			if b.attemptCount[p] == 0 {
				t.Fatalf("part %d of warm-up query %d was not sent", i, q)
			}
		}
		b.advance(latencyMs)
		for _, p := range parts {
			for a := range b.sentTo[p] {
				b.endAttempt(p, a, OK)
			}
		}
		b.advance(0)
	}
	return b
}

// updateList queues a list update for the next turn.
func (b *testbed) updateList(kind ListKind, members ...Member) {
	for _, m := range members {
		b.states[m.Addr] = m.State
	}
	b.events = append(b.events, Event{Kind: ListUpdate, List: kind, Members: members})
}

// addQuery queues a query of the given class for the next turn and returns its ID and those of its parts, which are
// for shards 0 to partCount-1.
func (b *testbed) addQuery(class, partCount int) (uint64, []uint64) {
	b.lastNumber++
	c := b.root.settings.Classes[class]
	b.lastID++
	q := b.lastID
	b.events = append(b.events, Event{Kind: QueryArrived, ID: q, Class: class, TimeLeftMs: c.DeadlineMs,
		Number: b.lastNumber, Parts: partCount})
	var parts []uint64
	for i := range partCount {
		b.lastID++
		parts = append(parts, b.lastID)
		b.queryOf[b.lastID] = q
		b.events = append(b.events, Event{Kind: PartArrived, ID: b.lastID, Class: class, TimeLeftMs: c.DeadlineMs,
			Number: b.lastNumber, Shard: i, Weight: 1 / float64(partCount)})
	}
	return q, parts
}

// endAttempt queues the outcome of an attempt for the next turn.
func (b *testbed) endAttempt(part uint64, attempt int, outcome Outcome) {
	b.events = append(b.events, Event{Kind: AttemptDone, ID: part, Attempt: attempt,
		Addr: b.sentTo[part][attempt], Outcome: outcome})
}

// advance advances the clock, with the turns that the root's sweep timer asks for in the meantime, and then runs a
// turn with the queued events.
func (b *testbed) advance(ms float64) {
	b.t.Helper()
	b.actions = nil
	interval := sweepIntervalTicks * b.root.settings.TickMs
	for ; ms > interval; ms -= interval {
		b.now += interval
		b.actions = b.root.Step(b.now, nil, b.actions)
	}
	b.advanceWithoutTurns(ms)
}

// advanceWithoutTurns advances the clock without turns, as if the root had stalled, and then runs a turn with the
// queued events.
func (b *testbed) advanceWithoutTurns(ms float64) {
	b.t.Helper()
	b.now += ms
	b.actions = b.root.Step(b.now, b.events, b.actions)
	b.events = nil
	for _, a := range b.actions {
		if math.IsNaN(a.Ms) {
			b.t.Errorf("%v: action %+v has a time that is NaN", b.now, a)
		}
		switch a.Kind {
		case Send:
			if b.states[a.Addr] != Ready {
				b.t.Errorf("%v: part %d sent to replica %d, which is not ready", b.now, a.ID, a.Addr)
			}
			if end, ended := b.ends[b.queryOf[a.ID]]; ended {
				b.t.Errorf("%v: part %d sent after its query's end by action kind %v", b.now, a.ID, end)
			}
			b.attemptCount[a.ID]++
			b.sentTo[a.ID] = append(b.sentTo[a.ID], a.Addr)
		case Answer, Refuse, Abort:
			if _, twice := b.ends[a.ID]; twice {
				b.t.Errorf("%v: query %d ended twice", b.now, a.ID)
			}
			b.ends[a.ID], b.complete[a.ID] = a.Kind, a.Complete
		}
	}
}

// sendCount returns the number of sends in the turns of the last advance.
func (b *testbed) sendCount() (n int) {
	for _, a := range b.actions {
		if a.Kind == Send {
			n++
		}
	}
	return n
}

func TestAnswersOfOneTurnCauseNoCopies(t *testing.T) {
	b := newTestbed(t, testSettings(), 3, 100)
	q, parts := b.addQuery(0, 4)
	b.advance(0)
	if n := b.sendCount(); n != 4 {
		t.Fatalf("%d parts sent at once, want 4", n)
	}
	b.advance(100)
	for _, p := range parts {
		b.endAttempt(p, 0, OK)
	}
	b.advance(0)
	if b.ends[q] != Answer || !b.complete[q] {
		t.Errorf("query ended by action kind %v (0: not ended), complete %v, want a complete answer", b.ends[q], b.complete[q])
	}
	if n := b.sendCount(); n != 0 {
		t.Errorf("%d copies sent for answers that arrived in one turn, want none", n)
	}
}

func TestForkCopiesPartToAnotherReplica(t *testing.T) {
	b := newTestbed(t, testSettings(), 3, 100)
	forks := 0
	for range 40 {
		b.root.classes[0].copyFraction = maxCopyFraction // with 4 parts, four of ten queries fork
		q, parts := b.addQuery(0, 4)
		b.advance(0)
		b.advance(100)
		for _, p := range parts[1:] {
			b.endAttempt(p, 0, OK)
		}
		b.advance(0)
		if sentTo := b.sentTo[parts[0]]; len(sentTo) == 2 {
			forks++
			if sentTo[0] == sentTo[1] {
				t.Errorf("the copy went to the original's replica %d", sentTo[0])
			}
			b.advance(10)
			b.endAttempt(parts[0], 1, OK)
			b.advance(0)
			if !slices.ContainsFunc(b.actions, func(a Action) bool { return a.Kind == Cancel && a.Attempt == 0 }) {
				t.Error("the slower attempt was not cancelled")
			}
			b.endAttempt(parts[0], 0, Cancelled)
		} else {
			b.endAttempt(parts[0], 0, OK)
		}
		b.advance(0)
		if b.ends[q] != Answer {
			t.Fatalf("query ended by action kind %v (0: not ended), want an answer", b.ends[q])
		}
	}
	if forks < 8 || forks > 26 {
		t.Errorf("%d forks of 40 queries, want about 16", forks)
	}
}

func TestChooseCopyFraction(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	tests := []struct {
		name string
		draw func() float64
		want func(p float64) bool
	}{
		{"constant: copies are useless", func() float64 { return 100 }, func(p float64) bool { return p == 0 }},
		{"rare long tail: copies reduce the latency", func() float64 {
			if rng.Float64() < 0.03 {
				return 5000
			}
			return 100
		}, func(p float64) bool { return p >= 0.06 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := testSettings()
			r := New(s, 7)
			c := &r.classes[0]
			c.meanParts = 10
			for range maxLatencySamples {
				c.recordFirstAttempt(test.draw())
			}
			r.now = 1e6
			r.chooseCopyFraction(c)
			if !test.want(c.copyFraction) {
				t.Errorf("chose copy fraction %v of at most 0.1, which does not fit the samples", c.copyFraction)
			}
		})
	}
}

func TestEstimateLatency(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	// Constant times: the fork comes when all parts are done, and costs nothing.
	if latency, busy := estimateLatency([]float64{50, 50, 50}, 4, 0.1, rng); latency != 50 || busy != 200 {
		t.Errorf("constant: latency %v, busy %v, want 50 and 200", latency, busy)
	}
	// Without copies the busy time is the number of parts times the mean.
	samples := []float64{10, 20, 30, 40}
	if _, busy := estimateLatency(samples, 40, 0, rng); math.Abs(busy-40*25) > 40 {
		t.Errorf("no copies: busy %v, want about 1000", busy)
	}
	// With a long tail, the copy limits the wait after the fork.
	tail := append(slices.Repeat([]float64{10}, 95), 1000, 1000, 1000, 1000, 1000)
	slow, _ := estimateLatency(tail, 10, 0, rand.New(rand.NewPCG(3, 4)))
	fast, _ := estimateLatency(tail, 10, 0.1, rand.New(rand.NewPCG(3, 4)))
	if fast > slow/2 {
		t.Errorf("tail: latency %v with copies, %v without, want at most half", fast, slow)
	}
}

func TestUnansweredQueryEndsBeforeDeadline(t *testing.T) {
	for _, effect := range []Effect{Safe, Keyed, Unsafe} {
		t.Run(fmt.Sprint(effect), func(t *testing.T) {
			s := testSettings()
			s.Classes[0].Effect, s.Classes[0].DedupWindowMs = effect, 500
			b := newTestbed(t, s, 3, 100)
			q, _ := b.addQuery(0, 4)
			b.advance(0)
			deadline := b.now + 3000
			for b.now < deadline-2*s.TickMs {
				b.advance(s.TickMs)
			}
			want := Refuse
			if effect == Unsafe {
				want = Abort // its parts may have run, so that a retry is not safe
			}
			if end, ended := b.ends[q]; !ended || end != want {
				t.Errorf("just before its deadline: query ended by action kind %v (ended at all: %v), want %v", end, ended, want)
			}
		})
	}
}

func TestUnsafePartIsRetriedOnlyIfItNeverRan(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		want    int
	}{{Rejected, 2}, {Unreachable, 2}, {Failed, 1}, {ConnectionLost, 1}, {TimedOut, 1}} {
		s := testSettings()
		s.Classes[0].Effect = Unsafe
		b := newTestbed(t, s, 3, 100)
		_, parts := b.addQuery(0, 4)
		b.advance(0)
		b.advance(20)
		b.endAttempt(parts[0], 0, c.outcome)
		b.advance(0)
		if got := b.attemptCount[parts[0]]; got != c.want {
			t.Errorf("after outcome %v of the first attempt: %d attempts, want %d", c.outcome, got, c.want)
		}
	}
}

func TestKeyedPartIsRetriedOnlyInDedupWindow(t *testing.T) {
	for _, test := range []struct {
		after float64
		want  int
	}{{100, 2}, {600, 1}} {
		s := testSettings()
		s.Classes[0].Effect, s.Classes[0].DedupWindowMs = Keyed, 500
		s.AllowCopies = false
		b := newTestbed(t, s, 3, 100)
		_, parts := b.addQuery(0, 4)
		b.advance(0)
		b.advance(test.after)
		b.endAttempt(parts[0], 0, Failed)
		b.advance(0)
		if got := b.attemptCount[parts[0]]; got != test.want {
			t.Errorf("failed after %v ms of a 500 ms window: %d attempts, want %d", test.after, got, test.want)
		}
	}
}

func TestFastErrorsAttractNoTraffic(t *testing.T) {
	b := newTestbed(t, testSettings(), 3, 100)
	for range 30 {
		_, parts := b.addQuery(0, 4)
		b.advance(0)
		b.advance(1)
		for _, p := range parts {
			if b.sentTo[p][0] == 1 {
				b.endAttempt(p, 0, Failed)
			}
		}
		b.advance(0)
		b.advance(99)
		for _, p := range parts {
			for a, at := range b.sentTo[p] {
				if at != 1 {
					b.endAttempt(p, a, OK)
				}
			}
			if attempts := len(b.sentTo[p]); attempts > 1 && b.sentTo[p][1] == 1 {
				t.Error("a failed part was sent to the same replica again")
			}
		}
		b.advance(0)
	}
	firstAttempts := 0
	for _, sentTo := range b.sentTo {
		if len(sentTo) > 0 && sentTo[0] == 1 {
			firstAttempts++
		}
	}
	if firstAttempts > 16+30 { // a third of the 48 parts of the warm-up; some until it is suspected, then probation
		t.Errorf("%d first attempts at a replica that always fails, want 46 at most", firstAttempts)
	}
}

func TestPartAtSilentReplicaIsSentElsewhere(t *testing.T) {
	b := newTestbed(t, testSettings(), 3, 100)
	q, parts := b.addQuery(0, 4)
	b.advance(0)
	b.advance(100)
	for _, p := range parts {
		if b.sentTo[p][0] != 1 {
			b.endAttempt(p, 0, OK)
		}
	}
	// Replica 1 stays silent while the others answer.
	for b.now < 1e6 && len(b.ends) > 0 {
		if _, ended := b.ends[q]; ended {
			break
		}
		b.advance(5)
		for _, p := range parts {
			if sentTo := b.sentTo[p]; len(sentTo) > 1 {
				if sentTo[1] == 1 {
					t.Fatal("the part was sent to the silent replica again")
				}
				b.endAttempt(p, 1, OK)
			}
		}
	}
	if b.ends[q] != Answer {
		t.Errorf("query ended by action kind %v (0: not ended), want an answer from other replicas", b.ends[q])
	}
}

func TestUniformSlownessSuspectsNoReplica(t *testing.T) {
	b := newTestbed(t, testSettings(), 4, 100)
	for range 12 { // every part now takes five times as long at all replicas
		_, parts := b.addQuery(0, 4)
		b.advance(0)
		for range 10 {
			b.advance(50)
		}
		for _, p := range parts {
			for a := range b.sentTo[p] {
				b.endAttempt(p, a, OK)
			}
		}
		b.advance(0)
	}
	for _, rep := range b.root.listedReplicas {
		if rep.suspected {
			t.Errorf("replica %d is suspected although all are equally slow", rep.Addr)
		}
	}
}

func TestDrainingReplicaGetsNoParts(t *testing.T) {
	b := newTestbed(t, testSettings(), 2, 100)
	_, parts := b.addQuery(0, 4)
	b.advance(0)
	b.advance(100)
	for _, p := range parts[1:] {
		b.endAttempt(p, 0, OK)
	}
	other := Addr(3 - int(b.sentTo[parts[0]][0]))
	b.updateList(ListDelta, Member{Addr: other, State: Draining})
	b.advance(0) // the testbed reports sends to a draining replica
	if b.attemptCount[parts[0]] != 1 {
		t.Error("a copy was sent although the only other holder is draining")
	}
	restarted := newTestbed(t, testSettings(), 0, 0)
	restarted.updateList(ListCached, Member{Addr: 1, State: Draining})
	q, _ := restarted.addQuery(0, 4)
	restarted.advance(0)
	if restarted.ends[q] != Refuse {
		t.Error("a query without a ready replica was not refused at once")
	}
}

func TestFullListRemovesUnlistedReplicas(t *testing.T) {
	b := newTestbed(t, testSettings(), 3, 100)
	b.states[2] = Removed
	b.updateList(ListFull, Member{Addr: 1}, Member{Addr: 3})
	for range 20 {
		b.addQuery(0, 4)
		b.advance(1)
	}
	if b.sendCount() == 0 && len(b.root.openQueries) == 0 {
		t.Error("no part was sent")
	}
}

func TestColdReplicaIsNotOverloaded(t *testing.T) {
	s := testSettings()
	s.Roots = 3
	b := newTestbed(t, s, 3, 100)
	b.updateList(ListDelta, Member{Addr: 9, ReadyAt: b.now})
	startedAt, coldSends := b.now, 0
	for b.now < startedAt+s.ColdOverloadMs {
		_, parts := b.addQuery(0, 4)
		b.advance(0)
		b.advance(50)
		for _, p := range parts {
			for a, at := range b.sentTo[p] {
				outcome := OK
				if at == 9 {
					coldSends, outcome = coldSends+1, Rejected // a rejection must not raise the budget
				}
				b.endAttempt(p, a, outcome)
			}
		}
		b.advance(0)
	}
	// A warm replica can serve at least its third of the 160 parts that three replicas share in 2 s; the limit is half
	// of the overload budget that follows.
	if limit := int(s.ColdCapacityShare * s.ColdOverloadFactor * 160 / 3 / 2); coldSends > limit {
		t.Errorf("%d parts sent to a cold replica in its first %v ms, want %d at most", coldSends, s.ColdOverloadMs, limit)
	}
}

func TestFurtherAttemptsStayWithinRetryBudget(t *testing.T) {
	s := testSettings()
	s.HasRetryBudget, s.RetryBudgetFloor, s.RetryBudgetRatio, s.RetryBudgetWindowMs = true, 3, 0.02, 1000
	b := newTestbed(t, s, 6, 100)
	type turn struct{ at, extra, arrived float64 }
	var turns []turn
	for range 60 {
		_, parts := b.addQuery(0, 4)
		turns = append(turns, turn{b.now, 0, 5})
		for range 4 {
			b.advance(5)
			extra := 0.0
			for _, a := range b.actions {
				if a.Kind == Send && b.attemptCount[a.ID] > 1 {
					extra++
				}
			}
			turns = append(turns, turn{b.now, extra, 0})
			var extraSum, arrived float64
			for _, past := range turns {
				if past.at >= b.now-s.RetryBudgetWindowMs {
					extraSum, arrived = extraSum+past.extra, arrived+past.arrived
				}
			}
			if allowed := s.RetryBudgetFloor + s.RetryBudgetRatio*(arrived+30*5); extraSum > allowed {
				t.Fatalf("%v further attempts in the window, %v allowed", extraSum, allowed)
			}
			for _, p := range parts {
				for a := range b.sentTo[p] {
					b.endAttempt(p, a, Failed)
				}
			}
		}
	}
}

func TestFailedSubscriptionIsRetriedInTime(t *testing.T) {
	s := testSettings()
	s.MustSubscribe, s.MaxSubscribeIntervalMs = true, 2000
	b := newTestbed(t, s, 0, 0)
	subscribedAt := []float64{}
	for range 2000 {
		for _, a := range b.actions {
			if a.Kind == Subscribe && a.Complete {
				subscribedAt = append(subscribedAt, b.now)
				b.updateList(ListFailed)
			}
		}
		b.advance(5)
	}
	if len(subscribedAt) < 5 {
		t.Fatalf("subscribed %d times in 10 s of failures, want at least 5", len(subscribedAt))
	}
	for i := 1; i < len(subscribedAt); i++ {
		if subscribedAt[i]-subscribedAt[i-1] > s.MaxSubscribeIntervalMs {
			t.Errorf("%v ms between two subscriptions, %v allowed", subscribedAt[i]-subscribedAt[i-1], s.MaxSubscribeIntervalMs)
		}
	}
}

func TestPartialAnswerBeforeDeadline(t *testing.T) {
	s := testSettings()
	s.Classes[0].MinShare = 0.5
	b := newTestbed(t, s, 3, 100)
	q, parts := b.addQuery(0, 4)
	b.advance(0)
	b.advance(100)
	for _, p := range parts[:3] {
		b.endAttempt(p, 0, OK)
	}
	b.advance(0)
	for range 700 {
		b.advance(5)
	}
	if b.ends[q] != Answer || b.complete[q] {
		t.Errorf("query ended by action kind %v (0: not ended), complete %v, want a partial answer", b.ends[q], b.complete[q])
	}
}

func TestSecondStepIsAnsweredOnlyWhenComplete(t *testing.T) {
	s := testSettings()
	s.Classes[0].SecondStepParts = 2
	b := newTestbed(t, s, 3, 0)
	q, parts := b.addQuery(0, 4)
	b.advance(0)
	for _, p := range parts {
		b.endAttempt(p, 0, OK)
	}
	b.advance(100)
	if b.ends[q] != Answer || !b.complete[q] {
		t.Fatal("the first step has no complete answer")
	}
	delete(b.ends, q) // it only ended the first step
	for i := range 2 {
		b.lastID++
		b.queryOf[b.lastID] = q
		b.events = append(b.events, Event{Kind: PartArrived, ID: b.lastID, Number: b.lastNumber,
			Shard: i, Weight: 0.5, TimeLeftMs: 2900})
	}
	b.advance(5)
	if n := b.sendCount(); n != 2 {
		t.Fatalf("%d parts of the second step sent, want 2", n)
	}
	b.endAttempt(b.lastID, 0, OK)
	b.advance(50)
	if _, ended := b.ends[q]; ended {
		t.Fatal("ended although a part of the second step is missing")
	}
	b.endAttempt(b.lastID-1, 0, OK)
	b.advance(50)
	if b.ends[q] != Answer || !b.complete[q] {
		t.Errorf("query ended by action kind %v (0: not ended), complete %v, want a complete answer", b.ends[q], b.complete[q])
	}
}

// A long run with every kind of outcome must leave no state behind, and the same events must cause the same
// actions.
func TestLongRunLeaksNothingAndIsDeterministic(t *testing.T) {
	run := func() (string, *testbed) {
		s := testSettings()
		s.MaxOpen = 200
		b := newTestbed(t, s, 6, 100)
		rng := rand.New(rand.NewPCG(5, 5))
		type pending struct {
			part    uint64
			attempt int
			at      float64
		}
		var open []pending
		hash := uint64(14695981039346656037)
		for turn := range 20000 {
			if turn < 19000 && rng.IntN(4) == 0 {
				b.addQuery(0, 4)
			}
			if turn%997 == 0 { // replicas join and leave
				b.updateList(ListDelta, Member{Addr: Addr(100 + turn)})
			}
			if turn%997 == 500 {
				b.updateList(ListDelta, Member{Addr: Addr(100 + turn - 500), State: Removed})
			}
			b.advance(5)
			for _, a := range b.actions {
				hash = (hash ^ a.ID ^ uint64(a.Addr)<<20 ^ uint64(a.Kind)<<40 ^ math.Float64bits(a.Ms)) * 1099511628211
				if a.Kind == Send {
					open = append(open, pending{a.ID, b.attemptCount[a.ID] - 1, b.now + 20 + 200*rng.Float64()})
				}
			}
			open = slices.DeleteFunc(open, func(p pending) bool {
				if p.at > b.now {
					return false
				}
				outcome := OK
				if rng.IntN(10) == 0 {
					outcome = Outcome(rng.IntN(8))
				}
				b.endAttempt(p.part, p.attempt, outcome)
				return true
			})
		}
		b.advance(5)
		return fmt.Sprint(hash), b
	}
	first, b := run()
	second, _ := run()
	if first != second {
		t.Error("the same events caused different actions")
	}
	r := b.root
	if len(r.parts)+len(r.queriesByNumber)+len(r.openQueries) != 0 {
		t.Errorf("state left behind: %d parts, %d query numbers, %d open queries",
			len(r.parts), len(r.queriesByNumber), len(r.openQueries))
	}
	if n := len(r.replicas); n > 8 {
		t.Errorf("%d replicas kept, 6 are listed", n)
	}
	for id, end := range b.ends {
		if end != Answer && end != Refuse {
			t.Errorf("safe query %d ended by action kind %v, want an answer or a refusal", id, end)
		}
	}
}

// A slow part is evidence against its replica only if another part of its query is answered: otherwise the query
// may be expensive.
func TestExpensiveQuerySuspectsNoReplica(t *testing.T) {
	for _, siblingAnswered := range []bool{false, true} {
		b := newTestbed(t, testSettings(), 8, 100)
		_, parts := b.addQuery(0, 2)
		b.advance(0)
		b.advance(100)
		if siblingAnswered {
			b.endAttempt(parts[0], 0, OK)
		}
		suspectedTurns := 0
		for range 200 { // one second
			b.advance(5)
			for _, rep := range b.root.listedReplicas {
				if rep.suspected {
					suspectedTurns++
				}
			}
		}
		if (suspectedTurns > 0) != siblingAnswered {
			t.Errorf("other part answered: %v, turns with a suspected replica: %d; want some only if it is",
				siblingAnswered, suspectedTurns)
		}
	}
}

// Predictions must not include the wait in a queue that has drained: queries would be refused, and so nothing new
// would be measured.
func TestDrainedQueueAdmitsQueries(t *testing.T) {
	b := newTestbed(t, testSettings(), 2, 100)
	for _, rep := range b.root.listedReplicas {
		rep.latency, rep.latencyLoad = 1500, 6 // measured with six parts in flight; now there are none
	}
	q, _ := b.addQuery(0, 4)
	b.advance(5)
	if _, ended := b.ends[q]; ended {
		t.Error("refused although no holder has a part in flight")
	}
}

// Under overload queries must be refused at arrival, with a hint when to retry, rather than fail at the deadline.
func TestOverloadRefusesAtArrivalWithHint(t *testing.T) {
	b := newTestbed(t, testSettings(), 2, 100)
	for _, rep := range b.root.listedReplicas {
		rep.latency, rep.latencyLoad = 2500, 1
	}
	q, _ := b.addQuery(0, 4)
	b.advance(5)
	if b.ends[q] != Refuse {
		t.Fatal("admitted although its end is predicted after the objective")
	}
	for _, a := range b.actions {
		if a.Kind == Refuse && (a.Ms <= 0 || a.Ms > 1000) {
			t.Errorf("retry hint of %v ms, want more than 0 and at most 1000", a.Ms)
		}
		if a.Kind == Send {
			t.Error("a part of a refused query was sent")
		}
	}
}

// A single part that is lost at a replica which answers other parts must be copied, even if there is no fork.
func TestLostPartIsCopied(t *testing.T) {
	b := newTestbed(t, testSettings(), 3, 100)
	b.root.classes[0].copyFraction = 0 // no fork
	_, parts := b.addQuery(0, 4)
	b.advance(0)
	b.advance(100)
	for _, p := range parts[1:] {
		b.endAttempt(p, 0, OK)
	}
	b.advance(0)
	for range 30 { // other queries keep every replica measured
		b.root.classes[0].copyFraction = 0
		_, others := b.addQuery(0, 9)
		b.advance(0)
		b.advance(50)
		if b.attemptCount[parts[0]] > 1 {
			b.endAttempt(parts[0], 1, OK)
		}
		for _, p := range others {
			b.endAttempt(p, 0, OK)
		}
		b.advance(0)
	}
	if sentTo := b.sentTo[parts[0]]; len(sentTo) != 2 || sentTo[0] == sentTo[1] {
		t.Errorf("the lost part was sent to %v, want two replicas", sentTo)
	}
}

// A root that never needs a further attempt must not keep the times of all queries and parts that ever arrived.
func TestArrivalsBeforeWindowAreForgotten(t *testing.T) {
	b := newTestbed(t, testSettings(), 3, 0)
	b.root.classes[0].copyFraction = 0
	for range 3000 {
		_, parts := b.addQuery(0, 4)
		b.advance(0)
		for _, p := range parts {
			b.endAttempt(p, 0, OK)
		}
		b.advance(20)
		b.root.classes[0].copyFraction = 0
	}
	if window := int(defaultRetryWindowMs/20+2) * 5; len(b.root.arrivals) > window {
		t.Errorf("%d arrivals kept, the window has %d", len(b.root.arrivals), window)
	}
}

// A replica that is removed and listed again with a new start must count as cold, even if the root knew it warm
// and it has no parts in flight.
func TestRelistedReplicaIsCold(t *testing.T) {
	b := newTestbed(t, testSettings(), 3, 100)
	b.updateList(ListDelta, Member{Addr: 1, State: Removed})
	b.advance(5)
	b.updateList(ListDelta, Member{Addr: 1, State: Ready, ReadyAt: b.now})
	coldSends := 0
	for range 20 { // without answers the load grows at all replicas
		_, parts := b.addQuery(0, 4)
		b.advance(5)
		for _, p := range parts {
			if sentTo := b.sentTo[p]; len(sentTo) > 0 && sentTo[0] == 1 {
				coldSends++
			}
		}
	}
	if coldSends > 1 {
		t.Errorf("%d parts sent to a replica that has just restarted, want 1 at most", coldSends)
	}
}

// Once queries take longer than predicted, for whatever reason, later ones must be refused in time. This must
// decay when there are no new measurements.
func TestPredictionOverrunRefusesAndDecays(t *testing.T) {
	b := newTestbed(t, testSettings(), 4, 100)
	c := &b.root.classes[0]
	for _, rep := range b.root.listedReplicas {
		rep.latency = 600
	}
	c.overrun, c.lateRate, c.overrunAt = 3, 0.5, b.now
	first, _ := b.addQuery(0, 4)
	b.advance(5)
	if b.ends[first] != Refuse {
		t.Error("admitted although queries take three times the predicted 600 ms, and the objective is 1000 ms")
	}
	for _, rep := range b.root.listedReplicas {
		rep.latency, rep.lastAnswerAt = 600, b.now+20*decayLatencies*b.root.medianLatency
	}
	b.advance(20 * decayLatencies * b.root.medianLatency)
	second, _ := b.addQuery(0, 4)
	b.advance(5)
	if _, ended := b.ends[second]; ended {
		t.Error("still refused long after the last query that took longer than predicted")
	}
}

// After a stall of the root itself, neither the age of open attempts nor answers that waited for the root may count
// against replicas, and no copies may be sent for them.
func TestOwnStallBlamesNoReplica(t *testing.T) {
	b := newTestbed(t, testSettings(), 4, 100)
	b.addQuery(0, 1) // an open query keeps the sweep timer running
	b.advance(5)
	_, parts := b.addQuery(0, 4)
	b.advance(5)
	b.advance(60)
	b.endAttempt(parts[0], 0, OK)
	b.advance(5)
	latency := b.root.replicas[b.sentTo[parts[1]][0]].latency
	sends := b.sendCount()
	b.actions = nil
	b.endAttempt(parts[1], 0, OK)
	b.advanceWithoutTurns(900)
	for _, rep := range b.root.listedReplicas {
		if rep.suspected {
			t.Errorf("replica %d suspected after the root's own stall", rep.Addr)
		}
	}
	if rep := b.root.replicas[b.sentTo[parts[1]][0]]; rep.latency != latency {
		t.Errorf("latency %v after an answer that waited for the root, %v before", rep.latency, latency)
	}
	if b.sendCount() != 0 {
		t.Errorf("%d copies after the root's own stall (%d sends before)", b.sendCount(), sends)
	}
}

// Dozens of roots together, busy and idle ones, must not send a cold replica more than the configured overload
// budget, based on the usual load of a replica.
func TestColdReplicaIsNotOverloadedByManyRoots(t *testing.T) {
	const roots, warmReplicas = 50, 9
	s := testSettings()
	s.Roots = roots
	partsPerMs, coldSends := 0.0, 0
	for i := range roots {
		b := newTestbed(t, s, warmReplicas, 100)
		b.root.rng.Float64()
		for range i {
			b.root.rng.Float64() // as if the root had another seed
		}
		b.updateList(ListDelta, Member{Addr: 100, State: Ready, ReadyAt: b.now})
		b.advance(0)
		intervalMs := 300.0 // busy roots; idle ones get a query every three seconds
		if i%5 > 0 {
			intervalMs = 3000
		}
		for range int(6000 / intervalMs) { // establish the usual rate
			b.runQuery(intervalMs, 100)
		}
		b.updateList(ListDelta, Member{Addr: 100, State: Ready, ReadyAt: b.now})
		b.advance(0)
		partsPerMs += 4 / intervalMs / (warmReplicas + 1)
		for _, rep := range b.root.listedReplicas {
			rep.latency = 200 // slow warm replicas make the cold one attractive
		}
		for range max(1, int(s.ColdOverloadMs/intervalMs)) {
			for _, a := range b.runQuery(intervalMs, 100) {
				if a == 100 {
					coldSends++
				}
			}
		}
	}
	usual := partsPerMs * s.ColdOverloadMs // what a warm replica is sent, which is less than its capacity
	capacityShare := s.ColdCapacityShare + (1-s.ColdCapacityShare)*s.ColdOverloadMs/2/s.WarmUpMs
	if limit := s.ColdOverloadFactor * capacityShare * usual; float64(coldSends) > limit || coldSends == 0 {
		t.Errorf("%d parts sent to the cold replica, where %.0f are usual in the window, want 1 to %.0f",
			coldSends, usual, limit)
	}
}

// runQuery runs one query of four parts that are answered after latencyMs, lets the rest of intervalMs pass, and
// returns the replicas that the parts were sent to.
func (b *testbed) runQuery(intervalMs, latencyMs float64) (replicas []Addr) {
	_, parts := b.addQuery(0, 4)
	b.advance(5)
	b.advance(latencyMs)
	for _, p := range parts {
		for a, addr := range b.sentTo[p] {
			replicas = append(replicas, addr)
			b.endAttempt(p, a, OK)
		}
	}
	b.advance(5)
	b.advance(intervalMs - latencyMs - 10)
	return replicas
}

// Queries of clients that always use a short timeout have their full worth, but are admitted only if predicted
// within that timeout rather than within the objective. A timeout that occurs once is not a client's usual one, but
// the rest of its deadline.
func TestImpatientClientsAreAdmittedOnlyWithinTheirTimeout(t *testing.T) {
	s := testSettings() // objective 1000 ms, deadline 3000 ms
	c := &class{Class: s.Classes[0]}
	for i, test := range []struct{ left, want float64 }{
		{2000, 1000}, {2000, 1000}, {2400, 400}, {300, -1700}, {300, 1000}, {2000, 1000},
	} {
		if got := c.objective(&Event{TimeLeftMs: test.left}, s.TickMs); got != test.want {
			t.Errorf("query %d with a timeout of %v ms: objective of %v ms, want %v", i, test.left, got, test.want)
		}
	}
	b := newTestbed(t, s, 4, 400)
	addImpatientQuery := func() uint64 {
		q, _ := b.addQuery(0, 4)
		for i := range b.events {
			b.events[i].TimeLeftMs = 300
		}
		b.advance(5)
		return q
	}
	addImpatientQuery()
	b.advance(1000)
	if q := addImpatientQuery(); b.ends[q] != Refuse {
		t.Error("admitted although replicas take 400 ms and the client waits for 300 ms")
	}
}

// A root that has just started knows no mean worth. If one of its first queries is already late for its
// objective, and so worth nothing, it must be refused without a NaN.
func TestWorthlessQueryIsRefusedByNewRoot(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateWorthShare = 0
	b := newTestbed(t, s, 4, 0)
	b.addQuery(0, 4)
	b.advance(5)
	q, _ := b.addQuery(0, 4)
	for i := range b.events {
		b.events[i].TimeLeftMs = 12
	}
	b.advance(5)
	if b.ends[q] != Refuse {
		t.Error("admitted although its answer is worth nothing")
	}
}

// A slow link to another zone affects all of its replicas. They must be used only if nearer ones are loaded, also
// those without a measurement, and must not be suspected one after the other.
func TestSlowZoneIsDistinguishedFromSlowReplicas(t *testing.T) {
	s := testSettings()
	b := newTestbed(t, s, 0, 0)
	var members []Member
	for i := range 12 {
		members = append(members, Member{Addr: Addr(i + 1), Zone: i % 2})
	}
	b.updateList(ListFull, members...)
	b.advance(0)
	for range 60 { // the far zone answers after 1500 ms, the near one after 100 ms
		_, parts := b.addQuery(0, 4)
		b.advance(5)
		for _, ms := range []float64{100, 1400} {
			b.advance(ms)
			for _, p := range parts {
				for a, addr := range b.sentTo[p] {
					if (ms == 100) == (int(addr)%2 == 1) {
						b.endAttempt(p, a, OK)
					}
				}
			}
			b.advance(5)
		}
	}
	far, near := b.root.replicas[2], b.root.replicas[1]
	if b.root.expectedLatency(far) <= b.root.expectedLatency(near) {
		t.Errorf("expected latency %v ms of far replicas, %v ms of near ones",
			b.root.expectedLatency(far), b.root.expectedLatency(near))
	}
	b.root.replicas[4].hasAnswered = false
	b.advance(20)
	if unmeasured := b.root.replicas[4]; unmeasured.rankLatency <= near.rankLatency {
		t.Errorf("rank latency %v ms of a far replica without measurements, %v ms of a near one",
			unmeasured.rankLatency, near.rankLatency)
	}
	_, parts := b.addQuery(0, 4)
	b.advance(5)
	for _, p := range parts {
		if addr := b.sentTo[p][0]; int(addr)%2 == 0 {
			t.Errorf("part sent across the slow link to replica %d", addr)
		}
	}
}

// If single calls are lost, they end by timeouts at replicas that answer all other calls. The timeouts must not
// count as latencies, or the whole fleet seems slow.
func TestTimeoutLeavesLatencyUnchanged(t *testing.T) {
	b := newTestbed(t, testSettings(), 4, 100)
	_, parts := b.addQuery(0, 4)
	b.advance(5)
	b.advance(100)
	lost, rep := parts[0], b.root.replicas[b.sentTo[parts[0]][0]]
	for _, p := range parts[1:] {
		b.endAttempt(p, 0, OK)
	}
	b.advance(5)
	before := rep.latency
	b.endAttempt(lost, 0, TimedOut)
	b.advance(2000)
	if rep.latency != before {
		t.Errorf("latency %v after a lost call, %v before", rep.latency, before)
	}
}

// A part that is lost in the first of two steps must not cost the whole query: its partial answer must be sent
// while there is time for the second step before the objective.
func TestPartialFirstStepLeavesTimeForSecond(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 1
	s.Classes[0] = Class{
		ObjectiveMs: 1000, DeadlineMs: 3000, Worth: 1, CompleteShare: 1, MinShare: 0.5, PartialWorth: 0.8, SecondStepParts: 2,
	}
	b := newTestbed(t, s, 3, 0)
	q, parts := b.addQuery(0, 4)
	b.advance(0)
	b.advance(100)
	for _, p := range parts[:3] {
		b.endAttempt(p, 0, OK)
	}
	b.advance(0)
	for i := range 200 {
		if _, ended := b.ends[q]; ended {
			if leftMs := 1000 - 100 - 5*float64(i); leftMs < 100 {
				t.Errorf("first step answered %.0f ms before the objective, too late for a second step", leftMs)
			}
			break
		}
		b.advance(5)
	}
	if b.ends[q] != Answer || b.complete[q] {
		t.Errorf("query ended by action kind %v (0: not ended), complete %v, want a partial answer", b.ends[q], b.complete[q])
	}
}

// A partial answer that earns more than a late complete one must be sent just before the objective.
func TestPartialAnswerAtObjectiveIfLateEarnsLess(t *testing.T) {
	for _, lateWorthShare := range []float64{0.3, 0.9} {
		s := testSettings()
		s.Classes[0].MinShare, s.Classes[0].PartialWorth, s.Classes[0].LateWorthShare = 0.5, 0.9, lateWorthShare
		b := newTestbed(t, s, 3, 0)
		q, parts := b.addQuery(0, 4)
		b.advance(0)
		b.advance(100)
		for _, p := range parts[:3] {
			b.endAttempt(p, 0, OK)
		}
		b.advance(880)
		if _, ended := b.ends[q]; ended != (lateWorthShare < 0.9*0.75) {
			t.Errorf("late worth share %v: ended at the objective: %v; want that only if a late answer earns less than a partial one",
				lateWorthShare, ended)
		}
	}
}

// A query that crashes replicas, with none of its parts answered, must be ended before its further attempts crash
// more. One with an answered part must not be ended.
func TestQueryThatCrashesReplicasIsEnded(t *testing.T) {
	b := newTestbed(t, testSettings(), 6, 100)
	q, parts := b.addQuery(0, 4)
	b.advance(0)
	b.endAttempt(parts[0], 0, ConnectionLost)
	b.advance(20)
	if b.sendCount() > 0 {
		t.Error("a part that may have crashed a replica was sent again although no other part is answered")
	}
	b.endAttempt(parts[1], 0, ConnectionLost)
	b.advance(5)
	if b.ends[q] != Refuse || b.sendCount() > 0 {
		t.Errorf("two of four parts crashed replicas: query ended by action kind %v (0: not ended) with %d sends, want a refusal and none",
			b.ends[q], b.sendCount())
	}
	b = newTestbed(t, testSettings(), 6, 100)
	q, parts = b.addQuery(0, 1)
	b.advance(5)
	b.endAttempt(parts[0], 0, ConnectionLost)
	b.advance(20)
	if b.attemptCount[parts[0]] != 2 {
		t.Fatal("the only part was not retried once")
	}
	b.endAttempt(parts[0], 1, ConnectionLost)
	b.advance(5)
	if b.ends[q] != Refuse {
		t.Error("a query that crashed two replicas was not refused")
	}
	b = newTestbed(t, testSettings(), 6, 100)
	q, parts = b.addQuery(0, 4)
	b.advance(5)
	b.endAttempt(parts[0], 0, OK)
	b.endAttempt(parts[1], 0, ConnectionLost)
	b.endAttempt(parts[2], 0, ConnectionLost)
	b.advance(100)
	if _, ended := b.ends[q]; ended || b.attemptCount[parts[1]] < 2 || b.attemptCount[parts[2]] < 2 {
		t.Error("a query with an answered part was ended as if it crashed replicas")
	}
}

// With every replica cold, what a root may send must follow what it sent before and what arrives. If it followed
// what is left after refusals, the refusals would reduce it ever further.
func TestRefusalsDoNotShrinkColdBudget(t *testing.T) {
	s := testSettings()
	b := newTestbed(t, s, 4, 100)
	for range 60 {
		b.runQuery(300, 100) // 13 parts per second, three per replica
	}
	coldSends := 0
	for range 5 { // all replicas restart every six seconds, before they are warm
		var restarted []Member
		for i := range 4 {
			restarted = append(restarted, Member{Addr: Addr(i + 1), ReadyAt: b.now})
		}
		b.updateList(ListDelta, restarted...)
		b.advance(0)
		coldSends = 0
		for range 20 {
			coldSends += len(b.runQuery(300, 100))
		}
	}
	usual := 20.0 * 4
	least, most := coldBudgetShare*s.ColdOverloadFactor*s.ColdCapacityShare*usual,
		s.ColdOverloadFactor*(s.ColdCapacityShare+0.24)*usual
	if float64(coldSends) < least || float64(coldSends) > most {
		t.Errorf("%d parts sent to cold replicas in the last six seconds, want %.0f to %.0f; %.0f are usual",
			coldSends, least, most, usual)
	}
}

// A root whose only measurement is one old slow answer must not refuse all queries for ever: it would never get
// another measurement.
func TestOldSlowAnswerDoesNotBlockAdmission(t *testing.T) {
	s := testSettings()
	b := newTestbed(t, s, 6, 0)
	_, parts := b.addQuery(0, 4)
	b.advance(5)
	b.advance(1500)
	for _, p := range parts {
		b.endAttempt(p, 0, OK)
	}
	b.advance(5)
	admitted := 0
	for range 20 {
		q, _ := b.addQuery(0, 4)
		b.advance(5)
		if _, ended := b.ends[q]; !ended {
			admitted++
		}
		b.advance(495)
	}
	if admitted == 0 {
		t.Error("every query of ten seconds on an idle fleet was refused because of one old answer")
	}
}

// No replica of one zone answers. A root that has only one or two outcomes of each must not try all of them with the
// parts of a large query. It may only send a few probation attempts to see whether the zone is back.
func TestUnreachableZoneIsUnhealthyAsGroup(t *testing.T) {
	s := testSettings()
	s.Cells, s.CellsPerShard, s.Shards = 20, 2, 20
	b := newTestbed(t, s, 0, 0)
	var members []Member
	for i := range 20 {
		members = append(members, Member{Addr: Addr(i + 1), Cell: i, Zone: i % 2})
	}
	b.root.hasList = false // all replicas started long ago
	b.updateList(ListFull, members...)
	b.advance(0)
	sendsToFarZone := func() (n int) {
		_, parts := b.addQuery(0, 20)
		b.advance(5)
		for _, p := range parts {
			if len(b.sentTo[p]) > 0 && b.sentTo[p][0]%2 == 0 {
				n++
			}
		}
		b.advance(100)
		for range 3 {
			for _, p := range parts {
				if a := len(b.sentTo[p]) - 1; a >= 0 {
					outcome := OK
					if b.sentTo[p][a]%2 == 0 {
						outcome = Unreachable
					}
					b.endAttempt(p, a, outcome)
				}
			}
			b.advance(5)
		}
		b.advance(50)
		return n
	}
	first, later := sendsToFarZone(), []int{}
	for range 8 {
		later = append(later, sendsToFarZone())
	}
	if first < 4 || slices.Max(later[1:]) > 1 {
		t.Errorf("%d parts sent to the unreachable zone at first, then %v, want 1 at most at a time", first, later)
	}
	b.endAttempt(b.lastID, 0, OK) // for the next turn, of which there is none
	if rep := b.root.replicas[2]; !b.root.unhealthy(rep) {
		t.Error("a replica of the unreachable zone counts as healthy")
	}
	b.root.recordSuccess(b.root.replicas[4])
	if rep := b.root.replicas[4]; rep.group.failureRate > groupFailureThreshold {
		t.Error("the zone is still unhealthy as a group after an answer")
	}
}

// If partial answers are allowed, a query must be admitted although some of its parts have no replica, unless the
// other parts are fewer than its minimum share.
func TestQueryWithMinShareAvailableIsAdmitted(t *testing.T) {
	s := testSettings()
	s.Cells, s.CellsPerShard, s.Shards = 4, 1, 4
	s.Classes[0].MinShare, s.Classes[0].PartialWorth = 0.5, 0.8
	for holders, admitted := range map[int]bool{3: true, 1: false} {
		b := newTestbed(t, s, 0, 0)
		b.root.hasList = false
		var members []Member
		for i := range holders {
			members = append(members, Member{Addr: Addr(i + 1), Cell: i})
		}
		b.updateList(ListFull, members...)
		b.advance(0)
		q, _ := b.addQuery(0, 4)
		b.advance(5)
		if _, ended := b.ends[q]; ended == admitted {
			t.Errorf("holders for %d of 4 parts: admitted %v, want %v", holders, !ended, admitted)
		}
	}
}

// Only parts of safe queries may have two attempts open.
func TestKeyedPartsGetNoCopy(t *testing.T) {
	s := testSettings()
	s.Classes[0].Effect, s.Classes[0].DedupWindowMs = Keyed, 3000
	b := newTestbed(t, s, 6, 60)
	_, parts := b.addQuery(0, 4)
	b.advance(5)
	for _, p := range parts[:3] {
		b.endAttempt(p, 0, OK)
	}
	b.advance(800)
	if b.attemptCount[parts[3]] != 1 {
		t.Errorf("%d attempts of a keyed part that is still open, want 1", b.attemptCount[parts[3]])
	}
}

// A retry, and any query after recent crashes, must send one part ahead, which crashes one replica where all its
// parts would crash many. After its first answer the other parts follow. The retry of a client with a timeout
// shorter than the objective does not indicate a crash.
func TestOnePartIsSentAheadAfterCrashes(t *testing.T) {
	b := newTestbed(t, testSettings(), 6, 100)
	addRetry := func(timeLeftMs float64) (uint64, []uint64) {
		q, parts := b.addQuery(0, 4)
		for i := range b.events {
			b.events[i].Retry, b.events[i].TimeLeftMs = true, timeLeftMs
		}
		b.advance(5)
		return q, parts
	}
	q, parts := addRetry(3000)
	if b.sendCount() != 1 {
		t.Fatalf("%d parts of a retry sent at once, want 1", b.sendCount())
	}
	b.endAttempt(parts[0], 0, OK)
	b.advance(5)
	if _, ended := b.ends[q]; ended || b.sendCount() != 3 {
		t.Errorf("%d parts sent after the first answer, want 3", b.sendCount())
	}
	q, parts = addRetry(3000)
	b.endAttempt(parts[0], 0, ConnectionLost)
	b.advance(5)
	if b.ends[q] != Refuse || b.sendCount() > 0 {
		t.Error("a retry that crashed one more replica was not refused")
	}
	if q, _ := b.addQuery(0, 4); q > 0 {
		if b.advance(5); b.sendCount() != 1 {
			t.Errorf("%d parts sent at once of a query of the class that crashed replicas, want 1", b.sendCount())
		}
	}
	b = newTestbed(t, testSettings(), 6, 100)
	if addRetry(900); b.sendCount() != 4 {
		t.Errorf("%d parts of an impatient client's retry sent at once, want 4", b.sendCount())
	}
}

// A replica that lost a part of one class while it answered others must be avoided by that class only, until it
// answers a part of it.
func TestReplicaThatLosesOneClassIsAvoidedByThatClassOnly(t *testing.T) {
	s := testSettings()
	s.Classes = append(s.Classes, s.Classes[0])
	b := newTestbed(t, s, 3, 60)
	for b.root.replicas[1].avoidedUntil[0] == 0 && b.now < 60000 {
		_, parts := b.addQuery(0, 4)
		_, other := b.addQuery(1, 4)
		b.advance(5)
		for range 8 {
			b.advance(60)
			for _, p := range slices.Concat(parts, other) {
				for a, addr := range b.sentTo[p] {
					if addr != 1 || slices.Contains(other, p) {
						b.endAttempt(p, a, OK)
					}
				}
			}
			b.advance(5)
		}
		for _, p := range parts {
			for a, addr := range b.sentTo[p] {
				if addr == 1 {
					b.endAttempt(p, a, Cancelled)
				}
			}
		}
		b.advance(700)
	}
	rep := b.root.replicas[1]
	if rep.avoidedUntil[0] <= b.now || rep.avoidedUntil[1] != 0 || rep.suspected {
		t.Fatalf("avoided until %v, suspected %v, want avoided by the first class only", rep.avoidedUntil, rep.suspected)
	}
	for class, want := range []bool{false, true} {
		sent := false
		for range 6 {
			for _, rep := range b.root.listedReplicas {
				rep.latency = 60 // equal except for the avoided class
			}
			_, parts := b.addQuery(class, 1)
			b.advance(5)
			sent = sent || b.sentTo[parts[0]][0] == 1
			b.endAttempt(parts[0], 0, OK)
			b.advance(5)
		}
		if sent != want {
			t.Errorf("class %d sent to the replica: %v, want %v", class, sent, want)
		}
	}
}

// A replica that fails most parts, but fast, must be tried first while the others are loaded: they would be
// overloaded if it only got occasional probation attempts. Unsafe parts must not be sent there, and a retry after a
// fast failure must not use up the retry budget.
func TestFastFailingReplicaIsTriedFirstUnderLoad(t *testing.T) {
	for _, loaded := range []bool{false, true} {
		s := testSettings()
		s.Classes = append(s.Classes, Class{
			ObjectiveMs: 1000, DeadlineMs: 3000, Worth: 1, CompleteShare: 1, MinShare: 1, Effect: Unsafe,
		})
		b := newTestbed(t, s, 2, 20)
		finish := func(p uint64) { // fails at replica 1, is served at replica 2
			for a := 0; a < len(b.sentTo[p]); a++ {
				if b.sentTo[p][a] == 1 {
					b.advance(2)
					b.endAttempt(p, a, Failed)
				} else {
					b.advance(20)
					b.endAttempt(p, a, OK)
				}
				b.advance(0)
			}
		}
		for range 60 {
			if _, parts := b.addQuery(0, 1); true {
				b.advance(0)
				finish(parts[0])
			}
		}
		rep := b.root.replicas[1]
		if !rep.suspected {
			t.Fatal("the failing replica is not suspected")
		}
		rep.failureRate = 0.85 // as if it served some parts
		b.advance(3 * probationIntervalLatencies * 20)
		rep.nextProbationAt = math.Inf(1) // no probation attempt is due: parts are sent there for its speed only
		if loaded {
			for range 8 {
				b.addQuery(1, 1) // each is sent to replica 2
			}
			b.advance(0)
		}
		_, safe := b.addQuery(0, 1)
		_, unsafe := b.addQuery(1, 1)
		b.advance(0)
		if want := map[bool]Addr{false: 2, true: 1}[loaded]; b.sentTo[safe[0]][0] != want {
			t.Errorf("load %v: the safe part went to replica %d, want 1 under load and 2 without", loaded, b.sentTo[safe[0]][0])
		}
		if b.sentTo[unsafe[0]][0] != 2 {
			t.Errorf("load %v: the unsafe part went to replica %d, want 2", loaded, b.sentTo[unsafe[0]][0])
		}
		if !loaded {
			continue
		}
		extraAttempts := len(b.root.extraAttempts)
		b.advance(2)
		b.endAttempt(safe[0], 0, Failed)
		b.advance(0)
		if len(b.sentTo[safe[0]]) != 2 || b.sentTo[safe[0]][1] != 2 {
			t.Errorf("after the fast failure the part was sent to %v, want replica 2 next", b.sentTo[safe[0]])
		}
		if len(b.root.extraAttempts) != extraAttempts {
			t.Error("the retry after a fast failure used up retry budget")
		}
	}
}

// If replicas survive the loss of connections, a lost one must not count against its query nor, the first time,
// against its replica. A replica that refuses the next connection has crashed.
func TestHarmlessConnectionLossBlamesNoQueryOrReplica(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		b := newTestbed(t, testSettings(), 3, 20)
		for range 8 {
			_, parts := b.addQuery(0, 1)
			b.advance(0)
			b.advance(5)
			b.endAttempt(parts[0], 0, ConnectionLost)
			b.advance(0)
			for n := 1; n < len(b.sentTo[parts[0]]); n++ {
				b.advance(20)
				b.endAttempt(parts[0], n, OK)
				b.advance(0)
			}
			for range 6 { // other queries follow: the replica answers, or refuses the connection
				_, next := b.addQuery(0, 2)
				b.advance(0)
				b.advance(20)
				for _, p := range next {
					for a := 0; a < len(b.sentTo[p]); a++ {
						if b.root.replicas[b.sentTo[p][a]].connectionLostAt > 0 && crashes {
							b.endAttempt(p, a, Unreachable)
						} else {
							b.endAttempt(p, a, OK)
						}
						b.advance(0)
					}
				}
			}
		}
		if b.root.connectionLossIsHarmless() == crashes {
			t.Fatalf("replicas crash: %v, but connection loss counts as harmless: %v", crashes, b.root.connectionLossIsHarmless())
		}
		if crashes {
			continue
		}
		if b.now < b.root.cautiousUntil {
			t.Error("queries still send one part ahead")
		}
		_, parts := b.addQuery(0, 3)
		b.advance(0)
		rep := b.root.replicas[b.sentTo[parts[0]][0]]
		suspicion := rep.suspicion
		b.endAttempt(parts[0], 0, ConnectionLost)
		b.advance(0)
		if rep.suspicion > suspicion {
			t.Error("the lost connection counts against the replica")
		}
		if b.attemptCount[parts[0]] != 2 || b.ends[b.queryOf[parts[0]]] != 0 {
			t.Errorf("the part has %d attempts, its query's end is action kind %v; want 2 attempts and 0, an open query",
				b.attemptCount[parts[0]], b.ends[b.queryOf[parts[0]]])
		}
	}
}

// A query that was delayed by a replica which is now suspected must count only with its other parts, which were as
// fast as usual: later queries avoid that replica.
func TestSuspectedReplicaDoesNotRaiseOverrun(t *testing.T) {
	b := newTestbed(t, testSettings(), 3, 20)
	overrun := b.root.classes[0].overrun
	_, parts := b.addQuery(0, 3)
	b.advance(0)
	b.advance(20)
	stuck := parts[0]
	for _, p := range parts[1:] {
		b.endAttempt(p, 0, OK)
	}
	for len(b.sentTo[stuck]) < 2 || b.sentTo[stuck][1] == b.sentTo[stuck][0] {
		b.advance(20)
		if b.now > 3000 {
			t.Fatal("the part was not copied to another replica")
		}
	}
	b.advance(20)
	b.endAttempt(stuck, 1, OK)
	b.root.replicas[b.sentTo[stuck][0]].suspected = true
	b.advance(0)
	if _, ended := b.ends[b.queryOf[stuck]]; !ended || b.root.classes[0].overrun > overrun+smoothingFactor*2 {
		t.Errorf("query ended: %v, overrun %v, %v before; want it ended and the overrun hardly raised",
			ended, b.root.classes[0].overrun, overrun)
	}
}
