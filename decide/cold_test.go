package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// coldExcess is by how much of what is chance, 2 x root of N + 2, a cold replica got more
// than the N parts that the settings allow then, in the worst window that begins after
// from, N being reckoned from what a warm replica bears; and how much it got in all.
func (f *fleet) coldExcess(cold Addr, back, from, warm float64) (worst float64, all int) {
	s := &f.roots[0].settings
	var at []float64
	for _, x := range f.sends {
		if x.to == cold && x.at >= from {
			at = append(at, x.at)
		}
	}
	first := 0
	for last, now := range at {
		for now-at[first] > s.ColdOverloadMs {
			first++
		}
		n := s.ColdOverloadFactor * warm * min(1, s.ColdCapacityShare+(1-s.ColdCapacityShare)*(at[first]-back)/s.WarmUpMs) * s.ColdOverloadMs
		worst = max(worst, (float64(last-first+1)-n)/(2*math.Sqrt(n)+2))
	}
	return worst, len(at)
}

// What all roots together send a cold replica stays within what the settings allow, but
// for chance, whether they are two or some hundred: also where they are told of its start
// late and just when its cell has nothing else, where that comes after they have been
// told and have asked little of it, where half of the roots have just started, and where
// parts share calls.
func TestColdReplicaIsSparedByAnyNumberOfRoots(t *testing.T) {
	const cells, nodes, perS, told = 5, 20, 280.0, 4000.0
	cold := Addr(3)
	cell := func(a Addr) bool { return int(a-1)%cells == 2 }
	for _, roots := range []int{2, 20, 30, 350} {
		draws := 2
		if roots == 2 { // where one turn's burst weighs most: two draws had hidden 8 of 60 over the budget
			draws = 16
		}
		for i := range 2 * draws {
			bundle, draw := 1+3*(i%2), uint64(1+4*(i/2))
			for _, c := range []struct {
				name    string
				fails   float64 // when the others of the cell do, after the start
				restart bool
				rests   float64 // how long nothing is asked for before that
			}{{"told late", told, false, 0}, {"alone later", told + 3000, false, 0}, {"alone after a rest", told + 4000, false, 3000},
				{"restarted", told + 1000, true, 0}} {
				t.Run(fmt.Sprintf("%d roots, calls of %d, %s, draw %d", roots, bundle, c.name, draw), func(t *testing.T) {
					t.Parallel()
					s := large(roots, cells)
					s.MaxPartsPerCall = bundle
					f := newFleet(t, s, members(nodes, cells))
					f.rng = rand.New(rand.NewPCG(draw, draw+1))
					fails := math.Inf(1)
					f.node = func(_ int, a Addr) (Outcome, float64) {
						switch {
						case !cell(a) || a == cold || f.now < fails:
						case a == Addr(3+cells): // full, so that its parts wait for the cold one
							return Rejected, 1
						default:
							return Unreachable, 1
						}
						return OK, 15 + 10*f.rng.Float64()
					}
					parts := 5 * bundle // as many a second with either
					load := func(ms float64) { f.load(perS/float64(roots)/float64(bundle), parts, ms) }
					load(5000)
					warm := float64(f.sentTo(f.now-4000, cell)) / (nodes / cells) / 4000
					back := f.now
					all := members(nodes, cells)
					all[cold-1].ReadyAt = back
					fails = back + c.fails
					load(told - 200)
					for i := range f.roots {
						e := Event{Kind: ListUpdate, List: ListDelta, Members: all[cold-1 : cold]}
						if c.restart && i%2 == 0 {
							f.restart(i, s)
							e = Event{Kind: ListUpdate, List: ListCached, Members: all}
						}
						f.push(happening{at: f.now + 200*f.rng.Float64(), root: i, event: e})
					}
					load(200)
					load(c.fails - told - c.rests)
					f.run(f.now + c.rests)
					load(4000)
					worst, got := f.coldExcess(cold, back, back+told, warm)
					if worst > 1 || got < 40 {
						t.Errorf("%.2f of chance over what is allowed, %d parts in all", worst, got)
					}
				})
			}
		}
	}
}

// restart puts a root that has just started in place of one that was killed.
func (f *fleet) restart(i int, s Settings) {
	s.Index = i
	f.roots[i], f.open[i] = New(s, uint64(1000+i)), map[uint64][]bool{}
}
