package tracing_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"onyxsail/cli"
	"onyxsail/internal/testkit"
	"onyxsail/tracing/critical"
	"onyxsail/tracing/record"
	"onyxsail/tracing/view"
)

const (
	sampledParent   = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	unsampledParent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00"
)

// The caller's trace context must reach Flight nodes from either front, with the
// attempt as the parent. A header that is malformed, too long or repeated must start
// a new trace.
func TestCallerTraceContextReachesNodes(t *testing.T) {
	dir := t.TempDir()
	broker, nodes := startBroker(t, 1, true, map[string]any{"dir": dir, "good_share": 1}, nil)
	cases := []struct {
		name           string
		traceparents   []string
		tracestate     string
		continuesTrace bool
	}{{"good", []string{unsampledParent}, "a=1", true}, {"asked", []string{sampledParent}, "", true}, {"none", nil, "", false},
		{"malformed", []string{"00-xyz"}, "a=1", false}, {"repeated", []string{sampledParent, sampledParent}, "", false},
		{"too-long", []string{sampledParent + strings.Repeat("-0", 500)}, "", false}}
	for _, c := range cases {
		for front, sendQuery := range map[string]func(testkit.Query) testkit.Reply{
			"http": func(q testkit.Query) testkit.Reply {
				return testkit.QueryHTTP(context.Background(), broker.Addr().String(), q)
			},
			"flight": func(q testkit.Query) testkit.Reply {
				return testkit.QueryFlight(context.Background(), broker.FlightAddr().String(), q)
			},
		} {
			q := testkit.Query{Class: "screen", ID: c.name + "-" + front, Shards: []int{2}, Timeout: 3 * time.Second, Traceparent: c.traceparents, Tracestate: c.tracestate}
			if r := sendQuery(q); r.Outcome != "served" {
				t.Fatalf("%s: got reply %+v, want served", q.ID, r)
			}
		}
	}
	if err := broker.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	traces := map[string]*record.Trace{}
	for _, tr := range readDir(t, dir) {
		traces[tr.Query] = tr
	}
	received := map[string]testkit.Part{}
	for _, part := range nodes[0].Parts() {
		received[strings.TrimSuffix(part.ID, ".2")] = part
	}
	for _, c := range cases {
		for _, front := range []string{"http", "flight"} {
			name := c.name + "-" + front
			tr, part := traces[name], received[name]
			if tr == nil || len(tr.Attempts) != 1 {
				t.Fatalf("%s: got trace %+v, want one with a single attempt", name, tr)
			}
			flag := "00"
			if c.name == "asked" {
				flag = "01"
			}
			if want := fmt.Sprintf("00-%s-%s-%s", tr.ID, tr.Attempts[0].Span, flag); part.Traceparent != want {
				t.Errorf("%s: the node got %q, want %q", name, part.Traceparent, want)
			}
			if same := tr.ID.String() == sampledParent[3:35]; same != c.continuesTrace || same && (tr.Parent.String() != sampledParent[36:52] || part.Tracestate != c.tracestate) ||
				!same && (tr.Parent != record.SpanID{} || part.Tracestate != "") {
				t.Errorf("%s: wrong trace context: got trace %s, parent span %s and, at the node, tracestate %q", name, tr.ID, tr.Parent, part.Tracestate)
			}
			if requested := tr.Reasons&record.Requested != 0; requested != (c.name == "asked") {
				t.Errorf("%s: got reasons %s, want asked only with the sampled flag", name, tr.Reasons)
			}
		}
	}
}

// With tracing disabled, no goroutine of its packages may run and the status must not
// contain it. With tracing enabled, the same search must find its goroutines, and none
// may remain after the stop.
func TestDisabledTracingStartsNoGoroutine(t *testing.T) {
	stacks := func() string {
		b := make([]byte, 1<<20)
		return string(b[:runtime.Stack(b, true)])
	}
	broker, _ := startBroker(t, 1, false, nil, nil)
	reply := testkit.QueryHTTP(context.Background(), broker.Addr().String(), testkit.Query{Class: "screen", ID: "q", Shards: []int{1}, Timeout: 3 * time.Second, Traceparent: []string{sampledParent}})
	s := stacks()
	if reply.Outcome != "served" || strings.Contains(s, "onyxsail/tracing.") || strings.Contains(s, "onyxsail/tracing/") || broker.Status().Tracing != nil {
		t.Errorf("with tracing disabled: reply %+v, status %+v, goroutines:\n%s", reply, broker.Status().Tracing, s)
	}
	if err := broker.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	traced, _ := startBroker(t, 1, false, map[string]any{"otlp": map[string]any{"endpoint": "127.0.0.1:1"}}, nil)
	if s := stacks(); !strings.Contains(s, "onyxsail/tracing.") || !strings.Contains(s, "onyxsail/tracing/export.") {
		t.Error("no goroutine of the tracer and exporter found with tracing enabled")
	}
	if err := traced.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if s := stacks(); strings.Contains(s, "onyxsail/tracing.") || strings.Contains(s, "onyxsail/tracing/") {
		t.Errorf("goroutines of tracing still run after the stop:\n%s", s)
	}
}

// A broker waits for its clients' streams when it stops. A follower's stream, which
// would never end by itself, must not make the stop wait.
func TestFollowersDoNotBlockStop(t *testing.T) {
	broker, _ := startBroker(t, 1, false, map[string]any{}, nil)
	root := cli.NewRootCommand(&lockedBuffer{}, &lockedBuffer{})
	root.SetArgs([]string{"trace", "tail", "--addr", broker.FlightAddr().String()})
	tailDone := make(chan error, 1)
	go func() { tailDone <- root.ExecuteContext(context.Background()) }()
	testkit.Eventually(t, "a connected follower", func() bool { return broker.Status().Tracing.Followers == 1 })
	if err := broker.Stop(context.Background()); err != nil { // fails if the drain's grace period has run out
		t.Error(err)
	}
	if err := <-tailDone; err != nil {
		t.Errorf("tail: %v", err)
	}
}

// The trace commands must work on a running broker: list, show with the waterfall, why
// with the lost time by node, tail with traces as they are kept, and their JSON output.
// The error for an invalid argument must name it.
func TestTraceCommandsOnRunningBroker(t *testing.T) {
	broker, nodes := startBroker(t, 1, false, map[string]any{"good_share": 1}, shortenClassTimes)
	addr := broker.FlightAddr().String()
	command := func(args ...string) (string, string, int) {
		var stdout, stderr bytes.Buffer
		code := cli.Main(append([]string{"trace"}, append(args, "--addr", addr)...), &stdout, &stderr)
		return stdout.String(), stderr.String(), code
	}
	ctx, stop := context.WithCancel(context.Background())
	var tail lockedBuffer
	tailDone := make(chan error, 1)
	root := cli.NewRootCommand(&tail, &tail)
	root.SetArgs([]string{"trace", "tail", "--bad", "--reason", "late", "--json", "--addr", addr})
	go func() { tailDone <- root.ExecuteContext(ctx) }()
	nodes[0].SetResponder(func(c testkit.Part) string {
		if c.Shard == 5 {
			time.Sleep(objective + objective/2) // simulates a stalled node
		}
		return testkit.Done
	})
	sendQuery := func(id string, shards ...int) string {
		return testkit.QueryHTTP(context.Background(), broker.Addr().String(), testkit.Query{Class: "screen", ID: id, Shards: shards, Timeout: 500 * time.Millisecond}).Outcome
	}
	testkit.Eventually(t, "a connected follower", func() bool { return broker.Status().Tracing.Followers == 1 })
	if a, b := sendQuery("fast", 1, 2), sendQuery("slow0", 3, 5); a != "served" || b != "served" {
		t.Fatalf("got %s and %s, want both served", a, b)
	}
	testkit.Eventually(t, "the late query in the output of tail", func() bool { return strings.Contains(tail.text(), "late") })
	stop()
	if err := <-tailDone; err != nil {
		t.Errorf("tail: %v", err)
	}
	var first record.Trace
	if err := json.Unmarshal([]byte(strings.SplitN(tail.text(), "\n", 2)[0]), &first); err != nil || first.Reasons&record.Late == 0 {
		t.Errorf("tail: got %q and error %v, want a late trace in the first line", tail.text(), err)
	}
	testkit.Eventually(t, "the fast query in the list", func() bool { stdout, _, _ := command("list"); return strings.Contains(stdout, "fast") })
	if stdout, stderr, code := command("list", "--reason", "late", "--node", "s-0"); code != 0 || !strings.Contains(stdout, "slow0") || strings.Contains(stdout, "fast") ||
		!strings.Contains(stdout, "node ") {
		t.Errorf("list of late queries at s-0: got %s%s, want only the query slow0, with most time at the node", stdout, stderr)
	}
	if stdout, stderr, code := command("show", "slow0"); code != 0 || !strings.Contains(stdout, "late") || !strings.Contains(stdout, "====") || !strings.Contains(stdout, "CRITICAL PATH") ||
		!strings.Contains(stdout, nodes[0].Addr) {
		t.Errorf("show: got %s%s, want a late query with its critical path and the node's bar and address", stdout, stderr)
	}
	if stdout, _, code := command("show", "slow0", "--json"); code != 0 || !strings.Contains(stdout, `"critical_path":{"shard":5`) {
		t.Errorf("show --json: got %s, want a critical path through shard 5", stdout)
	}
	if stdout, stderr, code := command("why"); code != 0 || !strings.Contains(stdout, "s-0") || !strings.Contains(stdout, "screen: node s-0 first") {
		t.Errorf("why: got %s%s, want a row for first attempts of class screen at node s-0", stdout, stderr)
	}
	var report critical.LostTimeReport
	if stdout, _, code := command("why", "--json"); code != 0 || json.Unmarshal([]byte(stdout), &report) != nil || report.BadTraces == 0 || report.Phases[0].Phase != critical.PhaseNode {
		t.Errorf("why --json: got %s, want bad traces that lost most time at the node", stdout)
	}
	for _, c := range []struct{ args, want string }{
		{"list --reason odd", "--reason"}, {"show nothing-like-it", "nothing-like-it"}, {"list --limit 9999", "limit"}, {"list --dir /nowhere/at/all", "--dir"},
	} {
		if stdout, stderr, code := command(strings.Fields(c.args)...); code == 0 || !strings.Contains(stderr, c.want) {
			t.Errorf("%s: got code %d and output %s%s, want an error that names %q", c.args, code, stdout, stderr, c.want)
		}
	}
	if err := broker.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lockedBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// Three of ten nodes stall on one part in five, at random, and one of them never answers
// those parts. In between they answer quickly, so that the decision module keeps sending
// them parts. This is a reduced form of an incident at the operators'. `why` must
// attribute at least half of the lost time to these three nodes.
func TestWhyAttributesLostTimeToStallingNodes(t *testing.T) {
	dir := t.TempDir()
	broker, nodes := startBroker(t, 10, false, map[string]any{"dir": dir, "good_share": 0.2, "budget_per_s": 1000}, shortenClassTimes)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(11, 3))
	for i, n := range nodes {
		n.SetResponder(func(testkit.Part) string {
			mu.Lock()
			work, stall := 5*time.Millisecond+time.Duration(rng.Int64N(int64(6*time.Millisecond))), rng.Float64() < 0.2
			mu.Unlock()
			switch {
			case stall && i == 9:
				return testkit.NeverAnswer
			case stall && i >= 7:
				work += 120 * time.Millisecond
			}
			time.Sleep(work) // the simulated work of the node
			return testkit.Done
		})
	}
	var wg sync.WaitGroup
	end := time.Now().Add(*proofDuration)
	for client := range 6 {
		wg.Go(func() {
			for i := 0; i < 50 || time.Now().Before(end); i++ {
				class, shards := "screen", []int{i % 18, (i + 3) % 18, (i + 7) % 18, (i + 11) % 18}
				if i%4 == 3 {
					class, shards = "edit", shards[:1]
				}
				testkit.QueryHTTP(context.Background(), broker.Addr().String(), testkit.Query{Class: class, ID: fmt.Sprintf("w%d-%d", client, i), Key: fmt.Sprintf("k%d-%d", client, i),
					Shards: shards, Timeout: 500 * time.Millisecond})
			}
		})
	}
	wg.Wait()
	if err := broker.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	report := critical.AttributeLostTime(readDir(t, dir))
	var out bytes.Buffer
	if err := view.WriteLostTime(&out, report, 6); err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", out.String())
	share := 0.0
	for _, row := range report.Nodes {
		if row.Node == "s-7" || row.Node == "s-8" || row.Node == "s-9" {
			share += row.Share
		}
	}
	if report.BadTraces == 0 || report.BaselineTraces == 0 || share < 0.5 {
		t.Errorf("%.0f%% of the lost time is attributed to the three stalling nodes, want at least half", 100*share)
	}
}
