package decide

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// A broker's process is replaced while a replica is in slow start. The old process computes the
// replica's budget from measurements of all of the broker's traffic, although it now gets half
// of that, and the new one computes its own from the other half. Without a limit for both
// together, they would send half as much again as one process.
func TestColdReplicaIsNotOverloadedWhileProcessIsReplaced(t *testing.T) {
	const cells, nodes, queriesPerSecond, parts, notifiedMs = 5, 20, 4500.0, 1, 1000.0
	const overlapMs, remainderMs = 2500.0, 1500.0 // how long both run, and then the new one alone
	never := math.Inf(1)                          // control case: one process only
	cold := Addr(3)
	inColdCell := func(a Addr) bool { return int(a-1)%cells == 2 }
	for _, brokers := range []int{1, 4} {
		for _, replacedMs := range []float64{0, notifiedMs, notifiedMs + 1500, never} { // since the replica's start
			t.Run(fmt.Sprintf("%d brokers, replaced after %v ms", brokers, replacedMs), func(t *testing.T) {
				t.Parallel()
				s := largeFleetSettings(brokers, cells)
				f := newFleet(t, s, warmMembers(nodes, cells))
				f.rng = rand.New(rand.NewPCG(5, 6))
				failFrom := math.Inf(1)
				f.respond = func(_ int, a Addr) (Outcome, float64) {
					switch {
					case !inColdCell(a) || a == cold || f.now < failFrom:
						return OK, 15 + 10*f.rng.Float64()
					case a == Addr(3+cells): // full, so that its parts wait for the cold replica
						return Rejected, 1
					}
					return Unreachable, 1
				}
				f.runLoad(queriesPerSecond/float64(brokers), parts, 5000)
				warmPartsPerMs := float64(f.countSends(f.now-4000, inColdCell)) / (nodes / cells) / 4000
				startedAt := f.now
				list := warmMembers(nodes, cells)
				list[cold-1].ReadyAt = startedAt
				failFrom = startedAt + notifiedMs
				servingRoots := f.allRoots()
				newRoots := make([]int, 0, brokers)
				changes := []scheduledChange{
					{notifiedMs, func() { f.broadcast(Event{Kind: ListUpdate, List: ListDelta, Members: list[cold-1 : cold]}) }},
					{replacedMs, func() {
						for i := range brokers {
							f.roots[i].SetProcesses(2)
							newRoots = append(newRoots, f.addRoot(s, list))
							f.roots[newRoots[i]].SetProcesses(2)
						}
						servingRoots = f.allRoots()
					}},
					{replacedMs + overlapMs, func() {
						for _, i := range newRoots {
							f.roots[i].SetProcesses(1)
						}
						servingRoots = newRoots
					}},
				}
				if replacedMs == never {
					changes = changes[:1]
				}
				changes = append(changes, scheduledChange{notifiedMs + 1500 + overlapMs + remainderMs, func() {}})
				slices.SortStableFunc(changes, func(a, b scheduledChange) int { return cmp.Compare(a.atMs, b.atMs) })
				for _, c := range changes {
					f.runLoadAt(servingRoots, queriesPerSecond/float64(len(servingRoots)), parts, startedAt+c.atMs-f.now)
					c.apply()
				}
				worst, total := f.coldExcess(cold, startedAt, startedAt+notifiedMs, warmPartsPerMs)
				if worst > 1 || total < 40 {
					t.Errorf("excess %.2f times what chance accounts for, want 1 at most; %d parts in total, want at least 40", worst, total)
				}
			})
		}
	}
}

// scheduledChange is applied at a time in milliseconds since a replica's start.
type scheduledChange struct {
	atMs  float64
	apply func()
}

// allRoots returns the indexes of all roots.
func (f *fleet) allRoots() (all []int) {
	for i := range f.roots {
		all = append(all, i)
	}
	return all
}

// broadcast sends an event to all roots at the current time.
func (f *fleet) broadcast(e Event) {
	for i := range f.roots {
		f.schedule(timedEvent{at: f.now, root: i, event: e})
	}
}

// addRoot starts one more root with the given list and returns its index.
func (f *fleet) addRoot(s Settings, members []Member) int {
	i := len(f.roots)
	f.roots, f.openAttempts = append(f.roots, New(s, uint64(2000+i))), append(f.openAttempts, map[uint64][]bool{})
	f.schedule(timedEvent{at: f.now, root: i, event: Event{Kind: ListUpdate, List: ListCached, Members: members}})
	return i
}
