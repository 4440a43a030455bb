package decide

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// fleet drives many roots as data, each with a seed and a share of the queries
// of its own, against replicas that are shared by all: what is harmless from one
// root shows its sum here.
type fleet struct {
	t            *testing.T
	now          float64
	roots        []*Root
	queue        eventQueue
	lastOrder    int
	respond      func(root int, a Addr) (Outcome, float64) // how an attempt that is sent now ends, and after how long
	sends        []sentAttempt
	queryEnds    []queryEnd
	openAttempts []map[uint64][]bool // by root and part: attempts without an outcome
	lastID       uint64
	arrivedAt    map[uint64]float64 // when each query came
	rng          *rand.Rand
}

type sentAttempt struct {
	at      float64
	root    int
	to      Addr
	earlier int // attempts of the part before
}

type queryEnd struct {
	at, took float64
	root     int
	kind     ActionKind
	hint     float64
}

type timedEvent struct {
	at    float64
	order int
	root  int
	event Event
}

type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// large is the settings of a root among many: short aims, few queries each.
func largeFleetSettings(roots, cells int) Settings {
	s := testSettings()
	s.Roots, s.TickMs, s.Cells, s.Shards = roots, 1, cells, 6*cells
	s.ColdCapacityShare, s.WarmUpMs, s.ColdOverloadFactor, s.ColdOverloadMs = 0.18, 15000, 3, 2000
	s.Classes[0].ObjectiveMs, s.Classes[0].DeadlineMs = 250, 1000
	return s
}

// newFleet starts the roots with the given members on their list.
func newFleet(t *testing.T, s Settings, members []Member) *fleet {
	f := &fleet{t: t, now: 1e6, arrivedAt: map[uint64]float64{}, rng: rand.New(rand.NewPCG(1, 2))}
	for i := range s.Roots {
		s.Index = i
		f.roots = append(f.roots, New(s, uint64(i+1)))
		f.openAttempts = append(f.openAttempts, map[uint64][]bool{})
		f.schedule(timedEvent{at: f.now, root: i, event: Event{Kind: ListUpdate, List: ListCached, Members: members}})
	}
	return f
}

func (f *fleet) schedule(e timedEvent) {
	f.lastOrder++
	e.order = f.lastOrder
	heap.Push(&f.queue, e)
}

// load lets queries of k parts come for ms, each root's so many a second.
func (f *fleet) runLoad(queriesPerSecond float64, partCount int, ms float64) {
	f.runLoadAt(f.allRoots(), queriesPerSecond, partCount, ms)
}

// loadAt does so at some of the roots alone.
func (f *fleet) runLoadAt(roots []int, queriesPerSecond float64, partCount int, ms float64) {
	shards := f.roots[0].settings.Shards
	for _, i := range roots {
		for at := f.now + f.rng.ExpFloat64()*1000/queriesPerSecond; at < f.now+ms; at += f.rng.ExpFloat64() * 1000 / queriesPerSecond {
			f.lastID++
			c := f.roots[i].settings.Classes[0]
			e := Event{Kind: QueryArrived, ID: f.lastID, TimeLeftMs: c.DeadlineMs, Number: float64(f.lastID), Parts: partCount}
			f.schedule(timedEvent{at: at, root: i, event: e})
			for j, shard := range f.rng.Perm(shards)[:partCount] {
				f.lastID++
				f.schedule(timedEvent{at: at, root: i, event: Event{Kind: PartArrived, ID: f.lastID, TimeLeftMs: c.DeadlineMs,
					Number: e.Number, Shard: shard, Weight: 1 / float64(partCount), Token: uint64(j)}})
			}
		}
	}
	f.run(f.now + ms)
}

// run plays all that happens until then.
func (f *fleet) run(end float64) {
	for len(f.queue) > 0 && f.queue[0].at < end {
		f.now = f.queue[0].at
		root, events := f.queue[0].root, []Event(nil)
		for len(f.queue) > 0 && f.queue[0].at == f.now && f.queue[0].root == root {
			e := heap.Pop(&f.queue).(timedEvent).event
			if e.Kind == QueryArrived {
				f.arrivedAt[e.ID] = f.now
			}
			if e.Kind == AttemptDone {
				if tries := f.openAttempts[root][e.ID]; e.Attempt >= len(tries) || !tries[e.Attempt] {
					continue // it was cancelled before
				}
				f.openAttempts[root][e.ID][e.Attempt] = false
			}
			events = append(events, e)
		}
		if len(events) == 0 {
			continue
		}
		for _, a := range f.roots[root].Step(f.now, events, nil) {
			f.carryOut(root, a)
		}
	}
	f.now = end
}

func (f *fleet) carryOut(root int, a Action) {
	switch a.Kind {
	case Send:
		n := len(f.openAttempts[root][a.ID])
		f.openAttempts[root][a.ID] = append(f.openAttempts[root][a.ID], true)
		f.sends = append(f.sends, sentAttempt{f.now, root, a.Addr, n})
		o, after := f.respond(root, a.Addr)
		if after > a.Ms {
			o, after = TimedOut, a.Ms
		}
		f.schedule(timedEvent{at: f.now + after, root: root, event: Event{Kind: AttemptDone, ID: a.ID, Attempt: n, Addr: a.Addr, Outcome: o, ElapsedMs: after}})
	case Cancel:
		f.schedule(timedEvent{at: f.now, root: root, event: Event{Kind: AttemptDone, ID: a.ID, Attempt: a.Attempt, Outcome: Cancelled}})
	case Timer:
		f.schedule(timedEvent{at: f.now + a.Ms, root: root, event: Event{Kind: TimerFired, Token: a.Token}})
	case Answer, Refuse, Abort:
		f.queryEnds = append(f.queryEnds, queryEnd{f.now, f.now - f.arrivedAt[a.ID], root, a.Kind, a.Ms})
	}
}

// members are n replicas in so many cells, all long warm.
func warmMembers(n, cells int) (all []Member) {
	for i := range n {
		all = append(all, Member{Addr: Addr(i + 1), Cell: i % cells, Zone: i / cells % 2, State: Ready})
	}
	return all
}

// sentTo counts what went to some replicas since a time.
func (f *fleet) countSends(since float64, which func(Addr) bool) (n int) {
	for _, s := range f.sends {
		if s.at >= since && which(s.to) {
			n++
		}
	}
	return n
}

// served counts the queries that ended since a time, answered or not.
func (f *fleet) countEnds(since float64) (served, lost int) {
	for _, e := range f.queryEnds {
		switch {
		case e.at < since:
		case e.kind == Answer:
			served++
		default:
			lost++
		}
	}
	return served, lost
}

// late counts the queries that ended since a time and those not answered within the aim.
func (f *fleet) countLate(since float64) (late, all int) {
	for _, e := range f.queryEnds {
		if e.at < since {
			continue
		}
		if all++; e.kind != Answer || e.took > f.roots[e.root].settings.Classes[0].ObjectiveMs {
			late++
		}
	}
	return late, all
}

// Of eighty roots each hears of a replica every second or two. If a slow one is
// forgotten in between, or must be met eight times to be known, each root goes on
// meeting it for as long as it is slow, and of its dozen parts one is always there.
func TestSparseMeasurementsOfSlowReplicaAreKept(t *testing.T) {
	for _, c := range []struct {
		roots int
		perS  float64
	}{{80, 3.5}, {3, 93}} {
		f := newFleet(t, largeFleetSettings(c.roots, 15), warmMembers(60, 15))
		slow := func(a Addr) bool { return a%8 == 3 } // eight of sixty
		from := f.now + 4000
		f.respond = func(_ int, a Addr) (Outcome, float64) {
			ms := 20 * (0.6 + 0.8*f.rng.Float64())
			if slow(a) && f.now > from {
				ms *= 7
			}
			return OK, ms
		}
		f.runLoad(c.perS, 12, 4000)
		f.runLoad(c.perS, 12, 4000)
		since := f.now
		f.runLoad(c.perS, 12, 8000)
		share := float64(f.countSends(since, slow)) / float64(f.countSends(since, func(Addr) bool { return true }))
		if share > 0.03 {
			t.Errorf("%d roots: %.3f of what is sent goes to slow replicas, 0.13 by chance", c.roots, share)
		}
		if late, all := f.countLate(since); late > all/20 {
			t.Errorf("%d roots: %d of %d queries late", c.roots, late, all)
		}
	}
}

// keep the helpers honest: every attempt gets one outcome and every query one end.
func TestFleetSimulatorEndsEveryAttemptAndQuery(t *testing.T) {
	f := newFleet(t, largeFleetSettings(5, 3), warmMembers(12, 3))
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 10 }
	f.runLoad(20, 6, 2000)
	f.run(f.now + 3000)
	queries := 0
	for _, e := range f.queryEnds {
		if e.kind == Answer {
			queries++
		}
	}
	if queries < 150 || queries != len(f.queryEnds) {
		t.Errorf("%d answers, %d ends", queries, len(f.queryEnds))
	}
	for i := range f.openAttempts {
		for id, tries := range f.openAttempts[i] {
			if slices.Contains(tries, true) {
				t.Errorf("root %d: part %d without an outcome", i, id)
			}
		}
	}
}

// No root has heard of any replica when the day begins, or after a release of
// all of them. If each took the first of the list then, one in four replicas would
// get the work of its whole cell.
func TestUnmeasuredReplicasShareFirstQueries(t *testing.T) {
	f := newFleet(t, largeFleetSettings(80, 15), warmMembers(60, 15))
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 100 }
	f.runLoad(3.5, 12, 400)
	cell := map[int]int{}
	most := map[int]int{}
	for a := Addr(1); a <= 60; a++ {
		n := f.countSends(0, func(b Addr) bool { return a == b })
		c := int(a-1) % 15
		cell[c] += n
		most[c] = max(most[c], n)
	}
	for c, n := range cell {
		if n < 40 || most[c] > n*45/100 {
			t.Errorf("cell %d: %d of %d first parts went to one of its four replicas", c, most[c], n)
		}
	}
}

// A replica that turns parts away for being full is not dead: a part with no
// other holder left waits for it within its query's time, instead of spending
// its three attempts within some milliseconds.
func TestPartsWaitForFullReplicas(t *testing.T) {
	f := newFleet(t, largeFleetSettings(80, 15), warmMembers(60, 15))
	cell := func(a Addr) int { return int(a-1) % 15 }
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 15 + 10*f.rng.Float64() }
	f.runLoad(3.5, 12, 4000)
	from := f.now
	f.respond = func(_ int, a Addr) (Outcome, float64) {
		if in := int(f.now-from) % 400; cell(a) == 4 && in < 100 { // a quarter of the time, all four of them
			return Rejected, 1
		}
		return OK, 15 + 10*f.rng.Float64()
	}
	f.runLoad(3.5, 12, 6000)
	f.run(f.now + 1500)
	late, all := f.countLate(from)
	if _, refused := f.countEnds(from); refused > all/25 || late > all/20 {
		t.Errorf("%d of %d queries late, %d of them refused", late, all, refused)
	}
}

// Both holders of some shards turn all work away, and more than half of all
// queries need one of those shards. Each root hears of them seldom, so most of
// these queries are found lost only after they were sent. What their other parts
// would have taken, half of what the other replicas do, must be left to queries
// that can be served.
func TestLostQueriesWasteLittleWork(t *testing.T) {
	f := newFleet(t, largeFleetSettings(80, 15), warmMembers(30, 15))
	bad := func(a Addr) bool { return int(a-1)%15 == 4 }
	good := func(a Addr) bool { return !bad(a) }
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 15 + 10*f.rng.Float64() }
	f.runLoad(3.5, 12, 4000)
	f.respond = func(_ int, a Addr) (Outcome, float64) {
		if bad(a) {
			return Rejected, 1
		}
		return OK, 15 + 10*f.rng.Float64()
	}
	f.runLoad(3.5, 12, 2000) // each root finds out
	from := f.now
	f.runLoad(3.5, 12, 4000)
	f.run(f.now + 1500)
	served, lost := f.countEnds(from)
	wasted := f.countSends(from, good) - 12*served
	if served < 350 || lost < 500 || wasted > 2*lost {
		t.Errorf("%d queries served, %d lost, for which %d parts went to other replicas", served, lost, wasted)
	}
}

// Where a part of the weight is enough for an answer, shards that nobody holds, or
// whose holders refuse connections, do not keep the rest of a query back.
func TestPartialAnswersDoNotWaitForUnavailableShards(t *testing.T) {
	for _, listed := range []int{2, 3} { // of three cells: the last has no holder, or a dead one
		s := largeFleetSettings(1, 3)
		s.Classes[0].CompleteShare, s.Classes[0].MinShare, s.Classes[0].PartialWorth = 1, 0.5, 0.9
		f := newFleet(t, s, warmMembers(3, 3)[:listed])
		f.respond = func(_ int, a Addr) (Outcome, float64) {
			if a == 3 {
				return Unreachable, 1
			}
			return OK, 10
		}
		f.runLoad(10, 9, 4000)
		f.run(f.now + 1500)
		if served, lost := f.countEnds(0); served < 30 || lost > served/10 {
			t.Errorf("%d of 3 replicas listed: %d queries served, %d lost", listed, served, lost)
		}
	}
}

// More comes than the replicas can do, and each of many roots learns of their
// queues seldom. Taking in what is then answered late serves nobody: of the
// answers most must come within the aim.
func TestFewAnswersAreLateUnderOverload(t *testing.T) {
	f := newFleet(t, largeFleetSettings(80, 15), warmMembers(60, 15))
	free := map[Addr]float64{} // when each replica, one part at a time, is through
	f.respond = func(_ int, a Addr) (Outcome, float64) {
		free[a] = max(free[a], f.now) + 5 + 15*f.rng.ExpFloat64()
		return OK, free[a] - f.now + 2
	}
	f.runLoad(2, 12, 4000)
	from := f.now
	f.runLoad(4.5, 12, 10000)
	f.run(f.now + 1500)
	answered, _ := f.countEnds(from)
	late, all := f.countLate(from)
	if in := all - late; answered < 1500 || answered-in > answered/5 {
		t.Errorf("%d of %d queries answered, %d in time", answered, all, in)
	}
}

// Where every holder of a shard refuses connections, nothing is to be waited
// for: a query that needs it ends at once with a time to come back, and none of
// its other parts is sent once that is known. A few trials tell when one is back.
func TestQueriesWithoutLiveReplicaAreRefusedAtOnce(t *testing.T) {
	f := newFleet(t, largeFleetSettings(80, 15), warmMembers(60, 15))
	dead := func(a Addr) bool { return int(a-1)%15 == 4 }
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 15 + 10*f.rng.Float64() }
	f.runLoad(3.5, 12, 4000)
	f.respond = func(_ int, a Addr) (Outcome, float64) {
		if dead(a) {
			return Unreachable, 1
		}
		return OK, 15 + 10*f.rng.Float64()
	}
	f.runLoad(3.5, 12, 4000)
	from := f.now
	f.runLoad(3.5, 12, 8000)
	f.run(f.now + 1500)
	refused := 0
	for _, e := range f.queryEnds {
		if e.at < from || e.kind == Answer {
			continue
		}
		if refused++; e.took > 150 || e.hint <= 0 {
			t.Fatalf("refused after %.0f ms with a hint of %.0f ms", e.took, e.hint)
		}
	}
	tried, all := f.countSends(from, dead), f.countSends(from, func(Addr) bool { return true })
	if refused < 500 || tried > 4*80*8/2 {
		t.Errorf("%d queries refused, %d of %d parts sent to dead replicas", refused, tried, all)
	}
}

// A replica comes back cold, and all eighty roots are told at about the same
// time. What they send it together, each knowing its own share alone, stays
// within the told budget in every window: so many times what it can do then,
// reckoned from what a warm replica of its cell is sent.
func TestColdReplicaIsNotOverloadedByAllRootsTogether(t *testing.T) {
	s := largeFleetSettings(80, 15)
	f := newFleet(t, s, warmMembers(60, 15))
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 15 + 10*f.rng.Float64() }
	f.runLoad(3.5, 12, 6000)
	cold := Addr(5)
	warm := float64(f.countSends(f.now-4000, func(a Addr) bool { return int(a-1)%15 == 4 })) / 4 / 4000 // a ms, each of four
	back := f.now
	m := warmMembers(60, 15)[cold-1]
	m.ReadyAt = back
	for i := range f.roots {
		f.schedule(timedEvent{at: back + 50*f.rng.Float64(), root: i, event: Event{Kind: ListUpdate, List: ListDelta, Members: []Member{m}}})
	}
	f.runLoad(3.5, 12, 10000)
	var at []float64
	for _, x := range f.sends {
		if x.to == cold && x.at >= back+50 {
			at = append(at, x.at)
		}
	}
	if len(at) < 20 {
		t.Errorf("%d parts in 10 s: the replica never warms", len(at))
	}
	first := 0
	for last, now := range at {
		for now-at[first] > s.ColdOverloadMs {
			first++
		}
		can := warm * (s.ColdCapacityShare + (1-s.ColdCapacityShare)*(at[first]-back)/s.WarmUpMs)
		if n := float64(last - first + 1); n > s.ColdOverloadFactor*can*s.ColdOverloadMs {
			t.Fatalf("%v parts within %v ms at %.0f ms, %.0f allowed", n, s.ColdOverloadMs, now-back, s.ColdOverloadFactor*can*s.ColdOverloadMs)
		}
	}
}

// A root that sends little, as it refuses most of what comes, must not rest dead
// replicas for as long as that little would suggest: once they are back it tries
// them within twenty aims.
func TestIdleRootTriesRecoveredReplicas(t *testing.T) {
	f := newFleet(t, largeFleetSettings(2, 1), warmMembers(4, 1))
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 20 }
	f.runLoad(0.5, 2, 20000)
	f.respond = func(int, Addr) (Outcome, float64) { return Unreachable, 1 }
	f.runLoad(0.5, 2, 30000)
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 20 }
	f.runLoad(0.5, 2, 12000)
	back := f.now
	f.runLoad(0.5, 2, 20000)
	late, all := f.countLate(back)
	if all < 10 || late > all/5 {
		t.Errorf("%d of %d queries late or refused, 12 s after all replicas are back", late, all)
	}
}

// BenchmarkQuery is the module's cost of one query of twelve parts, with all its
// turns and outcomes, at today's number of nodes and at a large fleet's.
func BenchmarkQuery(b *testing.B) {
	for _, c := range []struct{ nodes, cells, roots int }{{18, 3, 3}, {60, 15, 80}, {1024, 256, 1024}} {
		b.Run(fmt.Sprintf("nodes=%d", c.nodes), func(b *testing.B) {
			s := largeFleetSettings(c.roots, c.cells)
			r, now, id := New(s, 1), 1e6, uint64(0)
			r.Step(now, []Event{{Kind: ListUpdate, List: ListCached, Members: warmMembers(c.nodes, c.cells)}}, nil)
			var events []Event
			var acts []Action
			for b.Loop() {
				now += 280
				id++
				query := id
				events = append(events[:0], Event{Kind: QueryArrived, ID: id, TimeLeftMs: 1000, Number: float64(query), Parts: 12})
				for i := range 12 {
					id++
					events = append(events, Event{Kind: PartArrived, ID: id, Number: float64(query), Shard: i, Weight: 1.0 / 12})
				}
				acts = r.Step(now, events, acts[:0])
				events = events[:0]
				for _, a := range acts {
					if a.Kind == Send {
						events = append(events, Event{Kind: AttemptDone, ID: a.ID, Addr: a.Addr, Outcome: OK, ElapsedMs: 20})
					}
				}
				now += 20
				for i := range events { // answers come one by one, each with a turn
					acts = r.Step(now, events[i:i+1], acts[:0])
					now += 0.5
				}
			}
		})
	}
}

// Each connection has a told price: roots that meet a set seldom stay with what they know
// of it, for half the connections, and together load all nodes alike all the same.
func TestHandshakePenaltyReducesConnections(t *testing.T) {
	pairs := func(price float64) (made int, most float64) {
		s := largeFleetSettings(40, 15)
		s.HandshakePenalty = price
		f := newFleet(t, s, warmMembers(60, 15))
		f.respond = func(int, Addr) (Outcome, float64) { return OK, 15 + 10*f.rng.Float64() }
		f.runLoad(1, 12, 8000)
		met, byNode := map[[2]uint64]bool{}, map[Addr]float64{}
		for _, x := range f.sends {
			met[[2]uint64{uint64(x.root), uint64(x.to)}] = true
			byNode[x.to] += 60 / float64(len(f.sends))
		}
		for _, share := range byNode {
			most = max(most, share)
		}
		return len(met), most
	}
	free, _ := pairs(0)
	priced, most := pairs(0.08)
	if float64(priced) > 0.7*float64(free) || most > 2 {
		t.Errorf("%d connections where %d are made at no price; one node got %.2f of its share", priced, free, most)
	}
	t.Logf("%d connections, %d at no price; the most loaded node got %.2f of its share", priced, free, most)
}

// A release changes the list once a node: what each change costs must not grow with
// nodes times sets.
func BenchmarkListChange(b *testing.B) {
	for _, c := range []struct{ nodes, cells int }{{60, 15}, {1024, 256}} {
		for _, kind := range []ListKind{ListDelta, ListFull} {
			b.Run(fmt.Sprintf("nodes=%d,kind=%d", c.nodes, kind), func(b *testing.B) {
				r, now, all := New(largeFleetSettings(1024, c.cells), 1), 1e6, warmMembers(c.nodes, c.cells)
				r.Step(now, []Event{{Kind: ListUpdate, List: ListCached, Members: all}}, nil)
				news := all
				if kind == ListDelta {
					news = all[:1]
				}
				for b.Loop() {
					now += 20
					r.Step(now, []Event{{Kind: ListUpdate, List: kind, Members: news}}, nil)
				}
			})
		}
	}
}

// Three of the four holders of each shard are cut off: connections to them never come
// up, which each root finds out at each of them. What never ran is no work that a
// further attempt adds to: it must not use up what the root allows itself, or whole
// queries are lost for one part.
func TestFailedConnectionsUseNoRetryBudget(t *testing.T) {
	f := newFleet(t, largeFleetSettings(40, 45), warmMembers(180, 45))
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 15 + 10*f.rng.Float64() }
	f.runLoad(1, 34, 6000)
	from := f.now
	f.respond = func(_ int, a Addr) (Outcome, float64) {
		if a <= 135 {
			return Unreachable, 250
		}
		return OK, 15 + 10*f.rng.Float64()
	}
	f.runLoad(1, 34, 4000)
	f.run(f.now + 1500)
	if served, lost := f.countEnds(from); lost > served/8 {
		t.Errorf("%d queries served, %d lost", served, lost)
	}
}

// A quarter of the replicas fall silent and one answer in twenty gets lost. A part
// whose attempt and copy both hang at such must not wait there for the end of its
// query, and lose it, while sound holders of its shard have nothing to do.
func TestPartStuckTwiceIsSentAgain(t *testing.T) {
	f := newFleet(t, largeFleetSettings(40, 15), warmMembers(60, 15))
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 15 + 10*f.rng.Float64() }
	f.runLoad(1, 12, 5000)
	f.respond = func(_ int, a Addr) (Outcome, float64) {
		if a <= 15 || f.rng.Float64() < 0.05 {
			return OK, 1e6
		}
		return OK, 15 + 10*f.rng.Float64()
	}
	from := f.now
	f.runLoad(1, 12, 6000)
	f.run(f.now + 1500)
	if served, lost := f.countEnds(from); lost > served/20 {
		t.Errorf("%d queries served, %d lost", served, lost)
	}
}

// One replica in ten is silent, so that each query of many parts meets one that is in
// doubt, and more comes than the others can do. That queries end late must be learned
// all the same, from their other parts: else every root goes on taking in what it will
// answer too late.
func TestLateQueriesAreLearnedDespiteUnhealthyReplicas(t *testing.T) {
	f := newFleet(t, largeFleetSettings(60, 45), warmMembers(180, 45))
	free := map[Addr]float64{} // when each replica, one part at a time, is through
	f.respond = func(_ int, a Addr) (Outcome, float64) {
		if a%10 == 0 {
			return OK, 1e6
		}
		free[a] = max(free[a], f.now) + 5 + 15*f.rng.ExpFloat64()
		return OK, free[a] - f.now + 2
	}
	f.runLoad(2, 34, 4000)
	f.runLoad(4.5, 34, 3000)
	from := f.now
	f.runLoad(4.5, 34, 8000)
	f.run(f.now + 1500)
	answered, _ := f.countEnds(from)
	late, all := f.countLate(from)
	in := all - late
	if answered-in > answered*2/5 {
		t.Errorf("%d of %d queries answered, %d in time", answered, all, in)
	}
}

// All roots have just started, and one holder of each shard is back, cold. What one
// root has seen answered in its short life is little, but so is that life: together
// they must send the cold ones what these can do, not a fraction, and stay within the
// told budget.
func TestNewRootsSendColdReplicasTheirShare(t *testing.T) {
	s := largeFleetSettings(120, 15)
	all := warmMembers(60, 15)
	for i := range 15 {
		all[i].ReadyAt = 1e6
	}
	f := newFleet(t, s, all)
	f.respond = func(_ int, a Addr) (Outcome, float64) {
		if a > 15 {
			return OK, 40 + 40*f.rng.Float64() // busy
		}
		return OK, 15 + 10*f.rng.Float64()
	}
	f.runLoad(1, 12, 2000)
	from := f.now
	f.runLoad(1, 12, 3000)
	cold := float64(f.countSends(from, func(a Addr) bool { return a <= 15 })) / 15
	warm := float64(f.countSends(from, func(a Addr) bool { return a > 15 })) / 45
	least, most := s.ColdCapacityShare+(1-s.ColdCapacityShare)*2000/s.WarmUpMs, s.ColdCapacityShare+(1-s.ColdCapacityShare)*5000/s.WarmUpMs
	if cold < 0.8*least*warm || cold > s.ColdOverloadFactor*most*warm {
		t.Errorf("%.0f parts to a cold replica, %.0f to a warm one, of which it can do %.2f to %.2f", cold, warm, least, most)
	}
}

// Of the two holders of each shard one stands still for a second, then the other. A root
// among many still doubts the first, which it sends next to nothing, when the second falls
// silent: a part that hangs there must go to the one in doubt, which may be back, rather
// than wait for the end of its query and lose it with all its siblings answered.
func TestStuckPartIsSentToUnhealthyHolder(t *testing.T) {
	f := newFleet(t, largeFleetSettings(40, 15), warmMembers(30, 15))
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 15 + 10*f.rng.Float64() }
	f.runLoad(2, 6, 5000)
	begin := f.now
	f.respond = func(_ int, a Addr) (Outcome, float64) {
		if turn := int(f.now-begin) / 1000; (int(a)-1)/15 == turn%2 && int(a-1)%15%5 == 0 {
			return OK, 1e6
		}
		return OK, 15 + 10*f.rng.Float64()
	}
	from := f.now
	f.runLoad(2, 6, 8000)
	f.run(f.now + 1500)
	served, lost := f.countEnds(from)
	if late, all := f.countLate(from); lost > served/10 || late > all/10 {
		t.Errorf("%d queries served, %d lost, %d of %d late", served, lost, late, all)
	}
}
