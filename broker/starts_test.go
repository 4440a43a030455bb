package broker

import (
	"testing"
	"time"

	"onyxsail/decide"
)

// toldAge is how old the module takes a node to be that the latest news named last.
func lastReportedAge(c *Core, now time.Time) time.Duration {
	members := c.events[len(c.events)-1].Members
	return durationFromMs(c.moduleTimeMs(now) - members[len(members)-1].ReadyAt)
}

// A node's start is told as a time of a wall clock, and wall clocks may be stepped, this
// machine's or the one's that wrote it: a node that is told to have started while the
// list is followed must not count as warm for it.
func TestSteppedWallClockDoesNotMakeNewNodeWarm(t *testing.T) {
	t.Run("the first list", testFirstRosterStartTimes)
	const warmUp = 15 * time.Second
	for _, step := range []time.Duration{0, 5 * time.Second, -5 * time.Second, time.Hour, -time.Hour} {
		c, _ := newTestCore(3)
		c.startTimes.warmUp = warmUp
		c.runTurn()
		now := c.start.Add(time.Minute)
		const lag = 2 * time.Second // of the list
		tell := func(id string, at time.Time, late time.Duration) time.Duration {
			started := c.start.Round(0).Add(at.Sub(c.start) - late - step)
			c.applyRoster(Roster{Kind: decide.ListDelta, Nodes: []Node{{ID: id, Addr: id, Started: started}}}, at)
			return lastReportedAge(c, at)
		}
		for i, late := range []time.Duration{lag, lag + 3*time.Second, lag} {
			at := now.Add(time.Duration(i) * time.Second)
			if age := tell(string(rune('p'+i)), at, late); age < 0 || age > late+time.Millisecond {
				t.Errorf("step %v: a node that started %v ago counts as %v old", step, late, age)
			}
		}
		at := now.Add(time.Minute) // its own machine's clock has been stepped back
		if age := tell("z", at, time.Hour); age != 0 {
			t.Errorf("step %v: a start that has just come to be told counts as %v old", step, age)
		}
		if again := tell("z", at.Add(time.Second), time.Hour+time.Second); again != time.Second {
			t.Errorf("step %v: told once more, it counts as %v old, want a second", step, again)
		}
		before := c.nodes[c.addrs["z"]].readyAtMs // a node that starts again starts later than before
		if tell("z", at.Add(2*time.Second), lag+3*time.Second); c.nodes[c.addrs["z"]].readyAtMs <= before {
			t.Errorf("step %v: a second start is dated at %v, the first at %v", step, c.nodes[c.addrs["z"]].readyAtMs, before)
		}
	}
}

// The list that a broker begins with is believed, as nothing else tells of those starts;
// none lies in the future.
func testFirstRosterStartTimes(t *testing.T) {
	c, _ := newTestCore(3)
	c.runTurn()
	now := c.start.Add(time.Second)
	for started, want := range map[time.Duration]time.Duration{-time.Hour: time.Hour, -4 * time.Second: 4 * time.Second, time.Hour: 0} {
		fresh, _ := newTestCore(3)
		fresh.queue.takeAll()
		fresh.start, fresh.startMs = c.start, c.startMs
		fresh.applyRoster(Roster{Kind: decide.ListCached, Nodes: []Node{{ID: "a", Addr: "a", Started: now.Round(0).Add(started)}}}, now)
		if age := lastReportedAge(fresh, now); age-want > time.Millisecond || want-age > time.Millisecond {
			t.Errorf("started %v from now: counts as %v old", started, age)
		}
	}
}

// What started long ago is not taken for cold as the list was empty at first, or as the
// node was off it for longer than it is remembered otherwise.
func TestLongRunningNodesStayWarm(t *testing.T) {
	const warmUp = 15 * time.Second
	c, _ := newTestCore(3)
	c.queue.takeAll()
	c.startTimes.warmUp = warmUp
	started := c.start.Round(0).Add(-time.Hour)
	at := c.start.Add(time.Second)
	list := func(kind decide.ListKind, ids ...string) {
		r := Roster{Kind: kind}
		for _, id := range ids {
			r.Nodes = append(r.Nodes, Node{ID: id, Addr: id, Started: started})
		}
		c.applyRoster(r, at)
	}
	warm := func(when string) {
		t.Helper()
		if age := lastReportedAge(c, at); age < warmUp {
			t.Errorf("%s: a node that started an hour ago counts as %v old", when, age)
		}
	}
	list(decide.ListFull)
	at = at.Add(time.Second)
	list(decide.ListDelta, "a", "b")
	warm("behind an empty list")
	list(decide.ListFull, "b")
	at = at.Add(nodeRetention + time.Second)
	list(decide.ListDelta, "b") // here the core forgets a
	at = at.Add(time.Minute)
	list(decide.ListDelta, "a")
	warm("back on the list")
}
