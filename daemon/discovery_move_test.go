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

// A reload moves the broker to a new discovery that is down. Guards against updates of the
// old discovery being lost before the new one has answered, against the old one still being
// polled or applied afterwards, and against the watch of a discovery that never answered
// surviving the next move.
func TestOldDiscoveryIsFollowedUntilNewOneAnswers(t *testing.T) {
	var nodes []*testkit.Node
	var list []testkit.Entry
	for i := range 3 {
		n := testkit.NewNode(t, fmt.Sprintf("s-%d", i), false)
		nodes, list = append(nodes, n), append(list, n.Entry())
	}
	oldDiscovery, thirdDiscovery := testkit.NewDiscovery(t, list...), testkit.NewDiscovery(t, list...)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	configFor := func(addr string) *config.Config {
		cfg, err := config.Parse(testkit.Config(addr, list, testkit.Settings(nil), nil), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	d, err := daemon.Start(configFor(oldDiscovery.Addr), zerolog.New(io.Discard))
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
		if got := testkit.QueryHTTP(context.Background(), d.Addr().String(), testkit.Query{Class: "screen", ID: fmt.Sprintf("q%d", ids), Shards: sixShards, Timeout: 3 * time.Second}); got.Outcome != "served" {
			t.Fatalf("got %+v, want an answer", got)
		}
	}
	testkit.Eventually(t, "the old discovery is watched", func() bool { return len(oldDiscovery.Requests()) > 1 })
	d.Reload(configFor(unresponsive.Addr().String()))
	draining := nodes[0].Entry()
	draining.State = "terminating"
	version := oldDiscovery.Update(draining)
	testkit.Eventually(t, "the old discovery sends the drain", func() bool { return !oldDiscovery.SentAt(version).IsZero() })
	limit := oldDiscovery.SentAt(version).Add(500 * time.Millisecond)
	for i := 0; i < 20 || time.Now().Before(limit.Add(100*time.Millisecond)); i++ {
		ask()
	}
	if i := slices.IndexFunc(nodes[0].Parts(), func(c testkit.Part) bool { return c.ReceivedAt.After(limit) }); i >= 0 {
		t.Fatal("a part was sent more than 500 ms after the old discovery had sent the node's drain")
	}
	d.Reload(configFor(thirdDiscovery.Addr))
	testkit.Eventually(t, "the third discovery is watched", func() bool { return len(thirdDiscovery.Requests()) > 1 })
	callsBefore := len(oldDiscovery.Requests())
	time.Sleep(1500 * time.Millisecond) // longer than one long poll
	if n := len(oldDiscovery.Requests()); n > callsBefore+1 {
		t.Errorf("the old discovery was called %d more times", n-callsBefore)
	}
	partsBefore := len(nodes[0].Parts()) // the third discovery lists the node as in service
	testkit.Eventually(t, "the node is used again", func() bool { ask(); return len(nodes[0].Parts()) > partsBefore })
}
