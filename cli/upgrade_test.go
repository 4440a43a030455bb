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

// deployment is a broker with one node, at an address and in a folder of its own.
type deployment struct {
	t              *testing.T
	node           *testkit.Node
	listen, folder string
	cfg            []byte
}

func deploy(t *testing.T, settings map[string]any, extra map[string]any) *deployment {
	t.Helper()
	d := &deployment{t: t, node: testkit.NewNode(t, "s-1", false), listen: freeAddr(t), folder: t.TempDir()}
	warm := d.node.Entry()
	warm.Started = 1
	discovery := testkit.NewDiscovery(t, warm)
	d.cfg = testkit.Config(discovery.Addr, []testkit.Entry{warm}, settings, extra)
	return d
}

func (d *deployment) run() (*process, string) {
	d.t.Helper()
	return operated(d.t, d.cfg, d.listen, "TMPDIR="+d.folder)
}

// serves asks once on a new connection.
func (d *deployment) serves(id string) {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.listen)
	if err != nil {
		d.t.Fatal(err)
	}
	defer conn.Close()
	c := newPeer(conn)
	c.send(d.t, query(id, 3*time.Second))
	if res := c.answered(d.t, time.Now().Add(4*time.Second)); res.StatusCode != http.StatusOK {
		d.t.Errorf("%s: %d", id, res.StatusCode)
	}
}

// A next process that is killed before it says yes, or after, leaves the first one in
// service, which then stops as it does alone.
func TestNextProcessIsKilled(t *testing.T) {
	d := deploy(t, testkit.Settings(nil), map[string]any{"hand_over_ms": 550})
	first, _ := d.run()
	for round, kill := range []func(*process){
		func(p *process) { _ = p.cmd.Process.Kill() },
		func(p *process) {
			testkit.Eventually(t, "the next one has joined", func() bool {
				entries, err := os.ReadDir(d.folder)
				return err == nil && len(entries) > 0
			})
			_ = p.cmd.Process.Kill()
		},
	} {
		next := start(t, d.cfg, d.listen, "TMPDIR="+d.folder, "NODE_CONSOLE="+freeAddr(t))
		kill(next)
		_ = next.cmd.Wait()
		d.serves(fmt.Sprint("young", round))
	}
	next, _ := d.run()
	_ = next.cmd.Process.Kill()
	_ = next.cmd.Wait()
	for i := range 20 {
		d.serves(fmt.Sprint("after", i))
	}
	first.stop(t)
}

// A second replacement begins before the first one has ended, and the three settings of the
// three processes differ.
func TestReplacementDuringAReplacement(t *testing.T) {
	attempts := 0
	settings := func() map[string]any {
		attempts++
		return testkit.Settings(func(s map[string]any) { s["caps"].(map[string]any)["maxAttempts"] = attempts })
	}
	d := deploy(t, settings(), nil)
	first, _ := d.run()
	held := open(t, d.listen)
	release := make(chan bool)
	d.node.SetResponder(func(testkit.Part) string {
		<-release
		return testkit.Done
	})
	held.send(t, query("held", 3*time.Second)) // keeps the first one from its end
	d.node.WaitFor(t, "the held query", func() bool { return len(d.node.Parts()) == 2 })
	d.cfg = edited(t, d.cfg, settings())
	second, _ := d.run()
	_ = first.cmd.Process.Signal(syscall.SIGTERM)
	d.cfg = edited(t, d.cfg, settings())
	third, _ := d.run()
	_ = second.cmd.Process.Signal(syscall.SIGTERM)
	close(release)
	if res := held.answered(t, time.Now().Add(4*time.Second)); res.StatusCode != http.StatusOK {
		t.Errorf("the held query: %d", res.StatusCode)
	}
	for i := range 20 {
		d.serves(fmt.Sprint("third", i))
	}
	for name, p := range map[string]*process{"first": first, "second": second} {
		if err := p.end(); err != nil {
			t.Errorf("the %s: %v\n%s", name, err, p.text())
		}
	}
	d.serves("alone")
	third.stop(t)
}

// edited is a configuration with other settings.
func edited(t *testing.T, cfg []byte, settings map[string]any) []byte {
	t.Helper()
	return testkit.EditConfig(t, cfg, func(file map[string]any) { file["settings"] = settings })
}

// A folder that cannot be written, or is not there, stops no broker, and a next one finds
// the address all the same.
func TestReplacementWithoutAFolder(t *testing.T) {
	d := deploy(t, testkit.Settings(nil), map[string]any{"hand_over_ms": 550})
	d.folder = filepath.Join(d.folder, "none")
	first, _ := d.run()
	d.serves("alone")
	second, _ := d.run()
	first.stop(t)
	d.serves("second")
	second.stop(t)
}

// A broker is started by mistake at the address of another one, with another name and other
// classes. Since the address is shared it was not refused: it was given the other one's
// listening socket and, once it was ready, every other client, whose class it did not know.
// It ends with an error that names the field and the broker that runs there.
func TestAnotherBrokerAtATakenAddressIsRefused(t *testing.T) {
	d := deploy(t, testkit.Settings(nil), nil)
	first, _ := d.run()
	other := testkit.EditConfig(t, d.cfg, func(file map[string]any) {
		file["name"] = "n2"
		file["settings"].(map[string]any)["classes"].([]any)[0].(map[string]any)["name"] = "prices"
	})
	mistaken := start(t, other, d.listen, "TMPDIR="+d.folder, "NODE_CONSOLE="+freeAddr(t))
	ended := make(chan error, 1)
	go func() { ended <- mistaken.cmd.Wait() }()
	select {
	case err := <-ended:
		if text := mistaken.text(); err == nil || !strings.Contains(text, `listen: the broker "n1" runs at `+d.listen) {
			t.Errorf("%v, %s", err, text)
		}
	case <-time.After(5 * time.Second):
		t.Error("it runs on beside the other broker")
		_ = mistaken.cmd.Process.Kill()
		<-ended
	}
	for i := range 20 {
		d.serves(fmt.Sprint("q", i))
	}
	first.stop(t)
}

// Calls of operators, signals and reloads in any order: none hangs, what is taken is
// answered, and SIGTERM ends the process through a drain.
func TestOperatorsAndSignalsAtOnce(t *testing.T) {
	d := deploy(t, testkit.Settings(nil), nil)
	p, console := d.run()
	bulk := edited(t, d.cfg, testkit.Settings(func(s map[string]any) {
		s["classes"].([]any)[3].(map[string]any)["name"] = "bulk"
	}))
	var calls sync.WaitGroup
	over := make(chan bool)
	stop := sync.OnceFunc(func() {
		close(over)
		calls.Wait()
	})
	t.Cleanup(func() { // also where a query has failed the test
		stop()
		if t.Failed() {
			t.Log(p.text())
		}
	})
	again := func(f func(i int)) {
		calls.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-over:
					return
				default:
					f(i)
				}
			}
		})
	}
	again(func(i int) { operator(console, http.MethodPost, []string{"/-/drain", "/-/resume"}[i%2]) })
	again(func(int) {
		if status, text := operator(console, http.MethodGet, "/-/metrics"); status != http.StatusOK {
			t.Errorf("metrics: %d, %s", status, text)
		}
	})
	again(func(i int) {
		if err := os.WriteFile(p.file, [][]byte{bulk, d.cfg, bulk[:i%len(bulk)]}[i%3], 0o600); err != nil {
			t.Error(err)
		}
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(5 * time.Millisecond)
	})
	for i := range 100 {
		d.serves(fmt.Sprint("busy", i))
	}
	stop()
	if status, text := operator(console, http.MethodPost, "/-/drain"); status != http.StatusOK {
		t.Errorf("drain: %d, %s", status, text)
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	operator(console, http.MethodPost, "/-/resume") // a stop goes before it; the port may have ended
	if ready(d.listen) {
		t.Error("ready while it stops")
	}
	if err := p.end(); err != nil {
		t.Errorf("exit: %v\n%s", err, p.text())
	}
}

// Idle clients that take all descriptors they can get keep no operator out.
func TestOperatorsBesideACrowd(t *testing.T) {
	const sockets = 192
	d := deploy(t, testkit.Settings(nil), map[string]any{"limits": map[string]any{"cores": 0.25, "memory_mb": 32, "sockets": sockets}})
	p, console := d.run()
	for i := range 1000 {
		if c, err := net.DialTimeout("tcp", d.listen, time.Second); err == nil {
			defer c.Close()
		}
		if i%50 > 0 {
			continue
		}
		if status, text := operator(console, http.MethodGet, "/-/metrics"); status != http.StatusOK {
			t.Errorf("beside %d clients: %d, %s", i, status, text)
		}
		if _, kb, fds := p.numbers(t); fds > sockets || kb > 32<<10 {
			t.Fatalf("%d descriptors, %d KB", fds, kb)
		}
	}
	for name, args := range map[string][]string{
		"ready": {"ready", "--console", console}, "metrics": {"metrics", "--console", console},
		"drain": {"drain", "--console", console}, "resume": {"resume", "--console", console},
	} {
		if out, err := exec.Command(program, args...).CombinedOutput(); err != nil || len(out) == 0 {
			t.Errorf("%s: %v, %s", name, err, out)
		}
	}
	if err := exec.Command(program, "ready", "--console", freeAddr(t)).Run(); err == nil {
		t.Error("a command that nobody answers succeeds")
	}
	p.stop(t)
}
