package cli_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"onyxsail/internal/testkit"
)

// killAfter is when SIGKILL may follow SIGTERM at the earliest (PROTOCOL, "Figures").
func killAfter(longest time.Duration) time.Duration {
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// withDeadline are settings whose classes have one deadline.
func withDeadline(deadline time.Duration) map[string]any {
	return testkit.Settings(func(s map[string]any) {
		for _, class := range s["classes"].([]any) {
			c := class.(map[string]any)
			c["deadlineMs"], c["objectiveMs"] = float64(deadline.Milliseconds()), float64(deadline.Milliseconds())/2
		}
	})
}

// SIGKILL may come as early as the longest deadline, counted as 3 s at most, plus 0.7 s
// after SIGTERM. What was taken has its answer by then: before SIGTERM, after it on kept
// connections, and what becomes whole only when little is left, with nodes that hang.
func TestAllIsAnsweredBeforeTheEarliestKill(t *testing.T) {
	for _, c := range []struct {
		deadline  time.Duration
		before    time.Duration // taken so long before SIGTERM; under 0: after it
		completed time.Duration // after SIGTERM, the rest of a request that began after it
	}{
		{4 * time.Second, 20 * time.Millisecond, 0},
		{4 * time.Second, -400 * time.Millisecond, 0},
		{200 * time.Millisecond, -300 * time.Millisecond, 850 * time.Millisecond},
		{500 * time.Millisecond, -450 * time.Millisecond, 1150 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(c.deadline, c.before), func(t *testing.T) {
			t.Parallel()
			n := testkit.NewNode(t, "s-1", false)
			n.SetResponse(testkit.NeverAnswer)
			d := testkit.NewDiscovery(t, n.Entry())
			listen := freeAddr(t)
			p := start(t, testkit.Config(d.Addr, []testkit.Entry{n.Entry()}, withDeadline(c.deadline), map[string]any{"hand_over_ms": 550}), listen)
			testkit.Eventually(t, "it is ready", func() bool { return ready(listen) })
			conn, half := open(t, listen), open(t, listen)
			term := func() {
				if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
					t.Fatal(err)
				}
			}
			if c.before < 0 {
				term()
			}
			told := time.Now()
			time.Sleep(max(0, -c.before))
			request := query("a", c.deadline)
			conn.send(t, request)
			if c.completed > 0 {
				request = query("b", c.deadline)
				half.send(t, request[:len(request)/2])
			}
			if c.before > 0 {
				time.Sleep(c.before)
				told = time.Now()
				term()
			}
			if c.completed > 0 {
				time.Sleep(time.Until(told.Add(c.completed)))
				half.send(t, request[len(request)/2:])
				half.answered(t, told.Add(killAfter(c.deadline)))
			}
			conn.answered(t, told.Add(killAfter(c.deadline)))
		})
	}
}

// peer is a client that has its hands on its connection.
type peer struct {
	net.Conn
	in *bufio.Reader
}

func newPeer(c net.Conn) *peer { return &peer{c, bufio.NewReader(c)} }

func open(t *testing.T, addr string) *peer {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	p := newPeer(c)
	p.send(t, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n") // so that it is a kept connection
	p.answered(t, time.Now().Add(5*time.Second))
	return p
}

func (p *peer) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(p, text); err != nil {
		t.Fatal(err)
	}
}

// answered reads one answer and fails the test where none has come whole by then.
func (p *peer) answered(t *testing.T, by time.Time) *http.Response {
	t.Helper()
	if err := p.SetReadDeadline(by); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(p.in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if err != nil {
		t.Fatalf("no answer, %v after the time for it: %v", time.Since(by), err)
	}
	return res
}

// query is a request whose client waits for so long.
func query(id string, within time.Duration) string {
	const body = `{"targets":[{"partition":1,"share":0.5},{"partition":2,"share":0.5}],"query":"c41e77d0"}`
	return strings.Join([]string{
		"POST /screen HTTP/1.1", "Host: a", "X-Request-Id: " + id, "X-Class: screen",
		fmt.Sprintf("X-Deadline-Ms: %d", within.Milliseconds()), fmt.Sprintf("Content-Length: %d", len(body)), "", body,
	}, "\r\n")
}

// Instances of the store are killed in the midst of writes, one after another and at last
// all at once: what was acknowledged is there after each restart, and never goes back.
func TestKillsDuringWrites(t *testing.T) {
	const rounds = 4
	d := testkit.NewDiscovery(t)
	var peers []map[string]any
	for i := range 3 {
		host := fmt.Sprintf("127.79.%d.%d", 1+os.Getpid()%250, i+1)
		peers = append(peers, map[string]any{"name": fmt.Sprintf("n%d", i+1), "raft": freePort(t, host), "flight": freePort(t, host)})
	}
	cfgs, all := make([][]byte, 3), make([]*process, 3)
	for i := range all {
		cfgs[i] = testkit.Config(d.Addr, nil, testkit.Settings(nil), map[string]any{"name": peers[i]["name"], "log_level": "info",
			"flight": map[string]any{"listen": peers[i]["flight"]}, "store": map[string]any{"dir": t.TempDir(), "peers": peers}})
		all[i], _ = serve(t, cfgs[i])
	}
	flight := func(i int) string { return peers[i]["flight"].(string) }
	var acknowledged atomic.Int64 // the latest value that a write was told to have set
	over := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		for value := int64(1); ; value++ {
			select {
			case <-over:
				return
			default:
			}
			if code, _, _ := run("config", "set", "--addr", flight(int(value)%3), fmt.Sprintf("max_open=%d", value)); code == 0 {
				acknowledged.Store(value)
			}
		}
	})
	value := func(i int) int64 {
		_, out, _ := run("config", "get", "--addr", flight(i))
		var c struct {
			MaxOpen int64 `json:"max_open"`
		}
		if json.Unmarshal([]byte(out), &c) != nil {
			return -1
		}
		return c.MaxOpen
	}
	kill := func(i int) {
		_ = all[i].cmd.Process.Kill()
		_ = all[i].cmd.Wait() // killed: its status tells nothing
	}
	for round := range rounds {
		before := acknowledged.Load()
		testkit.Eventually(t, "writes go on", func() bool { return acknowledged.Load() >= before+5 })
		kill(round % 3)
		all[round%3], _ = serve(t, cfgs[round%3])
		least := acknowledged.Load()
		testkit.Eventually(t, "it has what was acknowledged", func() bool { return value(round%3) >= least })
	}
	for i := range all {
		kill(i)
	}
	close(over)
	writer.Wait()
	for i := range all {
		all[i], _ = serve(t, cfgs[i])
	}
	least := acknowledged.Load()
	for i := range all {
		testkit.Eventually(t, "all have what was acknowledged", func() bool { return value(i) >= least })
	}
}
