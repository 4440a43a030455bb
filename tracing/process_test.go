package tracing_test

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"onyxsail/cli"
	"onyxsail/internal/testkit"
	"onyxsail/tracing"
	"onyxsail/tracing/record"
)

// asBroker makes the test binary a broker, so that one can be killed, and its
// CPU time read.
const asBroker = "GANNETCHUTE_TEST_BROKER"

func TestMain(m *testing.M) {
	if os.Getenv(asBroker) != "" {
		os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is a broker in a process of its own.
type process struct {
	cmd  *exec.Cmd
	addr string
}

// launch starts program ("": the test binary) as a broker.
func launch(t testing.TB, program string, nodes []*testkit.Node, disco *testkit.Discovery, trace map[string]any) *process {
	t.Helper()
	var list []testkit.Entry
	for _, n := range nodes {
		list = append(list, n.Entry())
	}
	extra := map[string]any{"log_level": "info"}
	if trace != nil {
		extra["tracing"] = trace
	}
	p := &process{}
	if program == "" {
		program = os.Args[0]
	}
	p.cmd = exec.Command(program, "serve", "--config", testkit.WriteFile(t, testkit.Config(disco.Addr, list, testkit.Settings(nil), extra)))
	p.cmd.Env = append(os.Environ(), asBroker+"=1")
	errs, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	lines := bufio.NewScanner(errs)
	for p.addr == "" && lines.Scan() {
		if _, rest, ok := strings.Cut(lines.Text(), `"listen":"`); ok {
			p.addr, _, _ = strings.Cut(rest, `"`)
		}
	}
	go func() { _, _ = io.Copy(io.Discard, errs) }() // ends with the process
	if p.addr == "" {
		t.Fatal("the broker did not start")
	}
	return p
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may be dead already
	_ = p.cmd.Wait()
}

// cpu is the CPU time that the process has used.
func (p *process) cpu(t testing.TB) time.Duration {
	t.Helper()
	sum := int64(0)
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	if err != nil || len(tasks) == 0 {
		t.Fatal("no CPU times", err)
	}
	for _, path := range tasks {
		if b, err := os.ReadFile(path); err == nil { // a thread may have ended
			n, err := strconv.ParseInt(strings.Fields(string(b))[0], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			sum += n
		}
	}
	return time.Duration(sum)
}

// A broker is killed with attempts out: the next start reports its queries as
// interrupted, with these attempts, and the folder can be read before that.
func TestKilledBroker(t *testing.T) {
	nodes := []*testkit.Node{testkit.NewNode(t, "s-0", false), testkit.NewNode(t, "s-1", false)}
	disco := testkit.NewDiscovery(t, nodes[0].Entry(), nodes[1].Entry())
	dir := t.TempDir()
	trace := map[string]any{"dir": dir}
	p := launch(t, "", nodes, disco, trace)
	if r := testkit.AskHTTP(context.Background(), p.addr, testkit.Query{Class: "screen", ID: "good", Shards: []int{1}, Within: 3 * time.Second}); r.Kind != "served" {
		t.Fatalf("got %+v", r)
	}
	for _, n := range nodes {
		n.Always(testkit.Silent)
	}
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			testkit.AskHTTP(context.Background(), p.addr, testkit.Query{Class: "order", ID: fmt.Sprintf("open%d", i), Shards: []int{2, 5}, Within: 3 * time.Second})
		})
	}
	testkit.Eventually(t, "all parts out", func() bool { return len(nodes[0].Calls())+len(nodes[1].Calls()) >= 7 })
	p.kill()
	wg.Wait()

	var out, errs bytes.Buffer
	if cli.Main([]string{"trace", "list", "--dir", dir, "--open", "--reason", "interrupted"}, &out, &errs) != 0 || strings.Count(out.String(), "open") < 3 {
		t.Errorf("before the next start: %s%s", out.String(), errs.String())
	}
	p = launch(t, "", nodes, disco, trace)
	p.kill()
	traces, bad, err := tracing.ReadDir(dir, record.Filter{Reasons: record.Interrupted})
	if err != nil || len(bad) > 0 {
		t.Fatal(err, bad)
	}
	var names []string
	for _, tr := range traces {
		names = append(names, tr.Query)
		if len(tr.Attempts) != 2 || tr.Class != "order" || tr.Parts != 2 {
			t.Errorf("%s: %+v", tr.Query, tr)
		}
		for _, a := range tr.Attempts {
			if a.Outcome != record.OutcomePending || !a.MayStillRun || a.Node == "" || !a.Sent.IsSet() {
				t.Errorf("%s: %+v", tr.Query, a)
			}
		}
	}
	slices.Sort(names)
	if fmt.Sprint(names) != "[open0 open1 open2]" {
		t.Errorf("reported %v", names)
	}
}

var absent = flag.String("tracing.absent", "", "a broker built without tracing, to be measured beside the others")

// BenchmarkTracing measures what tracing costs good queries: brokers with it
// off and on, and the one of -tracing.absent, serve the same load in turns,
// each in a process of its own. An iteration is one turn of each.
func BenchmarkTracing(b *testing.B) {
	var nodes []*testkit.Node
	for i := range 4 {
		nodes = append(nodes, testkit.NewNode(b, fmt.Sprintf("s-%d", i), false))
	}
	disco := testkit.NewDiscovery(b, nodes[0].Entry(), nodes[1].Entry(), nodes[2].Entry(), nodes[3].Entry())
	type variant struct {
		name, program string
		trace         func() map[string]any
		cpu           []float64 // microseconds a query, by turn
		latency       []float64 // median of the turn, microseconds
	}
	none := func() map[string]any { return nil }
	variants := []*variant{
		{name: "off", trace: none},
		{name: "on", trace: func() map[string]any { return map[string]any{"dir": b.TempDir()} }},
	}
	if *absent != "" {
		variants = append(variants, &variant{name: "absent", program: *absent, trace: none})
	}
	const warm, chunks, chunk = 300, 24, 50
	id := 0
	ask := func(p *process) time.Duration {
		id++
		r := testkit.AskHTTP(context.Background(), p.addr, testkit.Query{Class: "screen", ID: fmt.Sprintf("b%d", id), Shards: []int{1, 4, 7, 9}, Within: 3 * time.Second})
		if r.Kind != "served" {
			b.Fatalf("got %+v", r)
		}
		return r.Took
	}
	b.ResetTimer()
	for i := range b.N {
		// New processes each time, as two of the same program differ by some
		// percent for as long as they live, and in turns of some milliseconds, as
		// the machine's speed drifts.
		ps, cpu, took := make([]*process, len(variants)), make([]time.Duration, len(variants)), make([][]float64, len(variants))
		for j := range variants {
			k := (i + j) % len(variants)
			ps[k] = launch(b, variants[k].program, nodes, disco, variants[k].trace())
			for range warm {
				ask(ps[k])
			}
		}
		for c := range chunks {
			for j := range variants {
				k := (i + j + c) % len(variants)
				before := ps[k].cpu(b)
				for range chunk {
					took[k] = append(took[k], float64(ask(ps[k]).Nanoseconds())/1000)
				}
				cpu[k] += ps[k].cpu(b) - before
			}
		}
		for k, v := range variants {
			v.cpu = append(v.cpu, float64(cpu[k].Nanoseconds())/1000/chunks/chunk)
			v.latency = append(v.latency, median(took[k]))
			ps[k].kill()
		}
	}
	b.StopTimer()
	base := variants[0]
	for _, v := range variants {
		b.ReportMetric(median(v.cpu), v.name+"-cpu-us/query")
		b.ReportMetric(median(v.latency), v.name+"-p50-us")
		if v != base {
			b.ReportMetric(100*(median(ratios(v.cpu, base.cpu))-1), v.name+"-cpu-%")
			b.ReportMetric(100*(median(ratios(v.latency, base.latency))-1), v.name+"-p50-%")
		}
	}
}

func median(x []float64) float64 {
	x = slices.Sorted(slices.Values(x))
	return (x[(len(x)-1)/2] + x[len(x)/2]) / 2
}

func ratios(a, b []float64) []float64 {
	out := make([]float64, len(a))
	for i := range a {
		out[i] = a[i] / b[i]
	}
	return out
}
