package cli_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"onyxsail/internal/testkit"
)

// Limits of the operators' page (operation/DAYS.md).
const (
	callWithin    = time.Second             // an operator's caller waits no longer
	drainedWithin = 4 * time.Second         // no client is held then
	resumedWithin = 2 * time.Second         // the front is told yes again
	settingsAfter = 1200 * time.Millisecond // a class is used so long after SIGHUP
	upgradeWithin = 6 * time.Second         // the new process says yes
	figuresLag    = 500 * time.Millisecond  // so much the figures may lag
)

// operator calls the operators' address; status 0 is no answer in time.
func operator(console, method, path string) (status int, body string) {
	req, err := http.NewRequest(method, "http://"+console+path, nil)
	if err != nil {
		panic(err)
	}
	client := http.Client{Timeout: callWithin, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(data)
}

// figures reads the metrics, by name without the page's prefix.
func figures(t *testing.T, console string) map[string]int {
	t.Helper()
	status, body := operator(console, http.MethodGet, "/-/metrics")
	if status != http.StatusOK {
		t.Fatalf("metrics: %d, %s", status, body)
	}
	all := map[string]int{}
	for _, line := range strings.Split(strings.TrimSpace(body), "\n") {
		name, value, ok := strings.Cut(line, "=")
		n, err := strconv.Atoi(value)
		if short, prefixed := strings.CutPrefix(name, "edge_node."); ok && prefixed && err == nil {
			all[short] = n
		} else {
			t.Errorf("metrics: line %q", line)
		}
	}
	return all
}

// eventually waits no longer than the limit of a page.
func eventually(t *testing.T, within time.Duration, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > within {
			t.Fatalf("not within %v: %s", within, what)
		}
	}
}

// operated starts a broker with an operators' address beside its own.
func operated(t *testing.T, cfg []byte, listen string, env ...string) (p *process, console string) {
	t.Helper()
	console = freeAddr(t)
	p = start(t, cfg, listen, append(env, "NODE_CONSOLE="+console)...)
	testkit.Eventually(t, "it takes clients", func() bool {
		status, _ := operator(console, http.MethodGet, "/-/ready")
		return status == http.StatusOK
	})
	return p, console
}

// The operators' address is read, sends clients away and takes them back, while callers
// that finish no call hang there.
func TestOperatorsPort(t *testing.T) {
	n := testkit.NewNode(t, "s-1", false)
	d := testkit.NewDiscovery(t, n.Entry())
	listen := freeAddr(t)
	p, console := operated(t, testkit.Config(d.Addr, []testkit.Entry{n.Entry()}, testkit.Settings(nil), nil), listen)
	for i := range 8 {
		c, err := net.Dial("tcp", console)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "POST /-/drain HTTP/1.1\r\nHost: a\r\n\r\n"[:2*i]) // the broker may end it
	}
	idle, used := open(t, listen), open(t, listen)
	ask := func(id string) *http.Response {
		used.send(t, query(id, 3*time.Second))
		return used.answered(t, time.Now().Add(4*time.Second))
	}
	ask("a")
	refused := strings.Replace(query("b", time.Second), "/screen", "/part", 1) // the path and X-Class differ
	used.send(t, refused)
	used.answered(t, time.Now().Add(time.Second))
	want := map[string]int{
		"fulfilled.screen": 1, "throttled.screen": 0, "faulted.screen": 0, "fulfilled.edit": 0, "relayed": 2, "open_requests": 0,
		"registry_entries": 1, "out_of_rotation": 0, "cfg_accepted": 0, "cfg_invalid": 0,
	}
	var got map[string]int
	eventually(t, figuresLag, "the figures tell of the query", func() bool {
		got = figures(t, console)
		return got["fulfilled.screen"] == 1
	})
	for name, n := range want {
		if have, there := got[name]; !there || have != n {
			t.Errorf("%s: got %d (there: %v), want %d", name, have, there, n)
		}
	}
	for _, c := range []struct {
		method, path string
		status       int
	}{
		{"GET", "/-/drain", http.StatusMethodNotAllowed}, {"POST", "/-/ready", http.StatusMethodNotAllowed},
		{"GET", "/", http.StatusNotFound}, {"POST", "/-/stop", http.StatusNotFound},
	} {
		if status, _ := operator(console, c.method, c.path); status != c.status {
			t.Errorf("%s %s: got %d, want %d", c.method, c.path, status, c.status)
		}
	}
	for round := range 2 { // a second call changes nothing
		if status, text := operator(console, http.MethodPost, "/-/drain"); status/100 != 2 {
			t.Fatalf("drain %d: %d, %s", round, status, text)
		}
	}
	eventually(t, figuresLag, "the front is told no", func() bool { return !ready(listen) })
	if res := ask("c"); res.StatusCode != http.StatusOK || !res.Close {
		t.Errorf("while clients are sent away: %d, the last of its connection: %v", res.StatusCode, res.Close)
	}
	for name, c := range map[string]*peer{"idle": idle, "used": used} {
		_ = c.SetReadDeadline(time.Now().Add(drainedWithin))
		if _, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("the %s connection is held: %v", name, err)
		}
	}
	late := open(t, listen) // the front may not know yet
	_ = late.SetReadDeadline(time.Now().Add(drainedWithin))
	if _, err := late.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("a late connection is held: %v", err)
	}
	if status, text := operator(console, http.MethodPost, "/-/resume"); status/100 != 2 {
		t.Fatalf("resume: %d, %s", status, text)
	}
	eventually(t, resumedWithin, "the front is told yes", func() bool { return ready(listen) })
	back := open(t, listen)
	back.send(t, query("d", 3*time.Second))
	if res := back.answered(t, time.Now().Add(4*time.Second)); res.StatusCode != http.StatusOK || res.Close {
		t.Errorf("after the drain: %d, the last of its connection: %v", res.StatusCode, res.Close)
	}
	if status, _ := operator(console, http.MethodPost, "/-/drain"); status/100 != 2 { // a stop ends a drain too
		t.Errorf("drain before the stop: %d", status)
	}
	p.stop(t)
}

// The settings change at SIGHUP: classes come and go, the attempts allowed drop, requests
// under way keep their class, and a file with a fault is turned down whole.
func TestLiveSettings(t *testing.T) {
	n := testkit.NewNode(t, "s-1", false)
	d := testkit.NewDiscovery(t, n.Entry())
	settings := func(attempts any, classes ...string) map[string]any {
		return testkit.Settings(func(s map[string]any) {
			var all []any
			for _, name := range classes {
				all = append(all, map[string]any{"name": name, "objectiveMs": 1500.0, "deadlineMs": 3000.0, "idempotency": "safe", "worth": 1.0})
			}
			s["classes"] = all
			s["caps"].(map[string]any)["maxAttempts"] = attempts
		})
	}
	file := func(settings map[string]any) []byte {
		return testkit.Config(d.Addr, []testkit.Entry{n.Entry()}, settings, nil)
	}
	listen := freeAddr(t)
	p, console := operated(t, file(settings(3, "screen", "quote")), listen)
	reload := func(data []byte) {
		t.Helper()
		if err := os.WriteFile(p.file, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	of := func(class, id string) string {
		return strings.NewReplacer("/screen", "/"+class, "X-Class: screen", "X-Class: "+class).Replace(query(id, 3*time.Second))
	}
	ask := func(class, id string) int {
		c := open(t, listen)
		defer c.Close()
		c.send(t, of(class, id))
		return c.answered(t, time.Now().Add(4*time.Second)).StatusCode
	}
	arrived, release := make(chan bool, 8), make(chan bool)
	n.SetResponder(func(testkit.Part) string {
		arrived <- true
		<-release
		return testkit.Done
	})
	underWay := open(t, listen)
	underWay.send(t, of("quote", "kept"))
	<-arrived
	reload(file(settings(1, "bulk", "screen")))
	eventually(t, settingsAfter, "the file is taken", func() bool { return figures(t, console)["cfg_accepted"] == 1 })
	close(release)
	if res := underWay.answered(t, time.Now().Add(3*time.Second)); res.StatusCode != http.StatusOK {
		t.Errorf("the request under way: %d", res.StatusCode)
	}
	for class, want := range map[string]int{"bulk": http.StatusOK, "screen": http.StatusOK, "quote": http.StatusNotFound} {
		if got := ask(class, "new-"+class); got != want {
			t.Errorf("%s: %d, want %d", class, got, want)
		}
	}
	got := figures(t, console)
	for name, want := range map[string]int{"fulfilled.quote": 1, "fulfilled.bulk": 1, "fulfilled.screen": 1} {
		if got[name] != want {
			t.Errorf("%s: %d, want %d", name, got[name], want)
		}
	}
	n.SetResponse(testkit.Failed)
	before := len(n.Parts())
	if got := ask("bulk", "fails"); got == http.StatusOK {
		t.Errorf("a failing node serves")
	}
	if calls := len(n.Parts()) - before; calls > 2 {
		t.Errorf("%d attempts for two parts, one each allowed", calls)
	}
	n.SetResponse(testkit.Done)
	whole := file(settings(3, "screen", "quote"))
	without := func(key string) []byte {
		s := settings(3, "screen")
		delete(s, key)
		return file(s)
	}
	zero := settings(3, "screen")
	zero["classes"].([]any)[0].(map[string]any)["deadlineMs"] = 0
	text := settings(3, "screen")
	text["classes"].([]any)[0].(map[string]any)["deadlineMs"] = "soon"
	turnedDown := map[string][]byte{
		"empty": {}, "cut short": whole[:len(whole)/2], "cut by a byte": whole[:len(whole)-1],
		"no classes": without("classes"), "no caps": without("caps"),
		"no settings": testkit.Config(d.Addr, nil, nil, nil), "no attempts": file(settings(0, "screen")), "attempts below 0": file(settings(-1, "screen")),
		"attempts in words": file(settings("many", "screen")), "no deadline": file(zero), "a deadline in words": file(text),
	}
	count := 0
	for name, data := range turnedDown {
		count++
		reload(data)
		eventually(t, settingsAfter, name+" is turned down", func() bool { return figures(t, console)["cfg_invalid"] == count })
		if got := figures(t, console)["cfg_accepted"]; got != 1 {
			t.Errorf("%s: %d files taken", name, got)
		}
		if got := ask("bulk", fmt.Sprint("still", count)); got != http.StatusOK {
			t.Errorf("after %s: bulk %d", name, got)
		}
	}
	p.stop(t)
}

// A second process starts beside the first and takes its place; clients on kept and on
// new connections lose nothing.
func TestReplacedProcess(t *testing.T) {
	const sockets = 256
	n := testkit.NewNode(t, "s-1", false)
	warm := n.Entry()
	warm.Started = 1
	d := testkit.NewDiscovery(t, warm)
	cfg := testkit.Config(d.Addr, []testkit.Entry{warm}, testkit.Settings(nil), map[string]any{
		"hand_over_ms": 550, "limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": sockets},
	})
	listen, folder := freeAddr(t), t.TempDir()
	old, _ := operated(t, cfg, listen, "TMPDIR="+folder)
	over := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	lost, served, took := []string(nil), 0, []time.Duration(nil)
	for c := range 4 {
		clients.Go(func() {
			var conn *peer
			for i := 0; ; i++ {
				select {
				case <-over:
					return
				default:
				}
				id := fmt.Sprintf("r%d-%d", c, i)
				began := time.Now()
				status, last, err := askOn(&conn, listen, id)
				if c%2 == 0 || last { // half of the clients come anew each time
					if conn != nil {
						conn.Close()
					}
					conn = nil
				}
				mu.Lock()
				if err != nil || status != http.StatusOK && status != http.StatusServiceUnavailable {
					lost = append(lost, fmt.Sprintf("%s: %d, %v", id, status, err))
				} else if status == http.StatusOK {
					served++
					took = append(took, time.Since(began))
				}
				mu.Unlock()
			}
		})
	}
	upgrades, peakKB := 2, 0 // REPLACEMENTS names another number
	if n, err := strconv.Atoi(os.Getenv("REPLACEMENTS")); err == nil {
		upgrades = n
	}
	for i := range upgrades {
		slow, resting := open(t, listen), open(t, listen)
		text := query(fmt.Sprint("slow", i), 3*time.Second)
		slow.send(t, text[:len(text)/2])
		began := time.Now()
		next, _ := operated(t, cfg, listen, "TMPDIR="+folder)
		if took := time.Since(began); took > upgradeWithin {
			t.Errorf("the new process says yes after %v", took)
		}
		_, first, fds := old.numbers(t)
		_, second, more := next.numbers(t)
		if peakKB = max(peakKB, first+second); fds+more > sockets {
			t.Errorf("%d and %d descriptors, want %d together", fds, more, sockets)
		}
		_ = old.cmd.Process.Signal(syscall.SIGTERM) // stop, below, fails where it has ended
		time.Sleep(1200 * time.Millisecond)
		if !ready(listen) {
			t.Error("the broker is not ready while its process is replaced")
		}
		slow.send(t, text[len(text)/2:]) // a client that takes its time to write
		resting.send(t, query(fmt.Sprint("rested", i), time.Second))
		for name, c := range map[string]*peer{"slow": slow, "resting": resting} {
			if res := c.answered(t, time.Now().Add(3*time.Second)); res.StatusCode != http.StatusOK {
				t.Errorf("the %s client: %d", name, res.StatusCode)
			}
		}
		if err := old.end(); err != nil {
			t.Fatalf("exit: %v\n%s", err, old.text())
		}
		old = next
	}
	time.Sleep(200 * time.Millisecond) // the last process alone
	close(over)
	clients.Wait()
	if served == 0 || len(lost) > 0 {
		t.Errorf("%d served, %d lost: %v", served, len(lost), lost)
	}
	seen := map[string]bool{}
	for _, call := range n.Parts() { // nothing failed: each part is sent once
		if seen[call.ID] {
			t.Errorf("part %s was sent twice", call.ID)
		}
		seen[call.ID] = true
	}
	slices.Sort(took)
	t.Logf("%d replacements, %d served, 99th percentile %v, longest %v, both processes %d KB at most",
		upgrades, served, took[len(took)*99/100], took[len(took)-1], peakKB)
	old.stop(t)
}

// askOn asks on a connection that is kept, or a new one where there is none.
func askOn(conn **peer, addr, id string) (status int, last bool, err error) {
	if *conn == nil {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return 0, true, err
		}
		*conn = newPeer(c)
	}
	if _, err := io.WriteString(*conn, query(id, 3*time.Second)); err != nil {
		return 0, true, err
	}
	_ = (*conn).SetReadDeadline(time.Now().Add(4 * time.Second)) // fails where the connection has ended: so does the read
	res, err := http.ReadResponse((*conn).in, nil)
	if err != nil {
		return 0, true, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Close, err
}
