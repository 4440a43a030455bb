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

// recordingObserver records the events that the client reports of its attempts.
type recordingObserver struct {
	mu    sync.Mutex
	lines []string
	at    map[string]time.Time
}

func (w *recordingObserver) record(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	w.lines = append(w.lines, line)
	w.at[line] = at
}

func (w *recordingObserver) PhaseReached(id broker.AttemptID, p broker.WirePhase, _ string, at time.Time) {
	w.record(at, "%d %s", id, []string{"dialing", "up", "gone"}[p])
}
func (w *recordingObserver) LateOutcome(id broker.AttemptID, o decide.Outcome, at time.Time) {
	w.record(at, "%d late %d", id, o)
}
func (w *recordingObserver) TraceHeaders(broker.AttemptID) (string, string) { return "", "" }

func (w *recordingObserver) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.lines, ", ")
}

// The observer must see the connect that an attempt waited for, the moment at which its
// frame was written, and an answer that arrives after the attempt was cancelled.
func TestObserverSeesConnectWriteAndLateAnswer(t *testing.T) {
	c, s := newClient(t, 2, 0)
	w := &recordingObserver{at: map[string]time.Time{}}
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
	s.expect(t, 1, decide.OK)
	if got := w.text(); got != "1 dialing, 1 up, 1 gone" {
		t.Errorf("got %q", got)
	}
	w.mu.Lock()
	if w.at["1 dialing"].Before(before) || w.at["1 up"].Before(w.at["1 dialing"]) || w.at["1 gone"].Before(w.at["1 up"]) {
		t.Errorf("times %v", w.at)
	}
	w.mu.Unlock()
	c.send("n", attempt(2)) // on the open connection: no connect events
	n.WaitFor(t, "the part", func() bool { return len(n.Parts()) == 2 })
	c.Cancel("n", 2)
	close(answer)
	testkit.Eventually(t, "the late answer", func() bool { return w.text() == "1 dialing, 1 up, 1 gone, 2 gone, 2 late 0" })
}

// While a node does not read, the frame is not written whole; the observer is notified once
// it is.
func TestObserverIsNotifiedOnceTheFrameIsWritten(t *testing.T) {
	c, _ := newClient(t, 2, 0)
	w := &recordingObserver{at: map[string]time.Time{}}
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
		_, _ = io.Copy(io.Discard, nc) // until the client closes
	}()
	c.Update([]broker.Node{{ID: "n", Addr: l.Addr().String()}})
	c.mu.Lock()
	c.frameTimeout = time.Hour // the frame does not time out, however busy the machine is
	c.mu.Unlock()
	a := attempt(1)
	a.Text = make([]byte, 6<<20) // more than the kernel buffers while nobody reads
	c.send("n", a)
	<-up
	testkit.Eventually(t, "the frame is queued", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.attempts[1] != nil && c.attempts[1].frameEnd > 0
	})
	if got := w.text(); strings.Contains(got, "gone") {
		t.Errorf("got %q before the node read anything", got)
	}
	close(read)
	testkit.Eventually(t, "the last byte is written", func() bool { return strings.HasSuffix(w.text(), "1 gone") })
}
