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
	caller = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	quiet  = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00"
)

// The caller's trace reaches Flight nodes from either front, each attempt as
// the parent; a header that is malformed or repeated begins a new trace.
func TestContexts(t *testing.T) {
	dir := t.TempDir()
	d, nodes := start(t, 1, true, map[string]any{"dir": dir, "good_share": 1}, nil)
	asks := []struct {
		name    string
		parents []string
		state   string
		same    bool
	}{{"good", []string{quiet}, "a=1", true}, {"asked", []string{caller}, "", true}, {"none", nil, "", false},
		{"malformed", []string{"00-xyz"}, "a=1", false}, {"repeated", []string{caller, caller}, "", false},
		{"too-long", []string{caller + strings.Repeat("-0", 500)}, "", false}}
	for _, a := range asks {
		for front, ask := range map[string]func(testkit.Query) testkit.Reply{
			"http": func(q testkit.Query) testkit.Reply {
				return testkit.AskHTTP(context.Background(), d.Addr().String(), q)
			},
			"flight": func(q testkit.Query) testkit.Reply {
				return testkit.AskFlight(context.Background(), d.FlightAddr().String(), q)
			},
		} {
			q := testkit.Query{Class: "screen", ID: a.name + "-" + front, Shards: []int{2}, Within: 3 * time.Second, Traceparent: a.parents, Tracestate: a.state}
			if r := ask(q); r.Kind != "served" {
				t.Fatalf("%s: %+v", q.ID, r)
			}
		}
	}
	if err := d.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	traces := map[string]*record.Trace{}
	for _, tr := range readDir(t, dir) {
		traces[tr.Query] = tr
	}
	calls := map[string]testkit.Call{}
	for _, c := range nodes[0].Calls() {
		calls[strings.TrimSuffix(c.ID, ".2")] = c
	}
	for _, a := range asks {
		for _, front := range []string{"http", "flight"} {
			name := a.name + "-" + front
			tr, c := traces[name], calls[name]
			if tr == nil || len(tr.Attempts) != 1 {
				t.Fatalf("%s: trace %+v", name, tr)
			}
			flag := "00"
			if a.name == "asked" {
				flag = "01"
			}
			if want := fmt.Sprintf("00-%s-%s-%s", tr.ID, tr.Attempts[0].Span, flag); c.Traceparent != want {
				t.Errorf("%s: the node got %q, want %q", name, c.Traceparent, want)
			}
			if same := tr.ID.String() == caller[3:35]; same != a.same || same && (tr.Parent.String() != caller[36:52] || c.Tracestate != a.state) ||
				!same && (tr.Parent != record.SpanID{} || c.Tracestate != "") {
				t.Errorf("%s: trace %s, parent %s, state %q", name, tr.ID, tr.Parent, c.Tracestate)
			}
			if asked := tr.Reasons&record.Requested != 0; asked != (a.name == "asked") {
				t.Errorf("%s: reasons %s", name, tr.Reasons)
			}
		}
	}
}

// Off, tracing has no goroutine and says nothing of itself.
func TestOffCostsNothing(t *testing.T) {
	stacks := func() string {
		b := make([]byte, 1<<20)
		return string(b[:runtime.Stack(b, true)])
	}
	d, _ := start(t, 1, false, nil, nil)
	r := testkit.AskHTTP(context.Background(), d.Addr().String(), testkit.Query{Class: "screen", ID: "q", Shards: []int{1}, Within: 3 * time.Second, Traceparent: []string{caller}})
	s := stacks()
	if r.Kind != "served" || strings.Contains(s, "onyxsail/tracing.") || strings.Contains(s, "onyxsail/tracing/") || d.Status().Tracing != nil {
		t.Errorf("%+v, %+v\n%s", r, d.Status().Tracing, s)
	}
	if err := d.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	on, _ := start(t, 1, false, map[string]any{"otlp": map[string]any{"endpoint": "127.0.0.1:1"}}, nil)
	if s := stacks(); !strings.Contains(s, "onyxsail/tracing.") || !strings.Contains(s, "onyxsail/tracing/export.") {
		t.Error("the check finds nothing of tracing that is on")
	}
	if err := on.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if s := stacks(); strings.Contains(s, "onyxsail/tracing.") || strings.Contains(s, "onyxsail/tracing/") {
		t.Errorf("tracing has not ended:\n%s", s)
	}
}

// A reader that follows does not hold up a broker that is told to stop.
func TestStopEndsFollowers(t *testing.T) {
	d, _ := start(t, 1, false, map[string]any{}, nil)
	root := cli.New(&lockedBuffer{}, &lockedBuffer{})
	root.SetArgs([]string{"trace", "tail", "--addr", d.FlightAddr().String()})
	tailed := make(chan error, 1)
	go func() { tailed <- root.ExecuteContext(context.Background()) }()
	testkit.Eventually(t, "a follower", func() bool { return d.Status().Tracing.Following == 1 })
	if err := d.Stop(context.Background()); err != nil { // with the time for its drain used up
		t.Error(err)
	}
	if err := <-tailed; err != nil {
		t.Errorf("tail: %v", err)
	}
}

// The commands, asked of a live broker: a listed late query, its waterfall,
// where the time went, what is kept as it comes, and all of it as JSON.
func TestTraceCommands(t *testing.T) {
	d, nodes := start(t, 1, false, map[string]any{"good_share": 1}, quick)
	addr := d.FlightAddr().String()
	command := func(args ...string) (string, string, int) {
		var out, errs bytes.Buffer
		code := cli.Main(append([]string{"trace"}, append(args, "--addr", addr)...), &out, &errs)
		return out.String(), errs.String(), code
	}
	ctx, stop := context.WithCancel(context.Background())
	var tail lockedBuffer
	tailed := make(chan error, 1)
	root := cli.New(&tail, &tail)
	root.SetArgs([]string{"trace", "tail", "--bad", "--reason", "late", "--json", "--addr", addr})
	go func() { tailed <- root.ExecuteContext(ctx) }()
	nodes[0].Work(func(c testkit.Call) string {
		if c.Shard == 5 {
			time.Sleep(wanted + wanted/2) // a stall
		}
		return testkit.Done
	})
	ask := func(id string, shards ...int) string {
		return testkit.AskHTTP(context.Background(), d.Addr().String(), testkit.Query{Class: "screen", ID: id, Shards: shards, Within: 500 * time.Millisecond}).Kind
	}
	testkit.Eventually(t, "a follower", func() bool { return d.Status().Tracing.Following == 1 })
	if a, b := ask("fast", 1, 2), ask("slow0", 3, 5); a != "served" || b != "served" {
		t.Fatalf("%s and %s, want both served", a, b)
	}
	testkit.Eventually(t, "the late query", func() bool { return strings.Contains(tail.text(), "late") })
	stop()
	if err := <-tailed; err != nil {
		t.Errorf("tail: %v", err)
	}
	var first record.Trace
	if err := json.Unmarshal([]byte(strings.SplitN(tail.text(), "\n", 2)[0]), &first); err != nil || first.Reasons&record.Late == 0 {
		t.Errorf("tail said %q: %v", tail.text(), err)
	}
	testkit.Eventually(t, "the list", func() bool { out, _, _ := command("list"); return strings.Contains(out, "fast") })
	if out, errs, code := command("list", "--reason", "late", "--node", "s-0"); code != 0 || !strings.Contains(out, "slow0") || strings.Contains(out, "fast") ||
		!strings.Contains(out, "node ") {
		t.Errorf("list: %s%s", out, errs)
	}
	if out, errs, code := command("show", "slow0"); code != 0 || !strings.Contains(out, "late") || !strings.Contains(out, "====") || !strings.Contains(out, "CRITICAL PATH") ||
		!strings.Contains(out, nodes[0].Addr) {
		t.Errorf("show: %s%s", out, errs)
	}
	if out, _, code := command("show", "slow0", "--json"); code != 0 || !strings.Contains(out, `"critical_path":{"shard":5`) {
		t.Errorf("show --json: %s", out)
	}
	if out, errs, code := command("why"); code != 0 || !strings.Contains(out, "s-0") || !strings.Contains(out, "screen: node s-0 first") {
		t.Errorf("why: %s%s", out, errs)
	}
	var table critical.LostTimeReport
	if out, _, code := command("why", "--json"); code != 0 || json.Unmarshal([]byte(out), &table) != nil || table.BadTraces == 0 || table.Phases[0].Phase != critical.PhaseNode {
		t.Errorf("why --json: %s", out)
	}
	for _, c := range []struct{ args, want string }{
		{"list --reason odd", "--reason"}, {"show nothing-like-it", "nothing-like-it"}, {"list --limit 9999", "limit"}, {"list --dir /nowhere/at/all", "--dir"},
	} {
		if out, errs, code := command(strings.Fields(c.args)...); code == 0 || !strings.Contains(errs, c.want) {
			t.Errorf("%s: %d, %s%s, want %q named", c.args, code, out, errs, c.want)
		}
	}
	if err := d.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// A bad day of the operators' record in small: of ten nodes three stand still
// at every fifth part, one of them for good. They answer well in between, so
// that the module goes on asking them. `why` must put most of the lost time on
// the three.
func TestWhyOnABadDay(t *testing.T) {
	dir := t.TempDir()
	d, nodes := start(t, 10, false, map[string]any{"dir": dir, "good_share": 0.2, "budget_per_s": 1000}, quick)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(11, 3))
	for i, n := range nodes {
		n.Work(func(testkit.Call) string {
			mu.Lock()
			work, stall := 5*time.Millisecond+time.Duration(rng.Int64N(int64(6*time.Millisecond))), rng.Float64() < 0.2
			mu.Unlock()
			switch {
			case stall && i == 9:
				return testkit.Silent
			case stall && i >= 7:
				work += 120 * time.Millisecond
			}
			time.Sleep(work) // the node's work
			return testkit.Done
		})
	}
	var wg sync.WaitGroup
	until := time.Now().Add(*proofFor)
	for w := range 6 {
		wg.Go(func() {
			for i := 0; i < 50 || time.Now().Before(until); i++ {
				class, shards := "screen", []int{i % 18, (i + 3) % 18, (i + 7) % 18, (i + 11) % 18}
				if i%4 == 3 {
					class, shards = "edit", shards[:1]
				}
				testkit.AskHTTP(context.Background(), d.Addr().String(), testkit.Query{Class: class, ID: fmt.Sprintf("w%d-%d", w, i), Key: fmt.Sprintf("k%d-%d", w, i),
					Shards: shards, Within: 500 * time.Millisecond})
			}
		})
	}
	wg.Wait()
	if err := d.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	table := critical.AttributeLostTime(readDir(t, dir))
	var out bytes.Buffer
	if err := view.WriteLostTime(&out, table, 6); err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", out.String())
	share := 0.0
	for _, r := range table.Nodes {
		if r.Node == "s-7" || r.Node == "s-8" || r.Node == "s-9" {
			share += r.Share
		}
	}
	if table.BadTraces == 0 || table.BaselineTraces == 0 || share < 0.5 {
		t.Errorf("%.0f%% of the lost time is put on the three bad nodes", 100*share)
	}
}
