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

// earliestKill returns how soon after SIGTERM the platform may send SIGKILL, given the longest
// deadline of the classes (PROTOCOL, "Figures").
func earliestKill(longest time.Duration) time.Duration {
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// settingsWithDeadline returns settings whose classes all have the given deadline.
func settingsWithDeadline(deadline time.Duration) map[string]any {
	return testkit.Settings(func(s map[string]any) {
		for _, class := range s["classes"].([]any) {
			c := class.(map[string]any)
			c["deadlineMs"], c["objectiveMs"] = float64(deadline.Milliseconds()), float64(deadline.Milliseconds())/2
		}
	})
}

// SIGKILL may follow SIGTERM as early as after the longest deadline, counted as 3 s at most,
// plus 0.7 s. Every accepted request must be answered by then, even if the nodes hang: one
// accepted before SIGTERM, one sent after it on a keep-alive connection, and one whose body is
// complete only when little time is left.
func TestAcceptedRequestsAreAnsweredBeforeTheEarliestKill(t *testing.T) {
	for _, c := range []struct {
		deadline  time.Duration
		before    time.Duration // how long before SIGTERM the first request is sent; below 0: after SIGTERM
		completed time.Duration // how long after SIGTERM the second half of another request is sent; 0: no other request
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
			p := startDeployed(t, testkit.Config(d.Addr, []testkit.Entry{n.Entry()}, settingsWithDeadline(c.deadline), map[string]any{"hand_over_ms": 550}), listen)
			testkit.Eventually(t, "the broker is ready", func() bool { return isReady(listen) })
			conn, half := openKeepAlive(t, listen), openKeepAlive(t, listen)
			terminate := func() {
				if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
					t.Fatal(err)
				}
			}
			if c.before < 0 {
				terminate()
			}
			terminated := time.Now()
			time.Sleep(max(0, -c.before))
			request := queryRequest("a", c.deadline)
			conn.send(t, request)
			if c.completed > 0 {
				request = queryRequest("b", c.deadline)
				half.send(t, request[:len(request)/2])
			}
			if c.before > 0 {
				time.Sleep(c.before)
				terminated = time.Now()
				terminate()
			}
			if c.completed > 0 {
				time.Sleep(time.Until(terminated.Add(c.completed)))
				half.send(t, request[len(request)/2:])
				half.readResponse(t, terminated.Add(earliestKill(c.deadline)))
			}
			conn.readResponse(t, terminated.Add(earliestKill(c.deadline)))
		})
	}
}

// rawClient is an HTTP client that writes its requests to the connection itself, as text.
type rawClient struct {
	net.Conn
	reader *bufio.Reader
}

// newRawClient returns a client on the connection.
func newRawClient(conn net.Conn) *rawClient { return &rawClient{conn, bufio.NewReader(conn)} }

// openKeepAlive connects to addr and completes one request on the connection, which the broker
// then keeps open.
func openKeepAlive(t *testing.T, addr string) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	client := newRawClient(conn)
	client.send(t, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
	client.readResponse(t, time.Now().Add(5*time.Second))
	return client
}

// send writes a request, or a piece of one.
func (c *rawClient) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// readResponse reads one response and fails the test if it is not complete at the time by.
func (c *rawClient) readResponse(t *testing.T, by time.Time) *http.Response {
	t.Helper()
	if err := c.SetReadDeadline(by); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if err != nil {
		t.Fatalf("no complete response, %v after it was due: %v", time.Since(by), err)
	}
	return res
}

// queryRequest returns the text of the HTTP request of a query of the class screen, with two
// parts and the given deadline.
func queryRequest(id string, timeout time.Duration) string {
	const body = `{"targets":[{"partition":1,"share":0.5},{"partition":2,"share":0.5}],"query":"c41e77d0"}`
	return strings.Join([]string{
		"POST /screen HTTP/1.1", "Host: a", "X-Request-Id: " + id, "X-Class: screen",
		fmt.Sprintf("X-Deadline-Ms: %d", timeout.Milliseconds()), fmt.Sprintf("Content-Length: %d", len(body)), "", body,
	}, "\r\n")
}

// Instances of the store are killed during writes, one after another and at last all at once.
// After each restart, an instance must have every acknowledged write.
func TestAcknowledgedWritesSurviveKills(t *testing.T) {
	const rounds = 4
	d := testkit.NewDiscovery(t)
	var peers []map[string]any
	for i := range 3 {
		host := fmt.Sprintf("127.79.%d.%d", 1+os.Getpid()%250, i+1)
		peers = append(peers, map[string]any{"name": fmt.Sprintf("n%d", i+1), "raft": freeAddrAt(t, host), "flight": freeAddrAt(t, host)})
	}
	cfgs, processes := make([][]byte, 3), make([]*process, 3)
	for i := range processes {
		cfgs[i] = testkit.Config(d.Addr, nil, testkit.Settings(nil), map[string]any{"name": peers[i]["name"], "log_level": "info",
			"flight": map[string]any{"listen": peers[i]["flight"]}, "store": map[string]any{"dir": t.TempDir(), "peers": peers}})
		processes[i], _ = startServing(t, cfgs[i])
	}
	flightAddr := func(i int) string { return peers[i]["flight"].(string) }
	var acknowledged atomic.Int64 // the latest value whose write was acknowledged
	done := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		for value := int64(1); ; value++ {
			select {
			case <-done:
				return
			default:
			}
			if code, _, _ := runCLI("config", "set", "--addr", flightAddr(int(value)%3), fmt.Sprintf("max_open=%d", value)); code == 0 {
				acknowledged.Store(value)
			}
		}
	})
	value := func(i int) int64 {
		_, out, _ := runCLI("config", "get", "--addr", flightAddr(i))
		var c struct {
			MaxOpen int64 `json:"max_open"`
		}
		if json.Unmarshal([]byte(out), &c) != nil {
			return -1
		}
		return c.MaxOpen
	}
	kill := func(i int) {
		_ = processes[i].cmd.Process.Kill()
		_ = processes[i].cmd.Wait() // the exit status of a killed process says nothing
	}
	for round := range rounds {
		before := acknowledged.Load()
		testkit.Eventually(t, "writes go on", func() bool { return acknowledged.Load() >= before+5 })
		kill(round % 3)
		processes[round%3], _ = startServing(t, cfgs[round%3])
		want := acknowledged.Load()
		testkit.Eventually(t, "the restarted instance has the acknowledged write", func() bool { return value(round%3) >= want })
	}
	for i := range processes {
		kill(i)
	}
	close(done)
	writer.Wait()
	for i := range processes {
		processes[i], _ = startServing(t, cfgs[i])
	}
	want := acknowledged.Load()
	for i := range processes {
		testkit.Eventually(t, "each instance has the acknowledged write", func() bool { return value(i) >= want })
	}
}
