package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/cli"
	"onyxsail/config"
	"onyxsail/daemon"
	"onyxsail/internal/testkit"
)

// Guards against a node with several listed addresses being unreachable while one of its
// addresses works, and against queries for a new node going to an old one after the new
// one has taken over its address.
func TestNodeWithSeveralAddressesIsReachedOverWorkingOnes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n")
	oldNode := testkit.NewNode(t, "s-0", false)
	socketAddr := oldNode.AddAddress(t, "unix", path)
	entry := oldNode.Entry()
	entry.Addr, entry.Addrs = "127.0.0.1:1", []string{"[::1]:1", socketAddr} // only the socket works
	discovery := testkit.NewDiscovery(t, entry)
	shortSlowStart := func(s map[string]any) { s["safety"].(map[string]any)["coldMs"] = 50.0 }
	cfg, err := config.Parse(testkit.Config(discovery.Addr, []testkit.Entry{entry}, testkit.Settings(shortSlowStart), map[string]any{"flight": map[string]any{"listen": "127.0.0.1:0"}}), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	d, err := daemon.Start(cfg, zerolog.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := d.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	}()
	id := 0
	ask := func() testkit.Reply {
		id++
		return testkit.QueryHTTP(context.Background(), d.Addr().String(), testkit.Query{Class: "screen", ID: fmt.Sprintf("q%d", id), Shards: []int{1, 2}, Timeout: 3 * time.Second})
	}
	if r := ask(); r.Outcome != "served" || !r.Complete {
		t.Fatalf("got %+v, want a complete answer", r)
	}
	var out, errs bytes.Buffer
	if code := cli.Main([]string{"addresses", "--node", "s-0", "--addr", d.FlightAddr().String()}, &out, &errs); code != 0 || !strings.Contains(out.String(), socketAddr+"  last-good") {
		t.Errorf("the command addresses printed %s%s, want the socket as last-good", out.String(), errs.String())
	}
	if views := d.Status().Addresses["s-0"]; len(views) != 3 || views[0].Text != socketAddr || views[0].Reason != "last-good" {
		t.Errorf("status %+v, want three addresses, the socket first, as last-good", views)
	}
	for range 60 { // the budget for further attempts is a share of the recent queries
		ask()
	}
	// A new process takes over the socket path while the old one is still listed.
	newNode := testkit.NewNode(t, "s-1", false)
	newEntry := newNode.Entry()
	newEntry.Addrs = []string{socketAddr}
	discovery.Update(newEntry)
	testkit.Eventually(t, "the newer claim takes effect", func() bool {
		for _, v := range d.Status().Addresses["s-1"] {
			if v.Text == socketAddr {
				for _, v := range d.Status().Addresses["s-0"] {
					if v.Text == socketAddr {
						return false
					}
				}
				return true
			}
		}
		return false
	})
	testkit.Eventually(t, "parts reach the new node", func() bool { return ask().Outcome == "served" && len(newNode.Parts()) > 0 })
}
