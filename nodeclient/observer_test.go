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

func (o *recordingObserver) record(at time.Time, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	o.lines = append(o.lines, line)
	o.at[line] = at
}

func (o *recordingObserver) PhaseReached(id broker.AttemptID, p broker.WirePhase, _ string, at time.Time) {
	o.record(at, "%d %s", id, []string{"connecting", "connected", "sent"}[p])
}
func (o *recordingObserver) LateOutcome(id broker.AttemptID, outcome decide.Outcome, at time.Time) {
	o.record(at, "%d late %d", id, outcome)
}
func (w *recordingObserver) TraceHeaders(broker.AttemptID) (string, string) { return "", "" }

func (o *recordingObserver) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Join(o.lines, ", ")
}

// The observer must see the connect that an attempt waited for, the moment at which its
// frame was written, and an answer that arrives after the attempt was cancelled.
func TestObserverSeesConnectWriteAndLateAnswer(t *testing.T) {
	c, s := newClient(t, 2, 0)
	observer := &recordingObserver{at: map[string]time.Time{}}
	c.opts.Observer = observer
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
	if got := observer.text(); got != "1 connecting, 1 connected, 1 sent" {
		t.Errorf("events of the attempt that waited for a connect: got %q", got)
	}
	observer.mu.Lock()
	if observer.at["1 connecting"].Before(before) || observer.at["1 connected"].Before(observer.at["1 connecting"]) || observer.at["1 sent"].Before(observer.at["1 connected"]) {
		t.Errorf("times out of order: %v", observer.at)
	}
	observer.mu.Unlock()
	c.send("n", attempt(2)) // on the open connection: no connect events
	n.WaitFor(t, "the part", func() bool { return len(n.Parts()) == 2 })
	c.Cancel("n", 2)
	close(answer)
	testkit.Eventually(t, "the late answer", func() bool { return observer.text() == "1 connecting, 1 connected, 1 sent, 2 sent, 2 late 0" })
}

// While a node does not read, the frame is not written whole; the observer is notified once
// it is.
func TestObserverIsNotifiedOnceTheFrameIsWritten(t *testing.T) {
	c, _ := newClient(t, 2, 0)
	observer := &recordingObserver{at: map[string]time.Time{}}
	c.opts.Observer = observer
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	startReading, accepted := make(chan struct{}), make(chan struct{})
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		close(accepted)
		<-startReading
		_, _ = io.Copy(io.Discard, nc) // until the client closes
	}()
	c.Update([]broker.Node{{ID: "n", Addr: l.Addr().String()}})
	c.mu.Lock()
	c.frameTimeout = time.Hour // the frame does not time out, however busy the machine is
	c.mu.Unlock()
	big := attempt(1)
	big.Text = make([]byte, 6<<20) // more than the kernel buffers while nobody reads
	c.send("n", big)
	<-accepted
	testkit.Eventually(t, "the frame is queued", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.attempts[1] != nil && c.attempts[1].frameEnd > 0
	})
	if got := observer.text(); strings.Contains(got, "sent") {
		t.Errorf("events before the node read anything: got %q", got)
	}
	close(startReading)
	testkit.Eventually(t, "the last byte is written", func() bool { return strings.HasSuffix(observer.text(), "1 sent") })
}
