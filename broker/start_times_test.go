package broker

import (
	"testing"
	"time"

	"onyxsail/decide"
)

// lastReportedAge returns the age that the module was given for the last node of the latest
// roster.
func lastReportedAge(c *Core, now time.Time) time.Duration {
	members := c.events[len(c.events)-1].Members
	return durationFromMs(c.moduleTimeMs(now) - members[len(members)-1].ReadyAt)
}

// Start times are reported as wall clock times, and the wall clock of this machine or of the
// reporting one may be stepped. A node reported as started while the list is live must not
// count as warm because of such a step.
func TestSteppedWallClockDoesNotMakeNewNodeWarm(t *testing.T) {
	t.Run("the first list", testFirstRosterStartTimes)
	const warmUp = 15 * time.Second
	for _, step := range []time.Duration{0, 5 * time.Second, -5 * time.Second, time.Hour, -time.Hour} {
		c, _ := newTestCore(3)
		c.startTimes.warmUp = warmUp
		c.runTurn()
		now := c.start.Add(time.Minute)
		const lag = 2 * time.Second // lag of the list
		report := func(id string, at time.Time, delay time.Duration) time.Duration {
			started := c.start.Round(0).Add(at.Sub(c.start) - delay - step)
			c.applyRoster(Roster{Kind: decide.ListDelta, Nodes: []Node{{ID: id, Addr: id, Started: started}}}, at)
			return lastReportedAge(c, at)
		}
		for i, delay := range []time.Duration{lag, lag + 3*time.Second, lag} {
			at := now.Add(time.Duration(i) * time.Second)
			if age := report(string(rune('p'+i)), at, delay); age < 0 || age > delay+time.Millisecond {
				t.Errorf("step %v: a node that started %v ago counts as %v old", step, delay, age)
			}
		}
		at := now.Add(time.Minute) // the clock of the node's machine was stepped back
		if age := report("z", at, time.Hour); age != 0 {
			t.Errorf("step %v: a start that was only just reported counts as %v old", step, age)
		}
		if age := report("z", at.Add(time.Second), time.Hour+time.Second); age != time.Second {
			t.Errorf("step %v: reported again, it counts as %v old, want 1s", step, age)
		}
		before := c.nodes[c.addrByNodeID["z"]].readyAtMs // a restart must be dated later than the first start
		if report("z", at.Add(2*time.Second), lag+3*time.Second); c.nodes[c.addrByNodeID["z"]].readyAtMs <= before {
			t.Errorf("step %v: the second start is dated %v, the first %v", step, c.nodes[c.addrByNodeID["z"]].readyAtMs, before)
		}
	}
}

// The start times in the first list are used as reported, as there is nothing to compare them
// with. One in the future counts as now.
func testFirstRosterStartTimes(t *testing.T) {
	c, _ := newTestCore(3)
	c.runTurn()
	now := c.start.Add(time.Second)
	for offset, want := range map[time.Duration]time.Duration{-time.Hour: time.Hour, -4 * time.Second: 4 * time.Second, time.Hour: 0} {
		fresh, _ := newTestCore(3)
		fresh.queue.takeAll()
		fresh.start, fresh.startMs = c.start, c.startMs
		fresh.applyRoster(Roster{Kind: decide.ListCached, Nodes: []Node{{ID: "a", Addr: "a", Started: now.Round(0).Add(offset)}}}, now)
		if age := lastReportedAge(fresh, now); age-want > time.Millisecond || want-age > time.Millisecond {
			t.Errorf("start reported at %v from now: counts as %v old", offset, age)
		}
	}
}

// A node that started long ago must not count as cold because the list was empty at first, or
// because the node was off the list for longer than nodeRetention.
func TestLongRunningNodesStayWarm(t *testing.T) {
	const warmUp = 15 * time.Second
	c, _ := newTestCore(3)
	c.queue.takeAll()
	c.startTimes.warmUp = warmUp
	started := c.start.Round(0).Add(-time.Hour)
	at := c.start.Add(time.Second)
	applyList := func(kind decide.ListKind, ids ...string) {
		r := Roster{Kind: kind}
		for _, id := range ids {
			r.Nodes = append(r.Nodes, Node{ID: id, Addr: id, Started: started})
		}
		c.applyRoster(r, at)
	}
	requireWarm := func(situation string) {
		t.Helper()
		if age := lastReportedAge(c, at); age < warmUp {
			t.Errorf("%s: a node that started an hour ago counts as %v old", situation, age)
		}
	}
	applyList(decide.ListFull)
	at = at.Add(time.Second)
	applyList(decide.ListDelta, "a", "b")
	requireWarm("after an empty list")
	applyList(decide.ListFull, "b")
	at = at.Add(nodeRetention + time.Second)
	applyList(decide.ListDelta, "b") // the core removes a in this update
	at = at.Add(time.Minute)
	applyList(decide.ListDelta, "a")
	requireWarm("back on the list")
}
