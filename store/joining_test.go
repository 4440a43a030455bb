package store_test

import (
	"os"
	"testing"
	"time"

	"onyxsail/internal/testkit"
	"onyxsail/store"
)

// electionTime is enough for several elections with the timeouts of the tests.
const electionTime = 1500 * time.Millisecond

// loseDisk empties the directory of an instance that does not run.
func (g *group) loseDisk(i int) {
	g.t.Helper()
	if err := os.RemoveAll(g.dirs[i]); err != nil {
		g.t.Fatal(err)
	}
}

// expectNoLeader fails the test if a running instance knows a leader within electionTime.
func (g *group) expectNoLeader() {
	g.t.Helper()
	for end := time.Now().Add(electionTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for i, s := range g.stores {
			if s == nil {
				continue
			}
			if leader, known := s.Leader(); known {
				g.t.Fatalf("instance %d follows %s, want no leader", i, leader.Name)
			}
		}
	}
}

// Two of three instances that have lost their disks must not elect one of themselves: the agreed
// configuration was gone, while the third instance went on showing it.
func TestTwoLostCopiesAreRestoredFromTheThird(t *testing.T) {
	for third := range 3 {
		g := newGroup(t)
		for i := range 3 {
			g.setMaxOpen(41 + i)
		}
		g.waitForMaxOpen(43)
		for i := range g.stores {
			g.stop(i)
		}
		for i := range g.stores {
			if i != third {
				g.loseDisk(i)
				g.start(i, nil)
			}
		}
		g.expectNoLeader()
		g.start(third, nil)
		g.waitForMaxOpen(43)
		if c := g.setMaxOpen(50); c.Version != 4 {
			t.Errorf("third instance %d: the next change has version %d, want 4", third, c.Version)
		}
		g.waitForMaxOpen(50)
		for i := range g.stores {
			g.stop(i)
		}
	}
}

// An instance that has lost its disk must not vote for one that lacks a change which its disk had
// helped to commit.
func TestLostCopyDoesNotHelpToForgetAChange(t *testing.T) {
	g := newGroup(t)
	g.setMaxOpen(41)
	g.waitForMaxOpen(41)
	leader := g.leader()
	lost, behind := (leader+1)%3, (leader+2)%3
	g.stop(behind)
	g.setMaxOpen(42) // committed by the leader and the instance that is about to lose its disk
	g.waitForMaxOpen(42)
	g.stop(lost)
	g.stop(leader)
	g.loseDisk(lost)
	g.start(behind, nil)
	g.start(lost, nil)
	g.expectNoLeader()
	g.start(leader, nil)
	g.waitForMaxOpen(42)
	if c := g.setMaxOpen(43); c.Version != 3 {
		t.Errorf("the next change has version %d, want 3", c.Version)
	}
}

// A new group must not begin without one of its instances: that one may be the only one that still
// has the configuration.
func TestGroupDoesNotBeginWithoutOneInstance(t *testing.T) {
	g := newGroup(t)
	g.setMaxOpen(41)
	g.waitForMaxOpen(41)
	for i := range g.stores {
		g.stop(i)
		g.loseDisk(i)
	}
	g.start(0, nil)
	g.start(1, nil)
	g.expectNoLeader()
	g.start(2, nil)
	testkit.Eventually(t, "the new group takes a change", func() bool {
		maxOpen := 10
		c, err := g.stores[g.leader()].SetConfig(store.Patch{MaxOpen: &maxOpen})
		return err == nil && c.Version == 1
	})
}
