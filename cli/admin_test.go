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

// Time limits that the operators' page sets (operation/DAYS.md).
const (
	operatorTimeout = time.Second             // an operator's client waits no longer for a response
	drainTimeout    = 4 * time.Second         // after a drain call, all client connections are closed
	resumeTimeout   = 2 * time.Second         // after a resume call, the broker is ready again
	reloadTimeout   = 1200 * time.Millisecond // after SIGHUP, the reloaded settings are in use
	upgradeTimeout  = 6 * time.Second         // after its start, a replacement process is ready
	metricsLag      = 500 * time.Millisecond  // how old the metrics may be
)

// callAdmin calls the admin port; status 0 means no response within operatorTimeout.
func callAdmin(console, method, path string) (status int, body string) {
	req, err := http.NewRequest(method, "http://"+console+path, nil)
	if err != nil {
		panic(err)
	}
	client := http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
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

// readMetrics returns the metrics by name, without their common prefix.
func readMetrics(t *testing.T, console string) map[string]int {
	t.Helper()
	status, body := callAdmin(console, http.MethodGet, "/-/metrics")
	if status != http.StatusOK {
		t.Fatalf("metrics: status %d, want 200: %s", status, body)
	}
	all := map[string]int{}
	for _, line := range strings.Split(strings.TrimSpace(body), "\n") {
		name, value, ok := strings.Cut(line, "=")
		n, err := strconv.Atoi(value)
		if short, prefixed := strings.CutPrefix(name, "edge_node."); ok && prefixed && err == nil {
			all[short] = n
		} else {
			t.Errorf("metrics: got line %q, want edge_node.NAME=NUMBER", line)
		}
	}
	return all
}

// eventuallyWithin polls ok until it holds and fails the test if it does not in the time within.
func eventuallyWithin(t *testing.T, within time.Duration, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > within {
			t.Fatalf("not within %v: %s", within, what)
		}
	}
}

// startWithAdmin starts a broker with an admin port and waits until it is ready.
func startWithAdmin(t *testing.T, cfg []byte, listen string, env ...string) (p *process, console string) {
	t.Helper()
	console = freeAddr(t)
	p = startDeployed(t, cfg, listen, append(env, "NODE_CONSOLE="+console)...)
	testkit.Eventually(t, "the admin port reports that the broker is ready", func() bool {
		status, _ := callAdmin(console, http.MethodGet, "/-/ready")
		return status == http.StatusOK
	})
	return p, console
}

// The admin port must report metrics, drain and resume, each within its time limit, while other
// callers hold connections to it with unfinished requests.
func TestAdminPortReportsMetricsDrainsAndResumes(t *testing.T) {
	node := testkit.NewNode(t, "s-1", false)
	d := testkit.NewDiscovery(t, node.Entry())
	listen := freeAddr(t)
	p, console := startWithAdmin(t, testkit.Config(d.Addr, []testkit.Entry{node.Entry()}, testkit.Settings(nil), nil), listen)
	for i := range 8 {
		c, err := net.Dial("tcp", console)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "POST /-/drain HTTP/1.1\r\nHost: a\r\n\r\n"[:2*i]) // fails if the broker has closed the connection
	}
	idle, used := openKeepAlive(t, listen), openKeepAlive(t, listen)
	ask := func(id string) *http.Response {
		used.send(t, queryRequest(id, 3*time.Second))
		return used.readResponse(t, time.Now().Add(4*time.Second))
	}
	ask("a")
	malformed := strings.Replace(queryRequest("b", time.Second), "/screen", "/part", 1) // the path and X-Class name different classes
	used.send(t, malformed)
	used.readResponse(t, time.Now().Add(time.Second))
	want := map[string]int{
		"fulfilled.screen": 1, "throttled.screen": 0, "faulted.screen": 0, "fulfilled.edit": 0, "relayed": 2, "open_requests": 0,
		"registry_entries": 1, "out_of_rotation": 0, "cfg_accepted": 0, "cfg_invalid": 0,
	}
	var got map[string]int
	eventuallyWithin(t, metricsLag, "the metrics count the query", func() bool {
		got = readMetrics(t, console)
		return got["fulfilled.screen"] == 1
	})
	for name, expected := range want {
		if value, present := got[name]; !present || value != expected {
			t.Errorf("%s: got %d (present: %v), want %d", name, value, present, expected)
		}
	}
	for _, c := range []struct {
		method, path string
		status       int
	}{
		{"GET", "/-/drain", http.StatusMethodNotAllowed}, {"POST", "/-/ready", http.StatusMethodNotAllowed},
		{"GET", "/", http.StatusNotFound}, {"POST", "/-/stop", http.StatusNotFound},
	} {
		if status, _ := callAdmin(console, c.method, c.path); status != c.status {
			t.Errorf("%s %s: got status %d, want %d", c.method, c.path, status, c.status)
		}
	}
	for round := range 2 { // a repeated call changes nothing
		if status, text := callAdmin(console, http.MethodPost, "/-/drain"); status/100 != 2 {
			t.Fatalf("drain call %d: status %d, want 2xx: %s", round, status, text)
		}
	}
	eventuallyWithin(t, metricsLag, "the readiness path reports the drain", func() bool { return !isReady(listen) })
	if res := ask("c"); res.StatusCode != http.StatusOK || !res.Close {
		t.Errorf("during the drain: status %d, closes the connection: %v, want 200 and true", res.StatusCode, res.Close)
	}
	for name, c := range map[string]*rawClient{"idle": idle, "used": used} {
		_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
		if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("the %s connection is still open: %v", name, err)
		}
	}
	late := openKeepAlive(t, listen) // the front may not have polled the readiness path yet
	_ = late.SetReadDeadline(time.Now().Add(drainTimeout))
	if _, err := late.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("a connection opened during the drain is still open: %v", err)
	}
	if status, text := callAdmin(console, http.MethodPost, "/-/resume"); status/100 != 2 {
		t.Fatalf("resume: status %d, want 2xx: %s", status, text)
	}
	eventuallyWithin(t, resumeTimeout, "the readiness path reports ready", func() bool { return isReady(listen) })
	back := openKeepAlive(t, listen)
	back.send(t, queryRequest("d", 3*time.Second))
	if res := back.readResponse(t, time.Now().Add(4*time.Second)); res.StatusCode != http.StatusOK || res.Close {
		t.Errorf("after the drain: status %d, closes the connection: %v, want 200 and false", res.StatusCode, res.Close)
	}
	if status, _ := callAdmin(console, http.MethodPost, "/-/drain"); status/100 != 2 { // a stop must work during a drain too
		t.Errorf("drain before the stop: status %d, want 2xx", status)
	}
	p.stop(t)
}

// A reload at SIGHUP must apply new settings: classes that are added or removed and a lower
// limit of attempts, while requests in flight keep their class. A file with an error must be
// rejected as a whole and leave the running settings in use.
func TestReloadAppliesSettingsOrRejectsTheWholeFile(t *testing.T) {
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
	configFor := func(settings map[string]any) []byte {
		return testkit.Config(d.Addr, []testkit.Entry{n.Entry()}, settings, nil)
	}
	listen := freeAddr(t)
	p, console := startWithAdmin(t, configFor(settings(3, "screen", "quote")), listen)
	reload := func(data []byte) {
		t.Helper()
		if err := os.WriteFile(p.configFile, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	requestOf := func(class, id string) string {
		return strings.NewReplacer("/screen", "/"+class, "X-Class: screen", "X-Class: "+class).Replace(queryRequest(id, 3*time.Second))
	}
	ask := func(class, id string) int {
		c := openKeepAlive(t, listen)
		defer c.Close()
		c.send(t, requestOf(class, id))
		return c.readResponse(t, time.Now().Add(4*time.Second)).StatusCode
	}
	arrived, release := make(chan bool, 8), make(chan bool)
	n.SetResponder(func(testkit.Part) string {
		arrived <- true
		<-release
		return testkit.Done
	})
	inFlight := openKeepAlive(t, listen)
	inFlight.send(t, requestOf("quote", "kept"))
	<-arrived
	reload(configFor(settings(1, "bulk", "screen")))
	eventuallyWithin(t, reloadTimeout, "the file is accepted", func() bool { return readMetrics(t, console)["cfg_accepted"] == 1 })
	close(release)
	if res := inFlight.readResponse(t, time.Now().Add(3*time.Second)); res.StatusCode != http.StatusOK {
		t.Errorf("the request in flight: status %d, want 200", res.StatusCode)
	}
	for class, want := range map[string]int{"bulk": http.StatusOK, "screen": http.StatusOK, "quote": http.StatusNotFound} {
		if got := ask(class, "new-"+class); got != want {
			t.Errorf("class %s: status %d, want %d", class, got, want)
		}
	}
	got := readMetrics(t, console)
	for name, want := range map[string]int{"fulfilled.quote": 1, "fulfilled.bulk": 1, "fulfilled.screen": 1} {
		if got[name] != want {
			t.Errorf("metric %s: %d, want %d", name, got[name], want)
		}
	}
	n.SetResponse(testkit.Failed)
	before := len(n.Parts())
	if got := ask("bulk", "fails"); got == http.StatusOK {
		t.Errorf("a query was served although its node fails")
	}
	if attempts := len(n.Parts()) - before; attempts > 2 {
		t.Errorf("%d attempts for two parts, want at most one each", attempts)
	}
	n.SetResponse(testkit.Done)
	valid := configFor(settings(3, "screen", "quote"))
	without := func(key string) []byte {
		s := settings(3, "screen")
		delete(s, key)
		return configFor(s)
	}
	zeroDeadline := settings(3, "screen")
	zeroDeadline["classes"].([]any)[0].(map[string]any)["deadlineMs"] = 0
	textDeadline := settings(3, "screen")
	textDeadline["classes"].([]any)[0].(map[string]any)["deadlineMs"] = "soon"
	invalidFiles := map[string][]byte{
		"empty": {}, "cut short": valid[:len(valid)/2], "cut by a byte": valid[:len(valid)-1],
		"no classes": without("classes"), "no caps": without("caps"),
		"no settings": testkit.Config(d.Addr, nil, nil, nil), "no attempts": configFor(settings(0, "screen")), "attempts below 0": configFor(settings(-1, "screen")),
		"attempts in words": configFor(settings("many", "screen")), "no deadline": configFor(zeroDeadline), "a deadline in words": configFor(textDeadline),
	}
	count := 0
	for name, data := range invalidFiles {
		count++
		reload(data)
		eventuallyWithin(t, reloadTimeout, name+" is rejected", func() bool { return readMetrics(t, console)["cfg_invalid"] == count })
		if got := readMetrics(t, console)["cfg_accepted"]; got != 1 {
			t.Errorf("%s: %d files accepted, want 1", name, got)
		}
		if got := ask("bulk", fmt.Sprint("still", count)); got != http.StatusOK {
			t.Errorf("after the file %s: status %d for the class bulk, want 200", name, got)
		}
	}
	p.stop(t)
}

// A second process starts beside the first and takes over its address. Clients must lose no
// query on keep-alive and on new connections, and both processes must share one limit of descriptors.
func TestProcessReplacementLosesNoQuery(t *testing.T) {
	const sockets = 256
	n := testkit.NewNode(t, "s-1", false)
	warm := n.Entry()
	warm.Started = 1
	d := testkit.NewDiscovery(t, warm)
	cfg := testkit.Config(d.Addr, []testkit.Entry{warm}, testkit.Settings(nil), map[string]any{
		"hand_over_ms": 550, "limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": sockets},
	})
	listen, tempDir := freeAddr(t), t.TempDir()
	old, _ := startWithAdmin(t, cfg, listen, "TMPDIR="+tempDir)
	done := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	lost, served, took := []string(nil), 0, []time.Duration(nil)
	for c := range 4 {
		clients.Go(func() {
			var conn *rawClient
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				id := fmt.Sprintf("r%d-%d", c, i)
				began := time.Now()
				status, closing, err := queryOn(&conn, listen, id)
				if c%2 == 0 || closing { // half of the clients open a new connection for each request
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
	upgrades, peakKB := 2, 0 // REPLACEMENTS sets another number
	if n, err := strconv.Atoi(os.Getenv("REPLACEMENTS")); err == nil {
		upgrades = n
	}
	for i := range upgrades {
		slow, resting := openKeepAlive(t, listen), openKeepAlive(t, listen)
		text := queryRequest(fmt.Sprint("slow", i), 3*time.Second)
		slow.send(t, text[:len(text)/2])
		began := time.Now()
		next, _ := startWithAdmin(t, cfg, listen, "TMPDIR="+tempDir)
		if took := time.Since(began); took > upgradeTimeout {
			t.Errorf("the new process is ready after %v, want 6 s at most", took)
		}
		_, oldKB, oldFDs := old.resourceUsage(t)
		_, newKB, newFDs := next.resourceUsage(t)
		if peakKB = max(peakKB, oldKB+newKB); oldFDs+newFDs > sockets {
			t.Errorf("%d and %d descriptors, want %d together", oldFDs, newFDs, sockets)
		}
		_ = old.cmd.Process.Signal(syscall.SIGTERM) // if the process has exited, the wait below fails
		time.Sleep(1200 * time.Millisecond)
		if !isReady(listen) {
			t.Error("the broker is not ready while its process is replaced")
		}
		slow.send(t, text[len(text)/2:]) // a client that writes its request slowly
		resting.send(t, queryRequest(fmt.Sprint("rested", i), time.Second))
		for name, c := range map[string]*rawClient{"slow": slow, "resting": resting} {
			if res := c.readResponse(t, time.Now().Add(3*time.Second)); res.StatusCode != http.StatusOK {
				t.Errorf("the %s client: status %d, want 200", name, res.StatusCode)
			}
		}
		if err := old.wait(); err != nil {
			t.Fatalf("the replaced process ended with %v, want exit status 0; its log:\n%s", err, old.output())
		}
		old = next
	}
	time.Sleep(200 * time.Millisecond) // the last process runs alone
	close(done)
	clients.Wait()
	if served == 0 || len(lost) > 0 {
		t.Errorf("%d queries served, want some; %d lost, want none: %v", served, len(lost), lost)
	}
	seen := map[string]bool{}
	for _, part := range n.Parts() { // no part failed, so each is sent once
		if seen[part.ID] {
			t.Errorf("part %s was sent twice", part.ID)
		}
		seen[part.ID] = true
	}
	slices.Sort(took)
	t.Logf("%d replacements, %d served, 99th percentile %v, longest %v, both processes %d KB at most",
		upgrades, served, took[len(took)*99/100], took[len(took)-1], peakKB)
	old.stop(t)
}

// queryOn sends a query on the connection, or on a new one if there is none, and reads the
// response. closing reports that the connection cannot be used again.
func queryOn(conn **rawClient, addr, id string) (status int, closing bool, err error) {
	if *conn == nil {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return 0, true, err
		}
		*conn = newRawClient(c)
	}
	if _, err := io.WriteString(*conn, queryRequest(id, 3*time.Second)); err != nil {
		return 0, true, err
	}
	_ = (*conn).SetReadDeadline(time.Now().Add(4 * time.Second)) // if the connection has ended this fails, and so does the read
	res, err := http.ReadResponse((*conn).reader, nil)
	if err != nil {
		return 0, true, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Close, err
}
