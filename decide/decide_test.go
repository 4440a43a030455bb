package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// bed drives one root and checks on every turn what must hold on any.
type testbed struct {
	t            *testing.T
	root         *Root
	now          float64
	lastID       uint64
	lastNumber   float64
	states       map[Addr]State
	attemptCount map[uint64]int        // attempts of each part
	sentTo       map[uint64][]Addr     // replica of each attempt
	ends         map[uint64]ActionKind // final answers of queries
	complete     map[uint64]bool       // of answers
	queryOf      map[uint64]uint64     // query of each part
	events       []Event               // for the next turn
	actions      []Action              // of the last turn
}

func testSettings() Settings {
	return Settings{
		Roots: 1, TickMs: 5, Cells: 1, CellsPerShard: 1, Shards: 4, MaxPartsPerCall: 1,
		Classes:     []Class{{ObjectiveMs: 1000, DeadlineMs: 3000, LateWorthShare: 0.1, Worth: 1, CompleteShare: 1, MinShare: 1}},
		MaxAttempts: 3, AllowCopies: true, AllowCancel: true, SendRetryAfter: true, MaxRetryAfterMs: 1000,
		ColdCapacityShare: 0.2, WarmUpMs: 10000, ColdOverloadFactor: 2, ColdOverloadMs: 2000,
	}
}

// start makes a root that knows replicas 1 to n, all warm and heard of at ms.
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

func (b *testbed) updateList(kind ListKind, members ...Member) {
	for _, m := range members {
		b.states[m.Addr] = m.State
	}
	b.events = append(b.events, Event{Kind: ListUpdate, List: kind, Members: members})
}

func (b *testbed) addQuery(class, partCount int) (uint64, []uint64) {
	b.lastNumber++
	c := b.root.settings.Classes[class]
	b.lastID++
	q := b.lastID
	b.events = append(b.events, Event{Kind: QueryArrived, ID: q, Class: class, TimeLeftMs: c.DeadlineMs, Number: b.lastNumber, Parts: partCount})
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

func (b *testbed) endAttempt(part uint64, attempt int, outcome Outcome) {
	b.events = append(b.events, Event{Kind: AttemptDone, ID: part, Attempt: attempt, Addr: b.sentTo[part][attempt], Outcome: outcome})
}

// step lets ms pass, with the turns that the root's timers ask for meanwhile,
// and plays the turn.
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

// stall lets ms pass without a turn, as when the root itself stands still.
func (b *testbed) advanceWithoutTurns(ms float64) {
	b.t.Helper()
	b.now += ms
	b.actions = b.root.Step(b.now, b.events, b.actions)
	b.events = nil
	for _, a := range b.actions {
		if math.IsNaN(a.Ms) {
			b.t.Errorf("%v: action %+v holds a time that is no number", b.now, a)
		}
		switch a.Kind {
		case Send:
			if b.states[a.Addr] != Ready {
				b.t.Errorf("%v: part %d sent to replica %d, which is not ready", b.now, a.ID, a.Addr)
			}
			if k, over := b.ends[b.queryOf[a.ID]]; over {
				b.t.Errorf("%v: part %d sent after its query's end (%v)", b.now, a.ID, k)
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
		t.Fatalf("%d parts left at once, want 4", n)
	}
	b.advance(100)
	for _, p := range parts {
		b.endAttempt(p, 0, OK)
	}
	b.advance(0)
	if b.ends[q] != Answer || !b.complete[q] {
		t.Errorf("query ended by %v, whole %v, want a whole answer", b.ends[q], b.complete[q])
	}
	if n := b.sendCount(); n != 0 {
		t.Errorf("%d copies sent for answers that landed together, want none", n)
	}
}

func TestForkCopiesPartToAnotherReplica(t *testing.T) {
	b := newTestbed(t, testSettings(), 3, 100)
	forks := 0
	for range 40 {
		b.root.classes[0].copyFraction = maxCopyFraction // 4 parts: a fork in four of ten queries
		q, parts := b.addQuery(0, 4)
		b.advance(0)
		b.advance(100)
		for _, p := range parts[1:] {
			b.endAttempt(p, 0, OK)
		}
		b.advance(0)
		if w := b.sentTo[parts[0]]; len(w) == 2 {
			forks++
			if w[0] == w[1] {
				t.Errorf("the copy went to the original's replica %d", w[0])
			}
			b.advance(10)
			b.endAttempt(parts[0], 1, OK)
			b.advance(0)
			if !slices.ContainsFunc(b.actions, func(a Action) bool { return a.Kind == Cancel && a.Attempt == 0 }) {
				t.Error("the losing twin was not cancelled")
			}
			b.endAttempt(parts[0], 0, Cancelled)
		} else {
			b.endAttempt(parts[0], 0, OK)
		}
		b.advance(0)
		if b.ends[q] != Answer {
			t.Fatalf("query ended by %v, want an answer", b.ends[q])
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
		{"constant: copies gain nothing", func() float64 { return 100 }, func(p float64) bool { return p == 0 }},
		{"rare tail ten times the body: copies pay", func() float64 {
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
				c.recordFirstSend(test.draw())
			}
			r.now = 1e6
			r.chooseCopyFraction(c)
			if !test.want(c.copyFraction) {
				t.Errorf("p = %v", c.copyFraction)
			}
		})
	}
}

func TestEstimateLatency(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	// Constant times: the fork comes when all are done, and costs nothing.
	if l, busy := estimateLatency([]float64{50, 50, 50}, 4, 0.1, rng); l != 50 || busy != 200 {
		t.Errorf("constant: latency %v, busy %v, want 50 and 200", l, busy)
	}
	// Without copies the busy time is k times the mean.
	x := []float64{10, 20, 30, 40}
	if _, busy := estimateLatency(x, 40, 0, rng); math.Abs(busy-40*25) > 40 {
		t.Errorf("no copies: busy %v, want about 1000", busy)
	}
	// With a tail the copy bounds the wait after the fork.
	tail := append(slices.Repeat([]float64{10}, 95), 1000, 1000, 1000, 1000, 1000)
	slow, _ := estimateLatency(tail, 10, 0, rand.New(rand.NewPCG(3, 4)))
	fast, _ := estimateLatency(tail, 10, 0.1, rand.New(rand.NewPCG(3, 4)))
	if fast > slow/2 {
		t.Errorf("tail: latency %v with copies, %v without, want under half", fast, slow)
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
			ends := b.now + 3000
			for b.now < ends-2*s.TickMs {
				b.advance(s.TickMs)
			}
			want := Refuse
			if effect == Unsafe {
				want = Abort // its parts may have run
			}
			if k, over := b.ends[q]; !over || k != want {
				t.Errorf("at its end the query had %v (ended: %v), want %v", k, over, want)
			}
		})
	}
}

func TestUnsafePartIsRetriedOnlyIfItNeverRan(t *testing.T) {
	for _, test := range []struct {
		o    Outcome
		want int
	}{{Rejected, 2}, {Unreachable, 2}, {Failed, 1}, {ConnectionLost, 1}, {TimedOut, 1}} {
		s := testSettings()
		s.Classes[0].Effect = Unsafe
		b := newTestbed(t, s, 3, 100)
		_, parts := b.addQuery(0, 4)
		b.advance(0)
		b.advance(20)
		b.endAttempt(parts[0], 0, test.o)
		b.advance(0)
		if got := b.attemptCount[parts[0]]; got != test.want {
			t.Errorf("after outcome %v: %d attempts, want %d", test.o, got, test.want)
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
			if n := len(b.sentTo[p]); n > 1 && b.sentTo[p][1] == 1 {
				t.Error("a failed part went back to the replica that failed it")
			}
		}
		b.advance(0)
	}
	n := 0
	for _, w := range b.sentTo {
		if len(w) > 0 && w[0] == 1 {
			n++
		}
	}
	if n > 16+30 { // a third of the warm-up's 48, cheap tries until it is known to fail nearly all, then a trickle
		t.Errorf("%d first sends to a replica that always fails", n)
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
	// Replica 1 stays silent while the others go on answering.
	for b.now < 1e6 && len(b.ends) > 0 {
		if _, over := b.ends[q]; over {
			break
		}
		b.advance(5)
		for _, p := range parts {
			if w := b.sentTo[p]; len(w) > 1 {
				if w[1] == 1 {
					t.Fatal("rescued to the silent replica")
				}
				b.endAttempt(p, 1, OK)
			}
		}
	}
	if b.ends[q] != Answer {
		t.Errorf("query ended by %v, want an answer from other replicas", b.ends[q])
	}
}

func TestUniformSlownessSuspectsNoReplica(t *testing.T) {
	b := newTestbed(t, testSettings(), 4, 100)
	for range 12 { // every part now takes five times as long, none is silent alone
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
			t.Errorf("replica %d is suspect though all are slow alike", rep.Addr)
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
	b.advance(0) // bed.step fails on a send to a draining replica
	if b.attemptCount[parts[0]] != 1 {
		t.Error("a copy went out though the only other holder drains")
	}
	c := newTestbed(t, testSettings(), 0, 0)
	c.updateList(ListCached, Member{Addr: 1, State: Draining})
	q, _ := c.addQuery(0, 4)
	c.advance(0)
	if c.ends[q] != Refuse {
		t.Error("a query that no ready replica can serve was not refused at once")
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
		t.Error("nothing was sent at all")
	}
}

func TestColdReplicaIsNotOverloaded(t *testing.T) {
	s := testSettings()
	s.Roots = 3
	b := newTestbed(t, s, 3, 100)
	b.updateList(ListDelta, Member{Addr: 9, ReadyAt: b.now})
	begin, n := b.now, 0
	for b.now < begin+s.ColdOverloadMs {
		_, parts := b.addQuery(0, 4)
		b.advance(0)
		b.advance(50)
		for _, p := range parts {
			for a, at := range b.sentTo[p] {
				o := OK
				if at == 9 {
					n, o = n+1, Rejected // a rejection must not open the gate sooner
				}
				b.endAttempt(p, a, o)
			}
		}
		b.advance(0)
	}
	// A warm replica takes at least the 160 parts over 2 s that three share here.
	if limit := int(s.ColdCapacityShare * s.ColdOverloadFactor * 160 / 3 / 2); n > limit {
		t.Errorf("%d sends to a cold replica in its first %v ms, want %d at most", n, s.ColdOverloadMs, limit)
	}
}

func TestFurtherAttemptsStayWithinRetryBudget(t *testing.T) {
	s := testSettings()
	s.HasRetryBudget, s.RetryBudgetFloor, s.RetryBudgetRatio, s.RetryBudgetWindowMs = true, 3, 0.02, 1000
	b := newTestbed(t, s, 6, 100)
	type at struct{ ms, extra, taken float64 }
	var log []at
	for range 60 {
		_, parts := b.addQuery(0, 4)
		log = append(log, at{b.now, 0, 5})
		for range 4 {
			b.advance(5)
			extra := 0.0
			for _, a := range b.actions {
				if a.Kind == Send && b.attemptCount[a.ID] > 1 {
					extra++
				}
			}
			log = append(log, at{b.now, extra, 0})
			var extras, taken float64
			for _, l := range log {
				if l.ms >= b.now-s.RetryBudgetWindowMs {
					extras, taken = extras+l.extra, taken+l.taken
				}
			}
			if allowed := s.RetryBudgetFloor + s.RetryBudgetRatio*(taken+30*5); extras > allowed {
				t.Fatalf("%v further attempts in the window, %v allowed", extras, allowed)
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
	asked := []float64{}
	for range 2000 {
		for _, a := range b.actions {
			if a.Kind == Subscribe && a.Complete {
				asked = append(asked, b.now)
				b.updateList(ListFailed)
			}
		}
		b.advance(5)
	}
	if len(asked) < 5 {
		t.Fatalf("asked %d times in 10 s of failures", len(asked))
	}
	for i := 1; i < len(asked); i++ {
		if asked[i]-asked[i-1] > s.MaxSubscribeIntervalMs {
			t.Errorf("silent for %v ms, %v allowed", asked[i]-asked[i-1], s.MaxSubscribeIntervalMs)
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
		t.Errorf("ended by %v, whole %v, want a partial answer not marked whole", b.ends[q], b.complete[q])
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
		t.Fatal("the first step was not answered whole")
	}
	delete(b.ends, q) // it only closed the first step
	for i := range 2 {
		b.lastID++
		b.queryOf[b.lastID] = q
		b.events = append(b.events, Event{Kind: PartArrived, ID: b.lastID, Number: b.lastNumber, Shard: i, Weight: 0.5, TimeLeftMs: 2900})
	}
	b.advance(5)
	if n := b.sendCount(); n != 2 {
		t.Fatalf("%d parts of the second step sent, want 2", n)
	}
	b.endAttempt(b.lastID, 0, OK)
	b.advance(50)
	if _, over := b.ends[q]; over {
		t.Fatal("ended with a part of the second step missing")
	}
	b.endAttempt(b.lastID-1, 0, OK)
	b.advance(50)
	if b.ends[q] != Answer || !b.complete[q] {
		t.Errorf("ended by %v, whole %v, want a whole answer", b.ends[q], b.complete[q])
	}
}

// A long run with every kind of outcome leaves nothing behind, and the same
// events give the same actions.
func TestLongRunLeaksNothingAndIsDeterministic(t *testing.T) {
	run := func() (string, *testbed) {
		s := testSettings()
		s.MaxOpen = 200
		b := newTestbed(t, s, 6, 100)
		rng := rand.New(rand.NewPCG(5, 5))
		type flight struct {
			part uint64
			a    int
			at   float64
		}
		var air []flight
		sum := uint64(14695981039346656037)
		for turn := range 20000 {
			if turn < 19000 && rng.IntN(4) == 0 {
				b.addQuery(0, 4)
			}
			if turn%997 == 0 { // replicas come and go
				b.updateList(ListDelta, Member{Addr: Addr(100 + turn)})
			}
			if turn%997 == 500 {
				b.updateList(ListDelta, Member{Addr: Addr(100 + turn - 500), State: Removed})
			}
			b.advance(5)
			for _, a := range b.actions {
				sum = (sum ^ a.ID ^ uint64(a.Addr)<<20 ^ uint64(a.Kind)<<40 ^ math.Float64bits(a.Ms)) * 1099511628211
				if a.Kind == Send {
					air = append(air, flight{a.ID, b.attemptCount[a.ID] - 1, b.now + 20 + 200*rng.Float64()})
				}
			}
			air = slices.DeleteFunc(air, func(f flight) bool {
				if f.at > b.now {
					return false
				}
				o := OK
				if rng.IntN(10) == 0 {
					o = Outcome(rng.IntN(8))
				}
				b.endAttempt(f.part, f.a, o)
				return true
			})
		}
		b.advance(5)
		return fmt.Sprint(sum), b
	}
	one, b := run()
	two, _ := run()
	if one != two {
		t.Error("the same events gave other actions")
	}
	r := b.root
	if len(r.parts)+len(r.queriesByNumber)+len(r.openQueries) != 0 {
		t.Errorf("left behind: %d parts, %d numbers, %d open", len(r.parts), len(r.queriesByNumber), len(r.openQueries))
	}
	if n := len(r.replicas); n > 8 {
		t.Errorf("%d replicas remembered, 6 are listed", n)
	}
	for id, k := range b.ends {
		if k != Answer && k != Refuse {
			t.Errorf("safe query %d ended by %v", id, k)
		}
	}
}

// A part none of whose siblings has answered proves nothing against its
// replica, one with an answered sibling does.
func TestExpensiveQuerySuspectsNoReplica(t *testing.T) {
	for _, siblings := range []bool{false, true} {
		b := newTestbed(t, testSettings(), 8, 100)
		_, parts := b.addQuery(0, 2)
		b.advance(0)
		b.advance(100)
		if siblings {
			b.endAttempt(parts[0], 0, OK)
		}
		suspects := 0
		for range 200 { // one second
			b.advance(5)
			for _, rep := range b.root.listedReplicas {
				if rep.suspected {
					suspects++
				}
			}
		}
		if (suspects > 0) != siblings {
			t.Errorf("sibling answered: %v, suspect turns: %d", siblings, suspects)
		}
	}
}

// A drained queue must not go on predicting the wait it once had: nothing
// would be sent there any more, and so nothing learned.
func TestDrainedQueueAdmitsQueries(t *testing.T) {
	b := newTestbed(t, testSettings(), 2, 100)
	for _, rep := range b.root.listedReplicas {
		rep.latency, rep.latencyLoad = 1500, 6 // learned with six parts out; now there are none
	}
	q, _ := b.addQuery(0, 4)
	b.advance(5)
	if _, over := b.ends[q]; over {
		t.Error("refused although nothing is out at any holder")
	}
}

// Overload must be met by refusals at arrival with a hint, not by failures at
// the deadline.
func TestOverloadRefusesAtArrivalWithHint(t *testing.T) {
	b := newTestbed(t, testSettings(), 2, 100)
	for _, rep := range b.root.listedReplicas {
		rep.latency, rep.latencyLoad = 2500, 1
	}
	q, _ := b.addQuery(0, 4)
	b.advance(5)
	if b.ends[q] != Refuse {
		t.Fatal("taken in although its end is predicted past the aim")
	}
	for _, a := range b.actions {
		if a.Kind == Refuse && (a.Ms <= 0 || a.Ms > 1000) {
			t.Errorf("hint of %v ms, want within 0 to 1000", a.Ms)
		}
		if a.Kind == Send {
			t.Error("a part of a refused query was sent")
		}
	}
}

// A single part lost at a replica that goes on answering others is copied,
// whatever the fork's count.
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
	for range 30 { // other queries keep every replica heard
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
	if w := b.sentTo[parts[0]]; len(w) != 2 || w[0] == w[1] {
		t.Errorf("the lost part was sent to %v, want two replicas", w)
	}
}

// A calm root that never needs a further attempt must not keep count of all it
// ever took in.
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
		t.Errorf("%d arrivals kept, %d fit the window", len(b.root.arrivals), window)
	}
}

// A replica that vanishes and is listed again with a new start is cold, also
// to a root that knew it warm, however little it has out.
func TestRelistedReplicaIsCold(t *testing.T) {
	b := newTestbed(t, testSettings(), 3, 100)
	b.updateList(ListDelta, Member{Addr: 1, State: Removed})
	b.advance(5)
	b.updateList(ListDelta, Member{Addr: 1, State: Ready, ReadyAt: b.now})
	n := 0
	for range 20 { // nothing is answered: the load grows everywhere
		_, parts := b.addQuery(0, 4)
		b.advance(5)
		for _, p := range parts {
			if w := b.sentTo[p]; len(w) > 0 && w[0] == 1 {
				n++
			}
		}
	}
	if n > 1 {
		t.Errorf("%d parts sent to a replica just returned, want one in flight at most", n)
	}
}

// Queries that take longer than predicted, for whatever reason, must make later
// ones be refused in time, and this must fade once nothing more is learned.
func TestPredictionOverrunRefusesAndDecays(t *testing.T) {
	b := newTestbed(t, testSettings(), 4, 100)
	c := &b.root.classes[0]
	for _, rep := range b.root.listedReplicas {
		rep.latency = 600
	}
	c.overrun, c.lateRate, c.overrunAt = 3, 0.5, b.now
	late, _ := b.addQuery(0, 4)
	b.advance(5)
	if b.ends[late] != Refuse {
		t.Error("taken in although queries take three times the predicted 600 ms of 1000 ms")
	}
	for _, rep := range b.root.listedReplicas {
		rep.latency, rep.lastAnswerAt = 600, b.now+20*decayLatencies*b.root.medianLatency
	}
	b.advance(20 * decayLatencies * b.root.medianLatency)
	again, _ := b.addQuery(0, 4)
	b.advance(5)
	if _, over := b.ends[again]; over {
		t.Error("still refused long after the last query that took too long")
	}
}

// A root that stood still itself must hold neither the age of what was out nor
// what came meanwhile against replicas, and must not copy for it.
func TestOwnStallBlamesNoReplica(t *testing.T) {
	b := newTestbed(t, testSettings(), 4, 100)
	b.addQuery(0, 1) // keeps a timer due
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
			t.Errorf("replica %d suspected after the root's own absence", rep.Addr)
		}
	}
	if rep := b.root.replicas[b.sentTo[parts[1]][0]]; rep.latency != latency {
		t.Errorf("latency %v learned from an answer that waited for the root, %v before", rep.latency, latency)
	}
	if b.sendCount() != 0 {
		t.Errorf("%d copies after the root's own absence (%d sends before)", b.sendCount(), sends)
	}
}

// Dozens of roots together, busy and quiet ones, must not send a cold replica
// more than the told fall budget, which the usual load of a replica measures.
func TestColdReplicaIsNotOverloadedByManyRoots(t *testing.T) {
	const roots, warm = 50, 9
	s := testSettings()
	s.Roots = roots
	perMs, cold := 0.0, 0
	for i := range roots {
		b := newTestbed(t, s, warm, 100)
		b.root.rng.Float64()
		for range i {
			b.root.rng.Float64() // as another seed would
		}
		b.updateList(ListDelta, Member{Addr: 100, State: Ready, ReadyAt: b.now})
		b.advance(0)
		every := 300.0 // quiet roots ask every three seconds, busy ones ten times as often
		if i%5 > 0 {
			every = 3000
		}
		for range int(6000 / every) { // settle the usual rate
			b.runQuery(every, 100)
		}
		b.updateList(ListDelta, Member{Addr: 100, State: Ready, ReadyAt: b.now})
		b.advance(0)
		perMs += 4 / every / (warm + 1)
		for _, rep := range b.root.listedReplicas {
			rep.latency = 200 // slow warm ones make the cold one wanted
		}
		for range max(1, int(s.ColdOverloadMs/every)) {
			for _, a := range b.runQuery(every, 100) {
				if a == 100 {
					cold++
				}
			}
		}
	}
	usual := perMs * s.ColdOverloadMs // what a warm replica gets, so less than what it can serve
	warmth := s.ColdCapacityShare + (1-s.ColdCapacityShare)*s.ColdOverloadMs/2/s.WarmUpMs
	if limit := s.ColdOverloadFactor * warmth * usual; float64(cold) > limit || cold == 0 {
		t.Errorf("%d parts to the cold replica of %.0f usual in the window, want 1 to %.0f", cold, usual, limit)
	}
}

// played plays one query of four parts, answered after ms, then waits until
// every has passed, and gives the replicas it was sent to.
func (b *testbed) runQuery(every, ms float64) (to []Addr) {
	_, parts := b.addQuery(0, 4)
	b.advance(5)
	b.advance(ms)
	for _, p := range parts {
		for a, addr := range b.sentTo[p] {
			to = append(to, addr)
			b.endAttempt(p, a, OK)
		}
	}
	b.advance(5)
	b.advance(every - ms - 10)
	return to
}

// Impatient clients all give a short time: their tries are worth their full
// worth, but only if predicted within it, not within the aim. What is left of
// a client's own deadline is told from such a habit by being seen once.
func TestImpatientClientsAreAdmittedOnlyWithinTheirTimeout(t *testing.T) {
	s := testSettings() // aim 1000, deadline 3000
	c := &class{Class: s.Classes[0]}
	for i, test := range []struct{ left, want float64 }{
		{2000, 1000}, {2000, 1000}, {2400, 400}, {300, -1700}, {300, 1000}, {2000, 1000},
	} {
		if got := c.objective(&Event{TimeLeftMs: test.left}, s.TickMs); got != test.want {
			t.Errorf("try %d, given %v ms: aim in %v, want %v", i, test.left, got, test.want)
		}
	}
	b := newTestbed(t, s, 4, 400)
	impatient := func() uint64 {
		q, _ := b.addQuery(0, 4)
		for i := range b.events {
			b.events[i].TimeLeftMs = 300
		}
		b.advance(5)
		return q
	}
	impatient()
	b.advance(1000)
	if q := impatient(); b.ends[q] != Refuse {
		t.Error("taken in although replicas take 400 ms and the client waits 300")
	}
}

// A root that has just started knows no usual worth. A first query that is past
// its aim and earns nothing late must be ended with numbers all the same.
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
		t.Error("taken in with nothing to earn")
	}
}

// A slow way to another zone shows at all of its replicas together: they are
// passed over while nearer ones are free, also those never heard, and what is
// out there is not held against each of them in turn.
func TestSlowZoneIsDistinguishedFromSlowReplicas(t *testing.T) {
	s := testSettings()
	b := newTestbed(t, s, 0, 0)
	var members []Member
	for i := range 12 {
		members = append(members, Member{Addr: Addr(i + 1), Zone: i % 2})
	}
	b.updateList(ListFull, members...)
	b.advance(0)
	for range 60 { // the far zone answers after 1500 ms, the near one after 100
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
		t.Errorf("far replicas are judged by %v ms, near ones by %v", b.root.expectedLatency(far), b.root.expectedLatency(near))
	}
	b.root.replicas[4].hasAnswered = false
	b.advance(20)
	if unheard := b.root.replicas[4]; unheard.rankLatency <= near.rankLatency {
		t.Errorf("an unheard far replica counts %v ms, a near one %v", unheard.rankLatency, near.rankLatency)
	}
	_, parts := b.addQuery(0, 4)
	b.advance(5)
	for _, p := range parts {
		if addr := b.sentTo[p][0]; int(addr)%2 == 0 {
			t.Errorf("part sent across the slow way to replica %d", addr)
		}
	}
}

// Calls that are lost one by one end in time-outs at replicas that answer all
// else: these must not pass for latencies, or the whole fleet looks slow.
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

// A part lost in the first of two steps must not cost the query: its partial
// answer leaves while a second step can still be had before the aim.
func TestPartialFirstStepLeavesTimeForSecond(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 1
	s.Classes[0] = Class{ObjectiveMs: 1000, DeadlineMs: 3000, Worth: 1, CompleteShare: 1, MinShare: 0.5, PartialWorth: 0.8, SecondStepParts: 2}
	b := newTestbed(t, s, 3, 0)
	q, parts := b.addQuery(0, 4)
	b.advance(0)
	b.advance(100)
	for _, p := range parts[:3] {
		b.endAttempt(p, 0, OK)
	}
	b.advance(0)
	for i := range 200 {
		if _, over := b.ends[q]; over {
			if left := 1000 - 100 - 5*float64(i); left < 100 {
				t.Errorf("first step answered %.0f ms before the aim, no second step fits", left)
			}
			break
		}
		b.advance(5)
	}
	if b.ends[q] != Answer || b.complete[q] {
		t.Errorf("ended by %v, whole %v, want a partial answer", b.ends[q], b.complete[q])
	}
}

// A partial answer that earns more than a late whole one leaves just before the aim.
func TestPartialAnswerAtObjectiveIfLateEarnsLess(t *testing.T) {
	for _, late := range []float64{0.3, 0.9} {
		s := testSettings()
		s.Classes[0].MinShare, s.Classes[0].PartialWorth, s.Classes[0].LateWorthShare = 0.5, 0.9, late
		b := newTestbed(t, s, 3, 0)
		q, parts := b.addQuery(0, 4)
		b.advance(0)
		b.advance(100)
		for _, p := range parts[:3] {
			b.endAttempt(p, 0, OK)
		}
		b.advance(880)
		if _, over := b.ends[q]; over != (late < 0.9*0.75) {
			t.Errorf("late share %v: ended at the aim: %v", late, over)
		}
	}
}

// A query under whose parts replicas die, none answering, is ended before its
// further attempts bring down more; one that was answered in part is not.
func TestQueryThatCrashesReplicasIsEnded(t *testing.T) {
	b := newTestbed(t, testSettings(), 6, 100)
	q, parts := b.addQuery(0, 4)
	b.advance(0)
	b.endAttempt(parts[0], 0, ConnectionLost)
	b.advance(20)
	if b.sendCount() > 0 {
		t.Error("a part under which a replica died is sent on while no sibling has answered")
	}
	b.endAttempt(parts[1], 0, ConnectionLost)
	b.advance(5)
	if b.ends[q] != Refuse || b.sendCount() > 0 {
		t.Errorf("two of four parts killed: ended by %v with %d sends, want a refusal and none", b.ends[q], b.sendCount())
	}
	b = newTestbed(t, testSettings(), 6, 100)
	q, parts = b.addQuery(0, 1)
	b.advance(5)
	b.endAttempt(parts[0], 0, ConnectionLost)
	b.advance(20)
	if b.attemptCount[parts[0]] != 2 {
		t.Fatal("the only part was not tried once more")
	}
	b.endAttempt(parts[0], 1, ConnectionLost)
	b.advance(5)
	if b.ends[q] != Refuse {
		t.Error("a part that killed two replicas is kept")
	}
	b = newTestbed(t, testSettings(), 6, 100)
	q, parts = b.addQuery(0, 4)
	b.advance(5)
	b.endAttempt(parts[0], 0, OK)
	b.endAttempt(parts[1], 0, ConnectionLost)
	b.endAttempt(parts[2], 0, ConnectionLost)
	b.advance(100)
	if _, over := b.ends[q]; over || b.attemptCount[parts[1]] < 2 || b.attemptCount[parts[2]] < 2 {
		t.Error("a query with an answer in was taken for one that kills")
	}
}

// Refusals must not close the cold gate: with every replica cold, what a root
// may send follows what it sent before and what comes, not what is left.
func TestRefusalsDoNotShrinkColdBudget(t *testing.T) {
	s := testSettings()
	b := newTestbed(t, s, 4, 100)
	for range 60 {
		b.runQuery(300, 100) // 13 parts a second, three a replica
	}
	n := 0
	for range 5 { // all restart every six seconds, before they are warm
		var cold []Member
		for i := range 4 {
			cold = append(cold, Member{Addr: Addr(i + 1), ReadyAt: b.now})
		}
		b.updateList(ListDelta, cold...)
		b.advance(0)
		n = 0
		for range 20 {
			n += len(b.runQuery(300, 100))
		}
	}
	usual := 20.0 * 4
	low, high := coldBudgetShare*s.ColdOverloadFactor*s.ColdCapacityShare*usual, s.ColdOverloadFactor*(s.ColdCapacityShare+0.24)*usual
	if float64(n) < low || float64(n) > high {
		t.Errorf("%d parts sent to cold replicas in the last six seconds, want %.0f to %.0f of %.0f usual", n, low, high, usual)
	}
}

// One old slow answer must not make a root refuse for ever, as it hears no other.
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
	taken := 0
	for range 20 {
		q, _ := b.addQuery(0, 4)
		b.advance(5)
		if _, over := b.ends[q]; !over {
			taken++
		}
		b.advance(495)
	}
	if taken == 0 {
		t.Error("every query of ten seconds on an idle fleet is refused for one old answer")
	}
}

// Nothing of one zone answers: a root that hears from each of its replicas once
// or twice must not send the parts of a large query there one by one, nor try
// more than a few when it looks whether the zone is back.
func TestUnreachableZoneIsUnhealthyAsGroup(t *testing.T) {
	s := testSettings()
	s.Cells, s.CellsPerShard, s.Shards = 20, 2, 20
	b := newTestbed(t, s, 0, 0)
	var members []Member
	for i := range 20 {
		members = append(members, Member{Addr: Addr(i + 1), Cell: i, Zone: i % 2})
	}
	b.root.hasList = false // all long up
	b.updateList(ListFull, members...)
	b.advance(0)
	far := func() (n int) {
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
					o := OK
					if b.sentTo[p][a]%2 == 0 {
						o = Unreachable
					}
					b.endAttempt(p, a, o)
				}
			}
			b.advance(5)
		}
		b.advance(50)
		return n
	}
	first, sent := far(), []int{}
	for range 8 {
		sent = append(sent, far())
	}
	if first < 4 || slices.Max(sent[1:]) > 1 {
		t.Errorf("%d parts sent to the cut zone at first, then %v, want one at most at a time", first, sent)
	}
	b.endAttempt(b.lastID, 0, OK) // of no consequence
	if rep := b.root.replicas[2]; !b.root.unhealthy(rep) {
		t.Error("a replica of the cut zone is not doubted")
	}
	b.root.recordSuccess(b.root.replicas[4])
	if rep := b.root.replicas[4]; rep.group.failureRate > groupFailureThreshold {
		t.Error("the zone is still doubted as one after an answer")
	}
}

// A query most of whose parts can be had is taken in where a partial answer may
// be given, though no replica is left for the others; one short of its floor is not.
func TestQueryWithMinShareAvailableIsAdmitted(t *testing.T) {
	s := testSettings()
	s.Cells, s.CellsPerShard, s.Shards = 4, 1, 4
	s.Classes[0].MinShare, s.Classes[0].PartialWorth = 0.5, 0.8
	for held, want := range map[int]bool{3: true, 1: false} {
		b := newTestbed(t, s, 0, 0)
		b.root.hasList = false
		var members []Member
		for i := range held {
			members = append(members, Member{Addr: Addr(i + 1), Cell: i})
		}
		b.updateList(ListFull, members...)
		b.advance(0)
		q, _ := b.addQuery(0, 4)
		b.advance(5)
		if _, over := b.ends[q]; over == want {
			t.Errorf("holders for %d of 4 parts: taken in %v, want %v", held, !over, want)
		}
	}
}

// Only safe parts get a second copy while the first is out.
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
		t.Errorf("%d attempts of a keyed part that is still out, want 1", b.attemptCount[parts[3]])
	}
}

// A retry, and any query while replicas have lately died under parts, sends one
// part ahead: it brings down one replica where all its parts would many. A sound
// one is whole after its first answer; patience shorter than the aim is no death.
func TestOnePartIsSentAheadAfterCrashes(t *testing.T) {
	b := newTestbed(t, testSettings(), 6, 100)
	retry := func(left float64) (uint64, []uint64) {
		q, parts := b.addQuery(0, 4)
		for i := range b.events {
			b.events[i].Retry, b.events[i].TimeLeftMs = true, left
		}
		b.advance(5)
		return q, parts
	}
	q, parts := retry(3000)
	if b.sendCount() != 1 {
		t.Fatalf("%d parts of a retry sent at once, want 1", b.sendCount())
	}
	b.endAttempt(parts[0], 0, OK)
	b.advance(5)
	if _, over := b.ends[q]; over || b.sendCount() != 3 {
		t.Errorf("%d parts follow an answer, want 3", b.sendCount())
	}
	q, parts = retry(3000)
	b.endAttempt(parts[0], 0, ConnectionLost)
	b.advance(5)
	if b.ends[q] != Refuse || b.sendCount() > 0 {
		t.Error("a retry that killed a replica again is kept")
	}
	if q, _ := b.addQuery(0, 4); q > 0 {
		if b.advance(5); b.sendCount() != 1 {
			t.Errorf("%d parts of a query of the class that killed sent at once, want 1", b.sendCount())
		}
	}
	b = newTestbed(t, testSettings(), 6, 100)
	if retry(900); b.sendCount() != 4 {
		t.Errorf("%d parts of an impatient client's retry sent at once, want 4", b.sendCount())
	}
}

// A replica that answers others but lost a part of one class is passed over by
// that class alone, and taken again once it answers one of it.
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
		t.Fatalf("shunned till %v, suspect %v, want by the first class alone", rep.avoidedUntil, rep.suspected)
	}
	for class, want := range []bool{false, true} {
		sent := false
		for range 6 {
			for _, rep := range b.root.listedReplicas {
				rep.latency = 60 // alike but for what is shunned
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

// A replica that fails most parts, but at once, is asked first while the others are loaded: where it serves
// only what happens to be tried there, they would be overloaded. What may not be repeated is not gambled on,
// and a fast failure uses up no budget.
func TestFastFailingReplicaIsTriedFirstUnderLoad(t *testing.T) {
	for _, load := range []bool{false, true} {
		s := testSettings()
		s.Classes = append(s.Classes, Class{ObjectiveMs: 1000, DeadlineMs: 3000, Worth: 1, CompleteShare: 1, MinShare: 1, Effect: Unsafe})
		b := newTestbed(t, s, 2, 20)
		end := func(p uint64) { // at replica 1 it fails, but for one in eight; at replica 2 it is served
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
				end(parts[0])
			}
		}
		rep := b.root.replicas[1]
		if !rep.suspected {
			t.Fatal("the failing replica is not suspected")
		}
		rep.failureRate = 0.85 // as where one in some is served
		b.advance(3 * trialIntervalLatencies * 20)
		rep.nextTrialAt = math.Inf(1) // no trial is due: what is sent there is sent for its speed
		if load {
			for range 8 {
				b.addQuery(1, 1) // each stays at replica 2
			}
			b.advance(0)
		}
		_, safe := b.addQuery(0, 1)
		_, unsafe := b.addQuery(1, 1)
		b.advance(0)
		if want := map[bool]Addr{false: 2, true: 1}[load]; b.sentTo[safe[0]][0] != want {
			t.Errorf("load %v: the safe part went to replica %d", load, b.sentTo[safe[0]][0])
		}
		if b.sentTo[unsafe[0]][0] != 2 {
			t.Errorf("load %v: the unsafe part went to replica %d", load, b.sentTo[unsafe[0]][0])
		}
		if !load {
			continue
		}
		extras := len(b.root.extraAttempts)
		b.advance(2)
		b.endAttempt(safe[0], 0, Failed)
		b.advance(0)
		if len(b.sentTo[safe[0]]) != 2 || b.sentTo[safe[0]][1] != 2 {
			t.Errorf("after the fast failure the part is at %v", b.sentTo[safe[0]])
		}
		if len(b.root.extraAttempts) != extras {
			t.Error("a try after a fast failure used up budget")
		}
	}
}

// Where connections break under replicas that live on, a broken attempt blames neither its query nor, the first
// time, its replica; a replica that refuses the next attempt has died.
func TestHarmlessConnectionLossBlamesNoQueryOrReplica(t *testing.T) {
	for _, dies := range []bool{false, true} {
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
			for range 6 { // others follow: the replica answers, or refuses
				_, next := b.addQuery(0, 2)
				b.advance(0)
				b.advance(20)
				for _, p := range next {
					for a := 0; a < len(b.sentTo[p]); a++ {
						if b.root.replicas[b.sentTo[p][a]].connectionLostAt > 0 && dies {
							b.endAttempt(p, a, Unreachable)
						} else {
							b.endAttempt(p, a, OK)
						}
						b.advance(0)
					}
				}
			}
		}
		if b.root.connectionLossIsHarmless() == dies {
			t.Fatalf("dies %v: harmless %v", dies, b.root.connectionLossIsHarmless())
		}
		if dies {
			continue
		}
		if b.now < b.root.cautiousUntil {
			t.Error("parts still go ahead one by one")
		}
		_, parts := b.addQuery(0, 3)
		b.advance(0)
		rep := b.root.replicas[b.sentTo[parts[0]][0]]
		bad := rep.suspicion
		b.endAttempt(parts[0], 0, ConnectionLost)
		b.advance(0)
		if rep.suspicion > bad {
			t.Error("the replica is blamed")
		}
		if b.attemptCount[parts[0]] != 2 || b.ends[b.queryOf[parts[0]]] != 0 {
			t.Errorf("the part has %d attempts, its query's end is %v", b.attemptCount[parts[0]], b.ends[b.queryOf[parts[0]]])
		}
	}
}

// A query that a replica now in doubt has held up teaches of those that avoid it by
// its other parts alone, which were as quick as ever.
func TestSuspectedReplicaDoesNotRaiseOverrun(t *testing.T) {
	b := newTestbed(t, testSettings(), 3, 20)
	slip := b.root.classes[0].overrun
	_, parts := b.addQuery(0, 3)
	b.advance(0)
	b.advance(20)
	silentOne := parts[0]
	for _, p := range parts[1:] {
		b.endAttempt(p, 0, OK)
	}
	for len(b.sentTo[silentOne]) < 2 || b.sentTo[silentOne][1] == b.sentTo[silentOne][0] {
		b.advance(20)
		if b.now > 3000 {
			t.Fatal("the part is not rescued")
		}
	}
	b.advance(20)
	b.endAttempt(silentOne, 1, OK)
	b.root.replicas[b.sentTo[silentOne][0]].suspected = true
	b.advance(0)
	if _, over := b.ends[b.queryOf[silentOne]]; !over || b.root.classes[0].overrun > slip+smoothingFactor*2 {
		t.Errorf("over %v, slip %v, was %v", over, b.root.classes[0].overrun, slip)
	}
}
