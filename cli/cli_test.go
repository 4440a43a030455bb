package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"onyxsail/cli"
	"onyxsail/internal/testkit"
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "gannetchute")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "gannetchute")
	if out, err := exec.Command("go", "build", "-o", program, "onyxsail/cmd/gannetchute").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is the program as it runs.
type process struct {
	cmd  *exec.Cmd
	file string // its configuration
	mu   sync.Mutex
	log  bytes.Buffer
}

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// launch runs the command with a configuration of its own; what it says is kept,
// unless its output goes elsewhere already.
func launch(t *testing.T, cmd *exec.Cmd, cfg []byte, env ...string) *process {
	t.Helper()
	p := &process{cmd: cmd, file: testkit.WriteTempFile(t, cfg)}
	cmd.Env = append(append(os.Environ(), "NODE_CONFIG="+p.file), env...)
	if cmd.Stderr == nil {
		cmd.Stderr, cmd.Stdout = p, p
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it has ended already where the test went well
		_ = cmd.Wait()
	})
	return p
}

// serve starts the program and returns where it listens.
func serve(t *testing.T, cfg []byte, env ...string) (*process, string) {
	t.Helper()
	p, addr := launch(t, exec.Command(program, "serve"), cfg, env...), ""
	testkit.Eventually(t, "the program serves", func() bool {
		for _, line := range strings.Split(p.text(), "\n") {
			var l struct{ Event, Listen string }
			if json.Unmarshal([]byte(line), &l) == nil && l.Event == "started" {
				addr = l.Listen
			}
		}
		return addr != ""
	})
	return p, addr
}

func (p *process) stop(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := p.end(); err != nil {
		t.Fatalf("exit: %v\n%s", err, p.text())
	}
}

// end waits for a process that has been told to stop. One that does not says what its
// goroutines do.
func (p *process) end() error {
	late := time.AfterFunc(20*time.Second, func() {
		_ = p.cmd.Process.Signal(syscall.SIGQUIT) // it has ended just now, or else ends by this
	})
	defer late.Stop()
	return p.cmd.Wait()
}

// At SIGTERM the program takes what still comes, answers all it has taken, and
// exits with 0.
func TestServeAndStop(t *testing.T) {
	n := testkit.NewNode(t, "s-1", false)
	d := testkit.NewDiscovery(t, n.Entry())
	p, addr := serve(t, testkit.Config(d.Addr, []testkit.Entry{n.Entry()}, testkit.Settings(nil),
		map[string]any{"log_level": "info", "hand_over_ms": 300}))
	q := testkit.Query{Class: "screen", ID: "a", Shards: []int{1, 2}, Timeout: 10 * time.Second}
	if got := testkit.QueryHTTP(context.Background(), addr, q); got.Outcome != "served" || !got.Complete {
		t.Fatalf("got %+v", got)
	}
	open := make(chan struct{})
	n.SetResponder(func(testkit.Part) string { <-open; return testkit.Done })
	before := len(n.Parts())
	taken := make(chan testkit.Reply, 1)
	go func() {
		q := q
		q.ID = "b"
		taken <- testkit.QueryHTTP(context.Background(), addr, q)
	}()
	n.WaitFor(t, "the second query", func() bool { return len(n.Parts()) > before })
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "it drains", func() bool { return strings.Contains(p.text(), `"event":"draining"`) })
	close(open)
	q.ID = "c" // comes after the signal, inside the window
	if got := testkit.QueryHTTP(context.Background(), addr, q); got.Outcome != "served" {
		t.Errorf("in the hand-over window: got %+v", got)
	}
	if got := <-taken; got.Outcome != "served" {
		t.Errorf("taken before the signal: got %+v", got)
	}
	if err := p.cmd.Wait(); err != nil || !strings.Contains(p.text(), `"event":"stopped"`) {
		t.Fatalf("exit: %v\n%s", err, p.text())
	}
}

// At SIGHUP the program reads its file again and goes on: the file's new
// discovery wins over the one of the start, an unusable file changes nothing,
// and a stop after it still answers all.
func TestReload(t *testing.T) {
	n1, n2 := testkit.NewNode(t, "s-1", false), testkit.NewNode(t, "s-2", false)
	warm := n2.Entry()
	warm.Started = time.Now().Add(-time.Hour).UnixMilli()
	d1, d2 := testkit.NewDiscovery(t, n1.Entry()), testkit.NewDiscovery(t, n1.Entry(), warm)
	config := func(discovery string) []byte {
		return testkit.Config(discovery, []testkit.Entry{n1.Entry()}, testkit.Settings(nil), map[string]any{"log_level": "info"})
	}
	p, addr := serve(t, config(d1.Addr), "NODE_DISCOVERY="+d1.Addr)
	reload := func(data []byte, says string) {
		t.Helper()
		if err := os.WriteFile(p.file, data, 0o600); err != nil {
			t.Fatal(err)
		}
		before := strings.Count(p.text(), says)
		if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		testkit.Eventually(t, says, func() bool { return strings.Count(p.text(), says) > before })
	}
	ask := func(id string) {
		t.Helper()
		q := testkit.Query{Class: "screen", ID: id, Shards: []int{1, 2, 3, 4}, Timeout: 10 * time.Second}
		if got := testkit.QueryHTTP(context.Background(), addr, q); got.Outcome != "served" {
			t.Errorf("%s: got %+v", id, got)
		}
	}
	ask("a")
	reload([]byte(`{"name":`), `"level":"error","event":"reload"`)
	ask("b")
	reload(config(d1.Addr), `"moved":false`)
	reload(config(d2.Addr), `"moved":true`)
	testkit.Eventually(t, "the new address is watched", func() bool { return len(d2.Requests()) > 1 })
	before := len(d1.Requests())
	n1.Stop() // only the new list names another
	testkit.Eventually(t, "a node of the new list serves", func() bool {
		q := testkit.Query{Class: "screen", ID: fmt.Sprintf("c%d", time.Now().UnixNano()), Shards: []int{1}, Timeout: 10 * time.Second}
		return testkit.QueryHTTP(context.Background(), addr, q).Outcome == "served" && len(n2.Parts()) > 0
	})
	if len(d1.Requests()) != before {
		t.Error("the old address is still asked")
	}
	for range 50 {
		if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	p.stop(t)
	if !strings.Contains(p.text(), `"event":"stopped"`) {
		t.Errorf("no stop in order:\n%s", p.text())
	}
}

func run(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = cli.Main(args, &o, &e)
	return code, o.String(), e.String()
}

func TestCommands(t *testing.T) {
	good := testkit.WriteTempFile(t, testkit.Config("127.0.0.1:1", nil, testkit.Settings(nil), nil))
	bad := testkit.WriteTempFile(t, testkit.Config("127.0.0.1:1", nil, testkit.Settings(nil), map[string]any{"listen": "x"}))
	for _, c := range []struct {
		args []string
		code int
		says string
	}{
		{[]string{"version"}, 0, "gannetchute "},
		{[]string{"check-config", "--config", good}, 0, "ok (4 classes, 18 shards)"},
		{[]string{"check-config", "--config", bad}, 1, "listen"},
		{[]string{"serve", "--config", bad}, 1, "listen"},
		{[]string{"config", "get", "--config", good}, 1, "flight.listen"},
		{[]string{"config", "set", "--addr", "127.0.0.1:1", "open"}, 1, "FIELD=VALUE"},
		{[]string{"dance"}, 1, "unknown command"},
	} {
		if code, out, errs := run(c.args...); code != c.code || !strings.Contains(out+errs, c.says) {
			t.Errorf("%q: exit %d, %s%s", c.args, code, out, errs)
		}
	}
}

// Three programs keep one configuration: a write at any of them finds the
// leader, and a broker that comes back has it.
func TestReplicatedConfiguration(t *testing.T) {
	n := testkit.NewNode(t, "s-1", true)
	d := testkit.NewDiscovery(t, n.Entry())
	var peers []map[string]any
	names := []string{"n1", "n2", "n3"}
	for i, name := range names {
		host := fmt.Sprintf("127.78.%d.%d", 1+os.Getpid()%250, i+1) // addresses of its own, so that ports stay free
		peers = append(peers, map[string]any{"name": name, "raft": freePort(t, host), "flight": freePort(t, host)})
	}
	cfgs := make([][]byte, 3)
	all := make([]*process, 3)
	for i, name := range names {
		cfgs[i] = testkit.Config(d.Addr, nil, testkit.Settings(nil), map[string]any{"name": name, "log_level": "info",
			"flight": map[string]any{"listen": peers[i]["flight"]}, "store": map[string]any{"dir": t.TempDir(), "peers": peers}})
		all[i], _ = serve(t, cfgs[i])
	}
	at := func(i int) string { return peers[i]["flight"].(string) }
	for i := range names {
		testkit.Eventually(t, "a write at each instance", func() bool {
			code, out, _ := run("config", "set", "--addr", at(i), fmt.Sprintf("max_open=%d", 100+i))
			return code == 0 && strings.Contains(out, fmt.Sprintf(`"max_open": %d`, 100+i))
		})
	}
	has := func(i int, what string) func() bool {
		return func() bool {
			_, out, _ := run("config", "get", "--addr", at(i))
			return strings.Contains(out, what)
		}
	}
	for i := range names {
		testkit.Eventually(t, "each has the last write", has(i, `"max_open": 102`))
	}
	for _, c := range []struct{ arg, says string }{{"max_open=-1", "max_open"}, {"colour=red", "colour"}, {"log_level=loud", "log_level"}} {
		if code, _, errs := run("config", "set", "--addr", at(0), c.arg); code == 0 || !strings.Contains(errs, c.says) {
			t.Errorf("%s: exit %d, %s", c.arg, code, errs)
		}
	}
	if code, _, errs := run("config", "set", "--if-version", "1", "--addr", at(0), "max_open=7"); code == 0 || !strings.Contains(errs, "version") {
		t.Errorf("write against an old version: exit %d, %s", code, errs)
	}
	all[0].stop(t)
	all[0], _ = serve(t, cfgs[0])
	testkit.Eventually(t, "the configuration after a restart", has(0, `"max_open": 102`))
	code, out, errs := run("status", "--addr", at(0))
	if code != 0 || !strings.Contains(out, `"leader": "n`) {
		t.Errorf("status: exit %d, %s%s", code, out, errs)
	}
	if got := testkit.QueryFlight(context.Background(), at(0), testkit.Query{Class: "screen", ID: "f", Shards: []int{3}, Timeout: 5 * time.Second}); got.Outcome != "served" {
		t.Errorf("got %+v", got)
	}
	for _, p := range all {
		p.stop(t)
	}
}

func freePort(t *testing.T, host string) string {
	t.Helper()
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
