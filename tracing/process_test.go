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

// runBrokerEnv is the environment variable that makes the test binary run as a broker,
// in a process that can be killed and whose CPU time can be read.
const runBrokerEnv = "GANNETCHUTE_TEST_BROKER"

func TestMain(m *testing.M) {
	if os.Getenv(runBrokerEnv) != "" {
		os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// brokerProcess is a broker running in its own process.
type brokerProcess struct {
	cmd  *exec.Cmd
	addr string // of its HTTP front
}

// launchBroker starts a binary as a broker, or the test binary if binary is empty, and
// waits until it listens. Tracing is enabled if tracingConfig is not nil.
func launchBroker(t testing.TB, binary string, nodes []*testkit.Node, discovery *testkit.Discovery, tracingConfig map[string]any) *brokerProcess {
	t.Helper()
	var entries []testkit.Entry
	for _, n := range nodes {
		entries = append(entries, n.Entry())
	}
	extra := map[string]any{"log_level": "info"}
	if tracingConfig != nil {
		extra["tracing"] = tracingConfig
	}
	process := &brokerProcess{}
	if binary == "" {
		binary = os.Args[0]
	}
	process.cmd = exec.Command(binary, "serve", "--config", testkit.WriteTempFile(t, testkit.Config(discovery.Addr, entries, testkit.Settings(nil), extra)))
	process.cmd.Env = append(os.Environ(), runBrokerEnv+"=1")
	stderr, err := process.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.kill)
	lines := bufio.NewScanner(stderr)
	for process.addr == "" && lines.Scan() {
		if _, rest, ok := strings.Cut(lines.Text(), `"listen":"`); ok {
			process.addr, _, _ = strings.Cut(rest, `"`)
		}
	}
	go func() { _, _ = io.Copy(io.Discard, stderr) }() // ends with the process
	if process.addr == "" {
		t.Fatal("the broker ended without logging a listen address")
	}
	return process
}

// kill kills the process with SIGKILL and waits for its end.
func (p *brokerProcess) kill() {
	_ = p.cmd.Process.Kill() // it may have ended already
	_ = p.cmd.Wait()
}

// cpuTime returns the CPU time that the threads of the process have used.
func (p *brokerProcess) cpuTime(t testing.TB) time.Duration {
	t.Helper()
	sum := int64(0)
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	if err != nil || len(tasks) == 0 {
		t.Fatal("found no CPU times of the broker's threads in /proc:", err)
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

// A broker that is killed with attempts in flight must not lose their queries: the
// next start must report them as interrupted, with their attempts, and the spool
// directory must be readable before that start.
func TestKilledBrokerReportsOpenQueries(t *testing.T) {
	nodes := []*testkit.Node{testkit.NewNode(t, "s-0", false), testkit.NewNode(t, "s-1", false)}
	discovery := testkit.NewDiscovery(t, nodes[0].Entry(), nodes[1].Entry())
	dir := t.TempDir()
	tracingConfig := map[string]any{"dir": dir}
	process := launchBroker(t, "", nodes, discovery, tracingConfig)
	if reply := testkit.QueryHTTP(context.Background(), process.addr, testkit.Query{Class: "screen", ID: "good", Shards: []int{1}, Timeout: 3 * time.Second}); reply.Outcome != "served" {
		t.Fatalf("before the kill: got reply %+v, want served", reply)
	}
	for _, n := range nodes {
		n.SetResponse(testkit.NeverAnswer)
	}
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			testkit.QueryHTTP(context.Background(), process.addr, testkit.Query{Class: "order", ID: fmt.Sprintf("open%d", i), Shards: []int{2, 5}, Timeout: 3 * time.Second})
		})
	}
	testkit.Eventually(t, "all parts to be sent", func() bool { return len(nodes[0].Parts())+len(nodes[1].Parts()) >= 7 })
	process.kill()
	wg.Wait()

	var stdout, stderr bytes.Buffer
	if cli.Main([]string{"trace", "list", "--dir", dir, "--open", "--reason", "interrupted"}, &stdout, &stderr) != 0 || strings.Count(stdout.String(), "open") < 3 {
		t.Errorf("trace list before the next start: got %s%s, want the three open queries", stdout.String(), stderr.String())
	}
	process = launchBroker(t, "", nodes, discovery, tracingConfig)
	process.kill()
	traces, unreadable, err := tracing.ReadDir(dir, record.Filter{Reasons: record.Interrupted})
	if err != nil || len(unreadable) > 0 {
		t.Fatal(err, unreadable)
	}
	var names []string
	for _, tr := range traces {
		names = append(names, tr.Query)
		if len(tr.Attempts) != 2 || tr.Class != "order" || tr.Parts != 2 {
			t.Errorf("%s: got trace %+v, want class order with two parts and attempts", tr.Query, tr)
		}
		for _, a := range tr.Attempts {
			if a.Outcome != record.OutcomePending || !a.MayStillRun || a.Node == "" || !a.Sent.IsSet() {
				t.Errorf("%s: got attempt %+v, want it sent, unanswered and possibly still running", tr.Query, a)
			}
		}
	}
	slices.Sort(names)
	if fmt.Sprint(names) != "[open0 open1 open2]" {
		t.Errorf("reported as interrupted: got %v, want [open0 open1 open2]", names)
	}
}

var untracedBinary = flag.String("tracing.absent", "", "a broker binary built without tracing, to be measured as well")

// BenchmarkTracing measures the cost of tracing for good queries: CPU time and median
// latency, in absolute terms and relative to disabled tracing. Brokers with tracing
// disabled and enabled, and the binary of -tracing.absent if given, serve the same load
// alternately, each in its own process. An iteration runs each of them once.
func BenchmarkTracing(b *testing.B) {
	var nodes []*testkit.Node
	for i := range 4 {
		nodes = append(nodes, testkit.NewNode(b, fmt.Sprintf("s-%d", i), false))
	}
	discovery := testkit.NewDiscovery(b, nodes[0].Entry(), nodes[1].Entry(), nodes[2].Entry(), nodes[3].Entry())
	type variant struct {
		name, binary  string
		tracingConfig func() map[string]any
		cpu           []float64 // microseconds per query, by iteration
		latency       []float64 // median in microseconds, by iteration
	}
	noTracing := func() map[string]any { return nil }
	variants := []*variant{
		{name: "off", tracingConfig: noTracing},
		{name: "on", tracingConfig: func() map[string]any { return map[string]any{"dir": b.TempDir()} }},
	}
	if *untracedBinary != "" {
		variants = append(variants, &variant{name: "absent", binary: *untracedBinary, tracingConfig: noTracing})
	}
	const warmup, chunksPerIteration, chunkQueries = 300, 24, 50
	id := 0
	measure := func(p *brokerProcess) time.Duration {
		id++
		r := testkit.QueryHTTP(context.Background(), p.addr, testkit.Query{Class: "screen", ID: fmt.Sprintf("b%d", id), Shards: []int{1, 4, 7, 9}, Timeout: 3 * time.Second})
		if r.Outcome != "served" {
			b.Fatalf("got reply %+v, want served", r)
		}
		return r.Latency
	}
	b.ResetTimer()
	for i := range b.N {
		// New processes are started in each iteration, as two processes of the same
		// binary differ by some percent for their whole lifetime. The brokers alternate
		// every few milliseconds, as the machine's speed drifts.
		processes, cpu, latencies := make([]*brokerProcess, len(variants)), make([]time.Duration, len(variants)), make([][]float64, len(variants))
		for j := range variants {
			k := (i + j) % len(variants)
			processes[k] = launchBroker(b, variants[k].binary, nodes, discovery, variants[k].tracingConfig())
			for range warmup {
				measure(processes[k])
			}
		}
		for c := range chunksPerIteration {
			for j := range variants {
				k := (i + j + c) % len(variants)
				before := processes[k].cpuTime(b)
				for range chunkQueries {
					latencies[k] = append(latencies[k], float64(measure(processes[k]).Nanoseconds())/1000)
				}
				cpu[k] += processes[k].cpuTime(b) - before
			}
		}
		for k, v := range variants {
			v.cpu = append(v.cpu, float64(cpu[k].Nanoseconds())/1000/chunksPerIteration/chunkQueries)
			v.latency = append(v.latency, median(latencies[k]))
			processes[k].kill()
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

// median returns the median of the values, of which there must be at least one.
func median(x []float64) float64 {
	x = slices.Sorted(slices.Values(x))
	return (x[(len(x)-1)/2] + x[len(x)/2]) / 2
}

// ratios returns the quotients of the elements of a and b at the same index.
func ratios(a, b []float64) []float64 {
	out := make([]float64, len(a))
	for i := range a {
		out[i] = a[i] / b[i]
	}
	return out
}
