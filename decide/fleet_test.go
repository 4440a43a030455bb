package decide

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// fleet simulates many roots, each with its own seed and queries, that share their replicas. It shows faults that
// are harmless at a single root and add up over many.
type fleet struct {
	t            *testing.T
	now          float64 // in milliseconds
	roots        []*Root
	queue        eventQueue
	lastOrder    int
	respond      func(root int, a Addr) (Outcome, float64) // outcome of an attempt sent now, and after how many milliseconds
	sends        []sentAttempt
	queryEnds    []queryEnd
	openAttempts []map[uint64][]bool // by root and part: whether each attempt has no outcome yet
	lastID       uint64
	arrivedAt    map[uint64]float64 // by query
	rng          *rand.Rand
}

// sentAttempt records one attempt that a root sent.
type sentAttempt struct {
	at      float64
	root    int
	to      Addr
	attempt int // its number, from 0
}

// queryEnd records how and when a query ended.
type queryEnd struct {
	at, took     float64
	root         int
	kind         ActionKind
	retryAfterMs float64
}

// timedEvent is an event that a root receives at a given time; order breaks ties.
type timedEvent struct {
	at    float64
	order int
	root  int
	event Event
}

// eventQueue is a heap of events by time.
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

// largeFleetSettings returns the settings of one root among many, with a short objective.
func largeFleetSettings(roots, cells int) Settings {
	s := testSettings()
	s.Roots, s.TickMs, s.Cells, s.Shards = roots, 1, cells, 6*cells
	s.ColdCapacityShare, s.WarmUpMs, s.ColdOverloadFactor, s.ColdOverloadMs = 0.18, 15000, 3, 2000
	s.Classes[0].ObjectiveMs, s.Classes[0].DeadlineMs = 250, 1000
	return s
}

// newFleet starts s.Roots roots that have the given list.
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

// schedule queues an event for its time.
func (f *fleet) schedule(e timedEvent) {
	f.lastOrder++
	e.order = f.lastOrder
	heap.Push(&f.queue, e)
}

// runLoad simulates the given time with random queries at each root, which arrive at the given rate per root.
func (f *fleet) runLoad(queriesPerSecond float64, partCount int, ms float64) {
	f.runLoadAt(f.allRoots(), queriesPerSecond, partCount, ms)
}

// runLoadAt is runLoad with queries at the given roots only.
func (f *fleet) runLoadAt(roots []int, queriesPerSecond float64, partCount int, ms float64) {
	shards := f.roots[0].settings.Shards
	for _, i := range roots {
		for at := f.now + f.rng.ExpFloat64()*1000/queriesPerSecond; at < f.now+ms; at += f.rng.ExpFloat64() *
			1000 / queriesPerSecond {
			f.lastID++
			c := f.roots[i].settings.Classes[0]
			e := Event{Kind: QueryArrived, ID: f.lastID, TimeLeftMs: c.DeadlineMs,
				Number: float64(f.lastID), Parts: partCount}
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

// run simulates all events before the given time.
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
				if attempts := f.openAttempts[root][e.ID]; e.Attempt >= len(attempts) || !attempts[e.Attempt] {
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

// carryOut carries out one action of a root. The actions that it does not know have no effect.
func (f *fleet) carryOut(root int, a Action) {
	switch a.Kind {
	case Send:
		attempt := len(f.openAttempts[root][a.ID])
		f.openAttempts[root][a.ID] = append(f.openAttempts[root][a.ID], true)
		f.sends = append(f.sends, sentAttempt{f.now, root, a.Addr, attempt})
		outcome, after := f.respond(root, a.Addr)
		if after > a.Ms {
			outcome, after = TimedOut, a.Ms
		}
		f.schedule(timedEvent{at: f.now + after, root: root, event: Event{Kind: AttemptDone, ID: a.ID,
			Attempt: attempt, Addr: a.Addr, Outcome: outcome, ElapsedMs: after}})
	case Cancel:
		f.schedule(timedEvent{at: f.now, root: root, event: Event{Kind: AttemptDone, ID: a.ID,
			Attempt: a.Attempt, Outcome: Cancelled}})
	case Timer:
		f.schedule(timedEvent{at: f.now + a.Ms, root: root, event: Event{Kind: TimerFired, Token: a.Token}})
	case Answer, Refuse, Abort:
		f.queryEnds = append(f.queryEnds, queryEnd{f.now, f.now - f.arrivedAt[a.ID], root, a.Kind, a.Ms})
	}
}

// warmMembers returns a list of n warm replicas in the given number of cells.
func warmMembers(n, cells int) (all []Member) {
	for i := range n {
		all = append(all, Member{Addr: Addr(i + 1), Cell: i % cells, Zone: i / cells % 2, State: Ready})
	}
	return all
}

// countSends counts the attempts sent to matching replicas since the given time.
func (f *fleet) countSends(since float64, matches func(Addr) bool) (n int) {
	for _, s := range f.sends {
		if s.at >= since && matches(s.to) {
			n++
		}
	}
	return n
}

// countEnds counts the queries that ended since the given time: those answered, and those refused or failed.
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

// countLate counts the queries that ended since the given time, and those of them not answered within their
// objective.
func (f *fleet) countLate(since float64) (late, total int) {
	for _, e := range f.queryEnds {
		if e.at < since {
			continue
		}
		if total++; e.kind != Answer || e.took > f.roots[e.root].settings.Classes[0].ObjectiveMs {
			late++
		}
	}
	return late, total
}

// Each of 80 roots hears from a given replica every second or two only. If a root forgets in between that a
// replica is slow, or needs eight answers to notice, nearly every query of a dozen parts meets a slow replica
// for as long as it is slow.
func TestSparseMeasurementsOfSlowReplicaAreKept(t *testing.T) {
	for _, c := range []struct {
		roots            int
		queriesPerSecond float64
	}{{80, 3.5}, {3, 93}} {
		f := newFleet(t, largeFleetSettings(c.roots, 15), warmMembers(60, 15))
		slow := func(a Addr) bool { return a%8 == 3 } // eight of 60
		from := f.now + 4000
		f.respond = func(_ int, a Addr) (Outcome, float64) {
			ms := 20 * (0.6 + 0.8*f.rng.Float64())
			if slow(a) && f.now > from {
				ms *= 7
			}
			return OK, ms
		}
		f.runLoad(c.queriesPerSecond, 12, 4000)
		f.runLoad(c.queriesPerSecond, 12, 4000)
		since := f.now
		f.runLoad(c.queriesPerSecond, 12, 8000)
		share := float64(f.countSends(since, slow)) / float64(f.countSends(since, func(Addr) bool { return true }))
		if share > 0.03 {
			t.Errorf("%d roots: share %.3f of the attempts went to slow replicas, 0.13 by chance", c.roots, share)
		}
		if late, all := f.countLate(since); late > all/20 {
			t.Errorf("%d roots: %d of %d queries late, want a twentieth at most", c.roots, late, all)
		}
	}
}

// The simulator itself must be right: every attempt gets one outcome and every query ends once.
func TestFleetSimulatorEndsEveryAttemptAndQuery(t *testing.T) {
	f := newFleet(t, largeFleetSettings(5, 3), warmMembers(12, 3))
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 10 }
	f.runLoad(20, 6, 2000)
	f.run(f.now + 3000)
	answers := 0
	for _, e := range f.queryEnds {
		if e.kind == Answer {
			answers++
		}
	}
	if answers < 150 || answers != len(f.queryEnds) {
		t.Errorf("%d answers for %d queries that ended, want as many and at least 150", answers, len(f.queryEnds))
	}
	for i := range f.openAttempts {
		for id, attempts := range f.openAttempts[i] {
			if slices.Contains(attempts, true) {
				t.Errorf("root %d: part %d has an attempt without an outcome", i, id)
			}
		}
	}
}

// After a start, or a new release on all replicas, no root has a measurement of any replica. If each root then
// chose the first in the list, one of the four replicas of each cell would get all of the cell's work.
func TestUnmeasuredReplicasShareFirstQueries(t *testing.T) {
	f := newFleet(t, largeFleetSettings(80, 15), warmMembers(60, 15))
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 100 }
	f.runLoad(3.5, 12, 400)
	partsByCell := map[int]int{}
	mostByCell := map[int]int{}
	for a := Addr(1); a <= 60; a++ {
		n := f.countSends(0, func(b Addr) bool { return a == b })
		c := int(a-1) % 15
		partsByCell[c] += n
		mostByCell[c] = max(mostByCell[c], n)
	}
	for c, n := range partsByCell {
		if n < 40 || mostByCell[c] > n*45/100 {
			t.Errorf("cell %d: %d of the first %d parts went to one of its four replicas", c, mostByCell[c], n)
		}
	}
}

// A replica that rejects parts because it is full is not down. A part that has no other holder must wait for
// it within its query's time, rather than use up its three attempts within milliseconds.
func TestPartsWaitForFullReplicas(t *testing.T) {
	f := newFleet(t, largeFleetSettings(80, 15), warmMembers(60, 15))
	cell := func(a Addr) int { return int(a-1) % 15 }
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 15 + 10*f.rng.Float64() }
	f.runLoad(3.5, 12, 4000)
	from := f.now
	f.respond = func(_ int, a Addr) (Outcome, float64) {
		if phaseMs := int(f.now-from) % 400; cell(a) == 4 && phaseMs < 100 { // all four replicas, a quarter of the time
			return Rejected, 1
		}
		return OK, 15 + 10*f.rng.Float64()
	}
	f.runLoad(3.5, 12, 6000)
	f.run(f.now + 1500)
	late, all := f.countLate(from)
	if _, refused := f.countEnds(from); refused > all/25 || late > all/20 {
		t.Errorf("%d of %d queries late, %d refused; want at most a twentieth late and a twenty-fifth refused",
			late, all, refused)
	}
}

// Both holders of some shards reject all parts, and more than half of the queries need one of these shards.
// Each root rarely hears from them, so that most of these queries are found lost only after they were sent.
// Their other parts would take half of the other replicas' work, which queries that can be served need.
func TestLostQueriesWasteLittleWork(t *testing.T) {
	f := newFleet(t, largeFleetSettings(80, 15), warmMembers(30, 15))
	rejects := func(a Addr) bool { return int(a-1)%15 == 4 }
	accepts := func(a Addr) bool { return !rejects(a) }
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 15 + 10*f.rng.Float64() }
	f.runLoad(3.5, 12, 4000)
	f.respond = func(_ int, a Addr) (Outcome, float64) {
		if rejects(a) {
			return Rejected, 1
		}
		return OK, 15 + 10*f.rng.Float64()
	}
	f.runLoad(3.5, 12, 2000) // until each root has noticed
	from := f.now
	f.runLoad(3.5, 12, 4000)
	f.run(f.now + 1500)
	served, lost := f.countEnds(from)
	wasted := f.countSends(from, accepts) - 12*served
	if served < 350 || lost < 500 || wasted > 2*lost {
		t.Errorf("%d queries served, %d lost, with %d parts sent to other replicas for lost ones; want at least 350, at least 500, at most two each",
			served, lost, wasted)
	}
}

// If a class allows partial answers, shards without a holder, or whose holders refuse connections, must not
// hold back the other parts of a query.
func TestPartialAnswersDoNotWaitForUnavailableShards(t *testing.T) {
	for _, listed := range []int{2, 3} { // of three cells: the last has no holder, or one that is down
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
			t.Errorf("%d of 3 replicas listed: %d queries served, %d lost; want at least 30 served, and at most a tenth as many lost",
				listed, served, lost)
		}
	}
}

// The load exceeds the capacity of the replicas, and each of many roots rarely learns about their queues.
// Admitting queries that are then answered late is useless: most answers must be within the objective.
func TestFewAnswersAreLateUnderOverload(t *testing.T) {
	f := newFleet(t, largeFleetSettings(80, 15), warmMembers(60, 15))
	freeAt := map[Addr]float64{} // when each replica, which serves one part at a time, is free
	f.respond = func(_ int, a Addr) (Outcome, float64) {
		freeAt[a] = max(freeAt[a], f.now) + 5 + 15*f.rng.ExpFloat64()
		return OK, freeAt[a] - f.now + 2
	}
	f.runLoad(2, 12, 4000)
	from := f.now
	f.runLoad(4.5, 12, 10000)
	f.run(f.now + 1500)
	answered, _ := f.countEnds(from)
	late, all := f.countLate(from)
	if inTime := all - late; answered < 1500 || answered-inTime > answered/5 {
		t.Errorf("%d of %d queries answered, %d in time; want at least 1500, and four fifths of them in time",
			answered, all, inTime)
	}
}

// If every holder of a shard refuses connections, a query that needs the shard must be refused at once with a
// hint when to retry, and none of its other parts may be sent once that is known. Few parts may go to the
// holders, as probation attempts that show when one is back.
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
		if refused++; e.took > 150 || e.retryAfterMs <= 0 {
			t.Fatalf("query refused after %.0f ms with a retry hint of %.0f ms", e.took, e.retryAfterMs)
		}
	}
	tried, all := f.countSends(from, dead), f.countSends(from, func(Addr) bool { return true })
	if refused < 500 || tried > 4*80*8/2 {
		t.Errorf("%d queries refused, want at least 500; %d of %d parts sent to replicas that are down, want 1280 at most",
			refused, tried, all)
	}
}

// A replica restarts cold, and all 80 roots learn of it at about the same time. Although each root only knows
// its own traffic, together they must stay within the configured overload budget in every window: a multiple
// of the replica's capacity at that time, based on what a warm replica of its cell is sent.
func TestColdReplicaIsNotOverloadedByAllRootsTogether(t *testing.T) {
	s := largeFleetSettings(80, 15)
	f := newFleet(t, s, warmMembers(60, 15))
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 15 + 10*f.rng.Float64() }
	f.runLoad(3.5, 12, 6000)
	cold := Addr(5)
	// The cell has four warm replicas.
	warmPartsPerMs := float64(f.countSends(f.now-4000, func(a Addr) bool { return int(a-1)%15 == 4 })) / 4 / 4000
	startedAt := f.now
	member := warmMembers(60, 15)[cold-1]
	member.ReadyAt = startedAt
	for i := range f.roots {
		f.schedule(timedEvent{at: startedAt + 50*f.rng.Float64(), root: i,
			event: Event{Kind: ListUpdate, List: ListDelta, Members: []Member{member}}})
	}
	f.runLoad(3.5, 12, 10000)
	var times []float64
	for _, x := range f.sends {
		if x.to == cold && x.at >= startedAt+50 {
			times = append(times, x.at)
		}
	}
	if len(times) < 20 {
		t.Errorf("only %d parts in 10 s sent to the cold replica, want at least 20", len(times))
	}
	first := 0
	for last, now := range times {
		for now-times[first] > s.ColdOverloadMs {
			first++
		}
		capacityPerMs := warmPartsPerMs * (s.ColdCapacityShare + (1-s.ColdCapacityShare)*(times[first]-startedAt)/s.WarmUpMs)
		if n := float64(last - first + 1); n > s.ColdOverloadFactor*capacityPerMs*s.ColdOverloadMs {
			t.Fatalf("%v parts in a window of %v ms, %.0f ms after the start, %.0f allowed",
				n, s.ColdOverloadMs, now-startedAt, s.ColdOverloadFactor*capacityPerMs*s.ColdOverloadMs)
		}
	}
}

// A root that refuses most queries sends little. Its interval between probation attempts must not grow with that,
// or it would ignore replicas that are back for too long: it must try them within 20 objectives.
func TestIdleRootTriesRecoveredReplicas(t *testing.T) {
	f := newFleet(t, largeFleetSettings(2, 1), warmMembers(4, 1))
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 20 }
	f.runLoad(0.5, 2, 20000)
	f.respond = func(int, Addr) (Outcome, float64) { return Unreachable, 1 }
	f.runLoad(0.5, 2, 30000)
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 20 }
	f.runLoad(0.5, 2, 12000)
	from := f.now
	f.runLoad(0.5, 2, 20000)
	late, all := f.countLate(from)
	if all < 10 || late > all/5 {
		t.Errorf("%d of %d queries late or refused, 12 s after all replicas are back", late, all)
	}
}

// BenchmarkQuery measures the module's cost of one query of twelve parts, with all its turns and outcomes, for
// small and large fleets.
func BenchmarkQuery(b *testing.B) {
	for _, c := range []struct{ nodes, cells, roots int }{{18, 3, 3}, {60, 15, 80}, {1024, 256, 1024}} {
		b.Run(fmt.Sprintf("nodes=%d", c.nodes), func(b *testing.B) {
			s := largeFleetSettings(c.roots, c.cells)
			r, now, id := New(s, 1), 1e6, uint64(0)
			r.Step(now, []Event{{Kind: ListUpdate, List: ListCached, Members: warmMembers(c.nodes, c.cells)}}, nil)
			var events []Event
			var actions []Action
			for b.Loop() {
				now += 280
				id++
				query := id
				events = append(events[:0], Event{Kind: QueryArrived, ID: id, TimeLeftMs: 1000, Number: float64(query), Parts: 12})
				for i := range 12 {
					id++
					events = append(events, Event{Kind: PartArrived, ID: id, Number: float64(query), Shard: i, Weight: 1.0 / 12})
				}
				actions = r.Step(now, events, actions[:0])
				events = events[:0]
				for _, a := range actions {
					if a.Kind == Send {
						events = append(events, Event{Kind: AttemptDone, ID: a.ID, Addr: a.Addr, Outcome: OK, ElapsedMs: 20})
					}
				}
				now += 20
				for i := range events { // each answer arrives in a turn of its own
					actions = r.Step(now, events[i:i+1], actions[:0])
					now += 0.5
				}
			}
		})
	}
}

// With a penalty for new connections, roots that rarely use a cell must stay with the replicas that they know,
// which takes about half of the connections, and the load must still be spread over all replicas.
func TestHandshakePenaltyReducesConnections(t *testing.T) {
	countConnections := func(penalty float64) (connections int, most float64) {
		s := largeFleetSettings(40, 15)
		s.HandshakePenalty = penalty
		f := newFleet(t, s, warmMembers(60, 15))
		f.respond = func(int, Addr) (Outcome, float64) { return OK, 15 + 10*f.rng.Float64() }
		f.runLoad(1, 12, 8000)
		connected, shareByReplica := map[[2]uint64]bool{}, map[Addr]float64{}
		for _, x := range f.sends {
			connected[[2]uint64{uint64(x.root), uint64(x.to)}] = true
			shareByReplica[x.to] += 60 / float64(len(f.sends))
		}
		for _, share := range shareByReplica {
			most = max(most, share)
		}
		return len(connected), most
	}
	unpenalized, _ := countConnections(0)
	penalized, most := countConnections(0.08)
	if float64(penalized) > 0.7*float64(unpenalized) || most > 2 {
		t.Errorf("%d connections with a penalty, %d without; the busiest replica got %.2f times its share",
			penalized, unpenalized, most)
	}
	t.Logf("%d connections with a penalty, %d without; the busiest replica got %.2f times its share",
		penalized, unpenalized, most)
}

// BenchmarkListChange measures one change of the list. A new release changes it once per replica, so the cost of a
// change must not grow with replicas times cells.
func BenchmarkListChange(b *testing.B) {
	for _, c := range []struct{ nodes, cells int }{{60, 15}, {1024, 256}} {
		for _, kind := range []ListKind{ListDelta, ListFull} {
			b.Run(fmt.Sprintf("nodes=%d,kind=%d", c.nodes, kind), func(b *testing.B) {
				r, now, list := New(largeFleetSettings(1024, c.cells), 1), 1e6, warmMembers(c.nodes, c.cells)
				r.Step(now, []Event{{Kind: ListUpdate, List: ListCached, Members: list}}, nil)
				update := list
				if kind == ListDelta {
					update = list[:1]
				}
				for b.Loop() {
					now += 20
					r.Step(now, []Event{{Kind: ListUpdate, List: kind, Members: update}}, nil)
				}
			})
		}
	}
}

// Connections to three of the four holders of each shard fail, and each root must find that out for each of
// them. A retry after an attempt that never ran adds no work: if it used up the retry budget, whole queries
// would be lost for one part.
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
		t.Errorf("%d queries served, %d lost; want at most an eighth as many lost as served", served, lost)
	}
}

// A quarter of the replicas become silent, and one answer in 20 is lost. A part whose attempt and copy are both
// stuck at such replicas must not wait for its query's deadline, and lose it, while healthy holders are idle.
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
		t.Errorf("%d queries served, %d lost; want at most a twentieth as many lost as served", served, lost)
	}
}

// One replica in ten is silent, so that each query of many parts meets an unhealthy one, and the load exceeds
// the capacity of the others. The roots must still learn from the other parts that queries are late, or they go
// on admitting queries that they answer too late.
func TestLateQueriesAreLearnedDespiteUnhealthyReplicas(t *testing.T) {
	f := newFleet(t, largeFleetSettings(60, 45), warmMembers(180, 45))
	freeAt := map[Addr]float64{} // when each replica, which serves one part at a time, is free
	f.respond = func(_ int, a Addr) (Outcome, float64) {
		if a%10 == 0 {
			return OK, 1e6
		}
		freeAt[a] = max(freeAt[a], f.now) + 5 + 15*f.rng.ExpFloat64()
		return OK, freeAt[a] - f.now + 2
	}
	f.runLoad(2, 34, 4000)
	f.runLoad(4.5, 34, 3000)
	from := f.now
	f.runLoad(4.5, 34, 8000)
	f.run(f.now + 1500)
	answered, _ := f.countEnds(from)
	late, all := f.countLate(from)
	inTime := all - late
	if answered-inTime > answered*2/5 {
		t.Errorf("%d of %d queries answered, %d in time; want at least three fifths of the answers in time",
			answered, all, inTime)
	}
}

// All roots have just started, and one holder of each shard is cold. Each root has seen few answers, but in a
// short time: together they must send the cold replicas about what these can serve, not a fraction of it, and
// stay within the configured overload budget.
func TestNewRootsSendColdReplicasTheirShare(t *testing.T) {
	s := largeFleetSettings(120, 15)
	list := warmMembers(60, 15)
	for i := range 15 {
		list[i].ReadyAt = 1e6
	}
	f := newFleet(t, s, list)
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
	least, most := s.ColdCapacityShare+(1-s.ColdCapacityShare)*2000/s.WarmUpMs,
		s.ColdCapacityShare+(1-s.ColdCapacityShare)*5000/s.WarmUpMs
	if cold < 0.8*least*warm || cold > s.ColdOverloadFactor*most*warm {
		t.Errorf("%.0f parts sent to a cold replica, %.0f to a warm one; the cold one has a share %.2f to %.2f of its capacity",
			cold, warm, least, most)
	}
}

// The two holders of a shard stall in turn, one second each. A root among many still considers the first
// unhealthy, as it sends it hardly anything, when the second stalls. A part that is stuck at the second must be
// sent to the first, which may have recovered, rather than wait and lose a query with all other parts answered.
func TestStuckPartIsSentToUnhealthyHolder(t *testing.T) {
	f := newFleet(t, largeFleetSettings(40, 15), warmMembers(30, 15))
	f.respond = func(int, Addr) (Outcome, float64) { return OK, 15 + 10*f.rng.Float64() }
	f.runLoad(2, 6, 5000)
	startedAt := f.now
	f.respond = func(_ int, a Addr) (Outcome, float64) {
		if second := int(f.now-startedAt) / 1000; (int(a)-1)/15 == second%2 && int(a-1)%15%5 == 0 {
			return OK, 1e6
		}
		return OK, 15 + 10*f.rng.Float64()
	}
	from := f.now
	f.runLoad(2, 6, 8000)
	f.run(f.now + 1500)
	served, lost := f.countEnds(from)
	if late, all := f.countLate(from); lost > served/10 || late > all/10 {
		t.Errorf("%d queries served, %d lost, %d of %d late; want at most a tenth as many lost as served, and a tenth late",
			served, lost, late, all)
	}
}
