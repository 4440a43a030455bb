package store_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"onyxsail/internal/testkit"
	"onyxsail/store"
)

// A restarted instance must show the configuration that it had applied before: it showed the
// defaults until Raft had applied its log, without a majority for ever.
func TestRestartedInstanceKeepsItsConfiguration(t *testing.T) {
	for name, majority := range map[string]bool{"with a majority": true, "without a majority": false} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t)
			for i := range 7 { // some of it in a snapshot
				g.setMaxOpen(20 + i)
			}
			g.waitForMaxOpen(26)
			restarted := 2
			g.stop(restarted)
			if !majority {
				g.stop(0)
				g.stop(1)
			}
			g.start(restarted, nil)
			if c := g.stores[restarted].State().Config; c.Version != 7 || c.MaxOpen != 26 {
				t.Errorf("after the restart: %+v, want version 7", c)
			}
			g.expectNoOlder(restarted, 7)
			if !majority {
				return
			}
			if c := g.setMaxOpen(30); c.Version != 8 {
				t.Errorf("the next change has version %d, want 8", c.Version)
			}
			g.waitForMaxOpen(30)
			g.expectNoOlder(restarted, 7)
		})
	}
}

// expectNoOlder fails the test if an instance has shown an older version since its start.
func (g *group) expectNoOlder(i int, version uint64) {
	g.t.Helper()
	g.shownMu.Lock()
	defer g.shownMu.Unlock()
	if len(g.shown[i]) == 0 {
		g.t.Errorf("instance %d reported no configuration, want that of version %d at its start", i, version)
	}
	for _, shown := range g.shown[i] {
		if shown.Config.Version < version {
			g.t.Errorf("instance %d showed version %d, want %d at least", i, shown.Config.Version, version)
		}
	}
}

// An instance that restarts without its latest log entries, or from a snapshot, must not show less
// than it had applied.
func TestInstanceBehindItsAppliedStateKeepsShowingIt(t *testing.T) {
	g := newGroup(t)
	for i := range 7 {
		g.setMaxOpen(20 + i)
	}
	g.waitForMaxOpen(26)
	g.stop(2)
	saved := readApplied(t, g.dirs[2])
	saved.Index += 1000 // as if Raft had much more of its log to apply
	saved.Config.Version, saved.Config.MaxOpen = 50, 77
	data, err := json.Marshal(saved)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(g.dirs[2], "applied.json"), data, 0o600); err != nil {
		t.Fatal(err)
	}
	g.start(2, nil)
	g.setMaxOpen(30)
	testkit.Eventually(t, "the instance applies the next change", func() bool { return g.stores[2].Status().LastIndex >= g.stores[g.leader()].Status().LastIndex })
	if c := g.stores[2].State().Config; c.Version != 50 || c.MaxOpen != 77 {
		t.Errorf("got %+v, want version 50", c)
	}
	g.expectNoOlder(2, 50)
}

// savedState is what an instance has saved.
type savedState struct {
	Index uint64 `json:"index"`
	store.State
}

// readApplied returns what an instance has saved in its directory.
func readApplied(t *testing.T, dir string) (saved savedState) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(dir, "applied.json"))
	if err == nil {
		err = json.Unmarshal(data, &saved)
	}
	if err != nil {
		t.Fatal(err)
	}
	return saved
}

// A state that the disk does not take must be applied all the same, and be saved once it does.
func TestAppliedStateIsSavedAfterTheDiskFailed(t *testing.T) {
	g := newGroup(t)
	g.setMaxOpen(20)
	g.waitForMaxOpen(20)
	obstacle := filepath.Join(g.dirs[1], "applied.json.new")
	if err := os.Mkdir(obstacle, 0o700); err != nil { // the file cannot be written now
		t.Fatal(err)
	}
	g.setMaxOpen(21)
	g.waitForMaxOpen(21)
	if saved := readApplied(t, g.dirs[1]); saved.Config.MaxOpen != 20 {
		t.Fatalf("saved %+v, want the state before: the file could not be written", saved.Config)
	}
	if err := os.Remove(obstacle); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the state is saved", func() bool { return readApplied(t, g.dirs[1]).Config.MaxOpen == 21 })
}

// A saved state that cannot be read must stop the start: the instance would show an older one.
func TestUnreadableAppliedStateStopsTheStart(t *testing.T) {
	g := newGroup(t)
	g.setMaxOpen(20)
	g.waitForMaxOpen(20)
	g.stop(0)
	if err := os.WriteFile(filepath.Join(g.dirs[0], "applied.json"), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, err := store.Open(store.Options{Name: g.peers[0].Name, Dir: g.dirs[0], Peers: g.peers}); err == nil {
		t.Error("the instance started, want an error that names the file")
		_ = s.Close()
	}
}
