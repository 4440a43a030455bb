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

// A node that the list gives several addresses is served over those that work,
// also when the set changes, and an address that a newer node takes over is its
// own from then on.
func TestNodeOfSeveralAddresses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n")
	first := testkit.NewNode(t, "s-0", false)
	sock := first.AddAddress(t, "unix", path)
	entry := first.Entry()
	entry.Addr, entry.Addrs = "127.0.0.1:1", []string{"[::1]:1", sock} // only the socket works
	disco := testkit.NewDiscovery(t, entry)
	warm := func(s map[string]any) { s["safety"].(map[string]any)["coldMs"] = 50.0 }
	cfg, err := config.Parse(testkit.Config(disco.Addr, []testkit.Entry{entry}, testkit.Settings(warm), map[string]any{"flight": map[string]any{"listen": "127.0.0.1:0"}}), func(string) string { return "" })
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
		t.Fatalf("got %+v", r)
	}
	var out, errs bytes.Buffer
	if code := cli.Main([]string{"addresses", "--node", "s-0", "--addr", d.FlightAddr().String()}, &out, &errs); code != 0 || !strings.Contains(out.String(), sock+"  last-good") {
		t.Errorf("addresses: %s%s", out.String(), errs.String())
	}
	if views := d.Status().Addresses["s-0"]; len(views) != 3 || views[0].Text != sock || views[0].Reason != "last-good" {
		t.Errorf("status %+v", views)
	}
	for range 60 { // further attempts are a share of what came lately
		ask()
	}
	// A new process takes the path over, while the old one is still listed.
	second := testkit.NewNode(t, "s-1", false)
	later := second.Entry()
	later.Addrs = []string{sock}
	disco.Update(later)
	testkit.Eventually(t, "the newer claim", func() bool {
		for _, v := range d.Status().Addresses["s-1"] {
			if v.Text == sock {
				for _, v := range d.Status().Addresses["s-0"] {
					if v.Text == sock {
						return false
					}
				}
				return true
			}
		}
		return false
	})
	testkit.Eventually(t, "work at the new node", func() bool { return ask().Outcome == "served" && len(second.Parts()) > 0 })
}
