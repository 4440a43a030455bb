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

func addr(s string) address.Address {
	a, err := address.Parse(s)
	if err != nil {
		panic(err)
	}
	return a
}

var (
	v4   = addr("127.0.0.1:1")
	v4b  = addr("127.0.0.2:1")
	v6   = addr("[::1]:1")
	v6b  = addr("[::2]:1")
	sock = addr("unix:/n")
)

const ms = time.Millisecond

func planner(addrs ...address.Address) *Planner {
	p := New(Defaults(64))
	p.Set("n", addrs)
	return p
}

func order(p *Planner, now time.Duration) string {
	s := ""
	for _, v := range p.Order("n", now) {
		s += v.Text + " " + string(v.Why) + ", "
	}
	return s
}

// connect runs a race in which the given addresses come up, and returns where
// it ended, what was dialled and how long it took.
func connect(t testing.TB, p *Planner, now time.Duration, up func(address.Address) (time.Duration, bool)) (got address.Address, dialled int, took time.Duration) {
	t.Helper()
	r := p.Begin("n", now)
	if r == nil {
		t.Fatal("no race")
	}
	start := now
	ends := map[address.Address]time.Duration{}
	for range 100 {
		s := r.Next(now)
		switch {
		case s.Dial != address.Address{}:
			dialled++
			if after, ok := up(s.Dial); ok {
				ends[s.Dial] = now + after
			} else {
				r.Failed(s.Dial, Refused, now)
			}
			continue
		case s.GiveUp:
			return got, dialled, now - start
		}
		next, who := s.Wait, address.Address{}
		for a, at := range ends {
			if next == 0 || at < next {
				next, who = at, a
			}
		}
		now = next
		if who != (address.Address{}) {
			at := now - (ends[who] - func() time.Duration { d, _ := up(who); return d }())
			delete(ends, who)
			if r.Up(who, now-at, now) {
				for _, a := range r.Out() {
					r.Dropped(a, now)
				}
				return who, dialled, now - start
			}
		}
	}
	t.Fatal("the race does not end")
	return
}

func TestOrder(t *testing.T) {
	p := planner(v4, v4b, v6, v6b, sock)
	if got := order(p, 0); got != "127.0.0.1:1 untried, [::1]:1 untried, unix:/n untried, 127.0.0.2:1 untried, [::2]:1 untried, " {
		t.Errorf("families in turn: %s", got)
	}
	p.Answered("n", sock, 0)
	p.Answered("n", v6b, 0)
	if got := order(p, 0); got != "[::2]:1 last-good, unix:/n proven, 127.0.0.1:1 untried, [::1]:1 untried, 127.0.0.2:1 untried, " {
		t.Errorf("the last good one, then the socket: %s", got)
	}
	p.Silent("n", v6b, 0, ms)
	if got := order(p, ms); got[len(got)-len("[::2]:1 in-doubt, "):] != "[::2]:1 in-doubt, " {
		t.Errorf("in doubt: %s", got)
	}
	if got := order(p, ms+p.limits.Fade); got[:8] != "[::2]:1 " {
		t.Errorf("faded: %s", got)
	}
	p.Set("n", []address.Address{v4b, sock})
	if got := order(p, ms); got != "unix:/n proven, 127.0.0.2:1 untried, " {
		t.Errorf("after a change: %s", got)
	}
	p.Set("n", nil)
	if p.Begin("n", 0) != nil || p.Order("n", 0) != nil {
		t.Error("a node without addresses is raced for")
	}
}

// An address that refuses costs nothing, one that black-holes its delay.
func TestFallback(t *testing.T) {
	p := planner(v6, v4)
	refuses := func(a address.Address) (time.Duration, bool) { return ms, a == v4 }
	if got, n, took := connect(t, p, 0, refuses); got != v4 || n != 2 || took != ms {
		t.Errorf("refused: %v after %d dials and %v", got, n, took)
	}
	p.Answered("n", v4, ms)
	if got, n, _ := connect(t, p, ms, refuses); got != v4 || n != 1 {
		t.Errorf("the second time: %v after %d dials", got, n)
	}
	p = planner(v6, v4)
	hole := func(a address.Address) (time.Duration, bool) {
		if a == v6 {
			return time.Hour, true
		}
		return ms, true
	}
	if got, n, took := connect(t, p, 0, hole); got != v4 || n != 2 || took != p.limits.DelayFirst+ms {
		t.Errorf("black hole: %v after %d dials and %v", got, n, took)
	}
	// One that is known to connect in 1 ms is given up alone soon after.
	p = planner(v6, v4)
	fast := func(address.Address) (time.Duration, bool) { return ms, true }
	for range 5 {
		connect(t, p, 0, fast)
	}
	if _, _, took := connect(t, p, 0, hole); took >= p.limits.DelayFirst {
		t.Errorf("with a known connect time: %v", took)
	}
}

// Silence speaks against the address while another of the node answers, and
// against the node when none does.
func TestSilence(t *testing.T) {
	p := planner(v6, v4)
	p.Answered("n", v4, 5*ms)
	if p.Silent("n", v6, 2*ms, 10*ms) {
		t.Error("the node is blamed though its other address answers")
	}
	if !p.Silent("n", v4, 6*ms, 10*ms) {
		t.Error("the node is not blamed though nothing answers")
	}
	p = planner(v4)
	p.Answered("n", v4, 5*ms)
	if !p.Silent("n", v4, 2*ms, 10*ms) {
		t.Error("a node with one address is not blamed for it")
	}
}

// Trials come at a bounded rate, ever more seldom, and end the doubt.
func TestTrials(t *testing.T) {
	p := planner(v6, v4)
	p.Answered("n", v4, 0)
	p.Silent("n", v6, 0, 0)
	var at []time.Duration
	for now := time.Duration(0); now < 60*time.Second; now += 10 * ms {
		if r := p.Trial("n", now); r != nil {
			s := r.Next(now)
			if s.Dial != v6 {
				t.Fatalf("tries %+v", s)
			}
			r.Failed(v6, TimedOut, now)
			at = append(at, now)
		}
	}
	if len(at) < 4 || len(at) > 9 || at[0] != p.limits.TrialFirst || at[2]-at[1] <= at[1]-at[0] {
		t.Errorf("trials at %v", at)
	}
	p.Silent("n", v6, 0, 2*time.Minute)
	r := p.Trial("n", 2*time.Minute+p.limits.TrialFirst)
	if r == nil || r.Next(3*time.Minute).Dial != v6 || !r.Up(v6, ms, 3*time.Minute) {
		t.Fatal("no trial")
	}
	p.Proved("n", v6, 3*time.Minute)
	if got := order(p, 3*time.Minute); got != "127.0.0.1:1 last-good, [::1]:1 proven, " {
		t.Errorf("after its trial: %s", got)
	}
}

// Over random events: dials stay bounded at a node and over all, each is booked
// once, no address is dialled twice in a race or after it has gone, and a race
// that does not end asks to be woken or has a dial out.
func TestPlannerProperties(t *testing.T) {
	all := []address.Address{v4, v4b, v6, v6b, sock, addr("grpc+unix:/f")}
	nodes := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		l := Defaults(0)
		l.PerNode, l.All = rapid.IntRange(1, 3).Draw(t, "per node"), rapid.IntRange(1, 5).Draw(t, "all")
		p := New(l)
		has := map[string][]address.Address{}
		type racing struct {
			*Race
			node    string
			dialled []address.Address
		}
		var races []*racing
		now := time.Duration(0)
		sets := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 0, len(all), func(a address.Address) address.Address { return a })
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "wait")) * ms
			id := rapid.SampledFrom(nodes).Draw(t, "node")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				has[id] = sets.Draw(t, "addresses")
				p.Set(id, has[id])
			case 1:
				if r := p.Begin(id, now); r != nil {
					races = append(races, &racing{Race: r, node: id})
				}
			case 2:
				if r := p.Trial(id, now); r != nil {
					races = append(races, &racing{Race: r, node: id})
				}
			case 3:
				a := rapid.SampledFrom(all).Draw(t, "address")
				p.Answered(id, a, now)
			case 4:
				a := rapid.SampledFrom(all).Draw(t, "address")
				p.Silent(id, a, now-50*ms, now)
				p.Reset(id, a, now)
			default:
				if len(races) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(races)-1).Draw(t, "race")
				r := races[i]
				if out := r.Out(); len(out) > 0 && rapid.Bool().Draw(t, "ends") {
					a := out[rapid.IntRange(0, len(out)-1).Draw(t, "which")]
					switch rapid.IntRange(0, 2).Draw(t, "how") {
					case 0:
						if r.Up(a, 3*ms, now) {
							if !slices.Contains(has[r.node], a) && p.nodes[r.node] != nil {
								t.Fatalf("%v is used, though the node has %v", a, has[r.node])
							}
						}
					case 1:
						r.Failed(a, TimedOut, now)
					case 2:
						r.Dropped(a, now)
					}
				}
				s := r.Next(now)
				if s.Dial != (address.Address{}) {
					if slices.Contains(r.dialled, s.Dial) || !slices.Contains(has[r.node], s.Dial) {
						t.Fatalf("dials %v of %v, dialled %v", s.Dial, has[r.node], r.dialled)
					}
					r.dialled = append(r.dialled, s.Dial)
				}
				if s == (Step{}) && len(r.Out()) == 0 || s.Wait != 0 && (s.Wait <= now || s.Wait > now+l.DelayMost) {
					t.Fatalf("step %+v at %v with %v out", s, now, r.Out())
				}
				if s.GiveUp && len(r.Out()) == 0 {
					races = slices.Delete(races, i, i+1)
				}
			}
			sum, by := 0, map[string]int{}
			for _, r := range races {
				sum += len(r.Out())
				by[r.node] += len(r.Out())
			}
			if sum != p.out || sum > l.All {
				t.Fatalf("%d dials out, %d counted, of %d", sum, p.out, l.All)
			}
			for id, n := range by {
				if n > l.PerNode && p.nodes[id] != nil && p.nodes[id].out > l.PerNode {
					t.Fatalf("%d dials at %s, of %d", n, id, l.PerNode)
				}
			}
		}
	})
}

// Whatever is known of a node, one good address is found after each other was
// dialled once at most, and within a delay for each of them.
func TestGoodAddressIsFound(t *testing.T) {
	all := []address.Address{v4, v4b, v6, v6b, sock}
	rapid.Check(t, func(t *rapid.T) {
		p := planner(rapid.Permutation(all).Draw(t, "order")...)
		for range rapid.IntRange(0, 20).Draw(t, "history") {
			a := rapid.SampledFrom(all).Draw(t, "address")
			if rapid.Bool().Draw(t, "good") {
				p.Answered("n", a, 0)
			} else {
				p.Silent("n", a, 0, 0)
			}
		}
		good := rapid.SampledFrom(all).Draw(t, "good one")
		holes := rapid.IntRange(0, 2).Draw(t, "black holes") // fewer than may be dialled at once
		bad := map[address.Address]bool{}
		for _, a := range all {
			if a != good && len(bad) < holes {
				bad[a] = true
			}
		}
		r, now := p.Begin("n", 0), time.Duration(0)
		for range 2 * len(all) {
			s := r.Next(now)
			switch {
			case s.Dial == good:
				if limit := time.Duration(len(all)) * p.limits.DelayMost; now > limit {
					t.Fatalf("found after %v", now)
				}
				return
			case s.Dial != address.Address{} && !bad[s.Dial]:
				r.Failed(s.Dial, Refused, now)
			case s.Wait > 0:
				now = s.Wait
			case s.GiveUp:
				t.Fatal("gave up")
			}
		}
		t.Fatal("never found")
	})
}

func TestRulings(t *testing.T) {
	for e := range events {
		r := Rule(e)
		never := r.Outcome == decide.Unreachable
		if r.Elsewhere && !never {
			t.Errorf("event %d: sent elsewhere, though it may have run", e)
		}
	}
	for _, c := range []struct {
		first, end, left int64
		want             Event
	}{{0, 0, 0, NothingLeft}, {100, 150, 100, NothingLeft}, {100, 150, 90, NothingLeft}, {100, 150, 101, PartLeft}, {100, 150, 149, PartLeft},
		{100, 150, 150, WholeLeft}, {100, 150, 400, WholeLeft}} {
		if got := Cut(c.first, c.end, c.left); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
	if Rule(WholeLeft).Elsewhere || Rule(PartLeft).Elsewhere || Rule(StreamEnded).Elsewhere || Rule(NoAnswer).Elsewhere {
		t.Error("what may have reached the node is sent elsewhere")
	}
}

func TestClaims(t *testing.T) {
	c := NewClaims()
	step := func(all ...Listing) string {
		granted, lost := c.Update(all)
		s := ""
		for _, g := range granted {
			s += fmt.Sprintf("%s%v ", g.ID, g.Addrs)
		}
		return s + fmt.Sprint(len(lost))
	}
	for i, x := range []struct{ got, want string }{
		{step(Listing{"a", []address.Address{sock, v4}}), "a[unix:/n 127.0.0.1:1] 0"},
		{step(Listing{"b", []address.Address{sock}}, Listing{"a", []address.Address{sock, v4}}), "b[unix:/n] a[127.0.0.1:1] 1"}, // the newer claim
		{step(Listing{"a", []address.Address{sock, v4}}, Listing{"b", []address.Address{sock}}), "a[127.0.0.1:1] b[unix:/n] 1"}, // and it stays so
		{step(Listing{"a", []address.Address{sock, v4}}), "a[unix:/n 127.0.0.1:1] 0"},                                           // b has left
		{step(Listing{"a", []address.Address{v4}}), "a[127.0.0.1:1] 0"},
		{step(Listing{"a", []address.Address{sock}}, Listing{"c", []address.Address{sock}}), "a[] c[unix:/n] 1"}, // both anew: the later
	} {
		if x.got != x.want {
			t.Errorf("step %d: %s, want %s", i, x.got, x.want)
		}
	}
}

// BenchmarkPlanner is the cost of what a send to a warm node asks for, with 1
// and 3 addresses, at 18 and at 1,000 nodes.
func BenchmarkPlanner(b *testing.B) {
	for _, n := range []int{18, 1000} {
		for _, k := range []int{1, 3} {
			b.Run(fmt.Sprintf("nodes=%d/addrs=%d", n, k), func(b *testing.B) {
				p := New(Defaults(64))
				ids := make([]string, n)
				for i := range ids {
					ids[i] = fmt.Sprintf("s-%08x", i*2654435761)
					p.Set(ids[i], []address.Address{v4, v6, sock}[:k])
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					id, now := ids[i%n], time.Duration(i)*ms
					r := p.Begin(id, now)
					s := r.Next(now)
					r.Up(s.Dial, ms, now+ms)
					p.Answered(id, s.Dial, now+2*ms)
				}
			})
		}
	}
}
