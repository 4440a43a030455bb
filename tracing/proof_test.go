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

var proofDuration = flag.Duration("proof.for", 0, "how long the proof tests run; 0 runs their short form")

// objective is the objectiveMs that shortenClassTimes gives to all classes.
const objective = 100 * time.Millisecond

// shortenClassTimes shortens the objectives and deadlines of all classes, so that many
// queries miss them in a short test.
func shortenClassTimes(s map[string]any) {
	for _, c := range s["classes"].([]any) {
		c.(map[string]any)["objectiveMs"] = float64(objective.Milliseconds())
		c.(map[string]any)["deadlineMs"] = 500.0
	}
}

// startBroker starts a broker with n nodes, named s-0 and so on, with tracing enabled if
// tracingConfig is not nil. settings, if not nil, changes the default settings.
func startBroker(t testing.TB, n int, flightNodes bool, tracingConfig map[string]any, settings func(map[string]any)) (*daemon.Daemon, []*testkit.Node) {
	t.Helper()
	var nodes []*testkit.Node
	var entries []testkit.Entry
	for i := range n {
		node := testkit.NewNode(t, fmt.Sprintf("s-%d", i), flightNodes)
		nodes, entries = append(nodes, node), append(entries, node.Entry())
	}
	discovery := testkit.NewDiscovery(t, entries...)
	extra := map[string]any{"flight": map[string]any{"listen": "127.0.0.1:0"}}
	if tracingConfig != nil {
		extra["tracing"] = tracingConfig
	}
	cfg, err := config.Parse(testkit.Config(discovery.Addr, entries, testkit.Settings(settings), extra), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	broker, err := daemon.Start(cfg, zerolog.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	return broker, nodes
}

// Nodes stall, fail, refuse and fail to answer at random, by a fixed seed. Each query
// that a client saw fail or take clearly longer than its objective must have a trace as
// a bad one, but only some of the good queries.
func TestProofTracesOfBadQueriesAreKept(t *testing.T) {
	dir := t.TempDir()
	broker, nodes := startBroker(t, 4, false, map[string]any{
		"dir": dir, "budget_per_s": 10_000, "memory_kb": 65536, "good_share": 0.05, "spool_mb": 1024,
	}, shortenClassTimes)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(7, 7))
	for _, n := range nodes {
		n.SetResponder(func(testkit.Part) string {
			mu.Lock()
			x := rng.Float64()
			mu.Unlock()
			switch {
			case x < 0.06:
				time.Sleep(objective + objective/2) // simulates a stalled node
			case x < 0.08:
				return testkit.Failed
			case x < 0.10:
				return testkit.Full
			case x < 0.11:
				return testkit.NeverAnswer
			}
			return testkit.Done
		})
	}
	classes := []string{"screen", "edit", "order", "part"}
	var wg sync.WaitGroup
	bad, good := map[string]string{}, map[string]bool{}
	end := time.Now().Add(*proofDuration)
	for client := range 8 {
		wg.Go(func() {
			for i := 0; i < 60 || time.Now().Before(end); i++ {
				q := testkit.Query{Class: classes[i%4], ID: fmt.Sprintf("q%d-%d", client, i), Key: fmt.Sprintf("k%d-%d", client, i),
					Shards: []int{i % 18, (i + 7) % 18}, Timeout: 500 * time.Millisecond}
				r := testkit.QueryHTTP(context.Background(), broker.Addr().String(), q)
				mu.Lock()
				// The client's latency is a little longer than the broker's, as it
				// includes the network time of the request and the response.
				if r.Outcome != "served" || r.Latency > objective+objective/4 {
					bad[q.ID] = fmt.Sprintf("%s after %v", r.Outcome, r.Latency)
				} else if r.Latency < objective {
					good[q.ID] = true
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if err := broker.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	kept, byReason := map[string]*record.Trace{}, map[record.Reasons]int{}
	for _, tr := range readDir(t, dir) {
		kept[tr.Query] = tr
		byReason[tr.KeepReason]++
	}
	missed, keptGood := 0, 0
	for id, result := range bad {
		if tr := kept[id]; tr == nil || tr.Reasons&^(record.Baseline|record.Requested) == 0 {
			missed++
			t.Errorf("no trace of bad query %s: %s", id, result)
		}
	}
	for id := range good {
		if tr := kept[id]; tr != nil && tr.Reasons == record.Baseline {
			keptGood++
		}
	}
	if len(bad) == 0 || len(good) == 0 || keptGood == 0 || keptGood > len(good)/5 {
		t.Errorf("the run is inconclusive: %d bad and %d good queries, traces of %d good ones kept; want some of each, and at most a fifth of the good ones kept", len(bad), len(good), keptGood)
	}
	t.Logf("kept by reason: %v", byReason)
	fmt.Printf("proof: traces missed %d of %d bad, kept %d of %d good\n", missed, len(bad), keptGood, len(good))
}

// readDir returns all traces of a spool directory and fails if any is unreadable.
func readDir(t testing.TB, dir string) []*record.Trace {
	t.Helper()
	traces, unreadable, err := tracing.ReadDir(dir, record.Filter{})
	if err != nil || len(unreadable) > 0 {
		t.Fatal(err, unreadable)
	}
	return traces
}
