package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// bed drives one root and checks on every turn what must hold on any.
type bed struct {
	t      *testing.T
	r      *Root
	now    float64
	nextID uint64
	number float64
	state  map[Addr]State
	out    map[uint64]int        // attempts of each part
	where  map[uint64][]Addr     // replica of each attempt
	final  map[uint64]ActionKind // final answers of queries
	whole  map[uint64]bool       // of answers
	owner  map[uint64]uint64     // query of each part
	events []Event               // for the next turn
	acts   []Action              // of the last turn
}

func settings() Settings {
	return Settings{
		Roots: 1, TickMs: 5, Cells: 1, CellsPerShard: 1, Shards: 4, MaxPartsPerCall: 1,
		Classes:     []Class{{ObjectiveMs: 1000, DeadlineMs: 3000, LateWorthShare: 0.1, Worth: 1, CompleteShare: 1, MinShare: 1}},
		MaxAttempts: 3, AllowCopies: true, AllowCancel: true, SendRetryAfter: true, MaxRetryAfterMs: 1000,
		ColdCapacityShare: 0.2, WarmUpMs: 10000, ColdOverloadFactor: 2, ColdOverloadMs: 2000,
	}
}

// start makes a root that knows replicas 1 to n, all warm and heard of at ms.
func start(t *testing.T, s Settings, n int, ms float64) *bed {
	b := &bed{
		t: t, r: New(s, 1), now: 1000, state: map[Addr]State{}, out: map[uint64]int{},
		where: map[uint64][]Addr{}, final: map[uint64]ActionKind{}, whole: map[uint64]bool{},
		owner: map[uint64]uint64{},
	}
	var members []Member
	for i := range n {
		members = append(members, Member{Addr: Addr(i + 1), State: Ready})
	}
	b.list(ListCached, members...)
	b.step(0)
	for range 4 * n {
		if ms == 0 {
			break
		}
		q, parts := b.query(0, 4)
		b.step(0)
		for i, p := range parts {
			if b.out[p] == 0 {
				t.Fatalf("part %d of warm-up query %d was not sent", i, q)
			}
		}
		b.step(ms)
		for _, p := range parts {
			for a := range b.where[p] {
				b.done(p, a, OK)
			}
		}
		b.step(0)
	}
	return b
}

func (b *bed) list(kind ListKind, members ...Member) {
	for _, m := range members {
		b.state[m.Addr] = m.State
	}
	b.events = append(b.events, Event{Kind: ListUpdate, List: kind, Members: members})
}

func (b *bed) query(class, k int) (uint64, []uint64) {
	b.number++
	c := b.r.settings.Classes[class]
	b.nextID++
	q := b.nextID
	b.events = append(b.events, Event{Kind: QueryArrived, ID: q, Class: class, TimeLeftMs: c.DeadlineMs, Number: b.number, Parts: k})
	var parts []uint64
	for i := range k {
		b.nextID++
		parts = append(parts, b.nextID)
		b.owner[b.nextID] = q
		b.events = append(b.events, Event{Kind: PartArrived, ID: b.nextID, Class: class, TimeLeftMs: c.DeadlineMs,
			Number: b.number, Shard: i, Weight: 1 / float64(k)})
	}
	return q, parts
}

func (b *bed) done(part uint64, attempt int, o Outcome) {
	b.events = append(b.events, Event{Kind: AttemptDone, ID: part, Attempt: attempt, Addr: b.where[part][attempt], Outcome: o})
}

// step lets ms pass, with the turns that the root's timers ask for meanwhile,
// and plays the turn.
func (b *bed) step(ms float64) {
	b.t.Helper()
	b.acts = nil
	pace := sweepIntervalTicks * b.r.settings.TickMs
	for ; ms > pace; ms -= pace {
		b.now += pace
		b.acts = b.r.Step(b.now, nil, b.acts)
	}
	b.stall(ms)
}

// stall lets ms pass without a turn, as when the root itself stands still.
func (b *bed) stall(ms float64) {
	b.t.Helper()
	b.now += ms
	b.acts = b.r.Step(b.now, b.events, b.acts)
	b.events = nil
	for _, a := range b.acts {
		if math.IsNaN(a.Ms) {
			b.t.Errorf("%v: action %+v holds a time that is no number", b.now, a)
		}
		switch a.Kind {
		case Send:
			if b.state[a.Addr] != Ready {
				b.t.Errorf("%v: part %d sent to replica %d, which is not ready", b.now, a.ID, a.Addr)
			}
			if k, over := b.final[b.owner[a.ID]]; over {
				b.t.Errorf("%v: part %d sent after its query's end (%v)", b.now, a.ID, k)
			}
			b.out[a.ID]++
			b.where[a.ID] = append(b.where[a.ID], a.Addr)
		case Answer, Refuse, Abort:
			if _, twice := b.final[a.ID]; twice {
				b.t.Errorf("%v: query %d ended twice", b.now, a.ID)
			}
			b.final[a.ID], b.whole[a.ID] = a.Kind, a.Complete
		}
	}
}

func (b *bed) sends() (n int) {
	for _, a := range b.acts {
		if a.Kind == Send {
			n++
		}
	}
	return n
}

func TestPartsLeaveAtOnceAndAnswerCancels(t *testing.T) {
	b := start(t, settings(), 3, 100)
	q, parts := b.query(0, 4)
	b.step(0)
	if n := b.sends(); n != 4 {
		t.Fatalf("%d parts left at once, want 4", n)
	}
	b.step(100)
	for _, p := range parts {
		b.done(p, 0, OK)
	}
	b.step(0)
	if b.final[q] != Answer || !b.whole[q] {
		t.Errorf("query ended by %v, whole %v, want a whole answer", b.final[q], b.whole[q])
	}
	if n := b.sends(); n != 0 {
		t.Errorf("%d copies sent for answers that landed together, want none", n)
	}
}

func TestForkSendsOneCopyElsewhere(t *testing.T) {
	b := start(t, settings(), 3, 100)
	forks := 0
	for range 40 {
		b.r.classes[0].copyFraction = maxCopyFraction // 4 parts: a fork in four of ten queries
		q, parts := b.query(0, 4)
		b.step(0)
		b.step(100)
		for _, p := range parts[1:] {
			b.done(p, 0, OK)
		}
		b.step(0)
		if w := b.where[parts[0]]; len(w) == 2 {
			forks++
			if w[0] == w[1] {
				t.Errorf("the copy went to the original's replica %d", w[0])
			}
			b.step(10)
			b.done(parts[0], 1, OK)
			b.step(0)
			if !slices.ContainsFunc(b.acts, func(a Action) bool { return a.Kind == Cancel && a.Attempt == 0 }) {
				t.Error("the losing twin was not cancelled")
			}
			b.done(parts[0], 0, Cancelled)
		} else {
			b.done(parts[0], 0, OK)
		}
		b.step(0)
		if b.final[q] != Answer {
			t.Fatalf("query ended by %v, want an answer", b.final[q])
		}
	}
	if forks < 8 || forks > 26 {
		t.Errorf("%d forks of 40 queries, want about 16", forks)
	}
}

func TestChooseP(t *testing.T) {
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
			s := settings()
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

func TestEstimate(t *testing.T) {
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

func TestGiveUpInTime(t *testing.T) {
	for _, effect := range []Effect{Safe, Keyed, Unsafe} {
		t.Run(fmt.Sprint(effect), func(t *testing.T) {
			s := settings()
			s.Classes[0].Effect, s.Classes[0].DedupWindowMs = effect, 500
			b := start(t, s, 3, 100)
			q, _ := b.query(0, 4)
			b.step(0)
			ends := b.now + 3000
			for b.now < ends-2*s.TickMs {
				b.step(s.TickMs)
			}
			want := Refuse
			if effect == Unsafe {
				want = Abort // its parts may have run
			}
			if k, over := b.final[q]; !over || k != want {
				t.Errorf("at its end the query had %v (ended: %v), want %v", k, over, want)
			}
		})
	}
}

func TestUnsafeIsRepeatedOnlyIfItNeverRan(t *testing.T) {
	for _, test := range []struct {
		o    Outcome
		want int
	}{{Rejected, 2}, {Unreachable, 2}, {Failed, 1}, {ConnectionLost, 1}, {TimedOut, 1}} {
		s := settings()
		s.Classes[0].Effect = Unsafe
		b := start(t, s, 3, 100)
		_, parts := b.query(0, 4)
		b.step(0)
		b.step(20)
		b.done(parts[0], 0, test.o)
		b.step(0)
		if got := b.out[parts[0]]; got != test.want {
			t.Errorf("after outcome %v: %d attempts, want %d", test.o, got, test.want)
		}
	}
}

func TestKeyedIsRepeatedOnlyInItsWindow(t *testing.T) {
	for _, test := range []struct {
		after float64
		want  int
	}{{100, 2}, {600, 1}} {
		s := settings()
		s.Classes[0].Effect, s.Classes[0].DedupWindowMs = Keyed, 500
		s.AllowCopies = false
		b := start(t, s, 3, 100)
		_, parts := b.query(0, 4)
		b.step(0)
		b.step(test.after)
		b.done(parts[0], 0, Failed)
		b.step(0)
		if got := b.out[parts[0]]; got != test.want {
			t.Errorf("failed after %v ms of a 500 ms window: %d attempts, want %d", test.after, got, test.want)
		}
	}
}

func TestErrorsNeverLookQuick(t *testing.T) {
	b := start(t, settings(), 3, 100)
	for range 30 {
		_, parts := b.query(0, 4)
		b.step(0)
		b.step(1)
		for _, p := range parts {
			if b.where[p][0] == 1 {
				b.done(p, 0, Failed)
			}
		}
		b.step(0)
		b.step(99)
		for _, p := range parts {
			for a, at := range b.where[p] {
				if at != 1 {
					b.done(p, a, OK)
				}
			}
			if n := len(b.where[p]); n > 1 && b.where[p][1] == 1 {
				t.Error("a failed part went back to the replica that failed it")
			}
		}
		b.step(0)
	}
	n := 0
	for _, w := range b.where {
		if len(w) > 0 && w[0] == 1 {
			n++
		}
	}
	if n > 16+30 { // a third of the warm-up's 48, cheap tries until it is known to fail nearly all, then a trickle
		t.Errorf("%d first sends to a replica that always fails", n)
	}
}

func TestSilentReplicaIsRescued(t *testing.T) {
	b := start(t, settings(), 3, 100)
	q, parts := b.query(0, 4)
	b.step(0)
	b.step(100)
	for _, p := range parts {
		if b.where[p][0] != 1 {
			b.done(p, 0, OK)
		}
	}
	// Replica 1 stays silent while the others go on answering.
	for b.now < 1e6 && len(b.final) > 0 {
		if _, over := b.final[q]; over {
			break
		}
		b.step(5)
		for _, p := range parts {
			if w := b.where[p]; len(w) > 1 {
				if w[1] == 1 {
					t.Fatal("rescued to the silent replica")
				}
				b.done(p, 1, OK)
			}
		}
	}
	if b.final[q] != Answer {
		t.Errorf("query ended by %v, want an answer from other replicas", b.final[q])
	}
}

func TestAllSlowSuspectsNone(t *testing.T) {
	b := start(t, settings(), 4, 100)
	for range 12 { // every part now takes five times as long, none is silent alone
		_, parts := b.query(0, 4)
		b.step(0)
		for range 10 {
			b.step(50)
		}
		for _, p := range parts {
			for a := range b.where[p] {
				b.done(p, a, OK)
			}
		}
		b.step(0)
	}
	for _, h := range b.r.listedReplicas {
		if h.suspected {
			t.Errorf("replica %d is suspect though all are slow alike", h.Addr)
		}
	}
}

func TestDrainDuringForkAndRestart(t *testing.T) {
	b := start(t, settings(), 2, 100)
	_, parts := b.query(0, 4)
	b.step(0)
	b.step(100)
	for _, p := range parts[1:] {
		b.done(p, 0, OK)
	}
	other := Addr(3 - int(b.where[parts[0]][0]))
	b.list(ListDelta, Member{Addr: other, State: Draining})
	b.step(0) // bed.step fails on a send to a draining replica
	if b.out[parts[0]] != 1 {
		t.Error("a copy went out though the only other holder drains")
	}
	c := start(t, settings(), 0, 0)
	c.list(ListCached, Member{Addr: 1, State: Draining})
	q, _ := c.query(0, 4)
	c.step(0)
	if c.final[q] != Refuse {
		t.Error("a query that no ready replica can serve was not refused at once")
	}
}

func TestFullListDropsTheUnnamed(t *testing.T) {
	b := start(t, settings(), 3, 100)
	b.state[2] = Removed
	b.list(ListFull, Member{Addr: 1}, Member{Addr: 3})
	for range 20 {
		b.query(0, 4)
		b.step(1)
	}
	if b.sends() == 0 && len(b.r.openQueries) == 0 {
		t.Error("nothing was sent at all")
	}
}

func TestColdReplicaIsNotFlooded(t *testing.T) {
	s := settings()
	s.Roots = 3
	b := start(t, s, 3, 100)
	b.list(ListDelta, Member{Addr: 9, ReadyAt: b.now})
	begin, n := b.now, 0
	for b.now < begin+s.ColdOverloadMs {
		_, parts := b.query(0, 4)
		b.step(0)
		b.step(50)
		for _, p := range parts {
			for a, at := range b.where[p] {
				o := OK
				if at == 9 {
					n, o = n+1, Rejected // a rejection must not open the gate sooner
				}
				b.done(p, a, o)
			}
		}
		b.step(0)
	}
	// A warm replica takes at least the 160 parts over 2 s that three share here.
	if limit := int(s.ColdCapacityShare * s.ColdOverloadFactor * 160 / 3 / 2); n > limit {
		t.Errorf("%d sends to a cold replica in its first %v ms, want %d at most", n, s.ColdOverloadMs, limit)
	}
}

func TestBudget(t *testing.T) {
	s := settings()
	s.HasRetryBudget, s.RetryBudgetFloor, s.RetryBudgetRatio, s.RetryBudgetWindowMs = true, 3, 0.02, 1000
	b := start(t, s, 6, 100)
	type at struct{ ms, extra, taken float64 }
	var log []at
	for range 60 {
		_, parts := b.query(0, 4)
		log = append(log, at{b.now, 0, 5})
		for range 4 {
			b.step(5)
			extra := 0.0
			for _, a := range b.acts {
				if a.Kind == Send && b.out[a.ID] > 1 {
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
				for a := range b.where[p] {
					b.done(p, a, Failed)
				}
			}
		}
	}
}

func TestSubscribesAndAsksAgain(t *testing.T) {
	s := settings()
	s.MustSubscribe, s.MaxSubscribeIntervalMs = true, 2000
	b := start(t, s, 0, 0)
	asked := []float64{}
	for range 2000 {
		for _, a := range b.acts {
			if a.Kind == Subscribe && a.Complete {
				asked = append(asked, b.now)
				b.list(ListFailed)
			}
		}
		b.step(5)
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

func TestPartialAnswerAtTheEnd(t *testing.T) {
	s := settings()
	s.Classes[0].MinShare = 0.5
	b := start(t, s, 3, 100)
	q, parts := b.query(0, 4)
	b.step(0)
	b.step(100)
	for _, p := range parts[:3] {
		b.done(p, 0, OK)
	}
	b.step(0)
	for range 700 {
		b.step(5)
	}
	if b.final[q] != Answer || b.whole[q] {
		t.Errorf("ended by %v, whole %v, want a partial answer not marked whole", b.final[q], b.whole[q])
	}
}

func TestTwoSteps(t *testing.T) {
	s := settings()
	s.Classes[0].SecondStepParts = 2
	b := start(t, s, 3, 0)
	q, parts := b.query(0, 4)
	b.step(0)
	for _, p := range parts {
		b.done(p, 0, OK)
	}
	b.step(100)
	if b.final[q] != Answer || !b.whole[q] {
		t.Fatal("the first step was not answered whole")
	}
	delete(b.final, q) // it only closed the first step
	for i := range 2 {
		b.nextID++
		b.owner[b.nextID] = q
		b.events = append(b.events, Event{Kind: PartArrived, ID: b.nextID, Number: b.number, Shard: i, Weight: 0.5, TimeLeftMs: 2900})
	}
	b.step(5)
	if n := b.sends(); n != 2 {
		t.Fatalf("%d parts of the second step sent, want 2", n)
	}
	b.done(b.nextID, 0, OK)
	b.step(50)
	if _, over := b.final[q]; over {
		t.Fatal("ended with a part of the second step missing")
	}
	b.done(b.nextID-1, 0, OK)
	b.step(50)
	if b.final[q] != Answer || !b.whole[q] {
		t.Errorf("ended by %v, whole %v, want a whole answer", b.final[q], b.whole[q])
	}
}

// A long run with every kind of outcome leaves nothing behind, and the same
// events give the same actions.
func TestLongRunIsBoundedAndRepeatable(t *testing.T) {
	run := func() (string, *bed) {
		s := settings()
		s.MaxOpen = 200
		b := start(t, s, 6, 100)
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
				b.query(0, 4)
			}
			if turn%997 == 0 { // replicas come and go
				b.list(ListDelta, Member{Addr: Addr(100 + turn)})
			}
			if turn%997 == 500 {
				b.list(ListDelta, Member{Addr: Addr(100 + turn - 500), State: Removed})
			}
			b.step(5)
			for _, a := range b.acts {
				sum = (sum ^ a.ID ^ uint64(a.Addr)<<20 ^ uint64(a.Kind)<<40 ^ math.Float64bits(a.Ms)) * 1099511628211
				if a.Kind == Send {
					air = append(air, flight{a.ID, b.out[a.ID] - 1, b.now + 20 + 200*rng.Float64()})
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
				b.done(f.part, f.a, o)
				return true
			})
		}
		b.step(5)
		return fmt.Sprint(sum), b
	}
	one, b := run()
	two, _ := run()
	if one != two {
		t.Error("the same events gave other actions")
	}
	r := b.r
	if len(r.parts)+len(r.queriesByNumber)+len(r.openQueries) != 0 {
		t.Errorf("left behind: %d parts, %d numbers, %d open", len(r.parts), len(r.queriesByNumber), len(r.openQueries))
	}
	if n := len(r.replicas); n > 8 {
		t.Errorf("%d replicas remembered, 6 are listed", n)
	}
	for id, k := range b.final {
		if k != Answer && k != Refuse {
			t.Errorf("safe query %d ended by %v", id, k)
		}
	}
}

// A part none of whose siblings has answered proves nothing against its
// replica, one with an answered sibling does.
func TestHeavyQueryMakesNoSuspects(t *testing.T) {
	for _, siblings := range []bool{false, true} {
		b := start(t, settings(), 8, 100)
		_, parts := b.query(0, 2)
		b.step(0)
		b.step(100)
		if siblings {
			b.done(parts[0], 0, OK)
		}
		suspects := 0
		for range 200 { // one second
			b.step(5)
			for _, h := range b.r.listedReplicas {
				if h.suspected {
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
func TestDrainedQueueLetsQueriesIn(t *testing.T) {
	b := start(t, settings(), 2, 100)
	for _, h := range b.r.listedReplicas {
		h.latency, h.latencyLoad = 1500, 6 // learned with six parts out; now there are none
	}
	q, _ := b.query(0, 4)
	b.step(5)
	if _, over := b.final[q]; over {
		t.Error("refused although nothing is out at any holder")
	}
}

// Overload must be met by refusals at arrival with a hint, not by failures at
// the deadline.
func TestRefusesPastItsAimWithAHint(t *testing.T) {
	b := start(t, settings(), 2, 100)
	for _, h := range b.r.listedReplicas {
		h.latency, h.latencyLoad = 2500, 1
	}
	q, _ := b.query(0, 4)
	b.step(5)
	if b.final[q] != Refuse {
		t.Fatal("taken in although its end is predicted past the aim")
	}
	for _, a := range b.acts {
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
	b := start(t, settings(), 3, 100)
	b.r.classes[0].copyFraction = 0 // no fork
	_, parts := b.query(0, 4)
	b.step(0)
	b.step(100)
	for _, p := range parts[1:] {
		b.done(p, 0, OK)
	}
	b.step(0)
	for range 30 { // other queries keep every replica heard
		b.r.classes[0].copyFraction = 0
		_, others := b.query(0, 9)
		b.step(0)
		b.step(50)
		if b.out[parts[0]] > 1 {
			b.done(parts[0], 1, OK)
		}
		for _, p := range others {
			b.done(p, 0, OK)
		}
		b.step(0)
	}
	if w := b.where[parts[0]]; len(w) != 2 || w[0] == w[1] {
		t.Errorf("the lost part was sent to %v, want two replicas", w)
	}
}

// A calm root that never needs a further attempt must not keep count of all it
// ever took in.
func TestCalmRootForgetsWhatItTook(t *testing.T) {
	b := start(t, settings(), 3, 0)
	b.r.classes[0].copyFraction = 0
	for range 3000 {
		_, parts := b.query(0, 4)
		b.step(0)
		for _, p := range parts {
			b.done(p, 0, OK)
		}
		b.step(20)
		b.r.classes[0].copyFraction = 0
	}
	if window := int(defaultRetryWindowMs/20+2) * 5; len(b.r.arrivals) > window {
		t.Errorf("%d arrivals kept, %d fit the window", len(b.r.arrivals), window)
	}
}

// A replica that vanishes and is listed again with a new start is cold, also
// to a root that knew it warm, however little it has out.
func TestReturnedReplicaIsCold(t *testing.T) {
	b := start(t, settings(), 3, 100)
	b.list(ListDelta, Member{Addr: 1, State: Removed})
	b.step(5)
	b.list(ListDelta, Member{Addr: 1, State: Ready, ReadyAt: b.now})
	n := 0
	for range 20 { // nothing is answered: the load grows everywhere
		_, parts := b.query(0, 4)
		b.step(5)
		for _, p := range parts {
			if w := b.where[p]; len(w) > 0 && w[0] == 1 {
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
func TestSlipOfPredictionsRefusesAndFades(t *testing.T) {
	b := start(t, settings(), 4, 100)
	c := &b.r.classes[0]
	for _, h := range b.r.listedReplicas {
		h.latency = 600
	}
	c.overrun, c.lateRate, c.overrunAt = 3, 0.5, b.now
	late, _ := b.query(0, 4)
	b.step(5)
	if b.final[late] != Refuse {
		t.Error("taken in although queries take three times the predicted 600 ms of 1000 ms")
	}
	for _, h := range b.r.listedReplicas {
		h.latency, h.lastAnswerAt = 600, b.now+20*decayLatencies*b.r.medianLatency
	}
	b.step(20 * decayLatencies * b.r.medianLatency)
	again, _ := b.query(0, 4)
	b.step(5)
	if _, over := b.final[again]; over {
		t.Error("still refused long after the last query that took too long")
	}
}

// A root that stood still itself must hold neither the age of what was out nor
// what came meanwhile against replicas, and must not copy for it.
func TestOwnAbsenceIsNoEvidence(t *testing.T) {
	b := start(t, settings(), 4, 100)
	b.query(0, 1) // keeps a timer due
	b.step(5)
	_, parts := b.query(0, 4)
	b.step(5)
	b.step(60)
	b.done(parts[0], 0, OK)
	b.step(5)
	lat := b.r.replicas[b.where[parts[1]][0]].latency
	sends := b.sends()
	b.acts = nil
	b.done(parts[1], 0, OK)
	b.stall(900)
	for _, h := range b.r.listedReplicas {
		if h.suspected {
			t.Errorf("replica %d suspected after the root's own absence", h.Addr)
		}
	}
	if h := b.r.replicas[b.where[parts[1]][0]]; h.latency != lat {
		t.Errorf("latency %v learned from an answer that waited for the root, %v before", h.latency, lat)
	}
	if b.sends() != 0 {
		t.Errorf("%d copies after the root's own absence (%d sends before)", b.sends(), sends)
	}
}

// Dozens of roots together, busy and quiet ones, must not send a cold replica
// more than the told fall budget, which the usual load of a replica measures.
func TestManyRootsSpareAColdReplica(t *testing.T) {
	const roots, warm = 50, 9
	s := settings()
	s.Roots = roots
	perMs, cold := 0.0, 0
	for i := range roots {
		b := start(t, s, warm, 100)
		b.r.rng.Float64()
		for range i {
			b.r.rng.Float64() // as another seed would
		}
		b.list(ListDelta, Member{Addr: 100, State: Ready, ReadyAt: b.now})
		b.step(0)
		every := 300.0 // quiet roots ask every three seconds, busy ones ten times as often
		if i%5 > 0 {
			every = 3000
		}
		for range int(6000 / every) { // settle the usual rate
			b.played(every, 100)
		}
		b.list(ListDelta, Member{Addr: 100, State: Ready, ReadyAt: b.now})
		b.step(0)
		perMs += 4 / every / (warm + 1)
		for _, h := range b.r.listedReplicas {
			h.latency = 200 // slow warm ones make the cold one wanted
		}
		for range max(1, int(s.ColdOverloadMs/every)) {
			for _, a := range b.played(every, 100) {
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
func (b *bed) played(every, ms float64) (to []Addr) {
	_, parts := b.query(0, 4)
	b.step(5)
	b.step(ms)
	for _, p := range parts {
		for a, addr := range b.where[p] {
			to = append(to, addr)
			b.done(p, a, OK)
		}
	}
	b.step(5)
	b.step(every - ms - 10)
	return to
}

// Impatient clients all give a short time: their tries are worth their full
// worth, but only if predicted within it, not within the aim. What is left of
// a client's own deadline is told from such a habit by being seen once.
func TestImpatientTriesMustFitTheirPatience(t *testing.T) {
	s := settings() // aim 1000, deadline 3000
	c := &class{Class: s.Classes[0]}
	for i, test := range []struct{ left, want float64 }{
		{2000, 1000}, {2000, 1000}, {2400, 400}, {300, -1700}, {300, 1000}, {2000, 1000},
	} {
		if got := c.objective(&Event{TimeLeftMs: test.left}, s.TickMs); got != test.want {
			t.Errorf("try %d, given %v ms: aim in %v, want %v", i, test.left, got, test.want)
		}
	}
	b := start(t, s, 4, 400)
	impatient := func() uint64 {
		q, _ := b.query(0, 4)
		for i := range b.events {
			b.events[i].TimeLeftMs = 300
		}
		b.step(5)
		return q
	}
	impatient()
	b.step(1000)
	if q := impatient(); b.final[q] != Refuse {
		t.Error("taken in although replicas take 400 ms and the client waits 300")
	}
}

// A root that has just started knows no usual worth. A first query that is past
// its aim and earns nothing late must be ended with numbers all the same.
func TestNothingEarnedBeforeAnythingIsKnown(t *testing.T) {
	s := settings()
	s.Classes[0].LateWorthShare = 0
	b := start(t, s, 4, 0)
	b.query(0, 4)
	b.step(5)
	q, _ := b.query(0, 4)
	for i := range b.events {
		b.events[i].TimeLeftMs = 12
	}
	b.step(5)
	if b.final[q] != Refuse {
		t.Error("taken in with nothing to earn")
	}
}

// A slow way to another zone shows at all of its replicas together: they are
// passed over while nearer ones are free, also those never heard, and what is
// out there is not held against each of them in turn.
func TestSlowZoneIsToldFromSlowReplicas(t *testing.T) {
	s := settings()
	b := start(t, s, 0, 0)
	var members []Member
	for i := range 12 {
		members = append(members, Member{Addr: Addr(i + 1), Zone: i % 2})
	}
	b.list(ListFull, members...)
	b.step(0)
	for range 60 { // the far zone answers after 1500 ms, the near one after 100
		_, parts := b.query(0, 4)
		b.step(5)
		for _, ms := range []float64{100, 1400} {
			b.step(ms)
			for _, p := range parts {
				for a, addr := range b.where[p] {
					if (ms == 100) == (int(addr)%2 == 1) {
						b.done(p, a, OK)
					}
				}
			}
			b.step(5)
		}
	}
	far, near := b.r.replicas[2], b.r.replicas[1]
	if b.r.expectedLatency(far) <= b.r.expectedLatency(near) {
		t.Errorf("far replicas are judged by %v ms, near ones by %v", b.r.expectedLatency(far), b.r.expectedLatency(near))
	}
	b.r.replicas[4].hasAnswered = false
	b.step(20)
	if unheard := b.r.replicas[4]; unheard.rankLatency <= near.rankLatency {
		t.Errorf("an unheard far replica counts %v ms, a near one %v", unheard.rankLatency, near.rankLatency)
	}
	_, parts := b.query(0, 4)
	b.step(5)
	for _, p := range parts {
		if addr := b.where[p][0]; int(addr)%2 == 0 {
			t.Errorf("part sent across the slow way to replica %d", addr)
		}
	}
}

// Calls that are lost one by one end in time-outs at replicas that answer all
// else: these must not pass for latencies, or the whole fleet looks slow.
func TestTimeOutTeachesNoLatency(t *testing.T) {
	b := start(t, settings(), 4, 100)
	_, parts := b.query(0, 4)
	b.step(5)
	b.step(100)
	lost, h := parts[0], b.r.replicas[b.where[parts[0]][0]]
	for _, p := range parts[1:] {
		b.done(p, 0, OK)
	}
	b.step(5)
	before := h.latency
	b.done(lost, 0, TimedOut)
	b.step(2000)
	if h.latency != before {
		t.Errorf("latency %v after a lost call, %v before", h.latency, before)
	}
}

// A part lost in the first of two steps must not cost the query: its partial
// answer leaves while a second step can still be had before the aim.
func TestPartialFirstStepLeavesTimeForTheSecond(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	s.Classes[0] = Class{ObjectiveMs: 1000, DeadlineMs: 3000, Worth: 1, CompleteShare: 1, MinShare: 0.5, PartialWorth: 0.8, SecondStepParts: 2}
	b := start(t, s, 3, 0)
	q, parts := b.query(0, 4)
	b.step(0)
	b.step(100)
	for _, p := range parts[:3] {
		b.done(p, 0, OK)
	}
	b.step(0)
	for i := range 200 {
		if _, over := b.final[q]; over {
			if left := 1000 - 100 - 5*float64(i); left < 100 {
				t.Errorf("first step answered %.0f ms before the aim, no second step fits", left)
			}
			break
		}
		b.step(5)
	}
	if b.final[q] != Answer || b.whole[q] {
		t.Errorf("ended by %v, whole %v, want a partial answer", b.final[q], b.whole[q])
	}
}

// A partial answer that earns more than a late whole one leaves just before the aim.
func TestPartialAnswerAtTheAimWhereLateEarnsLess(t *testing.T) {
	for _, late := range []float64{0.3, 0.9} {
		s := settings()
		s.Classes[0].MinShare, s.Classes[0].PartialWorth, s.Classes[0].LateWorthShare = 0.5, 0.9, late
		b := start(t, s, 3, 0)
		q, parts := b.query(0, 4)
		b.step(0)
		b.step(100)
		for _, p := range parts[:3] {
			b.done(p, 0, OK)
		}
		b.step(880)
		if _, over := b.final[q]; over != (late < 0.9*0.75) {
			t.Errorf("late share %v: ended at the aim: %v", late, over)
		}
	}
}

// A query under whose parts replicas die, none answering, is ended before its
// further attempts bring down more; one that was answered in part is not.
func TestQueryThatKillsReplicasIsEnded(t *testing.T) {
	b := start(t, settings(), 6, 100)
	q, parts := b.query(0, 4)
	b.step(0)
	b.done(parts[0], 0, ConnectionLost)
	b.step(20)
	if b.sends() > 0 {
		t.Error("a part under which a replica died is sent on while no sibling has answered")
	}
	b.done(parts[1], 0, ConnectionLost)
	b.step(5)
	if b.final[q] != Refuse || b.sends() > 0 {
		t.Errorf("two of four parts killed: ended by %v with %d sends, want a refusal and none", b.final[q], b.sends())
	}
	b = start(t, settings(), 6, 100)
	q, parts = b.query(0, 1)
	b.step(5)
	b.done(parts[0], 0, ConnectionLost)
	b.step(20)
	if b.out[parts[0]] != 2 {
		t.Fatal("the only part was not tried once more")
	}
	b.done(parts[0], 1, ConnectionLost)
	b.step(5)
	if b.final[q] != Refuse {
		t.Error("a part that killed two replicas is kept")
	}
	b = start(t, settings(), 6, 100)
	q, parts = b.query(0, 4)
	b.step(5)
	b.done(parts[0], 0, OK)
	b.done(parts[1], 0, ConnectionLost)
	b.done(parts[2], 0, ConnectionLost)
	b.step(100)
	if _, over := b.final[q]; over || b.out[parts[1]] < 2 || b.out[parts[2]] < 2 {
		t.Error("a query with an answer in was taken for one that kills")
	}
}

// Refusals must not close the cold gate: with every replica cold, what a root
// may send follows what it sent before and what comes, not what is left.
func TestColdGateStaysOpenWhileAllIsRefused(t *testing.T) {
	s := settings()
	b := start(t, s, 4, 100)
	for range 60 {
		b.played(300, 100) // 13 parts a second, three a replica
	}
	n := 0
	for range 5 { // all restart every six seconds, before they are warm
		var cold []Member
		for i := range 4 {
			cold = append(cold, Member{Addr: Addr(i + 1), ReadyAt: b.now})
		}
		b.list(ListDelta, cold...)
		b.step(0)
		n = 0
		for range 20 {
			n += len(b.played(300, 100))
		}
	}
	usual := 20.0 * 4
	low, high := coldBudgetShare*s.ColdOverloadFactor*s.ColdCapacityShare*usual, s.ColdOverloadFactor*(s.ColdCapacityShare+0.24)*usual
	if float64(n) < low || float64(n) > high {
		t.Errorf("%d parts sent to cold replicas in the last six seconds, want %.0f to %.0f of %.0f usual", n, low, high, usual)
	}
}

// One old slow answer must not make a root refuse for ever, as it hears no other.
func TestOldNewsLetsQueriesInAgain(t *testing.T) {
	s := settings()
	b := start(t, s, 6, 0)
	_, parts := b.query(0, 4)
	b.step(5)
	b.step(1500)
	for _, p := range parts {
		b.done(p, 0, OK)
	}
	b.step(5)
	taken := 0
	for range 20 {
		q, _ := b.query(0, 4)
		b.step(5)
		if _, over := b.final[q]; !over {
			taken++
		}
		b.step(495)
	}
	if taken == 0 {
		t.Error("every query of ten seconds on an idle fleet is refused for one old answer")
	}
}

// Nothing of one zone answers: a root that hears from each of its replicas once
// or twice must not send the parts of a large query there one by one, nor try
// more than a few when it looks whether the zone is back.
func TestCutZoneIsDoubtedAsOne(t *testing.T) {
	s := settings()
	s.Cells, s.CellsPerShard, s.Shards = 20, 2, 20
	b := start(t, s, 0, 0)
	var members []Member
	for i := range 20 {
		members = append(members, Member{Addr: Addr(i + 1), Cell: i, Zone: i % 2})
	}
	b.r.hasList = false // all long up
	b.list(ListFull, members...)
	b.step(0)
	far := func() (n int) {
		_, parts := b.query(0, 20)
		b.step(5)
		for _, p := range parts {
			if len(b.where[p]) > 0 && b.where[p][0]%2 == 0 {
				n++
			}
		}
		b.step(100)
		for range 3 {
			for _, p := range parts {
				if a := len(b.where[p]) - 1; a >= 0 {
					o := OK
					if b.where[p][a]%2 == 0 {
						o = Unreachable
					}
					b.done(p, a, o)
				}
			}
			b.step(5)
		}
		b.step(50)
		return n
	}
	first, sent := far(), []int{}
	for range 8 {
		sent = append(sent, far())
	}
	if first < 4 || slices.Max(sent[1:]) > 1 {
		t.Errorf("%d parts sent to the cut zone at first, then %v, want one at most at a time", first, sent)
	}
	b.done(b.nextID, 0, OK) // of no consequence
	if h := b.r.replicas[2]; !b.r.unhealthy(h) {
		t.Error("a replica of the cut zone is not doubted")
	}
	b.r.recordSuccess(b.r.replicas[4])
	if h := b.r.replicas[4]; h.group.failureRate > groupFailureThreshold {
		t.Error("the zone is still doubted as one after an answer")
	}
}

// A query most of whose parts can be had is taken in where a partial answer may
// be given, though no replica is left for the others; one short of its floor is not.
func TestQueryWithinItsFloorIsTakenIn(t *testing.T) {
	s := settings()
	s.Cells, s.CellsPerShard, s.Shards = 4, 1, 4
	s.Classes[0].MinShare, s.Classes[0].PartialWorth = 0.5, 0.8
	for held, want := range map[int]bool{3: true, 1: false} {
		b := start(t, s, 0, 0)
		b.r.hasList = false
		var members []Member
		for i := range held {
			members = append(members, Member{Addr: Addr(i + 1), Cell: i})
		}
		b.list(ListFull, members...)
		b.step(0)
		q, _ := b.query(0, 4)
		b.step(5)
		if _, over := b.final[q]; over == want {
			t.Errorf("holders for %d of 4 parts: taken in %v, want %v", held, !over, want)
		}
	}
}

// Only safe parts get a second copy while the first is out.
func TestKeyedPartsGetNoCopy(t *testing.T) {
	s := settings()
	s.Classes[0].Effect, s.Classes[0].DedupWindowMs = Keyed, 3000
	b := start(t, s, 6, 60)
	_, parts := b.query(0, 4)
	b.step(5)
	for _, p := range parts[:3] {
		b.done(p, 0, OK)
	}
	b.step(800)
	if b.out[parts[3]] != 1 {
		t.Errorf("%d attempts of a keyed part that is still out, want 1", b.out[parts[3]])
	}
}

// A retry, and any query while replicas have lately died under parts, sends one
// part ahead: it brings down one replica where all its parts would many. A sound
// one is whole after its first answer; patience shorter than the aim is no death.
func TestOnePartGoesAheadWhereReplicasDied(t *testing.T) {
	b := start(t, settings(), 6, 100)
	retry := func(left float64) (uint64, []uint64) {
		q, parts := b.query(0, 4)
		for i := range b.events {
			b.events[i].Retry, b.events[i].TimeLeftMs = true, left
		}
		b.step(5)
		return q, parts
	}
	q, parts := retry(3000)
	if b.sends() != 1 {
		t.Fatalf("%d parts of a retry sent at once, want 1", b.sends())
	}
	b.done(parts[0], 0, OK)
	b.step(5)
	if _, over := b.final[q]; over || b.sends() != 3 {
		t.Errorf("%d parts follow an answer, want 3", b.sends())
	}
	q, parts = retry(3000)
	b.done(parts[0], 0, ConnectionLost)
	b.step(5)
	if b.final[q] != Refuse || b.sends() > 0 {
		t.Error("a retry that killed a replica again is kept")
	}
	if q, _ := b.query(0, 4); q > 0 {
		if b.step(5); b.sends() != 1 {
			t.Errorf("%d parts of a query of the class that killed sent at once, want 1", b.sends())
		}
	}
	b = start(t, settings(), 6, 100)
	if retry(900); b.sends() != 4 {
		t.Errorf("%d parts of an impatient client's retry sent at once, want 4", b.sends())
	}
}

// A replica that answers others but lost a part of one class is passed over by
// that class alone, and taken again once it answers one of it.
func TestReplicaThatLosesOneClassIsShunnedByItAlone(t *testing.T) {
	s := settings()
	s.Classes = append(s.Classes, s.Classes[0])
	b := start(t, s, 3, 60)
	for b.r.replicas[1].avoidedUntil[0] == 0 && b.now < 60000 {
		_, parts := b.query(0, 4)
		_, other := b.query(1, 4)
		b.step(5)
		for range 8 {
			b.step(60)
			for _, p := range slices.Concat(parts, other) {
				for a, addr := range b.where[p] {
					if addr != 1 || slices.Contains(other, p) {
						b.done(p, a, OK)
					}
				}
			}
			b.step(5)
		}
		for _, p := range parts {
			for a, addr := range b.where[p] {
				if addr == 1 {
					b.done(p, a, Cancelled)
				}
			}
		}
		b.step(700)
	}
	h := b.r.replicas[1]
	if h.avoidedUntil[0] <= b.now || h.avoidedUntil[1] != 0 || h.suspected {
		t.Fatalf("shunned till %v, suspect %v, want by the first class alone", h.avoidedUntil, h.suspected)
	}
	for class, want := range []bool{false, true} {
		sent := false
		for range 6 {
			for _, h := range b.r.listedReplicas {
				h.latency = 60 // alike but for what is shunned
			}
			_, parts := b.query(class, 1)
			b.step(5)
			sent = sent || b.where[parts[0]][0] == 1
			b.done(parts[0], 0, OK)
			b.step(5)
		}
		if sent != want {
			t.Errorf("class %d sent to the replica: %v, want %v", class, sent, want)
		}
	}
}

// A replica that fails most parts, but at once, is asked first while the others are loaded: where it serves
// only what happens to be tried there, they would be overloaded. What may not be repeated is not gambled on,
// and a fast failure uses up no budget.
func TestFastFailuresAreAskedFirstUnderLoad(t *testing.T) {
	for _, load := range []bool{false, true} {
		s := settings()
		s.Classes = append(s.Classes, Class{ObjectiveMs: 1000, DeadlineMs: 3000, Worth: 1, CompleteShare: 1, MinShare: 1, Effect: Unsafe})
		b := start(t, s, 2, 20)
		end := func(p uint64) { // at replica 1 it fails, but for one in eight; at replica 2 it is served
			for a := 0; a < len(b.where[p]); a++ {
				if b.where[p][a] == 1 {
					b.step(2)
					b.done(p, a, Failed)
				} else {
					b.step(20)
					b.done(p, a, OK)
				}
				b.step(0)
			}
		}
		for range 60 {
			if _, parts := b.query(0, 1); true {
				b.step(0)
				end(parts[0])
			}
		}
		h := b.r.replicas[1]
		if !h.suspected {
			t.Fatal("the failing replica is not suspected")
		}
		h.failureRate = 0.85 // as where one in some is served
		b.step(3 * trialIntervalLatencies * 20)
		h.nextTrialAt = math.Inf(1) // no trial is due: what is sent there is sent for its speed
		if load {
			for range 8 {
				b.query(1, 1) // each stays at replica 2
			}
			b.step(0)
		}
		_, safe := b.query(0, 1)
		_, unsafe := b.query(1, 1)
		b.step(0)
		if want := map[bool]Addr{false: 2, true: 1}[load]; b.where[safe[0]][0] != want {
			t.Errorf("load %v: the safe part went to replica %d", load, b.where[safe[0]][0])
		}
		if b.where[unsafe[0]][0] != 2 {
			t.Errorf("load %v: the unsafe part went to replica %d", load, b.where[unsafe[0]][0])
		}
		if !load {
			continue
		}
		extras := len(b.r.extraAttempts)
		b.step(2)
		b.done(safe[0], 0, Failed)
		b.step(0)
		if len(b.where[safe[0]]) != 2 || b.where[safe[0]][1] != 2 {
			t.Errorf("after the fast failure the part is at %v", b.where[safe[0]])
		}
		if len(b.r.extraAttempts) != extras {
			t.Error("a try after a fast failure used up budget")
		}
	}
}

// Where connections break under replicas that live on, a broken attempt blames neither its query nor, the first
// time, its replica; a replica that refuses the next attempt has died.
func TestBrokenConnectionsUnderLivingReplicas(t *testing.T) {
	for _, dies := range []bool{false, true} {
		b := start(t, settings(), 3, 20)
		for range 8 {
			_, parts := b.query(0, 1)
			b.step(0)
			b.step(5)
			b.done(parts[0], 0, ConnectionLost)
			b.step(0)
			for n := 1; n < len(b.where[parts[0]]); n++ {
				b.step(20)
				b.done(parts[0], n, OK)
				b.step(0)
			}
			for range 6 { // others follow: the replica answers, or refuses
				_, next := b.query(0, 2)
				b.step(0)
				b.step(20)
				for _, p := range next {
					for a := 0; a < len(b.where[p]); a++ {
						if b.r.replicas[b.where[p][a]].connectionLostAt > 0 && dies {
							b.done(p, a, Unreachable)
						} else {
							b.done(p, a, OK)
						}
						b.step(0)
					}
				}
			}
		}
		if b.r.connectionLossIsHarmless() == dies {
			t.Fatalf("dies %v: harmless %v", dies, b.r.connectionLossIsHarmless())
		}
		if dies {
			continue
		}
		if b.now < b.r.cautiousUntil {
			t.Error("parts still go ahead one by one")
		}
		_, parts := b.query(0, 3)
		b.step(0)
		h := b.r.replicas[b.where[parts[0]][0]]
		bad := h.suspicion
		b.done(parts[0], 0, ConnectionLost)
		b.step(0)
		if h.suspicion > bad {
			t.Error("the replica is blamed")
		}
		if b.out[parts[0]] != 2 || b.final[b.owner[parts[0]]] != 0 {
			t.Errorf("the part has %d attempts, its query's end is %v", b.out[parts[0]], b.final[b.owner[parts[0]]])
		}
	}
}

// A query that a replica now in doubt has held up teaches of those that avoid it by
// its other parts alone, which were as quick as ever.
func TestQueriesLetDownTeachNoSlip(t *testing.T) {
	b := start(t, settings(), 3, 20)
	slip := b.r.classes[0].overrun
	_, parts := b.query(0, 3)
	b.step(0)
	b.step(20)
	silentOne := parts[0]
	for _, p := range parts[1:] {
		b.done(p, 0, OK)
	}
	for len(b.where[silentOne]) < 2 || b.where[silentOne][1] == b.where[silentOne][0] {
		b.step(20)
		if b.now > 3000 {
			t.Fatal("the part is not rescued")
		}
	}
	b.step(20)
	b.done(silentOne, 1, OK)
	b.r.replicas[b.where[silentOne][0]].suspected = true
	b.step(0)
	if _, over := b.final[b.owner[silentOne]]; !over || b.r.classes[0].overrun > slip+smoothingFactor*2 {
		t.Errorf("over %v, slip %v, was %v", over, b.r.classes[0].overrun, slip)
	}
}
