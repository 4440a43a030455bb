package nodeclient

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"onyxsail/broker"
	"onyxsail/decide"
	"onyxsail/internal/testkit"
)

// watcher keeps what the client tells of its attempts.
type watcher struct {
	mu    sync.Mutex
	lines []string
	at    map[string]time.Time
}

func (w *watcher) note(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	w.lines = append(w.lines, line)
	w.at[line] = at
}

func (w *watcher) PhaseReached(id broker.AttemptID, p broker.WirePhase, _ string, at time.Time) {
	w.note(at, "%d %s", id, []string{"dialing", "up", "gone"}[p])
}
func (w *watcher) LateOutcome(id broker.AttemptID, o decide.Outcome, at time.Time) {
	w.note(at, "%d late %d", id, o)
}
func (w *watcher) TraceHeaders(broker.AttemptID) (string, string) { return "", "" }

func (w *watcher) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.lines, ", ")
}

// The wire tells of the connection that an attempt waited for, of its last
// byte, and of an answer after the attempt was given up.
func TestObserverHearsTheWire(t *testing.T) {
	c, s := client(t, 2, 0)
	w := &watcher{at: map[string]time.Time{}}
	c.opts.Observer = w
	n := testkit.NewNode(t, "n", false)
	answer := make(chan struct{})
	n.SetResponder(func(call testkit.Part) string {
		if call.Shard == 2 {
			<-answer
		}
		return testkit.Done
	})
	c.Update([]broker.Node{{ID: "n", Addr: n.Addr}})
	before := time.Now()
	c.send("n", attempt(1))
	s.wait(t, 1, decide.OK)
	if got := w.text(); got != "1 dialing, 1 up, 1 gone" {
		t.Errorf("got %q", got)
	}
	w.mu.Lock()
	if w.at["1 dialing"].Before(before) || w.at["1 up"].Before(w.at["1 dialing"]) || w.at["1 gone"].Before(w.at["1 up"]) {
		t.Errorf("times %v", w.at)
	}
	w.mu.Unlock()
	c.send("n", attempt(2)) // on the open connection
	n.WaitFor(t, "the part", func() bool { return len(n.Parts()) == 2 })
	c.Cancel("n", 2)
	close(answer)
	testkit.Eventually(t, "the late answer", func() bool { return w.text() == "1 dialing, 1 up, 1 gone, 2 gone, 2 late 0" })
}

// While a node does not read, the last byte has not left; the observer hears
// when it has.
func TestObserverHearsTheLastByte(t *testing.T) {
	c, _ := client(t, 2, 0)
	w := &watcher{at: map[string]time.Time{}}
	c.opts.Observer = w
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	read, up := make(chan struct{}), make(chan struct{})
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		close(up)
		<-read
		_, _ = io.Copy(io.Discard, nc) // until the client ends
	}()
	c.Update([]broker.Node{{ID: "n", Addr: l.Addr().String()}})
	c.mu.Lock()
	c.frame = time.Hour // the node reads again in time, however busy the machine is
	c.mu.Unlock()
	a := attempt(1)
	a.Text = make([]byte, 6<<20) // more than the kernel takes while nobody reads
	c.send("n", a)
	<-up
	testkit.Eventually(t, "the write", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.where[1] != nil && c.where[1].end > 0
	})
	if got := w.text(); strings.Contains(got, "gone") {
		t.Errorf("got %q though nobody read", got)
	}
	close(read)
	testkit.Eventually(t, "the last byte", func() bool { return strings.HasSuffix(w.text(), "1 gone") })
}
