package decide

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// A process is replaced while a replica is in slow start. The one before goes on by what it
// learned from all of the broker's traffic, of which it gets half now, and the next one
// reckons a share of its own from the other half: together they may send half as much again
// as the one alone. Both are one broker, and the budget of the replica is the broker's.
func TestColdReplicaIsSparedByAReplacedProcess(t *testing.T) {
	const cells, nodes, perS, parts, told = 5, 20, 4500.0, 1, 1000.0
	const beside, rest = 2500.0, 1500.0 // how long both run, and the next one alone
	never := math.Inf(1)                // the control: one process alone
	cold := Addr(3)
	cell := func(a Addr) bool { return int(a-1)%cells == 2 }
	for _, brokers := range []int{1, 4} {
		for _, replaced := range []float64{0, told, told + 1500, never} { // since the replica's start
			t.Run(fmt.Sprintf("%d brokers, replaced after %v ms", brokers, replaced), func(t *testing.T) {
				t.Parallel()
				s := large(brokers, cells)
				f := newFleet(t, s, members(nodes, cells))
				f.rng = rand.New(rand.NewPCG(5, 6))
				fails := math.Inf(1)
				f.node = func(_ int, a Addr) (Outcome, float64) {
					switch {
					case !cell(a) || a == cold || f.now < fails:
						return OK, 15 + 10*f.rng.Float64()
					case a == Addr(3+cells): // full, so that its parts wait for the cold one
						return Rejected, 1
					}
					return Unreachable, 1
				}
				f.load(perS/float64(brokers), parts, 5000)
				warm := float64(f.sentTo(f.now-4000, cell)) / (nodes / cells) / 4000
				back := f.now
				all := members(nodes, cells)
				all[cold-1].ReadyAt = back
				fails = back + told
				serving := f.allRoots()
				next := make([]int, 0, brokers)
				changes := []change{
					{told, func() { f.tell(Event{Kind: ListUpdate, List: ListDelta, Members: all[cold-1 : cold]}) }},
					{replaced, func() {
						for i := range brokers {
							f.roots[i].SetProcesses(2)
							next = append(next, f.begin(s, all))
							f.roots[next[i]].SetProcesses(2)
						}
						serving = f.allRoots()
					}},
					{replaced + beside, func() {
						for _, i := range next {
							f.roots[i].SetProcesses(1)
						}
						serving = next
					}},
				}
				if replaced == never {
					changes = changes[:1]
				}
				changes = append(changes, change{told + 1500 + beside + rest, func() {}})
				slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
				for _, c := range changes {
					f.loadAt(serving, perS/float64(len(serving)), parts, back+c.at-f.now)
					c.do()
				}
				worst, got := f.coldExcess(cold, back, back+told, warm)
				if worst > 1 || got < 40 {
					t.Errorf("%.2f of chance over what is allowed, %d parts in all", worst, got)
				}
			})
		}
	}
}

// change is something that happens at a time, in milliseconds since a replica's start.
type change struct {
	at float64
	do func()
}

// allRoots are the numbers of all roots.
func (f *fleet) allRoots() (all []int) {
	for i := range f.roots {
		all = append(all, i)
	}
	return all
}

// tell gives each root an event at once.
func (f *fleet) tell(e Event) {
	for i := range f.roots {
		f.push(happening{at: f.now, root: i, event: e})
	}
}

// begin starts a further root with a list, and returns its number.
func (f *fleet) begin(s Settings, members []Member) int {
	i := len(f.roots)
	f.roots, f.open = append(f.roots, New(s, uint64(2000+i))), append(f.open, map[uint64][]bool{})
	f.push(happening{at: f.now, root: i, event: Event{Kind: ListUpdate, List: ListCached, Members: members}})
	return i
}
