package cli_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"onyxsail/internal/testkit"
)

// deployment is a broker with one node, which has a listen address and a temporary directory
// of its own. Its processes, started one after another, share both.
type deployment struct {
	t               *testing.T
	node            *testkit.Node
	listen, tempDir string
	cfg             []byte
}

// newDeployment returns a deployment with the settings; extra holds further fields of its
// configuration. No process is started yet.
func newDeployment(t *testing.T, settings map[string]any, extra map[string]any) *deployment {
	t.Helper()
	d := &deployment{t: t, node: testkit.NewNode(t, "s-1", false), listen: freeAddr(t), tempDir: t.TempDir()}
	warm := d.node.Entry()
	warm.Started = 1
	discovery := testkit.NewDiscovery(t, warm)
	d.cfg = testkit.Config(discovery.Addr, []testkit.Entry{warm}, settings, extra)
	return d
}

// start starts a process of the broker and returns it with its admin address once it is ready.
func (d *deployment) start() (*process, string) {
	d.t.Helper()
	return startWithAdmin(d.t, d.cfg, d.listen, "TMPDIR="+d.tempDir)
}

// checkServed sends one query on a new connection and checks that it is served.
func (d *deployment) checkServed(id string) {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.listen)
	if err != nil {
		d.t.Fatal(err)
	}
	defer conn.Close()
	c := newRawClient(conn)
	c.send(d.t, queryRequest(id, 3*time.Second))
	if res := c.readResponse(d.t, time.Now().Add(4*time.Second)); res.StatusCode != http.StatusOK {
		d.t.Errorf("query %s: status %d, want 200", id, res.StatusCode)
	}
}

// A replacement process that is killed before or after it is ready must leave the first one
// serving, which must then stop as if it had been alone.
func TestKilledReplacementLeavesTheFirstProcessServing(t *testing.T) {
	d := newDeployment(t, testkit.Settings(nil), map[string]any{"hand_over_ms": 550})
	first, _ := d.start()
	for round, kill := range []func(*process){
		func(p *process) { _ = p.cmd.Process.Kill() },
		func(p *process) {
			testkit.Eventually(t, "the replacement has joined the first process", func() bool {
				entries, err := os.ReadDir(d.tempDir)
				return err == nil && len(entries) > 0
			})
			_ = p.cmd.Process.Kill()
		},
	} {
		next := startDeployed(t, d.cfg, d.listen, "TMPDIR="+d.tempDir, "NODE_CONSOLE="+freeAddr(t))
		kill(next)
		_ = next.cmd.Wait()
		d.checkServed(fmt.Sprint("round", round))
	}
	next, _ := d.start()
	_ = next.cmd.Process.Kill()
	_ = next.cmd.Wait()
	for i := range 20 {
		d.checkServed(fmt.Sprint("after", i))
	}
	first.stop(t)
}

// A second replacement starts while the first process still drains, and the three processes
// have different settings: no query may be lost, and each process must stop with status 0.
func TestOverlappingReplacementsLoseNoQuery(t *testing.T) {
	attempts := 0
	settings := func() map[string]any {
		attempts++
		return testkit.Settings(func(s map[string]any) { s["caps"].(map[string]any)["maxAttempts"] = attempts })
	}
	d := newDeployment(t, settings(), nil)
	first, _ := d.start()
	held := openKeepAlive(t, d.listen)
	release := make(chan bool)
	d.node.SetResponder(func(testkit.Part) string {
		<-release
		return testkit.Done
	})
	held.send(t, queryRequest("held", 3*time.Second)) // keeps the first process from stopping
	d.node.WaitFor(t, "the held query", func() bool { return len(d.node.Parts()) == 2 })
	d.cfg = withSettings(t, d.cfg, settings())
	second, _ := d.start()
	_ = first.cmd.Process.Signal(syscall.SIGTERM)
	d.cfg = withSettings(t, d.cfg, settings())
	third, _ := d.start()
	_ = second.cmd.Process.Signal(syscall.SIGTERM)
	close(release)
	if res := held.readResponse(t, time.Now().Add(4*time.Second)); res.StatusCode != http.StatusOK {
		t.Errorf("the held query: status %d, want 200", res.StatusCode)
	}
	for i := range 20 {
		d.checkServed(fmt.Sprint("third", i))
	}
	for name, p := range map[string]*process{"first": first, "second": second} {
		if err := p.wait(); err != nil {
			t.Errorf("the %s process ended with %v, want exit status 0; its log:\n%s", name, err, p.output())
		}
	}
	d.checkServed("alone")
	third.stop(t)
}

// withSettings returns the configuration with its settings replaced.
func withSettings(t *testing.T, cfg []byte, settings map[string]any) []byte {
	t.Helper()
	return testkit.EditConfig(t, cfg, func(file map[string]any) { file["settings"] = settings })
}

// A temporary directory that does not exist must keep no broker from starting, and a
// replacement must get the address all the same.
func TestReplacementWorksWithoutATempDir(t *testing.T) {
	d := newDeployment(t, testkit.Settings(nil), map[string]any{"hand_over_ms": 550})
	d.tempDir = filepath.Join(d.tempDir, "none")
	first, _ := d.start()
	d.checkServed("alone")
	second, _ := d.start()
	first.stop(t)
	d.checkServed("second")
	second.stop(t)
}

// A broker is started by mistake at the address of another one, with another name and other
// classes. As processes of one broker share the address, it was once accepted as a replacement:
// it was given the listening socket and then every other client, whose class it did not know.
// It must exit with an error that names the field and the running broker.
func TestAnotherBrokerAtAUsedAddressIsRefused(t *testing.T) {
	d := newDeployment(t, testkit.Settings(nil), nil)
	first, _ := d.start()
	other := testkit.EditConfig(t, d.cfg, func(file map[string]any) {
		file["name"] = "n2"
		file["settings"].(map[string]any)["classes"].([]any)[0].(map[string]any)["name"] = "prices"
	})
	mistaken := startDeployed(t, other, d.listen, "TMPDIR="+d.tempDir, "NODE_CONSOLE="+freeAddr(t))
	ended := make(chan error, 1)
	go func() { ended <- mistaken.cmd.Wait() }()
	select {
	case err := <-ended:
		if text := mistaken.output(); err == nil || !strings.Contains(text, `listen: the broker "n1" runs at `+d.listen) {
			t.Errorf("the mistaken broker ended with %v, want an error that names the field listen and the broker n1: %s", err, text)
		}
	case <-time.After(5 * time.Second):
		t.Error("the mistaken broker still runs beside the other one")
		_ = mistaken.cmd.Process.Kill()
		<-ended
	}
	for i := range 20 {
		d.checkServed(fmt.Sprint("q", i))
	}
	first.stop(t)
}

// Admin calls, signals and reloads at the same time must not block each other or lose a query,
// and SIGTERM must still drain and stop the process.
func TestConcurrentAdminCallsAndSignalsLoseNoQuery(t *testing.T) {
	d := newDeployment(t, testkit.Settings(nil), nil)
	p, console := d.start()
	bulk := withSettings(t, d.cfg, testkit.Settings(func(s map[string]any) {
		s["classes"].([]any)[3].(map[string]any)["name"] = "bulk"
	}))
	var calls sync.WaitGroup
	done := make(chan bool)
	stop := sync.OnceFunc(func() {
		close(done)
		calls.Wait()
	})
	t.Cleanup(func() { // also after a query has failed the test
		stop()
		if t.Failed() {
			t.Log(p.output())
		}
	})
	repeat := func(f func(i int)) {
		calls.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
					f(i)
				}
			}
		})
	}
	repeat(func(i int) { callAdmin(console, http.MethodPost, []string{"/-/drain", "/-/resume"}[i%2]) })
	repeat(func(int) {
		if status, text := callAdmin(console, http.MethodGet, "/-/metrics"); status != http.StatusOK {
			t.Errorf("metrics: status %d, want 200: %s", status, text)
		}
	})
	repeat(func(i int) {
		if err := os.WriteFile(p.configFile, [][]byte{bulk, d.cfg, bulk[:i%len(bulk)]}[i%3], 0o600); err != nil {
			t.Error(err)
		}
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(5 * time.Millisecond)
	})
	for i := range 100 {
		d.checkServed(fmt.Sprint("busy", i))
	}
	stop()
	if status, text := callAdmin(console, http.MethodPost, "/-/drain"); status != http.StatusOK {
		t.Errorf("drain: status %d, want 200: %s", status, text)
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	callAdmin(console, http.MethodPost, "/-/resume") // must not undo the stop; fails if the port is closed
	if isReady(d.listen) {
		t.Error("the broker is ready while it stops")
	}
	if err := p.wait(); err != nil {
		t.Errorf("the process ended with %v, want exit status 0; its log:\n%s", err, p.output())
	}
}

// Idle clients that take all the descriptors they can get must not keep operators from the admin
// port.
func TestAdminPortAnswersWhileIdleClientsHoldAllDescriptors(t *testing.T) {
	const sockets = 192
	d := newDeployment(t, testkit.Settings(nil), map[string]any{"limits": map[string]any{"cores": 0.25, "memory_mb": 32, "sockets": sockets}})
	p, console := d.start()
	for i := range 1000 {
		if c, err := net.DialTimeout("tcp", d.listen, time.Second); err == nil {
			defer c.Close()
		}
		if i%50 > 0 {
			continue
		}
		if status, text := callAdmin(console, http.MethodGet, "/-/metrics"); status != http.StatusOK {
			t.Errorf("metrics beside %d idle clients: status %d, want 200: %s", i, status, text)
		}
		if _, kb, fds := p.resourceUsage(t); fds > sockets || kb > 32<<10 {
			t.Fatalf("%d descriptors, %d KB, more than the limits allow", fds, kb)
		}
	}
	for name, args := range map[string][]string{
		"ready": {"ready", "--console", console}, "metrics": {"metrics", "--console", console},
		"drain": {"drain", "--console", console}, "resume": {"resume", "--console", console},
	} {
		if out, err := exec.Command(program, args...).CombinedOutput(); err != nil || len(out) == 0 {
			t.Errorf("command %s: %v, want output and exit status 0: %s", name, err, out)
		}
	}
	if err := exec.Command(program, "ready", "--console", freeAddr(t)).Run(); err == nil {
		t.Error("a command succeeds although its address does not answer")
	}
	p.stop(t)
}
