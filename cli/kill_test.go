package cli_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
			n.Always(testkit.Silent)
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

func open(t *testing.T, addr string) *peer {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	p := &peer{c, bufio.NewReader(c)}
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
