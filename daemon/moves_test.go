package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/config"
	"onyxsail/daemon"
	"onyxsail/internal/testkit"
)

// Discovery moves while the new one is down: what the old one tells until the new one has
// answered counts as told, and is taken in. From then on the old one is asked, and heard,
// no more. A third that takes the place of the second, unanswered, ends its watch.
func TestDiscoveryMovesWhileTheNewOneIsDown(t *testing.T) {
	var nodes []*testkit.Node
	var list []testkit.Entry
	for i := range 3 {
		n := testkit.NewNode(t, fmt.Sprintf("s-%d", i), false)
		nodes, list = append(nodes, n), append(list, n.Entry())
	}
	old, third := testkit.NewDiscovery(t, list...), testkit.NewDiscovery(t, list...)
	down, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer down.Close()
	at := func(addr string) *config.Config {
		cfg, err := config.Parse(testkit.Config(addr, list, testkit.Settings(nil), nil), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	d, err := daemon.Start(at(old.Addr), zerolog.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := d.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	}()
	ids := 0
	ask := func() {
		t.Helper()
		ids++
		if got := testkit.QueryHTTP(context.Background(), d.Addr().String(), testkit.Query{Class: "screen", ID: fmt.Sprintf("q%d", ids), Shards: six, Timeout: 3 * time.Second}); got.Outcome != "served" {
			t.Fatalf("got %+v", got)
		}
	}
	testkit.Eventually(t, "the old one is watched", func() bool { return len(old.Requests()) > 1 })
	d.Reload(at(down.Addr().String()))
	drained := nodes[0].Entry()
	drained.State = "terminating"
	version := old.Update(drained)
	testkit.Eventually(t, "the old one tells the drain", func() bool { return !old.SentAt(version).IsZero() })
	limit := old.SentAt(version).Add(500 * time.Millisecond)
	for i := 0; i < 20 || time.Now().Before(limit.Add(100*time.Millisecond)); i++ {
		ask()
	}
	if i := slices.IndexFunc(nodes[0].Parts(), func(c testkit.Part) bool { return c.ReceivedAt.After(limit) }); i >= 0 {
		t.Fatal("a part was sent long after its drain was told by the old discovery")
	}
	d.Reload(at(third.Addr))
	testkit.Eventually(t, "the third one is watched", func() bool { return len(third.Requests()) > 1 })
	asked := len(old.Requests())
	time.Sleep(1500 * time.Millisecond) // longer than a watch waits
	if n := len(old.Requests()); n > asked+1 {
		t.Errorf("the old one was asked %d times more", n-asked)
	}
	before := len(nodes[0].Parts()) // the third says that the node is in service
	testkit.Eventually(t, "the node is used again", func() bool { ask(); return len(nodes[0].Parts()) > before })
}
