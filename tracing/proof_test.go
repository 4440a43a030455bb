package tracing_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/config"
	"onyxsail/daemon"
	"onyxsail/internal/testkit"
	"onyxsail/tracing"
	"onyxsail/tracing/record"
)

var proofFor = flag.Duration("proof.for", 0, "how long the proof runs; 0: the short form")

const wanted = 100 * time.Millisecond

// quick makes the classes' times short, so that many queries miss them soon.
func quick(s map[string]any) {
	for _, c := range s["classes"].([]any) {
		c.(map[string]any)["objectiveMs"] = float64(wanted.Milliseconds())
		c.(map[string]any)["deadlineMs"] = 500.0
	}
}

// start starts a traced broker among n nodes.
func start(t testing.TB, n int, flightKind bool, trace map[string]any, settings func(map[string]any)) (*daemon.Daemon, []*testkit.Node) {
	t.Helper()
	var nodes []*testkit.Node
	var list []testkit.Entry
	for i := range n {
		node := testkit.NewNode(t, fmt.Sprintf("s-%d", i), flightKind)
		nodes, list = append(nodes, node), append(list, node.Entry())
	}
	disco := testkit.NewDiscovery(t, list...)
	extra := map[string]any{"flight": map[string]any{"listen": "127.0.0.1:0"}}
	if trace != nil {
		extra["tracing"] = trace
	}
	cfg, err := config.Parse(testkit.Config(disco.Addr, list, testkit.Settings(settings), extra), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	d, err := daemon.Start(cfg, zerolog.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	return d, nodes
}

// TestProofTraces runs queries of all classes against nodes that stall, fail
// and turn away by a seed, and holds what clients saw against what was kept.
func TestProofTraces(t *testing.T) {
	dir := t.TempDir()
	d, nodes := start(t, 4, false, map[string]any{
		"dir": dir, "budget_per_s": 10_000, "memory_kb": 65536, "good_share": 0.05, "spool_mb": 1024,
	}, quick)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(7, 7))
	for _, n := range nodes {
		n.Work(func(testkit.Call) string {
			mu.Lock()
			x := rng.Float64()
			mu.Unlock()
			switch {
			case x < 0.06:
				time.Sleep(wanted + wanted/2) // the stall itself, not a wait for a condition
			case x < 0.08:
				return testkit.Fail
			case x < 0.10:
				return testkit.Full
			case x < 0.11:
				return testkit.Silent
			}
			return testkit.Done
		})
	}
	classes := []string{"screen", "edit", "order", "part"}
	var wg sync.WaitGroup
	bad, good := map[string]string{}, map[string]bool{}
	until := time.Now().Add(*proofFor)
	for w := range 8 {
		wg.Go(func() {
			for i := 0; i < 60 || time.Now().Before(until); i++ {
				q := testkit.Query{Class: classes[i%4], ID: fmt.Sprintf("q%d-%d", w, i), Key: fmt.Sprintf("k%d-%d", w, i),
					Shards: []int{i % 18, (i + 7) % 18}, Within: 500 * time.Millisecond}
				r := testkit.AskHTTP(context.Background(), d.Addr().String(), q)
				mu.Lock()
				// The client's clock runs a little longer than the broker's, by the
				// way there and back.
				if r.Kind != "served" || r.Took > wanted+wanted/4 {
					bad[q.ID] = fmt.Sprintf("%s after %v", r.Kind, r.Took)
				} else if r.Took < wanted {
					good[q.ID] = true
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if err := d.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	kept, whys := map[string]*record.Trace{}, map[record.Reasons]int{}
	for _, tr := range readDir(t, dir) {
		kept[tr.Query] = tr
		whys[tr.KeepReason]++
	}
	missed, keptGood := 0, 0
	for id, why := range bad {
		if tr := kept[id]; tr == nil || tr.Reasons&^(record.Baseline|record.Requested) == 0 {
			missed++
			t.Errorf("no trace of %s: %s", id, why)
		}
	}
	for id := range good {
		if tr := kept[id]; tr != nil && tr.Reasons == record.Baseline {
			keptGood++
		}
	}
	if len(bad) == 0 || len(good) == 0 || keptGood == 0 || keptGood > len(good)/5 {
		t.Errorf("%d bad and %d good queries, %d good ones kept: the run shows nothing", len(bad), len(good), keptGood)
	}
	t.Logf("kept by reason: %v", whys)
	fmt.Printf("proof: traces missed %d of %d bad, kept %d of %d good\n", missed, len(bad), keptGood, len(good))
}

func readDir(t testing.TB, dir string) []*record.Trace {
	t.Helper()
	traces, bad, err := tracing.ReadDir(dir, record.Filter{})
	if err != nil || len(bad) > 0 {
		t.Fatal(err, bad)
	}
	return traces
}
