package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"onyxsail/broker"
	"onyxsail/config"
	"onyxsail/daemon"
	"onyxsail/internal/testkit"
)

// harness is a running broker with fake nodes and a fake discovery. All its queries go through
// the same kind of front.
type harness struct {
	broker    *daemon.Daemon
	discovery *testkit.Discovery
	nodes     []*testkit.Node
	ask       func(context.Context, testkit.Query) testkit.Reply // sets the ID, and a timeout of 3 s, where the query has none
	lastID    atomic.Int64                                       // of the IDs that ask has set
}

// protocols are the combinations that the tests run on: the platform's protocols (HTTP
// and frames), Flight on both sides, and HTTP queries whose parts go to both kinds of node.
var protocols = []struct {
	name   string
	flight bool             // whether queries go over Flight
	node   func(i int) bool // reports whether node i speaks Flight
}{
	{"platform", false, func(int) bool { return false }},
	{"flight", true, func(int) bool { return true }},
	{"mixed", false, func(i int) bool { return i%2 == 1 }},
}

// forEachProtocol runs a test on every combination of protocols, with nodeCount nodes that
// each hold all shards.
func forEachProtocol(t *testing.T, nodeCount int, change func(map[string]any), test func(*testing.T, *harness)) {
	for _, protocol := range protocols {
		t.Run(protocol.name, func(t *testing.T) {
			h := &harness{}
			var entries []testkit.Entry
			for i := range nodeCount {
				node := testkit.NewNode(t, fmt.Sprintf("s-%d", i), protocol.node(i))
				h.nodes = append(h.nodes, node)
				entries = append(entries, node.Entry())
			}
			h.discovery = testkit.NewDiscovery(t, entries...)
			data := testkit.Config(h.discovery.Addr, entries, testkit.Settings(change), map[string]any{
				"flight": map[string]any{"listen": "127.0.0.1:0"},
			})
			cfg, err := config.Parse(data, func(string) string { return "" })
			if err != nil {
				t.Fatal(err)
			}
			if h.broker, err = daemon.Start(cfg, zerolog.New(io.Discard)); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() {
				if err := h.broker.Stop(context.Background()); err != nil {
					t.Error(err)
				}
			})
			h.ask = func(ctx context.Context, q testkit.Query) testkit.Reply {
				if q.ID == "" {
					q.ID = fmt.Sprintf("q%d", h.lastID.Add(1))
				}
				if q.Timeout == 0 {
					q.Timeout = 3 * time.Second
				}
				if protocol.flight {
					return testkit.QueryFlight(ctx, h.broker.FlightAddr().String(), q)
				}
				return testkit.QueryHTTP(ctx, h.broker.Addr().String(), q)
			}
			test(t, h)
		})
	}
}

// setAllResponses makes all nodes respond to every part in the given way.
func (h *harness) setAllResponses(response string) {
	for _, n := range h.nodes {
		n.SetResponse(response)
	}
}

// allParts returns the parts that all nodes have received.
func (h *harness) allParts() (all []testkit.Part) {
	for _, n := range h.nodes {
		all = append(all, n.Parts()...)
	}
	return all
}

// sixShards are some of the 18 shards of testkit.Settings.
var sixShards = []int{0, 3, 5, 7, 11, 17}

// Guards against an answer that lacks parts or has wrong values, against a query that is
// not split over several nodes, and against parts without their text or remaining time.
func TestSplitQueryAnswerIsComplete(t *testing.T) {
	forEachProtocol(t, 4, nil, func(t *testing.T, h *harness) {
		var got testkit.Reply
		for range 4 { // the decision module does not spread parts before the first answers
			if got = h.ask(context.Background(), testkit.Query{Class: "screen", Shards: sixShards}); got.Outcome != "served" ||
				!got.Complete || len(got.Values) != len(sixShards) {
				t.Fatalf("got %+v, want a complete answer with a value for each shard", got)
			}
		}
		used := map[string]bool{}
		for _, s := range sixShards {
			if got.Values[s] != testkit.ShardValue(s) {
				t.Errorf("shard %d: got %q, want its own value", s, got.Values[s])
			}
		}
		for _, n := range h.nodes {
			for _, c := range n.Parts() {
				used[n.ID] = true
				if c.Query != "c41e77d0" || c.Timeout <= 0 || c.Timeout > 3*time.Second {
					t.Errorf("part %+v: want the query's body and a timeout of 3 s at most", c)
				}
			}
		}
		if len(used) < 2 {
			t.Errorf("all parts went to %v: the query was not split", used)
		}
	})
}

// Guards against a client getting no final answer before its deadline when no node answers.
func TestFinalAnswerComesBeforeDeadline(t *testing.T) {
	// The decision module ends a query two ticks before its deadline. With long ticks a busy
	// machine does not make the client miss an answer that was sent in time.
	forEachProtocol(t, 4, func(s map[string]any) { s["tickMs"] = 150.0 }, func(t *testing.T, h *harness) {
		h.setAllResponses(testkit.NeverAnswer)
		got := h.ask(context.Background(), testkit.Query{Class: "screen", Shards: sixShards, Timeout: time.Second})
		if got.Outcome == "none" || got.Outcome == "served" {
			t.Fatalf("got %+v, want a final answer before the client's deadline", got)
		}
		if s := h.broker.Stats(); s.Queries != 1 || s.Refused+s.Failed+s.Expired != 1 {
			t.Errorf("stats %+v, want one query, which is refused, failed or expired", s)
		}
	})
}

// Guards against a failing part being retried without limit, or not at all.
func TestAttemptsPerPartAreLimited(t *testing.T) {
	forEachProtocol(t, 5, nil, func(t *testing.T, h *harness) {
		h.setAllResponses(testkit.Failed)
		if got := h.ask(context.Background(), testkit.Query{Class: "screen", Shards: []int{4}}); got.Outcome != "refused" {
			t.Fatalf("got %+v, want a refusal after all attempts have failed", got)
		}
		if n := len(h.allParts()); n < 2 || n > 3 {
			t.Errorf("%d attempts of one part, want 2 or 3", n)
		}
	})
}

// Guards against retrying a keyed part that may have run after its idempotency window has
// ended, and against not retrying it within the window.
func TestKeyedPartIsRetriedOnlyWithinWindow(t *testing.T) {
	for window, want := range map[float64]int{1200: 2, 30: 1} {
		forEachProtocol(t, 4, func(s map[string]any) {
			s["classes"].([]any)[1].(map[string]any)["windowMs"] = window
		}, func(t *testing.T, h *harness) {
			var first atomic.Bool
			for _, n := range h.nodes {
				n.SetResponder(func(testkit.Part) string {
					if first.Swap(true) {
						return testkit.Done
					}
					time.Sleep(60 * time.Millisecond) // past the short window, inside the long one
					return testkit.Disconnect
				})
			}
			got := h.ask(context.Background(), testkit.Query{Class: "edit", Key: "k1", Shards: []int{2}})
			parts := h.allParts()
			if len(parts) != want || (got.Outcome == "served") != (want == 2) {
				t.Fatalf("window %v ms: %d attempts, got %+v", window, len(parts), got)
			}
			for _, c := range parts {
				if c.Key != "k1" {
					t.Errorf("a part was sent with the key %q, want k1", c.Key)
				}
			}
		})
	}
}

// Guards against retrying a part of an unsafe class that may have run, against answering
// its query with a refusal, which invites a retry, and against not retrying a part that a
// node rejected before running it.
func TestUnsafePartIsRetriedOnlyIfItNeverRan(t *testing.T) {
	for response, want := range map[string]string{testkit.Failed: "failed", testkit.Disconnect: "failed", testkit.Full: "served"} {
		forEachProtocol(t, 4, nil, func(t *testing.T, h *harness) {
			var first atomic.Bool
			for _, n := range h.nodes {
				n.SetResponder(func(testkit.Part) string {
					if first.Swap(true) {
						return testkit.Done
					}
					return response
				})
			}
			got := h.ask(context.Background(), testkit.Query{Class: "order", Shards: []int{2}})
			if n := len(h.allParts()); got.Outcome != want || (n > 1) != (want == "served") {
				t.Fatalf("after %q: %d attempts, got %+v", response, n, got)
			}
		})
	}
}

// Guards against a query of an unsafe class failing at an unreachable node: the node never
// ran the part, so it can safely go to another one.
func TestUnsafePartIsRetriedAfterUnreachableNode(t *testing.T) {
	forEachProtocol(t, 3, nil, func(t *testing.T, h *harness) {
		for _, n := range h.nodes[1:] {
			n.Stop()
		}
		for i := range 4 {
			if got := h.ask(context.Background(), testkit.Query{Class: "order", Shards: []int{i}}); got.Outcome != "served" {
				t.Fatalf("got %+v, want an answer from the reachable node", got)
			}
		}
	})
}

// Guards against the value of a stream that broke in the middle of its answer being served.
func TestTruncatedAnswerIsNotServed(t *testing.T) {
	forEachProtocol(t, 3, nil, func(t *testing.T, h *harness) {
		h.nodes[0].SetResponse(testkit.Disconnect)
		for i := range 6 {
			got := h.ask(context.Background(), testkit.Query{Class: "screen", Shards: []int{i, i + 6}})
			for s, v := range got.Values {
				if v != testkit.ShardValue(s) {
					t.Fatalf("shard %d: %q came from a broken stream", s, v)
				}
			}
		}
		if len(h.nodes[0].Parts()) == 0 {
			t.Fatal("the node that breaks its streams was never called")
		}
	})
}

// Guards against new parts going to a node later than 500 ms after discovery has sent its
// drain.
func TestDrainingNodeGetsNoNewParts(t *testing.T) {
	forEachProtocol(t, 3, nil, func(t *testing.T, h *harness) {
		e := h.nodes[0].Entry()
		e.State = "terminating"
		version := h.discovery.Update(e)
		testkit.Eventually(t, "the drain is sent", func() bool { return !h.discovery.SentAt(version).IsZero() })
		limit := h.discovery.SentAt(version).Add(500 * time.Millisecond)
		for i := 0; i < 20 || time.Now().Before(limit.Add(100*time.Millisecond)); i++ {
			if got := h.ask(context.Background(), testkit.Query{Class: "screen", Shards: sixShards}); got.Outcome != "served" {
				t.Fatalf("got %+v, want an answer from the nodes in service", got)
			}
		}
		for _, c := range h.nodes[0].Parts() {
			if c.ReceivedAt.After(limit) {
				t.Fatalf("a part was sent %v after the drain was sent", c.ReceivedAt.Sub(limit)+500*time.Millisecond)
			}
		}
	})
}

// Discovery is overloaded while it has a drain and a node's end to report: at first it
// refuses calls, breaks them off and sends garbage. Guards against queries failing until
// the update arrives, while the last known list still has the node that is gone, and
// against the update not being applied afterwards.
func TestLastKnownListServesWhileDiscoveryFails(t *testing.T) {
	forEachProtocol(t, 3, nil, func(t *testing.T, h *harness) {
		ask := func() {
			t.Helper()
			if got := h.ask(context.Background(), testkit.Query{Class: "screen", Shards: sixShards}); got.Outcome != "served" {
				t.Fatalf("got %+v, want an answer from the nodes that still run", got)
			}
		}
		ask()
		h.discovery.InjectFaults("broken", "refused", "garbled", "broken", "refused")
		draining, gone := h.nodes[0].Entry(), h.nodes[1].Entry()
		draining.State, gone.State = "terminating", "terminated"
		h.discovery.Update(draining)
		h.nodes[1].Stop()
		version := h.discovery.Update(gone)
		for end := time.Now().Add(20 * time.Second); h.discovery.SentAt(version).IsZero(); ask() {
			if time.Now().After(end) {
				t.Fatal("discovery was not called again")
			}
		}
		limit := h.discovery.SentAt(version).Add(500 * time.Millisecond)
		for i := 0; i < 20 || time.Now().Before(limit.Add(100*time.Millisecond)); i++ {
			ask()
		}
		if left := h.discovery.PendingFaults(); left > 0 {
			t.Errorf("%d faulty answers of discovery were never fetched", left)
		}
		for _, c := range h.nodes[0].Parts() {
			if c.ReceivedAt.After(limit) {
				t.Fatalf("a part was sent %v after the drain was sent", c.ReceivedAt.Sub(limit)+500*time.Millisecond)
			}
		}
	})
}

// Guards against a node that has just started getting its full share at once instead of
// through slow start.
func TestColdNodeGetsReducedShare(t *testing.T) {
	forEachProtocol(t, 3, nil, func(t *testing.T, h *harness) {
		e := h.nodes[0].Entry()
		e.Started = time.Now().UnixMilli()
		version := h.discovery.Update(e)
		testkit.Eventually(t, "the start of the node is sent", func() bool { return !h.discovery.SentAt(version).IsZero() })
		testkit.Eventually(t, "the start of the node is applied", func() bool { return h.broker.Stats().Turns > 0 })
		before := len(h.nodes[0].Parts())
		var wg sync.WaitGroup
		for range 10 { // a burst larger than the recent load of any warm node
			wg.Add(1)
			go func() {
				defer wg.Done()
				h.ask(context.Background(), testkit.Query{Class: "screen", Shards: sixShards})
			}()
		}
		wg.Wait()
		cold, all := len(h.nodes[0].Parts())-before, len(h.allParts())
		if all < 30 || cold*6 > all {
			t.Fatalf("%d of %d parts went to the cold node, want less than half of an even share", cold, all)
		}
	})
}

// Guards against a partial answer being marked as whole, being served below the class's
// minimum share, or not being served where the class allows it.
func TestPartialAnswerIsMarkedAndMeetsMinimumShare(t *testing.T) {
	forEachProtocol(t, 4, nil, func(t *testing.T, h *harness) {
		for _, n := range h.nodes {
			n.SetResponder(func(c testkit.Part) string {
				if c.Shard == 5 {
					return testkit.Failed
				}
				return testkit.Done
			})
		}
		got := h.ask(context.Background(), testkit.Query{Class: "part", Shards: []int{1, 2, 3, 5}})
		if got.Outcome != "served" || got.Complete || len(got.Values) != 3 {
			t.Errorf("class with a minimum share of one half: got %+v", got)
		}
		if got := h.ask(context.Background(), testkit.Query{Class: "screen", Shards: []int{1, 2, 3, 5}}); got.Outcome != "refused" {
			t.Errorf("class that needs all parts: got %+v", got)
		}
	})
}

// Guards against a query that cannot be served waiting for its deadline: it is refused at
// once, with the retry hint of the decision module.
func TestRefusalIsImmediateWithRetryHint(t *testing.T) {
	forEachProtocol(t, 3, nil, func(t *testing.T, h *harness) {
		h.ask(context.Background(), testkit.Query{Class: "screen", Shards: sixShards}) // lets the decision module learn the usual latency
		h.setAllResponses(testkit.Full)
		got := h.ask(context.Background(), testkit.Query{Class: "screen", Shards: []int{4}, Timeout: 15 * time.Second})
		if got.Outcome != "refused" || got.RetryAfter <= 0 {
			t.Fatalf("got %+v, want a refusal with a retry hint", got)
		}
		if s := h.broker.Stats(); s.Open != 0 {
			t.Errorf("stats %+v, want no open query after the refusal", s)
		}
	})
}

// Guards against a broker accepting more queries and parts than maxOpen.
func TestBrokerAtMaxOpenRefuses(t *testing.T) {
	forEachProtocol(t, 3, func(s map[string]any) { s["caps"].(map[string]any)["maxOpen"] = 7 }, func(t *testing.T, h *harness) {
		h.setAllResponses(testkit.NeverAnswer)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan testkit.Reply, 1)
		go func() { done <- h.ask(ctx, testkit.Query{Class: "screen", Shards: sixShards}) }()
		testkit.Eventually(t, "the first query is open", func() bool { return h.broker.Stats().Open == 1 })
		if got := h.ask(context.Background(), testkit.Query{Class: "screen", Shards: []int{1}}); got.Outcome != "refused" {
			t.Errorf("got %+v, want a refusal at maxOpen", got)
		}
		cancel()
		<-done
		testkit.Eventually(t, "the query of the disconnected client is dropped", func() bool { return h.broker.Stats().Open == 0 })
	})
}

// Guards against a disconnected client's query staying open and its parts not being
// cancelled at the nodes.
func TestClientDisconnectCancelsParts(t *testing.T) {
	forEachProtocol(t, 2, nil, func(t *testing.T, h *harness) {
		h.setAllResponses(testkit.NeverAnswer)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan testkit.Reply, 1)
		go func() { done <- h.ask(ctx, testkit.Query{Class: "screen", Shards: []int{1, 2}}) }()
		testkit.Eventually(t, "both parts are sent", func() bool { return len(h.allParts()) >= 2 })
		cancel()
		<-done
		testkit.Eventually(t, "both parts are cancelled", func() bool {
			return len(h.nodes[0].Cancelled())+len(h.nodes[1].Cancelled()) >= 2
		})
		if s := h.broker.Stats(); s.Left != 1 || s.Open != 0 {
			t.Errorf("stats %+v, want one query that its client left, and none open", s)
		}
	})
}

// Guards against a straggler not being hedged: it gets a copy at another node while the
// original stays open, and the attempt that loses is cancelled.
func TestLosingCopyOfStragglerIsCancelled(t *testing.T) {
	forEachProtocol(t, 4, nil, func(t *testing.T, h *harness) {
		for i := range 30 { // samples of the usual latency
			h.ask(context.Background(), testkit.Query{Class: "screen", Shards: []int{i % 18, (i + 5) % 18}})
		}
		h.nodes[0].SetResponse(testkit.NeverAnswer)
		testkit.Eventually(t, "an attempt at the silent node is cancelled", func() bool {
			if got := h.ask(context.Background(), testkit.Query{Class: "screen", Shards: sixShards}); got.Outcome == "none" {
				t.Errorf("got %+v, want any reply in time", got)
			}
			return len(h.nodes[0].Cancelled()) > 0
		})
	})
}

// Guards against invalid queries being accepted or counted.
func TestInvalidQueriesAreRejected(t *testing.T) {
	forEachProtocol(t, 1, nil, func(t *testing.T, h *harness) {
		for _, q := range []testkit.Query{
			{Class: "nothing", Shards: []int{1}}, {Class: "screen"}, {Class: "screen", Shards: []int{18}},
			{Class: "screen", Shards: []int{1, 1}}, {Class: "edit", Shards: []int{1}}, {Class: "screen", ID: "a b", Shards: []int{1}},
		} {
			if got := h.ask(context.Background(), q); got.Outcome != "invalid" {
				t.Errorf("%+v: got %+v, want the outcome invalid", q, got)
			}
		}
		if s := h.broker.Stats(); s.Queries != 0 {
			t.Errorf("stats %+v, want no invalid query counted", s)
		}
	})
}

// Guards against a broker without nodes reporting ready while it waits for its first list, and
// against it not becoming ready with the first list that has nodes.
func TestBrokerWithoutNodesIsNotReady(t *testing.T) {
	discovery := testkit.NewDiscovery(t)
	cfg, err := config.Parse(testkit.Config(discovery.Addr, nil, testkit.Settings(nil), nil), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	d, err := daemon.Start(cfg, zerolog.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	ready := func() int {
		res, err := http.Get("http://" + d.Addr().String() + "/ready")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		return res.StatusCode
	}
	testkit.Eventually(t, "the empty list is sent", func() bool { return len(discovery.Requests()) >= 2 })
	if got := ready(); got != http.StatusServiceUnavailable {
		t.Errorf("/ready without a node: status %d, want 503", got)
	}
	discovery.Update(testkit.NewNode(t, "s-1", false).Entry())
	testkit.Eventually(t, "the broker is ready", func() bool { return ready() == http.StatusOK })
	if d.FlightAddr() != nil {
		t.Error("the Flight front is on")
	}
	http.DefaultClient.CloseIdleConnections()
	if err := d.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

// Guards against goroutines and table entries of queries being leaked under load, in
// particular when a node never answers.
func TestLoadLeaksNoGoroutinesOrQueries(t *testing.T) {
	forEachProtocol(t, 4, nil, func(t *testing.T, h *harness) {
		ask := func(n int, response string) {
			h.nodes[3].SetResponse(response)
			var wg sync.WaitGroup
			for range n {
				wg.Add(1)
				go func() {
					defer wg.Done()
					h.ask(context.Background(), testkit.Query{Class: "screen", Shards: sixShards, Timeout: 500 * time.Millisecond})
				}()
			}
			wg.Wait()
			http.DefaultClient.CloseIdleConnections()
		}
		ask(4, testkit.Done)
		baseline := runtime.NumGoroutine() + 16 // margin for the connections of the fakes and the clients
		for range 4 {
			ask(40, testkit.NeverAnswer)
		}
		ask(4, testkit.Done)
		testkit.Eventually(t, "the goroutines end", func() bool {
			http.DefaultClient.CloseIdleConnections()
			return runtime.NumGoroutine() <= baseline && h.broker.Stats().Open == 0
		})
	})
}

// Guards against cancel frames being sent where the settings forbid them. Nodes that speak
// Flight are not checked: their streams end at the deadline that each carries, which cannot
// be told apart from a cancellation.
func TestNoCancelIsSentWhereSettingsForbidIt(t *testing.T) {
	forbidCancel := func(s map[string]any) { s["caps"].(map[string]any)["cancel"] = false }
	forEachProtocol(t, 2, forbidCancel, func(t *testing.T, h *harness) {
		h.setAllResponses(testkit.NeverAnswer)
		if got := h.ask(context.Background(), testkit.Query{Class: "order", Shards: sixShards[:1], Timeout: 300 * time.Millisecond}); got.Outcome == "served" {
			t.Errorf("got %+v, want no answer from silent nodes", got)
		}
		h.setAllResponses(testkit.Done)
		for range 3 { // on the same connections, so a cancel frame of the first query would have arrived
			if got := h.ask(context.Background(), testkit.Query{Class: "screen", Shards: sixShards}); got.Outcome != "served" {
				t.Errorf("got %+v, want an answer", got)
			}
		}
		for _, n := range h.nodes {
			if cancelled := n.Cancelled(); len(cancelled) != 0 && !strings.HasPrefix(n.Addr, broker.FlightScheme) {
				t.Errorf("%s was sent cancels of %v", n.ID, cancelled)
			}
		}
	})
}
