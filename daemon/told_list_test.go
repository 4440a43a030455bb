package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/config"
	"onyxsail/daemon"
	"onyxsail/internal/testkit"
)

// deadAddr returns an address at which nothing listens.
func deadAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Guards against a broker of a group that forgets a drain over a restart while discovery is down:
// only the leader's list was kept.
func TestRestartedFollowerKeepsToADrainThatItWasTold(t *testing.T) {
	drained, other := testkit.NewNode(t, "s-0", false), testkit.NewNode(t, "s-1", false)
	entries := []testkit.Entry{drained.Entry(), other.Entry()}
	discovery := testkit.NewDiscovery(t, entries...)
	dir := t.TempDir()
	peers := []map[string]any{}
	for _, name := range []string{"n1", "n2", "n3"} { // the others never run, so this one never leads
		peers = append(peers, map[string]any{"name": name, "raft": deadAddr(t), "flight": deadAddr(t)})
	}
	start := func(discoveryAddr string) *daemon.Daemon {
		cfg, err := config.Parse(testkit.Config(discoveryAddr, entries, testkit.Settings(nil), map[string]any{
			"flight": map[string]any{"listen": peers[0]["flight"]}, "store": map[string]any{"dir": dir, "peers": peers},
		}), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		broker, err := daemon.Start(cfg, zerolog.New(io.Discard))
		if err != nil {
			t.Fatal(err)
		}
		return broker
	}
	broker := start(discovery.Addr)
	entry := drained.Entry()
	entry.State = "terminating"
	version := discovery.Update(entry)
	testkit.Eventually(t, "the list with the drain is on disk", func() bool {
		data, err := os.ReadFile(filepath.Join(dir, "told.json"))
		return err == nil && strings.Contains(string(data), fmt.Sprintf(`"version":%d,`, version))
	})
	if err := broker.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	broker = start(deadAddr(t))
	defer func() {
		if err := broker.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	}()
	before := len(drained.Parts())
	for i := range 20 {
		q := testkit.Query{Class: "screen", ID: fmt.Sprintf("q%d", i), Shards: []int{i % 18}, Timeout: 3 * time.Second}
		if reply := testkit.QueryHTTP(context.Background(), broker.Addr().String(), q); reply.Outcome != "served" {
			t.Errorf("query %d was %s, want it served by the other node", i, reply.Outcome)
		}
	}
	if sent := len(drained.Parts()) - before; sent > 0 {
		t.Errorf("the drained node was sent %d parts after the restart, want none", sent)
	}
}
