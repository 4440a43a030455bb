package reach

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"onyxsail/decide"
	"onyxsail/internal/address"
)

// mustParse parses an address and panics if it is invalid.
func mustParse(s string) address.Address {
	a, err := address.Parse(s)
	if err != nil {
		panic(err)
	}
	return a
}

var (
	v4       = mustParse("127.0.0.1:1")
	v4b      = mustParse("127.0.0.2:1")
	v6       = mustParse("[::1]:1")
	v6b      = mustParse("[::2]:1")
	unixSock = mustParse("unix:/n")
)

const ms = time.Millisecond

// newPlanner returns a planner with one node, n, that has the given addresses.
func newPlanner(addrs ...address.Address) *Planner {
	p := New(DefaultLimits(64))
	p.SetAddresses("n", addrs)
	return p
}

// orderText returns the addresses of n in their order, each with its reason.
func orderText(p *Planner, now time.Duration) string {
	s := ""
	for _, v := range p.AddressStatuses("n", now) {
		s += v.Text + " " + string(v.Reason) + ", "
	}
	return s
}

// runRace runs a race to n and returns the address that won (zero: none), the number of dials and
// the time that it took. dial returns how long a connect to an address takes, or false if it is
// refused.
func runRace(t testing.TB, p *Planner, now time.Duration, dial func(address.Address) (time.Duration, bool)) (winner address.Address, dialCount int, took time.Duration) {
	t.Helper()
	race := p.BeginRace("n", now)
	if race == nil {
		t.Fatal("no race could begin")
	}
	start := now
	connectsAt := map[address.Address]time.Duration{}
	for range 100 {
		step := race.Next(now)
		switch {
		case step.Dial != address.Address{}:
			dialCount++
			if after, ok := dial(step.Dial); ok {
				connectsAt[step.Dial] = now + after
			} else {
				race.DialFailed(step.Dial, DialRefused, now)
			}
			continue
		case step.GiveUp:
			return winner, dialCount, now - start
		}
		next, addr := step.WakeAt, address.Address{}
		for a, at := range connectsAt {
			if next == 0 || at < next {
				next, addr = at, a
			}
		}
		now = next
		if addr != (address.Address{}) {
			at := now - (connectsAt[addr] - func() time.Duration { d, _ := dial(addr); return d }())
			delete(connectsAt, addr)
			if race.Connected(addr, now-at, now) {
				for _, a := range race.Dialing() {
					race.DialCancelled(a, now)
				}
				return addr, dialCount, now - start
			}
		}
	}
	t.Fatal("the race did not end within 100 steps")
	return
}

// The address that answered last must come first and suspected ones last until their suspicion
// has decayed, with the address families alternating in between.
func TestAddressOrderPrefersLastGoodAndDefersSuspected(t *testing.T) {
	p := newPlanner(v4, v4b, v6, v6b, unixSock)
	if got := orderText(p, 0); got != "127.0.0.1:1 untried, [::1]:1 untried, unix:/n untried, 127.0.0.2:1 untried, [::2]:1 untried, " {
		t.Errorf("untried, want alternating families: %s", got)
	}
	p.Answered("n", unixSock, 0)
	p.Answered("n", v6b, 0)
	if got := orderText(p, 0); got != "[::2]:1 last-good, unix:/n proven, 127.0.0.1:1 untried, [::1]:1 untried, 127.0.0.2:1 untried, " {
		t.Errorf("want the last good one first, then the proven socket: %s", got)
	}
	p.Unresponsive("n", v6b, 0, ms)
	if got := orderText(p, ms); got[len(got)-len("[::2]:1 in-doubt, "):] != "[::2]:1 in-doubt, " {
		t.Errorf("want the suspected one last: %s", got)
	}
	if got := orderText(p, ms+p.limits.SuspicionHalfLife); got[:8] != "[::2]:1 " {
		t.Errorf("after one half-life, want the last good one first again: %s", got)
	}
	p.SetAddresses("n", []address.Address{v4b, unixSock})
	if got := orderText(p, ms); got != "unix:/n proven, 127.0.0.2:1 untried, " {
		t.Errorf("after a change of addresses, want the proven socket before the untried address: %s", got)
	}
	p.SetAddresses("n", nil)
	if p.BeginRace("n", 0) != nil || p.AddressStatuses("n", 0) != nil {
		t.Error("a node without addresses is still known")
	}
}

// An address that refuses connections must not delay the connect at all, and one that drops
// packets must delay it by no more than its attempt delay.
func TestBadAddressDelaysConnectNoLongerThanAttemptDelay(t *testing.T) {
	p := newPlanner(v6, v4)
	v6Refused := func(a address.Address) (time.Duration, bool) { return ms, a == v4 }
	if got, n, took := runRace(t, p, 0, v6Refused); got != v4 || n != 2 || took != ms {
		t.Errorf("refused: %v after %d dials and %v, want the IPv4 address after 2 dials and its connect time", got, n, took)
	}
	p.Answered("n", v4, ms)
	if got, n, _ := runRace(t, p, ms, v6Refused); got != v4 || n != 1 {
		t.Errorf("second race: %v after %d dials, want v4 first", got, n)
	}
	p = newPlanner(v6, v4)
	v6BlackHole := func(a address.Address) (time.Duration, bool) {
		if a == v6 {
			return time.Hour, true
		}
		return ms, true
	}
	if got, n, took := runRace(t, p, 0, v6BlackHole); got != v4 || n != 2 || took != p.limits.InitialDelay+ms {
		t.Errorf("black hole: %v after %d dials and %v, want the IPv4 address after 2 dials, one initial delay and its connect time", got, n, took)
	}
	// An address that is known to connect in 1 ms has a shorter attempt delay.
	p = newPlanner(v6, v4)
	allConnect := func(address.Address) (time.Duration, bool) { return ms, true }
	for range 5 {
		runRace(t, p, 0, allConnect)
	}
	if _, _, took := runRace(t, p, 0, v6BlackHole); took >= p.limits.InitialDelay {
		t.Errorf("with a known connect time: %v, want less than the initial delay", took)
	}
}

// When an address is unresponsive while another one of the node answers, the address is at
// fault. The node is blamed only if none answers.
func TestNodeIsNotBlamedWhileAnotherAddressAnswers(t *testing.T) {
	p := newPlanner(v6, v4)
	p.Answered("n", v4, 5*ms)
	if p.Unresponsive("n", v6, 2*ms, 10*ms) {
		t.Error("the node is blamed although its other address answers")
	}
	if !p.Unresponsive("n", v4, 6*ms, 10*ms) {
		t.Error("the node is not blamed although no address answers")
	}
	p = newPlanner(v4)
	p.Answered("n", v4, 5*ms)
	if !p.Unresponsive("n", v4, 2*ms, 10*ms) {
		t.Error("a node with only one address is not blamed when that is unresponsive")
	}
}

// Probation dials of a failing address must be rare and become less frequent, and a successful
// one must clear the suspicion.
func TestProbationDialsBackOffAndClearSuspicion(t *testing.T) {
	p := newPlanner(v6, v4)
	p.Answered("n", v4, 0)
	p.Unresponsive("n", v6, 0, 0)
	var probationsAt []time.Duration
	for now := time.Duration(0); now < 60*time.Second; now += 10 * ms {
		if r := p.BeginProbation("n", now); r != nil {
			s := r.Next(now)
			if s.Dial != v6 {
				t.Fatalf("probation dials %+v, want the suspected address", s)
			}
			r.DialFailed(v6, DialTimedOut, now)
			probationsAt = append(probationsAt, now)
		}
	}
	if len(probationsAt) < 4 || len(probationsAt) > 9 || probationsAt[0] != p.limits.InitialProbationBackoff || probationsAt[2]-probationsAt[1] <= probationsAt[1]-probationsAt[0] {
		t.Errorf("probation dials at %v, want 4 to 9 with growing intervals", probationsAt)
	}
	p.Unresponsive("n", v6, 0, 2*time.Minute)
	r := p.BeginProbation("n", 2*time.Minute+p.limits.InitialProbationBackoff)
	if r == nil || r.Next(3*time.Minute).Dial != v6 || !r.Connected(v6, ms, 3*time.Minute) {
		t.Fatal("no probation dial of the suspected address, or its connection is not used")
	}
	p.ProbationPassed("n", v6, 3*time.Minute)
	if got := orderText(p, 3*time.Minute); got != "127.0.0.1:1 last-good, [::1]:1 proven, " {
		t.Errorf("after probation, want the address proven and the preferred one unchanged: %s", got)
	}
}

// Over random events, the dials in progress must stay within the limits per node and in total
// and be counted exactly once. A race must not dial an address twice or after its removal,
// and a race that has not ended must ask to be woken or have a dial in progress.
func TestDialLimitsHoldUnderRandomEvents(t *testing.T) {
	all := []address.Address{v4, v4b, v6, v6b, unixSock, mustParse("grpc+unix:/f")}
	nodes := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits(0)
		limits.MaxDialsPerNode, limits.MaxDials = rapid.IntRange(1, 3).Draw(t, "per node"), rapid.IntRange(1, 5).Draw(t, "all")
		p := New(limits)
		current := map[string][]address.Address{}
		type trackedRace struct {
			*Race
			node   string
			dialed []address.Address
		}
		var races []*trackedRace
		now := time.Duration(0)
		addrSets := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 0, len(all), func(a address.Address) address.Address { return a })
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "wait")) * ms
			id := rapid.SampledFrom(nodes).Draw(t, "node")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				current[id] = addrSets.Draw(t, "addresses")
				p.SetAddresses(id, current[id])
			case 1:
				if r := p.BeginRace(id, now); r != nil {
					races = append(races, &trackedRace{Race: r, node: id})
				}
			case 2:
				if r := p.BeginProbation(id, now); r != nil {
					races = append(races, &trackedRace{Race: r, node: id})
				}
			case 3:
				a := rapid.SampledFrom(all).Draw(t, "address")
				p.Answered(id, a, now)
			case 4:
				a := rapid.SampledFrom(all).Draw(t, "address")
				p.Unresponsive(id, a, now-50*ms, now)
				p.ConnectionBroken(id, a, now)
			default:
				if len(races) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(races)-1).Draw(t, "race")
				r := races[i]
				if dialing := r.Dialing(); len(dialing) > 0 && rapid.Bool().Draw(t, "ends") {
					a := dialing[rapid.IntRange(0, len(dialing)-1).Draw(t, "which")]
					switch rapid.IntRange(0, 2).Draw(t, "how") {
					case 0:
						if r.Connected(a, 3*ms, now) {
							if !slices.Contains(current[r.node], a) && p.nodes[r.node] != nil {
								t.Fatalf("connection to %v is used although the node has %v", a, current[r.node])
							}
						}
					case 1:
						r.DialFailed(a, DialTimedOut, now)
					case 2:
						r.DialCancelled(a, now)
					}
				}
				step := r.Next(now)
				if step.Dial != (address.Address{}) {
					if slices.Contains(r.dialed, step.Dial) || !slices.Contains(current[r.node], step.Dial) {
						t.Fatalf("dials %v of %v, already dialed %v", step.Dial, current[r.node], r.dialed)
					}
					r.dialed = append(r.dialed, step.Dial)
				}
				if step == (RaceStep{}) && len(r.Dialing()) == 0 || step.WakeAt != 0 && (step.WakeAt <= now || step.WakeAt > now+limits.MaxDelay) {
					t.Fatalf("step %+v at %v with %v in progress", step, now, r.Dialing())
				}
				if step.GiveUp && len(r.Dialing()) == 0 {
					races = slices.Delete(races, i, i+1)
				}
			}
			totalDials, dialsByNode := 0, map[string]int{}
			for _, r := range races {
				totalDials += len(r.Dialing())
				dialsByNode[r.node] += len(r.Dialing())
			}
			if totalDials != p.dialsOut || totalDials > limits.MaxDials {
				t.Fatalf("%d dials in progress, %d counted, limit %d", totalDials, p.dialsOut, limits.MaxDials)
			}
			for id, n := range dialsByNode {
				if n > limits.MaxDialsPerNode && p.nodes[id] != nil && p.nodes[id].dialsOut > limits.MaxDialsPerNode {
					t.Fatalf("%d dials in progress at %s, limit %d", n, id, limits.MaxDialsPerNode)
				}
			}
		}
	})
}

// Whatever the history of a node's addresses, a race must reach the single reachable one after
// dialing each other one at most once and within one maximum delay per address.
func TestRaceAlwaysFindsReachableAddress(t *testing.T) {
	all := []address.Address{v4, v4b, v6, v6b, unixSock}
	rapid.Check(t, func(t *rapid.T) {
		p := newPlanner(rapid.Permutation(all).Draw(t, "order")...)
		for range rapid.IntRange(0, 20).Draw(t, "history") {
			a := rapid.SampledFrom(all).Draw(t, "address")
			if rapid.Bool().Draw(t, "good") {
				p.Answered("n", a, 0)
			} else {
				p.Unresponsive("n", a, 0, 0)
			}
		}
		reachable := rapid.SampledFrom(all).Draw(t, "good one")
		blackHoleCount := rapid.IntRange(0, 2).Draw(t, "black holes") // fewer than may be dialed in parallel
		blackHoles := map[address.Address]bool{}
		for _, a := range all {
			if a != reachable && len(blackHoles) < blackHoleCount {
				blackHoles[a] = true
			}
		}
		r, now := p.BeginRace("n", 0), time.Duration(0)
		for range 2 * len(all) {
			step := r.Next(now)
			switch {
			case step.Dial == reachable:
				if limit := time.Duration(len(all)) * p.limits.MaxDelay; now > limit {
					t.Fatalf("dialed only after %v", now)
				}
				return
			case step.Dial != address.Address{} && !blackHoles[step.Dial]:
				r.DialFailed(step.Dial, DialRefused, now)
			case step.WakeAt > 0:
				now = step.WakeAt
			case step.GiveUp:
				t.Fatal("gave up although an address is reachable")
			}
		}
		t.Fatal("the reachable address was never dialed")
	})
}

// A part that may have run, or of which something may have reached the node, must not be sent
// to another address within the same attempt, as it could run twice.
func TestPartThatMayHaveRunIsNotSentToOtherAddress(t *testing.T) {
	for failure := range failureCount {
		disposition := DispositionOf(failure)
		neverRan := disposition.Outcome == decide.Unreachable
		if disposition.TryOtherAddress && !neverRan {
			t.Errorf("failure %d: sent to another address although it may have run", failure)
		}
	}
	for _, tc := range []struct {
		frameStart, frameEnd, written int64
		want                          AttemptFailure
	}{{0, 0, 0, FailureClosedBeforeFrame}, {100, 150, 100, FailureClosedBeforeFrame}, {100, 150, 90, FailureClosedBeforeFrame}, {100, 150, 101, FailureClosedMidFrame}, {100, 150, 149, FailureClosedMidFrame},
		{100, 150, 150, FailureClosedAfterFrame}, {100, 150, 400, FailureClosedAfterFrame}} {
		if got := ClassifyClose(tc.frameStart, tc.frameEnd, tc.written); got != tc.want {
			t.Errorf("%+v: got failure %d", tc, got)
		}
	}
	if DispositionOf(FailureClosedAfterFrame).TryOtherAddress || DispositionOf(FailureClosedMidFrame).TryOtherAddress || DispositionOf(FailureStreamEnded).TryOtherAddress || DispositionOf(FailureNoAnswer).TryOtherAddress {
		t.Error("a part that may have reached the node is sent to another address")
	}
}

// If several nodes name an address, only the one with the newest claim may get it.
func TestNewestClaimToAddressWins(t *testing.T) {
	c := NewClaims()
	update := func(nodes ...NodeAddresses) string {
		granted, lost := c.Update(nodes)
		s := ""
		for _, g := range granted {
			s += fmt.Sprintf("%s%v ", g.ID, g.Addrs)
		}
		return s + fmt.Sprint(len(lost))
	}
	for i, tc := range []struct{ got, want string }{
		{update(NodeAddresses{"a", []address.Address{unixSock, v4}}), "a[unix:/n 127.0.0.1:1] 0"},
		{update(NodeAddresses{"b", []address.Address{unixSock}}, NodeAddresses{"a", []address.Address{unixSock, v4}}), "b[unix:/n] a[127.0.0.1:1] 1"}, // the newer claim wins
		{update(NodeAddresses{"a", []address.Address{unixSock, v4}}, NodeAddresses{"b", []address.Address{unixSock}}), "a[127.0.0.1:1] b[unix:/n] 1"}, // and keeps the address
		{update(NodeAddresses{"a", []address.Address{unixSock, v4}}), "a[unix:/n 127.0.0.1:1] 0"},                                                     // b has left
		{update(NodeAddresses{"a", []address.Address{v4}}), "a[127.0.0.1:1] 0"},
		{update(NodeAddresses{"a", []address.Address{unixSock}}, NodeAddresses{"c", []address.Address{unixSock}}), "a[] c[unix:/n] 1"}, // both claims are new: the later in the list wins
	} {
		if tc.got != tc.want {
			t.Errorf("step %d: %s, want %s", i, tc.got, tc.want)
		}
	}
}

// BenchmarkPlanner measures the planner's cost of a send to a warm node with 1 and 3 addresses,
// among 18 and 1,000 nodes.
func BenchmarkPlanner(b *testing.B) {
	for _, n := range []int{18, 1000} {
		for _, k := range []int{1, 3} {
			b.Run(fmt.Sprintf("nodes=%d/addrs=%d", n, k), func(b *testing.B) {
				p := New(DefaultLimits(64))
				ids := make([]string, n)
				for i := range ids {
					ids[i] = fmt.Sprintf("s-%08x", i*2654435761)
					p.SetAddresses(ids[i], []address.Address{v4, v6, unixSock}[:k])
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					id, now := ids[i%n], time.Duration(i)*ms
					r := p.BeginRace(id, now)
					s := r.Next(now)
					r.Connected(s.Dial, ms, now+ms)
					p.Answered(id, s.Dial, now+2*ms)
				}
			})
		}
	}
}
